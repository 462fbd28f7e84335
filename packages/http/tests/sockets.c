/* Plain sockets for tests that write request bytes themselves. */
#include "sockets.h"
#include "http.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <sys/socket.h>

int test_connect(const char *address)
{
	struct sockaddr_storage addr;
	socklen_t len;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	http_address_parse(base_str_from(address), &addr, &len, NULL);
	cr_assert(eq(int, connect(fd, (struct sockaddr *)&addr, len), 0));
	return fd;
}
