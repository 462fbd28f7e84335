# Functions that check executed requests against an account's rate limit. Source
# this file after lib.sh.

# executions_of LABEL: prints "LABEL-N FIRST_EXECUTION_US" for each request of a
# load that ran, with the time of its first execution.
executions_of() {
	cat "$WORK"/executions-*.txt "$WORK"/backend-*.out 2>/dev/null |
		sed -n "s/^executed label=\($1-[0-9]*\) .* at=\([0-9]*\)$/\1 \2/p" |
		sort -k1,1 -k2,2n | awk '$1 != last { print; last = $1 }'
}

# sends_of LABEL: prints "LABEL-N SENT_US" for each send of a load.
sends_of() {
	sed -n "s/^sent label=\($1-[0-9]*\) at=\([0-9]*\)$/\1 \2/p" \
		"$WORK/$1.out" | sort -k1,1
}

# expect_rate RATE BURST LABEL...: checks all loads of one account together.
expect_rate() {
	local rate=$1 burst=$2 label
	shift 2
	for label in "$@"; do
		join <(sends_of "$label") <(executions_of "$label")
	done | awk '{ print $2, $3 }' | sort -k2,2n >"$WORK/admitted"
	awk -v rate="$rate" -v burst="$burst" \
		-f "$FOLDER/rate_windows.awk" "$WORK/admitted" ||
		fail "the account exceeded rate x t + burst in some window"
	echo "ok   the account stayed within rate x t + burst in all windows"
}

# ran_between LABEL FROM_US TO_US: prints the number of requests of a load that
# first ran in this interval.
ran_between() {
	executions_of "$1" | awk -v from="$2" -v to="$3" \
		'$2 >= from && $2 <= to { n++ } END { print n + 0 }'
}

# Prints the time since boot, the clock that the fake programs use for time
# stamps.
now_us() {
	awk '{ printf "%.0f\n", $1 * 1e6 }' /proc/uptime
}
