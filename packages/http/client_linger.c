/* Calls that have timed out while their response is still due. */
#include "client_linger.h"

/*
 * A server that ignores deadlines, or does not respond at all, would go on with
 * the work for as long as its connection lingers. So calls linger on credit,
 * which late responses restore, and time up to CREDIT_START. The maximum allows
 * for many calls that time out together.
 */
#define CREDIT_START 16
#define CREDIT_MAX 64
#define CREDIT_PER_RESPONSE 2
#define CREDIT_INTERVAL_US BASE_SECOND_US

static void add_credit(struct linger_credit *l, int64_t n, int64_t max)
{
	if (l->credit >= max)
		return;
	l->credit = n < max - l->credit ? l->credit + n : max;
}

static bool has_credit(struct linger_credit *l, int64_t now)
{
	int64_t intervals = (now - l->restored_at) / CREDIT_INTERVAL_US;

	if (!l->restored_at) {
		l->restored_at = now;
		l->credit = CREDIT_START;
	} else if (intervals > 0) {
		add_credit(l, intervals, CREDIT_START);
		l->restored_at += intervals * CREDIT_INTERVAL_US;
	}
	return l->credit > 0;
}

bool client_is_lingering(const struct http_call *call)
{
	return call->overdue;
}

bool client_may_linger(const struct http_call *call, int64_t now)
{
	const struct connection *c = call->connection;

	return call->linger_us > 0 && !call->overdue &&
	       has_credit(&call->client->linger_credit, now) && c->connected &&
	       !c->message_bytes && !c->unrelated_bytes && !c->stray_seen &&
	       !evbuffer_get_length(bufferevent_get_input(c->bev)) &&
	       !evbuffer_get_length(bufferevent_get_output(c->bev));
}

void client_start_linger(struct http_call *call)
{
	struct timeval tv = { .tv_sec = call->linger_us / BASE_SECOND_US,
			      .tv_usec = call->linger_us % BASE_SECOND_US };

	call->overdue = true;
	call->client->linger_credit.credit--;
	evtimer_add(call->timer, &tv);
}

void client_linger_answered(struct http_client *client)
{
	client->statistics.late_responses++;
	add_credit(&client->linger_credit, CREDIT_PER_RESPONSE, CREDIT_MAX);
}
