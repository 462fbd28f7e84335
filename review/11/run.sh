#!/usr/bin/env bash
# A backend server crashes while the store is down, and its address goes to a
# server of another service after `reuse_after`. Orders must not run there.
#
# TROUBLE=0 does the same without the crash and without the outage.
HERE=$(cd "$(dirname "$0")" && pwd)
cd "$HERE/../.." || exit 2
. review/lib-3.sh

OUTAGE_S=4.5      # platform_down of the site: for_s = 4.5
REUSE_AFTER_S=2.0 # settings: reuse_after = "2s"
TAIL_S=2.5        # after the outage; entries are back within two seconds

# send_orders VM NAME END: one order after the other until this second.
send_orders() {
	local n=0 status
	while [ "$SECONDS" -lt "$3" ]; do
		n=$((n + 1))
		status=$(curl -s -o /dev/null -w '%{http_code}' --max-time 4 \
			-X POST --data "order $2-$n" -H "Host: a.example" \
			-H "Authorization: Bearer k1" -H "X-Request-Id: $2-$n" \
			-H "X-Deadline-Ms: 3000" \
			"http://$(ip_of "$1"):$CALLER_PORT/o/$2-$n")
		echo "$(now_ms) order id=$2-$n at=$(ip_of "$1") answered=$status" \
			>>"$WORK/client-$2.out"
	done
}

start_store 1 2 3 4
put_item op/config '{"version":"00000007","routes":{"columns":["name","host",
"prefix","kind","timeout","target_latency","priority","max_attempts","public",
"service"],"rows":[["order","a.example","/o/","unsafe","1500ms","1000ms",0,2,
false,"orders"],["ledger","a.example","/l/","safe","1500ms","1000ms",2,2,false,
"ledger"]]},"services":{"columns":["name","health_path","max_connections",
"cold_start","cold_per_s"],"rows":[["orders","/health",748,"3s",16.0],["ledger",
"/health",748,"3s",16.0]]},"limits":{"max_header_bytes":16384,"max_body_bytes":
1000000,"header_timeout":"3000ms","idle_timeout":"15000ms"},"tenants":{"columns":
["name","api_keys","rate_per_s","burst"],"rows":[["t1",["k1"],1000,1000]]}}'
for m in 1 2; do
	start_app "app-$m" $m "i-$m" orders
	put_server $m "i-$m" orders ready "z$m"
	start_daemon $m orders "z$m"
done
for m in 3 4; do
	start_app "app-$m" $m "i-$m" ledger
	put_server $m "i-$m" ledger ready "z$((m - 2))"
	start_daemon $m ledger "z$((m - 2))"
done
for m in 1 2 3 4; do
	wait_for 15 is_ready $m || cannot_run "VM $m is not ready"
done
sleep 4 # rates are handed out some seconds after the start

end=$((SECONDS + 10))
for m in 1 2 3 4; do send_orders $m "c$m" $end & done
sleep 1
outage_at=$(now_ms)
if [ "$TROUBLE" != 0 ]; then
	cut_store close
	kill -KILL "${PID_OF[app-1]}"
	sleep "$REUSE_AFTER_S"
	reused_at=$(now_ms)
	start_app app-1-reused 1 i-9 ledger
	sleep "$(awk "BEGIN { print $OUTAGE_S - $REUSE_AFTER_S }")"
	heal_store
	# The crashed server's entry lapsed; the new server registers.
	remove_item servers/i-1
	put_server 1 i-9 ledger ready z1
	sleep "$TAIL_S"
fi
for job in $(jobs -p); do wait "$job"; done

{
	echo "TROUBLE=$TROUBLE; times in ms of the same clock"
	[ "$TROUBLE" = 0 ] || {
		echo "$outage_at the store is down, server i-1 of orders at" \
			"$(ip_of 1) crashes"
		echo "$reused_at its address goes to server i-9 of ledger"
		echo "$((outage_at + 4500)) the store is back"
	}
	echo "answers to orders:"
	cat "$WORK"/client-*.out | sed 's/.*answered=//' | sort | uniq -c
	echo "orders that each server ran:"
	grep -h "path=/o/" "$WORK"/app-*.out |
		sed 's/.*service=\([a-z]*\).*/\1/' | sort | uniq -c
	echo "orders that a server of ledger ran, the first 20, with answers:"
	grep -h "service=ledger .*path=/o/" "$WORK"/app-*.out | head -20 |
		while read -r line; do
			id=${line#run id=}
			id=${id%% *}
			echo "$line $(cat "$WORK"/client-*.out |
				grep " id=$id " | sed 's/.*answered/answered/')"
		done
} >"$HERE/record.txt"
ran=$(cat "$WORK"/app-*.out | grep -c "service=orders .*path=/o/")
foreign=$(cat "$WORK"/app-*.out | grep -c "service=ledger .*path=/o/")
[ "$ran" -gt 50 ] || cannot_run "only $ran orders ran"
echo "orders run by orders: $ran, by ledger: $foreign"
[ "$foreign" -eq 0 ]
