/* Tests of the conversion of suspects and permits to messages and back. */
#include "suspect_messages.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

static struct peer_request request(const char *account, const char *path,
				   const char *body)
{
	return (struct peer_request){
		.context = { .account = base_str_from(account),
			     .route = BASE_STR("order") },
		.path = base_str_from(path),
		.body = base_str_from(body),
	};
}

/* Guards against refusing a request because a different one crashed servers. */
Test(suspect_messages, the_fingerprint_covers_account_path_and_body)
{
	struct peer_request a = request("acme", "/orders", "x");
	struct peer_request others[] = {
		request("acma", "/orders", "x"),
		request("acme", "/order", "sx"),
		request("acme", "/orders", "y"),
	};
	struct base_digest digest = suspect_fingerprint(&a);
	struct base_digest other;
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(others); i++) {
		other = suspect_fingerprint(&others[i]);
		cr_expect(not(base_digest_equal(&digest, &other)));
	}
	others[0] = a;
	others[0].context.route = BASE_STR("return");
	other = suspect_fingerprint(&others[0]);
	cr_expect(not(base_digest_equal(&digest, &other)));
	/* A retry by the caller has another trace and less remaining time. */
	a.context.traceparent = BASE_STR("00-aa-bb-01");
	a.context.remaining_us = 5;
	a.context.attempt = 1;
	other = suspect_fingerprint(&a);
	cr_expect(base_digest_equal(&digest, &other));
}

/* Guards against a state or a round that is lost between guards. */
Test(suspect_messages, updates_keep_state_and_round)
{
	static const enum retry_suspect_state states[] = {
		RETRY_SUSPECT_SUSPECTED,
		RETRY_SUSPECT_CONVICTED,
		RETRY_SUSPECT_CLEARED,
	};
	struct peer_message msg;
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(states); i++) {
		struct retry_suspect_update update = {
			.service = 1,
			.fingerprint = base_digest_of(BASE_STR("r")),
			.state = states[i],
			.round = 7,
		};
		struct retry_suspect_update back;

		cr_assert(suspect_update_to_message(BASE_STR("shop"), &update,
						    &msg));
		back = suspect_update_from_message(&msg.suspect, 2);
		cr_expect(eq(int, (int)back.state, (int)states[i]));
		cr_expect(eq(u32, back.round, 7));
		cr_expect(eq(u32, back.service, 2));
		cr_expect(base_digest_equal(&back.fingerprint,
					    &update.fingerprint));
	}
}

/* Guards against a returned permit handled as an update of a suspect. */
Test(suspect_messages, a_returned_permit_is_no_update_and_keeps_its_result)
{
	static const enum retry_permit_result results[] = {
		RETRY_PERMIT_SUCCEEDED,
		RETRY_PERMIT_SERVER_DIED,
		RETRY_PERMIT_UNUSED,
	};
	struct base_digest digest = base_digest_of(BASE_STR("r"));
	struct peer_message msg;
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(results); i++) {
		suspect_permit_result_to_message(BASE_STR("shop"), &digest, 9,
						 results[i], &msg);
		cr_expect(eq(u64, msg.suspect.permit_id, 9));
		cr_expect(eq(
			int,
			(int)suspect_permit_result_from_peer(msg.suspect.state),
			(int)results[i]));
		cr_expect(eq(
			int,
			(int)suspect_update_from_message(&msg.suspect, 1).state,
			RETRY_SUSPECT_NONE));
	}
}

/* Guards against a suspect that runs without a permit. */
Test(suspect_messages, permits_keep_status_id_and_times)
{
	static const enum retry_permit_status states[] = {
		RETRY_PERMIT_GRANTED,
		RETRY_PERMIT_BUSY,
		RETRY_PERMIT_REFUSED,
		RETRY_PERMIT_NOT_NEEDED,
	};
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(states); i++) {
		struct retry_permit permit = { .status = states[i] };
		struct peer_suspect_answer answer;
		struct retry_permit back;

		if (states[i] == RETRY_PERMIT_GRANTED) {
			permit.id = 5;
			permit.lifetime_us = 1234;
		} else if (states[i] == RETRY_PERMIT_BUSY) {
			permit.wait_us = 777;
		}
		answer = suspect_permit_to_answer(&permit);
		back = suspect_permit_from_answer(&answer);
		cr_expect(eq(int, (int)back.status, (int)states[i]));
		cr_expect(eq(u64, back.id, permit.id));
		cr_expect(eq(i64, back.lifetime_us, permit.lifetime_us));
		if (states[i] == RETRY_PERMIT_BUSY)
			cr_expect(eq(i64, back.wait_us, 777));
	}
}

/* Guards against permit requests in a tight loop when no time is given. */
Test(suspect_messages, a_wait_without_a_time_uses_the_poll_interval)
{
	struct peer_suspect_answer answer = { .verdict = PEER_SUSPECT_WAIT };

	cr_expect(eq(i64, suspect_permit_from_answer(&answer).wait_us,
		     RETRY_PERMIT_POLL_US));
}
