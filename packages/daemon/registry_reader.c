/* Choice of the daemons that read the platform's registry. */
#include "registry_reader.h"
#include "registry_restore.h"

void registry_reader_on_announcement(struct registry_reader *reader,
				     int64_t announced, int64_t own_revision,
				     int64_t now)
{
	if (now > reader->confirmed_at)
		reader->confirmed_at = now;
	if (announced <= reader->announced_revision)
		return;
	if (reader->announced_revision <= own_revision)
		reader->behind_since = now;
	reader->announced_revision = announced;
}

void registry_reader_on_answer(struct registry_reader *reader,
			       int64_t answered_at)
{
	if (answered_at > reader->confirmed_at)
		reader->confirmed_at = answered_at;
}

bool registry_reader_must_read(const struct registry_reader *reader,
			       int64_t own_revision, int64_t now)
{
	int64_t announced = reader->announced_revision;

	if (reader->is_relay ||
	    now - reader->confirmed_at >= REGISTRY_ANNOUNCE_TIMEOUT_US)
		return true;
	if (announced <= own_revision)
		return false;
	/*
	 * What a restored registry lists has to be compared with what this
	 * daemon knew, item by item.
	 */
	if (registry_era_of(announced) > registry_era_of(own_revision))
		return true;
	return now - reader->behind_since >= REGISTRY_CATCH_UP_TIMEOUT_US;
}
