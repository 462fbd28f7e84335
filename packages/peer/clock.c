/* Minimum of (receipt - sent_at) in a sliding window that consists of slots. */
#include "peer.h"

#define SLOT_US (PEER_CLOCK_WINDOW_US / PEER_CLOCK_SLOTS)

void peer_link_clock_reset(struct peer_link_clock *clock)
{
	int i;

	for (i = 0; i < PEER_CLOCK_SLOTS; i++)
		clock->min_offsets_us[i] = INT64_MAX;
	clock->current_slot = 0;
	clock->started = false;
}

static int64_t baseline(const struct peer_link_clock *clock)
{
	int64_t min_offset_us = INT64_MAX;
	int i;

	for (i = 0; i < PEER_CLOCK_SLOTS; i++)
		if (clock->min_offsets_us[i] < min_offset_us)
			min_offset_us = clock->min_offsets_us[i];
	return min_offset_us;
}

/* Saturates, because sent_at is from another machine and may be any number. */
static int64_t subtract_saturating(int64_t a, int64_t b)
{
	int64_t difference;

	if (__builtin_sub_overflow(a, b, &difference))
		return b < 0 ? INT64_MAX : INT64_MIN;
	return difference;
}

/*
 * Moves the window to @p now and clears the slots that leave it. If no message
 * was received for the length of the window, the former baseline is kept: after
 * a pause of the process all waiting messages are old, and the first of them
 * must not set the baseline.
 */
static void advance_window(struct peer_link_clock *clock, int64_t now)
{
	int64_t slot = now / SLOT_US;
	int64_t previous_baseline = baseline(clock);
	int64_t elapsed_slots = slot - clock->current_slot;
	int i;

	if (!clock->started) {
		clock->current_slot = slot;
		clock->started = true;
		return;
	}
	if (elapsed_slots <= 0)
		return;
	if (elapsed_slots >= PEER_CLOCK_SLOTS) {
		for (i = 0; i < PEER_CLOCK_SLOTS; i++)
			clock->min_offsets_us[i] = INT64_MAX;
		clock->min_offsets_us[slot % PEER_CLOCK_SLOTS] =
			previous_baseline;
	} else {
		for (; clock->current_slot < slot; clock->current_slot++)
			clock->min_offsets_us[(clock->current_slot + 1) %
					      PEER_CLOCK_SLOTS] = INT64_MAX;
	}
	clock->current_slot = slot;
}

int64_t peer_link_clock_observe(struct peer_link_clock *clock, int64_t sent_at,
				int64_t now)
{
	int64_t offset_us = subtract_saturating(now, sent_at);
	int64_t *slot_min_us;

	advance_window(clock, now);
	slot_min_us =
		&clock->min_offsets_us[clock->current_slot % PEER_CLOCK_SLOTS];
	if (offset_us < *slot_min_us)
		*slot_min_us = offset_us;
	return peer_link_clock_age(clock, sent_at, now);
}

int64_t peer_link_clock_age(const struct peer_link_clock *clock,
			    int64_t sent_at, int64_t now)
{
	int64_t min_offset_us = baseline(clock);
	int64_t age = subtract_saturating(subtract_saturating(now, sent_at),
					  min_offset_us);

	if (min_offset_us == INT64_MAX || age < 0)
		return 0;
	return age;
}
