/* Tests of the forms that suspects and permits have in messages. */
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

/* Guards against innocent requests convicted for another one's crash. */
Test(suspect_news, the_fingerprint_covers_account_path_and_body)
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
	/* A caller that tries again sends another trace and less time. */
	a.context.traceparent = BASE_STR("00-aa-bb-01");
	a.context.remaining_us = 5;
	a.context.attempt = 1;
	other = suspect_fingerprint(&a);
	cr_expect(base_digest_equal(&digest, &other));
}

/* Guards against a conviction or a round lost between guards. */
Test(suspect_news, news_keep_state_and_round)
{
	static const enum retry_suspect_state states[] = {
		RETRY_SUSPECT_SUSPECTED,
		RETRY_SUSPECT_CONVICTED,
		RETRY_SUSPECT_CLEARED,
	};
	struct peer_message msg;
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(states); i++) {
		struct retry_suspect_update news = {
			.service = 1,
			.fingerprint = base_digest_of(BASE_STR("r")),
			.state = states[i],
			.round = 7,
		};
		struct retry_suspect_update back;

		cr_assert(suspect_update_to_message(BASE_STR("shop"), &news,
						    &msg));
		back = suspect_news_of(&msg.suspect, 2);
		cr_expect(eq(int, (int)back.state, (int)states[i]));
		cr_expect(eq(u32, back.round, 7));
		cr_expect(eq(u32, back.service, 2));
		cr_expect(base_digest_equal(&back.fingerprint,
					    &news.fingerprint));
	}
}

/* Guards against a returned permit taken for news that clears a suspect. */
Test(suspect_news, a_returned_permit_is_no_news_and_keeps_its_end)
{
	static const enum retry_permit_result ends[] = {
		RETRY_PERMIT_SUCCEEDED,
		RETRY_PERMIT_SERVER_DIED,
		RETRY_PERMIT_UNUSED,
	};
	struct base_digest digest = base_digest_of(BASE_STR("r"));
	struct peer_message msg;
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(ends); i++) {
		suspect_end_message(BASE_STR("shop"), &digest, 9, ends[i],
				    &msg);
		cr_expect(eq(u64, msg.suspect.permit_id, 9));
		cr_expect(eq(int, (int)suspect_end_of(msg.suspect.state),
			     (int)ends[i]));
		cr_expect(eq(int, (int)suspect_news_of(&msg.suspect, 1).state,
			     RETRY_SUSPECT_NONE));
	}
}

/* Guards against a suspect that runs without a permit. */
Test(suspect_news, permits_keep_status_id_and_times)
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
		answer = suspect_answer_of(&permit);
		back = suspect_permit_of(&answer);
		cr_expect(eq(int, (int)back.status, (int)states[i]));
		cr_expect(eq(u64, back.id, permit.id));
		cr_expect(eq(i64, back.lifetime_us, permit.lifetime_us));
		if (states[i] == RETRY_PERMIT_BUSY)
			cr_expect(eq(i64, back.wait_us, 777));
	}
}

/* Guards against asks in a tight loop when no time is given. */
Test(suspect_news, a_wait_without_a_time_uses_the_poll_interval)
{
	struct peer_suspect_answer answer = { .verdict = PEER_SUSPECT_WAIT };

	cr_expect(eq(i64, suspect_permit_of(&answer).wait_us,
		     RETRY_PERMIT_POLL_US));
}
