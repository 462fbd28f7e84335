/* Admission of whole call graphs, by how the requests of a route end. */
#include "graph.h"

#include <assert.h>
#include <math.h>

/*
 * The sum of these over the ends of a class drifts upwards when less than 0.87
 * end well: a request of eight calls fails as often when one call in 60 does,
 * and has done most of its work by then. An entry sees about ten requests of a
 * route per second, too few for a measured share, while five bad ends in a row
 * exceed the threshold.
 */
#define SCORE_BAD 2.0
#define SCORE_GOOD (-0.3)
#define SCORE_THRESHOLD 8.0
/*
 * Weight of a bad end at the server of the previous bad end: a single bad
 * server is the task of the server selection.
 */
#define SAME_SERVER_WEIGHT 0.25

#define MIN_SHARE 0.05
/* Below this share, a failing class no longer protects those after it. */
#define EXPENDED_SHARE 0.15
#define EXPENDED_US (2 * BASE_SECOND_US)
/* Time after a step for which classes of lower rank are raised slowly. */
#define LOWERING_US (1500 * BASE_MS_US)
/* Time since a bad end within which a class may be lowered for another. */
#define RECENT_BAD_US (500 * BASE_MS_US)
/* Bound of the factor then, as its own success may have been better. */
#define OTHER_FACTOR_MIN 0.5
/* A class that ends better by this margin is not lowered for another. */
#define SUCCESS_MARGIN 0.15
/* Weight of one end in the average success. */
#define SUCCESS_GAIN 0.1
/* Bounds of the factor by which a share is lowered in one step. */
#define LOWER_FACTOR_MIN 0.2
#define LOWER_FACTOR_MAX 0.85
/* Added to a measured success, which is too low as it ends in bad ends. */
#define SUCCESS_BIAS 0.2

/*
 * If failures were due to load, the success would rise in proportion as the
 * share falls, or faster. When it has risen by less than this part of that
 * while the share was below HOLD_BELOW, failures do not depend on load and the
 * share returns to HOLD_SHARE. With less success than HOLD_MIN_SUCCESS there is
 * nothing to keep. The hold doubles as long as the test gives the same result.
 */
#define HOLD_IMPROVEMENT_PART 0.8
#define HOLD_BELOW 0.75
#define HOLD_SHARE 0.9
#define HOLD_MIN_SUCCESS 0.2
#define HOLD_US (3 * BASE_SECOND_US)
#define HOLD_MAX_US (12 * BASE_SECOND_US)
/* Average success, and otherwise the ends, that show a success below that. */
#define HOPELESS_AVERAGE 0.3
#define HOPELESS_MIN_ENDS 8
/* Bound of the first step, when part of the requests end well. */
#define TEST_FACTOR_MIN 0.7
/* Ends needed for this test. With six, chance decided it in one of three. */
#define HOLD_MIN_ENDS 12

#define RAISE_INTERVAL_US (250 * BASE_MS_US)
/* First step, as a part of the share and absolute, and its growth. */
#define RAISE_STEP_PART 0.1
#define RAISE_STEP_MIN 0.01
#define RAISE_STEP_GROWTH 2.2
/* After a bad end the share is not raised for this time. */
#define RAISE_PAUSE_US (700 * BASE_MS_US)
/* Time after which evidence of a class without requests is outdated. */
#define IDLE_US (3 * BASE_SECOND_US)

#define DURATION_GAIN 0.1
/* Without a good end for this time, the duration counts as unknown. */
#define DURATION_EXPIRY_US (2 * BASE_SECOND_US)
#define LATE_PROBE_SHARE 0.05

/* Time between two computations of the demands while nothing is refused. */
#define SHARES_INTERVAL_US (20 * BASE_MS_US)
#define RETRY_AFTER_US (300 * BASE_MS_US)
/* The fewer requests are begun, the later a caller is asked to return. */
#define RETRY_AFTER_SHARE_MIN 0.1
#define REPORT_INTERVAL_US BASE_SECOND_US
#define REPORT_MIN_CHANGE 0.2

