#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/hash.h"
#include "edge_parts.h"
#include "now.h"

/* Responses of up to this many bytes are buffered until they are complete, so
   that a truncated one can still be retried.  */
#define BUFFERED_RESPONSE_MAX 65536

/* Part of the memory that the buffers of all responses may use together, as a
   divisor.  */
#define BUFFERED_SHARE 8

/* The router cancels an attempt at its deadline. The backend client's time-out
   is longer by this margin and takes effect only if the router did not.  */
#define CLIENT_TIMEOUT_MARGIN_MS 100

static struct bgap_event_kind event_attempt
    = { .name = "attempt", .per_second = 60 };

static void
_bgap_attempt_report_result (struct bgap_edge_exchange *exchange,
                             enum bgap_result_kind kind)
{
  bgap_router_on_attempt (
      &exchange->edge->router, bgap_now_ms (), exchange->attempt,
      &(struct bgap_attempt_result){ .kind = kind,
                                     .http_status = exchange->status,
                                     .body_dropped = true });
}

/* Detaches the exchange from the server of its attempt, which has ended.
   Returns the server.  */
static struct bgap_edge_server *
_bgap_attempt_detach (struct bgap_edge_exchange *exchange)
{
  struct bgap_edge_server *server = exchange->server;
  exchange->server = NULL;
  return server;
}

static void
_bgap_attempt_log (const struct bgap_edge_exchange *exchange,
                   const char *result, const char *message)
{
  const struct bgap_edge_server *server = exchange->server;
  bgap_event (&event_attempt,
              "request=%s attempt=%u service=%s server=%s result=\"%s\" "
              "detail=\"%s\" status=%d took_ms=%lld cost_ms=%lld "
              "work_ms=%lld key=%d view_age_ms=%lld",
              exchange->wire.id, exchange->attempts, exchange->service->name,
              server->id, result, message, exchange->status,
              (long long)(bgap_now_ms () - exchange->sent_ms),
              (long long)exchange->cost_ms, (long long)exchange->work_ms,
              exchange->wire.has_key ? (int)exchange->wire.key : -1,
              (long long)(bgap_now_ms () - exchange->edge->servers_synced_ms));
}

static void
_bgap_attempt_end (struct bgap_edge_exchange *exchange,
                   enum bgap_result_kind kind)
{
  struct bgap_edge *edge = exchange->edge;
  struct bgap_edge_server *server = _bgap_attempt_detach (exchange);
  _bgap_attempt_report_result (exchange, kind);
  bgap_edge_call_ended (edge, server);
  bgap_edge_run_actions (edge);
}

static void
_bgap_attempt_update_server (struct bgap_edge_exchange *exchange,
                             const struct bgap_wire_response *response)
{
  struct bgap_edge *edge = exchange->edge;
  struct bgap_edge_server *server = exchange->server;
  server->refused_connections = 0;
  server->attempt_broken_ms = 0;
  bgap_edge_on_limit (edge, server, response);
  if (response->id_matches)
    bgap_edge_on_statements (edge, server, response);
  if (response->has_load)
    bgap_router_server_load (
        &edge->router, bgap_now_ms (), server->router_id,
        &(struct bgap_server_load){ .in_flight = response->running,
                                    .queued = response->waiting,
                                    .slots = response->slots,
                                    .slowdown_percent
                                    = response->slowdown_percent });
}

static bool
_bgap_attempt_may_send (void *user, struct bgap_backend_attempt_id id)
{
  struct bgap_edge_exchange *exchange = user;
  (void)id;
  bool may_send = bgap_router_may_send (&exchange->edge->router,
                                        bgap_now_ms (), exchange->attempt);
  bgap_edge_log_cold_attempt (exchange, exchange->server,
                              may_send ? "opened" : "held");
  return may_send;
}

