#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "banyangap/base/hash.h"
#include "edge_parts.h"
#include "now.h"

/* Time after which a connection for releases is used for a call without
   effect, so that one is open when a release needs it; servers close idle
   connections after about ten seconds.  */
#define RELEASE_KEEPALIVE_MS 8000

/* Time for such a call.  */
#define KEEPALIVE_TIMEOUT_MS 1000

/* Limit of the body of an answer, which is not used.  */
#define ANSWER_SIZE_MAX 65536

/* Size of the text of an order's id.  */
#define ORDER_ID_SIZE 17

/* Id that no server has. A call meant for it is refused without effect.  */
#define NO_SERVER "-"

static struct bgap_event_kind event_order = { .name = "order" };

/* An answer that is not the one to the order.  */
static struct bgap_event_kind event_foreign = { .name = "foreign-answer" };

/**
 * enum order_kind - type of a call
 */
enum order_kind
{
  ORDER_GRANT,
  ORDER_RELEASE,
  /* Calls without effect that keep a connection for releases open, and that
     find out whether a server answers.  */
  ORDER_KEEPALIVE,
  ORDER_CHECK
};

/**
 * struct bgap_edge_order - a call to a server, waiting or in flight
 * @kind: type of the call
 * @previous, @next: in the list of waiting orders, which uses only @next, or
 * of those in flight
 * @expires_ms: time from which a waiting order is no longer sent
 * @checking: in place of a grant, a call without effect is sent over a new
 *   connection
 * @call: the granter's number of the order
 * @id: of the call, unique among all instances; the server returns it
 * @status, @responder, @handover: from the response's head
 * @not_executed: the server refused the order without executing it
 */
struct bgap_edge_order
{
  struct bgap_edge_order *previous;
  struct bgap_edge_order *next;
  int64_t expires_ms;
  struct bgap_edge *edge;
  struct bgap_edge_service *service;
  struct bgap_edge_server *server;
  struct bgap_wire_grant grant;
  enum order_kind kind;
  bool checking;
  uint32_t call;
  int64_t sent_ms;
  char id[ORDER_ID_SIZE];
  int status;
  char responder[BGAP_REGISTRY_NAME_SIZE];
  char handover[BGAP_HANDOVER_SIZE];
  struct bgap_buffer body;
  bool not_executed;
};

static const char *
_bgap_order_name (enum order_kind kind)
{
  static const char *const names[] = {
    [ORDER_GRANT] = "grant",
    [ORDER_RELEASE] = "release",
    [ORDER_KEEPALIVE] = "keepalive",
    [ORDER_CHECK] = "check",
  };
  return names[kind];
}

static void _bgap_order_send_waiting (struct bgap_edge_server *server);

static void
_bgap_order_free (struct bgap_edge_order *order)
{
  bgap_buffer_shutdown (&order->body);
  free (order);
}

static void
_bgap_order_end (struct bgap_edge_order *order,
                 enum bgap_granter_result result)
{
  struct bgap_edge *edge = order->edge;
  struct bgap_edge_service *service = order->service;
  int64_t now_ms = bgap_now_ms ();
  if (order->kind != ORDER_KEEPALIVE
      && (result != BGAP_GRANTER_DONE || order->kind == ORDER_RELEASE))
    bgap_event (&event_order,
                "order=%s service=%s server=%s keys=%u-%u fence=%llu "
                "hold_ms=%lld took_ms=%lld status=%d result=\"%s\"",
                _bgap_order_name (order->kind), service->name,
                order->server->id, order->grant.first, order->grant.last,
                (unsigned long long)order->grant.token,
                (long long)order->grant.lease_ms,
                (long long)(now_ms - order->sent_ms), order->status,
                bgap_granter_result_name (result));
  if (order->kind != ORDER_KEEPALIVE)
    bgap_granter_on_reply (service->granter, now_ms, order->call, result,
                           order->handover);
  /* The granter that used a higher token has appended a record.  */
  if (result == BGAP_GRANTER_FENCED)
    bgap_follower_read_now (edge->internal);
  struct bgap_edge_server *server = order->server;
  DL_DELETE2 (server->sent_orders, order, previous, next);
  _bgap_order_free (order);
  _bgap_order_send_waiting (server);
  bgap_edge_call_ended (edge, server);
  bgap_edge_run_actions (edge);
}

