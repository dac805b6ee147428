#!/usr/bin/env bash
# A batch job that was accepted on a public route is unknown to its own caller. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
[ -x target/review-third/rig ] && [ -x target/jackdawgated ] || exit 2
exec target/review-third/rig open-route review/14/record.txt
