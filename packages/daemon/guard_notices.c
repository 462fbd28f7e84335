/* What the backend server states about itself in its answers. */
#include "guard_work.h"
#include "backend_health.h"

/*
 * A limited server that has answered nothing for this long is asked whether it
 * still states the limit; with a very low limit, no request would tell.
 */
#define NOTICE_CHECK_INTERVAL_US BASE_SECOND_US

static void log_rate_limit(struct guard *g, const char *event, double per_s)
{
	struct base_log_line line =
		base_log_begin(g->node->log, BASE_LOG_INFO, event);

	base_log_str(&line, "instance", base_buf_str(&g->instance));
	base_log_int(&line, "limit_per_1000s", (int64_t)(per_s * 1000));
	base_log_end(&line);
}

static void set_rate_limit(struct guard *g, double per_s, int64_t now)
{
	struct guard_notices *n = &g->notices;

	n->rate_limit_stated_at = now;
	if (n->has_rate_limit && n->rate_limit_per_s == per_s)
		return;
	n->has_rate_limit = true;
	n->rate_limit_per_s = per_s;
	overload_guard_set_stated_rate(g->overload, per_s, now);
	node_counter_add(g->node, "backend_rate_limits");
	log_rate_limit(g, "backend_rate_limited", per_s);
}

static void end_rate_limit(struct guard *g)
{
	if (!g->notices.has_rate_limit)
		return;
	log_rate_limit(g, "backend_rate_limit_ended",
		       g->notices.rate_limit_per_s);
	g->notices.has_rate_limit = false;
	overload_guard_clear_stated_rate(g->overload);
}

void guard_read_notices(struct guard *g, const struct http_headers *headers,
			int64_t sent_at, int64_t now)
{
	const char *name = g->node->dialect->headers.rate_limit;
	struct base_str text;
	double per_s;

	if (!name)
		return;
	g->notices.answered_at = now;
	text = http_headers_find(headers, base_str_from(name));
	if (base_str_to_decimal(text, &per_s))
		set_rate_limit(g, per_s, now);
	else if (text.ptr)
		node_counter_add(g->node, "backend_rate_limits_unreadable");
	/*
	 * Answers overtake each other. Only one whose request was sent after
	 * the limit was last stated shows that the server no longer states it.
	 */
	else if (sent_at > g->notices.rate_limit_stated_at)
		end_rate_limit(g);
}

void guard_tick(struct guard *g, int64_t now)
{
	if (g->notices.has_rate_limit &&
	    now - g->notices.answered_at >= NOTICE_CHECK_INTERVAL_US)
		backend_health_check(g->health, now);
}

void guard_clear_notices(struct guard *g)
{
	end_rate_limit(g);
	g->notices = (struct guard_notices){ 0 };
}
