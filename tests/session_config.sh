#!/usr/bin/env bash
# A published version is in force everywhere within 13 s and is never reverted:
# not by a stale platform, not by a refused set, not by another content under
# the same version, not by a restart. Guards against daemons that disagree
# about the configuration or fall back to an older one.
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
wait_for 13 all_have 2 || fail "version 2 is not in force after 13 s"
echo "ok   version 2 is in force on all daemons within 13 s"
expect "all have the same content" "$(hashes | wc -l)" 1

# A set that is not valid: a part names a service that does not exist.
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
wait_for 13 refused || fail "a set that is not valid is not reported"
sleep 2
all_have 2 || fail "a refused set changed the version in force"
echo "ok   a refused set changes nothing"
any_status_has last_refused 3 || fail "the refused set is not in a status"
grep -q 'event=config_refused version=3' "$WORK"/daemon-*.err ||
	fail "the refused set is not in a log"
echo "ok   the refused set is in counter, status and log"

# The platform shows an older manifest again.
put bilberryhinge/manifest "$WORK/published-1/manifest"
for i in 1 2 3 4 5 6 7 8; do
	sleep 0.5
	all_have 2 || fail "a stale platform reverted a daemon"
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
		fail "a daemon served from the stale platform before it asked peers"
	sleep 0.02
done
is_ready deposits-1 || fail "a restarted daemon is not ready after 5 s"
expect "a restarted daemon has the newer version of its peers" \
	"$(version_of deposits-1)" 2
request GET deposits-1 /catalogue/violins -H "Authorization: Bearer $KEY"
expect "it serves" "$STATUS" 200

# Two contents under one version, the second within the settle time.
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
wait_for 11 all_have 4 || fail "version 4 is not in force after 13 s"
expect "only the last content of version 4 was ever in force" \
	"$(sort -u "$WORK/seen")" "$second"
[ "$(count_all config_conflicts)" -gt "$before" ] ||
	fail "the content that lost within the settle time is not counted"
any_status_has last_conflict 4 || fail "the conflict is not in a status"
echo "ok   the content that lost within the settle time is reported"

# Another content when the version is in force.
before=$(count_all config_conflicts)
put bilberryhinge/manifest "$WORK/first-4/manifest"
sleep 4
expect "the version in force stays" "$(hashes)" "$second"
[ "$(count_all config_conflicts)" -gt "$before" ] ||
	fail "the content that came after the activation is not counted"
grep -q 'event=config_conflict version=4' "$WORK"/daemon-*.err ||
	fail "the conflict is not in a log"
echo "ok   the content that came after the activation is reported"
publish "$SET" 5
wait_for 13 all_have 5 || fail "version 5 is not in force after 13 s"
echo "ok   a higher version comes into force afterwards"
