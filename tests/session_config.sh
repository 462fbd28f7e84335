#!/usr/bin/env bash
# All daemons activate a published version within 13 s and never revert it: not
# for a stale platform, an invalid set, different content under the same
# version, or a restart. Guards against daemons that disagree about the
# configuration or fall back to an older one.
BUILD=$1
. "$(dirname "$0")/lib.sh"
start_fleet "$(dirname "$0")/../examples/lakeshore" \
	catalogue-1 catalogue-2 catalogue-3 catalogue-4 reservations-3 deposits-1
KEY=bhk_ls1_example-secret-ls1
WITHDRAWN=bhk_ls2_example-secret-ls2

all_have() {
	local vm
	for vm in "${VMS[@]}"; do
		has_version "$vm" "$1" || return 1
	done
}
hash_of() {
	curl -sf "http://${ADMIN_OF[$1]}/status" |
		sed -n 's/^ *"hash": "\([0-9a-f]*\)".*/\1/p' | head -1
}
hashes() {
	local vm
	for vm in "${VMS[@]}"; do hash_of "$vm"; done | sort -u
}
count_all() {
	local vm sum=0
	for vm in "${VMS[@]}"; do
		sum=$((sum + $(counter_of "$vm" "$1")))
	done
	echo "$sum"
}
status_has() {
	curl -sf "http://${ADMIN_OF[$1]}/status" | grep -q "\"$2\": \"version $3"
}
any_status_has() {
	local vm
	for vm in "${VMS[@]}"; do
		status_has "$vm" "$1" "$2" && return
	done
	return 1
}

set_state key university-music withdrawn
publish "$SET" 2
wait_for 13 all_have 2 ||
	fail "version 2 is not active on all daemons after 13 s"
echo "ok   version 2 is active on all daemons within 13 s"
expect "all have the same content" "$(hashes | wc -l)" 1

# An invalid set: a part refers to a service that does not exist.
publish_broken() {
	local from=$WORK/published-2 part old new
	part=$(grep -l '"kind":"vm"\|catalogue-1' "$from"/parts/* | head -1)
	old=$(basename "$part")
	sed 's/"reservations"/"reservationz"/g' "$part" >"$WORK/broken"
	new=$(b2sum -l 256 "$WORK/broken" | cut -d' ' -f1)
	put "bilberryhinge/parts/$new" "$WORK/broken"
	sed "s/$old/$new/; s/\"size\": *$(stat -c %s "$part")\b/\"size\": $(stat -c %s "$WORK/broken")/; s/\"version\": *2/\"version\":3/" \
		"$from/manifest" >"$WORK/broken-manifest"
	put bilberryhinge/manifest "$WORK/broken-manifest"
}
publish_broken
refused() {
	[ "$(count_all config_refused)" -gt 0 ]
}
wait_for 13 refused ||
	fail "no daemon counts the invalid set as refused after 13 s"
sleep 2
all_have 2 || fail "a refused set changed the active version"
echo "ok   a refused set changes nothing"
any_status_has last_refused 3 || fail "no status reports the refused set"
grep -q 'event=config_refused version=3' "$WORK"/daemon-*.err ||
	fail "no log reports the refused set"
echo "ok   the refused set is in counter, status and log"

# The platform returns an older manifest again.
put bilberryhinge/manifest "$WORK/published-1/manifest"
for i in 1 2 3 4 5 6 7 8; do
	sleep 0.5
	all_have 2 ||
		fail "a daemon reverted to the older version of a stale platform"
done
echo "ok   a stale platform reverts nothing"
kill -KILL "${PID_OF[daemon-deposits-1]}"
wait "${PID_OF[daemon-deposits-1]}" 2>/dev/null
start_daemon deposits-1
start_timer
while [ $(($(date +%s%3N) - TIMER_START_MS)) -lt 5000 ]; do
	request GET deposits-1 /catalogue/violins \
		-H "Authorization: Bearer $WITHDRAWN"
	[ "$STATUS" = 200 ] &&
		fail "a restarted daemon served with the stale version of the platform"
	sleep 0.02
done
is_ready deposits-1 || fail "the restarted daemon is not ready after 5 s"
expect "the restarted daemon has the newer version of its peers" \
	"$(version_of deposits-1)" 2
request GET deposits-1 /catalogue/violins -H "Authorization: Bearer $KEY"
expect "the restarted daemon serves requests" "$STATUS" 200

# Two different contents under one version; the second is published within the
# settle time, before the first is activated.
before=$(count_all config_conflicts)
put_parts "$SET" 4
cp -r "$WORK/published-4" "$WORK/first-4"
set_state key county-schools withdrawn
put_parts "$SET" 4
put bilberryhinge/manifest "$WORK/first-4/manifest"
sleep 0.2
put bilberryhinge/manifest "$WORK/published-4/manifest"
second=$(b2sum -l 256 "$WORK/published-4/manifest" | cut -d' ' -f1)
for i in $(seq 15); do
	for vm in "${VMS[@]}"; do
		has_version "$vm" 4 && hash_of "$vm" >>"$WORK/seen"
	done
	sleep 0.1
done
wait_for 11 all_have 4 ||
	fail "version 4 is not active on all daemons after 13 s"
expect "only the last content of version 4 was ever active" \
	"$(sort -u "$WORK/seen")" "$second"
[ "$(count_all config_conflicts)" -gt "$before" ] ||
	fail "the content replaced within the settle time is not counted as a conflict"
any_status_has last_conflict 4 || fail "no status reports the conflict"
echo "ok   the content replaced within the settle time is reported"

# Different content published after the version is active.
before=$(count_all config_conflicts)
put bilberryhinge/manifest "$WORK/first-4/manifest"
sleep 4
expect "the active content stays" "$(hashes)" "$second"
[ "$(count_all config_conflicts)" -gt "$before" ] ||
	fail "the content published after the activation is not counted as a conflict"
grep -q 'event=config_conflict version=4' "$WORK"/daemon-*.err ||
	fail "no log reports the conflict"
echo "ok   the content published after the activation is reported"
publish "$SET" 5
wait_for 13 all_have 5 ||
	fail "version 5 is not active on all daemons after 13 s"
echo "ok   a higher version is activated afterwards"
