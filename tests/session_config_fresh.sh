#!/usr/bin/env bash
# A daemon starts while the platform has different content under the version
# that is active at its peer. The active content takes precedence over the
# published one. Guards against a new daemon that stays without a configuration
# or makes its peers change their content.
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
wait_for 13 hash_is catalogue-1 "$active" ||
	fail "catalogue-1 has not activated version 1 after 13 s"

start platform-2 "$BIN/fake_platform"
PLATFORM=$(address_of platform-2)
set_state key county-schools withdrawn
publish "$SET" 1
start_vm reservations-1
wait_for 13 hash_is reservations-1 "$active" ||
	fail "the new daemon does not have the active content of its peer after 13 s"
hash_is catalogue-1 "$active" ||
	fail "the active content of catalogue-1 changed"
wait_ready reservations-1
echo "ok   the new daemon has the active content of its peer"
