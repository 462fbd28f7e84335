#!/usr/bin/env bash
# The store comes back from an older copy of itself and gives its revisions out
# again. Changes after that are in force in time, confirmed ones never come back
# older, and servers that had left or were draining get no requests.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
KEY="Authorization: Bearer k1"
# Time within which a change must be in force; set by the users' platform.
APPLY_S=2

store_command() { curl -sf -X PUT "http://$STORE/test/$1" >/dev/null || fail "the fake store rejected $1"; }
delete_item() { curl -sf -X DELETE "http://$STORE/test/item?key=$1" >/dev/null; }

# status_of VM KEY PATH: prints the status of a request.
status_of() {
	curl -s -o "$WORK/body" --max-time 5 -H "Host: a.example" \
		-H "Authorization: Bearer $2" -H "X-Deadline-Ms: 2000" \
		-H "X-Request-Id: s$RANDOM$RANDOM" -w '%{http_code}' \
		"http://$(ip_of "$1"):$CALLER_PORT$3"
}
count_runs() { grep -c "path=/b/$2" "$WORK/app-$1.out"; }
send_requests() { # NAME COUNT
	local n
	for n in $(seq "$2"); do
		status_of $((n % 2 + 1)) k1 "/b/$1" >>"$WORK/status-$1"
		echo >>"$WORK/status-$1"
	done
}

start_store
put_config 00000003 '["k1"]' 1000
start_vms front back front front
expect "a key that is not published is refused" "$(status_of 1 k2 /b/x)" 401

store_command save
put_config 00000005 '["k1","k2"]' 1000
SEQUENCE=2 put_server 3 i-3 front draining
delete_item servers/i-4
sleep $APPLY_S
expect "version 5 is in force" "$(status_of 1 k2 /b/x)" 200
send_requests drained 20
expect "a draining server gets no request" "$(count_runs 3 drained)" 0
expect "a server that has left gets no request" "$(count_runs 4 drained)" 0

store_command restore
sleep 1
for m in 1 2; do
	expect "version 5 stays in force at VM $m while the store has version 3" \
		"$(status_of $m k2 /b/x)" 200
done
send_requests restored 20
expect "a draining server gets none as the copy lists it ready" \
	"$(count_runs 3 restored)" 0
expect "a server that has left gets none as the copy lists it" \
	"$(count_runs 4 restored)" 0

# The operator and the servers write again; then the operator changes the set.
put_config 00000005 '["k1","k2"]' 1000
SEQUENCE=3 put_server 3 i-3 front draining
delete_item servers/i-4
put_config 00000007 '["k1","k2","k3"]' 1000
sleep $APPLY_S
for m in 1 2; do
	expect "version 7 is in force at VM $m" "$(status_of $m k3 /b/x)" 200
done
put_server 4 i-5 front ready
curl -sf "http://$(ip_of 4):$APP_PORT/test?id=i-5" >/dev/null
sleep $APPLY_S
send_requests joined 60
[ "$(count_runs 4 joined)" -gt 0 ] ||
	fail "a server that joined after the restore gets no request"
echo "ok   a server that joined after the restore gets requests"

# A daemon that starts while the store is away takes the newest from its peers.
store_command restore
store_command "mode?silent"
kill -KILL "${PID_OF[daemon-m1]}"
start_vm_daemon 1 front
sleep 3
store_command "mode?up"
sleep $APPLY_S
expect "version 7 stays in force after a second restore" \
	"$(status_of 2 k3 /b/x)" 200
put_config 00000007 '["k1","k2","k3"]' 1000
sleep $APPLY_S
for m in 1 2; do
	expect "version 7 is in force again at VM $m" "$(status_of $m k3 /b/x)" 200
done
