#!/usr/bin/env bash
# Injects random faults, several at a time, into the real processes under load:
# daemons are killed, stopped, paused and reloaded, servers are killed and
# return as new instances, their store entries disappear, failure domains are
# evacuated, the store fails and the configuration changes. Guards against
# failures that only combined faults cause: a request that runs twice or after a
# refusal, the response of another request, a refusal without Retry-After, a
# daemon that exits, and a fleet that does not recover.
# SEED=7 SOAK_SECONDS=600 runs other faults for a longer time.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
SEED=${SEED:-1}
SOAK_SECONDS=${SOAK_SECONDS:-25}
RANDOM=$SEED
CALLERS=6
# All requests must be served again this long after the last fault.
RECOVERY_S=15
KEY="Authorization: Bearer k1"
VM_NUMBERS=(1 2 3 4 5 6)
declare -A INSTANCE GENERATION STARTS
service_of() { [ "$1" -le 4 ] && echo front || echo back; }

start_app() { # VM_NUMBER
	GENERATION[$1]=$((${GENERATION[$1]:-0} + 1))
	INSTANCE[$1]=i-$1-${GENERATION[$1]}
	start "app-$1-${GENERATION[$1]}" "$BIN/fake_app" \
		"$(ip_of "$1"):$APP_PORT" "${INSTANCE[$1]}" "$(service_of "$1")"
	PID_OF[app-$1]=${PID_OF[app-$1-${GENERATION[$1]}]}
}

delete_item() { curl -sf -X DELETE "http://$STORE/test/item?key=$1" >/dev/null; }
store_mode() { curl -sf -X PUT "http://$STORE/test/mode?$1" >/dev/null; }
register_server() { put_server "$1" "${INSTANCE[$1]}" "$(service_of "$1")" ready; }
sleep_ms() { sleep "$(($1 / 1000)).$(printf %03d $(($1 % 1000)))"; }

# call CALLER NUMBER: sends a request and logs one line with the request and the
# response.
call() {
	local id=c$1-$2 path method=GET vm out=$WORK/soak-$1
	vm=$((($1 + $2) % ${#VM_NUMBERS[@]} + 1))
	case $(($2 % 4)) in
	0) path=/o/$id method=POST ;;
	1) path=/b/slow/$id ;;
	2) path=/i/$id ;;
	*) path=/b/$id ;;
	esac
	curl -s -o "$out.body" -D "$out.head" --max-time 5 -X $method \
		-H "Host: a.example" -H "X-Request-Id: $id" -H "$KEY" \
		-H "X-Deadline-Ms: 2000" -w '%{http_code} %{exitcode}' \
		"http://$(ip_of $vm):$CALLER_PORT$path" >"$out.code"
	echo "$id $method $path $(cat "$out.code")" \
		"back=$(grep -ci '^retry-after: [0-9]' "$out.head")" \
		"body=$(tr ' \n' '_.' <"$out.body" | cut -c1-120)" >>"$out.log"
}

# caller CALLER: sends requests until WORK/stop exists.
caller() {
	local n=0
	while [ ! -e "$WORK/stop" ]; do
		n=$((n + 1))
		: >"$WORK/soak-$1.head"
		: >"$WORK/soak-$1.body"
		call "$1" $n
		sleep 0.03
	done
}

is_alive() { kill -0 "${PID_OF[$1]}" 2>/dev/null; }
has_ended() { ! is_alive "$1"; }

# has_started VM_NUMBER COUNT: succeeds when COUNT daemons have started there.
has_started() {
	[ "$(grep -c 'event=started' "$WORK/daemon-m$1.err")" -ge "$2" ]
}

# Waits for the start, as a signal that arrives before the daemon has installed
# its handlers ends the process.
start_daemon() {
	STARTS[$1]=$((${STARTS[$1]:-0} + 1))
	start_vm_daemon "$1" "$(service_of "$1")"
	wait_for 10 has_started "$1" "${STARTS[$1]}" ||
		fail "the daemon of VM $1 does not start within 10 s (seed $SEED)"
}

# Faults overlap, but each VM has at most one. By VM: the command that ends the
# fault, and when it is due, in milliseconds since the start of the soak.
declare -A REPAIR REPAIR_AT
elapsed_ms() { echo $((${EPOCHREALTIME/./} / 1000 - START_MS)); }

