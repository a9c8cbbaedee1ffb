#!/usr/bin/env bash
# run.sh CASE FOLDER: plays a case. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.."
timeout --kill-after=5 118 target/review-standin "$1" "$2"
case "$(tail -n 1 "$2/record.txt" 2>/dev/null)" in
	'verdict: broken') exit 1 ;;
	'verdict: held') exit 0 ;;
	*) exit 2 ;;
esac
