#include "log_call.h"

#include <stdlib.h>
#include <string.h>

bool
bgap_log_stream_is_valid (const char *stream)
{
  size_t size = strlen (stream);
  return size > 0 && size <= BGAP_LOG_STREAM_NAME_MAX
         && strspn (stream, "abcdefghijklmnopqrstuvwxyz"
                            "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-")
                == size;
}

enum bgap_status
bgap_log_call_new (struct bgap_log_http *http, const void *record, size_t size,
                   void *user, struct log_call **out)
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

void
bgap_log_call_free (struct log_call *call)
{
  LIST_REMOVE (call, next);
  call->http->call_count--;
  free (call);
}

/* Only 4xx and 503 prove that the log did not append the record; other errors
   can originate from an intermediary between client and log.  */
enum bgap_answer
bgap_log_classify_response (const struct bgap_http_response *response)
{
  if (response->status == 200)
    return BGAP_ANSWER_OK;
  if (response->status == 0)
    return response->sent ? BGAP_ANSWER_UNKNOWN : BGAP_ANSWER_REFUSED;
  if ((response->status >= 400 && response->status < 500)
      || response->status == 503)
    return BGAP_ANSWER_REFUSED;
  return BGAP_ANSWER_UNKNOWN;
}

void
bgap_log_set_response_error (const struct bgap_http_response *response,
                             struct bgap_error *err)
{
  if (response->status == 0)
    bgap_error_set (err, BGAP_ERR_IO, "%s", response->message);
  else if (response->status != 200)
    bgap_error_set (err, BGAP_ERR_UNAVAILABLE,
                    "the log responded with HTTP status %d", response->status);
}

void
bgap_log_cancel_all (struct bgap_log_http *http)
{
  struct append_queue *queue = LIST_FIRST (&http->queues);
  while (queue != NULL)
    {
      struct append_queue *next = LIST_NEXT (queue, next);
      struct log_call *call;
      TAILQ_FOREACH (call, &queue->calls, queued) { event_del (&call->timer); }
      free (queue);
      queue = next;
    }
  struct log_call *call = LIST_FIRST (&http->calls);
  while (call != NULL)
    {
      struct log_call *next = LIST_NEXT (call, next);
      bgap_log_call_free (call);
      call = next;
    }
}
