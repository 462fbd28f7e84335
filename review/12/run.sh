#!/usr/bin/env bash
# Servers leave without reporting `draining`, each shortly after two machines
# have been cut off from the store for 0.3 s. No order may reach a server later
# than `drain` after the store has accepted the removal of its entry.
#
# TROUBLE=0 does the same without the cuts.
HERE=$(cd "$(dirname "$0")" && pwd)
cd "$HERE/../.." || exit 2
. review/lib-3.sh

DRAIN_MS=2000     # settings: drain = "2000ms"
CLOCK_MS=10       # grain of the clock that the removal is noted with
CUT_S=0.3         # node_cut of the site: share 0.3, for_s = 8.0
AFTER_CUT_S=0.2   # from the end of the cut to the removal
# The server continues serving for `drain` and a little longer, and then exits.
# Its orders take 100 ms, so those that it got within `drain` have ended.
EXIT_AFTER_S=2.15

start_store 1 2 3 4 5 6
put_item op/config '{"version":"00000007","routes":{"columns":["name","host",
"prefix","kind","timeout","target_latency","priority","max_attempts","public",
"service"],"rows":[["order","a.example","/o/","unsafe","1500ms","1000ms",0,2,
false,"orders"],["ledger","a.example","/l/","safe","1500ms","1000ms",2,2,false,
"ledger"]]},"services":{"columns":["name","health_path","max_connections",
"cold_start","cold_per_s"],"rows":[["orders","/health",748,"3s",16.0],["ledger",
"/health",748,"3s",16.0]]},"limits":{"max_header_bytes":16384,"max_body_bytes":
1000000,"header_timeout":"3000ms","idle_timeout":"15000ms"},"tenants":{"columns":
["name","api_keys","rate_per_s","burst"],"rows":[["t1",["k1"],3000,3000]]}}'
zone_of() { echo "z$(($1 % 2))"; }
for m in 1 2 3 4; do
	start_app "app-$m" $m "i-$m" orders
	put_server $m "i-$m" orders ready "$(zone_of $m)"
	start_daemon $m orders "$(zone_of $m)"
done
for m in 5 6; do
	start_app "app-$m" $m "i-$m" ledger
	put_server $m "i-$m" ledger ready "$(zone_of $m)"
	start_daemon $m ledger "$(zone_of $m)"
done
for m in 1 2 3 4 5 6; do
	wait_for 15 is_ready $m || cannot_run "VM $m is not ready"
done
for m in 1 2 3 4; do
	curl -sf "http://$(ip_of $m):$APP_PORT/test?slow_ms=100" >/dev/null
done
sleep 4 # rates are handed out some seconds after the start

# Clients are on the machines of servers that stay and that are never cut off.
start clients "$STANDINS/orders" o 60 33 /o/slow/ \
	"$(ip_of 5):$CALLER_PORT" "$(ip_of 6):$CALLER_PORT"
sleep 4
# leave VM CUT_VM...: the server of VM leaves.
leave() {
	local vm=$1
	shift
	if [ "$TROUBLE" != 0 ]; then
		cut_store close "$@"
		sleep "$CUT_S"
		heal_store
		sleep "$AFTER_CUT_S"
	fi
	remove_item "servers/i-$vm"
	echo "$vm $(now_ms)" >>"$WORK/removals"
	sleep "$EXIT_AFTER_S"
	kill -KILL "${PID_OF[app-$vm]}"
	sleep 1
}
# Each leaving server comes back under its id, to leave again.
for round in 1 2 3; do
	for m in 1 2; do
		leave $m 3 4
		mv "$WORK/app-$m.out" "$WORK/app-$m-$round.out"
		start_app "app-$m" $m "i-$m" orders
		curl -sf --retry 5 --retry-connrefused --retry-delay 1 \
			"http://$(ip_of $m):$APP_PORT/test?slow_ms=100" >/dev/null
		put_server $m "i-$m" orders ready "$(zone_of $m)" 1
	done
	sleep 1
done
wait_for 12 bash -c "! kill -0 ${PID_OF[clients]} 2>/dev/null"
{
	echo "TROUBLE=$TROUBLE; times in ms of the same clock"
	echo "removals of entries: VM, time of the store's acceptance:"
	cat "$WORK/removals"
	echo "answers to orders:"
	sed 's/.*status=//' "$WORK/clients.out" | sort | uniq -c
	echo "orders that ran at a server later than $DRAIN_MS ms after that:"
} >"$HERE/record.txt"
n=0
while read -r vm at; do
	n=$((n + 1))
	round=$(((n + 1) / 2))
	grep -h "^run .*path=/o/" "$WORK/app-$vm-$round.out" |
		sed 's/^run id=\([^ ]*\) at=\([0-9]*\).*/\1 \2/' |
		while read -r id ran; do
			[ "$ran" -le $((at + DRAIN_MS + CLOCK_MS)) ] ||
				echo "late id=$id VM=$vm after=$((ran - at))" \
					"$(grep " id=$id " "$WORK/clients.out" |
						sed 's/.*status/status/')"
		done
done <"$WORK/removals" >>"$HERE/record.txt"
late=$(grep -c "^late " "$HERE/record.txt")
lost=$(grep -c "^late .*status=50[24]" "$HERE/record.txt")
ran=$(cat "$WORK"/app-*.out | grep -c "path=/o/")
[ "$ran" -gt 500 ] || cannot_run "only $ran orders ran"
echo "orders run: $ran, late at a leaving server: $late, of these lost: $lost"
[ "$late" -eq 0 ]
