/*
 * What this daemon knows of when the platform's registry has answered: by its
 * own calls, and by those of relays that tell of theirs.
 *
 * Entries of servers that run expire in an outage, because no server can write
 * its entry. A daemon whose own calls fail cannot tell an outage from the loss
 * of its own connection, and must not treat the entries that are removed after
 * it as expired. So an outage is a time in which no answer to anybody is known,
 * and it must have lasted for as long as an entry takes to expire.
 *
 * Does no I/O. Times are in microseconds on the clock of base_now_us().
 */
#ifndef REGISTRY_EVIDENCE_H
#define REGISTRY_EVIDENCE_H

#include "base.h"

/** An entry expires when its server has not written for so many intervals. */
#define REGISTRY_BEATS_TO_EXPIRE 3

struct registry_evidence {
	/** Interval in which each server writes its entry. */
	int64_t beat_us;
	/** Time of the last answer known; 0 before any. */
	int64_t answered_at;
	/** Since when the platform has answered without an outage. */
	int64_t steady_since;
	/** Since when it has answered without any interruption. */
	int64_t run_since;
	/** Last answer before the interruption that came before that. */
	int64_t interrupted_at;
	/** End of the last outage; 0 without one. */
	int64_t outage_ended_at;
	/** A call failed before the first answer. */
	bool failed_before;
};

void registry_evidence_init(struct registry_evidence *e, int64_t beat_us);
/** A call of this daemon has failed. */
void registry_evidence_on_failure(struct registry_evidence *e);
/**
 * The platform has answered from @p since to @p at without an outage, as far as
 * its caller knows; for a single answer both are its time. May be called in any
 * order of times: what a relay tells may show that the platform answered in the
 * time that was taken for an outage.
 * @return whether outage_ended_at has changed
 */
bool registry_evidence_add(struct registry_evidence *e, int64_t since,
			   int64_t at);
/** Whether an outage may be under way: no answer is known for long enough. */
bool registry_evidence_is_old(const struct registry_evidence *e, int64_t now);

#endif
