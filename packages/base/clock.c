/* Clocks. */
#include "base.h"

#include <time.h>

int64_t base_now_us(void)
{
	struct timespec ts;

	/*
	 * CLOCK_BOOTTIME also counts while the machine is suspended, so that
	 * rate grants and retry permits expire during that time too.
	 */
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return ts.tv_sec * BASE_SECOND_US + ts.tv_nsec / 1000;
}

int64_t base_wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return ts.tv_sec * INT64_C(1000) + ts.tv_nsec / 1000000;
}
