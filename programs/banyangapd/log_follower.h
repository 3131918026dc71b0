#ifndef BGAPD_LOG_FOLLOWER_H
#define BGAPD_LOG_FOLLOWER_H

/*
 * Follows one stream of the log: reads repeatedly, each time from the offset
 * that its user asks for.
 *
 *   struct bgap_log_follower *follower;
 *   bgap_log_follower_setup (&(struct bgap_log_follower_desc){
 *     .base = base, .log = &log, .stream = "config", .ops = &ops,
 *     .context = config }, &follower, &err);
 *   bgap_log_follower_free (follower);
 */

#include <event2/event.h>
#include <stdbool.h>
#include <sys/queue.h>

#include "banyangap/logservice/log_service.h"

/**
 * struct bgap_log_follower_ops - callbacks of the user
 * @next: returns the offset to read from
 * @record: called for each record, in offset order
 * @truncated: the log no longer has the records before offset @first
 * @end: a read has succeeded; @end is the offset that the next appended record
 *   will get
 */
struct bgap_log_follower_ops
{
  int64_t (*next) (void *context);
  void (*record) (void *context, const struct bgap_log_record *record);
  void (*truncated) (void *context, int64_t first);
  void (*end) (void *context, int64_t end);
};

/**
 * struct bgap_log_follower_desc - options; all are required
 * @log: must stay valid until shutdown
 */
struct bgap_log_follower_desc
{
  struct event_base *base;
  const struct bgap_log_ops *log;
  const char *stream;
  const struct bgap_log_follower_ops *ops;
  void *context;
};

struct bgap_log_follower;

LIST_HEAD (bgap_log_follower_list, bgap_log_follower);

/**
 * bgap_log_follower_setup() - start to read
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status
bgap_log_follower_setup (const struct bgap_log_follower_desc *desc,
                         struct bgap_log_follower **out,
                         struct bgap_error *err);

/**
 * bgap_log_follower_shutdown() - stop reading and free the follower; NULL is
 * allowed
 * @closed: list that the follower is in while its last read is in progress;
 *   it is removed and freed when the read completes
 */
void bgap_log_follower_shutdown (struct bgap_log_follower *follower,
                                 struct bgap_log_follower_list *closed);

/**
 * bgap_log_follower_free_closed() - free the followers of the list after the
 * log client was shut down
 */
void bgap_log_follower_free_closed (struct bgap_log_follower_list *closed);

/**
 * bgap_log_follower_free() - free the follower after the log client was shut
 * down, when no read can complete any more; NULL is allowed
 */
void bgap_log_follower_free (struct bgap_log_follower *follower);

/**
 * bgap_log_follower_last_ok_ms() - time of the last successful read, 0 if none
 */
int64_t
bgap_log_follower_last_ok_ms (const struct bgap_log_follower *follower);

#endif
