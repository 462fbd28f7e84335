/* Plain sockets for tests that write request bytes themselves. */
#ifndef HTTP_TESTS_SOCKETS_H
#define HTTP_TESTS_SOCKETS_H

/** Connects to "IPv4:PORT"; the test fails when that is not possible. */
int test_connect(const char *address);

#endif
