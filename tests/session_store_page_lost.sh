#!/usr/bin/env bash
# A daemon starts and the store's answer with one of several pages is lost; later
# the store forgets its history, and a page of the new read is lost too.
# Guards against a mirror that lacks the pages before the lost one: the daemon
# sent requests to a zone that was taken out and knew no server of a service.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"

store_command() {
	curl -sf -X PUT "http://$STORE/test/$1" >/dev/null ||
		fail "the fake store rejected $1"
}
send() { # VM PATH ID: prints the status
	curl -s -o /dev/null --max-time 5 -H "Host: a.example" \
		-H "Authorization: Bearer k1" -H "X-Deadline-Ms: 2000" \
		-H "X-Request-Id: $3" -w '%{http_code}' \
		"http://$(ip_of "$1"):$CALLER_PORT$2"
}
# Requests at VM 1 reach the servers that are in, and only those.
expect_whole_mirror() { # NAME
	local n served=0
	for n in $(seq 12); do
		[ "$(send 1 /b/x "$1-b-$n")" = 200 ] && served=$((served + 1))
	done
	expect "$1: requests that were served" $served 12
	expect "$1: a service with one server is served" \
		"$(send 1 /i/x "$1-i")" 200
	expect "$1: requests in the zone that is out" \
		"$(cat "$WORK"/app-1.out "$WORK"/app-3.out |
			grep -c "^run id=$1-b")" 0
}
restart_with_lost_page() { # NAME CALL
	kill -TERM "${PID_OF[daemon-m1]}"
	wait "${PID_OF[daemon-m1]}"
	store_command "lose?call=$2"
	start_vm_daemon 1 front
	wait_for 10 is_serving 1 || fail "VM 1 is not ready after 10 s"
	sleep 4 # the daemon hands out rates some seconds after its start
	expect_whole_mirror "$1"
}

start_store
put_config 00000003 '["k1"]' 10000
start_vms front front front back
put_item op/evacuate/z1 '{}'
store_command "pages?items=2"
sleep 2
expect_whole_mirror before
restart_with_lost_page first 1
restart_with_lost_page second 2
restart_with_lost_page third 3

# The history is gone, so that all is read again.
store_command "lose?call=2"
store_command "mode?forget"
put_item op/evacuate/z9 '{}' # ends the watches
sleep 0.2
store_command "mode?up"
sleep 4
expect_whole_mirror forgotten
