/*
 * Links to VMs that are out of use while requests are in flight there. A VM is
 * removed before its backend server has answered all requests, and their
 * answers come back only on the link on which they were sent.
 */
#include "membership_internal.h"
#include "entry.h"

#include <utlist.h>

/*
 * Claims, asks for rates and permits are answered within this time. A message
 * that was sent just before, such as a cancellation, has left the socket.
 */
#define RETIRED_LINK_LINGER_US BASE_SECOND_US
/* One for each VM of the largest deployment. */
#define RETIRED_LINKS_MAX 1024

static void log_link(const struct membership *m, const char *event,
		     const struct outgoing_link *out_link)
{
	struct base_log_line line =
		base_log_begin(m->node->log, BASE_LOG_INFO, event);

	base_log_str(&line, "address", peer_link_address(out_link->link));
	base_log_int(&line, "in_flight", out_link->in_flight);
	base_log_int(&line, "retired", (int64_t)m->retired_count);
	base_log_end(&line);
}

/*
 * The requests on a retired link are none of the table's: the VM may be listed
 * again, with another link or for another server.
 */
static void stop_counting(struct membership *m,
			  const struct outgoing_link *out_link)
{
	uint32_t i;

	for (i = 0; i < out_link->in_flight; i++)
		routing_abandoned(m->node->routing, out_link->vm);
}

static void resume_counting(struct membership *m,
			    const struct outgoing_link *out_link, int64_t now)
{
	uint32_t i;

	for (i = 0; i < out_link->in_flight; i++)
		routing_sent(m->node->routing, out_link->vm, now);
}

void retired_links_add(struct membership *m, struct outgoing_link *out_link,
		       int64_t now)
{
	if (!peer_link_is_up(out_link->link)) {
		links_close(m, out_link);
		return;
	}
	HASH_DEL(m->outgoing, out_link);
	peer_transport_detach_link(m->node->transport, out_link->link);
	DL_APPEND(m->retired, out_link);
	m->retired_count++;
	out_link->retired = true;
	out_link->relay = false;
	out_link->query_pending = false;
	out_link->idle_since = now;
	out_link->liveness = (struct routing_liveness){
		.last_received_at = out_link->received_at,
	};
	stop_counting(m, out_link);
	log_link(m, "peer_link_retired", out_link);
}

static void remove_retired(struct membership *m, struct outgoing_link *out_link)
{
	DL_DELETE(m->retired, out_link);
	m->retired_count--;
	out_link->retired = false;
}

/*
 * A link that may be dead is not taken back: new requests would be lost on it,
 * and a new connection shows whether the VM is alive.
 */
static bool is_alive(const struct outgoing_link *out_link, int64_t now)
{
	return peer_link_is_up(out_link->link) &&
	       now - out_link->liveness.last_received_at <
		       ROUTING_CHECK_AFTER_US + ROUTING_CHECK_TIMEOUT_US;
}

struct outgoing_link *retired_links_take_back(struct membership *m, uint32_t vm,
					      struct base_str address,
					      int64_t now)
{
	struct outgoing_link *out_link;

	DL_FOREACH(m->retired, out_link)
	{
		if (out_link->vm != vm || !is_alive(out_link, now) ||
		    !base_str_equal(address,
				    peer_link_address(out_link->link)) ||
		    !peer_transport_attach_link(m->node->transport,
						out_link->link))
			continue;
		remove_retired(m, out_link);
		resume_counting(m, out_link, now);
		log_link(m, "peer_link_restored", out_link);
		return out_link;
	}
	return NULL;
}

static void close_retired(struct membership *m, struct outgoing_link *out_link)
{
	remove_retired(m, out_link);
	log_link(m, "peer_link_closed", out_link);
	peer_transport_close_link(m->node->transport, out_link->link);
	free(out_link);
}

static bool may_close(struct outgoing_link *out_link, int64_t now)
{
	if (!peer_link_is_up(out_link->link))
		return true;
	if (out_link->in_flight)
		out_link->idle_since = now;
	return now - out_link->idle_since >= RETIRED_LINK_LINGER_US;
}

/* Requests that are in flight on it count as lost. */
static void drop_oldest(struct membership *m)
{
	struct outgoing_link *oldest = m->retired;

	entry_on_link_down(m->node->entry, oldest->link);
	/* A request that was routed again may have taken it back. */
	if (oldest->retired)
		close_retired(m, oldest);
}

void retired_links_tick(struct membership *m, int64_t now)
{
	struct outgoing_link *out_link, *next;

	DL_FOREACH_SAFE(m->retired, out_link, next)
	{
		if (may_close(out_link, now)) {
			close_retired(m, out_link);
			continue;
		}
		if (!out_link->in_flight ||
		    !routing_liveness_check_due(&out_link->liveness, now))
			continue;
		routing_liveness_check_sent(&out_link->liveness, now);
		links_send_heartbeat(m, out_link, now);
	}
	while (m->retired && m->retired_count > RETIRED_LINKS_MAX)
		drop_oldest(m);
}

void retired_links_on_resume(struct membership *m, int64_t now)
{
	struct outgoing_link *out_link;

	DL_FOREACH(m->retired, out_link)
	{
		out_link->liveness.last_received_at = now;
	}
}

void retired_links_close_all(struct membership *m)
{
	while (m->retired)
		close_retired(m, m->retired);
}

bool membership_is_link_retired(const struct membership *m,
				const struct peer_link *link)
{
	const struct outgoing_link *out_link = peer_link_data(link);

	(void)m;
	return out_link && out_link->retired;
}

bool membership_is_link_silent(const struct membership *m,
			       const struct peer_link *link, int64_t now)
{
	const struct outgoing_link *out_link = peer_link_data(link);

	if (!out_link)
		return false;
	return out_link->retired
		       ? routing_liveness_timed_out(&out_link->liveness, now)
		       : routing_is_silent(m->node->routing, out_link->vm, now);
}
