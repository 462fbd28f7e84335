/**
 * @file
 * Utilities shared by all packages: length-counted strings, clean-up
 * attributes, status codes, counters, histograms, key=value logging, a message
 * queue between threads, hashing and seeded random numbers.
 *
 * Nothing here keeps global state except the log4c registry. Unless a function
 * says otherwise, an object may be used by one thread at a time.
 */
#ifndef BASE_H
#define BASE_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

/** Calls @p fn with a pointer to the variable when it leaves its scope. */
#define BASE_CLEANUP(fn) __attribute__((cleanup(fn)))
#define BASE_PRINTF(fmt, args) __attribute__((format(printf, fmt, args)))
#define BASE_ARRAY_SIZE(a) (sizeof(a) / sizeof((a)[0]))

/** One second and one millisecond in the unit of base_now_us(). */
#define BASE_SECOND_US INT64_C(1000000)
#define BASE_MS_US INT64_C(1000)

/** Results of functions in this package. */
enum base_status {
	BASE_OK = 0,
	BASE_ERR_NO_MEMORY,
	BASE_ERR_INVALID,
	BASE_ERR_SYSTEM,
};

/** Returns a static description of a status. Never NULL. */
const char *base_strerror(enum base_status status);

/** Error message of a failed operation, meant for the operator. */
struct base_error {
	char message[512];
};

/** Formats @p fmt into @p err; @p err may be NULL. */
void base_error_set(struct base_error *err, const char *fmt, ...)
	BASE_PRINTF(2, 3);

/** Allocates zeroed memory; aborts the process when there is none. */
void *base_alloc(size_t size);
/** Number of allocations by base_*() of the calling thread, for tests. */
uint64_t base_allocation_count(void);
/** Allocates a zeroed array; aborts the process when there is no memory. */
void *base_alloc_array(size_t count, size_t size);
/**
 * Grows an allocation; new bytes are not initialised. Aborts the process when
 * there is no memory.
 */
void *base_realloc(void *ptr, size_t size);

/** A view of bytes that it does not own; not necessarily NUL-terminated. */
struct base_str {
	const char *ptr;
	size_t len;
};

#define BASE_STR(literal) ((struct base_str){ (literal), sizeof(literal) - 1 })
#define BASE_STR_NONE ((struct base_str){ NULL, 0 })
/** The two arguments for printf's "%.*s". */
#define BASE_STR_ARG(s) (int)(s).len, (s).ptr ? (s).ptr : ""

struct base_str base_str_from(const char *cstr);
bool base_str_equal(struct base_str a, struct base_str b);
bool base_str_equal_nocase(struct base_str a, struct base_str b);
/**
 * Takes the first item of a comma-separated list.
 * @param rest  the list; the remaining items on return
 * @return false when the list is empty
 */
bool base_str_next_item(struct base_str *rest, struct base_str *item);
bool base_str_starts_with(struct base_str s, struct base_str prefix);
/** Orders by bytes, then by length; for qsort and sorted output. */
int base_str_compare(struct base_str a, struct base_str b);
/** Returns a NUL-terminated copy that the caller frees. */
char *base_str_dup(struct base_str s);
/**
 * Parses all of @p s as a decimal number.
 * @return false when it is empty, has other characters or is out of range
 */
bool base_str_to_i64(struct base_str s, int64_t *out);
/**
 * Parses a non-negative decimal number of at most 15 characters such as "12" or
 * "0.5", without sign and exponent.
 * @return false, with *out unchanged, for any other text
 */
bool base_str_to_decimal(struct base_str s, double *out);

/**
 * A growable byte buffer that owns its memory. It is NUL-terminated after the
 * first write; before that, ptr is NULL.
 */
struct base_buf {
	char *ptr;
	size_t len;
	size_t cap;
};

#define BASE_BUF_INIT ((struct base_buf){ NULL, 0, 0 })

/** Frees the bytes; the buffer is empty and can be used again. */
void base_buf_release(struct base_buf *buf);
/** Empties the buffer and keeps its memory. */
void base_buf_reset(struct base_buf *buf);
/** Makes room for @p extra further bytes. */
void base_buf_reserve(struct base_buf *buf, size_t extra);
void base_buf_add(struct base_buf *buf, const void *data, size_t len);
void base_buf_add_str(struct base_buf *buf, struct base_str s);
void base_buf_addf(struct base_buf *buf, const char *fmt, ...)
	BASE_PRINTF(2, 3);
/** Appends a number in decimal, much faster than base_buf_addf(). */
void base_buf_add_int(struct base_buf *buf, int64_t value);
struct base_str base_buf_str(const struct base_buf *buf);
/** Replaces the content of @p to by that of @p from, which becomes empty. */
void base_buf_move(struct base_buf *to, struct base_buf *from);

/**
 * Monotonic time in microseconds, including time in which the machine was
 * suspended. The packages overload, routing, retry and rate do not call it;
 * their functions take the time as a parameter `now`.
 */
int64_t base_now_us(void);
/** Wall-clock time in milliseconds since 1970. */
int64_t base_wall_ms(void);

/** 64-bit xxHash of @p s; the same on all machines. */
uint64_t base_hash64(struct base_str s, uint64_t seed);
/**
 * Weight of a candidate for a key in rendezvous hashing. The candidate with the
 * greatest weight owns the key, so daemons with the same roster choose the same
 * owner.
 */
uint64_t base_rendezvous_weight(struct base_str key, struct base_str candidate);

