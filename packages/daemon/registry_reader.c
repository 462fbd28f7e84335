/* Choice of the daemons that read the platform's registry. */
#include "registry_reader.h"
#include "registry_restore.h"

void registry_reader_on_announcement(struct registry_reader *reader,
				     int64_t announced, int64_t own_revision,
				     int64_t current_at, int64_t now)
{
	registry_reader_on_answer(reader, current_at);
	if (announced <= reader->announced_revision)
		return;
	if (reader->announced_revision <= own_revision)
		reader->behind_since = now;
	reader->announced_revision = announced;
}

void registry_reader_on_answer(struct registry_reader *reader,
			       int64_t current_at)
{
	if (current_at > reader->confirmed_at)
		reader->confirmed_at = current_at;
}

bool registry_reader_is_confirmed(const struct registry_reader *reader,
				  int64_t now)
{
	return now - reader->confirmed_at < REGISTRY_EVIDENCE_TIMEOUT_US;
}

bool registry_reader_must_read(const struct registry_reader *reader,
			       int64_t own_revision, int64_t now)
{
	int64_t announced = reader->announced_revision;

	if (reader->is_relay || !registry_reader_is_confirmed(reader, now))
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
