/* Counters and histograms. */
#include "base.h"

#include <assert.h>
#include <inttypes.h>
#include <stdatomic.h>
#include <string.h>
#include <uthash.h>

struct base_counter {
	char *name;
	_Atomic int64_t value;
	UT_hash_handle hh;
};

struct base_counters {
	struct base_counter *by_name;
};

struct base_counters *base_counters_create(void)
{
	return base_alloc(sizeof(struct base_counters));
}

void base_counters_destroy(struct base_counters *counters)
{
	struct base_counter *c, *next;

	if (!counters)
		return;
	HASH_ITER (hh, counters->by_name, c, next) {
		HASH_DEL(counters->by_name, c);
		free(c->name);
		free(c);
	}
	free(counters);
}

struct base_counter *base_counters_get(struct base_counters *counters,
				       const char *name)
{
	struct base_counter *c;

	HASH_FIND_STR(counters->by_name, name, c);
	if (c)
		return c;
	c = base_alloc(sizeof(*c));
	c->name = base_str_dup(base_str_from(name));
	HASH_ADD_KEYPTR(hh, counters->by_name, c->name, strlen(c->name), c);
	return c;
}

void base_counter_add(struct base_counter *counter, int64_t n)
{
	atomic_fetch_add_explicit(&counter->value, n, memory_order_relaxed);
}

void base_counter_set(struct base_counter *counter, int64_t value)
{
	atomic_store_explicit(&counter->value, value, memory_order_relaxed);
}

int64_t base_counter_value(const struct base_counter *counter)
{
	return atomic_load_explicit(&counter->value, memory_order_relaxed);
}

static int compare_names(const void *a, const void *b)
{
	const struct base_counter *const *x = a;
	const struct base_counter *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}

void base_counters_render(const struct base_counters *counters,
			  struct base_buf *out)
{
	size_t n = HASH_COUNT(counters->by_name);
	struct base_counter **sorted = base_alloc_array(n, sizeof(*sorted));
	struct base_counter *c, *next;
	size_t i = 0;

	HASH_ITER (hh, counters->by_name, c, next)
		sorted[i++] = c;
	qsort(sorted, n, sizeof(*sorted), compare_names);
	for (i = 0; i < n; i++)
		base_buf_addf(out, "%s %" PRId64 "\n", sorted[i]->name,
			      base_counter_value(sorted[i]));
	free(sorted);
}

/* 32 linear buckets for each power of two give a relative error of 1/32. */
#define SUB_BITS 5
#define SUB_COUNT ((size_t)1 << SUB_BITS)
#define BUCKET_COUNT (SUB_COUNT * 40)

struct base_histogram {
	int64_t total;
	uint32_t counts[BUCKET_COUNT];
};

struct base_histogram *base_histogram_create(void)
{
	return base_alloc(sizeof(struct base_histogram));
}

void base_histogram_destroy(struct base_histogram *hist)
{
	free(hist);
}

static size_t bucket_index(int64_t us)
{
	uint64_t v = us < 0 ? 0 : (uint64_t)us;
	int shift;
	size_t bucket;

	if (v < SUB_COUNT)
		return (size_t)v;
	shift = 63 - __builtin_clzll(v) - SUB_BITS;
	bucket = (size_t)shift * SUB_COUNT + (size_t)(v >> shift);
	return bucket < BUCKET_COUNT ? bucket : BUCKET_COUNT - 1;
}

static int64_t bucket_upper(size_t bucket)
{
	size_t shift;

	if (bucket < SUB_COUNT)
		return (int64_t)bucket;
	shift = bucket / SUB_COUNT - 1;
	return (int64_t)(((bucket - shift * SUB_COUNT + 1) << shift) - 1);
}

void base_histogram_record(struct base_histogram *hist, int64_t us)
{
	hist->counts[bucket_index(us)]++;
	hist->total++;
}

int64_t base_histogram_count(const struct base_histogram *hist)
{
	return hist->total;
}

int64_t base_histogram_quantile(const struct base_histogram *hist,
				double quantile)
{
	int64_t rank = (int64_t)(quantile * (double)hist->total);
	int64_t cumulative_count = 0;
	size_t i;

	assert(quantile >= 0 && quantile <= 1);
	for (i = 0; i < BUCKET_COUNT; i++) {
		cumulative_count += hist->counts[i];
		if (cumulative_count > rank ||
		    (cumulative_count == hist->total && cumulative_count > 0))
			return bucket_upper(i);
	}
	return 0;
}
