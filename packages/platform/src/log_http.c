#include "banyangap/platform/log_http.h"

#include <event2/event_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "http_client.h"
#include "log_answer.h"

#define DEFAULT_APPEND_TIMEOUT_MS 2000
#define DEFAULT_READ_TIMEOUT_MS 2000
#define DEFAULT_QUEUE_TIMEOUT_MS 5000
#define DEFAULT_CALLS_MAX 256
#define DEFAULT_RECORD_SIZE_MAX 262144
#define DEFAULT_RESPONSE_SIZE_MAX 4194304

/* Longest wait of a read, an hour in milliseconds.  */
#define WAIT_MAX_MS 3600000

/* Records per read.  */
#define LIMIT_MAX 100000

/* Path with its longest stream name and three numbers.  */
#define PATH_SIZE (BGAP_LOG_STREAM_NAME_MAX + 128)

union log_done
{
  void (*append) (void *user, const struct bgap_log_append_result *result);
  void (*read) (void *user, const struct bgap_log_read_result *result);
  void (*end) (void *user, const struct bgap_log_end_result *result);
};

struct log_call
{
  LIST_ENTRY (log_call) next;
  TAILQ_ENTRY (log_call) queued;
  struct bgap_log_http *http;
  struct append_queue *queue;
  struct event timer;
  union log_done done;
  void *user;
  int64_t from;
  uint32_t limit;
  size_t size;
  char record[];
};

TAILQ_HEAD (log_call_queue, log_call);
LIST_HEAD (log_call_list, log_call);

/* Appends of one stream; exists while it has any. The first one is running
   if @running, the others wait.  */
struct append_queue
{
  LIST_ENTRY (append_queue) next;
  struct log_call_queue calls;
  bool running;
  char stream[BGAP_LOG_STREAM_NAME_MAX + 1];
};

LIST_HEAD (append_queue_list, append_queue);

struct bgap_log_http
{
  struct bgap_log_http_desc desc;
  struct bgap_http_client *client;
  struct log_call_list calls;
  uint32_t call_count;
  struct append_queue_list queues;
};

static bool
_bgap_log_stream_is_valid (const char *stream)
{
  size_t size = strlen (stream);
  return size > 0 && size <= BGAP_LOG_STREAM_NAME_MAX
         && strspn (stream, "abcdefghijklmnopqrstuvwxyz"
                            "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-")
                == size;
}

static enum bgap_status
_bgap_log_call_new (struct bgap_log_http *http, const void *record,
                    size_t size, void *user, struct log_call **out)
{
  if (http->call_count >= http->desc.calls_max)
    return BGAP_ERR_FULL;
  struct log_call *call = calloc (1, sizeof *call + size);
  if (call == NULL)
    return BGAP_ERR_NO_MEMORY;
  call->http = http;
  call->user = user;
  call->size = size;
  if (size > 0)
    memcpy (call->record, record, size);
  LIST_INSERT_HEAD (&http->calls, call, next);
  http->call_count++;
  *out = call;
  return BGAP_OK;
}

static void
_bgap_log_call_free (struct log_call *call)
{
  LIST_REMOVE (call, next);
  call->http->call_count--;
  free (call);
}

static void _bgap_log_queue_start (struct bgap_log_http *http,
                                   struct append_queue *queue);

/* Takes the call out of its queue and starts the next one. The completion
   function comes last because it may shut the client down.  */
