#!/usr/bin/env bash
# 3 s after a version is published, every daemon refuses a withdrawn key and
# accepts a newly activated one, also on open connections under load. Guards
# against a daemon or a connection that keeps using old keys.
BUILD=$1
. "$(dirname "$0")/lib.sh"
start_fleet "$(dirname "$0")/../examples/lakeshore" \
	catalogue-1 catalogue-2 catalogue-3 catalogue-4 reservations-1
WITHDRAWN=bhk_ls2_example-secret-ls2
GRANTED=bhk_ls9_example-secret-ls9

for vm in "${VMS[@]}"; do
	start_caller "old-$vm" "$vm" --key $WITHDRAWN --rate 20 \
		--path /catalogue/violins --duration-ms 12000
	start_caller "new-$vm" "$vm" --key $GRANTED --rate 20 \
		--path /catalogue/violins --duration-ms 12000
done
sleep 2
for vm in "${VMS[@]}"; do
	[ "$(caller_count "old-$vm" ok)" -gt 0 ] ||
		fail "$vm serves no requests before the change"
	expect "$vm refuses the key before it is granted" \
		"$(caller_count "new-$vm" ok)" 0
done

set_state key university-music withdrawn
set_state key central-library-former active
publish "$SET" 2
start_timer
wait_until_elapsed 3
declare -A OLD_OK NEW_BAD NEW_OK OLD_REFUSED
for vm in "${VMS[@]}"; do
	OLD_OK[$vm]=$(caller_count "old-$vm" ok)
	OLD_REFUSED[$vm]=$(caller_count "old-$vm" status_401)
	NEW_OK[$vm]=$(caller_count "new-$vm" ok)
	NEW_BAD[$vm]=$(caller_count "new-$vm" status_401)
done
wait_until_elapsed 6
for vm in "${VMS[@]}"; do
	expect "$vm no longer serves the withdrawn key after 3 s" \
		"$(caller_count "old-$vm" ok)" "${OLD_OK[$vm]}"
	[ "$(caller_count "old-$vm" status_401)" -gt "${OLD_REFUSED[$vm]}" ] ||
		fail "$vm does not answer 401 to the withdrawn key"
	expect "$vm no longer refuses the granted key after 3 s" \
		"$(caller_count "new-$vm" status_401)" "${NEW_BAD[$vm]}"
	[ "$(caller_count "new-$vm" ok)" -gt "${NEW_OK[$vm]}" ] ||
		fail "$vm does not serve the granted key"
	expect "no request through $vm failed" \
		"$(caller_count "old-$vm" failed)" 0
done
