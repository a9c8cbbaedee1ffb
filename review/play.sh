# Sourced by the cases' run.sh.

# play CASE TROUBLE prints the record of a case. All processes that it starts are in one process group, which is ended when
# the script ends, however that comes about.
play() {
	cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
	set -m # the job gets a process group of its own
	timeout --kill-after=1 117 target/review-standin "$1" "$2" &
	local group=$!
	set +m
	trap "kill -KILL -- -$group 2>/dev/null" EXIT
	trap 'exit 2' HUP INT TERM
	wait "$group"
}

# verdict RECORD ends the script: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
verdict() {
	case "$(tail -n 1 "$1")" in
		'verdict: broken') exit 1 ;;
		'verdict: held') exit 0 ;;
		*) exit 2 ;;
	esac
}
