/*
 * Decides whether a daemon reads the platform's registry itself.
 *
 * A change of the registry ends the watch of every reader, and each starts the
 * next one. If all daemons of a fleet of N VMs read, and the changes grow with
 * N too, the calls grow with N squared. So only the relays of each failure
 * domain read and announce their revision; the others fetch the changes from
 * them. A daemon that hears no announcement, or cannot get what was announced,
 * reads for itself.
 *
 * Does no I/O. Times are in microseconds on the clock of base_now_us().
 */
#ifndef REGISTRY_READER_H
#define REGISTRY_READER_H

#include "base.h"

/** Interval between the announcements of a relay without changes. */
#define REGISTRY_ANNOUNCE_INTERVAL_US (400 * BASE_MS_US)
/**
 * Without an announcement for this time, a daemon reads for itself. A change
 * must be in force within 2 s of its acknowledgement, also when all relays of a
 * failure domain stop at that moment.
 */
#define REGISTRY_ANNOUNCE_TIMEOUT_US (1200 * BASE_MS_US)
/**
 * A daemon that is behind an announced revision for this time reads for itself.
 */
#define REGISTRY_CATCH_UP_TIMEOUT_US (500 * BASE_MS_US)

struct registry_reader {
	bool is_relay;
	/* When the own mirror was last known to be current or to become so. */
	int64_t confirmed_at;
	/* Newest revision that was announced. */
	int64_t announced_revision;
	/* Since when the own mirror is behind that revision. */
	int64_t behind_since;
};

/** A relay announced that it reads the registry and has this revision. */
void registry_reader_on_announcement(struct registry_reader *reader,
				     int64_t announced, int64_t own_revision,
				     int64_t now);
/** The registry answered a call of this daemon at time @p answered_at. */
void registry_reader_on_answer(struct registry_reader *reader,
			       int64_t answered_at);
/**
 * True when this daemon has to read the registry itself.
 * @param own_revision  of its mirror; revisions of different eras are counted
 * as in registry_restore.h
 */
bool registry_reader_must_read(const struct registry_reader *reader,
			       int64_t own_revision, int64_t now);

#endif
