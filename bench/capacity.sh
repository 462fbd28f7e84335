#!/usr/bin/env bash
# Measures the figures of docs/CAPACITY.md with real daemons on loopback: memory
# by configuration size, accounts and connections; control bytes and CPU time by
# number of peers and by changes; time until a change is in force.
# Prints one line for each figure: measure=... size=... value=... unit=...
BUILD=$1
FOLDER=$(dirname "$0")
. "$FOLDER/../tests/lib.sh"
PEER_COUNTS=${PEER_COUNTS:-"18 54 108"}
IDLE_S=${IDLE_S:-20}
CHANGES=${CHANGES:-10}
TICKS_PER_S=$(getconf CLK_TCK)
DAEMON_ARGS=(--log-level warn)

figure() {
	echo "measure=$1 size=$2 value=$3 unit=$4"
}

resident_kb() {
	awk '/^VmRSS:/ { print $2 }' "/proc/${PID_OF[daemon-$1]}/status"
}

cpu_ticks() {
	awk '{ print $14 + $15 }' "/proc/${PID_OF[daemon-$1]}/stat"
}

stop_all() {
	local pid
	for pid in "${PIDS[@]}"; do
		kill -KILL "$pid" 2>/dev/null
	done
	wait >/dev/null 2>&1
	PIDS=()
}

start_bare_daemon() {
	local vm=$1 name
	for name in CALLER_OF ONWARD_OF ADMIN_OF; do
		free_port
		eval "$name[\$vm]=127.0.0.1:$PORT"
	done
	BACKEND_OF[$vm]=127.0.0.1:9
	start_daemon "$vm"
}

# Starts one daemon with a generated configuration, without its peers.
daemon_with() {
	bash "$FOLDER/generate_set.sh" "$WORK/gen" "$1" "$2" "$3" 20000
	start_platform
	publish "$WORK/gen" 1
	DOMAIN_OF[vm-0000]=domain-0
	free_port
	PEER_OF[vm-0000]=127.0.0.1:$PORT
	start_bare_daemon vm-0000
	wait_ready vm-0000
	sleep 1
}

memory_by_configuration() {
	local vms
	for vms in 90 310 930; do
		daemon_with "$vms" $((vms * 170 / 930)) 100
		figure memory_by_vms "$vms" "$(resident_kb vm-0000)" kB
		stop_all
	done
}

memory_by_accounts() {
	local accounts
	for accounts in 100 500 1000; do
		daemon_with 90 17 "$accounts"
		figure memory_by_accounts "$accounts" \
			"$(resident_kb vm-0000)" kB
		stop_all
	done
}

memory_by_connections() {
	local n opened=0 fd
	daemon_with 90 17 100
	for n in 100 500 1500; do
		while [ "$opened" -lt "$n" ]; do
			exec {fd}<>"/dev/tcp/127.0.0.1/${CALLER_OF[vm-0000]##*:}"
			printf 'GET /x HTTP/1.1\r\nHost: a\r\n\r\n' >&"$fd"
			opened=$((opened + 1))
		done
		sleep 1
		figure memory_by_connections "$n" "$(resident_kb vm-0000)" kB
	done
	stop_all
}

sum_counters() {
	local vm sum=0 n
	for vm in "$@"; do
		n=$(curl -s "http://${ADMIN_OF[$vm]}/counters" | awk '
			/^peer_bytes_(sent|received)_total/ { sum += $2 }
			END { print sum + 0 }')
		sum=$((sum + n))
	done
	echo "$sum"
}

sum_cpu() {
	local vm sum=0
	for vm in "$@"; do
		sum=$((sum + $(cpu_ticks "$vm")))
	done
	echo "$sum"
}

max_resident() {
	local vm max=0 kb
	for vm in "$@"; do
		kb=$(resident_kb "$vm")
		[ "$kb" -le "$max" ] || max=$kb
	done
	echo "$max"
}

# report NAME SIZE SECONDS BYTES TICKS DAEMONS
report() {
	figure "$1_bytes_per_daemon" "$2" $(($4 / $3 / $6)) B/s
	figure "$1_cpu_per_daemon" "$2" "$(awk -v t="$5" -v s="$3" -v n="$6" \
		-v hz="$TICKS_PER_S" \
		'BEGIN { printf "%.3f", 100 * t / hz / s / n }')" percent
}

all_have_version() {
	local vm
	for vm in "${VMS[@]}"; do
		has_version "$vm" "$1" || return 1
	done
}

fleet_of() {
	local vm
	bash "$FOLDER/generate_set.sh" "$WORK/fleet" "$1" $(($1 / 6)) 100 20000
	load_set "$WORK/fleet"
	start_platform
	publish "$SET" 1
	for vm in "${VMS[@]}"; do
		start_bare_daemon "$vm"
	done
	wait_ready "${VMS[@]}"
	sleep 5
}

measure_changes() {
	local n=$1 bytes ticks began i total=0 us
	bytes=$(sum_counters "${VMS[@]}")
	ticks=$(sum_cpu "${VMS[@]}")
	began=$SECONDS
	for ((i = 2; i < CHANGES + 2; i++)); do
		sed -i "s/\"rate\": [0-9]*/\"rate\": $((100 + i))/" \
			"$SET/accounts.json"
		publish "$SET" "$i"
		us=$(date +%s%N)
		wait_for 30 all_have_version "$i" || fail "version $i"
		us=$((($(date +%s%N) - us) / 1000000))
		total=$((total + us))
	done
	figure change_in_force_mean "$n" $((total / CHANGES)) ms
	figure change_bytes_per_daemon "$n" $((($(sum_counters "${VMS[@]}") -
		bytes - BYTES_PER_S * (SECONDS - began) * n) / CHANGES / n)) B
	figure change_cpu_per_daemon "$n" "$(awk -v t=$(($(sum_cpu \
		"${VMS[@]}") - ticks)) -v c="$CHANGES" -v n="$n" \
		-v hz="$TICKS_PER_S" 'BEGIN { printf "%.2f", 1000 * t / hz / c / n }')" ms
}

control_by_peers() {
	local n bytes ticks
	for n in $PEER_COUNTS; do
		fleet_of "$n"
		bytes=$(sum_counters "${VMS[@]}")
		ticks=$(sum_cpu "${VMS[@]}")
		sleep "$IDLE_S"
		ticks=$(($(sum_cpu "${VMS[@]}") - ticks))
		bytes=$(($(sum_counters "${VMS[@]}") - bytes))
		BYTES_PER_S=$((bytes / IDLE_S / n))
		report idle "$n" "$IDLE_S" "$bytes" "$ticks" "$n"
		figure idle_memory_max "$n" "$(max_resident "${VMS[@]}")" kB
		measure_changes "$n"
		stop_all
	done
}

memory_by_configuration
memory_by_accounts
memory_by_connections
control_by_peers
