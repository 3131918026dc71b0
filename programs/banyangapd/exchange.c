#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/routing/idempotency.h"
#include "now.h"
#include "requests_private.h"

/* Header of a request that another instance has forwarded.  */
#define FORWARDED_HEADER "Bgap-Forwarded"

/* forward_end of an attempt whose answer comes from the server.  */
#define FORWARD_ANSWERED (-1)

static bool
_bgap_exchange_copy (struct bgap_exchange *exchange,
                     const struct bgap_frontend_request *request)
{
  exchange->parts = request->parts;
  snprintf (exchange->method, sizeof exchange->method, "%s", request->method);
  exchange->target = strdup (request->target);
  return exchange->target != NULL
         && bgap_headers_copy (&exchange->headers, &request->headers)
                == BGAP_OK
         && bgap_buffer_append (&exchange->body, request->body,
                                request->body_size)
                == BGAP_OK;
}

struct bgap_exchange *
bgap_exchange_new (struct bgap_requests *requests, struct bgap_exchange_id id,
                   const struct bgap_frontend_request *request)
{
  struct bgap_exchange *exchange = calloc (1, sizeof *exchange);
  if (exchange == NULL)
    return NULL;
  exchange->requests = requests;
  exchange->id = id.id;
  int size = snprintf (exchange->service, sizeof exchange->service, "%s.%s",
                       request->parts.owner, request->parts.service);
  if (size >= (int)sizeof exchange->service
      || !_bgap_exchange_copy (exchange, request))
    {
      exchange->caller_gone = true;
      bgap_exchange_free (exchange);
      return NULL;
    }
  HASH_ADD_INT (requests->exchanges, id, exchange);
  return exchange;
}

void
bgap_exchange_free (struct bgap_exchange *exchange)
{
  if (!exchange->caller_gone)
    HASH_DEL (exchange->requests->exchanges, exchange);
  if (exchange->detached)
    LIST_REMOVE (exchange, next_detached);
  bgap_headers_shutdown (&exchange->headers);
  bgap_buffer_shutdown (&exchange->body);
  bgap_buffer_shutdown (&exchange->kept_body);
  free (exchange->target);
  free (exchange);
}

static bool
_bgap_exchange_needs_forwarding (const struct bgap_exchange *exchange)
{
  return exchange->route.via[0] != '\0'
         && strcmp (exchange->route.via,
                    exchange->requests->desc.settings->name)
                != 0;
}

bool
bgap_exchange_lookup (struct bgap_exchange *exchange,
                      struct bgap_server_id *holder)
{
  const struct bgap_requests_desc *desc = &exchange->requests->desc;
  holder->id = BGAP_INVALID_ID;
  exchange->route = (struct bgap_cell_route){ 0 };
  if (!bgap_cells_lookup (desc->cells, exchange->service, exchange->parts.key,
                          exchange->parts.key_size, &exchange->route))
    return false;
  if (!exchange->route.held)
    return true;
  /* A server that does not check grants gets requests only from the instance
     that holds its lease. A forwarded request is not forwarded again, since
     the sender's route was out of date.  */
  if (_bgap_exchange_needs_forwarding (exchange)
      && bgap_headers_find (&exchange->headers, FORWARDED_HEADER) != NULL)
    return true;
  const struct bgap_upstream *upstream
      = bgap_upstreams_find (desc->upstreams, exchange->route.server);
  if (upstream != NULL)
    holder->id = upstream->router_id;
  return true;
}

static void
_bgap_exchange_report_result (struct bgap_exchange *exchange,
                              const struct bgap_attempt_result *result)
{
  struct bgap_requests *requests = exchange->requests;
  bgap_router_on_attempt (&requests->router, bgap_now_ms (), exchange->attempt,
                          result);
}

static void
_bgap_exchange_start_response (struct bgap_exchange *exchange,
                               const struct bgap_headers *headers)
{
  struct bgap_headers answer = { 0 };
  if (bgap_headers_copy (&answer, headers) != BGAP_OK
      || bgap_headers_set (&answer, "Bgap-Outcome", "answered") != BGAP_OK
      || bgap_frontend_start (exchange->requests->frontend,
                              (struct bgap_exchange_id){ exchange->id },
                              exchange->status, &answer)
             != BGAP_OK)
    bgap_frontend_abort (exchange->requests->frontend,
                         (struct bgap_exchange_id){ exchange->id });
  exchange->streaming = true;
  bgap_headers_shutdown (&answer);
}

