#include "requests.h"

#include <stdlib.h>
#include <string.h>

#include "banyangap/base/hash.h"
#include "banyangap/base/log.h"
#include "banyangap/base/random.h"
#include "banyangap/routing/router_stop.h"
#include "message_kinds.h"
#include "now.h"
#include "requests_private.h"

#define TICK_MS 10

static void
_bgap_requests_send_peers (struct bgap_requests *requests,
                           const struct bgap_router_action *action)
{
  const struct bgap_requests_desc *desc = &requests->desc;
  struct bgap_buffer bytes = { 0 };
  uint8_t kind = (uint8_t)action->peer_kind;
  if (bgap_buffer_append (&bytes, &kind, 1) == BGAP_OK
      && bgap_buffer_append (&bytes, action->bytes, action->size) == BGAP_OK)
    for (uint32_t i = 0; i < bgap_members_count (desc->members); i++)
      {
        const struct bgap_member *member = bgap_members_at (desc->members, i);
        if (member->role == BGAP_HOST_ENTRY
            && strcmp (member->zone, desc->settings->zone) == 0
            && strcmp (member->name, desc->settings->name) != 0)
          bgap_peer_send (desc->peer, member->name, BGAP_MESSAGE_ROUTING,
                          bytes.data, bytes.size);
      }
  bgap_buffer_shutdown (&bytes);
}

static void
_bgap_requests_cancel_attempt (struct bgap_requests *requests,
                               const struct bgap_router_action *action)
{
  struct bgap_exchange *exchange = action->context;
  if (exchange == NULL || !exchange->calling
      || exchange->attempt.id != action->attempt.id)
    return;
  bgap_upstreams_cancel (requests->desc.upstreams, exchange->call);
  exchange->calling = false;
  bgap_exchange_end_lease (exchange);
}

static void
_bgap_requests_execute (struct bgap_requests *requests,
                        const struct bgap_router_action *action)
{
  struct bgap_exchange *exchange = action->context;
  switch (action->kind)
    {
    case BGAP_ROUTER_ACTION_DISPATCH:
      bgap_exchange_dispatch (exchange, action);
      return;
    case BGAP_ROUTER_ACTION_CANCEL_ATTEMPT:
      _bgap_requests_cancel_attempt (requests, action);
      return;
    case BGAP_ROUTER_ACTION_FINISH:
      bgap_exchange_finish (exchange, action);
      return;
    case BGAP_ROUTER_ACTION_RESOLVE:
      {
        struct bgap_server_id holder;
        bgap_exchange_lookup (exchange, &holder);
        bgap_router_resolved (&requests->router, bgap_now_ms (),
                              action->request, holder, exchange->route.token);
        return;
      }
    case BGAP_ROUTER_ACTION_APPEND:
      bgap_idempotency_streams_append (requests->idempotency_streams, action);
      return;
    case BGAP_ROUTER_ACTION_SEND_PEER:
      _bgap_requests_send_peers (requests, action);
      return;
    /* Servers state no rate limits and no warm-ups in the project's own
       protocol.  */
    case BGAP_ROUTER_ACTION_SEND_INSTANCE:
    case BGAP_ROUTER_ACTION_CHECK_SERVER:
    case BGAP_ROUTER_ACTION_KIND_COUNT:
      return;
    }
}

void
bgap_requests_run (struct bgap_requests *requests)
{
  struct bgap_router_action action;
  if (requests->running_actions)
    return;
  requests->running_actions = true;
  while (bgap_router_next_action (&requests->router, &action))
    _bgap_requests_execute (requests, &action);
  requests->running_actions = false;
}

static bool
_bgap_requests_is_safe (const char *method)
{
  return strcmp (method, "GET") == 0 || strcmp (method, "HEAD") == 0
         || strcmp (method, "OPTIONS") == 0;
}

static uint64_t
_bgap_requests_digest (const struct bgap_exchange *exchange)
{
  uint64_t parts[] = {
    bgap_hash64 (exchange->service, strlen (exchange->service)),
    bgap_hash64 (exchange->method, strlen (exchange->method)),
    bgap_hash64 (exchange->target, strlen (exchange->target)),
    bgap_hash64 (exchange->body.data, exchange->body.size),
  };
  return bgap_hash64 (parts, sizeof parts);
}

static int64_t
_bgap_requests_deadline (const struct bgap_exchange *exchange)
{
  const char *text
      = bgap_headers_find (&exchange->headers, "Bgap-Deadline-Ms");
  if (text == NULL)
    return 0;
  char *end = NULL;
  long long value = strtoll (text, &end, 10);
  return *end == '\0' && value > 0 ? value : 0;
}

