#!/usr/bin/env bash
# Injects random faults, several at a time and in series, into the real processes
# under load: daemons are killed, stopped, paused and reloaded, servers are
# killed and return as new instances, state limits and leave, their store
# entries disappear, failure domains are evacuated, the store fails and comes
# back from an older copy, and the configuration changes. Clients go on using
# open connections until the daemon closes them. Guards against failures that
# only combined faults cause: a request that runs twice or after a refusal, the
# response of another request, a refusal without Retry-After, a request that a
# planned stop cuts off, a limit or a departure that is not kept, a configuration
# that goes back, a daemon that exits, and a fleet that does not recover.
# SEED=7 SOAK_SECONDS=600 SOAK_VMS=60 runs other faults for a longer time on more
# VMs.
BUILD=$1
. "$(dirname "$0")/lib.sh"
. "$(dirname "$0")/platform_lib.sh"
# The checks at the end are the last commands of pipelines; without this, they
# would end a subshell only, and the test would pass.
shopt -s lastpipe
SEED=${SEED:-1}
SOAK_SECONDS=${SOAK_SECONDS:-30}
SOAK_VMS=${SOAK_VMS:-6}
RANDOM=$SEED
CALLERS=6
# All requests must be served again this long after the last fault.
RECOVERY_S=15
KEY="Authorization: Bearer k1"
CONNECTIONS_PER_VM=2
# Bounds of the users' platform: a stated limit counts from STABLE_MS on, with
# half as much again and 5 requests in 4 s; a server that states that it leaves
# gets nothing DRAIN_MS after the first answer; a request is read LOSS_SLACK_MS
# after it was sent.
STABLE_MS=3000
DRAIN_MS=2000
LOSS_SLACK_MS=200
# Longest time of a request at a server.
SLOW_MS=600
mapfile -t VM_NUMBERS < <(seq "$SOAK_VMS")
declare -A INSTANCE GENERATION STARTS LIMITED LEAVING
SEQUENCE=1
service_of() { [ $(($1 * 3)) -le $((SOAK_VMS * 2)) ] && echo front || echo back; }

start_app() { # VM_NUMBER
	GENERATION[$1]=$((${GENERATION[$1]:-0} + 1))
	INSTANCE[$1]=i-$1-${GENERATION[$1]}
	start "app-$1-${GENERATION[$1]}" "$BIN/fake_app" \
		"$(ip_of "$1"):$APP_PORT" "${INSTANCE[$1]}" "$(service_of "$1")"
	PID_OF[app-$1]=${PID_OF[app-$1-${GENERATION[$1]}]}
}

delete_item() { curl -sf -X DELETE "http://$STORE/test/item?key=$1" >/dev/null; }
store_mode() { curl -sf -X PUT "http://$STORE/test/mode?$1" >/dev/null; }
store_command() { curl -sf -X PUT "http://$STORE/test/$1" >/dev/null; }
set_app() { # VM_NUMBER PARAMETERS
	curl -sf "http://$(ip_of "$1"):$APP_PORT/test?$2" >/dev/null
}
# Entries in the store as their writers want them.
declare -A REGISTERED EVACUATED
register_server() { # VM_NUMBER
	SEQUENCE=$((SEQUENCE + 1))
	REGISTERED[$1]=1
	SEQUENCE=$SEQUENCE put_server "$1" "${INSTANCE[$1]}" \
		"$(service_of "$1")" ready
}
unregister_server() { # VM_NUMBER
	unset "REGISTERED[$1]"
	delete_item "servers/${INSTANCE[$1]}"
}
evacuate() { # ZONE
	EVACUATED[$1]=1
	put_item "op/evacuate/$1" '{}'
}
take_back() { # ZONE
	unset "EVACUATED[$1]"
	delete_item "op/evacuate/$1"
}
KEYS='"k1","k2"'
# Publishes a configuration with a further key, named after its version.
change_config() {
	VERSION=$((VERSION + 1))
	KEYS="$KEYS,\"v$VERSION\""
	put_config "$(printf %08x $VERSION)" "[$KEYS]" 1000
}

