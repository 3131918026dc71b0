#include "control_call.h"

#include <stdio.h>
#include <stdlib.h>

#include "upstreams_private.h"

/* A server that takes longer misses this renewal. The next one follows after
   200 ms.  */
#define CONTROL_DEADLINE_MS 400

/* Largest size of an answer in bytes; body data beyond it is dropped.  */
#define ANSWER_MAX 65536

struct bgap_control_call
{
  LIST_ENTRY (bgap_control_call) next;
  char upstream[BGAP_UPSTREAM_NAME_SIZE];
  struct bgap_buffer request;
  struct bgap_buffer answer;
  int status;
  void (*done) (void *context, const struct bgap_control_result *result);
  void *context;
};

static void
_bgap_control_free (struct bgap_control_call *call)
{
  bgap_buffer_shutdown (&call->request);
  bgap_buffer_shutdown (&call->answer);
  free (call);
}

static void
_bgap_control_on_head (void *user, int status,
                       const struct bgap_headers *headers)
{
  struct bgap_control_call *call = user;
  (void)headers;
  call->status = status;
}

static void
_bgap_control_on_body (void *user, const void *bytes, size_t size)
{
  struct bgap_control_call *call = user;
  if (call->answer.size + size <= ANSWER_MAX)
    bgap_buffer_append (&call->answer, bytes, size);
}

static void
_bgap_control_on_end (void *user, enum bgap_call_end end)
{
  struct bgap_control_call *call = user;
  const struct bgap_control_result result = {
    .upstream = call->upstream,
    .end = end,
    .status = end == BGAP_CALL_COMPLETE ? call->status : 0,
    .body = call->answer.data,
    .body_size = call->answer.size,
  };
  LIST_REMOVE (call, next);
  call->done (call->context, &result);
  _bgap_control_free (call);
}

static const struct bgap_call_ops control_ops = {
  .head = _bgap_control_on_head,
  .body = _bgap_control_on_body,
  .end = _bgap_control_on_end,
};

enum bgap_status
bgap_control_call (struct bgap_upstreams *upstreams,
                   const struct bgap_upstream *upstream, const char *target,
                   const void *bytes, size_t size,
                   void (*done) (void *context,
                                 const struct bgap_control_result *result),
                   void *context)
{
  struct bgap_control_call *call = calloc (1, sizeof *call);
  if (call == NULL)
    return BGAP_ERR_NO_MEMORY;
  snprintf (call->upstream, sizeof call->upstream, "%s", upstream->name);
  call->done = done;
  call->context = context;
  enum bgap_status status = bgap_buffer_append (&call->request, bytes, size);
  uint32_t id = 0;
  if (status == BGAP_OK)
    status = bgap_upstream_call (
        upstreams, upstream,
        &(struct bgap_call){ .control = true,
                             .method = "POST",
                             .target = target,
                             .body = call->request.data,
                             .body_size = call->request.size,
                             .deadline_ms = CONTROL_DEADLINE_MS,
                             .ops = &control_ops,
                             .user = call },
        &id);
  if (status == BGAP_OK)
    LIST_INSERT_HEAD (&upstreams->control_calls, call, next);
  else
    _bgap_control_free (call);
  return status;
}

void
bgap_control_calls_shutdown (struct bgap_upstreams *upstreams)
{
  while (!LIST_EMPTY (&upstreams->control_calls))
    {
      struct bgap_control_call *call = LIST_FIRST (&upstreams->control_calls);
      LIST_REMOVE (call, next);
      _bgap_control_free (call);
    }
}
