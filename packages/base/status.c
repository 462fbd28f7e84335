/* Status codes, error messages and memory allocation. */
#include "base.h"

#include <stdio.h>

const char *base_strerror(enum base_status status)
{
	switch (status) {
	case BASE_OK:
		return "success";
	case BASE_ERR_NO_MEMORY:
		return "out of memory";
	case BASE_ERR_INVALID:
		return "invalid value";
	case BASE_ERR_SYSTEM:
		return "system call failed";
	}
	return "unknown status";
}

void base_error_set(struct base_error *err, const char *fmt, ...)
{
	va_list args;

	if (!err)
		return;
	va_start(args, fmt);
	vsnprintf(err->message, sizeof(err->message), fmt, args);
	va_end(args);
}

static _Thread_local uint64_t allocation_count;

uint64_t base_allocation_count(void)
{
	return allocation_count;
}

static void *abort_on_null(void *ptr)
{
	allocation_count++;
	if (!ptr) {
		fputs("event=out_of_memory\n", stderr);
		abort();
	}
	return ptr;
}

void *base_alloc(size_t size)
{
	return abort_on_null(calloc(1, size ? size : 1));
}

void *base_alloc_array(size_t count, size_t size)
{
	return abort_on_null(calloc(count ? count : 1, size ? size : 1));
}

void *base_realloc(void *ptr, size_t size)
{
	return abort_on_null(realloc(ptr, size ? size : 1));
}
