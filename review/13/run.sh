#!/usr/bin/env bash
# An order crashes each server that runs it, and comes again every few seconds.
# After the third crash it must reach servers in three retries at most. Twice,
# half of the daemons are killed at the same moment.
#
# TROUBLE=0 does the same without the kills.
HERE=$(cd "$(dirname "$0")" && pwd)
cd "$HERE/../.." || exit 2
. review/lib-3.sh

RETRIES_MAX=3       # RULES.md: "in more than three retries"
STABLE_WINDOW_MS=3000
PAUSE_S=4.5         # between two sends of the order
SERVER_BACK_S=2     # "the server is back after some seconds"
RESTART_S=0.5       # a killed daemon starts again after a short delay
POISON=/o/slow/poison

start_store 1 2 3 4 5 6
put_item op/config '{"version":"00000007","routes":{"columns":["name","host",
"prefix","kind","timeout","target_latency","priority","max_attempts","public",
"service"],"rows":[["order","a.example","/o/","unsafe","1500ms","1000ms",0,2,
false,"orders"],["ledger","a.example","/l/","safe","1500ms","1000ms",2,2,false,
"ledger"]]},"services":{"columns":["name","health_path","max_connections",
"cold_start","cold_per_s"],"rows":[["orders","/health",748,"3s",16.0],["ledger",
"/health",748,"3s",16.0]]},"limits":{"max_header_bytes":16384,"max_body_bytes":
1000000,"header_timeout":"3000ms","idle_timeout":"15000ms"},"tenants":{"columns":
["name","api_keys","rate_per_s","burst"],"rows":[["t1",["k1"],1000,1000]]}}'
for m in 1 2 3; do
	start_app "app-$m" $m "i-$m-0" orders
	put_server $m "i-$m-0" orders ready "z$m"
	start_daemon $m orders "z$m"
done
for m in 4 5 6; do
	start_app "app-$m" $m "i-$m" ledger
	put_server $m "i-$m" ledger ready "z$((m - 3))"
	start_daemon $m ledger "z$((m - 3))"
done
for m in 1 2 3 4 5 6; do
	wait_for 15 is_ready $m || cannot_run "VM $m is not ready"
done
sleep 6 # rates and permits are handed out some seconds after the start

: >"$WORK/events"
# Crashes the server of a VM when it runs the order, and starts it again under a
# new id.
watch_server() { # VM PID
	local vm=$1 pid=$2 n=0
	while :; do
		until grep -q "path=$POISON" "$WORK/app-$vm.out"; do sleep 0.02; done
		kill -KILL "$pid"
		echo "$(now_ms) crash VM=$vm" >>"$WORK/events"
		mv "$WORK/app-$vm.out" "$WORK/app-$vm-$n.out"
		sleep "$SERVER_BACK_S"
		remove_item "servers/i-$vm-$n"
		n=$((n + 1))
		"$STANDINS/fake_app" "$(ip_of "$vm"):$APP_PORT" "i-$vm-$n" orders \
			>"$WORK/app-$vm.out" 2>>"$WORK/app-$vm.err" &
		pid=$!
		disown
		echo "$pid" >>"$WORK/pids"
		put_server "$vm" "i-$vm-$n" orders ready "z$vm"
	done
}
for m in 1 2 3; do
	watch_server $m "${PID_OF[app-$m]}" &
	PIDS+=($!)
	disown
done

# send_poison VM
send_poison() {
	local status
	COUNT=$((${COUNT:-0} + 1))
	status=$(curl -s -o /dev/null -w '%{http_code}' --max-time 4 -X POST \
		--data "the same body" -H "Host: a.example" \
		-H "Authorization: Bearer k1" -H "X-Request-Id: poison-$COUNT" \
		-H "X-Deadline-Ms: 3000" \
		"http://$(ip_of "$1"):$CALLER_PORT$POISON")
	echo "$(now_ms) sent poison-$COUNT at VM $1, answered $status" \
		>>"$WORK/events"
}
kill_daemons() { # VM...
	local m
	for m in "$@"; do kill -KILL "${PID_OF[daemon-$m]}"; done
	echo "$(now_ms) daemons killed: VMs $*" >>"$WORK/events"
	sleep "$RESTART_S"
	for m in "$@"; do start_daemon "$m" orders "z$m"; done
}

for phase in 1 2 3; do
	for m in 4 5 6 4 5; do
		send_poison $m
		sleep "$PAUSE_S"
	done
	[ $phase -eq 3 ] || [ "$TROUBLE" = 0 ] || {
		kill_daemons 1 2 3
		# Longer than stable_window, so that they are in touch again.
		sleep 6
	}
done
while read -r pid; do PIDS+=("$pid"); done <"$WORK/pids"

{
	echo "TROUBLE=$TROUBLE; times in ms of the same clock"
	sort -n "$WORK/events"
} >"$HERE/record.txt"
crashes=$(grep -c crash "$WORK/events")
third=$(grep crash "$WORK/events" | sort -n | sed -n 3p | cut -d' ' -f1)
[ -n "$third" ] || cannot_run "the order did not crash three servers"
after=$(grep crash "$WORK/events" |
	awk -v t="$third" -v w="$STABLE_WINDOW_MS" '$1 > t + w' | wc -l)
echo "servers crashed: $crashes, retries that reached one after the third: $after"
[ "$after" -le "$RETRIES_MAX" ]
