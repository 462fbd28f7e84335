/* Key=value logging over log4c. */
#include "base.h"

#include <inttypes.h>
#include <limits.h>
#include <log4c.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/* Bytes buffered while the reader of standard output is slow. */
#define PENDING_MAX_BYTES (256U << 10)
/*
 * Buffered lines are written when they exceed this size, or at once when a line
 * of level warn or above is logged.
 */
#define WRITE_THRESHOLD_BYTES (8U << 10)
/* Room that a new line starts with. */
#define LINE_TYPICAL_BYTES 256
/* Token bucket for lines below level warn: rate and burst size in lines. */
#define LINES_PER_S 1000.0
#define LINES_BURST 2000.0

struct base_log {
	log4c_category_t *category;
	log4c_appender_t *appender;
	/* Protects the fields below; several threads log. */
	pthread_mutex_t lock;
	struct base_buf pending;
	double tokens;
	int64_t tokens_updated_at;
	int64_t dropped;
	/* Dropped lines that no log_lines_dropped event has reported yet. */
	int64_t dropped_unreported;
};

static const char *format_message(const log4c_layout_t *layout,
				  const log4c_logging_event_t *event)
{
	(void)layout;
	return event->evt_msg;
}

/* Static because log4c keeps registered layout types until the process ends. */
static const log4c_layout_type_t line_layout = {
	.name = "bilberryhinge_line",
	.format = format_message,
};

/* Writes what standard output accepts without blocking; the lock is held. */
static void write_pending(struct base_log *log)
{
	struct pollfd fd = { .fd = STDOUT_FILENO, .events = POLLOUT };
	size_t done = 0;

	while (done < log->pending.len && poll(&fd, 1, 0) == 1 &&
	       fd.revents & POLLOUT) {
		size_t n = log->pending.len - done;
		ssize_t written;

		/* A pipe that poll() reports as writable has room for this. */
		if (n > PIPE_BUF)
			n = PIPE_BUF;
		written = write(STDOUT_FILENO, log->pending.ptr + done, n);
		if (written <= 0)
			break;
		done += (size_t)written;
	}
	if (!done)
		return;
	log->pending.len -= done;
	memmove(log->pending.ptr, log->pending.ptr + done, log->pending.len);
}

static bool take_token(struct base_log *log, int64_t now)
{
	log->tokens += (double)(now - log->tokens_updated_at) * LINES_PER_S /
		       BASE_SECOND_US;
	if (log->tokens > LINES_BURST)
		log->tokens = LINES_BURST;
	log->tokens_updated_at = now;
	if (log->tokens < 1)
		return false;
	log->tokens -= 1;
	return true;
}

static void report_dropped(struct base_log *log)
{
	if (!log->dropped_unreported ||
	    log->pending.len > PENDING_MAX_BYTES / 2)
		return;
	base_buf_addf(&log->pending,
		      "ts=%" PRId64
		      " level=warn event=log_lines_dropped count=%" PRId64 "\n",
		      base_wall_ms(), log->dropped_unreported);
	log->dropped_unreported = 0;
}

static void count_dropped(struct base_log *log)
{
	log->dropped++;
	log->dropped_unreported++;
}

/*
 * Decides before a line is formatted, so that a line over the rate costs next
 * to nothing. Lines of level warn and above have no limit.
 */
static bool admit_line(struct base_log *log, enum base_log_level level)
{
	bool admitted;

	if (level <= BASE_LOG_WARN)
		return true;
	pthread_mutex_lock(&log->lock);
	admitted = log->pending.len < PENDING_MAX_BYTES &&
		   take_token(log, base_now_us());
	if (!admitted)
		count_dropped(log);
	pthread_mutex_unlock(&log->lock);
	return admitted;
}

static int append(log4c_appender_t *appender,
		  const log4c_logging_event_t *event)
{
	struct base_log *log = log4c_appender_get_udata(appender);
	size_t len = strlen(event->evt_rendered_msg);
	bool urgent = event->evt_priority <= LOG4C_PRIORITY_WARN;

	pthread_mutex_lock(&log->lock);
	if (log->pending.len + len > PENDING_MAX_BYTES) {
		count_dropped(log);
	} else {
		report_dropped(log);
		base_buf_add(&log->pending, event->evt_rendered_msg, len);
	}
	if (urgent || log->pending.len > WRITE_THRESHOLD_BYTES)
		write_pending(log);
	pthread_mutex_unlock(&log->lock);
	return 0;
}

/* Used because log4c's stream appenders prefix each line with their name. */
static const log4c_appender_type_t stdout_appender = {
	.name = "bilberryhinge_stdout",
	.append = append,
};

void base_log_flush(struct base_log *log)
{
	pthread_mutex_lock(&log->lock);
	write_pending(log);
	pthread_mutex_unlock(&log->lock);
}

int64_t base_log_dropped(struct base_log *log)
{
	int64_t dropped;

	pthread_mutex_lock(&log->lock);
	dropped = log->dropped;
	pthread_mutex_unlock(&log->lock);
	return dropped;
}

static int priority_of(enum base_log_level level)
{
	switch (level) {
	case BASE_LOG_ERROR:
		return LOG4C_PRIORITY_ERROR;
	case BASE_LOG_WARN:
		return LOG4C_PRIORITY_WARN;
	case BASE_LOG_INFO:
		return LOG4C_PRIORITY_INFO;
	case BASE_LOG_DEBUG:
		return LOG4C_PRIORITY_DEBUG;
	}
	return LOG4C_PRIORITY_INFO;
}