static enum bgap_head_class
_bgap_attempt_classify (void *user, int status,
                        const struct bgap_headers *headers,
                        enum bgap_refusal *refusal)
{
  struct bgap_edge_exchange *exchange = user;
  struct bgap_edge *edge = exchange->edge;
  struct bgap_wire_response response;
  edge->desc.wire->read_response (headers, status, exchange->wire.id,
                                  &response);
  if (response.id_differs)
    return BGAP_HEAD_STALE;
  exchange->status = status;
  _bgap_attempt_update_server (exchange, &response);
  /* A refusal without the id may be one of an earlier request.  */
  if (response.not_executed && !response.id_matches)
    return BGAP_HEAD_INVALID;
  if (response.not_executed)
    {
      bool is_other = response.server[0] != '\0'
                      && strcmp (response.server, exchange->server->id) != 0;
      *refusal = BGAP_REFUSAL_SHED;
      if (response.misdirected && !is_other)
        *refusal = BGAP_REFUSAL_FENCED;
      else if (is_other)
        *refusal = BGAP_REFUSAL_DRAINING;
      return BGAP_HEAD_REFUSAL;
    }
  if (!response.id_matches || (status < 300 && !response.is_signed))
    return BGAP_HEAD_INVALID;
  bgap_edge_count_completed (exchange->service, exchange->server, &response);
  if (status >= 500
      && bgap_router_can_retry (&edge->router, bgap_now_ms (),
                                exchange->attempt))
    return BGAP_HEAD_ERROR;
  return BGAP_HEAD_RESPONSE;
}

void
bgap_edge_drop_body (struct bgap_edge_exchange *exchange)
{
  exchange->edge->buffered_size -= exchange->body.size;
  bgap_buffer_shutdown (&exchange->body);
}

/* Buffers a part of the response. Returns false if it is to be streamed.  */
static bool
_bgap_attempt_buffer (struct bgap_edge_exchange *exchange, const void *bytes,
                      size_t size)
{
  struct bgap_edge *edge = exchange->edge;
  if (exchange->body.size + size > BUFFERED_RESPONSE_MAX
      || edge->buffered_size + size
             > bgap_edge_memory_share (edge, BUFFERED_SHARE)
      || bgap_buffer_append (&exchange->body, bytes, size) != BGAP_OK)
    return false;
  edge->buffered_size += size;
  return true;
}

static void
_bgap_attempt_stream (struct bgap_edge_exchange *exchange)
{
  struct bgap_edge *edge = exchange->edge;
  struct bgap_exchange_id id = { exchange->id };
  exchange->streaming = true;
  _bgap_attempt_report_result (exchange, BGAP_RESULT_STARTED);
  bgap_frontend_start (edge->frontend, id, exchange->status,
                       &exchange->headers);
  bgap_frontend_write (edge->frontend, id, exchange->body.data,
                       exchange->body.size);
  bgap_edge_drop_body (exchange);
}

static void
_bgap_attempt_on_head (void *user, struct bgap_backend_attempt_id id,
                       int status, const struct bgap_headers *headers)
{
  struct bgap_edge_exchange *exchange = user;
  (void)id;
  (void)status;
  bgap_headers_shutdown (&exchange->headers);
  bgap_edge_drop_body (exchange);
  /* If the copy fails for lack of memory, the forwarded response has no
     signature and thus does not count as a success.  */
  (void)bgap_headers_copy (&exchange->headers, headers);
}

static void
_bgap_attempt_on_body (void *user, struct bgap_backend_attempt_id id,
                       const void *bytes, size_t size)
{
  struct bgap_edge_exchange *exchange = user;
  struct bgap_edge *edge = exchange->edge;
  struct bgap_exchange_id caller = { exchange->id };
  if (!exchange->streaming && _bgap_attempt_buffer (exchange, bytes, size))
    return;
  if (!exchange->streaming)
    _bgap_attempt_stream (exchange);
  bgap_frontend_write (edge->frontend, caller, bytes, size);
  if (bgap_frontend_is_full (edge->frontend, caller))
    bgap_edge_pause_response (exchange, id);
}

static void
_bgap_attempt_on_complete (void *user, struct bgap_backend_attempt_id id)
{
  (void)id;
  _bgap_attempt_end (user, BGAP_RESULT_COMPLETE);
}

static void
_bgap_attempt_on_refused (void *user, struct bgap_backend_attempt_id id,
                          enum bgap_refusal refusal)
{
  struct bgap_edge_exchange *exchange = user;
  enum bgap_result_kind kind = BGAP_RESULT_SHED;
  (void)id;
  if (refusal == BGAP_REFUSAL_FENCED && exchange->service->granter != NULL)
    kind = BGAP_RESULT_FENCED;
  else if (refusal == BGAP_REFUSAL_DRAINING)
    kind = BGAP_RESULT_DRAINING;
  _bgap_attempt_log (exchange, "not run", bgap_refusal_name (refusal));
  _bgap_attempt_end (exchange, kind);
}

