#include "banyangap/logservice/log_http.h"

#include <stdio.h>
#include <stdlib.h>

#include "log_call.h"
#include "log_response.h"

#define DEFAULT_APPEND_TIMEOUT_MS 2000
#define DEFAULT_READ_TIMEOUT_MS 2000
#define DEFAULT_QUEUE_TIMEOUT_MS 5000
#define DEFAULT_CALLS_MAX 256
#define DEFAULT_RECORD_SIZE_MAX 262144
#define DEFAULT_RESPONSE_SIZE_MAX 4194304

/* Maximum wait of a read: one hour.  */
#define WAIT_MAX_MS 3600000

/* Maximum number of records per read.  */
#define LIMIT_MAX 100000

/* Size of a path with the longest stream name and three numbers.  */
#define PATH_SIZE (BGAP_LOG_STREAM_NAME_MAX + 128)

static enum bgap_status _bgap_log_start_read (struct log_call *call);

/* Reads fewer records after a response that was too large: the same read would
   have the same response for ever. Returns whether it was started.  */
static bool
_bgap_log_read_fewer (struct log_call *call)
{
  if (call->limit == 1)
    return false;
  call->limit /= 2;
  return _bgap_log_start_read (call) == BGAP_OK;
}

static void
_bgap_log_on_read (void *user, const struct bgap_http_response *response)
{
  struct log_call *call = user;
  struct bgap_error err = { 0 };
  struct bgap_log_response parsed = { 0 };
  if (response->too_large && _bgap_log_read_fewer (call))
    return;
  struct bgap_log_read_result result
      = { .answer = bgap_log_classify_response (response) };
  enum bgap_status status = BGAP_OK;
  bgap_log_set_response_error (response, &err);
  if (response->status == 410)
    {
      result.answer = BGAP_ANSWER_TRUNCATED;
      status = bgap_log_response_parse_bounds (response->body, response->size,
                                               &parsed, &err);
    }
  else if (response->status == 200)
    status = bgap_log_response_parse_read (response->body, response->size,
                                           call->from, call->limit, &parsed,
                                           &err);
  if (status != BGAP_OK)
    result.answer = BGAP_ANSWER_UNKNOWN;
  else
    {
      result.first = parsed.first;
      result.end = parsed.end;
      result.records = parsed.records;
      result.count = parsed.count;
    }
  result.message = err.message;
  void (*done) (void *, const struct bgap_log_read_result *) = call->done.read;
  void *done_user = call->user;
  bgap_log_call_free (call);
  done (done_user, &result);
  bgap_log_response_shutdown (&parsed);
}

static enum bgap_status
_bgap_log_start_read (struct log_call *call)
{
  char path[PATH_SIZE];
  snprintf (path, sizeof path, "/streams/%s?from=%lld&limit=%u&wait_ms=%u",
            call->stream, (long long)call->from, call->limit, call->wait_ms);
  const struct bgap_http_call_desc desc = {
    .method = EVHTTP_REQ_GET,
    .path = path,
    .timeout_ms = call->wait_ms + call->http->desc.read_timeout_ms,
    .done = _bgap_log_on_read,
    .user = call,
  };
  return bgap_http_client_start (call->http->client, &desc);
}

static enum bgap_status
_bgap_log_http_read (void *context, const char *stream, int64_t from,
                     uint32_t limit, uint32_t wait_ms,
                     void (*done) (void *user,
                                   const struct bgap_log_read_result *result),
                     void *user)
{
  struct bgap_log_http *http = context;
  if (!bgap_log_stream_is_valid (stream) || from < 1 || limit == 0
      || limit > LIMIT_MAX || wait_ms > WAIT_MAX_MS)
    return BGAP_ERR_INVALID;
  struct log_call *call;
  enum bgap_status status = bgap_log_call_new (http, NULL, 0, user, &call);
  if (status != BGAP_OK)
    return status;
  call->done.read = done;
  call->from = from;
  call->limit = limit;
  call->wait_ms = wait_ms;
  snprintf (call->stream, sizeof call->stream, "%s", stream);
  status = _bgap_log_start_read (call);
  if (status != BGAP_OK)
    bgap_log_call_free (call);
  return status;
}

static void
_bgap_log_on_bounds (void *user, const struct bgap_http_response *response)
{
  struct log_call *call = user;
  struct bgap_error err = { 0 };
  struct bgap_log_response parsed = { 0 };
  struct bgap_log_bounds_result result
      = { .answer = bgap_log_classify_response (response) };
  bgap_log_set_response_error (response, &err);
  if (result.answer == BGAP_ANSWER_OK
      && bgap_log_response_parse_bounds (response->body, response->size,
                                         &parsed, &err)
             != BGAP_OK)
    result.answer = BGAP_ANSWER_UNKNOWN;
  if (result.answer == BGAP_ANSWER_OK)
    {
      result.first = parsed.first;
      result.end = parsed.end;
    }
  result.message = err.message;
  bgap_log_response_shutdown (&parsed);
  void (*done) (void *, const struct bgap_log_bounds_result *)
      = call->done.bounds;
  void *done_user = call->user;
  bgap_log_call_free (call);
  done (done_user, &result);
}

static enum bgap_status
_bgap_log_http_bounds (
    void *context, const char *stream,
    void (*done) (void *user, const struct bgap_log_bounds_result *result),
    void *user)
{
  struct bgap_log_http *http = context;
  if (!bgap_log_stream_is_valid (stream))
    return BGAP_ERR_INVALID;
  struct log_call *call;
  enum bgap_status status = bgap_log_call_new (http, NULL, 0, user, &call);
  if (status != BGAP_OK)
    return status;
  call->done.bounds = done;
  char path[PATH_SIZE];
  snprintf (path, sizeof path, "/streams/%s/end", stream);
  const struct bgap_http_call_desc desc = {
    .method = EVHTTP_REQ_GET,
    .path = path,
    .timeout_ms = http->desc.read_timeout_ms,
    .done = _bgap_log_on_bounds,
    .user = call,
  };
  status = bgap_http_client_start (http->client, &desc);
  if (status != BGAP_OK)
    bgap_log_call_free (call);
  return status;
}

enum bgap_status
bgap_log_http_setup (struct bgap_log_http **http,
                     const struct bgap_log_http_desc *desc,
                     struct bgap_error *err)
{
  if (desc->base == NULL)
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "the event loop is required");
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
    .append = bgap_log_http_append,
    .read = _bgap_log_http_read,
    .bounds = _bgap_log_http_bounds,
    .context = http,
  };
}

void
bgap_log_http_shutdown (struct bgap_log_http *http)
{
  if (http == NULL)
    return;
  bgap_http_client_shutdown (http->client);
  bgap_log_cancel_all (http);
  free (http);
}