/* Ends an order that was not sent.  */
static void
_bgap_order_return (struct bgap_edge_order *order,
                    enum bgap_granter_result result)
{
  bgap_granter_on_reply (order->service->granter, bgap_now_ms (), order->call,
                         result, "");
  order->server->calls--;
  _bgap_order_free (order);
}

/* Returns the waiting grants, which were decided on before the connection was
   open.  */
static void
_bgap_order_return_grants (struct bgap_edge_server *server)
{
  struct bgap_edge_order **link = &server->waiting_orders;
  while (*link != NULL)
    {
      struct bgap_edge_order *order = *link;
      if (order->kind != ORDER_GRANT)
        {
          link = &order->next;
          continue;
        }
      *link = order->next;
      _bgap_order_return (order, BGAP_GRANTER_RECONNECTED);
    }
}

static enum bgap_head_class
_bgap_order_classify (void *user, int status,
                      const struct bgap_headers *headers,
                      enum bgap_refusal *refusal)
{
  struct bgap_edge_order *order = user;
  struct bgap_wire_response response;
  *refusal = BGAP_REFUSAL_NONE;
  order->edge->desc.wire->read_response (headers, status, order->id,
                                         &response);
  if (response.id_differs
      || (!response.id_matches && order->server->returns_order_ids))
    {
      bgap_event (&event_foreign,
                  "order=%s server=%s status=%d id=%s has_id=%d",
                  _bgap_order_name (order->kind), order->server->id, status,
                  order->id, response.id_differs);
      return response.id_differs ? BGAP_HEAD_STALE : BGAP_HEAD_INVALID;
    }
  order->server->returns_order_ids = response.id_matches;
  order->status = status;
  bgap_edge_on_limit (order->edge, order->server, &response);
  bgap_edge_on_statements (order->edge, order->server, &response);
  order->not_executed = response.not_executed;
  snprintf (order->responder, sizeof order->responder, "%s", response.server);
  snprintf (order->handover, sizeof order->handover, "%s",
            order->edge->desc.wire->read_handover (headers));
  return BGAP_HEAD_RESPONSE;
}

static void
_bgap_order_on_head (void *user, struct bgap_backend_attempt_id id, int status,
                     const struct bgap_headers *headers)
{
  (void)user;
  (void)id;
  (void)status;
  (void)headers;
}

/* Whether another process has the address of the server. An answer that does
   not say whose it is may be a late copy of one to an earlier check, which the
   server itself turns away.  */
static bool
_bgap_order_shows_other_server (const struct bgap_edge_order *order)
{
  return order->responder[0] != '\0'
         && strcmp (order->responder, order->server->id) != 0;
}

/* Whether the answer to a release is a late copy of the answer to another one:
   each has a proof of its own.  */
static bool
_bgap_order_is_copy (const struct bgap_edge_order *order, uint64_t proof)
{
  for (uint32_t i = 0; i < BGAP_EDGE_RELEASES_KEPT; i++)
    {
      const struct bgap_edge_release *done = &order->server->releases_done[i];
      if (done->proof == proof
          && (done->first != order->grant.first
              || done->token != order->grant.token))
        return true;
    }
  return false;
}

static enum bgap_granter_result
_bgap_order_accepted (struct bgap_edge_order *order)
{
  struct bgap_edge_server *server = order->server;
  if (order->kind != ORDER_RELEASE || order->handover[0] == '\0')
    return BGAP_GRANTER_DONE;
  uint64_t proof = bgap_hash64 (order->handover, strlen (order->handover));
  if (_bgap_order_is_copy (order, proof))
    return BGAP_GRANTER_LOST;
  uint32_t at = server->releases_done_count++ % BGAP_EDGE_RELEASES_KEPT;
  server->releases_done[at] = (struct bgap_edge_release){
    .first = order->grant.first,
    .token = order->grant.token,
    .proof = proof,
  };
  return BGAP_GRANTER_DONE;
}

static void
_bgap_order_on_complete (void *user, struct bgap_backend_attempt_id id)
{
  struct bgap_edge_order *order = user;
  enum bgap_granter_result result = BGAP_GRANTER_REJECTED;
  (void)id;
  if (order->checking)
    {
      _bgap_order_return_grants (order->server);
      result = BGAP_GRANTER_RECONNECTED;
    }
  else if (order->status == 200)
    result = _bgap_order_accepted (order);
  else if (order->status == 409)
    result = BGAP_GRANTER_FENCED;
  else if (order->status == 421)
    result = _bgap_order_shows_other_server (order) ? BGAP_GRANTER_REPLACED
                                                    : BGAP_GRANTER_LOST;
  else if (order->status >= 500 && !order->not_executed)
    result = BGAP_GRANTER_LOST;
  _bgap_order_end (order, result);
}

