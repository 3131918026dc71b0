#ifndef BGAPD_TAIL_H
#define BGAPD_TAIL_H

/*
 * Follows one stream of the log: reads from the offset that its user wants
 * next, again and again.
 *
 *   struct bgap_tail *tail;
 *   bgap_tail_setup (&(struct bgap_tail_desc){ .base = base, .log = &log,
 *     .stream = "config", .ops = &ops, .context = config }, &tail, &err);
 *   bgap_tail_free (tail);
 */

#include <event2/event.h>
#include <stdbool.h>

#include "banyangap/logservice/log_service.h"

/**
 * struct bgap_tail_ops - user of a tail
 * @next: offset to read from
 * @record: a record, in offset order
 * @truncated: the log keeps no record before @first
 * @end: a read has ended; @end is the offset that the next record will get
 */
struct bgap_tail_ops
{
  int64_t (*next) (void *context);
  void (*record) (void *context, const struct bgap_log_record *record);
  void (*truncated) (void *context, int64_t first);
  void (*end) (void *context, int64_t end);
};

/**
 * struct bgap_tail_desc - options; all are required
 * @log: must stay valid until shutdown
 */
struct bgap_tail_desc
{
  struct event_base *base;
  const struct bgap_log_ops *log;
  const char *stream;
  const struct bgap_tail_ops *ops;
  void *context;
};

struct bgap_tail;

/**
 * bgap_tail_setup() - start reading
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_tail_setup (const struct bgap_tail_desc *desc,
                                  struct bgap_tail **out,
                                  struct bgap_error *err);

/**
 * bgap_tail_shutdown() - stop reading; NULL is allowed
 *
 * A read in progress keeps the memory until it completes.
 */
void bgap_tail_shutdown (struct bgap_tail *tail);

/**
 * bgap_tail_free() - as above, after the log's client was shut down, so that
 * no read completes any more
 */
void bgap_tail_free (struct bgap_tail *tail);

/**
 * bgap_tail_last_ok_ms() - time of the last successful read, 0 if none
 */
int64_t bgap_tail_last_ok_ms (const struct bgap_tail *tail);

#endif
