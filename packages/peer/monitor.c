/* Reads connection events from the monitor socket of another socket. */
#include "monitor.h"

#include <stdio.h>
#include <string.h>
#include <zmq.h>

/* An event is a frame with its number and a value, and one with the address. */
static bool receive(void *ctx)
{
	struct monitor *monitor = ctx;
	void *socket = monitor->watch.socket;
	uint8_t frame[6];
	uint16_t event;
	char address[256];

	if (zmq_recv(socket, frame, sizeof(frame), ZMQ_DONTWAIT) < 0)
		return false;
	if (zmq_recv(socket, address, sizeof(address), ZMQ_DONTWAIT) < 0)
		return false;
	memcpy(&event, frame, sizeof(event));
	monitor->event(monitor->ctx, event);
	return true;
}

enum peer_status monitor_open(struct monitor *monitor, struct event_base *loop,
			      void *zmq_ctx, void *monitored, int events,
			      void (*event)(void *ctx, int event), void *ctx)
{
	char endpoint[64];
	void *socket;

	snprintf(endpoint, sizeof(endpoint), "inproc://monitor-%p", monitored);
	monitor->event = event;
	monitor->ctx = ctx;
	if (zmq_socket_monitor(monitored, endpoint, events))
		return PEER_ERR_SYSTEM;
	monitor->monitored = monitored;
	socket = zmq_socket(zmq_ctx, ZMQ_PAIR);
	if (!socket)
		return PEER_ERR_SYSTEM;
	if (zmq_connect(socket, endpoint)) {
		zmq_close(socket);
		return PEER_ERR_SYSTEM;
	}
	return socket_watch_open(&monitor->watch, loop, socket, receive,
				 monitor);
}

void monitor_close(struct monitor *monitor)
{
	if (monitor->monitored)
		zmq_socket_monitor(monitor->monitored, NULL, 0);
	monitor->monitored = NULL;
	socket_watch_close(&monitor->watch);
}