static void
_bgap_order_on_refused (void *user, struct bgap_backend_attempt_id id,
                        enum bgap_refusal refusal)
{
  (void)id;
  (void)refusal;
  _bgap_order_end (user, BGAP_GRANTER_REJECTED);
}

static void
_bgap_order_on_failed (void *user, struct bgap_backend_attempt_id id,
                       const struct bgap_backend_failure *failure)
{
  struct bgap_edge_order *order = user;
  enum bgap_granter_result result = BGAP_GRANTER_LOST;
  (void)id;
  if (!failure->sent || order->checking)
    result = failure->connection_refused ? BGAP_GRANTER_CLOSED
                                         : BGAP_GRANTER_NOT_SENT;
  _bgap_order_end (order, result);
}

static const struct bgap_backend_ops order_ops = {
  .classify = _bgap_order_classify,
  .head = _bgap_order_on_head,
  .complete = _bgap_order_on_complete,
  .refused = _bgap_order_on_refused,
  .failed = _bgap_order_on_failed,
};

/* A server can leave a new connection unread for seconds, and a reset of the
   connection does not reach it while the network is cut. So a grant is sent
   only on a connection on which the server has answered before.  */
static bool
_bgap_order_needs_check (const struct bgap_edge_order *order)
{
  if (order->kind == ORDER_CHECK)
    return true;
  return order->kind == ORDER_GRANT
         && bgap_backend_idle_connections (order->edge->backend,
                                           order->server->grants)
                == 0;
}

static bool
_bgap_order_has_no_effect (const struct bgap_edge_order *order)
{
  return order->checking || order->kind == ORDER_KEEPALIVE;
}

static void
_bgap_order_set_id (struct bgap_edge_order *order)
{
  struct bgap_edge *edge = order->edge;
  const uint64_t parts[] = { edge->incarnation, ++edge->order_count };
  snprintf (order->id, sizeof order->id, "%016llx",
            (unsigned long long)bgap_hash64 (parts, sizeof parts));
}

static enum bgap_status
_bgap_order_encode (struct bgap_edge_order *order)
{
  const struct bgap_wire_ops *wire = order->edge->desc.wire;
  bgap_buffer_shutdown (&order->body);
  if (order->kind == ORDER_RELEASE)
    return wire->encode_release (&order->grant, &order->body);
  if (_bgap_order_has_no_effect (order))
    return wire->encode_grant (&(struct bgap_wire_grant){ 0 }, &order->body);
  return wire->encode_grant (&order->grant, &order->body);
}

static struct bgap_backend_server_id
_bgap_order_server (const struct bgap_edge_order *order)
{
  bool is_for_grants
      = order->kind == ORDER_GRANT || order->kind == ORDER_CHECK;
  return is_for_grants ? order->server->grants : order->server->releases;
}

static enum bgap_status
_bgap_order_send (struct bgap_edge_order *order)
{
  const struct bgap_wire_ops *wire = order->edge->desc.wire;
  struct bgap_headers headers = { 0 };
  struct bgap_backend_attempt_id id;
  int64_t left_ms = order->expires_ms - bgap_now_ms ();
  if (left_ms <= 0)
    return BGAP_ERR_TIMEOUT;
  order->checking = _bgap_order_needs_check (order);
  enum bgap_status status = _bgap_order_encode (order);
  if (status == BGAP_OK)
    status = wire->write_request (
        &headers, left_ms,
        _bgap_order_has_no_effect (order) ? NO_SERVER : order->server->id);
  _bgap_order_set_id (order);
  if (status == BGAP_OK)
    status = bgap_headers_add (&headers, wire->request_id, order->id);
  if (status == BGAP_OK)
    status = bgap_headers_add (&headers, "Content-Type", "application/json");
  if (status == BGAP_OK)
    status = bgap_backend_send (
        order->edge->backend, _bgap_order_server (order),
        &(struct bgap_backend_request){ .method = "POST",
                                        .target = order->kind == ORDER_RELEASE
                                                      ? wire->release_path
                                                      : wire->grant_path,
                                        .headers = &headers,
                                        .body = order->body.data,
                                        .body_size = order->body.size,
                                        .deadline_ms = (uint32_t)left_ms,
                                        .response_size_max = ANSWER_SIZE_MAX,
                                        .ops = &order_ops,
                                        .user = order },
        &id);
  bgap_headers_shutdown (&headers);
  return status;
}

