/* Pool of client connections for the stand-in programs. */
#include "fake.h"

#include <event2/event.h>
#include <event2/http.h>
#include <stdio.h>
#include <string.h>

struct fake_pool {
	struct event_base *loop;
	char address[64];
	char host[64];
	uint16_t port;
	struct timeval timeout;
	struct evhttp_connection **idle;
	size_t idle_count;
	size_t idle_cap;
};

struct fake_pool *fake_pool_create(struct event_base *loop, const char *address,
				   int64_t timeout_us)
{
	struct fake_pool *pool = base_alloc(sizeof(*pool));
	const char *colon = strrchr(address, ':');

	if (!colon || strlen(address) >= sizeof(pool->address))
		fake_die("\"%s\" is not IP:PORT", address);
	pool->loop = loop;
	snprintf(pool->address, sizeof(pool->address), "%s", address);
	snprintf(pool->host, sizeof(pool->host), "%.*s", (int)(colon - address),
		 address);
	pool->port = (uint16_t)fake_parse_number("port", colon + 1);
	pool->timeout.tv_sec = timeout_us / BASE_SECOND_US;
	pool->timeout.tv_usec = timeout_us % BASE_SECOND_US;
	return pool;
}

void fake_pool_destroy(struct fake_pool *pool)
{
	size_t i;

	if (!pool)
		return;
	for (i = 0; i < pool->idle_count; i++)
		evhttp_connection_free(pool->idle[i]);
	free(pool->idle);
	free(pool);
}

struct evhttp_connection *fake_pool_take(struct fake_pool *pool)
{
	struct evhttp_connection *conn;

	if (pool->idle_count)
		return pool->idle[--pool->idle_count];
	conn = evhttp_connection_base_new(pool->loop, NULL, pool->host,
					  pool->port);
	if (!conn)
		fake_die("cannot create a connection to %s", pool->address);
	evhttp_connection_set_timeout_tv(conn, &pool->timeout);
	return conn;
}

void fake_pool_return(struct fake_pool *pool, struct evhttp_connection *conn)
{
	if (pool->idle_count == pool->idle_cap) {
		pool->idle_cap = pool->idle_cap ? pool->idle_cap * 2 : 64;
		pool->idle = base_realloc(pool->idle,
					  pool->idle_cap * sizeof(*pool->idle));
	}
	pool->idle[pool->idle_count++] = conn;
}

void fake_pool_set_host(const struct fake_pool *pool,
			struct evhttp_request *req)
{
	evhttp_add_header(evhttp_request_get_output_headers(req), "Host",
			  pool->address);
}
