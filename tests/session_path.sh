#!/usr/bin/env bash
# Sends one reservation through a chain of three services and three daemons that
# use a published configuration. Guards against failures of the request path
# between processes.
BUILD=$1
. "$(dirname "$0")/lib.sh"
BACKEND_ARGS[reservations]="--chain GET:/returns/42"
BACKEND_ARGS[returns]="--chain GET:/catalogue/lookup/42"
start_fleet "$(dirname "$0")/../examples/lakeshore"
KEY=bhk_ls1_example-secret-ls1

request GET catalogue-1 /catalogue/hours
expect "an open route needs no key" "$STATUS" 200
request GET catalogue-1 /reservations
expect "other routes need a key" "$STATUS" 401
expect "the refusal has the outcome not-run" \
	"$(header_value Bilberryhinge-Outcome)" not-run
request GET catalogue-1 /nowhere -H "Authorization: Bearer $KEY"
expect "an unknown path is refused" "$STATUS" 404
request POST returns-1 /reservations -H "Authorization: Bearer $KEY" \
	-H "Idempotency-Key: $(new_key)" -d '{"instrument":"recorder"}'
expect "a reservation is served through the chain" "$STATUS" 200
case $(header_value Bilberryhinge-Served-By) in
reservations-*) echo "ok   served by a reservations VM" ;;
*) fail "served by '$(header_value Bilberryhinge-Served-By)'" ;;
esac
expect "reservations ran once" "$(executions_of_service reservations)" 1
expect "the chain reached returns" "$(executions_of_service returns)" 1
# One of the two executions is that of the open route above.
expect "the chain reached the catalogue" "$(executions_of_service catalogue)" 2
grep -l 'bhk_' "$WORK"/*.out "$WORK"/daemon-*.err &&
	fail "a key is in the output of a backend server or in a log"
for vm in "${VMS[@]}"; do
	[ "$(curl -s "http://${ADMIN_OF[$vm]}/spans" | grep -c bhk_)" = 0 ] ||
		fail "a key is in a span"
done
echo "ok   no key reached a backend server, a log or a span"
