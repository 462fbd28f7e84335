# Functions that record sessions as transcripts and compare these with golden
# files. Source this file after lib.sh. A session is a list of steps; for each
# step the transcript contains the caller's request and the response, followed
# by the resulting traffic at every other interface.

GOLDEN=$(dirname "${BASH_SOURCE[0]}")/golden
# Message types whose number and order depend on timing. Each kind is listed
# once at the end of the session.
BACKGROUND='type=(hello|heartbeat|rate_ask|rate_grant|config_[a-z]*) '
# Number of lines already in the transcript, by title of show_new.
declare -A SHOWN_LINES

# start_session NAME: starts a new transcript.
start_session() {
	SESSION=$1
	SHOWN_LINES=()
	: >"$WORK/transcript"
	: >"$WORK/names"
}

write_line() {
	printf '%s\n' "$*" >>"$WORK/transcript"
}

write_indented() {
	sed 's/^/  /; s/ *$//' >>"$WORK/transcript"
}

# add_name TEXT NAME: makes normalise.pl replace the text by "<NAME>".
add_name() {
	printf '%s\t%s\n' "$1" "$2" >>"$WORK/names"
}

name_addresses() {
	local vm
	for vm in "${VMS[@]}"; do
		add_name "${PEER_OF[$vm]}" "$vm peer"
		add_name "${ONWARD_OF[$vm]}" "$vm onward"
		add_name "${BACKEND_OF[$vm]}" "$vm backend"
		add_name "${CALLER_OF[$vm]}" "$vm caller"
	done
	add_name "$PLATFORM" platform
	add_name "$WORK" work
}

# name_hashes FOLDER SUFFIX: names the hashes of a rendered configuration.
name_hashes() {
	local name hash
	add_name "$(b2sum -l 256 <"$1/manifest" | cut -d' ' -f1)" \
		"hash of manifest $2"
	sed -n 's/.*{"name":"\([^"]*\)","hash":"\([^"]*\)".*/\1 \2/p' \
		"$1/manifest" | while read -r name hash; do
		grep -q "^$hash" "$WORK/names" ||
			add_name "$hash" "hash of $name $2"
	done
}

# Removes the failure domains without a VM, which would never report.
drop_empty_domains() {
	local domain
	for domain in $(sed -n 's/.*"failure_domain", "name": "\([^"]*\)".*/\1/p' "$1"); do
		grep -q "\"failure_domain\": \"$domain\"" "$1" ||
			sed -i "/\"failure_domain\", \"name\": \"$domain\"/d" "$1"
	done
}

# copy_subset FOLDER VM...: copies a configuration set to SUBSET with only these
# VMs, their failure domains, services and routes.
copy_subset() {
	local folder=$1 vm service keep_vms='' keep_services=''
	shift
	for vm in "$@"; do
		service=${vm%-*}
		keep_vms+="|\"name\": \"$vm\""
		keep_services+="|\"(name|service)\": \"$service\""
	done
	SUBSET=$WORK/small
	rm -rf "$SUBSET"
	cp -r "$folder" "$SUBSET"
	chmod -R u+w "$SUBSET"
	sed -Ei "/\"kind\": \"vm\"/{/${keep_vms#|}/!d}" "$SUBSET/topology.json"
	drop_empty_domains "$SUBSET/topology.json"
	sed -Ei "/\"kind\": /{/${keep_services#|}/!d}" \
		"$SUBSET/services.json" "$SUBSET/routes.json"
	sed -i -z 's/},\n\]}/}\n]}/' "$SUBSET"/*.json
}

# messages VM: prints the messages at its peer interface, without time stamp and
# log level.
messages() {
	sed -n 's/.* event=peer_message_\(sent\|received\) /\1 /p' \
		"$WORK/daemon-$1.err"
}

received_requests() {
	grep -v '^listening\|^executed' "$WORK/backend-$1.out"
}

# When a request reaches its deadline, the entry sends a cancel and the guard an
# answer. Which comes first, and hence whether both are sent, depends on timing.
step_messages() {
	messages "$1" | grep -vE "$BACKGROUND|type=cancel |reason=deadline "
}

count_log_lines() {
	local vm
	for vm in "${VMS[@]}"; do
		step_messages "$vm"
		received_requests "$vm"
	done | wc -l
}

# Waits until no daemon and no backend server logs further requests or messages.
wait_until_idle() {
	local before=-1 now
	now=$(count_log_lines)
	while [ "$now" != "$before" ]; do
		before=$now
		sleep 0.4
		now=$(count_log_lines)
	done
}

# show_new TITLE COMMAND...: writes the lines that the command has added to its
# output since the last call with this title.
show_new() {
	local title=$1 seen
	shift
	"$@" >"$WORK/all"
	seen=${SHOWN_LINES[$title]:-0}
	SHOWN_LINES[$title]=$(wc -l <"$WORK/all")
	[ "${SHOWN_LINES[$title]}" -gt "$seen" ] || return 0
	write_line "$title"
	tail -n "+$((seen + 1))" "$WORK/all" | write_indented
}

# Writes the new traffic at the backend and peer interfaces of all VMs.
show_effects() {
	local vm
	wait_until_idle
	for vm in "${VMS[@]}"; do
		show_new "backend interface of $vm" received_requests "$vm"
	done
	for vm in "${VMS[@]}"; do
		show_new "peer interface of $vm" step_messages "$vm"
	done
}

# Writes the status line, headers and body of the last response. A jittered
# retry_after_ms changes the length of the body, and when a deadline passes, the
# detail text depends on whether the entry or the guard refuses the request.
show_answer() {
	local vary=''
	grep -qE '"retry_after_ms":[1-9]|"reason":"deadline"' <<<"$BODY" &&
		vary='s/^Content-Length: .*/Content-Length: <n>/
			/"reason":"deadline"/s/"detail":"[^"]*"/"detail":<text>/'
	write_line "answer"
	{
		printf '%s\n' "$HEADERS"
		printf '%s\n' "${BODY:0:300}"
	} | sed "$vary" | write_indented
}

