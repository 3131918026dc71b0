#include "log_call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log_response.h"

/* Size of a path with the longest stream name.  */
#define PATH_SIZE (BGAP_LOG_STREAM_NAME_MAX + 16)

static void _bgap_log_queue_start (struct bgap_log_http *http,
                                   struct append_queue *queue);

/* Removes the call from its queue and starts the next one. The completion
   function is called last because it may shut down the client.  */
static void
_bgap_log_append_complete (struct log_call *call,
                           const struct bgap_log_append_result *result)
{
  struct bgap_log_http *http = call->http;
  struct append_queue *queue = call->queue;
  union log_done done = call->done;
  void *user = call->user;
  event_del (&call->timer);
  bool was_first = call == TAILQ_FIRST (&queue->calls);
  TAILQ_REMOVE (&queue->calls, call, queued);
  bgap_log_call_free (call);
  if (TAILQ_EMPTY (&queue->calls))
    {
      LIST_REMOVE (queue, next);
      free (queue);
    }
  else if (was_first)
    {
      queue->running = false;
      _bgap_log_queue_start (http, queue);
    }
  done.append (user, result);
}

static void
_bgap_log_on_append (void *user, const struct bgap_http_response *response)
{
  struct log_call *call = user;
  struct bgap_error err = { 0 };
  struct bgap_log_response parsed = { 0 };
  struct bgap_log_append_result result
      = { .answer = bgap_log_classify_response (response) };
  bgap_log_set_response_error (response, &err);
  if (result.answer == BGAP_ANSWER_OK
      && bgap_log_response_parse_append (response->body, response->size,
                                         &parsed, &err)
             != BGAP_OK)
    result.answer = BGAP_ANSWER_UNKNOWN;
  if (result.answer == BGAP_ANSWER_OK)
    result.offset = parsed.offset;
  result.message = err.message;
  bgap_log_response_shutdown (&parsed);
  _bgap_log_append_complete (call, &result);
}

static void
_bgap_log_on_queue_timer (evutil_socket_t fd, short events, void *user)
{
  (void)fd;
  (void)events;
  const struct bgap_log_append_result result = {
    .answer = BGAP_ANSWER_REFUSED,
    .message = "the append was not sent within its queue timeout",
  };
  _bgap_log_append_complete (user, &result);
}

static void
_bgap_log_queue_start (struct bgap_log_http *http, struct append_queue *queue)
{
  struct log_call *call = TAILQ_FIRST (&queue->calls);
  char path[PATH_SIZE];
  snprintf (path, sizeof path, "/streams/%s", queue->stream);
  const struct bgap_http_call_desc desc = {
    .method = EVHTTP_REQ_POST,
    .path = path,
    .body = call->record,
    .body_size = call->size,
    .timeout_ms = http->desc.append_timeout_ms,
    .done = _bgap_log_on_append,
    .user = call,
  };
  event_del (&call->timer);
  queue->running = true;
  if (bgap_http_client_start (http->client, &desc) != BGAP_OK)
    event_active (&call->timer, EV_TIMEOUT, 1);
}

static struct append_queue *
_bgap_log_queue_get (struct bgap_log_http *http, const char *stream)
{
  struct append_queue *queue;
  LIST_FOREACH (queue, &http->queues, next)
  {
    if (strcmp (queue->stream, stream) == 0)
      return queue;
  }
  queue = calloc (1, sizeof *queue);
  if (queue == NULL)
    return NULL;
  TAILQ_INIT (&queue->calls);
  memcpy (queue->stream, stream, strlen (stream) + 1);
  LIST_INSERT_HEAD (&http->queues, queue, next);
  return queue;
}

enum bgap_status
bgap_log_http_append (
    void *context, const char *stream, const void *record, size_t size,
    void (*done) (void *user, const struct bgap_log_append_result *result),
    void *user)
{
  struct bgap_log_http *http = context;
  if (!bgap_log_stream_is_valid (stream) || size == 0
      || size > http->desc.record_size_max)
    return BGAP_ERR_INVALID;
  struct log_call *call;
  enum bgap_status status
      = bgap_log_call_new (http, record, size, user, &call);
  if (status != BGAP_OK)
    return status;
  struct append_queue *queue = _bgap_log_queue_get (http, stream);
  if (queue == NULL)
    {
      bgap_log_call_free (call);
      return BGAP_ERR_NO_MEMORY;
    }
  call->done.append = done;
  call->queue = queue;
  event_assign (&call->timer, http->desc.base, -1, 0, _bgap_log_on_queue_timer,
                call);
  TAILQ_INSERT_TAIL (&queue->calls, call, queued);
  const struct timeval limit = {
    .tv_sec = http->desc.queue_timeout_ms / 1000,
    .tv_usec = (suseconds_t)(http->desc.queue_timeout_ms % 1000) * 1000,
  };
  event_add (&call->timer, &limit);
  if (!queue->running)
    _bgap_log_queue_start (http, queue);
  return BGAP_OK;
}
