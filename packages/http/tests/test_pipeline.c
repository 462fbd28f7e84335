/* Tests of the order of responses and its bounds, without a network. */
#include "pipeline.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <event2/buffer.h>

static void hold(struct http_pipeline_slot *slot, size_t len)
{
	static const char bytes[HTTP_PIPELINE_MAX_HELD_BYTES];
	struct evbuffer *response = evbuffer_new();

	evbuffer_add(response, bytes, len);
	http_pipeline_hold(slot, response, 0);
}

/* Guards against a request that runs beside one which may not be repeated. */
Test(pipeline, starts_only_parallel_requests_beside_others)
{
	struct http_pipeline_slot a = { 0 };
	struct http_pipeline p;

	http_pipeline_init(&p);
	cr_assert(http_pipeline_may_start(&p, false, 0));
	http_pipeline_add(&p, &a, NULL, false);
	cr_assert(not(http_pipeline_may_start(&p, true, 0)));
	http_pipeline_remove(&a);
	http_pipeline_add(&p, &a, NULL, true);
	cr_assert(http_pipeline_may_start(&p, true, 0));
	cr_assert(not(http_pipeline_may_start(&p, false, 0)));
	http_pipeline_remove(&a);
	cr_assert(http_pipeline_may_start(&p, false, 0));
}

/* Guards against one slow request that keeps those behind it from starting. */
Test(pipeline, bounds_requests_in_work_and_not_those_answered)
{
	struct http_pipeline_slot slots[HTTP_PIPELINE_MAX_OPEN + 1] = { 0 };
	struct http_pipeline p;
	size_t i;

	http_pipeline_init(&p);
	for (i = 0; i < HTTP_PIPELINE_MAX_OPEN; i++) {
		cr_assert(http_pipeline_may_start(&p, true, 0));
		http_pipeline_add(&p, &slots[i], &slots[i], true);
	}
	cr_assert(not(http_pipeline_may_start(&p, true, 0)));
	hold(&slots[1], 10);
	cr_assert(http_pipeline_may_start(&p, true, 0));
	cr_assert(eq(ptr, http_pipeline_first(&p)->owner, &slots[0]));
	http_pipeline_remove(&slots[0]);
	cr_assert(eq(ptr, http_pipeline_first(&p)->owner, &slots[1]));
	for (i = 1; i < HTTP_PIPELINE_MAX_OPEN; i++)
		http_pipeline_remove(&slots[i]);
	cr_assert(eq(sz, p.open_count + p.waiting_count + p.waiting_bytes, 0));
}

/* Guards against a caller that has many responses kept for it. */
Test(pipeline, bounds_the_bytes_that_wait)
{
	struct http_pipeline_slot a = { 0 }, b = { 0 };
	struct http_pipeline p;

	http_pipeline_init(&p);
	cr_assert(not(http_pipeline_may_start(&p, true,
					      HTTP_PIPELINE_MAX_HELD_BYTES)));
	http_pipeline_add(&p, &a, NULL, true);
	http_pipeline_add(&p, &b, NULL, true);
	hold(&b, HTTP_PIPELINE_MAX_HELD_BYTES - HTTP_PIPELINE_SLOT_BYTES - 1);
	cr_assert(http_pipeline_may_start(&p, true, 0));
	cr_assert(not(http_pipeline_may_start(&p, true, 1)));
	http_pipeline_remove(&b);
	cr_assert(http_pipeline_may_start(&p, true, 1));
	http_pipeline_remove(&a);
}
