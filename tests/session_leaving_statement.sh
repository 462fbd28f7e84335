#!/usr/bin/env bash
# A backend server that states in its answers that it leaves gets no new requests
# before the platform lists it as leaving, also after its daemon has restarted.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
KEY="Authorization: Bearer k1"
# Time for which a leaving server still takes requests; set by the users'
# platform.
DRAIN_S=2

start_store
put_config 00000003 '["k1"]' 1000
start_vms front back front

# send_requests PREFIX COUNT: sends requests of the client at VM 2 one after
# another; prints how many were served.
send_requests() {
	local n
	for n in $(seq "$2"); do
		curl -s -o /dev/null --max-time 5 -H "Host: a.example" \
			-H "$KEY" -H "X-Request-Id: $1-$n" \
			-H "X-Deadline-Ms: 3000" -w "%{http_code}\n" \
			"http://$(ip_of 2):$CALLER_PORT/b/x"
	done | grep -c '^200$'
}
count_runs() { grep -c "^run id=$2-" "$WORK/app-$1.out"; }

expect "requests are served" "$(send_requests before 40)" 40
[ "$(count_runs 1 before)" -gt 0 ] || fail "the first server got no request"
curl -sf "http://$(ip_of 1):$APP_PORT/test?leaving=1" >/dev/null
send_requests told 40 >/dev/null
sleep $DRAIN_S
expect "requests are served by the server that stays" \
	"$(send_requests after 40)" 40
expect "the leaving server gets none of them" "$(count_runs 1 after)" 0

kill -KILL "${PID_OF[daemon-m1]}"
start_vm_daemon 1 front
wait_for 10 is_serving 1 || fail "VM 1 is not ready 10 s after its restart"
send_requests restarted 40 >/dev/null
expect "it gets none after a restart of its daemon" \
	"$(count_runs 1 restarted)" 0

curl -sf "http://$(ip_of 1):$APP_PORT/test?leaving=" >/dev/null
gets_requests() {
	send_requests again 20 >/dev/null
	[ "$(count_runs 1 again)" -gt 0 ]
}
wait_for 15 gets_requests ||
	fail "a server that no longer leaves gets no request for 15 s"
echo "ok   it gets requests again when it no longer leaves"