# begin_fault VM_NUMBER: injects a random fault.
begin_fault() {
	local m=$1 kind=$((RANDOM % 10)) ms=$((RANDOM % 2000 + 200))
	echo "fault kind=$kind machine=$m ms=$ms"
	is_alive "daemon-m$m" || fail "the daemon of VM $m exited unexpectedly"
	REPAIR_AT[$m]=$(($(elapsed_ms) + ms))
	case $kind in
	0)
		kill -KILL "${PID_OF[daemon-m$m]}"
		REPAIR[$m]="start_daemon $m"
		;;
	1)
		kill -TERM "${PID_OF[daemon-m$m]}"
		REPAIR[$m]="restart_after_stop $m"
		;;
	2)
		kill -STOP "${PID_OF[daemon-m$m]}"
		REPAIR[$m]="kill -CONT ${PID_OF[daemon-m$m]}"
		;;
	3)
		kill -HUP "${PID_OF[daemon-m$m]}"
		;;
	4)
		store_mode busy
		REPAIR[$m]="store_mode up"
		;;
	5)
		store_mode silent
		REPAIR[$m]="store_mode up"
		;;
	6)
		kill -KILL "${PID_OF[app-$m]}"
		delete_item "servers/${INSTANCE[$m]}"
		REPAIR[$m]="restart_app $m"
		;;
	7)
		delete_item "servers/${INSTANCE[$m]}"
		REPAIR[$m]="register_server $m"
		;;
	8)
		put_item "op/evacuate/z$((m % 2))" '{}'
		REPAIR[$m]="delete_item op/evacuate/z$((m % 2))"
		;;
	9)
		VERSION=$((VERSION + 1))
		put_config "$(printf %08x $VERSION)" '["k1","k2"]' 1000
		;;
	esac
}

restart_after_stop() { # VM_NUMBER
	wait_for 10 has_ended "daemon-m$1" ||
		fail "the daemon of VM $1 does not stop within 10 s (seed $SEED)"
	start_daemon "$1"
}

restart_app() { # VM_NUMBER
	start_app "$1"
	register_server "$1"
}

# repair NOW_MS: ends the faults that are due.
repair() {
	local m
	for m in "${!REPAIR[@]}"; do
		[ "${REPAIR_AT[$m]}" -le "$1" ] || continue
		${REPAIR[$m]}
		unset "REPAIR[$m]"
	done
}

# Lines of all requests that the application servers ran.
run_log() { cat "$WORK"/app-*.out | grep '^run '; }
# Lines of all calls, written by call.
call_log() { cat "$WORK"/soak-*.log; }

# expect_empty TEXT: fails and prints the first lines of standard input unless
# it is empty.
expect_empty() {
	local found
	found=$(head -5)
	[ -z "$found" ] || fail "found: $1 (seed $SEED): $found"
	echo "ok   no $1"
}

start_store
for m in "${VM_NUMBERS[@]}"; do start_app "$m"; done
VERSION=3
put_config 00000003 '["k1","k2"]' 1000
for m in "${VM_NUMBERS[@]}"; do
	register_server "$m"
	start_daemon "$m"
done
for m in "${VM_NUMBERS[@]}"; do
	wait_for 10 is_serving "$m" || fail "VM $m is not ready after 10 s"
done
sleep 4 # longer than the cold start of 3 s
echo "seed $SEED, $SOAK_SECONDS s"
callers=()
for c in $(seq $CALLERS); do
	caller "$c" &
	callers+=($!)
done
START_MS=$((${EPOCHREALTIME/./} / 1000))
while [ "$(elapsed_ms)" -lt $((SOAK_SECONDS * 1000)) ]; do
	m=$((RANDOM % ${#VM_NUMBERS[@]} + 1))
	[ -n "${REPAIR[$m]:-}" ] || begin_fault $m
	sleep_ms $((RANDOM % 700))
	repair "$(elapsed_ms)"
done
repair $((SOAK_SECONDS * 1000 + 10000))

# Succeeds when the last 20 calls of every caller were served.
all_served() {
	local c
	for c in $(seq $CALLERS); do
		[ "$(tail -20 "$WORK/soak-$c.log" | grep -c ' 200 0 ')" -eq 20 ] ||
			return 1
	done
}
wait_for $RECOVERY_S all_served ||
	fail "not all callers are served within $RECOVERY_S s after the last fault (seed $SEED): $(call_log | grep -v ' 200 0 ' | tail -5)"
touch "$WORK/stop"
wait "${callers[@]}"
for m in "${VM_NUMBERS[@]}"; do
	is_alive "daemon-m$m" || fail "the daemon of VM $m exited unexpectedly"
done
echo "$(call_log | grep -c ' 200 0 ') of $(call_log | wc -l) calls served"

run_log | grep 'method=POST' | sed 's/^run id=\([^ ]*\) .*/\1/' | sort | uniq -d |
	expect_empty "non-idempotent request that ran twice"
call_log | awk '$2 == "POST" && ($4 == 429 || $4 == 503) { print $1 }' | sort |
	comm -12 - <(run_log | sed 's/^run id=\([^ ]*\) .*/\1/' | sort -u) |
	expect_empty "request that ran but was refused as not run"
call_log | awk '($4 == 429 || $4 == 503) && !/back=1/' |
	expect_empty "refusal without Retry-After"
call_log | awk '$4 == 200 && $5 == 0 && !index($0, "body=" "front_" $3 "") &&
	!index($0, "body=" "back_" $3 "")' |
	expect_empty "response of another request"
run_log | sed 's/^run id=\([^ ]*\) .*/\1/' | sort -u |
	comm -23 - <(call_log | awk '{ print $1 }' | sort -u) |
	expect_empty "executed request that no caller sent"
call_log | awk '$4 != 200 && $4 != 429 && $4 != 503 && $4 != 502 && $4 != 504 &&
	$4 != "000"' | expect_empty "unexpected status for a valid request"
