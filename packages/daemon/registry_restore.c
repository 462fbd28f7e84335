/* Restores of a platform's registry from an older copy of itself. */
#include "registry_restore.h"

#include <uthash.h>

/* Copies are some seconds old, so older removals need not be remembered. */
#define REMOVAL_MEMORY_US (120 * BASE_SECOND_US)

/* An entry that was removed or set aside. */
struct record {
	char *key;
	struct base_buf value;
	int64_t revision;
	int64_t created;
	/* When it was removed, or until when it is set aside. */
	int64_t at;
	UT_hash_handle hh;
};

struct registry_restores {
	const struct registry_codec *codec;
	struct record *removed;
	struct record *deferred;
	/* The item that registry_restores_next_due() returned last. */
	struct record *due;
};

int64_t registry_era_revision(int64_t era, int64_t revision)
{
	return era * REGISTRY_ERA_REVISIONS + revision;
}

int64_t registry_era_of(int64_t revision)
{
	return revision / REGISTRY_ERA_REVISIONS;
}

struct registry_restores *
registry_restores_create(const struct registry_codec *codec)
{
	struct registry_restores *restores = base_alloc(sizeof(*restores));

	restores->codec = codec;
	return restores;
}

static void free_record(struct record *record)
{
	if (!record)
		return;
	free(record->key);
	base_buf_release(&record->value);
	free(record);
}

static void free_list(struct record **list)
{
	struct record *record, *next;

	HASH_ITER (hh, *list, record, next) {
		HASH_DEL(*list, record);
		free_record(record);
	}
}

void registry_restores_destroy(struct registry_restores *restores)
{
	if (!restores)
		return;
	free_list(&restores->removed);
	free_list(&restores->deferred);
	free_record(restores->due);
	free(restores);
}

static void drop(struct record **list, struct base_str key)
{
	struct record *record;

	HASH_FIND(hh, *list, key.ptr, key.len, record);
	if (!record)
		return;
	HASH_DEL(*list, record);
	free_record(record);
}

static void put(struct record **list, const struct registry_item *item,
		int64_t at)
{
	struct record *record = base_alloc(sizeof(*record));

	drop(list, item->key);
	record->key = base_str_dup(item->key);
	base_buf_add_str(&record->value, item->value);
	record->revision = item->revision;
	record->created = item->created;
	record->at = at;
	HASH_ADD_KEYPTR(hh, *list, record->key, item->key.len, record);
}

static struct registry_item record_item(const struct record *record)
{
	return (struct registry_item){
		.key = base_str_from(record->key),
		.value = base_buf_str(&record->value),
		.revision = record->revision,
		.created = record->created,
	};
}

static void forget_old_removals(struct registry_restores *restores, int64_t now)
{
	struct record *record, *next;

	HASH_ITER (hh, restores->removed, record, next) {
		if (now - record->at < REMOVAL_MEMORY_US)
			continue;
		HASH_DEL(restores->removed, record);
		free_record(record);
	}
}

void registry_restores_record_removal(struct registry_restores *restores,
				      const struct registry_item *last,
				      int64_t now)
{
	forget_old_removals(restores, now);
	put(&restores->removed, last, now);
}

static bool write_order(const struct registry_restores *restores,
			const struct registry_item *item,
			struct registry_write_order *order)
{
	return restores->codec->write_order &&
	       restores->codec->write_order(item->key, item->value, order);
}

/* Negative when the first write is the older one, 0 when it is the same. */
static int compare_orders(const struct registry_write_order *a,
			  const struct registry_write_order *b)
{
	if (a->start != b->start)
		return a->start < b->start ? -1 : 1;
	return (a->sequence > b->sequence) - (a->sequence < b->sequence);
}

static bool same_platform_revision(int64_t a, int64_t b)
{
	return a % REGISTRY_ERA_REVISIONS == b % REGISTRY_ERA_REVISIONS;
}

bool registry_restores_was_removed(const struct registry_restores *restores,
				   const struct registry_item *item)
{
	struct registry_write_order order, removed_order;
	struct registry_item removed;
	struct record *record;

	HASH_FIND(hh, restores->removed, item->key.ptr, item->key.len, record);
	if (!record || registry_era_of(item->revision) <=
			       registry_era_of(record->revision))
		return false;
	removed = record_item(record);
	if (write_order(restores, item, &order) &&
	    write_order(restores, &removed, &removed_order))
		return compare_orders(&order, &removed_order) <= 0;
	return same_platform_revision(item->revision, removed.revision) &&
	       same_platform_revision(item->created, removed.created);
}

bool registry_restores_is_older(const struct registry_restores *restores,
				const struct registry_item *item,
				const struct registry_item *known)
{
	struct registry_write_order order, known_order;

	return registry_era_of(item->revision) >
		       registry_era_of(known->revision) &&
	       write_order(restores, item, &order) &&
	       write_order(restores, known, &known_order) &&
	       compare_orders(&order, &known_order) < 0;
}

void registry_restores_defer(struct registry_restores *restores,
			     const struct registry_item *item, int64_t until)
{
	put(&restores->deferred, item, until);
}

void registry_restores_drop_deferred(struct registry_restores *restores,
				     struct base_str key)
{
	drop(&restores->deferred, key);
}

void registry_restores_drop_all_deferred(struct registry_restores *restores)
{
	free_list(&restores->deferred);
}

bool registry_restores_next_due(struct registry_restores *restores, int64_t now,
				struct registry_item *item)
{
	struct record *record, *next;

	free_record(restores->due);
	restores->due = NULL;
	HASH_ITER (hh, restores->deferred, record, next) {
		if (now < record->at)
			continue;
		HASH_DEL(restores->deferred, record);
		restores->due = record;
		*item = record_item(record);
		return true;
	}
	return false;
}
