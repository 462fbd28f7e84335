#!/usr/bin/env bash
# The daemons' connections to the store go silent for good, without a reset, while
# new ones work. A change is in force in time although no open watch delivers it.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
# Bounds of the users' platform: daemons count as in touch STABLE_S after such a
# fault, and a change must be in force APPLY_S after it was published.
STABLE_S=3
APPLY_S=2

status_of() { # VM KEY
	curl -s -o /dev/null --max-time 5 -H "Host: a.example" \
		-H "Authorization: Bearer $2" -H "X-Deadline-Ms: 2000" \
		-H "X-Request-Id: s$RANDOM$RANDOM" -w '%{http_code}' \
		"http://$(ip_of "$1"):$CALLER_PORT/b/x"
}
store_mode() { curl -sf -X PUT "http://$STORE/test/mode?$1" >/dev/null; }

start_store
put_config 00000003 '["k1"]' 1000
start_vms front front front front back back

for round in 1 2; do
	# The change ends all watches; the next ones are never answered.
	store_mode silent
	put_config 0000000$((3 + round * 2)) "[\"k1\",\"a$round\"]" 1000
	sleep 0.5
	store_mode up
	sleep $STABLE_S
	put_config 0000000$((4 + round * 2)) "[\"k1\",\"b$round\"]" 1000
	sleep $APPLY_S
	for m in 1 2 3 4 5 6; do
		expect "a change is in force at VM $m, round $round" \
			"$(status_of $m "b$round")" 200
	done
	sleep 5
done
