/* Connections of tests that write bytes by themselves. */
#ifndef HTTP_TESTS_SOCKETS_H
#define HTTP_TESTS_SOCKETS_H

/** Connects to "IP:PORT"; ends the test when that fails. */
int test_connect(const char *address);

#endif
