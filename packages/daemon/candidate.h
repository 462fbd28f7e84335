/* A published configuration that is not active yet. */
#ifndef CANDIDATE_H
#define CANDIDATE_H

#include "messages.h"

enum candidate_state {
	/** Parts are missing or the settle time is not over. */
	CANDIDATE_WAITING,
	/** The configuration is not valid. */
	CANDIDATE_REFUSED,
	/** The settle time is over: the manifest must be read again. */
	CANDIDATE_REREAD,
	/** The candidate can be activated. */
	CANDIDATE_READY,
};

struct candidate;

/**
 * @param from_peer  the manifest is active at a peer, so the candidate skips
 *                   the settle time and its parts are fetched from peers
 * @param active     the active configuration, whose equal parts are reused, or
 *                   NULL
 * @return NULL with @p err set when the manifest is not valid
 */
struct candidate *candidate_create(struct base_str manifest, bool from_peer,
				   const struct publication *active,
				   int64_t now, struct base_error *err);
void candidate_destroy(struct candidate *c);
int64_t candidate_version(const struct candidate *c);
const struct base_digest *candidate_digest(const struct candidate *c);
bool candidate_from_peer(const struct candidate *c);
/** A peer reported the candidate as its active configuration. */
void candidate_set_active_elsewhere(struct candidate *c);
/**
 * The platform returned the same manifest again. After the settle time, this
 * makes the candidate ready.
 */
void candidate_confirm(struct candidate *c, int64_t now);
/** The platform does not answer: the second read is skipped. */
void candidate_platform_down(struct candidate *c);
/**
 * Writes the configuration key of the next missing part that is due for a
 * request to @p key.
 * @return false when there is none
 */
bool candidate_next_missing(struct candidate *c, int64_t now, char *key,
			    size_t size);
/** Adds a fetched part; bytes that match no missing part are ignored. */
void candidate_add_part(struct candidate *c, struct base_str bytes);
/**
 * Checks the configuration once it is complete and returns the new state.
 * @param err  set with CANDIDATE_REFUSED
 */
enum candidate_state candidate_advance(struct candidate *c, int64_t now,
				       struct base_error *err);
/** @return the publication, owned by the candidate */
struct publication *candidate_publication(const struct candidate *c);
/**
 * @return the snapshot, owned by the candidate; NULL until all parts are
 * present and the configuration is valid
 */
const struct config_snapshot *candidate_snapshot(const struct candidate *c);

#endif
