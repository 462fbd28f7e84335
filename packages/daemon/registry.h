/*
 * Mirror of a platform's registry: its items, the configuration that they
 * decode to, and the server entries that were removed but are still kept. Does
 * no I/O; registry_client.h reads the registry into it.
 *
 * Used on the thread of the control task only. Times are in microseconds on the
 * clock of base_now_us().
 */
#ifndef REGISTRY_H
#define REGISTRY_H

#include "dialect.h"
#include "messages.h"

/**
 * After an outage of the platform, backend servers whose entries expired
 * meanwhile register again within about two seconds. An entry that is still
 * missing after this time is removed.
 */
#define REGISTRY_REREGISTER_TIMEOUT_US (2200 * BASE_MS_US)
/**
 * When more than this part of the server entries, plus one, is removed in one
 * group, the entries are taken to have expired while their servers still run.
 */
#define REGISTRY_MASS_REMOVAL_RATIO 0.34
/**
 * The entries of such a group are kept for this part of the time for which a
 * leaving server still takes requests. The servers may be leaving after all, so
 * the rest of that time is left for requests on their way.
 */
#define REGISTRY_MASS_REMOVAL_HOLD_RATIO 0.75
/** Removals within this time of the first one form one group. */
#define REGISTRY_REMOVAL_GROUP_US BASE_SECOND_US

struct registry;

/**
 * @param leave_us  time for which a server still takes requests after its entry
 *                  is removed
 */
struct registry *registry_create(const struct registry_codec *codec,
				 const struct registry_view_settings *settings,
				 int64_t leave_us, struct base_log *log);
void registry_destroy(struct registry *r);

/**
 * Revision of the newest change that was applied, counted over restores as in
 * registry_restore.h; 0 before any.
 */
int64_t registry_revision(const struct registry *r);
/**
 * Applies one item. Outside of a reload it is a change, which is ignored when
 * it is not newer than the mirror. In a reload it is part of the list, and the
 * revision of the mirror does not change before registry_end_reload().
 */
void registry_apply(struct registry *r, const struct registry_item *item,
		    int64_t now);
/**
 * Applies the changes that lead from a revision not newer than the mirror's to
 * @p revision, in any order. Those that the mirror holds are ignored.
 */
void registry_apply_events(struct registry *r,
			   const struct registry_item *items, size_t count,
			   int64_t revision, int64_t now);
/**
 * Starts a reload of all items. Items that are not applied before
 * registry_end_reload() are treated as removed.
 * @param revision  revision at which the reload began
 */
void registry_begin_reload(struct registry *r, int64_t revision, int64_t now);
void registry_end_reload(struct registry *r, int64_t now);
/**
 * The last outage of the platform ended at @p at. Server entries that are
 * removed within REGISTRY_REREGISTER_TIMEOUT_US from then are kept at least
 * until that time is over. An earlier time than before, or 0 for no outage,
 * corrects what was believed of it: entries that were kept for the outage alone
 * are then due earlier.
 */
void registry_platform_reconnected(struct registry *r, int64_t at);
/**
 * Drops removed entries whose hold time is over, and applies those that were
 * set aside after a restore and are still listed.
 */
void registry_tick(struct registry *r, int64_t now);
/**
 * Returns whether the result of registry_snapshot() or the changes for peers
 * have changed since the last call; false during a reload, whose items are not
 * complete.
 */
bool registry_test_and_clear_changed(struct registry *r);
/**
 * @param digest  of the publication
 * @return a snapshot with one reference, which the caller owns; NULL before the
 *         first configuration
 */
const struct config_snapshot *
registry_snapshot(const struct registry *r, const struct base_digest *digest);
/** Number of backend servers listed, those of removed entries included. */
size_t registry_server_count(const struct registry *r);
/** Version that the operators gave the configuration. */
int64_t registry_config_version(const struct registry *r);

/**
 * Makes a publication of the mirror for peers: the manifest lists all items
 * except removed ones, large values are parts, and the latest changes are
 * added.
 * @return a publication with one reference, which the caller owns
 */
struct publication *registry_publish(struct registry *r);
/**
 * Applies the items of a peer's manifest if it is newer than the mirror.
 * @param[out] missing  hex digest of a part that is missing; empty when none is
 * @return false when a part is missing, the text is not a manifest or the
 *         manifest is not newer
 */
bool registry_apply_manifest(struct registry *r, struct base_str manifest,
			     char missing[2 * BASE_DIGEST_SIZE + 1],
			     int64_t now);
/**
 * Applies the changes that a peer wrote with publication_write_changes().
 * @return false when they are not changes, lead on from a later revision than
 *         the mirror's or from another era, or lead to no newer one
 */
bool registry_apply_changes(struct registry *r, struct base_str text,
			    int64_t now);
/**
 * Stores a part until a manifest has been applied. A manifest may need several,
 * which are fetched one by one.
 */
void registry_add_part(struct registry *r, struct base_str bytes);

#endif
