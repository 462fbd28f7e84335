/* Admission of a request by the state of the call graph of its route. */
#include "flow.h"

/*
 * A caller that hangs up in the last tenth of its time has waited to its
 * deadline.
 */
#define CALLER_DEADLINE_PART 10

/*
 * Only requests of callers are decided on: their onward calls belong to them.
 * Indexes of an older configuration would name other routes.
 */
static bool is_subject(const struct flow *f)
{
	return f->node->graph && !f->onward && f->snapshot == f->node->snapshot;
}

static struct overload_request request_of(const struct flow *f)
{
	struct overload_request request = flow_overload_request(f);

	if (f->priority->level >= OVERLOAD_LEVELS)
		request.level = OVERLOAD_LEVELS - 1;
	return request;
}

static void log_changes(struct node *node, int64_t now)
{
	struct overload_graph_change change;
	struct base_log_line line;
	int i;

	while (overload_graph_next_change(node->graph, now, &change)) {
		node_counter_add(node, "graph_share_changes");
		line = base_log_begin(node->log, BASE_LOG_INFO,
				      "graph_share_changed");
		base_log_str(&line, "route",
			     node->snapshot->routes[change.route].name);
		base_log_int(&line, "level", change.level);
		base_log_int(&line, "old_percent",
			     (int64_t)(change.old_share * 100));
		base_log_int(&line, "new_percent",
			     (int64_t)(change.new_share * 100));
		base_log_cstr(&line, "held", change.held ? "yes" : "no");
		for (i = 0; i < OVERLOAD_GRAPH_OUTCOMES; i++)
			base_log_int(&line, overload_graph_outcome_str(i),
				     change.ends[i]);
		base_log_end(&line);
	}
}

bool flow_graph_admit(struct flow *f, int64_t now)
{
	struct overload_request request;
	enum overload_graph_verdict verdict;
	struct flow_refusal refusal = {
		.refusal = HTTP_REFUSAL_OVERLOADED,
		.not_run = true,
		.detail = "too many requests of this route fail downstream",
	};

	if (!is_subject(f))
		return true;
	request = request_of(f);
	verdict = overload_graph_admit(f->node->graph, &request,
				       f->deadline - now, now,
				       &refusal.retry_after_us);
	log_changes(f->node, now);
	if (verdict == OVERLOAD_GRAPH_ADMIT) {
		f->graph_begun_at = now;
		return true;
	}
	node_counter_add(f->node, "graph_refused");
	if (!request.idempotent)
		node_counter_add(f->node, "graph_refused_non_idempotent");
	if (verdict == OVERLOAD_GRAPH_REFUSE_LATE) {
		node_counter_add(f->node, "graph_refused_late");
		refusal.detail = "the remaining time is too short for requests "
				 "of this route";
	}
	flow_refuse(f, &refusal, now);
	return false;
}

static void record(struct flow *f, enum overload_graph_outcome outcome,
		   int64_t now)
{
	struct overload_request request;
	struct overload_graph_end end = {
		.outcome = outcome,
		.begun_at = f->graph_begun_at,
		.server = f->server,
	};

	if (!f->graph_begun_at || !is_subject(f))
		return;
	request = request_of(f);
	overload_graph_record(f->node->graph, &request, &end, now);
	f->graph_begun_at = 0;
	log_changes(f->node, now);
}

void flow_graph_on_answer(struct flow *f, uint32_t status, int64_t now)
{
	record(f, status < 500 ? OVERLOAD_GRAPH_OK : OVERLOAD_GRAPH_FAILED,
	       now);
}

/* A deadline that passed while this process was paused tells of no load. */
static void record_deadline(struct flow *f, int64_t now)
{
	node_detect_pause(f->node, now);
	if (node_is_resuming(f->node))
		f->graph_begun_at = 0;
	else
		record(f, OVERLOAD_GRAPH_DEADLINE, now);
}

void flow_graph_on_refusal(struct flow *f, enum http_refusal refusal,
			   int64_t now)
{
	if (f->state != FLOW_SENT)
		return;
	if (refusal == HTTP_REFUSAL_OVERLOADED)
		record(f, OVERLOAD_GRAPH_REFUSED, now);
	else if (refusal == HTTP_REFUSAL_DEADLINE)
		record_deadline(f, now);
}

void flow_graph_on_caller_gone(struct flow *f, int64_t now)
{
	if (f->state == FLOW_SENT &&
	    f->deadline - now <
		    (f->deadline - f->started_at) / CALLER_DEADLINE_PART)
		record(f, OVERLOAD_GRAPH_DEADLINE, now);
}