# show_request METHOD VM PATH [CURL ARGUMENTS]: writes the request line, headers
# and body of a request.
show_request() {
	write_line "caller interface of $2"
	write_line "  $1 $3"
	shift 3
	while [ $# -gt 0 ]; do
		case $1 in
		-H | -d) write_line "  ${2:0:100}" ;;
		esac
		shift 2
	done
}

# run_step TITLE METHOD VM PATH [CURL ARGUMENTS]: sends a request and writes it,
# its response and the resulting traffic.
run_step() {
	write_line ""
	write_line "== $1"
	shift
	show_request "$@"
	request "$@"
	show_answer
	show_effects
}

background_messages() {
	messages "$1" | grep -E "$BACKGROUND" |
		sed -E 's/ (id|incarnation|sequence|holder)=.*//; s/ vm=.*//' |
		sed -E 's/ load=.*//; s/ (account|version)=.*//' | sort -u
}

platform_calls() {
	grep '^called' "$WORK/platform.out" | sed 's/index=[0-9]*/index=N/' |
		perl "$GOLDEN/../normalise.pl" "$WORK/names" | sort -u
}

# Prints the counters that do not depend on timing. Excluded are those of peer
# messages and bytes, of rate limiting, of arbiter changes, and of cancels and
# late answers at a deadline.
fixed_counters() {
	curl -s "http://${ADMIN_OF[$1]}/counters" |
		grep -vE '^(peer_|rate_|arbiter_|answers_late|guard_cancelled)'
}

show_admin() {
	local vm=$1
	write_line ""
	write_line "== admin interface of $vm"
	write_line "/status"
	curl -s "http://${ADMIN_OF[$vm]}/status" | write_indented
	write_line "/counters"
	fixed_counters "$vm" | write_indented
	write_line "/spans"
	curl -s "http://${ADMIN_OF[$vm]}/spans" | write_indented
}

# end_session VM...: writes the admin interfaces of these VMs, the background
# messages and the platform calls, then compares the transcript.
end_session() {
	local vm
	for vm in "$@"; do
		show_admin "$vm"
	done
	write_line ""
	write_line "== background"
	for vm in "$@"; do
		write_line "peer interface of $vm, each kind once"
		background_messages "$vm" | write_indented
	done
	write_line "platform interface, each call once"
	platform_calls | write_indented
	compare_session
}

# Compares the transcript with the golden file, or writes the golden file when
# RECORD is set.
compare_session() {
	local golden=$GOLDEN/session_$SESSION.txt
	perl "$GOLDEN/../normalise.pl" "$WORK/names" "$WORK/transcript" \
		>"$WORK/normalised"
	if grep -n "$SECRET" "$WORK/normalised"; then
		fail "the fleet secret is in the transcript"
	fi
	if [ -n "$RECORD" ]; then
		cp "$WORK/normalised" "$golden"
		echo "recorded $golden"
		return
	fi
	diff -u "$golden" "$WORK/normalised" ||
		fail "session $SESSION differs from $golden"
	echo "ok   session $SESSION"
}

# Kills all processes and removes their logs before the next session.
stop_all() {
	local pid
	for pid in "${PIDS[@]}"; do
		kill -KILL "$pid" 2>/dev/null
	done
	wait >/dev/null 2>&1
	PIDS=()
	rm -f "$WORK"/*.out "$WORK"/*.err
}