/* Sends the waiting orders for which a connection is free.  */
static void
_bgap_order_send_waiting (struct bgap_edge_server *server)
{
  struct bgap_edge_order **link = &server->waiting_orders;
  while (*link != NULL)
    {
      struct bgap_edge_order *order = *link;
      enum bgap_status status = _bgap_order_send (order);
      if (status == BGAP_ERR_FULL)
        {
          link = &order->next;
          continue;
        }
      *link = order->next;
      if (status == BGAP_OK)
        DL_APPEND2 (server->sent_orders, order, previous, next);
      else
        _bgap_order_return (order, BGAP_GRANTER_NOT_SENT);
    }
}

static struct bgap_edge_order *
_bgap_order_new (struct bgap_edge *edge, struct bgap_edge_service *service,
                 struct bgap_edge_server *server, enum order_kind kind,
                 int64_t timeout_ms)
{
  struct bgap_edge_order *order = calloc (1, sizeof *order);
  if (order == NULL)
    return NULL;
  order->edge = edge;
  order->service = service;
  order->server = server;
  order->kind = kind;
  order->sent_ms = bgap_now_ms ();
  order->expires_ms = order->sent_ms + timeout_ms;
  server->calls++;
  return order;
}

/* Keeps a connection for releases open.  */
static void
_bgap_order_keep_releases (struct bgap_edge *edge,
                           struct bgap_edge_service *service,
                           struct bgap_edge_server *server)
{
  int64_t now_ms = bgap_now_ms ();
  if (now_ms - server->releases_used_ms < RELEASE_KEEPALIVE_MS)
    return;
  struct bgap_edge_order *order = _bgap_order_new (
      edge, service, server, ORDER_KEEPALIVE, KEEPALIVE_TIMEOUT_MS);
  if (order == NULL)
    return;
  server->releases_used_ms = now_ms;
  if (_bgap_order_send (order) == BGAP_OK)
    {
      DL_APPEND2 (server->sent_orders, order, previous, next);
      return;
    }
  /* The releases that use all connections keep them open.  */
  server->calls--;
  _bgap_order_free (order);
}

void
bgap_edge_drop_orders (struct bgap_edge_server *server)
{
  while (server->waiting_orders != NULL)
    {
      struct bgap_edge_order *order = server->waiting_orders;
      server->waiting_orders = order->next;
      _bgap_order_free (order);
    }
  while (server->sent_orders != NULL)
    {
      struct bgap_edge_order *order = server->sent_orders;
      DL_DELETE2 (server->sent_orders, order, previous, next);
      _bgap_order_free (order);
    }
}

static enum order_kind
_bgap_order_kind_of (const struct bgap_granter_action *action)
{
  if (action->kind == BGAP_GRANTER_RELEASE)
    return ORDER_RELEASE;
  return action->kind == BGAP_GRANTER_CHECK ? ORDER_CHECK : ORDER_GRANT;
}

void
bgap_edge_order (struct bgap_edge *edge, struct bgap_edge_service *service,
                 const struct bgap_granter_action *action)
{
  bool is_release = action->kind == BGAP_GRANTER_RELEASE;
  struct bgap_edge_order *order = NULL;
  struct bgap_edge_server *server
      = bgap_edge_server_named (edge, service, action->server);
  if (server != NULL)
    order = _bgap_order_new (edge, service, server,
                             _bgap_order_kind_of (action), action->timeout_ms);
  if (order == NULL)
    {
      bgap_granter_on_reply (service->granter, bgap_now_ms (), action->call,
                             BGAP_GRANTER_NOT_SENT, "");
      return;
    }
  order->call = action->call;
  order->grant = (struct bgap_wire_grant){
    .first = action->first,
    .last = action->last,
    .token = action->token,
    .lease_ms = action->lease_ms,
  };
  snprintf (order->grant.handover, sizeof order->grant.handover, "%s",
            action->handover);
  if (is_release)
    server->releases_used_ms = order->sent_ms;
  else
    _bgap_order_keep_releases (edge, service, server);
  struct bgap_edge_order **link = &server->waiting_orders;
  while (*link != NULL)
    link = &(*link)->next;
  *link = order;
  _bgap_order_send_waiting (server);
}
