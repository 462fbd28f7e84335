#!/usr/bin/env bash
# Daemons get SIGTERM while callers go on sending over their open connections, and
# on new ones once a response has closed theirs.
# Guards against requests that were accepted and then cut off: each one that a
# server ran is answered, and no stop of another VM's daemon makes an answer
# uncertain.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
TESTS=$(dirname "$0")

load() { # NAME VM METHOD PATH
	perl "$TESTS/kept_connections.pl" "$(ip_of "$2"):$CALLER_PORT" k1 "$1" \
		12 7 "$3" "$4" >"$WORK/$1.load" &
	LOADS+=($!)
}
stop_daemon() { # VM
	kill -TERM "${PID_OF[daemon-m$1]}"
	wait "${PID_OF[daemon-m$1]}"
	expect "exit status of the daemon on VM $1" $? 0
}
# Prints the requests of a load without an answer that a server has run.
cut_requests() { # NAME
	sed -n 's/^unanswered //p' "$WORK/$1.load" |
		while read -r id; do
			grep -hq "^run id=$id " "$WORK"/app-*.out && echo "$id"
		done
}
statuses() { # NAME
	awk '$1 == "answered" { n[$3]++ } END { for (s in n) print s, n[s] }' \
		"$WORK/$1.load" | sort | xargs
}

start_store
put_config 00000003 '["k1"]' 10000
start_vms front front front back back

LOADS=()
load quick 4 GET /b/x
load slow 4 GET /b/slow/1
load order 4 POST /o/x
load other 5 POST /o/x
sleep 2
stop_daemon 1 # a guard
sleep 1
stop_daemon 4 # the entry of three of the loads
wait "${LOADS[@]}"

for name in quick slow order other; do
	echo "$name: $(statuses $name), unanswered $(grep -c ^unanswered "$WORK/$name.load")"
	expect "requests of load $name that ran and were cut" \
		"$(cut_requests $name | wc -l)" 0
	[ "$(grep -c "^answered .* 200$" "$WORK/$name.load")" -gt 50 ] ||
		fail "load $name is too small to show anything"
done
# 502 and 504 say that an order may have run.
for name in order other; do
	expect "orders of load $name with an uncertain answer" \
		"$(grep -cE "^answered .* 50[24]$" "$WORK/$name.load")" 0
done
