#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# What was sent, answered and run is written to record.txt in this folder.
cd "$(dirname "$0")/../.." || exit 2
record=review/7/record.txt
: >"$record" || exit 2
if [ ! -x target/review-2 ] || [ ! -x target/tanagergrade ]; then
	echo 'not run: the build is missing' >"$record"
	exit 2
fi
exec target/review-2 lateStream "$record"
