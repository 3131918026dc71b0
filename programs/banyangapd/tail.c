#include "tail.h"

#include <stdio.h>
#include <stdlib.h>

#include "banyangap/base/log.h"
#include "now.h"

/* Records per read, and how long a read waits for the first one.  */
#define READ_LIMIT 500
#define READ_WAIT_MS 1000

/* Pause after a failed read.  */
#define RETRY_MS 200

struct bgap_tail
{
  const struct bgap_log_ops *log;
  const struct bgap_tail_ops *ops;
  void *context;
  char stream[BGAP_LOG_STREAM_NAME_MAX + 1];
  struct event *timer;
  int64_t last_ok_ms;
  bool failing;
  bool reading;
  bool closed;
};

void
bgap_tail_free (struct bgap_tail *tail)
{
  if (tail == NULL)
    return;
  event_free (tail->timer);
  free (tail);
}

static void
_bgap_tail_schedule (struct bgap_tail *tail, int delay_ms)
{
  const struct timeval delay = bgap_timeval (delay_ms);
  event_add (tail->timer, &delay);
}

static void
_bgap_tail_failed (struct bgap_tail *tail, const char *message)
{
  if (!tail->failing)
    bgap_log_warn ("log", "read failed; stream=%s reason=%s", tail->stream,
                   message);
  tail->failing = true;
  _bgap_tail_schedule (tail, RETRY_MS);
}

static void
_bgap_tail_deliver (struct bgap_tail *tail,
                    const struct bgap_log_read_result *result)
{
  if (tail->failing)
    bgap_log_info ("log", "reading again; stream=%s", tail->stream);
  tail->failing = false;
  tail->last_ok_ms = bgap_now_ms ();
  if (result->answer == BGAP_ANSWER_TRUNCATED)
    tail->ops->truncated (tail->context, result->first);
  for (size_t i = 0; i < result->count; i++)
    tail->ops->record (tail->context, &result->records[i]);
  tail->ops->end (tail->context, result->end);
}

static void
_bgap_tail_on_read (void *user, const struct bgap_log_read_result *result)
{
  struct bgap_tail *tail = user;
  tail->reading = false;
  if (tail->closed)
    {
      bgap_tail_free (tail);
      return;
    }
  if (result->answer != BGAP_ANSWER_OK
      && result->answer != BGAP_ANSWER_TRUNCATED)
    {
      _bgap_tail_failed (tail, result->message);
      return;
    }
  _bgap_tail_deliver (tail, result);
  _bgap_tail_schedule (tail, 0);
}

static void
_bgap_tail_on_timer (evutil_socket_t fd, short what, void *context)
{
  struct bgap_tail *tail = context;
  (void)fd;
  (void)what;
  enum bgap_status status = tail->log->read (
      tail->log->context, tail->stream, tail->ops->next (tail->context),
      READ_LIMIT, READ_WAIT_MS, _bgap_tail_on_read, tail);
  tail->reading = status == BGAP_OK;
  if (!tail->reading)
    _bgap_tail_failed (tail, bgap_status_name (status));
}

enum bgap_status
bgap_tail_setup (const struct bgap_tail_desc *desc, struct bgap_tail **out,
                 struct bgap_error *err)
{
  struct bgap_tail *tail = calloc (1, sizeof *tail);
  if (tail == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "no memory for a stream");
  tail->log = desc->log;
  tail->ops = desc->ops;
  tail->context = desc->context;
  snprintf (tail->stream, sizeof tail->stream, "%s", desc->stream);
  tail->timer = event_new (desc->base, -1, 0, _bgap_tail_on_timer, tail);
  if (tail->timer == NULL)
    {
      free (tail);
      return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "no memory for a timer");
    }
  _bgap_tail_schedule (tail, 0);
  *out = tail;
  return BGAP_OK;
}

void
bgap_tail_shutdown (struct bgap_tail *tail)
{
  if (tail == NULL)
    return;
  tail->closed = true;
  event_del (tail->timer);
  if (!tail->reading)
    bgap_tail_free (tail);
}

int64_t
bgap_tail_last_ok_ms (const struct bgap_tail *tail)
{
  return tail->last_ok_ms;
}