#define BASE_DIGEST_SIZE 32
/** A BLAKE2b digest of 256 bits. */
struct base_digest {
	uint8_t bytes[BASE_DIGEST_SIZE];
};

struct base_digest base_digest_of(struct base_str data);
/** Compares in constant time. */
bool base_digest_equal(const struct base_digest *a,
		       const struct base_digest *b);
/** Writes 64 hexadecimal digits and a NUL to @p out. */
void base_digest_hex(const struct base_digest *digest, char out[65]);
bool base_digest_parse(struct base_str hex, struct base_digest *digest);

/**
 * Fills @p out with random bytes for ids and tokens, from a buffer of the
 * thread that the system's generator fills. Not for use in a forked child.
 */
void base_random_bytes(void *out, size_t len);

/** Seeded random numbers, reproducible in tests. */
struct base_rand {
	struct drand48_data state;
};

/** Only the low 48 bits of @p seed are used. */
void base_rand_seed(struct base_rand *rnd, uint64_t seed);
/** Seeds from the operating system's random source. */
void base_rand_seed_system(struct base_rand *rnd);
/** Uniform in [0, 1). */
double base_rand_unit(struct base_rand *rnd);
/** Uniform in [0, bound); @p bound must be positive. */
uint32_t base_rand_below(struct base_rand *rnd, uint32_t bound);

/**
 * A named set of counters and gauges. Values may be read by any thread;
 * registration and updates belong to the owning thread.
 */
struct base_counters;
struct base_counter;

struct base_counters *base_counters_create(void);
void base_counters_destroy(struct base_counters *counters);
/**
 * Returns the counter of that name and creates it with value 0 when there is
 * none. The set owns it; the pointer stays valid until the set is destroyed.
 * @param name  letters, digits and underscores, optionally followed by
 *              labels in braces, for example `refusals{reason="deadline"}`
 */
struct base_counter *base_counters_get(struct base_counters *counters,
				       const char *name);
void base_counter_add(struct base_counter *counter, int64_t n);
void base_counter_set(struct base_counter *counter, int64_t value);
int64_t base_counter_value(const struct base_counter *counter);
/** Appends one line "name value" for each counter, sorted by name. */
void base_counters_render(const struct base_counters *counters,
			  struct base_buf *out);

/** Histogram of durations in microseconds, at most 3.2% relative error. */
struct base_histogram;

struct base_histogram *base_histogram_create(void);
void base_histogram_destroy(struct base_histogram *hist);
void base_histogram_record(struct base_histogram *hist, int64_t us);
int64_t base_histogram_count(const struct base_histogram *hist);
/**
 * @param quantile  0 to 1
 * @return microseconds; 0 for an empty histogram
 */
int64_t base_histogram_quantile(const struct base_histogram *hist,
				double quantile);

enum base_log_level {
	BASE_LOG_ERROR,
	BASE_LOG_WARN,
	BASE_LOG_INFO,
	BASE_LOG_DEBUG,
};

/**
 * Writes one line of key=value pairs for each event to standard output. Logging
 * never blocks: lines that cannot be written yet are kept in a bounded buffer.
 * Lines that do not fit, and lines below level warn in excess of 1,000 per
 * second (after a burst of 2,000), are dropped and counted. Any thread may log.
 */
struct base_log;

/** At most one per process, because log4c's registry is global. */
struct base_log *base_log_create(const char *program);
void base_log_destroy(struct base_log *log);
/**
 * Writes as many buffered lines as standard output accepts without blocking.
 * Call it several times a second.
 */
void base_log_flush(struct base_log *log);
/** Number of lines dropped since base_log_create(). */
int64_t base_log_dropped(struct base_log *log);
void base_log_set_level(struct base_log *log, enum base_log_level level);
bool base_log_level_parse(struct base_str name, enum base_log_level *level);

/** A log line under construction; values are quoted where needed. */
struct base_log_line {
	struct base_log *log;
	enum base_log_level level;
	struct base_buf text;
	bool enabled;
};

/**
 * Starts a line. Add pairs, then call base_log_end(), which writes and frees
 * it.
 * @param log    NULL to discard the line
 * @param event  the name of the event, in snake_case
 */
struct base_log_line base_log_begin(struct base_log *log,
				    enum base_log_level level,
				    const char *event);
void base_log_str(struct base_log_line *line, const char *key,
		  struct base_str value);
void base_log_cstr(struct base_log_line *line, const char *key,
		   const char *value);
void base_log_int(struct base_log_line *line, const char *key, int64_t value);
void base_log_end(struct base_log_line *line);

/**
 * A message queue from any thread to one receiving thread. The receiver polls
 * a file descriptor and drains the queue from its event loop.
 */
struct base_mailbox;

typedef void (*base_mailbox_cb)(void *ctx, void *message);

/** @return NULL when no file descriptor is available */
struct base_mailbox *base_mailbox_create(void);
/** Passes messages still queued to @p discard, which may be NULL. */
void base_mailbox_destroy(struct base_mailbox *box, base_mailbox_cb discard,
			  void *ctx);
/** May be called by any thread; the receiver then owns the message. */
void base_mailbox_post(struct base_mailbox *box, void *message);
/** A file descriptor that is readable while messages are queued. */
int base_mailbox_fd(const struct base_mailbox *box);
/**
 * Calls @p cb for each queued message in the order of posting. Only the
 * receiving thread may call it.
 */
void base_mailbox_drain(struct base_mailbox *box, base_mailbox_cb cb,
			void *ctx);

#endif
