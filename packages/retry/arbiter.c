/* Permits for suspects: at most one suspect of a service runs at a time. */
#include "retry.h"

#include <uthash.h>

struct arbiter_service {
	uint32_t service;
	/*
	 * The last permit granted; in use until it is returned or
	 * permit_ends_at has passed. 0 for none or an unknown one.
	 */
	uint64_t permit_id;
	struct base_digest fingerprint;
	int64_t permit_ends_at;
	UT_hash_handle hh;
};

struct retry_arbiter {
	struct retry_suspects *suspects;
	uint64_t next_id;
	struct arbiter_service *services;
};

struct retry_arbiter *retry_arbiter_create(struct retry_suspects *suspects,
					   uint64_t start)
{
	struct retry_arbiter *a = base_alloc(sizeof(*a));

	a->suspects = suspects;
	/*
	 * With the start in milliseconds, starts at least 1 ms apart use
	 * different ids; 2^20 permits fit between them.
	 */
	a->next_id = (start << 20) + 1;
	return a;
}

void retry_arbiter_destroy(struct retry_arbiter *arbiter)
{
	struct arbiter_service *svc, *next;

	if (!arbiter)
		return;
	HASH_ITER (hh, arbiter->services, svc, next) {
		HASH_DEL(arbiter->services, svc);
		free(svc);
	}
	free(arbiter);
}

static struct arbiter_service *find(const struct retry_arbiter *arbiter,
				    uint32_t service)
{
	struct arbiter_service *svc;

	HASH_FIND(hh, arbiter->services, &service, sizeof(service), svc);
	return svc;
}

static struct arbiter_service *find_or_add(struct retry_arbiter *arbiter,
					   uint32_t service, int64_t now)
{
	struct arbiter_service *svc = find(arbiter, service);

	if (svc)
		return svc;
	svc = base_alloc(sizeof(*svc));
	svc->service = service;
	svc->permit_ends_at = now;
	HASH_ADD(hh, arbiter->services, service, sizeof(svc->service), svc);
	return svc;
}

void retry_arbiter_take_over(struct retry_arbiter *arbiter, uint32_t service,
			     int64_t now)
{
	struct arbiter_service *svc = find_or_add(arbiter, service, now);

	/* The predecessor may have granted a permit whose id is unknown. */
	svc->permit_id = 0;
	svc->permit_ends_at = now + RETRY_PERMIT_MAX_US;
}

static struct retry_permit busy_permit(const struct arbiter_service *svc,
				       int64_t now)
{
	struct retry_permit permit = { .status = RETRY_PERMIT_BUSY,
				       .wait_us = svc->permit_ends_at - now };

	if (permit.wait_us > RETRY_PERMIT_POLL_US)
		permit.wait_us = RETRY_PERMIT_POLL_US;
	return permit;
}

static struct retry_permit grant(struct retry_arbiter *arbiter,
				 struct arbiter_service *svc,
				 const struct retry_permit_request *request,
				 int64_t now)
{
	struct retry_permit permit = { .status = RETRY_PERMIT_GRANTED,
				       .lifetime_us = RETRY_PERMIT_MAX_US };

	if (permit.lifetime_us > request->remaining_us)
		permit.lifetime_us = request->remaining_us;
	permit.id = arbiter->next_id++;
	svc->permit_id = permit.id;
	svc->fingerprint = request->suspect.fingerprint;
	svc->permit_ends_at = now + permit.lifetime_us;
	return permit;
}

struct retry_permit
retry_arbiter_request_permit(struct retry_arbiter *arbiter,
			     const struct retry_permit_request *request,
			     int64_t now)
{
	const struct retry_suspect_update *suspect = &request->suspect;
	struct retry_permit permit = { .status = RETRY_PERMIT_NOT_NEEDED };
	struct arbiter_service *svc;
	enum retry_suspect_state state;

	retry_suspects_merge(arbiter->suspects, suspect, now);
	state = retry_suspects_check(arbiter->suspects, suspect->service,
				     &suspect->fingerprint, now, NULL);
	if (state == RETRY_SUSPECT_CONVICTED)
		permit.status = RETRY_PERMIT_REFUSED;
	if (state != RETRY_SUSPECT_SUSPECTED)
		return permit;
	svc = find_or_add(arbiter, suspect->service, now);
	if (now < svc->permit_ends_at)
		return busy_permit(svc, now);
	return grant(arbiter, svc, request, now);
}

static void convict_permit_holder(struct retry_arbiter *arbiter,
				  const struct arbiter_service *svc,
				  int64_t now, retry_suspect_cb cb, void *ctx)
{
	struct retry_server_death death = { .service = svc->service,
					    .permitted = &svc->fingerprint,
					    .permitted_len = 1 };

	retry_suspects_record_server_death(arbiter->suspects, &death, now, cb,
					   ctx);
}

void retry_arbiter_return_permit(struct retry_arbiter *arbiter,
				 uint32_t service, uint64_t permit_id,
				 enum retry_permit_result result, int64_t now,
				 retry_suspect_cb cb, void *ctx)
{
	struct arbiter_service *svc = find(arbiter, service);

	if (!svc || !permit_id || svc->permit_id != permit_id)
		return;
	if (result == RETRY_PERMIT_SERVER_DIED)
		convict_permit_holder(arbiter, svc, now, cb, ctx);
	if (result == RETRY_PERMIT_SUCCEEDED)
		retry_suspects_record_success(arbiter->suspects, service,
					      &svc->fingerprint, now, cb, ctx);
	svc->permit_id = 0;
	svc->permit_ends_at = now;
}