static void
_bgap_requests_admit (struct bgap_requests *requests,
                      struct bgap_exchange *exchange,
                      struct bgap_service_id service)
{
  const char *key = bgap_headers_find (&exchange->headers, "Idempotency-Key");
  uint64_t digest = _bgap_requests_digest (exchange);
  struct bgap_request_desc request = {
    .service = service,
    .deadline_ms = _bgap_requests_deadline (exchange),
    .idempotent = _bgap_requests_is_safe (exchange->method)
                  || !bgap_idempotency_streams_has (
                      requests->idempotency_streams, service),
    .key = key,
    .key_size = key != NULL ? strlen (key) : 0,
    .digest = digest,
    .fingerprint = digest,
    .wall_ms = bgap_wall_ms (),
    .context = exchange,
  };
  exchange->keyed = bgap_exchange_lookup (exchange, &request.holder);
  if (exchange->keyed)
    {
      request.token = exchange->route.token;
      bgap_cells_count_request (requests->desc.cells, &exchange->route,
                                exchange->service, exchange->parts.key,
                                exchange->parts.key_size);
    }
  exchange->handle
      = bgap_router_request (&requests->router, bgap_now_ms (), &request);
  if (exchange->handle.id == BGAP_INVALID_ID)
    {
      bgap_exchange_reply_error (requests->frontend,
                                 (struct bgap_exchange_id){ exchange->id },
                                 503, BGAP_OUTCOME_NOT_RUN, "queue full", 1);
      bgap_exchange_free (exchange);
    }
}

void
bgap_requests_on_request (void *context, struct bgap_exchange_id id,
                          const struct bgap_frontend_request *request)
{
  struct bgap_requests *requests = context;
  struct bgap_exchange *exchange = bgap_exchange_new (requests, id, request);
  if (exchange == NULL)
    {
      bgap_exchange_reply_error (requests->frontend, id, 503,
                                 BGAP_OUTCOME_NOT_RUN, "no memory", 1);
      return;
    }
  struct bgap_service_id service
      = bgap_router_find_service (&requests->router, exchange->service);
  if (service.id == BGAP_INVALID_ID)
    {
      bgap_exchange_reply_error (requests->frontend, id, 404,
                                 BGAP_OUTCOME_NOT_RUN, "unknown service", 0);
      bgap_exchange_free (exchange);
      return;
    }
  _bgap_requests_admit (requests, exchange, service);
  bgap_requests_run (requests);
}

static void
_bgap_requests_on_cancel (void *context, struct bgap_exchange_id id)
{
  struct bgap_requests *requests = context;
  struct bgap_exchange *exchange;
  HASH_FIND_INT (requests->exchanges, &id.id, exchange);
  if (exchange == NULL)
    return;
  bgap_router_cancel (&requests->router, bgap_now_ms (), exchange->handle);
  bgap_requests_run (requests);
  /* The router may have finished the request before, in which case its action
     was still pending and has now freed the exchange.  */
  HASH_FIND_INT (requests->exchanges, &id.id, exchange);
  if (exchange == NULL)
    return;
  HASH_DEL (requests->exchanges, exchange);
  exchange->caller_gone = true;
  if (exchange->calling)
    bgap_upstreams_pause (requests->desc.upstreams, exchange->call, false);
  /* An attempt of a request that runs at most once continues without its
     caller.  */
  if (!exchange->calling)
    {
      bgap_exchange_free (exchange);
      return;
    }
  exchange->detached = true;
  LIST_INSERT_HEAD (&requests->detached, exchange, next_detached);
}

static void
_bgap_requests_on_resume (void *context, struct bgap_exchange_id id)
{
  struct bgap_requests *requests = context;
  struct bgap_exchange *exchange;
  HASH_FIND_INT (requests->exchanges, &id.id, exchange);
  if (exchange != NULL && exchange->calling)
    bgap_upstreams_pause (requests->desc.upstreams, exchange->call, false);
}

static void
_bgap_requests_on_stopped (void *context)
{
  struct bgap_requests *requests = context;
  requests->frontend_stopped = true;
}

static void
_bgap_requests_on_timer (evutil_socket_t fd, short what, void *context)
{
  struct bgap_requests *requests = context;
  (void)fd;
  (void)what;
  bgap_router_tick (&requests->router, bgap_now_ms (), bgap_wall_ms ());
  bgap_requests_run (requests);
}

