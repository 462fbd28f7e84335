/* Tests of the status command against a small HTTP server. */
#include "cli.h"
#include "fetch.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <criterion/redirect.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/** Responds to one connection with fixed bytes. */
struct server {
	int listener;
	const char *response;
	pthread_t thread;
	char address[32];
	char request[512];
};

static void *serve_connection(void *arg)
{
	struct server *server = arg;
	int fd = accept(server->listener, NULL, NULL);
	ssize_t n = read(fd, server->request, sizeof(server->request) - 1);

	server->request[n > 0 ? n : 0] = '\0';
	n = send(fd, server->response, strlen(server->response), MSG_NOSIGNAL);
	(void)n;
	close(fd);
	return NULL;
}

static void start_server(struct server *server, const char *response)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	socklen_t len = sizeof(addr);

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server->response = response;
	server->listener = socket(AF_INET, SOCK_STREAM, 0);
	cr_assert(eq(int, bind(server->listener, (struct sockaddr *)&addr, len),
		     0));
	cr_assert(eq(int, listen(server->listener, 4), 0));
	getsockname(server->listener, (struct sockaddr *)&addr, &len);
	snprintf(server->address, sizeof(server->address), "127.0.0.1:%d",
		 ntohs(addr.sin_port));
	pthread_create(&server->thread, NULL, serve_connection, server);
}

static void stop_server(struct server *server)
{
	pthread_join(server->thread, NULL);
	close(server->listener);
}

static int run_status(const char *address, bool as_json)
{
	char *argv[] = { "bilberryhinge status", "--admin", (char *)address,
			 as_json ? "--json" : NULL, NULL };

	return cli_find_command("status")->run(as_json ? 4 : 3, argv);
}

#define STATUS_RESPONSE                                            \
	"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"             \
	"{\"version\":7,\"config\":{\"hash\":\"ab\",\"list\":[]}," \
	"\"peers\":[{\"name\":\"vm-1\",\"up\":true},3]}"

/* Guards against values that are left out or printed under a wrong path. */
Test(status, prints_one_value_per_line, .init = cr_redirect_stdout)
{
	struct server server;

	start_server(&server, STATUS_RESPONSE);
	cr_assert(eq(int, run_status(server.address, false), CLI_EXIT_OK));
	stop_server(&server);
	fflush(stdout);
	cr_assert_stdout_eq_str("version: 7\n"
				"config.hash: ab\n"
				"config.list: []\n"
				"peers[vm-1].name: vm-1\n"
				"peers[vm-1].up: true\n"
				"peers[1]: 3\n");
	cr_assert(eq(int,
		     strncmp(server.request, "GET /status HTTP/1.1\r\n", 22),
		     0));
}

Test(status, prints_the_body_unchanged, .init = cr_redirect_stdout)
{
	struct server server;

	start_server(&server, STATUS_RESPONSE);
	cr_assert(eq(int, run_status(server.address, true), CLI_EXIT_OK));
	stop_server(&server);
	fflush(stdout);
	cr_assert_stdout_eq_str(
		"{\"version\":7,\"config\":{\"hash\":\"ab\",\"list\":[]},"
		"\"peers\":[{\"name\":\"vm-1\",\"up\":true},3]}\n");
}

/*
 * Guards against an error response that is printed as the status of the daemon,
 * and against an exit status that does not distinguish it from no response.
 */
Test(status, distinguishes_error_response_from_no_response)
{
	struct server server;

	start_server(&server, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
	cr_assert(
		eq(int, run_status(server.address, false), CLI_EXIT_NEGATIVE));
	stop_server(&server);
	cr_assert(eq(int, run_status(server.address, false), CLI_EXIT_ERROR));
	cr_assert(eq(int, run_status("127.0.0.1", false), CLI_EXIT_ERROR));
	cr_assert(eq(int, run_status("127.0.0.1:0", false), CLI_EXIT_ERROR));
}