# Brings the store back from the last copy; its writers write again.
restore_store() {
	local m zone
	store_command restore
	sleep_ms $((RANDOM % 1500))
	put_config "$(printf %08x $VERSION)" "[$KEYS]" 1000
	for m in "${VM_NUMBERS[@]}"; do
		if [ -n "${REGISTERED[$m]:-}" ]; then
			register_server "$m"
		else
			delete_item "servers/${INSTANCE[$m]}"
		fi
	done
	for zone in z0 z1; do
		if [ -n "${EVACUATED[$zone]:-}" ]; then
			evacuate $zone
		else
			delete_item "op/evacuate/$zone"
		fi
	done
	store_command save
}

# Times of events on the clock of the stand-ins, in milliseconds.
now_ms() { awk '{ print int($1 * 1000) }' /proc/uptime; }
# The same on the clock of the shell, for calls and for faults that may cost the
# answer to a request at work: "begin" and "end" lines.
wall_ms() { echo $((${EPOCHREALTIME/./} / 1000)); }
note_harm() { echo "$1 $2 $(wall_ms)" >>"$WORK/harm"; } # begin|end VM_NUMBER
kill_daemon() { # VM_NUMBER
	echo "$(ip_of "$1"):$CALLER_PORT $(now_ms)" >>"$WORK/kills"
	kill -KILL "${PID_OF[daemon-m$1]}"
	echo "$(ip_of "$1"):$CALLER_PORT $(now_ms)" >>"$WORK/kills"
}

# A server states one of its limit and its departure at a time. Both are
# independent of the other faults of the VM, and end with its server.
state_limit() { # VM_NUMBER PER_S
	LIMITED[$1]="$2 $(now_ms)"
	set_app "$1" "limit=$2"
}
state_leaving() { # VM_NUMBER
	set_app "$1" "leaving=1"
	LEAVING[$1]=$(now_ms)
}
end_statements() { # VM_NUMBER
	[ -z "${LIMITED[$1]:-}" ] || echo "app-$1-${GENERATION[$1]}" \
		"${LIMITED[$1]} $(now_ms)" >>"$WORK/limits"
	[ -z "${LEAVING[$1]:-}" ] || echo "app-$1-${GENERATION[$1]}" \
		"${LEAVING[$1]} $(now_ms)" >>"$WORK/leavings"
	unset "LIMITED[$1]" "LEAVING[$1]"
}
withdraw_statements() { # VM_NUMBER
	[ -n "${LIMITED[$1]:-}${LEAVING[$1]:-}" ] || return 0
	end_statements "$1"
	set_app "$1" "limit=&leaving="
}
sleep_ms() { sleep "$(($1 / 1000)).$(printf %03d $(($1 % 1000)))"; }