struct base_log *base_log_create(const char *program)
{
	struct base_log *log = base_alloc(sizeof(*log));
	log4c_appender_t *appender = log4c_appender_get("bilberryhinge");
	log4c_layout_t *layout = log4c_layout_get("bilberryhinge");

	log4c_layout_type_set(&line_layout);
	log4c_layout_set_type(layout, &line_layout);
	pthread_mutex_init(&log->lock, NULL);
	log->tokens = LINES_BURST;
	log->tokens_updated_at = base_now_us();
	log4c_appender_type_set(&stdout_appender);
	log4c_appender_set_type(appender, &stdout_appender);
	log4c_appender_set_udata(appender, log);
	log4c_appender_set_layout(appender, layout);
	log->appender = appender;
	log->category = log4c_category_get(program);
	log4c_category_set_appender(log->category, appender);
	log4c_category_set_additivity(log->category, 0);
	base_log_set_level(log, BASE_LOG_INFO);
	return log;
}

void base_log_destroy(struct base_log *log)
{
	if (!log)
		return;
	base_log_flush(log);
	pthread_mutex_destroy(&log->lock);
	base_buf_release(&log->pending);
	free(log);
}

void base_log_set_level(struct base_log *log, enum base_log_level level)
{
	log4c_category_set_priority(log->category, priority_of(level));
}

bool base_log_level_parse(struct base_str name, enum base_log_level *level)
{
	static const char *const names[] = { "error", "warn", "info", "debug" };
	size_t i;

	for (i = 0; i < BASE_ARRAY_SIZE(names); i++) {
		if (base_str_equal(name, base_str_from(names[i]))) {
			*level = (enum base_log_level)i;
			return true;
		}
	}
	return false;
}

static void add_cstr(struct base_buf *text, const char *s)
{
	base_buf_add(text, s, strlen(s));
}

static void add_key(struct base_buf *text, const char *key)
{
	base_buf_add(text, " ", 1);
	add_cstr(text, key);
	base_buf_add(text, "=", 1);
}

/*
 * Passes the line to the appender itself: log4c_category_log() would format it
 * once more.
 */
static void write_line(struct base_log *log, enum base_log_level level,
		       const char *text)
{
	log4c_logging_event_t event = {
		.evt_category = log4c_category_get_name(log->category),
		.evt_priority = priority_of(level),
		.evt_msg = text,
	};

	log4c_appender_append(log->appender, &event);
}

struct base_log_line base_log_begin(struct base_log *log,
				    enum base_log_level level,
				    const char *event)
{
	static const char *const names[] = { "error", "warn", "info", "debug" };
	struct base_log_line line = { .log = log, .level = level };

	line.enabled = log &&
		       log4c_category_is_priority_enabled(log->category,
							  priority_of(level)) &&
		       admit_line(log, level);
	if (!line.enabled)
		return line;
	base_buf_reserve(&line.text, LINE_TYPICAL_BYTES);
	add_cstr(&line.text, "ts=");
	base_buf_add_int(&line.text, base_wall_ms());
	add_cstr(&line.text, " level=");
	add_cstr(&line.text, names[level]);
	add_cstr(&line.text, " event=");
	add_cstr(&line.text, event);
	return line;
}

static bool needs_quotes(struct base_str value)
{
	size_t i;

	for (i = 0; i < value.len; i++) {
		unsigned char c = (unsigned char)value.ptr[i];

		if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f)
			return true;
	}
	return !value.len;
}

static void add_quoted(struct base_buf *text, struct base_str value)
{
	size_t plain = 0;
	size_t i;

	base_buf_add(text, "\"", 1);
	for (i = 0; i < value.len; i++) {
		unsigned char c = (unsigned char)value.ptr[i];

		if (c != '"' && c != '\\' && c >= ' ' && c != 0x7f)
			continue;
		base_buf_add(text, value.ptr + plain, i - plain);
		plain = i + 1;
		if (c == '"' || c == '\\')
			base_buf_addf(text, "\\%c", c);
		else
			base_buf_addf(text, "\\x%02x", c);
	}
	if (value.len > plain)
		base_buf_add(text, value.ptr + plain, value.len - plain);
	base_buf_add(text, "\"", 1);
}

void base_log_str(struct base_log_line *line, const char *key,
		  struct base_str value)
{
	if (!line->enabled)
		return;
	add_key(&line->text, key);
	if (needs_quotes(value))
		add_quoted(&line->text, value);
	else
		base_buf_add_str(&line->text, value);
}

void base_log_cstr(struct base_log_line *line, const char *key,
		   const char *value)
{
	base_log_str(line, key, base_str_from(value));
}

void base_log_int(struct base_log_line *line, const char *key, int64_t value)
{
	if (!line->enabled)
		return;
	add_key(&line->text, key);
	base_buf_add_int(&line->text, value);
}

void base_log_end(struct base_log_line *line)
{
	if (line->enabled) {
		base_buf_add(&line->text, "\n", 1);
		write_line(line->log, line->level, line->text.ptr);
	}
	base_buf_release(&line->text);
	line->enabled = false;
}
