#!/usr/bin/env bash
# A VM that leaves by configuration, by the platform's VM list, by SIGTERM or by
# a crash gets no new requests after 3 s, and a planned stop interrupts no
# request. Guards against entries that follow only one of these sources, and
# against stops that interrupt requests.
BUILD=$1
. "$(dirname "$0")/lib.sh"
# Every request makes an onward call before it completes, also during the drain.
BACKEND_ARGS[catalogue]="--chain GET:/reservations/lookup/7"
start_fleet "$(dirname "$0")/../examples/lakeshore" \
	catalogue-1 catalogue-2 catalogue-3 catalogue-4 reservations-2
KEY=bhk_ls1_example-secret-ls1
put_vms
ENTRIES=(catalogue-2 catalogue-4 reservations-2)
for vm in "${ENTRIES[@]}"; do
	start_caller "$vm" "$vm" --key $KEY --rate 30 \
		--path /catalogue/violins --duration-ms 60000
done
# expect_no_new_requests TEXT VM: checks that the VM starts no requests between
# 3 s and 5 s after the timer was started.
expect_no_new_requests() {
	local count
	wait_until_elapsed 3
	count=$(count_executions "$2")
	wait_until_elapsed 5
	expect "$1" "$(count_executions "$2")" "$count"
}
for vm in catalogue-1 catalogue-2 catalogue-3 catalogue-4; do
	wait_for 5 executions_exceed $vm 0 ||
		fail "$vm gets no requests at the start"
done

set_state vm catalogue-1 leaving
publish "$SET" 2
start_timer
expect_no_new_requests "a VM leaving by configuration gets no new requests" \
	catalogue-1

put_vms catalogue-2
start_timer
expect_no_new_requests \
	"a VM leaving by the platform's list gets no new requests" catalogue-2

# Half of the requests enter at the daemon that is stopped; the others enter
# elsewhere and may run at its backend server.
for i in 1 2 3 4 5 6; do
	for vm in catalogue-3 reservations-2; do
		start "long-$vm-$i" curl -s -m 15 -o /dev/null \
			-w '%{http_code} %{exitcode} %header{bilberryhinge-refusal}\n' \
			-H "Authorization: Bearer $KEY" \
			"http://${CALLER_OF[$vm]}/catalogue/delay-1500"
	done
done
# All requests must be running before the stop: a connection that is opened
# later is refused, which does not count as an interrupted request.
all_long_run() {
	local vm sum=0
	for vm in catalogue-2 catalogue-3 catalogue-4; do
		sum=$((sum + $(count_executions $vm delay-1500)))
	done
	[ $sum -eq 12 ]
}
wait_for 3 all_long_run || fail "not all long requests have started"
[ "$(count_executions catalogue-3 delay-1500)" -ge 3 ] ||
	fail "catalogue-3 gets no long requests"
kill -TERM "${PID_OF[daemon-catalogue-3]}"
start_timer
expect_no_new_requests "a VM that got SIGTERM gets no new requests" catalogue-3
wait "${PID_OF[daemon-catalogue-3]}"
expect "the stopped daemon exits with status 0" $? 0
for i in 1 2 3 4 5 6; do
	for vm in catalogue-3 reservations-2; do
		expect "long request $i through $vm is answered completely" \
			"$(cat "$WORK/long-$vm-$i.out")" "200 0 "
	done
done
for vm in "${ENTRIES[@]}"; do
	expect "planned leaving made no request through $vm fail" \
		"$(caller_count "$vm" failed)" 0
	expect "planned leaving left no unknown outcome through $vm" \
		"$(caller_count "$vm" outcome_unknown)" 0
done

put_vms
set_state vm catalogue-1 active
publish "$SET" 3
wait_for 13 executions_exceed catalogue-1 "$(count_executions catalogue-1)" ||
	fail "a VM that is active again gets no requests within 13 s"
echo "ok   a VM that is active again gets requests"
kill -KILL "${PID_OF[daemon-catalogue-1]}"
start_timer
expect_no_new_requests \
	"a VM whose daemon was killed gets no new requests" catalogue-1
ok=$(caller_count reservations-2 ok)
sleep 1
[ "$(caller_count reservations-2 ok)" -gt "$ok" ] ||
	fail "no requests are served after a daemon was killed"
echo "ok   requests are served after a daemon was killed"
