#!/usr/bin/env bash
# Two of the three daemons of a zone are stopped one after the other while
# clients go on. A request that a draining daemon has passed on to a server must
# get that server's answer. See claim.txt.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"

WORK_MS=290 # reserve-instrument of lrsl-mesh: mean 290, at most 1700
LONG_MS=1700
LONG_EACH=10

start_store
put_item op/config "{\"version\":\"00000003\",
	\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\",
	\"timeout\",\"target_latency\",\"priority\",\"max_attempts\",\"public\",
	\"service\"],\"rows\":[[\"r-reserve\",\"a.example\",\"/u/\",\"unsafe\",
	\"5s\",\"2000ms\",0,2,false,\"reservations\"]]},
	\"services\":{\"columns\":[\"name\",\"health_path\",
	\"max_connections\",\"cold_start\",\"cold_per_s\"],\"rows\":[
	[\"reservations\",\"/health\",748,\"3s\",16]]},
	\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,
	\"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"},
	\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"rate_per_s\",
	\"burst\"],\"rows\":[[\"t1\",[\"k1\"],1000,1000]]}}"
ready=()
for n in 1 2 3 4 5 6; do
	zone=toledo
	[ "$n" -le 3 ] && zone=cleveland && ready+=("$(ip_of "$n"):$READY_PORT")
	start "app-$n" perl "$STANDINS/app.pl" "$(ip_of "$n"):$APP_PORT" \
		"i-$n" reservations "$WORK_MS" 300 "$LONG_MS"
	put_server "$n" "i-$n" reservations ready "$zone" 1
	start_daemon "$n" reservations "$zone"
done
for n in 1 2 3 4 5 6; do
	wait_for 20 is_ready "$n" || unfit "machine $n is not ready"
done
sleep 5

start clients perl "$STANDINS/clients.pl" "$(ip_of 1):$CALLER_PORT" 14 20 \
	"$LONG_EACH" "${ready[@]}"
sleep 4
term=$(date +%s.%3N)
if [ "$TROUBLE" = 1 ]; then
	kill -TERM "${PID_OF[daemon-1]}"
	note "SIGTERM to the daemon of machine 1 (at $term)"
	sleep 1
	kill -TERM "${PID_OF[daemon-2]}"
	note "SIGTERM to the daemon of machine 2"
	sleep 6.5
	start_daemon 1 reservations cleveland
	start_daemon 2 reservations cleveland
	note "both daemons start again"
fi
ended() { ! kill -0 "${PID_OF[clients]}" 2>/dev/null; }
wait_for 25 ended || unfit "the clients do not end"

cat "$WORK"/app-*.out >"$WORK/servers"
{
	echo "--- what the clients sent to machine 1 and got"
	cat "$WORK/clients.out"
	echo "--- what the servers ran, answered, and found cut"
	sort "$WORK/servers"
} >>"$RECORD"
# Passed on to a server, and no whole answer of a server, though the server was
# at work, and the request was sent later than 3 s after the SIGTERM or ended
# before the last sixth of grace (5 s after it); deadline and timeout are 5 s.
broken=$(awk -v term="$term" '
	FNR == NR { split($3, v, "="); if ($2 == "run") ran[v[2]] = $1; next }
	/^id=/ {
		for (i = 1; i <= NF; i++) { split($i, v, "="); f[v[1]] = v[2] }
		if (!(f["id"] in ran) || (f["seal"] == 1 && f["how"] == "complete"))
			next
		if (f["ended"] - f["sent"] > 4.9 || f["sent"] < term - 3)
			next
		if (f["sent"] <= term + 3 && f["ended"] >= term + 5)
			next
		printf "%s sent %.2f s after SIGTERM, ended %.2f s after it, status %s, %s\n", f["id"], f["sent"] - term, f["ended"] - term, f["status"], f["how"]
	}' "$WORK/servers" "$WORK/clients.out")
[ -z "$broken" ] || note "broken off while a server worked on them:
$broken"
count=$(grep -c '^r-' <<<"$broken")
note "requests broken off: $count of $(grep -c '^id=' "$WORK/clients.out")"
[ "$count" = 0 ]
