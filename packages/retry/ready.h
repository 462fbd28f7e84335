/*
 * When an owner may accept keys that another VM may have owned: the readiness
 * rule of D6.
 */
#ifndef RETRY_READY_H
#define RETRY_READY_H

#include "retry.h"

/* What a failure domain has reported. */
struct ready_domain {
	uint32_t id;
	bool known;
	uint64_t version;
	/* When `version` was first reported. */
	int64_t at;
	int64_t wall_ms;
	/* When a version that is new enough was first reported. */
	bool met;
	int64_t met_at;
	int64_t met_wall_ms;
};

/* A version that all domains have reported. */
struct ready_version {
	uint64_t version;
	int64_t reached_at;
};

#define READY_VERSIONS 16

struct ready {
	int64_t margin_ms;
	int64_t retention_us;
	bool activated;
	bool paused;
	/* Every key counts as moved until the domains have reported. */
	bool gate_all;
	uint64_t version;
	int64_t activated_wall_ms;
	/* Keys created earlier are refused: of all keys, of moved keys. */
	int64_t floor_ms;
	int64_t moved_floor_ms;
	struct ready_domain *domains;
	size_t count;
	/* Reached less than the retention period ago, oldest first. */
	struct ready_version recent[READY_VERSIONS];
	size_t recent_len;
	uint64_t moved_since;
};

void ready_init(struct ready *ready, int64_t margin_ms, int64_t retention_us,
		int64_t wall_ms);
void ready_release(struct ready *ready);
void ready_activate(struct ready *ready, uint64_t version, bool skipped,
		    const uint32_t *domains, size_t count, int64_t wall_ms,
		    int64_t now);
void ready_report(struct ready *ready, uint32_t domain, uint64_t version,
		  int64_t wall_ms, int64_t now);
void ready_pause(struct ready *ready);
/* All domains have reported, long enough ago. */
bool ready_reached(const struct ready *ready, int64_t now);
/* See retry_ledger_oldest_roster(). */
uint64_t ready_moved_since(struct ready *ready, int64_t now);
/* @return RETRY_CLAIM_NEW, _TOO_OLD or _NOT_READY */
enum retry_claim_status ready_check(struct ready *ready, bool moved,
				    int64_t created_ms, int64_t now);

#endif
