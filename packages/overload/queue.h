/*
 * Queue of a guard: strict priority between classes, and weighted fair queuing
 * between client accounts within a class.
 */
#ifndef OVERLOAD_QUEUE_H
#define OVERLOAD_QUEUE_H

#include "overload.h"

/*
 * Classes are numbered by priority: first the levels of non-idempotent work,
 * then the levels of idempotent work.
 */
#define OVERLOAD_FIRST_CLASS 0
#define OVERLOAD_FIRST_IDEMPOTENT_CLASS OVERLOAD_LEVELS

struct overload_queue;

struct overload_queue *overload_queue_create(void);
void overload_queue_destroy(struct overload_queue *queue);
/** Adds work. Its id must not be in the queue already. */
void overload_queue_push(struct overload_queue *queue,
			 const struct overload_work *work, int64_t now);
/**
 * Removes the next work to start: non-idempotent before idempotent work, then
 * by level, then by start-time fair queuing between accounts, then in order of
 * arrival.
 * @return false when the queue is empty
 */
bool overload_queue_pop(struct overload_queue *queue, int64_t now,
			struct overload_work *work);
/**
 * Removes work in order to shed it: in the class of lowest priority that has
 * any, the newest work of the account with the most queued and recently started
 * work relative to its weight.
 * @param first        first class from which work may be shed
 * @param above_share  spare the accounts whose demand is below their max-min
 *                     fair share
 * @return false when there is no such work
 */
bool overload_queue_shed(struct overload_queue *queue, uint32_t first,
			 bool above_share, int64_t now,
			 struct overload_work *work);
/**
 * Removes one piece of work that cannot meet its deadline: work whose deadline
 * has passed, and idempotent work (any work if @p all is set) whose deadline is
 * less than @p margin_us ahead.
 * @return false when there is no such work
 */
bool overload_queue_expire(struct overload_queue *queue, int64_t margin_us,
			   bool all, int64_t now, struct overload_work *work);
/**
 * Removes the work with this id.
 * @return false when it is not queued
 */
bool overload_queue_remove(struct overload_queue *queue, uint64_t id);
uint32_t overload_queue_length(const struct overload_queue *queue);
uint32_t overload_queue_idempotent_length(const struct overload_queue *queue);
/**
 * Returns a lower bound of the deadlines in the queue; INT64_MAX when it is
 * empty.
 */
int64_t overload_queue_earliest_deadline(const struct overload_queue *queue);

#endif