struct overload_graph {
	struct overload_graph_class *classes;
	uint32_t route_count;
	struct base_rand rnd;
};

const char *overload_graph_outcome_str(enum overload_graph_outcome outcome)
{
	switch (outcome) {
	case OVERLOAD_GRAPH_OK:
		return "ok";
	case OVERLOAD_GRAPH_REFUSED:
		return "refused";
	case OVERLOAD_GRAPH_FAILED:
		return "failed";
	case OVERLOAD_GRAPH_DEADLINE:
		return "deadline";
	}
	return "unknown";
}

static void free_classes(struct overload_graph *graph)
{
	struct overload_graph_class *c, *next;

	HASH_ITER (hh, graph->classes, c, next) {
		HASH_DEL(graph->classes, c);
		overload_demands_release(&c->demands);
		free(c);
	}
}

struct overload_graph *overload_graph_create(uint32_t routes, uint64_t seed)
{
	struct overload_graph *graph = base_alloc(sizeof(*graph));

	graph->route_count = routes;
	base_rand_seed(&graph->rnd, seed);
	return graph;
}

void overload_graph_destroy(struct overload_graph *graph)
{
	if (!graph)
		return;
	free_classes(graph);
	free(graph);
}

void overload_graph_set_routes(struct overload_graph *graph, uint32_t routes)
{
	free_classes(graph);
	graph->route_count = routes;
}

static struct overload_graph_class *
find_class(const struct overload_graph *graph, uint32_t route, uint8_t level)
{
	struct overload_graph_class *c;
	uint32_t key = route * OVERLOAD_LEVELS + level;

	HASH_FIND(hh, graph->classes, &key, sizeof(key), c);
	return c;
}

/* Returns to the state in which nothing is known. */
static void forget(struct overload_graph_class *c, int64_t now)
{
	c->share = 1;
	c->success = 1;
	c->score = 0;
	c->good = 0;
	c->bad = 0;
	c->epoch_at = now;
	c->first_success = -1;
	c->held_until = 0;
	c->hold_us = HOLD_US;
	c->raise_step = 0;
}

static struct overload_graph_class *
find_or_add_class(struct overload_graph *graph,
		  const struct overload_request *request, int64_t now)
{
	struct overload_graph_class *c;

	assert(request->route < graph->route_count);
	assert(request->level < OVERLOAD_LEVELS);
	c = find_class(graph, request->route, request->level);
	if (!c) {
		c = base_alloc(sizeof(*c));
		c->key = request->route * OVERLOAD_LEVELS + request->level;
		c->route = request->route;
		c->level = request->level;
		c->reported_share = 1;
		c->last_request_at = now;
		c->last_bad_server = UINT32_MAX;
		c->reported_at = now - REPORT_INTERVAL_US;
		c->lowered_at = now - IDLE_US;
		c->last_bad_at = now - IDLE_US;
		c->expended_at = now - EXPENDED_US;
		forget(c, now);
		/* Requests begun before the class was known count as well. */
		c->epoch_at = INT64_MIN;
		HASH_ADD(hh, graph->classes, key, sizeof(c->key), c);
	}
	c->idempotent = request->idempotent;
	return c;
}

/* Returns a factor between 1 - @p spread and 1 + @p spread. */
static double jitter(struct overload_graph *graph, double spread)
{
	return 1 + spread * (2 * base_rand_unit(&graph->rnd) - 1);
}

static void start_epoch(struct overload_graph_class *c, int64_t now)
{
	c->score = 0;
	c->good = 0;
	c->bad = 0;
	c->epoch_at = now;
}

static void set_next_raise(struct overload_graph *graph,
			   struct overload_graph_class *c, int64_t now)
{
	c->next_raise_at =
		now + (int64_t)(RAISE_INTERVAL_US * jitter(graph, 0.25));
}

