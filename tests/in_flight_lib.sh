# Functions for tests that take a VM out of use while requests are in flight
# there. Source this file after platform_lib.sh. Servers of the service front
# run at VM 3, which is in the failure domain of all entries and so gets all
# requests, and at VM 2, which gets them while VM 3 is out of use.

SERVER_MS=1500 # time that a server takes for a slow request
LARGE_BYTES=900000
LEAVING_VM=3
LEAVING_ID=i-3
OTHER_VM=2
ROUND=0
# Requests that a daemon runs at once at a server with the listed 20 slots.
SLOTS=18

put_in_flight_config() {
	put_item op/config "{\"version\":\"00000003\",
	\"routes\":{\"columns\":[\"name\",\"host\",\"prefix\",\"kind\",
	\"timeout\",\"priority\",\"max_attempts\",\"public\",\"service\"],
	\"rows\":[[\"order\",\"a.example\",\"/o/\",\"unsafe\",\"6s\",0,1,
	false,\"front\"],[\"call\",\"a.example\",\"/c/\",\"unsafe\",
	\"6s\",0,1,true,\"front\"],[\"browse\",\"a.example\",\"/b/\",
	\"safe\",\"6s\",1,2,true,\"front\"],[\"long\",\"a.example\",
	\"/l/\",\"safe\",\"20s\",1,2,true,\"front\"]]},
	\"services\":{\"columns\":[\"name\",\"health_path\",
	\"max_connections\",\"cold_start\",\"cold_per_s\"],\"rows\":[
	[\"front\",\"/health\",100,\"1s\",50],
	[\"back\",\"/health\",100,\"1s\",50]]},
	\"limits\":{\"max_header_bytes\":8192,\"header_timeout\":\"3s\",
	\"idle_timeout\":\"15s\",\"max_body_bytes\":1000000},
	\"tenants\":{\"columns\":[\"name\",\"api_keys\",\"rate_per_s\",
	\"burst\"],\"rows\":[[\"t1\",[\"k1\"],1000,1000]]}}"
}

# start_in_flight_vms SERVICE...: starts further VMs, from VM 4 on.
start_in_flight_vms() {
	start_store
	put_in_flight_config
	start_vms back front front "$@"
	set_server_ms $SERVER_MS
}
set_server_ms() { # MS
	local m
	for m in $OTHER_VM $LEAVING_VM; do
		curl -sf "http://$(ip_of $m):$APP_PORT/test?slow_ms=$1&large=$LARGE_BYTES" \
			>/dev/null || fail "cannot configure the server of VM $m"
	done
}

delete_item() {
	curl -sf -X DELETE "http://$STORE/test/item?key=$1" >/dev/null ||
		fail "the fake store does not delete $1"
}
# The entry of the leaving VM is removed without a report that it drains.
remove_entry() { delete_item "servers/$LEAVING_ID"; }
restore_entry() { put_server $LEAVING_VM "$LEAVING_ID" front ready; }

# send ENTRY ID PATH: sends a request with its key if the path is not public,
# and logs its status, exit status of curl, bytes and seconds.
send() {
	local key=()
	[ "${3:0:3}" != /o/ ] || key=(-H "Authorization: Bearer k1")
	curl -s -o /dev/null --max-time "${PATIENCE_S:-10}" -X "${METHOD:-POST}" "${key[@]}" \
		-H "Host: a.example" -H "X-Request-Id: $2" \
		-H "X-Deadline-Ms: ${DEADLINE_MS:-6000}" \
		-w "$2 %{http_code} %{exitcode} %{size_download} %{time_total}\n" \
		"http://$(ip_of "$1"):$CALLER_PORT$3" >>"$WORK/round.log"
}

# begin_round ENTRY [PATH...]: sends requests to an entry, by default orders of
# callers and calls of its server, some of them with large answers, and waits
# until the leaving VM runs all of them.
begin_round() {
	local entry=$1 path n=0
	shift
	ROUND=$((ROUND + 1))
	: >"$WORK/round.log"
	SENDS=()
	[ $# -gt 0 ] || set -- /o/slow/x /c/slow/x /o/slow/large/x \
		/c/slow/large/x /o/slow/y /c/slow/y /o/slow/large/y /c/slow/large/y
	for path in "$@"; do
		n=$((n + 1))
		send "$entry" "r$ROUND-$n" "$path" &
		SENDS+=($!)
	done
	SENT=$n
	wait_for 3 all_run || fail "VM $LEAVING_VM does not run all requests"
}
ran_at() { grep -c "^run id=$2-" "$WORK/app-$1.out"; } # VM ID_PREFIX
all_run() { [ "$(ran_at $LEAVING_VM r$ROUND)" = "$SENT" ]; }

# Every request of the round must be answered by its server, completely.
expect_answers() { # TEXT
	wait "${SENDS[@]}"
	expect "$1: requests that were not answered by their server" \
		"$(awk '$2 != 200 || $3 != 0' "$WORK/round.log" | head -3)" ""
	expect "$1: large answers that are incomplete" \
		"$(awk -v min=$LARGE_BYTES '$4 > 1000 && $4 < min' \
			"$WORK/round.log")" ""
	expect "$1: requests that ran more than once" \
		"$(cat "$WORK"/app-*.out | sed -n "s/^run id=\(r$ROUND-[0-9]*\) .*/\1/p" |
			sort | uniq -d)" ""
}
# expect_unused TEXT ENTRY: requests that are sent now go to the other VM, and
# are answered.
expect_unused() {
	local n
	for n in 1 2 3 4; do send "$2" "n$ROUND-$n" "/o/new-$n"; done
	expect "$1: new requests at VM $LEAVING_VM" \
		"$(ran_at $LEAVING_VM n$ROUND)" 0
	expect "$1: new requests at VM $OTHER_VM" \
		"$(ran_at $OTHER_VM n$ROUND)" 4
}
is_used_by() { # ENTRY
	send "$1" "u$ROUND-$RANDOM" /b/again
	tail -1 "$WORK/app-$LEAVING_VM.out" | grep -q "^run id=u$ROUND-"
}
# expect_used TEXT ENTRY: the leaving VM gets requests again.
expect_used() {
	wait_for 8 is_used_by "$2" ||
		fail "$1: VM $LEAVING_VM gets no requests within 8 s"
	echo "ok   $1: VM $LEAVING_VM gets requests again"
}
# counter_at VM NAME: prints a counter of a daemon, 0 if it has no such counter.
counter_at() {
	curl -sf "http://$(ip_of "$1"):$ADMIN_PORT/counters" |
		awk -v name="$2" '$1 == name { print $2; found = 1 }
			END { if (!found) print 0 }'
}
has_no_retired_links() { [ "$(counter_at "$1" peer_links_detached)" = 0 ]; }
