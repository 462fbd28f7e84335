# Checks that admitted requests stay within rate x t + burst in every window.
# Input: "SENT_US EXECUTED_US" of each request that ran, sorted by EXECUTED_US.
#
# A request was admitted after its caller sent it and before a backend server
# ran it. So each request sent at or after x and run at or before y was admitted
# in [x, y], and their number may not exceed rate x (y - x) + burst. All windows
# from a send to an execution are checked, without any tolerance.
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
