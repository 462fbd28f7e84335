#!/usr/bin/env bash
# A backend server answers 500 to each request of one route, as when a call of
# its own fails each time.
# Guards against an entry that keeps beginning these requests, refuses some that
# have run, refuses other routes too, or does so without --graph-admission.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
TESTS=$(dirname "$0")
FAILED="HTTP/1.1 500 Failed\r\nX-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
FAIL_PATH=raw-$(printf "$FAILED" | od -An -v -tx1 | tr -d ' \n')/x

send_many() { # ROUTE COUNT PATH: writes "STATUS RETRY_AFTER ID" lines
	local n
	for n in $(seq "$2"); do
		curl -s -o /dev/null --max-time 5 -H "Host: a.example" \
			-H "Authorization: Bearer k1" -H "X-Deadline-Ms: 1000" \
			-H "X-Request-Id: $1-$n" \
			-w "%{http_code} %header{retry-after} $1-$n\n" \
			"http://$(ip_of 1):$CALLER_PORT/$1/$3"
	done >"$WORK/$1.status"
}
count() { grep -c "$2" "$WORK/$1"; }
counter() {
	curl -s "http://$(ip_of 1):$ADMIN_PORT/counters" |
		awk -v name="$1" '$1 == name { n = $2 } END { print n + 0 }'
}
expect_at_least() { # NAME ACTUAL LEAST
	[ "$2" -ge "$3" ] || fail "$1: $2, expected $3 or more"
	echo "ok   $1: $2"
}
start_front() {
	start app-1 perl "$TESTS/faulty_server.pl" "$(ip_of 1):$APP_PORT" i-1 \
		"$WORK/no-such-file"
	put_server 1 i-1 front ready
	start_vm_daemon 1 front
	wait_for 10 is_serving 1 || fail "VM 1 is not ready after 10 s"
	sleep 4 # the daemon hands out rates some seconds after its start
}

start_store
put_config 00000001 '["k1"]' 10000
start_front
send_many s 60 "$FAIL_PATH"
expect "without the setting, requests that fail are all begun" \
	"$(count s.status '^500 ')" 60
expect "without the setting, nothing is counted" "$(counter graph_refused)" 0
kill -TERM "${PID_OF[daemon-m1]}"
wait "${PID_OF[daemon-m1]}"
kill -KILL "${PID_OF[app-1]}"

export BILBERRYHINGE_GRAPH_ADMISSION=on
start_front
for route in s o; do
	send_many $route 120 "$FAIL_PATH"
	expect_at_least "refused requests of route $route" \
		"$(count $route.status '^503 ')" 40
	expect "refusals without Retry-After" \
		"$(count $route.status '^503  ')" 0
	expect "requests of route $route that ran are those answered 500" \
		"$(grep -c "run id=$route-" "$WORK/app-1.out")" \
		"$(count $route.status '^500 ')"
	sleep 0.5
done
send_many b 40 x
expect "another route is served" "$(count b.status '^200 ')" 40
expect_at_least "counter of refusals" "$(counter graph_refused)" 80
expect_at_least "log lines of the change" \
	"$(grep -c graph_share_changed "$WORK/daemon-m1.err")" 1
sleep 3
send_many s 20 x
expect "a route that has recovered is served" "$(count s.status '^200 ')" 20
