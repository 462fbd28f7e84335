/* Key=value logging over log4c. */
#include "base.h"

#include <inttypes.h>
#include <log4c.h>
#include <stdio.h>
#include <string.h>

struct base_log {
	log4c_category_t *category;
};

static const char *format_message(const log4c_layout_t *layout,
				  const log4c_logging_event_t *event)
{
	(void)layout;
	return event->evt_msg;
}

/* log4c registers layout types for the life of the process. */
static const log4c_layout_type_t line_layout = {
	.name = "bilberryhinge_line",
	.format = format_message,
};

static int append_to_stderr(log4c_appender_t *appender,
			    const log4c_logging_event_t *event)
{
	(void)appender;
	return fputs(event->evt_rendered_msg, stderr) < 0 ? -1 : 0;
}

/* log4c's own stream appenders put their name in front of each line. */
static const log4c_appender_type_t stderr_appender = {
	.name = "bilberryhinge_stderr",
	.append = append_to_stderr,
};

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
	log4c_appender_t *appender = log4c_appender_get("stderr");
	log4c_layout_t *layout = log4c_layout_get("bilberryhinge");

	log4c_layout_type_set(&line_layout);
	log4c_layout_set_type(layout, &line_layout);
	log4c_appender_type_set(&stderr_appender);
	log4c_appender_set_type(appender, &stderr_appender);
	log4c_appender_set_layout(appender, layout);
	log->category = log4c_category_get(program);
	log4c_category_set_appender(log->category, appender);
	log4c_category_set_additivity(log->category, 0);
	base_log_set_level(log, BASE_LOG_INFO);
	return log;
}

void base_log_destroy(struct base_log *log)
{
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

struct base_log_line base_log_begin(struct base_log *log,
				    enum base_log_level level,
				    const char *event)
{
	static const char *const names[] = { "error", "warn", "info", "debug" };
	struct base_log_line line = { .log = log, .level = level };

	line.enabled = log && log4c_category_is_priority_enabled(
				      log->category, priority_of(level));
	if (line.enabled)
		base_buf_addf(&line.text, "ts=%" PRId64 " level=%s event=%s",
			      base_wall_ms(), names[level], event);
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
	size_t i;

	base_buf_add(text, "\"", 1);
	for (i = 0; i < value.len; i++) {
		unsigned char c = (unsigned char)value.ptr[i];

		if (c == '"' || c == '\\')
			base_buf_addf(text, "\\%c", c);
		else if (c < ' ' || c == 0x7f)
			base_buf_addf(text, "\\x%02x", c);
		else
			base_buf_add(text, &value.ptr[i], 1);
	}
	base_buf_add(text, "\"", 1);
}

void base_log_str(struct base_log_line *line, const char *key,
		  struct base_str value)
{
	if (!line->enabled)
		return;
	base_buf_addf(&line->text, " %s=", key);
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
	if (line->enabled)
		base_buf_addf(&line->text, " %s=%" PRId64, key, value);
}

void base_log_end(struct base_log_line *line)
{
	if (line->enabled) {
		base_buf_add(&line->text, "\n", 1);
		log4c_category_log(line->log->category,
				   priority_of(line->level), "%s",
				   line->text.ptr);
	}
	base_buf_release(&line->text);
	line->enabled = false;
}
