#!/usr/bin/env bash
# generate_set.sh FOLDER VMS SERVICES ACCOUNTS [FIRST_PORT]: writes a
# configuration set for capacity measurements, with 3 regions, 9 failure
# domains, two routes for each service and three keys for each account.
set -euo pipefail
folder=$1 vms=$2 services=$3 accounts=$4 port=${5:-20000}
mkdir -p "$folder"

write() {
	local name=$1
	awk -v vms="$vms" -v services="$services" -v accounts="$accounts" \
		-v port="$port" "function object(text) {
			printf \"%s  {%s}\", (count++ ? \",\n\" : \"\"), text
		}
		function q(name, value) {
			return sprintf(\"\\\"%s\\\": \\\"%s\\\"\", name, value)
		}
		BEGIN {
			print \"{\\\"schema\\\": 2, \\\"objects\\\": [\"
			$2
			print \"\n]}\"
		}" >"$folder/$name.json"
}

write topology '
	for (i = 0; i < 3; i++)
		object(q("kind", "region") ", " q("name", "region-" i))
	for (i = 0; i < 9; i++)
		object(q("kind", "failure_domain") ", " q("name", "domain-" i) \
			", " q("region", "region-" int(i / 3)) ", " q("state", "in"))
	for (i = 0; i < vms; i++)
		object(q("kind", "vm") ", " q("name", sprintf("vm-%04d", i)) \
			", " q("failure_domain", "domain-" (i % 9)) ", " \
			q("service", "service-" (i % services)) ", " \
			q("peer_address", "127.0.0.1:" (port + i)) ", " \
			q("state", "active"))'
write services '
	for (i = 0; i < services; i++)
		object(q("kind", "service") ", " q("name", "service-" i) \
			", \"slots\": 100, \"connections\": 700, " \
			"\"cold_slots\": 10, \"cold_ms\": 8000")'
write priorities '
	object(q("kind", "priority") ", " q("name", "high") ", " q("above", "low"))
	object(q("kind", "priority") ", " q("name", "low"))'
write routes '
	for (i = 0; i < services; i++) {
		object(q("kind", "route") ", " q("name", "read-" i) ", " \
			q("method", "GET") ", " q("path_prefix", "/s" i) ", " \
			q("service", "service-" i) ", " q("priority", "low") \
			", \"idempotent\": true, \"open\": false, " \
			"\"timeout_ms\": 2000, \"max_body_bytes\": 65536")
		object(q("kind", "route") ", " q("name", "write-" i) ", " \
			q("method", "POST") ", " q("path_prefix", "/s" i) ", " \
			q("service", "service-" i) ", " q("priority", "high") \
			", \"idempotent\": false, \"open\": false, " \
			"\"timeout_ms\": 9000, \"max_body_bytes\": 65536")
	}'
write accounts '
	for (i = 0; i < accounts; i++)
		object(q("kind", "account") ", " q("name", "account-" i) \
			", \"rate\": 100, \"burst\": 200, \"weight\": 1, " \
			q("state", "active"))'
write keys '
	for (i = 0; i < accounts; i++)
		for (k = 0; k < 3; k++)
			object(q("kind", "key") ", " q("name", "key-" i "-" k) \
				", " q("account", "account-" i) ", " \
				q("id", "id" i "x" k) ", " \
				q("hash", sprintf("%064x", i * 3 + k + 1)) \
				", " q("state", "active"))'
