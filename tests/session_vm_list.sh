#!/usr/bin/env bash
# A VM that is marked as leaving only in the platform's VM list gets no new
# requests after 3 s from any entry of a failure domain with more VMs than
# relays, also not from an entry that started after the change. Guards against
# daemons that do not read the platform themselves and never receive the list.
BUILD=$1
. "$(dirname "$0")/lib.sh"
start_fleet "$(dirname "$0")/../examples/lakeshore" \
	catalogue-1 catalogue-4 reservations-3 deposits-1 returns-1
KEY=bhk_ls1_example-secret-ls1
put_vms
for vm in "${VMS[@]}"; do
	start_caller "$vm" "$vm" --key $KEY --rate 20 \
		--path /catalogue/violins --duration-ms 60000
done
has_work() {
	[ "$(count_executions catalogue-4)" -gt 0 ]
}
wait_for 5 has_work || fail "catalogue-4 gets no requests before the change"
# sees_leaving VM: succeeds when its status shows that catalogue-4 is not
# usable.
sees_leaving() {
	curl -s "http://${ADMIN_OF[$1]}/status" | tr -d '\n ' |
		grep -q '"vm":"catalogue-4"[^}]*"usable":false'
}
put_vms catalogue-4
start_timer
wait_until_elapsed 3
count=$(count_executions catalogue-4)
for vm in "${VMS[@]}"; do
	sees_leaving "$vm" ||
		fail "$vm still shows catalogue-4 as usable after 3 s"
	echo "ok   $vm shows catalogue-4 as not usable"
done
wait_until_elapsed 5
expect "a VM leaving by the platform's list gets no new requests" \
	"$(count_executions catalogue-4)" "$count"

for vm in deposits-1 returns-1 reservations-3; do
	kill -KILL "${PID_OF[daemon-$vm]}"
	wait "${PID_OF[daemon-$vm]}" 2>/dev/null
	start_daemon "$vm"
	wait_ready "$vm"
	start_timer
	wait_until_elapsed 3
	sees_leaving "$vm" ||
		fail "$vm shows catalogue-4 as usable 3 s after its start"
	echo "ok   $vm shows catalogue-4 as not usable 3 s after its start"
done
expect "daemons that started later send it no requests" \
	"$(count_executions catalogue-4)" "$count"
put_vms
wait_for 13 executions_exceed catalogue-4 "$count" ||
	fail "a VM that is live again on the list gets no requests within 13 s"
echo "ok   a VM that is live again on the list gets requests"
