#!/usr/bin/env bash
# The store's items change while a daemon waits for the second of their pages: at
# its start, after the store forgot its history, and at a relay whose peers take
# the changes from it.
# Guards against a mirror that claims the revision of a later page and never gets
# the changes before it: a key that was taken away worked on, the new one got 401.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
# Time within which a change must be in force; set by the users' platform.
APPLY_S=2

store_command() {
	curl -sf -X PUT "http://$STORE/test/$1" >/dev/null ||
		fail "the fake store rejected $1"
}
status_of() { # VM KEY: prints the status of a request
	curl -s -o /dev/null --max-time 5 -H "Host: a.example" \
		-H "Authorization: Bearer $2" -H "X-Deadline-Ms: 2000" \
		-H "X-Request-Id: s$RANDOM$RANDOM" -w '%{http_code}' \
		"http://$(ip_of "$1"):$CALLER_PORT/b/x"
}
ranges() { grep -c ^range "$WORK/store.out"; }
asked_more_than() { [ "$(ranges)" -gt "$1" ]; }
wait_for_held_page() { # READS BEFORE
	wait_for 10 asked_more_than $(($1 + 1)) ||
		fail "the second page is not asked for"
}
# Changes the keys, then an item of a later page, and releases that page. All by
# one command: a daemon takes the whole mirror of a peer that has been ahead for
# 250 ms, which would hide the fault.
change_between_pages() { # VERSION KEYS SEQUENCE
	local config server
	put_item() { config=$2; }
	put_config "$1" "$2" 10000
	put_item() { server=$2; }
	SEQUENCE=$3 put_server 4 i-4 front ready
	curl -sf -X PUT --data-binary "$config" -o /dev/null \
		"http://$STORE/test/item?key=op/config" --next -sf -X PUT \
		--data-binary "$server" -o /dev/null \
		"http://$STORE/test/item?key=servers/i-4" --next -sf -X PUT \
		-o /dev/null "http://$STORE/test/release" ||
		fail "the fake store rejected the changes"
}
expect_keys() { # NAME GONE VALID
	local m
	for m in 1 2 3 4; do
		expect "$1: the key that was taken away, at VM $m" \
			"$(status_of $m "$2")" 401
		expect "$1: the new key, at VM $m" "$(status_of $m "$3")" 200
	done
}

start_store
store_command "pages?items=3"
put_config 00000003 '["k1"]' 10000
start_vms front front front front

kill -TERM "${PID_OF[daemon-m1]}"
wait "${PID_OF[daemon-m1]}"
before=$(ranges)
store_command "hold?call=2"
start_vm_daemon 1 front
wait_for_held_page "$before"
change_between_pages 00000005 '["k2"]' 2
wait_for 10 is_serving 1 || fail "VM 1 is not ready after 10 s"
sleep $((APPLY_S + 4)) # and it hands out rates some seconds after its start
expect_keys start k1 k2

# All daemons read again; the first that asks for a second page waits.
before=$(ranges)
store_command "hold?call=5"
store_command "mode?forget"
put_item op/evacuate/z9 '{}' # ends the watches
wait_for 10 asked_more_than "$before" || fail "no daemon reads again"
store_command "mode?up"
wait_for 5 asked_more_than $((before + 4)) || true
change_between_pages 00000008 '["k3"]' 3
sleep $APPLY_S
expect_keys forgotten k2 k3