/* Classes with greater values are refused first. */
static int order(const struct overload_graph_class *c)
{
	return (c->idempotent ? OVERLOAD_LEVELS : 0) + c->level;
}

/*
 * Whether a class that is to be refused after this one was lowered lately. What
 * becomes free is for that one first.
 */
static bool has_to_yield(const struct overload_graph *graph,
			 const struct overload_graph_class *c, int64_t now)
{
	const struct overload_graph_class *other, *next;

	HASH_ITER (hh, graph->classes, other, next)
		if (order(other) < order(c) && other->share < 1 &&
		    now - other->lowered_at < LOWERING_US)
			return true;
	return false;
}

/*
 * Raises the share in growing steps while there are no bad ends. It does not
 * wait for good ends: with a small share there are few requests to tell, and
 * the bad ends of the requests in flight stop the raise in time.
 */
static void raise_share(struct overload_graph *graph,
			struct overload_graph_class *c, int64_t now)
{
	if (c->share >= 1 || now < c->next_raise_at || now < c->held_until)
		return;
	/* With the score at 0, the rest of the requests end well. */
	if (c->score > 0 && now < c->last_bad_at + RAISE_PAUSE_US)
		return;
	if (c->raise_step <= 0 || has_to_yield(graph, c, now))
		c->raise_step = RAISE_STEP_MIN + RAISE_STEP_PART * c->share;
	else
		c->raise_step *= RAISE_STEP_GROWTH;
	c->share += c->raise_step;
	set_next_raise(graph, c, now);
	if (c->share < 1)
		return;
	c->share = 1;
	c->raise_step = 0;
	c->first_success = -1;
}

static void refresh(struct overload_graph *graph,
		    struct overload_graph_class *c, int64_t now)
{
	if (now - c->last_request_at >= IDLE_US)
		forget(c, now);
	raise_share(graph, c, now);
}

/*
 * Whether a class ends badly now and has requests left to refuse. One that
 * fails for good, or is held, does not delay the others.
 */
static bool can_be_lowered(const struct overload_graph_class *c, int64_t now)
{
	return now - c->expended_at > EXPENDED_US && now >= c->held_until &&
	       now - c->last_bad_at < RECENT_BAD_US;
}

/*
 * Returns the class to be refused before @p c, as it is of lower rank or
 * idempotent, and does not end better. NULL if there is none.
 */
static struct overload_graph_class *
find_class_before(const struct overload_graph *graph,
		  const struct overload_graph_class *c, int64_t now)
{
	struct overload_graph_class *first = NULL;
	struct overload_graph_class *other, *next;

	HASH_ITER (hh, graph->classes, other, next)
		if (order(other) > order(c) && can_be_lowered(other, now) &&
		    other->success < c->success + SUCCESS_MARGIN &&
		    (!first || order(other) > order(first)))
			first = other;
	return first;
}

/*
 * Whether next to no requests end well. Four bad ends in a row are common at a
 * success of a half, so they are enough only when the average is low as well.
 */
static bool is_hopeless(const struct overload_graph_class *c, double success)
{
	return success < HOLD_MIN_SUCCESS &&
	       (c->success < HOPELESS_AVERAGE ||
		c->good + c->bad >= HOPELESS_MIN_ENDS);
}

static bool is_futile(const struct overload_graph_class *c, double success)
{
	double first = c->first_success;
	double expected;

	if (first < 0 || c->share > HOLD_BELOW * c->first_share)
		return false;
	expected = fmin(1, first * c->first_share / c->share);
	return success < first + HOLD_IMPROVEMENT_PART * (expected - first);
}

static void hold(struct overload_graph_class *c, int64_t now)
{
	if (now - c->held_until > HOLD_MAX_US)
		c->hold_us = HOLD_US;
	c->held_until = now + c->hold_us;
	c->hold_us *= 2;
	if (c->hold_us > HOLD_MAX_US)
		c->hold_us = HOLD_MAX_US;
	if (c->share < HOLD_SHARE)
		c->share = HOLD_SHARE;
}

