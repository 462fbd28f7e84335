#!/usr/bin/env bash
# A backend server is killed and restarted four times under more load than it
# can handle while cold; it exits when it gets more requests than its cold
# slots. Guards against a guard that overloads a server after an unannounced
# cold start.
BUILD=$1
FOLDER=$(dirname "$0")
. "$FOLDER/lib.sh"
# The configured ramp raises the limit from 12 to 110 slots in 8 s, so the limit
# is 18 when the server's cold start ends after 0.5 s, below its 20 cold slots.
BACKEND_ARGS[catalogue]="--service-us 100000 --cold-slots 20 --cold-ms 500"
start_fleet "$FOLDER/../examples/lakeshore" catalogue-1 reservations-1
for i in 1 2 3; do
	start_caller "load$i" reservations-1 --rate 220 \
		--key "bhk_ls${i}_example-secret-ls$i" --hard-retries 3 \
		--duration-ms 13000 --drain-ms 3000 --path /catalogue/violins
done
sleep 3
for round in 1 2 3 4; do
	kill -KILL "${PID_OF[backend-catalogue-1]}"
	sleep 0.3
	start_backend catalogue-1
	sleep 2.2
	kill -0 "${PID_OF[backend-catalogue-1]}" 2>/dev/null ||
		fail "round $round: the server exited on overload"
done
grep -q 'died cold' "$WORK/backend-catalogue-1.err" &&
	fail "the server got more requests than its cold slots"
echo "ok   four cold starts under load"
served=0
for i in 1 2 3; do
	wait_for 20 has_ended "load$i" ||
		fail "load generator load$i does not finish within 20 s"
	served=$((served + $(caller_count "load$i" ok)))
done
[ "$served" -gt 500 ] ||
	fail "only $served requests were served, more than 500 are required"
echo "ok   $served requests were served during the cold starts"
