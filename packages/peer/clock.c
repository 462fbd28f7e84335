/* Baseline of (receive - sent_at) over a sliding window, in slots. */
#include "peer.h"

#define SLOT_US (PEER_CLOCK_WINDOW_US / PEER_CLOCK_SLOTS)

void peer_link_clock_reset(struct peer_link_clock *clock)
{
	int i;

	for (i = 0; i < PEER_CLOCK_SLOTS; i++)
		clock->smallest[i] = INT64_MAX;
	clock->slot = 0;
	clock->started = false;
}

static int64_t baseline(const struct peer_link_clock *clock)
{
	int64_t smallest = INT64_MAX;
	int i;

	for (i = 0; i < PEER_CLOCK_SLOTS; i++)
		if (clock->smallest[i] < smallest)
			smallest = clock->smallest[i];
	return smallest;
}

/* Saturates: sent_at comes from another machine and may be any number. */
static int64_t subtract(int64_t a, int64_t b)
{
	int64_t difference;

	if (__builtin_sub_overflow(a, b, &difference))
		return b < 0 ? INT64_MAX : INT64_MIN;
	return difference;
}

/*
 * Clears the slots that now pass out of the window. When a gap empties the
 * whole window, the baseline is kept: after a pause every waiting message is
 * old, and the first of them must not become the new baseline.
 */
static void advance(struct peer_link_clock *clock, int64_t now)
{
	int64_t slot = now / SLOT_US;
	int64_t kept = baseline(clock);
	int64_t steps = slot - clock->slot;
	int i;

	if (!clock->started) {
		clock->slot = slot;
		clock->started = true;
		return;
	}
	if (steps <= 0)
		return;
	if (steps >= PEER_CLOCK_SLOTS) {
		for (i = 0; i < PEER_CLOCK_SLOTS; i++)
			clock->smallest[i] = INT64_MAX;
		clock->smallest[slot % PEER_CLOCK_SLOTS] = kept;
	} else {
		for (; clock->slot < slot; clock->slot++)
			clock->smallest[(clock->slot + 1) % PEER_CLOCK_SLOTS] =
				INT64_MAX;
	}
	clock->slot = slot;
}

int64_t peer_link_clock_observe(struct peer_link_clock *clock, int64_t sent_at,
				int64_t now)
{
	int64_t difference = subtract(now, sent_at);
	int64_t *slot;

	advance(clock, now);
	slot = &clock->smallest[clock->slot % PEER_CLOCK_SLOTS];
	if (difference < *slot)
		*slot = difference;
	return peer_link_clock_age(clock, sent_at, now);
}

int64_t peer_link_clock_age(const struct peer_link_clock *clock,
			    int64_t sent_at, int64_t now)
{
	int64_t smallest = baseline(clock);
	int64_t age = subtract(subtract(now, sent_at), smallest);

	if (smallest == INT64_MAX || age < 0)
		return 0;
	return age;
}
