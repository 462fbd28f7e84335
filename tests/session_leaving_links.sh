#!/usr/bin/env bash
# A VM is removed from the configuration, and another one is given another
# address, while large answers of their servers are under way on a network that
# holds them back; once beside the planned stop of the daemon of the entry.
# Guards against answers that are lost with the link: to orders with an
# idempotency key, whose end the owner of the key must learn, and to calls of
# servers with a call token.
BUILD=$1
FOLDER=$(dirname "$0")
PARTITIONS=1
. "$FOLDER/lib.sh"
ENTRY=catalogue-2  # in shore-b
LEAVING=reservations-2 # in shore-c
OTHER=reservations-3   # in shore-a
LARGE=600000
KEY=bhk_ls1_example-secret-ls1
# Each request to the catalogue makes an onward call that may not be repeated.
BACKEND_ARGS[catalogue]="--chain POST:/reservations/delay-500/large-$LARGE/call"
load_set "$FOLDER/../examples/lakeshore"
# Each failure domain keeps a VM that is in use.
keep_vms $ENTRY $LEAVING $OTHER catalogue-1 deposits-3
sed -i 's/"timeout_ms": [0-9]*/"timeout_ms": 10000/' "$SET/routes.json"
set_state vm $OTHER leaving
start_platform
start_links
publish "$SET" 1
for vm in "${VMS[@]}"; do start_vm "$vm"; done
wait_ready "${VMS[@]}"
wait_settled "${VMS[@]}"

# send NAME METHOD PATH [KEY]: logs status, exit status of curl and bytes.
send() {
	local key=()
	[ -z "${4:-}" ] || key=(-H "Idempotency-Key: $4")
	curl -s -m 15 -o /dev/null -X "$2" -H "Authorization: Bearer $KEY" \
		"${key[@]}" -w "$1 %{http_code} %{exitcode} %{size_download}\n" \
		"http://${CALLER_OF[$ENTRY]}$3" >>"$WORK/sent.log"
}
KEYS=()
# begin VM: sends orders and requests with onward calls, and waits until the
# server of the VM runs all of them.
begin() {
	local n before
	before=$(count_executions "$1")
	: >"$WORK/sent.log"
	SENDS=()
	for n in 1 2 3; do
		KEYS[n]=$(new_key)
		send "order-$n" POST "/reservations/delay-500/large-$LARGE/$n" \
			"${KEYS[n]}" &
		SENDS+=($!)
		send "call-$n" GET "/catalogue/$n" &
		SENDS+=($!)
	done
	wait_for 5 executions_exceed "$1" $((before + 5)) ||
		fail "$1 does not run all requests"
}
# expect_answers TEXT: all requests are answered, orders completely.
expect_answers() {
	wait "${SENDS[@]}"
	expect "$1: requests without an answer of their server" \
		"$(awk '$2 != 200 || $3 != 0' "$WORK/sent.log")" ""
	expect "$1: orders with incomplete answers" \
		"$(awk -v min=$LARGE '/^order/ && $4 < min' "$WORK/sent.log")" ""
}

# Version 2 has the other server in place of the leaving one.
begin $LEAVING
cut_domain shore-c hold
set_state vm $OTHER active
cp "$SET/topology.json" "$WORK/topology-all.json"
objects "$WORK/topology-all.json" | grep -v "\"name\": \"$LEAVING\"" |
	write_objects "$SET/topology.json"
publish "$SET" 2
wait_for 5 has_version $ENTRY 2 || fail "$ENTRY does not get version 2"
request GET $ENTRY /reservations/new -H "Authorization: Bearer $KEY"
expect "a new request goes to the other server" \
	"$STATUS $(count_executions $OTHER /new)" "200 1"
sleep 1 # the server has answered by now
heal
expect_answers "removed while answers are under way"
executed=$(count_executions $LEAVING)
executed_other=$(count_executions $OTHER)
for n in 1 2 3; do
	request POST $ENTRY "/reservations/delay-500/large-$LARGE/$n" \
		-H "Authorization: Bearer $KEY" -H "Idempotency-Key: ${KEYS[n]}"
	case $STATUS in
	200 | 409 | 502 | 503) ;;
	*) fail "an order that is sent again gets $STATUS" ;;
	esac
done
expect "orders that are sent again do not run again" \
	"$(count_executions $LEAVING) $(count_executions $OTHER)" \
	"$executed $executed_other"

# Its daemon goes on at the old address.
wait_settled $ENTRY $OTHER
begin $OTHER
free_port
old=$(objects "$SET/topology.json" |
	sed -n "s/.*\"name\": \"$OTHER\".*\"peer_address\": \"\([^\"]*\)\".*/\1/p")
cut_domain shore-a hold
sed -i "s/\"$old\"/\"${old%:*}:$PORT\"/" "$SET/topology.json"
publish "$SET" 3
wait_for 5 has_version $ENTRY 3 || fail "$ENTRY does not get version 3"
sleep 1
heal
expect_answers "another address while answers are under way"
sed -i "s/\"${old%:*}:$PORT\"/\"$old\"/" "$SET/topology.json"
publish "$SET" 4
wait_for 5 has_version $ENTRY 4 || fail "$ENTRY does not get version 4"
is_served() {
	request GET $ENTRY /reservations/again -H "Authorization: Bearer $KEY"
	[ "$STATUS" = 200 ]
}
wait_for 10 is_served || fail "no request is served at the old address again"
wait_settled $ENTRY $OTHER

# The leaving server is in place of the other one again, and the other one's
# daemon stops.
remove_other() { # VERSION
	objects "$WORK/topology-all.json" | grep -v "\"name\": \"$OTHER\"" |
		write_objects "$SET/topology.json"
	publish "$SET" "$1"
	wait_for 5 has_version $ENTRY "$1" ||
		fail "$ENTRY does not get version $1"
}
begin $OTHER
cut_domain shore-a hold
remove_other 5
sleep 1
kill -TERM "${PID_OF[daemon-$OTHER]}"
sleep 0.5
heal
expect_answers "removed while its daemon stops"
wait "${PID_OF[daemon-$OTHER]}"
expect "exit status of the daemon of $OTHER" $? 0

start_daemon $OTHER
cp "$WORK/topology-all.json" "$SET/topology.json"
set_state vm $LEAVING leaving
publish "$SET" 6
wait_ready $OTHER
wait_settled $ENTRY $OTHER
wait_for 10 is_served || fail "no request is served after $OTHER is back"
begin $OTHER
kill -TERM "${PID_OF[daemon-$ENTRY]}"
cut_domain shore-a hold
remove_other 7
sleep 1
heal
expect_answers "removed while the entry stops"
wait "${PID_OF[daemon-$ENTRY]}"
expect "exit status of the daemon of the entry" $? 0
