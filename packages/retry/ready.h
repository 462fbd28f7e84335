/*
 * Decides when an owner may accept keys that another VM may have owned before.
 *
 * Another VM may accept claims of a moved key until its failure domain has the
 * owner's version of the roster. The owner therefore waits until all failure
 * domains have reported this version or a newer one, and for the clock margin
 * after that. It then refuses moved keys that were created before its own
 * activation or the last of these reports, plus the clock margin: they may have
 * been claimed at a former owner.
 */
#ifndef RETRY_READY_H
#define RETRY_READY_H

#include "retry.h"

/* Reports of a failure domain. */
struct ready_domain {
	uint32_t id;
	bool has_version;
	uint64_t version;
	/* When `version` was first reported, by both clocks. */
	int64_t version_at;
	int64_t version_wall_ms;
	/*
	 * Whether the domain reports the active version or a newer one, and
	 * when it first did.
	 */
	bool caught_up;
	int64_t caught_up_at;
	int64_t caught_up_wall_ms;
};

/* A roster version that all failure domains have reported. */
struct reported_version {
	uint64_t version;
	int64_t reported_at;
};

#define READY_REPORTED_MAX 16

struct ready {
	int64_t clock_margin_ms;
	int64_t retention_us;
	bool activated;
	bool suspended;
	/* Every key counts as moved until all domains have reported. */
	bool all_moved;
	uint64_t version;
	int64_t activated_wall_ms;
	/* Keys created earlier are refused; the second is for moved keys. */
	int64_t min_created_ms;
	int64_t moved_min_created_ms;
	struct ready_domain *domains;
	size_t count;
	/* Reported by all less than the retention period ago, oldest first. */
	struct reported_version reported[READY_REPORTED_MAX];
	size_t reported_len;
	uint64_t oldest_roster;
};

/* Expects a zeroed @p ready. */
void ready_init(struct ready *ready, int64_t clock_margin_ms,
		int64_t retention_us, int64_t wall_ms);
void ready_release(struct ready *ready);
void ready_activate(struct ready *ready, uint64_t version, bool skipped,
		    const uint32_t *domains, size_t count, int64_t wall_ms,
		    int64_t now);
void ready_report_domain(struct ready *ready, uint32_t domain, uint64_t version,
			 int64_t wall_ms, int64_t now);
void ready_suspend(struct ready *ready);
/* Whether all domains reported at least the clock margin ago. */
bool ready_all_reported(const struct ready *ready, int64_t now);
/* See retry_ledger_oldest_roster(). */
uint64_t ready_oldest_roster(struct ready *ready, int64_t now);
/* @return RETRY_CLAIM_NEW, _TOO_OLD or _NOT_READY */
enum retry_claim_status ready_check_key(struct ready *ready, bool moved,
					int64_t created_ms, int64_t now);

#endif