static void multiply_share(struct overload_graph_class *c, double factor,
			   int64_t now)
{
	c->share *= factor;
	if (c->share < MIN_SHARE)
		c->share = MIN_SHARE;
	if (c->share < EXPENDED_SHARE)
		c->expended_at = now;
	c->lowered_at = now;
}

static void lower_by(struct overload_graph *graph,
		     struct overload_graph_class *c, double factor, int64_t now)
{
	start_epoch(c, now);
	set_next_raise(graph, c, now);
	c->raise_step = 0;
	multiply_share(c, factor * jitter(graph, 0.1), now);
}

static double step_factor(const struct overload_graph_class *c, double success)
{
	double factor = success;

	if (success >= HOLD_MIN_SUCCESS) {
		factor += SUCCESS_BIAS;
		if (c->first_success < 0 && factor < TEST_FACTOR_MIN)
			factor = TEST_FACTOR_MIN;
	}
	if (factor < LOWER_FACTOR_MIN)
		return LOWER_FACTOR_MIN;
	return factor < LOWER_FACTOR_MAX ? factor : LOWER_FACTOR_MAX;
}

/* The requests of a class end badly: lowers its share, or another's first. */
static void react(struct overload_graph *graph, struct overload_graph_class *c,
		  int64_t now)
{
	double success = (c->good + 0.5) / (c->good + c->bad + 1);
	double factor = step_factor(c, success);
	bool hopeless = is_hopeless(c, success);
	struct overload_graph_class *before = find_class_before(graph, c, now);

	if (before) {
		start_epoch(c, now);
		lower_by(graph, before,
			 factor > OTHER_FACTOR_MIN ? factor : OTHER_FACTOR_MIN,
			 now);
		return;
	}
	/*
	 * When part of the requests end well, lowering costs these, so it needs
	 * more evidence than when hardly any does.
	 */
	if (!hopeless && c->good + c->bad < HOLD_MIN_ENDS)
		return;
	if (!hopeless && now < c->held_until) {
		start_epoch(c, now);
		return;
	}
	if (!hopeless && is_futile(c, success)) {
		start_epoch(c, now);
		hold(c, now);
		return;
	}
	if (c->held_until > now)
		c->held_until = now;
	if (c->first_success < 0) {
		c->first_success = success;
		c->first_share = c->share;
	}
	lower_by(graph, c, factor, now);
}

static void record_duration(struct overload_graph_class *c, int64_t took_us,
			    int64_t now)
{
	double error = (double)took_us - c->duration_us;

	if (c->duration_us <= 0) {
		c->duration_us = (double)took_us;
		c->deviation_us = (double)took_us / 2;
	} else {
		c->duration_us += DURATION_GAIN * error;
		c->deviation_us +=
			DURATION_GAIN * (fabs(error) - c->deviation_us);
	}
	c->last_good_at = now;
}

static void count_good(struct overload_graph_class *c)
{
	c->good++;
	c->score += SCORE_GOOD;
	if (c->score > 0)
		return;
	c->score = 0;
	c->good = 0;
	c->bad = 0;
}

static void count_bad(struct overload_graph_class *c, uint32_t server,
		      int64_t now)
{
	c->bad++;
	c->score += SCORE_BAD *
		    (server == c->last_bad_server ? SAME_SERVER_WEIGHT : 1);
	c->last_bad_server = server;
	c->last_bad_at = now;
}

