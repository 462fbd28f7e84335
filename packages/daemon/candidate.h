/* A published version that is not in force yet. */
#ifndef CANDIDATE_H
#define CANDIDATE_H

#include "messages.h"

enum candidate_state {
	/** Parts are missing or the settle time runs. */
	CANDIDATE_WAITING,
	/** The set is not valid. */
	CANDIDATE_REFUSED,
	/** The settle time is over: read the manifest again. */
	CANDIDATE_REREAD,
	CANDIDATE_READY,
};

struct candidate;

/**
 * @param from_peer  it is in force at a peer, so it does not settle and its
 *                   parts come from peers
 * @param active     the version in force, whose equal parts are reused; or NULL
 * @return NULL with a message when the manifest is not valid
 */
struct candidate *candidate_create(struct base_str manifest, bool from_peer,
				   const struct publication *active,
				   int64_t now, struct base_error *err);
void candidate_destroy(struct candidate *c);
int64_t candidate_version(const struct candidate *c);
const struct base_digest *candidate_digest(const struct candidate *c);
bool candidate_from_peer(const struct candidate *c);
/** It was found in force at a peer. */
void candidate_set_active_elsewhere(struct candidate *c);
/** The platform showed the same manifest again. */
void candidate_confirm(struct candidate *c, int64_t now);
/** The platform does not answer; the second read is not waited for. */
void candidate_platform_down(struct candidate *c);
/** Names the next missing value to ask for. @return false when there is none */
bool candidate_next_missing(struct candidate *c, int64_t now, char *key,
			    size_t size);
/** Takes a fetched part; bytes that match no missing part are ignored. */
void candidate_add_part(struct candidate *c, struct base_str bytes);
/** Decides what comes next. @param err  set when the set is refused */
enum candidate_state candidate_advance(struct candidate *c, int64_t now,
				       struct base_error *err);
/** The snapshot is NULL until all parts are there and the set was checked. */
struct publication *candidate_publication(const struct candidate *c);
const struct config_snapshot *candidate_snapshot(const struct candidate *c);

#endif
