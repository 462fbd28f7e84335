#!/usr/bin/env bash
# A VM that leaves on the platform's list only gets no new work 3 s later from
# any entry of a failure domain with more VMs than relays, also from one that
# started after the change. Guards against daemons that do not read the
# platform themselves and never learn of the list.
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
wait_for 5 has_work || fail "catalogue-4 gets no work before the change"
# knows VM: whether it knows that catalogue-4 leaves.
sees_leaving() {
	curl -s "http://${ADMIN_OF[$1]}/status" | tr -d '\n ' |
		grep -q '"vm":"catalogue-4"[^}]*"usable":false'
}
put_vms catalogue-4
start_timer
wait_until_elapsed 3
count=$(count_executions catalogue-4)
for vm in "${VMS[@]}"; do
	sees_leaving "$vm" || fail "$vm does not know after 3 s that catalogue-4 leaves"
	echo "ok   $vm knows that catalogue-4 leaves"
done
wait_until_elapsed 5
expect "a VM leaving by the platform's list gets no work" \
	"$(count_executions catalogue-4)" "$count"

for vm in deposits-1 returns-1 reservations-3; do
	kill -KILL "${PID_OF[daemon-$vm]}"
	wait "${PID_OF[daemon-$vm]}" 2>/dev/null
	start_daemon "$vm"
	wait_ready "$vm"
	start_timer
	wait_until_elapsed 3
	sees_leaving "$vm" || fail "$vm does not know the list 3 s after its start"
	echo "ok   $vm knows the list 3 s after its start"
done
expect "daemons that started later send it no work" \
	"$(count_executions catalogue-4)" "$count"
put_vms
wait_for 13 executions_exceed catalogue-4 "$count" ||
	fail "a VM that is live again on the list gets no work within 13 s"
echo "ok   a VM that is live again on the list gets work"
