/* Records requests that were in flight when backend servers died. */
#include "retry.h"

#include <string.h>
#include <uthash.h>

/* A hash key, compared byte by byte: it must not contain padding. */
struct suspect_id {
	uint32_t service;
	struct base_digest fingerprint;
};

struct suspect {
	struct suspect_id id;
	enum retry_suspect_state state;
	uint32_t round;
	int64_t expires_at;
	UT_hash_handle hh;
};

struct retry_suspects {
	struct suspect *by_id;
};

struct retry_suspects *retry_suspects_create(void)
{
	return base_alloc(sizeof(struct retry_suspects));
}

static void remove_suspect(struct retry_suspects *all, struct suspect *s)
{
	HASH_DEL(all->by_id, s);
	free(s);
}

void retry_suspects_destroy(struct retry_suspects *suspects)
{
	struct suspect *s, *next;

	if (!suspects)
		return;
	HASH_ITER (hh, suspects->by_id, s, next)
		remove_suspect(suspects, s);
	free(suspects);
}

static struct suspect_id make_suspect_id(uint32_t service,
					 const struct base_digest *fp)
{
	struct suspect_id id = { .service = service, .fingerprint = *fp };

	return id;
}

/* Removes the suspect and returns NULL if it has expired. */
static struct suspect *find(struct retry_suspects *all, uint32_t service,
			    const struct base_digest *fp, int64_t now)
{
	struct suspect_id id = make_suspect_id(service, fp);
	struct suspect *s;

	HASH_FIND(hh, all->by_id, &id, sizeof(id), s);
	if (s && now >= s->expires_at) {
		remove_suspect(all, s);
		return NULL;
	}
	return s;
}

static int64_t ttl_us(enum retry_suspect_state state)
{
	switch (state) {
	case RETRY_SUSPECT_CONVICTED:
		return RETRY_CONVICTED_TTL_US;
	case RETRY_SUSPECT_SUSPECTED:
		return RETRY_SUSPECT_TTL_US;
	default:
		return RETRY_CLEARED_TTL_US;
	}
}

/*
 * Eviction order, least harmful first: expired, cleared, suspect, convicted.
 * Among equals the one that expires first is evicted.
 */
static bool evict_before(const struct suspect *a, const struct suspect *b,
			 int64_t now)
{
	bool a_expired = now >= a->expires_at;
	bool b_expired = now >= b->expires_at;

	if (a_expired != b_expired)
		return a_expired;
	if (a->state != b->state)
		return a->state < b->state;
	return a->expires_at < b->expires_at;
}

static void make_room(struct retry_suspects *all, int64_t now)
{
	struct suspect *s, *next, *victim = all->by_id;

	if (HASH_COUNT(all->by_id) < RETRY_SUSPECTS_MAX)
		return;
	HASH_ITER (hh, all->by_id, s, next) {
		if (evict_before(s, victim, now))
			victim = s;
	}
	remove_suspect(all, victim);
}

static struct suspect *store(struct retry_suspects *all,
			     const struct retry_suspect_update *update,
			     int64_t now)
{
	struct suspect *s =
		find(all, update->service, &update->fingerprint, now);

	if (!s) {
		make_room(all, now);
		s = base_alloc(sizeof(*s));
		s->id = make_suspect_id(update->service, &update->fingerprint);
		HASH_ADD(hh, all->by_id, id, sizeof(s->id), s);
	}
	s->state = update->state;
	s->round = update->round;
	s->expires_at = now + ttl_us(update->state);
	return s;
}

static void store_and_notify(struct retry_suspects *all,
			     const struct retry_suspect_update *update,
			     int64_t now, retry_suspect_cb cb, void *ctx)
{
	store(all, update, now);
	if (cb)
		cb(ctx, update);
}

static struct retry_suspect_update update_of(const struct suspect *s)
{
	struct retry_suspect_update update = { .service = s->id.service,
					       .fingerprint = s->id.fingerprint,
					       .state = s->state,
					       .round = s->round };

	return update;
}

static bool contains(const struct base_digest *list, size_t len,
		     const struct base_digest *fp)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (base_digest_equal(&list[i], fp))
			return true;
	}
	return false;
}