static enum bgap_status
_bgap_requests_open (struct bgap_requests *requests, struct bgap_error *err)
{
  const struct bgap_requests_desc *desc = &requests->desc;
  enum bgap_status status = bgap_router_setup (
      &requests->router,
      &(struct bgap_router_desc){ .instance = desc->settings->name,
                                  .zone = desc->settings->zone,
                                  .requests_max
                                  = desc->settings->limits.requests_max },
      err);
  if (status == BGAP_OK)
    status = bgap_idempotency_streams_setup (requests,
                                             &requests->idempotency_streams);
  if (status == BGAP_OK)
    status = bgap_probes_setup (requests, &requests->probes);
  if (status == BGAP_OK)
    status = bgap_frontend_setup (
        &requests->frontend,
        &(struct bgap_frontend_desc){
            .base = desc->base,
            .address = desc->settings->callers_address,
            .counters = desc->counters,
            .connections_max = desc->settings->limits.connections_max,
            .ops = { .request = bgap_requests_on_request,
                     .cancel = _bgap_requests_on_cancel,
                     .resume = _bgap_requests_on_resume,
                     .stopped = _bgap_requests_on_stopped,
                     .context = requests } },
        err);
  return status;
}

enum bgap_status
bgap_requests_setup (const struct bgap_requests_desc *desc,
                     struct bgap_requests **out, struct bgap_error *err)
{
  struct bgap_requests *requests = calloc (1, sizeof *requests);
  if (requests == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "no memory for requests");
  requests->desc = *desc;
  requests->request_prefix = bgap_random_seed ();
  enum bgap_status status = _bgap_requests_open (requests, err);
  requests->timer = event_new (desc->base, -1, EV_PERSIST,
                               _bgap_requests_on_timer, requests);
  if (status != BGAP_OK || requests->timer == NULL)
    {
      bgap_requests_shutdown (requests);
      return status != BGAP_OK ? status : BGAP_ERR_NO_MEMORY;
    }
  const struct timeval interval = bgap_timeval (TICK_MS);
  event_add (requests->timer, &interval);
  *out = requests;
  return BGAP_OK;
}

void
bgap_requests_shutdown (struct bgap_requests *requests)
{
  if (requests == NULL)
    return;
  if (requests->timer != NULL)
    event_free (requests->timer);
  bgap_probes_shutdown (requests->probes);
  bgap_idempotency_streams_shutdown (requests->idempotency_streams);
  bgap_frontend_shutdown (requests->frontend);
  struct bgap_exchange *exchange;
  struct bgap_exchange *next;
  HASH_ITER (hh, requests->exchanges, exchange, next)
  bgap_exchange_free (exchange);
  while (!LIST_EMPTY (&requests->detached))
    bgap_exchange_free (LIST_FIRST (&requests->detached));
  bgap_requests_free_services (requests);
  if (requests->router.state != NULL)
    bgap_router_shutdown (&requests->router);
  free (requests);
}

void
bgap_requests_on_peer (struct bgap_requests *requests, const char *from,
                       const void *bytes, size_t size)
{
  struct bgap_error err = { 0 };
  if (size == 0)
    return;
  const uint8_t *kind = bytes;
  if (bgap_router_on_peer (&requests->router, bgap_now_ms (), from, *kind,
                           kind + 1, size - 1, &err)
      != BGAP_OK)
    bgap_log_warn ("routing",
                   "router refused a message of a peer; from=%s reason=%s",
                   from, err.message);
  bgap_requests_run (requests);
}

void
bgap_requests_peer_lost (struct bgap_requests *requests, const char *name)
{
  bgap_router_peer_lost (&requests->router, name);
}

void
bgap_requests_stop (struct bgap_requests *requests)
{
  bgap_frontend_stop (requests->frontend);
}

/* Requests that run at most once are not ended by the router, so that their
   outcome is still recorded. Their callers learn that it is unknown.  */
static void
_bgap_requests_answer_rest (struct bgap_requests *requests)
{
  struct bgap_exchange *exchange;
  struct bgap_exchange *next;
  HASH_ITER (hh, requests->exchanges, exchange, next)
  {
    const struct bgap_exchange_id id = { exchange->id };
    if (exchange->streaming)
      continue;
    bgap_exchange_reply_error (requests->frontend, id, 502,
                               BGAP_OUTCOME_UNKNOWN,
                               bgap_reason_name (BGAP_REASON_SHUTDOWN), 0);
    _bgap_requests_on_cancel (requests, id);
  }
}

void
bgap_requests_abort (struct bgap_requests *requests)
{
  int64_t now_ms = bgap_now_ms ();
  bgap_router_stop_accepting (&requests->router);
  bgap_router_refuse_waiting (&requests->router, now_ms);
  bgap_router_abort_attempts (&requests->router, now_ms);
  bgap_requests_run (requests);
  _bgap_requests_answer_rest (requests);
  bgap_frontend_refuse_incomplete (requests->frontend);
}

bool
bgap_requests_stopped (const struct bgap_requests *requests)
{
  return requests->frontend_stopped && bgap_router_idle (&requests->router);
}

void
bgap_requests_dump (const struct bgap_requests *requests,
                    struct bgap_buffer *out)
{
  bgap_router_dump (&requests->router, out);
}
