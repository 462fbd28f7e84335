#!/usr/bin/env bash
# A daemon starts with a platform that shows another content of the version in
# force at its peers: what is in force goes before what was only published.
# Guards against a daemon that stays without a configuration or makes the fleet
# change its content.
BUILD=$1
. "$(dirname "$0")/lib.sh"
load_set "$(dirname "$0")/../examples/lakeshore"
keep_vms catalogue-1 reservations-1
start platform "$BIN/fake_platform"
PLATFORM=$(address_of platform)
publish "$SET" 1
start_vm catalogue-1
hash_is() {
	curl -sf "http://${ADMIN_OF[$1]}/status" | grep -q "\"hash\": \"$2\""
}
active=$(b2sum -l 256 "$WORK/published-1/manifest" | cut -d' ' -f1)
wait_for 13 hash_is catalogue-1 "$active" || fail "catalogue-1 has no version"

start platform-2 "$BIN/fake_platform"
PLATFORM=$(address_of platform-2)
set_state key county-schools withdrawn
publish "$SET" 1
start_vm reservations-1
wait_for 13 hash_is reservations-1 "$active" ||
	fail "the fresh daemon does not have its peer's content after 13 s"
hash_is catalogue-1 "$active" || fail "the content in force changed"
wait_ready reservations-1
echo "ok   the fresh daemon has the content in force at its peer"
