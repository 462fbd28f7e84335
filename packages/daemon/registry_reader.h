/*
 * Decides whether a daemon reads the platform's registry itself.
 *
 * A change of the registry ends the watch of every reader, and each starts the
 * next one. If all daemons of a fleet of N VMs read, and the changes grow with
 * N too, the calls grow with N squared. So only the relays of each failure
 * domain read and announce their revision; the others fetch the changes from
 * them. An announcement states when the relay's own calls last showed that no
 * later revision exists. A daemon that knows of no such time that is recent, or
 * cannot get what was announced, reads for itself: a relay that gets no answer
 * from the registry does not know it before its watch times out.
 *
 * Does no I/O. Times are in microseconds on the clock of base_now_us().
 */
#ifndef REGISTRY_READER_H
#define REGISTRY_READER_H

#include "base.h"

/** Interval between the announcements of a relay without changes. */
#define REGISTRY_ANNOUNCE_INTERVAL_US (400 * BASE_MS_US)
/**
 * When its mirror is not known to be current for this time, a daemon reads for
 * itself. A change must be in force within 2 s of its acknowledgement, also
 * when all relays of a failure domain stop or lose the registry at that moment.
 */
#define REGISTRY_EVIDENCE_TIMEOUT_US (1200 * BASE_MS_US)
/**
 * A daemon that is behind an announced revision for this time reads for itself.
 */
#define REGISTRY_CATCH_UP_TIMEOUT_US (500 * BASE_MS_US)

struct registry_reader {
	bool is_relay;
	/*
	 * Latest time at which the own mirror, or the one that is announced, is
	 * known to have held all changes.
	 */
	int64_t confirmed_at;
	/* Newest revision that was announced. */
	int64_t announced_revision;
	/* Since when the own mirror is behind that revision. */
	int64_t behind_since;
};

/**
 * A relay announced its revision.
 * @param current_at  when its calls last showed that no later one exists
 */
void registry_reader_on_announcement(struct registry_reader *reader,
				     int64_t announced, int64_t own_revision,
				     int64_t current_at, int64_t now);
/** Calls of this daemon showed that its mirror held all changes then. */
void registry_reader_on_answer(struct registry_reader *reader,
			       int64_t current_at);
/** True when the registry is known to have answered of late. */
bool registry_reader_is_confirmed(const struct registry_reader *reader,
				  int64_t now);
/**
 * True when this daemon has to read the registry itself.
 * @param own_revision  of its mirror; revisions of different eras are counted
 * as in registry_restore.h
 */
bool registry_reader_must_read(const struct registry_reader *reader,
			       int64_t own_revision, int64_t now);

#endif
