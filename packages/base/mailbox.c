/* Message queue between threads, signalled through an eventfd. */
#include "base.h"

#include <pthread.h>
#include <sys/eventfd.h>
#include <unistd.h>

struct node {
	struct node *next;
	void *message;
};

struct base_mailbox {
	pthread_mutex_t lock;
	struct node *head;
	struct node **tail;
	int fd;
};

struct base_mailbox *base_mailbox_create(void)
{
	struct base_mailbox *box;
	int fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);

	if (fd < 0)
		return NULL;
	box = base_alloc(sizeof(*box));
	pthread_mutex_init(&box->lock, NULL);
	box->tail = &box->head;
	box->fd = fd;
	return box;
}

static struct node *take_all(struct base_mailbox *box)
{
	struct node *list;

	pthread_mutex_lock(&box->lock);
	list = box->head;
	box->head = NULL;
	box->tail = &box->head;
	pthread_mutex_unlock(&box->lock);
	return list;
}

static void deliver(struct node *list, base_mailbox_cb cb, void *ctx)
{
	while (list) {
		struct node *next = list->next;

		if (cb)
			cb(ctx, list->message);
		free(list);
		list = next;
	}
}

void base_mailbox_destroy(struct base_mailbox *box, base_mailbox_cb discard,
			  void *ctx)
{
	if (!box)
		return;
	deliver(take_all(box), discard, ctx);
	close(box->fd);
	pthread_mutex_destroy(&box->lock);
	free(box);
}

void base_mailbox_post(struct base_mailbox *box, void *message)
{
	struct node *n = base_alloc(sizeof(*n));

	n->message = message;
	pthread_mutex_lock(&box->lock);
	*box->tail = n;
	box->tail = &n->next;
	pthread_mutex_unlock(&box->lock);
	eventfd_write(box->fd, 1);
}

int base_mailbox_fd(const struct base_mailbox *box)
{
	return box->fd;
}

void base_mailbox_drain(struct base_mailbox *box, base_mailbox_cb cb, void *ctx)
{
	eventfd_t count;

	eventfd_read(box->fd, &count);
	deliver(take_all(box), cb, ctx);
}