# call CALLER NUMBER: sends a request and logs one line with the request and the
# response.
call() {
	local id=c$1-$2 path method=GET vm out=$WORK/soak-$1 sent
	vm=$((($1 + $2) % ${#VM_NUMBERS[@]} + 1))
	sent=$(wall_ms)
	case $(($2 % 4)) in
	0)
		path=/o/$id method=POST
		[ $(($2 % 8)) -ne 0 ] || path=/o/slow/$id
		;;
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
		"body=$(tr ' \n' '_.' <"$out.body" | cut -c1-120)" \
		"from=$sent to=$(wall_ms)" >>"$out.log"
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
	local m=$1 kind=$((RANDOM % 13)) ms=$((RANDOM % 2000 + 200)) n
	echo "fault kind=$kind machine=$m ms=$ms"
	is_alive "daemon-m$m" || fail "the daemon of VM $m exited unexpectedly"
	REPAIR_AT[$m]=$(($(elapsed_ms) + ms))
	case $kind in
	0)
		note_harm begin "$m"
		kill_daemon "$m"
		REPAIR[$m]="end_harm $m start_daemon $m"
		;;
	1)
		kill -TERM "${PID_OF[daemon-m$m]}"
		REPAIR[$m]="restart_after_stop $m"
		;;
	2)
		note_harm begin "$m"
		kill -STOP "${PID_OF[daemon-m$m]}"
		REPAIR[$m]="end_harm $m kill -CONT ${PID_OF[daemon-m$m]}"
		;;
	3)
		for n in 1 2 3; do kill -HUP "${PID_OF[daemon-m$m]}"; done
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
		note_harm begin "$m"
		kill -KILL "${PID_OF[app-$m]}"
		end_statements "$m"
		unregister_server "$m"
		REPAIR[$m]="end_harm $m restart_app $m"
		;;
	7)
		unregister_server "$m"
		REPAIR[$m]="register_server $m"
		;;
	8)
		evacuate "z$((m % 2))"
		REPAIR[$m]="take_back z$((m % 2))"
		;;
	9)
		for n in $(seq $((RANDOM % 3 + 1))); do change_config; done
		;;
	10)
		# A stop in the midst of other signals.
		kill -HUP "${PID_OF[daemon-m$m]}"
		kill -TERM "${PID_OF[daemon-m$m]}"
		kill -HUP "${PID_OF[daemon-m$m]}"
		kill -TERM "${PID_OF[daemon-m$m]}"
		REPAIR[$m]="restart_after_stop $m"
		;;
	11)
		# VMs are stopped and started one after the other.
		for n in $m $((m % SOAK_VMS + 1)) $(((m + 1) % SOAK_VMS + 1)); do
			[ "$n" = "$m" ] || [ -z "${REPAIR[$n]:-}" ] || continue
			kill -TERM "${PID_OF[daemon-m$n]}"
			REPAIR[$n]="restart_after_stop $n"
			REPAIR_AT[$n]=$(($(elapsed_ms) + ms))
		done
		;;
	12)
		restore_store
		;;
	esac
}

end_harm() { # VM_NUMBER COMMAND...
	local m=$1
	shift
	"$@"
	note_harm end "$m"
}

restart_after_stop() { # VM_NUMBER
	wait_for 10 has_ended "daemon-m$1" ||
		fail "the daemon of VM $1 does not stop within 10 s (seed $SEED)"
	start_daemon "$1"
}

# begin_statement VM_NUMBER: lets its server state a limit or that it leaves, or
# withdraw what it states.
begin_statement() {
	[ -n "${REGISTERED[$1]:-}" ] || return
	if [ -n "${LIMITED[$1]:-}${LEAVING[$1]:-}" ]; then
		withdraw_statements "$1"
	elif [ $((RANDOM % 3)) -eq 0 ]; then
		state_leaving "$1"
	else
		state_limit "$1" $((RANDOM % 8 + 2))
	fi
}