void overload_graph_record(struct overload_graph *graph,
			   const struct overload_request *request,
			   const struct overload_graph_end *end, int64_t now)
{
	struct overload_graph_class *c = find_or_add_class(graph, request, now);

	c->ends[end->outcome]++;
	/*
	 * A refused request has run nowhere and wasted no work. The throttle
	 * decides by the cutoffs whether such requests are begun.
	 */
	if (end->outcome == OVERLOAD_GRAPH_REFUSED)
		return;
	c->success += SUCCESS_GAIN *
		      ((end->outcome == OVERLOAD_GRAPH_OK) - c->success);
	if (end->outcome == OVERLOAD_GRAPH_OK)
		record_duration(c, now - end->begun_at, now);
	/* Begun under another share, so it says nothing about this one. */
	if (end->begun_at < c->epoch_at)
		return;
	if (end->outcome == OVERLOAD_GRAPH_OK) {
		count_good(c);
		return;
	}
	count_bad(c, end->server, now);
	if (c->score > SCORE_THRESHOLD)
		react(graph, c, now);
}

/*
 * Requests that end well take at least about the mean less the deviation. A
 * small part is begun nevertheless, so that the estimate is corrected.
 */
static bool is_late(struct overload_graph *graph,
		    const struct overload_graph_class *c, int64_t remaining_us,
		    int64_t now)
{
	double least = c->duration_us - c->deviation_us;

	if (c->duration_us <= 0 || now - c->last_good_at > DURATION_EXPIRY_US)
		return false;
	if (least < c->duration_us / 2)
		least = c->duration_us / 2;
	return (double)remaining_us < least &&
	       base_rand_unit(&graph->rnd) >= LATE_PROBE_SHARE;
}

static int64_t retry_after_us(struct overload_graph *graph,
			      const struct overload_graph_class *c)
{
	double share = c->share > RETRY_AFTER_SHARE_MIN ? c->share
							: RETRY_AFTER_SHARE_MIN;

	return (int64_t)(RETRY_AFTER_US / share * jitter(graph, 0.5));
}

enum overload_graph_verdict
overload_graph_admit(struct overload_graph *graph,
		     const struct overload_request *request,
		     int64_t remaining_us, int64_t now, int64_t *retry_after)
{
	struct overload_graph_class *c = find_or_add_class(graph, request, now);
	enum overload_graph_verdict verdict = OVERLOAD_GRAPH_ADMIT;
	struct overload_demand *demand;

	refresh(graph, c, now);
	c->last_request_at = now;
	if (now - c->demands.computed_at >= SHARES_INTERVAL_US)
		overload_demands_compute(&c->demands, c->share, now);
	demand = overload_demands_find_or_add(&c->demands, request->account,
					      request->weight);
	demand->count += 1;
	/*
	 * Accounts send few requests to one entry, so the shares have to
	 * include this one.
	 */
	if (c->share < 1)
		overload_demands_compute(&c->demands, c->share, now);
	if (c->share < 1 && base_rand_unit(&graph->rnd) >= demand->share)
		verdict = OVERLOAD_GRAPH_REFUSE;
	else if (is_late(graph, c, remaining_us, now))
		verdict = OVERLOAD_GRAPH_REFUSE_LATE;
	if (verdict != OVERLOAD_GRAPH_ADMIT && retry_after)
		*retry_after = retry_after_us(graph, c);
	return verdict;
}

double overload_graph_share(const struct overload_graph *graph, uint32_t route,
			    uint8_t level)
{
	const struct overload_graph_class *c = find_class(graph, route, level);

	return c ? c->share : 1;
}

bool overload_graph_next_change(struct overload_graph *graph, int64_t now,
				struct overload_graph_change *change)
{
	struct overload_graph_class *c, *next;

	HASH_ITER (hh, graph->classes, c, next) {
		if (now - c->reported_at < REPORT_INTERVAL_US ||
		    (fabs(c->share - c->reported_share) < REPORT_MIN_CHANGE &&
		     (c->share < 1 || c->reported_share >= 1)))
			continue;
		*change = (struct overload_graph_change){
			.route = c->route,
			.level = c->level,
			.old_share = c->reported_share,
			.new_share = c->share,
			.held = now < c->held_until,
		};
		memcpy(change->ends, c->ends, sizeof(c->ends));
		memset(c->ends, 0, sizeof(c->ends));
		c->reported_share = c->share;
		c->reported_at = now;
		return true;
	}
	return false;
}
