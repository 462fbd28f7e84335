#!/usr/bin/env bash
# A zone is cut off from the other zone, and the store doesn't answer two of the
# three machines of the zone. A key is withdrawn meanwhile. The third machine
# reaches the store all the while and must refuse the key after `config_apply`.
#
# TROUBLE=0 does the same without the cut and with a store that answers all.
# TROUBLE=zone and TROUBLE=store do it with one of the two only.
HERE=$(cd "$(dirname "$0")" && pwd)
cd "$HERE/../.." || exit 2
. review/lib-3.sh

CONFIG_APPLY_MS=2000 # settings: config_apply = "2000ms"
CUT_S=6.0            # zone_cut of the site: for_s up to 6.3
SILENT_S=9.0         # platform_down (nodes) of the site: share 0.35, for_s 9
CLOCK_MS=10          # grain of the clock that the withdrawal is noted with

# The daemons' links to each other go through a proxy: a daemon listens at an
# address of its own, and its peers connect to that of the VM.
peer_ip_of() { echo "127.0.33.$1"; }
start_peer_link() { # VM...
	local m routes=()
	free_port; PEER_LINK=127.0.0.1:$PORT
	for m in "$@"; do
		routes+=(--route
			"$(ip_of "$m"):$PEER_PORT=$(peer_ip_of "$m"):$PEER_PORT")
	done
	start peer-link "$STANDINS/fake_link" --listen "$PEER_LINK" \
		"${routes[@]}"
	wait_for 5 curl -sf "http://$PEER_LINK/v1/stats" -o /dev/null ||
		cannot_run "the proxy between the daemons does not listen"
}
cut_zone() {
	local a b
	for a in 1 3 5; do
		for b in 2 4 6; do
			curl -sf -X PUT --data-binary \
				"source=$(peer_ip_of $a)"$'\n'"dest=$(peer_ip_of $b)"$'\n'"mode=drop" \
				"http://$PEER_LINK/v1/cut" >/dev/null ||
				cannot_run "the proxy rejected a cut"
		done
	done
}
heal_zone() {
	curl -sf -X PUT --data-binary "" "http://$PEER_LINK/v1/heal" \
		>/dev/null || cannot_run "the proxy rejected the heal"
}

put_config() { # VERSION KEYS
	put_item op/config '{"version":"'"$1"'","routes":{"columns":["name",
"host","prefix","kind","timeout","target_latency","priority","max_attempts",
"public","service"],"rows":[["order","a.example","/o/","unsafe","1500ms",
"1000ms",0,2,false,"orders"],["ledger","a.example","/l/","safe","1500ms",
"1000ms",2,2,false,"ledger"]]},"services":{"columns":["name","health_path",
"max_connections","cold_start","cold_per_s"],"rows":[["orders","/health",748,
"3s",16.0],["ledger","/health",748,"3s",16.0]]},"limits":{"max_header_bytes":
16384,"max_body_bytes":1000000,"header_timeout":"3000ms","idle_timeout":
"15000ms"},"tenants":{"columns":["name","api_keys","rate_per_s","burst"],"rows":
[["t1",'"$2"',1000,1000]]}}'
}

start_store 1 2 3 4 5 6
put_config 00000007 '["k0","k1"]'
start_peer_link 1 2 3 4 5 6
for m in 1 2 3 4 5 6; do
	service=ledger
	[ $m -lt 5 ] || service=orders
	start_app "app-$m" $m "i-$m" $service
	put_server $m "i-$m" $service ready "z$((m % 2))"
	PEER_IP=$(peer_ip_of $m) start_daemon $m $service "z$((m % 2))"
done
for m in 1 2 3 4 5 6; do
	wait_for 15 is_ready $m || cannot_run "VM $m is not ready"
done
sleep 4 # rates are handed out some seconds after the start

# The clients of machine 5 use the key that is withdrawn. Its own server runs their
# orders, so that no other machine takes part.
start clients "$STANDINS/orders" o 4 16 /o/ "$(ip_of 5):$CALLER_PORT"
sleep 3
case $TROUBLE in 1 | store) cut_store drop 1 3 ;; esac
case $TROUBLE in 1 | zone) cut_zone ;; esac
sleep 0.5
put_config 00000009 '["k0"]'
withdrawn_at=$(now_ms)
sleep "$CUT_S"
heal_zone
sleep "$(awk "BEGIN { print $SILENT_S - $CUT_S }")"
heal_store
wait_for 15 bash -c "! kill -0 ${PID_OF[clients]} 2>/dev/null"

late=$(sed 's/.*id=\([^ ]*\) .*sent=\([0-9]*\) .*status=\([0-9]*\)/\1 \2 \3/' \
	"$WORK/clients.out" |
	awk -v t=$((withdrawn_at + CONFIG_APPLY_MS + CLOCK_MS)) \
		'$2 > t && $3 == 200' | wc -l)
{
	echo "TROUBLE=$TROUBLE; times in ms of the same clock"
	echo "$withdrawn_at the store has accepted the withdrawal of the key"
	echo "answers at machine 5, by half seconds after that:"
	sed 's/.*sent=\([0-9]*\) .*status=\([0-9]*\)/\1 \2/' "$WORK/clients.out" |
		awk -v t="$withdrawn_at" '{ s = int(($1 - t) / 500) / 2
			n[s " s: " $2]++ } END { for (k in n) print k, n[k] }' |
		sort -n
	echo "orders with the key that ran too late: $late"
} >"$HERE/record.txt"
grep -q "status=200" "$WORK/clients.out" || cannot_run "no order ran"
echo "orders with a withdrawn key that ran later than config_apply: $late"
[ "$late" -eq 0 ]
