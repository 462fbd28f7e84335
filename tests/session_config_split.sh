#!/usr/bin/env bash
# Two daemons, each with its own platform, have activated different content
# under one version. The content with the greater hash wins on both and the
# other is reported. Guards against daemons that do not converge, or that change
# the content without reporting it.
BUILD=$1
. "$(dirname "$0")/lib.sh"
load_set "$(dirname "$0")/../examples/lakeshore"
keep_vms catalogue-1 reservations-1

start platform "$BIN/fake_platform"
PLATFORM=$(address_of platform)
publish "$SET" 1
first=$(b2sum -l 256 "$WORK/published-1/manifest" | cut -d' ' -f1)
start_vm catalogue-1
wait_for 13 has_version catalogue-1 1 ||
	fail "catalogue-1 has not activated version 1 after 13 s"
# Stopped, so that it cannot announce its content to the other daemon before
# that daemon has activated its own.
kill -STOP "${PID_OF[daemon-catalogue-1]}"
start platform-2 "$BIN/fake_platform"
PLATFORM=$(address_of platform-2)
set_state key county-schools withdrawn
publish "$SET" 1
second=$(b2sum -l 256 "$WORK/published-1/manifest" | cut -d' ' -f1)
start_vm reservations-1
wait_for 13 has_version reservations-1 1 ||
	fail "reservations-1 has not activated version 1 after 13 s"
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
		fail "$vm has not activated the greater hash after 13 s"
	echo "ok   $vm has activated the greater hash"
done
sleep 1
reported=0
for vm in "${VMS[@]}"; do
	expect "$vm keeps the version" "$(version_of "$vm")" 1
	status_has "$vm" "\"hash\": \"$winner\"" ||
		fail "$vm changed its content again"
	[ "$(counter_of "$vm" config_conflicts)" -gt 0 ] &&
		status_has "$vm" "$loser is not in force" &&
		grep -q "event=config_conflict version=1 loser=$loser" \
			"$WORK/daemon-$vm.err" && reported=$((reported + 1))
	status_has "$vm" "$winner is not in force" &&
		fail "$vm reports the active content as not in force"
done
[ $reported -gt 0 ] ||
	fail "no daemon reports the content with the smaller hash"
echo "ok   the content with the smaller hash is reported"