/* Return: whether the forwarding instance answered instead of the server.  */
static bool
_bgap_exchange_is_forwarder_error (struct bgap_exchange *exchange,
                                   const struct bgap_headers *headers)
{
  const char *outcome = bgap_headers_find (headers, "Bgap-Outcome");
  if (outcome == NULL || strcmp (outcome, "unknown") == 0)
    exchange->forward_end = BGAP_CALL_BROKEN;
  else if (strcmp (outcome, "not-run") == 0)
    exchange->forward_end = BGAP_CALL_FENCED;
  return exchange->forward_end != FORWARD_ANSWERED;
}

static void
_bgap_exchange_on_head (void *user, int status,
                        const struct bgap_headers *headers)
{
  struct bgap_exchange *exchange = user;
  const char *type = bgap_headers_find (headers, "Content-Type");
  if (exchange->forwarded
      && _bgap_exchange_is_forwarder_error (exchange, headers))
    return;
  exchange->status = status;
  snprintf (exchange->content_type, sizeof exchange->content_type, "%s",
            type != NULL ? type : "");
  _bgap_exchange_report_result (
      exchange, &(struct bgap_attempt_result){ .kind = BGAP_RESULT_STARTED,
                                               .http_status = status });
  if (!exchange->caller_gone)
    _bgap_exchange_start_response (exchange, headers);
  bgap_requests_run (exchange->requests);
}

static void
_bgap_exchange_store_body (struct bgap_exchange *exchange, const void *bytes,
                           size_t size)
{
  if (!exchange->keep_body || exchange->body_dropped)
    return;
  if (exchange->kept_body.size + size > BGAP_IDEMPOTENCY_BODY_MAX
      || bgap_buffer_append (&exchange->kept_body, bytes, size) != BGAP_OK)
    {
      exchange->body_dropped = true;
      bgap_buffer_shutdown (&exchange->kept_body);
    }
}

static void
_bgap_exchange_on_body (void *user, const void *bytes, size_t size)
{
  struct bgap_exchange *exchange = user;
  struct bgap_exchange_id id = { exchange->id };
  if (exchange->forward_end != FORWARD_ANSWERED)
    return;
  _bgap_exchange_store_body (exchange, bytes, size);
  if (exchange->caller_gone)
    return;
  struct bgap_requests *requests = exchange->requests;
  bgap_frontend_write (requests->frontend, id, bytes, size);
  if (bgap_frontend_is_full (requests->frontend, id))
    bgap_upstreams_pause (requests->desc.upstreams, exchange->call, true);
}

static void
_bgap_exchange_on_end (void *user, enum bgap_call_end end)
{
  static const enum bgap_result_kind kinds[] = {
    [BGAP_CALL_COMPLETE] = BGAP_RESULT_COMPLETE,
    [BGAP_CALL_FENCED] = BGAP_RESULT_FENCED,
    [BGAP_CALL_SHED] = BGAP_RESULT_SHED,
    [BGAP_CALL_DRAINING] = BGAP_RESULT_DRAINING,
    [BGAP_CALL_NO_CONNECT] = BGAP_RESULT_NO_CONNECT,
    [BGAP_CALL_BROKEN] = BGAP_RESULT_BROKEN,
    [BGAP_CALL_TIMEOUT] = BGAP_RESULT_TIMEOUT,
  };
  struct bgap_exchange *exchange = user;
  struct bgap_requests *requests = exchange->requests;
  exchange->calling = false;
  bgap_exchange_end_lease (exchange);
  if (end == BGAP_CALL_COMPLETE && exchange->forward_end != FORWARD_ANSWERED)
    end = (enum bgap_call_end)exchange->forward_end;
  const struct bgap_attempt_result result = {
    .kind = kinds[end],
    .http_status = exchange->status,
    .body = exchange->kept_body.data,
    .body_size = exchange->kept_body.size,
    .body_dropped = exchange->body_dropped || !exchange->keep_body,
    .content_type = exchange->content_type,
  };
  bool failed = end == BGAP_CALL_BROKEN || end == BGAP_CALL_NO_CONNECT;
  if (failed && !exchange->forwarded)
    bgap_probes_trigger (requests->probes, exchange->server);
  _bgap_exchange_report_result (exchange, &result);
  if (exchange->caller_gone)
    bgap_exchange_free (exchange);
  bgap_requests_run (requests);
}

static const struct bgap_call_ops call_ops = {
  .head = _bgap_exchange_on_head,
  .body = _bgap_exchange_on_body,
  .end = _bgap_exchange_on_end,
};

