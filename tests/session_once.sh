#!/usr/bin/env bash
# Sends 10,000 non-idempotent requests while daemons and backend servers are
# killed and paused. Guards against a request that runs twice, and against the
# outcome "not-run" for a request that ran.
BUILD=$1
FOLDER=$(dirname "$0")
. "$FOLDER/lib.sh"
SEED=${SEED:-1}
REQUESTS=${REQUESTS:-10000}
RATE=250
RANDOM=$SEED
BACKEND_ARGS[reservations]="--service-us 3000"
start_fleet "$FOLDER/../examples/lakeshore"

callers=()
for vm in catalogue-1 reservations-2 deposits-3 returns-1; do
	callers+=(--target "${CALLER_OF[$vm]}")
done

# load NAME KEY ARGUMENTS...: sends half of the requests in the background.
load() {
	local name=$1 key=$2
	shift 2
	start "$name" "$BIN/fake_caller" "${callers[@]}" --method POST \
		--path /reservations --key "$key" --idempotency \
		--label "$name" --rate $((RATE / 2)) --log-answers \
		--duration-ms $((REQUESTS * 1000 / RATE)) --drain-ms 15000 \
		--timeout-ms 3000 --body-bytes 64 --seed "$SEED" "$@"
}

# Load "single" has no client retries, so that "not-run" covers the whole
# request and not only its last attempt.
load single bhk_ls1_example-secret-ls1
load resent bhk_ls2_example-secret-ls2 --hard-retries 4 --retry-delay-ms 400

pick_vm() {
	VM=${VMS[$((RANDOM % ${#VMS[@]}))]}
}

restart_daemon() {
	kill -KILL "${PID_OF[daemon-$1]}"
	wait "${PID_OF[daemon-$1]}" 2>/dev/null
	start_daemon "$1"
}

restart_backend() {
	kill -KILL "${PID_OF[backend-$1]}"
	sleep 0.2
	cat "$WORK/backend-$1.out" >>"$WORK/executions-$1.txt"
	start_backend "$1"
}

freeze() {
	kill -STOP "${PID_OF[$1]}"
	sleep "$2"
	kill -CONT "${PID_OF[$1]}"
}

faults=0
end=$((SECONDS + REQUESTS / RATE))
while [ "$SECONDS" -lt "$end" ]; do
	pick_vm
	case $((RANDOM % 5)) in
	0) restart_daemon "$VM" ;;
	1) freeze "daemon-$VM" 1.6 ;;
	2) restart_backend "reservations-$((RANDOM % 3 + 1))" ;;
	3) freeze "backend-reservations-$((RANDOM % 3 + 1))" 0.8 ;;
	4) freeze "daemon-reservations-$((RANDOM % 3 + 1))" 4 ;;
	esac
	faults=$((faults + 1))
	sleep 0.5
done
wait_for 40 grep -q '^planned=' "$WORK/single.out" ||
	fail "load single does not finish within 40 s"
wait_for 40 grep -q '^planned=' "$WORK/resent.out" ||
	fail "load resent does not finish within 40 s"
sleep 1

cat "$WORK"/executions-*.txt "$WORK"/backend-*.out 2>/dev/null |
	sed -n 's/^executed label=\([^ ]*\) .*/\1/p' | sort >"$WORK/ran"
sort -u "$WORK/ran" >"$WORK/ran-once"
uniq -d "$WORK/ran" >"$WORK/twice"
sed -n 's/^answer label=\([^ ]*\) status=[0-9]* outcome=not-run/\1/p' \
	"$WORK/single.out" | sort -u >"$WORK/not-run"
comm -12 "$WORK/not-run" "$WORK/ran-once" >"$WORK/false-not-run"
sed -n 's/^answer label=\([^ ]*\) status=200 .*/\1/p' "$WORK"/single.out \
	"$WORK"/resent.out | sort -u >"$WORK/answered"
comm -23 "$WORK/answered" "$WORK/ran-once" >"$WORK/answered-but-not-run"
planned=$(sed -n 's/^planned=//p' "$WORK/single.out" "$WORK/resent.out" |
	awk '{ sum += $1 } END { print sum }')
echo "seed=$SEED planned=$planned faults=$faults ran=$(wc -l <"$WORK/ran-once")" \
	"answered=$(wc -l <"$WORK/answered") not_run=$(wc -l <"$WORK/not-run")"
expect "no request ran twice" "$(wc -l <"$WORK/twice")" 0
expect "no request that ran was answered with not-run" \
	"$(wc -l <"$WORK/false-not-run")" 0
expect "no request that did not run was answered with 200" \
	"$(wc -l <"$WORK/answered-but-not-run")" 0
[ "$planned" -ge "$REQUESTS" ] ||
	fail "only $planned of $REQUESTS requests were planned"
