/*
 * Stand-in for clients that keep their connections open: each connection sends
 * one unsafe request after the other and opens a new connection only when the
 * daemon closes it. Prints a line for each request:
 *
 *     order id=ID at=IP:PORT sent=MS ended=MS status=STATUS
 *
 * STATUS is 000 when the connection ended without a whole response. Times are
 * milliseconds of the boot time clock. Ends after the given time.
 *
 *     orders NAME CONNECTIONS SECONDS PATH IP:PORT...
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CONNECTIONS_MAX 256
#define PAUSE_MS 10
#define RECONNECT_MS 50
#define DEADLINE_MS 3000

struct connection {
	const char *target;
	int64_t sent_at;
	int64_t next_at;
	size_t len;
	int fd;
	int open;
	struct sockaddr_in address;
	char id[48];
	char buf[16384];
};

static struct connection connections[CONNECTIONS_MAX];
static const char *name, *path;
static long next_id;

static int64_t now_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return ts.tv_sec * INT64_C(1000) + ts.tv_nsec / 1000000;
}

static void finish(struct connection *c, const char *status)
{
	printf("order id=%s at=%s sent=%lld ended=%lld status=%s\n", c->id,
	       c->target, (long long)c->sent_at, (long long)now_ms(), status);
	c->open = 0;
	c->len = 0;
	c->next_at = now_ms() + PAUSE_MS;
}

static void disconnect(struct connection *c)
{
	if (c->open)
		finish(c, "000");
	close(c->fd);
	c->fd = -1;
	c->next_at = now_ms() + RECONNECT_MS;
}

static void send_order(struct connection *c)
{
	char request[1024];
	int n;

	if (c->fd < 0) {
		c->fd = socket(AF_INET, SOCK_STREAM, 0);
		if (connect(c->fd, (struct sockaddr *)&c->address,
			    sizeof(c->address))) {
			disconnect(c);
			return;
		}
	}
	snprintf(c->id, sizeof(c->id), "%s-%ld", name, ++next_id);
	n = snprintf(request, sizeof(request),
		     "POST %s%s HTTP/1.1\r\nHost: a.example\r\n"
		     "X-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n"
		     "Authorization: Bearer k1\r\nContent-Length: 5\r\n\r\n"
		     "order",
		     path, c->id, c->id, DEADLINE_MS);
	c->sent_at = now_ms();
	c->open = 1;
	c->len = 0;
	if (send(c->fd, request, (size_t)n, MSG_NOSIGNAL) != n)
		disconnect(c);
}

static char *find(char *head, const char *text)
{
	return strcasestr(head, text);
}

static void on_bytes(struct connection *c)
{
	ssize_t n = recv(c->fd, c->buf + c->len, sizeof(c->buf) - 1 - c->len,
			 MSG_DONTWAIT);
	char status[4] = "000";
	char *end, *length;
	size_t want;
	int last;

	if (n <= 0) {
		if (n == 0 || (errno != EAGAIN && errno != EINTR))
			disconnect(c);
		return;
	}
	c->len += (size_t)n;
	c->buf[c->len] = '\0';
	end = strstr(c->buf, "\r\n\r\n");
	if (!c->open || !end)
		return;
	length = find(c->buf, "\r\nContent-Length:");
	want = (size_t)(end + 4 - c->buf) +
	       (length && length < end ? strtoul(length + 17, NULL, 10) : 0);
	if (c->len < want)
		return;
	memcpy(status, c->buf + 9, 3);
	last = find(c->buf, "\r\nConnection: close") != NULL;
	finish(c, status);
	if (last)
		disconnect(c);
}

int main(int argc, char **argv)
{
	struct pollfd fds[CONNECTIONS_MAX];
	int count, i;
	int64_t end;

	if (argc < 6)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	name = argv[1];
	count = atoi(argv[2]);
	end = now_ms() + atol(argv[3]) * 1000;
	path = argv[4];
	for (i = 0; i < count && i < CONNECTIONS_MAX; i++) {
		struct connection *c = &connections[i];
		char text[64];
		char *colon;

		c->target = argv[5 + i % (argc - 5)];
		snprintf(text, sizeof(text), "%s", c->target);
		colon = strchr(text, ':');
		*colon = '\0';
		c->address.sin_family = AF_INET;
		c->address.sin_port = htons((uint16_t)atoi(colon + 1));
		inet_pton(AF_INET, text, &c->address.sin_addr);
		c->fd = -1;
		c->next_at = now_ms() + i * 5;
	}
	for (;;) {
		int64_t now = now_ms();
		int open = 0;

		for (i = 0; i < count; i++) {
			struct connection *c = &connections[i];

			if (!c->open && now < end && now >= c->next_at)
				send_order(c);
			open += c->open;
			fds[i] = (struct pollfd){ .fd = c->fd,
						  .events = POLLIN };
		}
		if (now >= end && (!open || now >= end + 4000))
			return 0;
		poll(fds, (nfds_t)count, 5);
		for (i = 0; i < count; i++)
			if (connections[i].fd >= 0 &&
			    fds[i].fd == connections[i].fd && fds[i].revents)
				on_bytes(&connections[i]);
	}
}