static void mark_suspect(struct retry_suspects *all, uint32_t service,
			 const struct base_digest *fp, int64_t now,
			 retry_suspect_cb cb, void *ctx)
{
	struct retry_suspect_update update = { .service = service,
					       .fingerprint = *fp,
					       .state = RETRY_SUSPECT_SUSPECTED,
					       .round = 1 };
	struct suspect *s = find(all, service, fp, now);

	if (s && s->state == RETRY_SUSPECT_CONVICTED)
		return;
	/* The round counts the server deaths that involved this request. */
	if (s)
		update.round = s->round + 1;
	store_and_notify(all, &update, now, cb, ctx);
}

static void convict(struct retry_suspects *all, uint32_t service,
		    const struct base_digest *fp, int64_t now,
		    retry_suspect_cb cb, void *ctx)
{
	struct retry_suspect_update update = { .service = service,
					       .fingerprint = *fp,
					       .state = RETRY_SUSPECT_CONVICTED,
					       .round = 1 };
	struct suspect *s = find(all, service, fp, now);

	if (s)
		update.round = s->round;
	store_and_notify(all, &update, now, cb, ctx);
}

void retry_suspects_record_server_death(struct retry_suspects *suspects,
					const struct retry_server_death *death,
					int64_t now, retry_suspect_cb cb,
					void *ctx)
{
	const struct base_digest *fp;
	size_t i;

	/*
	 * Two permits at once mean that one run has exceeded its permit. Either
	 * request may have caused the death, so neither is convicted.
	 */
	if (death->permitted_len == 1)
		convict(suspects, death->service, &death->permitted[0], now, cb,
			ctx);
	for (i = 0; i < death->in_flight_len; i++) {
		fp = &death->in_flight[i];
		if (death->permitted_len == 1 &&
		    contains(death->permitted, death->permitted_len, fp))
			continue;
		mark_suspect(suspects, death->service, fp, now, cb, ctx);
	}
}

void retry_suspects_record_success(struct retry_suspects *suspects,
				   uint32_t service,
				   const struct base_digest *fingerprint,
				   int64_t now, retry_suspect_cb cb, void *ctx)
{
	struct suspect *s = find(suspects, service, fingerprint, now);
	struct retry_suspect_update update;

	if (!s || s->state != RETRY_SUSPECT_SUSPECTED)
		return;
	update = update_of(s);
	update.state = RETRY_SUSPECT_CLEARED;
	store_and_notify(suspects, &update, now, cb, ctx);
}

/*
 * A conviction wins over any round, because a guard that has not received it
 * may have started a new round in the meantime.
 */
static bool overrides(const struct retry_suspect_update *update,
		      const struct suspect *s)
{
	if (s->state == RETRY_SUSPECT_CONVICTED)
		return false;
	if (update->state == RETRY_SUSPECT_CONVICTED)
		return true;
	if (update->round != s->round)
		return update->round > s->round;
	return update->state == RETRY_SUSPECT_CLEARED &&
	       s->state == RETRY_SUSPECT_SUSPECTED;
}

bool retry_suspects_merge(struct retry_suspects *suspects,
			  const struct retry_suspect_update *update,
			  int64_t now)
{
	struct suspect *s =
		find(suspects, update->service, &update->fingerprint, now);

	if (update->state == RETRY_SUSPECT_NONE)
		return false;
	if (s && !overrides(update, s))
		return false;
	store(suspects, update, now);
	return true;
}

enum retry_suspect_state
retry_suspects_check(struct retry_suspects *suspects, uint32_t service,
		     const struct base_digest *fingerprint, int64_t now,
		     struct retry_suspect_update *known)
{
	struct suspect *s = find(suspects, service, fingerprint, now);

	if (known) {
		memset(known, 0, sizeof(*known));
		known->service = service;
		known->fingerprint = *fingerprint;
	}
	if (!s)
		return RETRY_SUSPECT_NONE;
	/*
	 * The conviction does not expire while a client keeps sending the
	 * request, so that the request is not run again.
	 */
	if (s->state == RETRY_SUSPECT_CONVICTED)
		s->expires_at = now + RETRY_CONVICTED_TTL_US;
	if (known)
		*known = update_of(s);
	return s->state;
}

void retry_suspects_for_each(const struct retry_suspects *suspects,
			     uint32_t service, int64_t now, retry_suspect_cb cb,
			     void *ctx)
{
	struct retry_suspect_update update;
	struct suspect *s, *next;

	HASH_ITER (hh, suspects->by_id, s, next) {
		if (s->id.service != service || now >= s->expires_at)
			continue;
		update = update_of(s);
		cb(ctx, &update);
	}
}

size_t retry_suspects_count(const struct retry_suspects *suspects)
{
	return HASH_COUNT(suspects->by_id);
}
