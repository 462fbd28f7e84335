#!/usr/bin/env bash
# A daemon starts while the store is slow, and reads the store's items in two
# pages. The operator takes a key away and a server's entry changes between the
# two pages. The daemon must apply the configuration. See claim.txt.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"

SERVERS=51 # the store's page has 50 items, as in the site files
SLOW_MS=128 # 4 ms an answer, 32 times as long

config_body() { # VERSION KEYS
	echo "{\"version\":\"$1\",
	\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\",
	\"timeout\",\"target_latency\",\"priority\",\"max_attempts\",\"public\",
	\"service\"],\"rows\":[[\"r-browse\",\"a.example\",\"/b/\",\"safe\",
	\"5s\",\"1500ms\",2,2,false,\"catalogue\"]]},
	\"services\":{\"columns\":[\"name\",\"health_path\",
	\"max_connections\",\"cold_start\",\"cold_per_s\"],\"rows\":[
	[\"catalogue\",\"/health\",748,\"3s\",16]]},
	\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,
	\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},
	\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"rate_per_s\",
	\"burst\"],\"rows\":[[\"t1\",$2,1000,1000]]}}"
}
put_both() { # VERSION KEYS MACHINE STATE SEQUENCE
	curl -sf -m 5 -X PUT -o /dev/null --data-binary \
		"$(config_body "$1" "$2")" \
		"http://$STORE/test/item?key=op/config" --next -sf -m 5 -X PUT \
		-o /dev/null --data-binary "$(server_body "$3" catalogue "$4" \
			"$(zone_of "$3")" "$5")" \
		"http://$STORE/test/item?key=servers/$(id_of "$3")" ||
		unfit "the store does not take the changes"
}
zone_of() { echo "zone-$(($1 % 3))"; }
id_of() { printf 'i-%02d' "$1"; }
send() { # MACHINE KEY REQUEST-ID: prints the status
	curl -s -o /dev/null -m 6 -H "Host: a.example" \
		-H "Authorization: Bearer $2" -H "X-Deadline-Ms: 5000" \
		-H "X-Request-Id: $3" -w '%{http_code}' \
		"http://$(ip_of "$1"):$CALLER_PORT/b/x"
}
runs() { cat "$WORK"/app-*.out | grep -c "^run id=$1 "; }
pages_asked() { grep -c "GET /-/kv-range" "$WORK/proxy.out"; }
has_asked() { [ "$(pages_asked)" -gt "$1" ]; }

free_port
PROXY=127.0.0.1:$PORT
echo 0 >"$WORK/delay"
start_store
start proxy perl "$STANDINS/slow_proxy.pl" "$PROXY" "$STORE" "$WORK/delay"
put_item op/config "$(config_body 00000003 '["k0","k1"]')"
for n in $(seq "$SERVERS"); do
	start "app-$n" "$FAKES/fake_app" "$(ip_of "$n"):$APP_PORT" \
		"$(id_of "$n")" catalogue
	put_server "$n" "$(id_of "$n")" catalogue ready "$(zone_of "$n")" 1
done
for n in $(seq "$SERVERS"); do
	start_daemon "$n" catalogue "$(zone_of "$n")" "$PROXY"
done
for n in $(seq "$SERVERS"); do
	wait_for 20 is_ready "$n" || unfit "machine $n is not ready"
done
sleep 5
for n in 1 2 3; do
	note "before: machine $n, key k0: $(send "$n" k0 "before-$n-k0")," \
		"key k1: $(send "$n" k1 "before-$n-k1")"
done

# Planned: the daemon of a machine is stopped and started; the operator takes a
# key away and a server's entry changes. Whether the writes fall between the two
# pages depends on the load of the computer, so it is done at up to three
# machines, one after the other, until one of them has missed the change.
restart_during_change() { # MACHINE VERSION OLD-KEY NEW-KEY SERVER STATE
	kill -TERM "${PID_OF[daemon-$1]}"
	note "SIGTERM to the daemon of machine $1"
	wait_for 8 eval "! kill -0 ${PID_OF[daemon-$1]} 2>/dev/null" ||
		kill -KILL "${PID_OF[daemon-$1]}"
	if [ "$TROUBLE" = 1 ]; then
		echo "$SLOW_MS" >"$WORK/delay"
		note "the store's answers take $SLOW_MS ms longer"
	fi
	local asked
	asked=$(pages_asked)
	start_daemon "$1" catalogue "$(zone_of "$1")" "$PROXY"
	note "the daemon of machine $1 starts"
	until has_asked "$asked"; do sleep 0.01; done
	# Both writes at once; ordinary changes of a deployment at work.
	put_both "$2" "[\"k0\",\"$4\"]" "$5" "$6" "$1$1"
	note "acknowledged: configuration $2 without key $3, with key $4, then" \
		"server $(id_of "$5") $6"
	wait_for 10 is_ready "$1" || unfit "machine $1 is not ready again"
	sleep 0.5
	echo 0 >"$WORK/delay"
	note "the store answers as fast as before"
	sleep 3
}
tries=("1 00000005 k1 k2 51 draining" "2 00000008 k2 k3 50 draining"
	"3 0000000b k3 k4 51 ready")
for try in "${tries[@]}"; do
	# shellcheck disable=SC2086
	restart_during_change $try
	read -r _ _ old new _ <<<"$try"
	[ "$(send "${try%% *}" "$new" "look-${try%% *}")" = 200 ] || break
done
# stable_window 3 s + max_stretch 5 s + config_apply 2 s, and more
sleep 12

broken=0
for round in 1 2 3; do
	for n in 1 2 3 4; do
		for key in k0 "$old" "$new"; do
			id=after-$round-$n-$key
			status=$(send "$n" "$key" "$id")
			ran=$(runs "$id")
			note "round $round, machine $n, key $key: $status, ran $ran times"
			[ "$key" = "$old" ] && [ "$ran" != 0 ] && broken=$((broken + 1))
			[ "$key" != "$old" ] && [ "$status" = 401 ] && broken=$((broken + 1))
		done
	done
	sleep 4
done
note "requests that were handled as only the older version allows: $broken"
[ "$broken" = 0 ]
