# Checks that the number of admitted requests is at most rate x t + burst in
# every time window of length t. Input: "SENT_US EXECUTED_US" of each request
# that ran, sorted by EXECUTED_US.
#
# The time of admission is not logged, but lies between the send and the
# execution. Hence each request sent at or after x and executed at or before y
# was admitted in [x, y], and the number of these requests must not exceed
# rate x (y - x) + burst. All windows from a send to an execution are checked,
# without tolerance.
{
	sent[NR] = $1
	ran[NR] = $2
	if ($2 - $1 > spread)
		spread = $2 - $1
}

END {
	largest = -burst
	for (i = 1; i <= NR; i++) {
		count = 0
		for (k = 1; k <= NR; k++) {
			if (sent[k] < sent[i])
				continue
			count++
			excess = count - rate * (ran[k] - sent[i]) / 1e6 - burst
			if (excess > largest) {
				largest = excess
				length_us = ran[k] - sent[i]
			}
		}
	}
	printf "admitted=%d largest_excess=%.3f window_ms=%.0f spread_ms=%.1f\n",
		NR, largest, length_us / 1000, spread / 1000
	exit largest > 1e-6
}
