#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "banyangap/base/log.h"
#include "log_follower.h"
#include "now.h"
#include "requests_private.h"

/* Log stream of the idempotency records of one service.  */
struct stream
{
  char service[BGAP_UPSTREAM_NAME_SIZE];
  char name[BGAP_LOG_STREAM_NAME_MAX + 1];
  struct bgap_service_id id;
  struct bgap_requests *requests;
  struct bgap_log_follower *follower;
  int64_t first_offset;
  struct stream *next;
};

/* An append that the log has not answered yet. Refers to the service by its
   handle, since the stream may be removed before the answer.  */
struct append
{
  struct bgap_idempotency_streams *streams;
  struct bgap_service_id service;
  uint32_t id;
  struct append *prev;
  struct append *next;
};

/* @closed: followers of removed streams, until their last reads complete.  */
struct bgap_idempotency_streams
{
  struct bgap_requests *requests;
  struct stream *list;
  struct append *appends;
  struct bgap_log_follower_list closed;
};

enum bgap_status
bgap_idempotency_streams_setup (struct bgap_requests *requests,
                                struct bgap_idempotency_streams **out)
{
  struct bgap_idempotency_streams *streams = calloc (1, sizeof *streams);
  if (streams == NULL)
    return BGAP_ERR_NO_MEMORY;
  streams->requests = requests;
  LIST_INIT (&streams->closed);
  *out = streams;
  return BGAP_OK;
}

void
bgap_idempotency_streams_shutdown (struct bgap_idempotency_streams *streams)
{
  if (streams == NULL)
    return;
  while (streams->list != NULL)
    {
      struct stream *stream = streams->list;
      streams->list = stream->next;
      bgap_log_follower_free (stream->follower);
      free (stream);
    }
  bgap_log_follower_free_closed (&streams->closed);
  struct append *append;
  struct append *next;
  DL_FOREACH_SAFE (streams->appends, append, next) free (append);
  free (streams);
}

static int64_t
_bgap_idempotency_stream_next (void *context)
{
  const struct stream *stream = context;
  int64_t next = (int64_t)bgap_router_idempotency_applied (
                     &stream->requests->router, stream->id)
                 + 1;
  return next > stream->first_offset ? next : stream->first_offset;
}

static void
_bgap_idempotency_stream_on_record (void *context,
                                    const struct bgap_log_record *record)
{
  struct stream *stream = context;
  struct bgap_error err = { 0 };
  enum bgap_status status = bgap_router_on_idempotency_record (
      &stream->requests->router, bgap_now_ms (), bgap_wall_ms (), stream->id,
      (uint64_t)record->offset, record->data, record->size, &err);
  if (status == BGAP_ERR_PROTOCOL || status == BGAP_ERR_UNAVAILABLE)
    bgap_log_warn ("routing",
                   "idempotency record refused; stream=%s offset=%lld %s",
                   stream->name, (long long)record->offset, err.message);
}

static void
_bgap_idempotency_stream_on_truncated (void *context, int64_t first_offset)
{
  struct stream *stream = context;
  stream->first_offset = first_offset;
}

static void
_bgap_idempotency_stream_on_end (void *context, int64_t end)
{
  struct stream *stream = context;
  bgap_router_on_idempotency_end (&stream->requests->router, bgap_now_ms (),
                                  stream->id, (uint64_t)end);
  bgap_requests_run (stream->requests);
}

static const struct bgap_log_follower_ops follower_ops = {
  .next = _bgap_idempotency_stream_next,
  .record = _bgap_idempotency_stream_on_record,
  .truncated = _bgap_idempotency_stream_on_truncated,
  .end = _bgap_idempotency_stream_on_end,
};

static struct stream *
_bgap_idempotency_streams_find (const struct bgap_idempotency_streams *streams,
                                struct bgap_service_id id)
{
  for (struct stream *stream = streams->list; stream != NULL;
       stream = stream->next)
    if (stream->id.id == id.id)
      return stream;
  return NULL;
}

void
bgap_idempotency_streams_add (struct bgap_idempotency_streams *streams,
                              const char *service, struct bgap_service_id id)
{
  struct bgap_error err = { 0 };
  if (_bgap_idempotency_streams_find (streams, id) != NULL)
    return;
  struct stream *stream = calloc (1, sizeof *stream);
  if (stream == NULL)
    return;
  stream->requests = streams->requests;
  stream->id = id;
  stream->first_offset = 1;
  snprintf (stream->service, sizeof stream->service, "%s", service);
  snprintf (stream->name, sizeof stream->name, "once.%s", service);
  const struct bgap_requests_desc *desc = &streams->requests->desc;
  if (bgap_log_follower_setup (
          &(struct bgap_log_follower_desc){ .base = desc->base,
                                            .log = desc->log,
                                            .stream = stream->name,
                                            .ops = &follower_ops,
                                            .context = stream },
          &stream->follower, &err)
      != BGAP_OK)
    {
      free (stream);
      return;
    }
  stream->next = streams->list;
  streams->list = stream;
}

void
bgap_idempotency_streams_remove (struct bgap_idempotency_streams *streams,
                                 const char *service)
{
  for (struct stream **link = &streams->list; *link != NULL;
       link = &(*link)->next)
    {
      struct stream *stream = *link;
      if (strcmp (stream->service, service) != 0)
        continue;
      *link = stream->next;
      bgap_log_follower_shutdown (stream->follower, &streams->closed);
      free (stream);
      return;
    }
}

bool
bgap_idempotency_streams_has (const struct bgap_idempotency_streams *streams,
                              struct bgap_service_id id)
{
  return _bgap_idempotency_streams_find (streams, id) != NULL;
}

static void
_bgap_idempotency_streams_on_append (
    void *user, const struct bgap_log_append_result *result)
{
  struct append *append = user;
  struct bgap_requests *requests = append->streams->requests;
  DL_DELETE (append->streams->appends, append);
  bgap_router_on_append_done (&requests->router, bgap_now_ms (),
                              append->service, append->id,
                              result->answer == BGAP_ANSWER_OK);
  free (append);
  bgap_requests_run (requests);
}

void
bgap_idempotency_streams_append (struct bgap_idempotency_streams *streams,
                                 const struct bgap_router_action *action)
{
  struct bgap_requests *requests = streams->requests;
  const struct bgap_log_ops *log = requests->desc.log;
  const struct stream *stream
      = _bgap_idempotency_streams_find (streams, action->service);
  struct append *append = calloc (1, sizeof *append);
  enum bgap_status status = BGAP_ERR_NOT_FOUND;
  if (append != NULL && stream != NULL)
    {
      append->streams = streams;
      append->service = action->service;
      append->id = action->append_id;
      status = log->append (log->context, stream->name, action->bytes,
                            action->size, _bgap_idempotency_streams_on_append,
                            append);
    }
  if (status == BGAP_OK)
    {
      DL_APPEND (streams->appends, append);
      return;
    }
  free (append);
  bgap_router_on_append_done (&requests->router, bgap_now_ms (),
                              action->service, action->append_id, false);
}