static void
_bgap_attempt_on_failed (void *user, struct bgap_backend_attempt_id id,
                         const struct bgap_backend_failure *failure)
{
  struct bgap_edge_exchange *exchange = user;
  enum bgap_result_kind kind = BGAP_RESULT_BROKEN;
  (void)id;
  if (failure->kind == BGAP_FAILURE_ERROR)
    kind = BGAP_RESULT_FAILED;
  else if (failure->kind == BGAP_FAILURE_NOT_SENT)
    kind = BGAP_RESULT_NOT_SENT;
  else if (!failure->sent)
    kind = BGAP_RESULT_NO_CONNECT;
  else if (failure->kind == BGAP_FAILURE_DEADLINE)
    kind = BGAP_RESULT_TIMEOUT;
  _bgap_attempt_log (exchange, bgap_failure_name (failure->kind),
                     failure->message);
  if (kind == BGAP_RESULT_BROKEN || kind == BGAP_RESULT_NO_CONNECT)
    bgap_edge_server_failed (exchange->edge, exchange->server,
                             !failure->sent && failure->connection_refused);
  _bgap_attempt_end (exchange, kind);
}

static const struct bgap_backend_ops attempt_ops = {
  .may_send = _bgap_attempt_may_send,
  .classify = _bgap_attempt_classify,
  .head = _bgap_attempt_on_head,
  .body = _bgap_attempt_on_body,
  .complete = _bgap_attempt_on_complete,
  .refused = _bgap_attempt_on_refused,
  .failed = _bgap_attempt_on_failed,
};

static enum bgap_status
_bgap_attempt_send (struct bgap_edge_exchange *exchange,
                    struct bgap_edge_server *server, int64_t left_ms)
{
  struct bgap_edge *edge = exchange->edge;
  struct bgap_exchange_id id = { exchange->id };
  const struct bgap_frontend_request *request
      = bgap_frontend_request (edge->frontend, id);
  struct bgap_headers headers = { 0 };
  if (request == NULL)
    return BGAP_ERR_NOT_FOUND;
  enum bgap_status status = bgap_headers_copy (&headers, &request->headers);
  if (status == BGAP_OK)
    status = edge->desc.wire->write_request (&headers, left_ms, server->id);
  if (status == BGAP_OK)
    status = bgap_backend_send (
        edge->backend, server->requests,
        &(struct bgap_backend_request){
            .method = request->method,
            .target = request->target,
            .headers = &headers,
            .body = request->body,
            .body_size = request->body_size,
            .deadline_ms = (uint32_t)left_ms + CLIENT_TIMEOUT_MARGIN_MS,
            .identity
            = bgap_hash64 (exchange->wire.id, strlen (exchange->wire.id)),
            .receive_size = bgap_edge_receive_size (exchange),
            .ops = &attempt_ops,
            .user = exchange },
        &exchange->backend_attempt);
  bgap_headers_shutdown (&headers);
  return status;
}

void
bgap_edge_dispatch (struct bgap_edge_exchange *exchange,
                    const struct bgap_router_action *action)
{
  struct bgap_edge *edge = exchange->edge;
  struct bgap_edge_server *server = bgap_edge_server (edge, action->server);
  exchange->attempt = action->attempt;
  exchange->attempts++;
  exchange->cost_ms = action->cost_ms;
  exchange->work_ms = action->work_ms;
  exchange->status = 0;
  exchange->sent_ms = bgap_now_ms ();
  enum bgap_status status = BGAP_ERR_NOT_FOUND;
  if (server != NULL && server->known != NULL)
    status = _bgap_attempt_send (exchange, server, action->deadline_ms);
  if (status != BGAP_OK)
    {
      bgap_event (&event_attempt,
                  "request=%s attempt=%u service=%s server=%s "
                  "result=\"not sent\" detail=\"%s\"",
                  exchange->wire.id, exchange->attempts,
                  exchange->service->name, server != NULL ? server->id : "",
                  bgap_status_name (status));
      _bgap_attempt_report_result (exchange, BGAP_RESULT_NO_CONNECT);
      return;
    }
  exchange->server = server;
  snprintf (exchange->last_server, sizeof exchange->last_server, "%s",
            server->id);
  server->calls++;
  bgap_edge_log_cold_attempt (exchange, server, "dispatched");
}

void
bgap_edge_cancel_attempt (struct bgap_edge_exchange *exchange)
{
  struct bgap_edge *edge = exchange->edge;
  if (exchange->server == NULL)
    return;
  bgap_backend_cancel (edge->backend, exchange->backend_attempt);
  bgap_edge_call_ended (edge, _bgap_attempt_detach (exchange));
}
