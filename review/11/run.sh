#!/usr/bin/env bash
# The results of a complete batch job are unknown once its route was removed. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
[ -x target/review-third/rig ] && [ -x target/jackdawgated ] || exit 2
exec target/review-third/rig removed-route review/11/record.txt
