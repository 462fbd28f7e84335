#!/usr/bin/env bash
# Learned capacity on the users' platform: three daemons with the setting and one
# without. Guards against figures that do not reach the entries, and against
# daemons that cannot work together while the setting is rolled out.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
KEY="Authorization: Bearer k1"

status_of() { # VM_NUMBER
	curl -s "http://$(ip_of "$1"):$ADMIN_PORT/status"
}

# capacity_of VM_NUMBER NAME: a figure that the VM has learned of its server.
capacity_of() {
	status_of "$1" | sed -n '/"capacity"/,/}/p' |
		sed -n "s/^ *\"$2\": \([0-9]*\).*/\1/p"
}

# knows_time_of VM_NUMBER OTHER_NUMBER
knows_time_of() {
	status_of "$1" | sed -n '/"peers"/,$p' |
		sed -n "/\"vm\": \"$(ip_of "$2")\"/,/}/p" |
		grep -q '"service_us": [1-9]'
}

send_requests() { # VM_NUMBER COUNT
	local n
	for n in $(seq "$2"); do
		curl -s -o /dev/null -w '%{http_code}\n' --max-time 5 \
			-H "Host: a.example" -H "$KEY" \
			-H "X-Request-Id: lc$1-$n" -H "X-Deadline-Ms: 3000" \
			"http://$(ip_of "$1"):$CALLER_PORT/b/x"
	done | sort | uniq -c | xargs
}

learned() { # VM_NUMBER
	[ "$(capacity_of "$1" service_us)" -gt 0 ]
}

start_store
put_config 00000003 '["k1"]' 1000
export BILBERRYHINGE_LEARNED_CAPACITY=on
start_vms front back front
export BILBERRYHINGE_LEARNED_CAPACITY=off
start "app-4" "$BIN/fake_app" "$(ip_of 4):$APP_PORT" i-4 back
put_server 4 i-4 back ready
start_vm_daemon 4 back
wait_for 10 is_serving 4 || fail "VM 4 is not ready after 10 s"

expect "an entry with the setting serves" "$(send_requests 1 120)" "120 200"
expect "an entry without the setting serves" "$(send_requests 4 60)" "60 200"
for m in 1 3; do
	wait_for 5 learned $m || fail "VM $m has not learned its time"
	wait_for 5 knows_time_of 1 $m ||
		fail "VM 1 does not know the service time of VM $m"
	expect "the limit of VM $m is that of its usable slots" \
		"$(capacity_of $m limit)" 18
done
expect "the daemon without the setting learns nothing" \
	"$(status_of 4 | grep -c '"capacity"')" 0
selects_by_time() {
	curl -s "http://$(ip_of 1):$ADMIN_PORT/counters" |
		grep -q '^completion_picks [1-9]'
}
wait_for 3 selects_by_time || fail "VM 1 has selected no server by its time"
echo "ok   VM 1 selects servers by their times"
