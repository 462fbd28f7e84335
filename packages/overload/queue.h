/* Priority queue of a guard, fair between accounts within a class. */
#ifndef OVERLOAD_QUEUE_H
#define OVERLOAD_QUEUE_H

#include "overload.h"

/*
 * Classes are numbered in the order of starting: non-idempotent work by level,
 * then idempotent work by level.
 */
#define OVERLOAD_FIRST_CLASS 0
#define OVERLOAD_FIRST_IDEMPOTENT_CLASS OVERLOAD_LEVELS

struct overload_queue;

struct overload_queue *overload_queue_create(void);
void overload_queue_destroy(struct overload_queue *queue);
/** The id must not be queued already. */
void overload_queue_push(struct overload_queue *queue,
			 const struct overload_work *work, int64_t now);
/**
 * Takes the next work to run: non-idempotent before idempotent, then by level,
 * then start-time fair between accounts, then in the order of arrival.
 * @return false when the queue is empty
 */
bool overload_queue_pop(struct overload_queue *queue, int64_t now,
			struct overload_work *work);
/**
 * Takes the newest work, in the lowest class, of the account that has most
 * work queued and started lately for its weight.
 * @param first        leave alone the classes before this one
 * @param above_share  leave alone the accounts that ask for less than their
 *                     max-min fair share
 * @return false when there is none
 */
bool overload_queue_shed(struct overload_queue *queue, uint32_t first,
			 bool above_share, int64_t now,
			 struct overload_work *work);
/**
 * Takes one piece of work that is out of time: whose deadline has come, or for
 * idempotent work (and for all when @p all is set) is nearer than @p margin_us.
 * @return false when there is none
 */
bool overload_queue_expire(struct overload_queue *queue, int64_t margin_us,
			   bool all, int64_t now, struct overload_work *work);
/** @return false when no such work is queued */
bool overload_queue_remove(struct overload_queue *queue, uint64_t id);
uint32_t overload_queue_length(const struct overload_queue *queue);
uint32_t overload_queue_idempotent_length(const struct overload_queue *queue);
/** No deadline in the queue is earlier; INT64_MAX when it is empty. */
int64_t overload_queue_earliest_deadline(const struct overload_queue *queue);

#endif
