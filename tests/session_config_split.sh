#!/usr/bin/env bash
# Two contents of one version that came into force on two sides, each with a
# platform of its own: the greater hash wins on both and the loser is reported.
# Guards against sides that stay apart or change over without a word.
BUILD=$1
. "$(dirname "$0")/lib.sh"
load_set "$(dirname "$0")/../examples/lakeshore"
keep_vms catalogue-1 reservations-1

start platform "$BIN/fake_platform"
PLATFORM=$(address_of platform)
publish "$SET" 1
first=$(b2sum -l 256 "$WORK/published-1/manifest" | cut -d' ' -f1)
start_vm catalogue-1
wait_for 13 has_version catalogue-1 1 || fail "catalogue-1 has no version"
# It cannot tell the other side its version before that has one in force.
kill -STOP "${PID_OF[daemon-catalogue-1]}"
start platform-2 "$BIN/fake_platform"
PLATFORM=$(address_of platform-2)
set_state key county-schools withdrawn
publish "$SET" 1
second=$(b2sum -l 256 "$WORK/published-1/manifest" | cut -d' ' -f1)
start_vm reservations-1
wait_for 13 has_version reservations-1 1 || fail "reservations-1 has no version"
kill -CONT "${PID_OF[daemon-catalogue-1]}"

winner=$first
loser=$second
if [[ $second > $first ]]; then
	winner=$second
	loser=$first
fi
status_has() {
	curl -sf "http://${ADMIN_OF[$1]}/status" | grep -q "$2"
}
for vm in "${VMS[@]}"; do
	wait_for 13 status_has "$vm" "\"hash\": \"$winner\"" ||
		fail "$vm does not have the greater hash in force after 13 s"
	echo "ok   $vm has the greater hash in force"
done
sleep 1
reported=0
for vm in "${VMS[@]}"; do
	expect "$vm keeps the version" "$(version_of "$vm")" 1
	status_has "$vm" "\"hash\": \"$winner\"" || fail "$vm changed again"
	[ "$(counter_of "$vm" config_conflicts)" -gt 0 ] &&
		status_has "$vm" "$loser is not in force" &&
		grep -q "event=config_conflict version=1 loser=$loser" \
			"$WORK/daemon-$vm.err" && reported=$((reported + 1))
	status_has "$vm" "$winner is not in force" &&
		fail "$vm reports the winner as the loser"
done
[ $reported -gt 0 ] || fail "the content that lost is not reported"
echo "ok   the content that lost is reported"