static enum bgap_status
_bgap_exchange_set_headers (struct bgap_exchange *exchange,
                            const struct bgap_router_action *action)
{
  struct bgap_headers *headers = &exchange->headers;
  char text[64];
  snprintf (text, sizeof text, "%016llx-%llx",
            (unsigned long long)exchange->requests->request_prefix,
            (unsigned long long)++exchange->requests->last_request);
  enum bgap_status status
      = bgap_headers_set (headers, "Bgap-Request-Id", text);
  snprintf (text, sizeof text, "%lld", (long long)action->deadline_ms);
  if (status == BGAP_OK)
    status = bgap_headers_set (headers, "Bgap-Deadline-Ms", text);
  bgap_headers_remove (headers, FORWARDED_HEADER);
  if (exchange->forwarded && status == BGAP_OK)
    status = bgap_headers_set (headers, FORWARDED_HEADER, "1");
  bgap_headers_remove (headers, "Bgap-Token");
  bgap_headers_remove (headers, "Bgap-Slice");
  if (!exchange->keyed || status != BGAP_OK)
    return status;
  snprintf (text, sizeof text, "%llu", (unsigned long long)action->token);
  status = bgap_headers_set (headers, "Bgap-Token", text);
  snprintf (text, sizeof text, "%u", exchange->route.slice);
  if (status == BGAP_OK)
    status = bgap_headers_set (headers, "Bgap-Slice", text);
  return status;
}

static const struct bgap_upstream *
_bgap_exchange_upstream (const struct bgap_exchange *exchange,
                         const struct bgap_router_action *action)
{
  struct bgap_server_status status = { 0 };
  if (bgap_router_server_status (&exchange->requests->router, bgap_now_ms (),
                                 action->server, &status)
      != BGAP_OK)
    return NULL;
  return bgap_upstreams_find (exchange->requests->desc.upstreams, status.name);
}

/* Registers the attempt if the server does not check grants. One that does
   refuses the request itself if its token is out of date.

   Return: whether the request may be sent.  */
static bool
_bgap_exchange_may_send (struct bgap_exchange *exchange)
{
  if (exchange->route.via[0] == '\0' || exchange->forwarded)
    return true;
  exchange->leased = bgap_cells_begin_request (
      exchange->requests->desc.cells, &exchange->route, exchange->service,
      exchange->parts.key, exchange->parts.key_size, &exchange->lease);
  return exchange->leased;
}

void
bgap_exchange_end_lease (struct bgap_exchange *exchange)
{
  if (exchange->leased)
    bgap_cells_end_request (exchange->requests->desc.cells, &exchange->route,
                            exchange->lease);
  exchange->leased = false;
}

static uint32_t
_bgap_exchange_deadline (const struct bgap_exchange *exchange,
                         const struct bgap_router_action *action)
{
  bool bounded = exchange->route.via[0] != '\0';
  if (bounded && action->deadline_ms > BGAP_CELLS_DEADLINE_MAX_MS)
    return BGAP_CELLS_DEADLINE_MAX_MS;
  return (uint32_t)action->deadline_ms;
}

void
bgap_exchange_dispatch (struct bgap_exchange *exchange,
                        const struct bgap_router_action *action)
{
  struct bgap_requests *requests = exchange->requests;
  exchange->attempt = action->attempt;
  exchange->forwarded = _bgap_exchange_needs_forwarding (exchange);
  exchange->forward_end = FORWARD_ANSWERED;
  exchange->keep_body = action->keep_body;
  exchange->body_dropped = false;
  bgap_buffer_shutdown (&exchange->kept_body);
  const struct bgap_upstream *upstream
      = _bgap_exchange_upstream (exchange, action);
  enum bgap_status status = BGAP_ERR_NOT_FOUND;
  if (upstream != NULL && _bgap_exchange_may_send (exchange))
    status = _bgap_exchange_set_headers (exchange, action);
  if (status == BGAP_OK)
    {
      snprintf (exchange->server, sizeof exchange->server, "%s",
                upstream->name);
      const struct bgap_call call = {
        .method = exchange->method,
        .forwarder = exchange->forwarded ? exchange->route.via : NULL,
        .target = exchange->forwarded
                      ? exchange->target
                      : exchange->target + exchange->parts.path_offset,
        .headers = &exchange->headers,
        .body = exchange->body.data,
        .body_size = exchange->body.size,
        .deadline_ms = _bgap_exchange_deadline (exchange, action),
        .ops = &call_ops,
        .user = exchange,
      };
      status = bgap_upstream_call (requests->desc.upstreams, upstream, &call,
                                   &exchange->call);
    }
  exchange->calling = status == BGAP_OK;
  if (!exchange->calling)
    bgap_exchange_end_lease (exchange);
  if (!exchange->calling)
    _bgap_exchange_report_result (
        exchange,
        &(struct bgap_attempt_result){ .kind = BGAP_RESULT_NO_CONNECT });
}
