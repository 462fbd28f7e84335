/* Log lines about one request at the entry. */
#include "flow.h"
#include "request_log.h"

void flow_log_end(struct flow *f, const char *outcome, int status,
		  bool succeeded, int64_t now)
{
	struct base_log_line line =
		request_log_begin(f->node, outcome, f->request_id, succeeded);
	const struct config_vm *vm =
		f->try_count ? roster_vm(f->node->roster, f->server) : NULL;

	base_log_int(&line, "status", status);
	if (f->route)
		base_log_str(&line, "route", f->route->name);
	if (f->service)
		base_log_str(&line, "service", f->service->name);
	if (f->account)
		base_log_str(&line, "account", f->account->name);
	if (f->try_count)
		base_log_str(&line, "vm",
			     roster_vm_name(f->node->roster, f->server));
	/* The instance of a VM that was removed is not known any more. */
	if (vm)
		base_log_str(&line, "instance", vm->instance);
	base_log_int(&line, "tries", f->try_count);
	base_log_int(&line, "arrivals", f->arrivals);
	base_log_int(&line, "took_ms", (now - f->started_at) / BASE_MS_US);
	base_log_int(&line, "left_ms", (f->deadline - now) / BASE_MS_US);
	if (f->snapshot)
		base_log_int(&line, "version", f->snapshot->version);
	base_log_end(&line);
	metrics_record(f->node->metrics, METRICS_ENTRY, now - f->started_at);
}

void flow_log_failed_try(struct flow *f, const struct peer_answer *answer,
			 const char *decision)
{
	struct base_log_line line = request_log_begin(
		f->node, "request_try_failed", f->request_id, false);

	base_log_str(&line, "vm", roster_vm_name(f->node->roster, f->server));
	base_log_int(&line, "status", answer->status);
	base_log_str(&line, "reason", answer->reason);
	base_log_cstr(&line, "ran",
		      answer->outcome == PEER_OUTCOME_RAN	? "yes"
		      : answer->outcome == PEER_OUTCOME_NOT_RUN ? "no"
								: "unknown");
	base_log_int(&line, "load", answer->load);
	base_log_int(&line, "limit", answer->limit);
	base_log_cstr(&line, "decision", decision);
	base_log_end(&line);
}

void flow_log_invalid_answer(struct flow *f, uint32_t status)
{
	struct base_log_line line = request_log_begin(f->node, "answer_invalid",
						      f->request_id, false);

	node_counter_add(f->node, "answers_invalid");
	if (f->try_count)
		base_log_str(&line, "vm",
			     roster_vm_name(f->node->roster, f->server));
	base_log_int(&line, "status", status);
	base_log_end(&line);
}

void flow_log_refusal(struct flow *f,
		      const struct http_refusal_details *details, int code,
		      int64_t now)
{
	struct base_log_line line = request_log_begin(
		f->node, "request_refused", f->request_id, false);

	base_log_int(&line, "status", code);
	base_log_cstr(&line, "reason", http_refusal_name(details->refusal));
	base_log_cstr(&line, "run", details->not_run ? "no" : "unknown");
	base_log_int(&line, "retry_after_ms",
		     details->retry_after_us / BASE_MS_US);
	base_log_str(&line, "detail", details->detail);
	base_log_end(&line);
	flow_log_end(f, "request_ended", code, false, now);
}

void flow_log_sent(struct flow *f, const struct config_vm *vm)
{
	struct base_log_line line = request_log_begin(
		f->node, "request_sent", f->request_id, f->try_count == 1);

	base_log_str(&line, "vm", vm->name);
	base_log_str(&line, "instance", vm->instance);
	base_log_str(&line, "domain", vm->domain->name);
	base_log_int(&line, "try", f->try_count);
	base_log_end(&line);
}