static void
_bgap_log_append_end (struct log_call *call,
                      const struct bgap_log_append_result *result)
{
  struct bgap_log_http *http = call->http;
  struct append_queue *queue = call->queue;
  union log_done done = call->done;
  void *user = call->user;
  event_del (&call->timer);
  bool was_first = call == TAILQ_FIRST (&queue->calls);
  TAILQ_REMOVE (&queue->calls, call, queued);
  _bgap_log_call_free (call);
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

/* Only 4xx and 503 say that the log did not take the record; other errors can
   come from something between us and the log.  */
static enum bgap_answer
_bgap_log_answer_of (const struct bgap_http_reply *reply)
{
  if (reply->status == 200)
    return BGAP_ANSWER_OK;
  if (reply->status == 0)
    return reply->sent ? BGAP_ANSWER_UNKNOWN : BGAP_ANSWER_REFUSED;
  if ((reply->status >= 400 && reply->status < 500) || reply->status == 503)
    return BGAP_ANSWER_REFUSED;
  return BGAP_ANSWER_UNKNOWN;
}

static void
_bgap_log_describe (const struct bgap_http_reply *reply,
                    struct bgap_error *err)
{
  if (reply->status == 0)
    bgap_error_set (err, BGAP_ERR_IO, "%s", reply->message);
  else if (reply->status != 200)
    bgap_error_set (err, BGAP_ERR_UNAVAILABLE,
                    "the log answered with status %d", reply->status);
}

static void
_bgap_log_on_append (void *user, const struct bgap_http_reply *reply)
{
  struct log_call *call = user;
  struct bgap_error err = { 0 };
  struct bgap_log_answer answer = { 0 };
  struct bgap_log_append_result result
      = { .answer = _bgap_log_answer_of (reply) };
  _bgap_log_describe (reply, &err);
  if (result.answer == BGAP_ANSWER_OK
      && bgap_log_answer_parse_append (reply->body, reply->size, &answer, &err)
             != BGAP_OK)
    result.answer = BGAP_ANSWER_UNKNOWN;
  if (result.answer == BGAP_ANSWER_OK)
    result.offset = answer.offset;
  result.message = err.message;
  bgap_log_answer_shutdown (&answer);
  _bgap_log_append_end (call, &result);
}

static void
_bgap_log_on_queue_timer (evutil_socket_t fd, short events, void *user)
{
  (void)fd;
  (void)events;
  const struct bgap_log_append_result result = {
    .answer = BGAP_ANSWER_REFUSED,
    .message = "the record waited too long behind earlier ones",
  };
  _bgap_log_append_end (user, &result);
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

static enum bgap_status
_bgap_log_http_append (
    void *context, const char *stream, const void *record, size_t size,
    void (*done) (void *user, const struct bgap_log_append_result *result),
    void *user)
{
  struct bgap_log_http *http = context;
  if (!_bgap_log_stream_is_valid (stream) || size == 0
      || size > http->desc.record_size_max)
    return BGAP_ERR_INVALID;
  struct log_call *call;
  enum bgap_status status
      = _bgap_log_call_new (http, record, size, user, &call);
  if (status != BGAP_OK)
    return status;
  struct append_queue *queue = _bgap_log_queue_get (http, stream);
  if (queue == NULL)
    {
      _bgap_log_call_free (call);
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

static void
_bgap_log_on_read (void *user, const struct bgap_http_reply *reply)
{
  struct log_call *call = user;
  struct bgap_error err = { 0 };
  struct bgap_log_answer answer = { 0 };
  struct bgap_log_read_result result
      = { .answer = _bgap_log_answer_of (reply) };
  enum bgap_status status = BGAP_OK;
  _bgap_log_describe (reply, &err);
  if (reply->status == 410)
    {
      result.answer = BGAP_ANSWER_TRUNCATED;
      status = bgap_log_answer_parse_bounds (reply->body, reply->size, &answer,
                                             &err);
    }
  else if (reply->status == 200)
    status = bgap_log_answer_parse_read (reply->body, reply->size, call->from,
                                         call->limit, &answer, &err);
  if (status != BGAP_OK)
    result.answer = BGAP_ANSWER_UNKNOWN;
  else
    {
      result.first = answer.first;
      result.end = answer.end;
      result.records = answer.records;
      result.count = answer.count;
    }
  result.message = err.message;
  void (*done) (void *, const struct bgap_log_read_result *) = call->done.read;
  void *done_user = call->user;
  _bgap_log_call_free (call);
  done (done_user, &result);
  bgap_log_answer_shutdown (&answer);
}

static enum bgap_status
_bgap_log_http_read (void *context, const char *stream, int64_t from,
                     uint32_t limit, uint32_t wait_ms,
                     void (*done) (void *user,
                                   const struct bgap_log_read_result *result),
                     void *user)
{
  struct bgap_log_http *http = context;
  if (!_bgap_log_stream_is_valid (stream) || from < 1 || limit == 0
      || limit > LIMIT_MAX || wait_ms > WAIT_MAX_MS)
    return BGAP_ERR_INVALID;
  struct log_call *call;
  enum bgap_status status = _bgap_log_call_new (http, NULL, 0, user, &call);
  if (status != BGAP_OK)
    return status;
  call->done.read = done;
  call->from = from;
  call->limit = limit;
  char path[PATH_SIZE];
  snprintf (path, sizeof path, "/streams/%s?from=%lld&limit=%u&wait_ms=%u",
            stream, (long long)from, limit, wait_ms);
  const struct bgap_http_call_desc desc = {
    .method = EVHTTP_REQ_GET,
    .path = path,
    .timeout_ms = wait_ms + http->desc.read_timeout_ms,
    .done = _bgap_log_on_read,
    .user = call,
  };
  status = bgap_http_client_start (http->client, &desc);
  if (status != BGAP_OK)
    _bgap_log_call_free (call);
  return status;
}

static void
_bgap_log_on_end (void *user, const struct bgap_http_reply *reply)
{
  struct log_call *call = user;
  struct bgap_error err = { 0 };
  struct bgap_log_answer answer = { 0 };
  struct bgap_log_end_result result
      = { .answer = _bgap_log_answer_of (reply) };
  _bgap_log_describe (reply, &err);
  if (result.answer == BGAP_ANSWER_OK
      && bgap_log_answer_parse_bounds (reply->body, reply->size, &answer, &err)
             != BGAP_OK)
    result.answer = BGAP_ANSWER_UNKNOWN;
  if (result.answer == BGAP_ANSWER_OK)
    {
      result.first = answer.first;
      result.end = answer.end;
    }
  result.message = err.message;
  bgap_log_answer_shutdown (&answer);
  void (*done) (void *, const struct bgap_log_end_result *) = call->done.end;
  void *done_user = call->user;
  _bgap_log_call_free (call);
  done (done_user, &result);
}

static enum bgap_status
_bgap_log_http_end (void *context, const char *stream,
                    void (*done) (void *user,
                                  const struct bgap_log_end_result *result),
                    void *user)
{
  struct bgap_log_http *http = context;
  if (!_bgap_log_stream_is_valid (stream))
    return BGAP_ERR_INVALID;
  struct log_call *call;
  enum bgap_status status = _bgap_log_call_new (http, NULL, 0, user, &call);
  if (status != BGAP_OK)
    return status;
  call->done.end = done;
  char path[PATH_SIZE];
  snprintf (path, sizeof path, "/streams/%s/end", stream);
  const struct bgap_http_call_desc desc = {
    .method = EVHTTP_REQ_GET,
    .path = path,
    .timeout_ms = http->desc.read_timeout_ms,
    .done = _bgap_log_on_end,
    .user = call,
  };
  status = bgap_http_client_start (http->client, &desc);
  if (status != BGAP_OK)
    _bgap_log_call_free (call);
  return status;
}

enum bgap_status
bgap_log_http_setup (struct bgap_log_http **http,
                     const struct bgap_log_http_desc *desc,
                     struct bgap_error *err)
{
  if (desc->base == NULL)
    return bgap_error_set (err, BGAP_ERR_INVALID, "the event loop is missing");
  struct bgap_log_http *h = calloc (1, sizeof *h);
  if (h == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  h->desc = *desc;
  h->desc.address = NULL;
  if (h->desc.append_timeout_ms == 0)
    h->desc.append_timeout_ms = DEFAULT_APPEND_TIMEOUT_MS;
  if (h->desc.read_timeout_ms == 0)
    h->desc.read_timeout_ms = DEFAULT_READ_TIMEOUT_MS;
  if (h->desc.queue_timeout_ms == 0)
    h->desc.queue_timeout_ms = DEFAULT_QUEUE_TIMEOUT_MS;
  if (h->desc.calls_max == 0)
    h->desc.calls_max = DEFAULT_CALLS_MAX;
  if (h->desc.record_size_max == 0)
    h->desc.record_size_max = DEFAULT_RECORD_SIZE_MAX;
  if (h->desc.response_size_max == 0)
    h->desc.response_size_max = DEFAULT_RESPONSE_SIZE_MAX;
  LIST_INIT (&h->calls);
  LIST_INIT (&h->queues);
  enum bgap_status status = bgap_http_client_setup (
      &h->client, desc->base, desc->address, h->desc.response_size_max, err);
  if (status != BGAP_OK)
    {
      free (h);
      return status;
    }
  *http = h;
  return BGAP_OK;
}

struct bgap_log_ops
bgap_log_http_ops (struct bgap_log_http *http)
{
  return (struct bgap_log_ops){
    .append = _bgap_log_http_append,
    .read = _bgap_log_http_read,
    .end = _bgap_log_http_end,
    .context = http,
  };
}

void
bgap_log_http_shutdown (struct bgap_log_http *http)
{
  if (http == NULL)
    return;
  bgap_http_client_shutdown (http->client);
  struct append_queue *queue;
  while ((queue = LIST_FIRST (&http->queues)) != NULL)
    {
      struct log_call *call;
      TAILQ_FOREACH (call, &queue->calls, queued) { event_del (&call->timer); }
      LIST_REMOVE (queue, next);
      free (queue);
    }
  struct log_call *call;
  while ((call = LIST_FIRST (&http->calls)) != NULL)
    _bgap_log_call_free (call);
  free (http);
}
