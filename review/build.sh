#!/usr/bin/env bash
# Builds every stand-in that a script of the review starts. The programs of the project
# itself are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/ $(dirname ./review/*/main.go)
