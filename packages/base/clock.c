/* Clocks. */
#include "base.h"

#include <time.h>

int64_t base_now_us(void)
{
	struct timespec ts;

	/* Grants and permits must also lapse while the machine is suspended. */
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return ts.tv_sec * BASE_SECOND_US + ts.tv_nsec / 1000;
}

int64_t base_wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return ts.tv_sec * INT64_C(1000) + ts.tv_nsec / 1000000;
}
