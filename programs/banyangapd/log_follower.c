#include "log_follower.h"

#include <stdio.h>
#include <stdlib.h>

#include "banyangap/base/log.h"
#include "now.h"

/* Largest number of records per read, and how long a read waits for the first
   one.  */
#define READ_LIMIT 500
#define READ_WAIT_MS 1000

/* Delay before the next read after a failed one.  */
#define RETRY_MS 200

struct bgap_log_follower
{
  LIST_ENTRY (bgap_log_follower) next;
  const struct bgap_log_ops *log;
  const struct bgap_log_follower_ops *ops;
  void *context;
  char stream[BGAP_LOG_STREAM_NAME_MAX + 1];
  struct event *timer;
  int64_t last_ok_ms;
  bool failing;
  bool reading;
  bool closed;
};

void
bgap_log_follower_free (struct bgap_log_follower *follower)
{
  if (follower == NULL)
    return;
  event_free (follower->timer);
  free (follower);
}

static void
_bgap_log_follower_schedule (struct bgap_log_follower *follower, int delay_ms)
{
  const struct timeval delay = bgap_timeval (delay_ms);
  event_add (follower->timer, &delay);
}

static void
_bgap_log_follower_failed (struct bgap_log_follower *follower,
                           const char *message)
{
  if (!follower->failing)
    bgap_log_warn ("log", "read failed; stream=%s reason=%s", follower->stream,
                   message);
  follower->failing = true;
  _bgap_log_follower_schedule (follower, RETRY_MS);
}

static void
_bgap_log_follower_deliver (struct bgap_log_follower *follower,
                            const struct bgap_log_read_result *result)
{
  if (follower->failing)
    bgap_log_info ("log", "read succeeded again; stream=%s", follower->stream);
  follower->failing = false;
  follower->last_ok_ms = bgap_now_ms ();
  if (result->answer == BGAP_ANSWER_TRUNCATED)
    follower->ops->truncated (follower->context, result->first);
  for (size_t i = 0; i < result->count; i++)
    follower->ops->record (follower->context, &result->records[i]);
  follower->ops->end (follower->context, result->end);
}

static void
_bgap_log_follower_on_read (void *user,
                            const struct bgap_log_read_result *result)
{
  struct bgap_log_follower *follower = user;
  follower->reading = false;
  if (follower->closed)
    {
      LIST_REMOVE (follower, next);
      bgap_log_follower_free (follower);
      return;
    }
  if (result->answer != BGAP_ANSWER_OK
      && result->answer != BGAP_ANSWER_TRUNCATED)
    {
      _bgap_log_follower_failed (follower, result->message);
      return;
    }
  _bgap_log_follower_deliver (follower, result);
  _bgap_log_follower_schedule (follower, 0);
}

static void
_bgap_log_follower_on_timer (evutil_socket_t fd, short what, void *context)
{
  struct bgap_log_follower *follower = context;
  (void)fd;
  (void)what;
  enum bgap_status status = follower->log->read (
      follower->log->context, follower->stream,
      follower->ops->next (follower->context), READ_LIMIT, READ_WAIT_MS,
      _bgap_log_follower_on_read, follower);
  follower->reading = status == BGAP_OK;
  if (!follower->reading)
    _bgap_log_follower_failed (follower, bgap_status_name (status));
}

enum bgap_status
bgap_log_follower_setup (const struct bgap_log_follower_desc *desc,
                         struct bgap_log_follower **out,
                         struct bgap_error *err)
{
  struct bgap_log_follower *follower = calloc (1, sizeof *follower);
  if (follower == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY,
                           "no memory for a log follower");
  follower->log = desc->log;
  follower->ops = desc->ops;
  follower->context = desc->context;
  snprintf (follower->stream, sizeof follower->stream, "%s", desc->stream);
  follower->timer
      = event_new (desc->base, -1, 0, _bgap_log_follower_on_timer, follower);
  if (follower->timer == NULL)
    {
      free (follower);
      return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "no memory for a timer");
    }
  _bgap_log_follower_schedule (follower, 0);
  *out = follower;
  return BGAP_OK;
}

void
bgap_log_follower_shutdown (struct bgap_log_follower *follower,
                            struct bgap_log_follower_list *closed)
{
  if (follower == NULL)
    return;
  follower->closed = true;
  event_del (follower->timer);
  if (follower->reading)
    LIST_INSERT_HEAD (closed, follower, next);
  else
    bgap_log_follower_free (follower);
}

void
bgap_log_follower_free_closed (struct bgap_log_follower_list *closed)
{
  while (!LIST_EMPTY (closed))
    {
      struct bgap_log_follower *follower = LIST_FIRST (closed);
      LIST_REMOVE (follower, next);
      bgap_log_follower_free (follower);
    }
}

int64_t
bgap_log_follower_last_ok_ms (const struct bgap_log_follower *follower)
{
  return follower->last_ok_ms;
}
