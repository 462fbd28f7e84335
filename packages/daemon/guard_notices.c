/* What the backend server states about itself in its answers. */
#include "guard_work.h"

/*
 * A limited or leaving server that has answered nothing for this long is asked
 * whether it still says so. It may get no requests whose answers would tell.
 */
#define NOTICE_CHECK_INTERVAL_US BASE_SECOND_US

/*
 * Without the platform, an idle server is asked this often whether it still
 * runs: only while that is known to be recent can a restart of it be told from
 * a server of another service.
 */
#define INSTANCE_CHECK_INTERVAL_US (500 * BASE_MS_US)

static void log_rate_limit(struct guard *g, const char *event, double per_s)
{
	struct base_log_line line =
		base_log_begin(g->node->log, BASE_LOG_INFO, event);

	base_log_str(&line, "instance", base_buf_str(&g->instance));
	base_log_int(&line, "limit_per_1000s", (int64_t)(per_s * 1000));
	base_log_end(&line);
}

static void log_unreadable(struct guard *g, const char *name,
			   struct base_str value)
{
	struct base_log_line line = base_log_begin(
		g->node->log, BASE_LOG_WARN, "backend_statement_unreadable");

	node_counter_add(g->node, "backend_statements_unreadable");
	base_log_cstr(&line, "header", name);
	base_log_str(&line, "value", value);
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

static void read_rate_limit(struct guard *g, const struct http_headers *headers,
			    int64_t sent_at, int64_t now)
{
	const char *name = g->node->dialect->headers.rate_limit;
	struct base_str text = BASE_STR_NONE;
	double per_s;

	if (name)
		text = http_headers_find(headers, base_str_from(name));
	if (base_str_to_decimal(text, &per_s))
		set_rate_limit(g, per_s, now);
	else if (text.ptr)
		log_unreadable(g, name, text);
	else if (sent_at > g->notices.rate_limit_stated_at)
		end_rate_limit(g);
}

static void set_leaving(struct guard *g, bool leaving)
{
	struct base_log_line line;

	if (g->notices.leaving == leaving)
		return;
	g->notices.leaving = leaving;
	node_counter_add(g->node, "backend_leavings");
	line = base_log_begin(g->node->log, BASE_LOG_INFO,
			      leaving ? "backend_leaving"
				      : "backend_leaving_ended");
	base_log_str(&line, "instance", base_buf_str(&g->instance));
	base_log_end(&line);
}

static void read_leaving(struct guard *g, const struct http_headers *headers,
			 int64_t sent_at, int64_t now)
{
	const char *name = g->node->dialect->headers.leaving;
	struct base_str text = BASE_STR_NONE;

	if (name)
		text = http_headers_find(headers, base_str_from(name));
	if (base_str_equal(text, BASE_STR("1"))) {
		g->notices.leaving_stated_at = now;
		set_leaving(g, true);
	} else if (text.ptr) {
		log_unreadable(g, name, text);
	} else if (sent_at > g->notices.leaving_stated_at) {
		set_leaving(g, false);
	}
}

/*
 * Answers overtake each other. Only one whose request was sent after a
 * statement was last made shows that the server no longer makes it.
 */
void guard_read_notices(struct guard *g, const struct http_headers *headers,
			int64_t sent_at, int64_t now)
{
	g->notices.answered_at = now;
	read_rate_limit(g, headers, sent_at, now);
	read_leaving(g, headers, sent_at, now);
}

static bool is_instance_check_due(const struct guard *g, int64_t now)
{
	return !g->node->platform_up && g->instance.len && g->node->self &&
	       !overload_guard_is_unavailable(g->overload) &&
	       now - g->instance_seen_at >= INSTANCE_CHECK_INTERVAL_US;
}

void guard_tick(struct guard *g, int64_t now)
{
	const struct guard_notices *n = &g->notices;

	if (((n->has_rate_limit || n->leaving) &&
	     now - n->answered_at >= NOTICE_CHECK_INTERVAL_US) ||
	    is_instance_check_due(g, now))
		backend_health_check(g->health, now);
	guard_capacity_tick(g, now);
}

void guard_clear_notices(struct guard *g)
{
	end_rate_limit(g);
	set_leaving(g, false);
	g->notices = (struct guard_notices){ 0 };
}
