#!/usr/bin/env bash
# The results of a complete batch job are unknown once its route was removed. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
exec target/review-third/rig removed-route review/11/record.txt