# probe VM_NUMBER: a version that the daemon has used stays in force.
declare -A ACCEPTED
probe() {
	local m=$1 version=$VERSION status start=$1-${STARTS[$1]}
	[ "${ACCEPTED[$start]:-0}" -eq 0 ] || version=${ACCEPTED[$start]}
	[ $((RANDOM % 2)) -eq 0 ] || version=$VERSION
	[ "$version" -gt 3 ] || return
	status=$(curl -s -o /dev/null --max-time 1 -w '%{http_code}' \
		-H "Host: a.example" -H "Authorization: Bearer v$version" \
		-H "X-Request-Id: p$RANDOM$RANDOM" -H "X-Deadline-Ms: 900" \
		"http://$(ip_of "$m"):$CALLER_PORT/b/probe")
	if [ "$status" = 200 ]; then
		[ "${ACCEPTED[$start]:-0}" -ge "$version" ] ||
			ACCEPTED[$start]=$version
	elif [ "$status" = 401 ] &&
		[ "$version" -le "${ACCEPTED[$start]:-0}" ]; then
		fail "VM $m no longer accepts a key of version $version (seed $SEED)"
	fi
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
run_log() { cat "$WORK"/app-*.out | grep '^run ' | grep -v 'path=/b/probe'; }
# Lines of all calls, written by call and by the clients.
client_log() { grep -v '^stray' "$WORK"/clients.out; }
call_log() { cat "$WORK"/soak-*.log; client_log; }

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
put_config 00000003 "[$KEYS]" 1000
for m in "${VM_NUMBERS[@]}"; do
	register_server "$m"
	start_daemon "$m"
done
for m in "${VM_NUMBERS[@]}"; do
	wait_for 10 is_serving "$m" || fail "VM $m is not ready after 10 s"
done
sleep 4 # longer than the cold start of 3 s
echo "seed $SEED, $SOAK_SECONDS s"
: >"$WORK/harm"
: >"$WORK/kills"
: >"$WORK/limits"
: >"$WORK/leavings"
store_command save
targets=()
for m in "${VM_NUMBERS[@]}"; do targets+=("$(ip_of "$m"):$CALLER_PORT"); done
start clients "$BIN/fake_clients" k $((SOAK_VMS * CONNECTIONS_PER_VM)) \
	"${targets[@]}"
callers=()
for c in $(seq $CALLERS); do
	caller "$c" &
	callers+=($!)
	PIDS+=($!)
done
START_MS=$((${EPOCHREALTIME/./} / 1000))
while [ "$(elapsed_ms)" -lt $((SOAK_SECONDS * 1000)) ]; do
	m=$((RANDOM % ${#VM_NUMBERS[@]} + 1))
	[ -n "${REPAIR[$m]:-}" ] || begin_fault $m
	[ $((RANDOM % 3)) -ne 0 ] ||
		begin_statement $((RANDOM % ${#VM_NUMBERS[@]} + 1))
	[ $((RANDOM % 4)) -ne 0 ] || store_command save
	probe $((RANDOM % ${#VM_NUMBERS[@]} + 1))
	sleep_ms $((RANDOM % 700))
	repair "$(elapsed_ms)"
done
repair $((SOAK_SECONDS * 1000 + 10000))
for m in "${VM_NUMBERS[@]}"; do withdraw_statements "$m"; done

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
accepts_newest() { # VM_NUMBER
	[ "$(curl -s -o /dev/null --max-time 2 -w '%{http_code}' \
		-H "Host: a.example" -H "Authorization: Bearer v$VERSION" \
		-H "X-Request-Id: e$RANDOM$RANDOM" -H "X-Deadline-Ms: 1900" \
		"http://$(ip_of "$1"):$CALLER_PORT/b/probe")" = 200 ]
}
change_config
sleep 2
for m in "${VM_NUMBERS[@]}"; do
	accepts_newest "$m" ||
		fail "version $VERSION is not in force at VM $m after 2 s (seed $SEED)"
done
touch "$WORK/stop"
wait "${callers[@]}"
kill -TERM "${PID_OF[clients]}"
wait_for 10 has_ended clients ||
	fail "the clients do not end within 10 s (seed $SEED)"
for m in "${VM_NUMBERS[@]}"; do
	is_alive "daemon-m$m" || fail "the daemon of VM $m exited unexpectedly"
done
echo "$(call_log | grep -c ' 200 0 ') of $(call_log | wc -l) calls served"

run_log | sed 's/^run id=\([^ ]*\) .*/\1/' | sort -u >"$WORK/ran"
run_log | grep 'method=POST' | sed 's/^run id=\([^ ]*\) .*/\1/' | sort | uniq -d |
	expect_empty "non-idempotent request that ran twice"
call_log | awk '$2 == "POST" && ($4 == 429 || $4 == 503) { print $1 }' | sort |
	comm -12 - <(run_log | sed 's/^run id=\([^ ]*\) .*/\1/' | sort -u) |
	expect_empty "request that ran but was refused as not run"
call_log | awk '($4 == 429 || $4 == 503) && !/back=1/' |
	expect_empty "refusal without Retry-After"
# Planned faults, as stops, removed entries and evacuations, cost no answer to an
# order that a server runs. Orders of the callers that overlap another fault, or
# come within HARM_SLACK_MS of one, are left out.
HARM_SLACK_MS=2500
cat "$WORK"/soak-*.log | awk -v slack=$HARM_SLACK_MS -v harm="$WORK/harm" \
	-v ran="$WORK/ran" '
	BEGIN {
		while ((getline line <harm) > 0) {
			split(line, h, " ")
			if (h[1] == "begin") {
				from[++n] = h[3] + 0
				to[n] = 1e15
				last[h[2]] = n
			} else {
				to[last[h[2]]] = h[3] + 0
			}
		}
		while ((getline line <ran) > 0) run[line] = 1
	}
	$2 == "POST" && $4 != 200 && $4 != 429 && $4 != 503 && run[$1] {
		sent = substr($(NF - 1), 6) + 0
		ended = substr($NF, 4) + 0
		for (i = 1; i <= n; i++)
			if (from[i] <= ended && to[i] + slack >= sent) next
		print
	}' | expect_empty "order that a planned fault left without its answer"
call_log | awk '$4 == 200 && $5 == 0 && !index($0, "body=" "front_" $3 "") &&
	!index($0, "body=" "back_" $3 "")' |
	expect_empty "response of another request"
run_log | sed 's/^run id=\([^ ]*\) .*/\1/' | sort -u |
	comm -23 - <(call_log | awk '{ print $1 }' | sort -u) |
	expect_empty "executed request that no caller sent"
call_log | awk '$4 != 200 && $4 != 429 && $4 != 503 && $4 != 502 && $4 != 504 &&
	$4 != "000"' | expect_empty "unexpected status for a valid request"
grep '^stray' "$WORK/clients.out" |
	expect_empty "bytes on a connection without a request"

# A client loses a request when its connection ends without a response although
# the daemon must have read it, and no kill of the daemon explains that. Clients
# themselves give up after 5 s.
client_log | awk -v slack=$LOSS_SLACK_MS -v kills="$WORK/kills" \
	-v ran="$WORK/ran" '
	BEGIN {
		while ((getline line <kills) > 0) {
			split(line, k, " ")
			killed[k[1], ++count[k[1]]] = k[2]
		}
		while ((getline line <ran) > 0) run[line] = 1
	}
	$5 != 0 {
		for (i = 6; i <= NF; i++) {
			n = index($i, "=")
			field[substr($i, 1, n - 1)] = substr($i, n + 1)
		}
		vm = field["vm"]
		if (field["ended"] - field["sent"] >= 5000) next
		if (field["ended"] - field["sent"] < slack && !run[$1]) next
		for (i = 1; i <= count[vm]; i++)
			if (killed[vm, i] >= field["sent"] - 100 &&
			    killed[vm, i] <= field["ended"] + 100) next
		print
	}' | expect_empty "request that a daemon read and left without a response"

# runs_in_4_s APP FROM TO: prints the most runs in 4 s within a time.
runs_in_4_s() {
	sed -n 's/^run id=.* at=\([0-9]*\) .*/\1/p' "$WORK/$1.out" |
		awk -v from="$2" -v to="$3" '$1 >= from && $1 <= to {
			at[++n] = $1
			while (at[n] - at[first + 1] >= 4000) first++
			if (n - first > most) most = n - first
		} END { print most + 0 }'
}
while read -r app limit from to; do
	most=$(runs_in_4_s "$app" $((from + STABLE_MS)) "$to")
	[ "$most" -le $((limit * 6 + 5)) ] ||
		echo "$app took $limit a second and got $most in 4 s"
done <"$WORK/limits" | expect_empty "server that got more than the limit it stated"
while read -r app from to; do
	first=$(sed -n 's/^run id=.* at=\([0-9]*\) .*/\1/p' "$WORK/$app.out" |
		awk -v from="$from" '$1 >= from' | head -1)
	[ -n "$first" ] || continue
	most=$(runs_in_4_s "$app" $((first + SLOW_MS + DRAIN_MS)) "$to")
	[ "$most" -eq 0 ] || echo "$app got $most after it stated that it leaves"
done <"$WORK/leavings" | expect_empty "leaving server that got requests"
echo "$(wc -l <"$WORK/limits") limits, $(wc -l <"$WORK/leavings") departures," \
	"$(client_log | wc -l) requests on open connections"
