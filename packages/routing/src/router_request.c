#include "router_parts.h"

/* Requests for a key are not refused before it has had no usable holder for
   this time. Keys that are moved by plan have another holder sooner.  */
#define HOLDER_OUTAGE_MIN_MS 500

static int64_t
_bgap_request_deadline (const struct bgap_router_service *service,
                        const struct bgap_request_desc *desc)
{
  int64_t deadline_ms
      = desc->deadline_ms ? desc->deadline_ms : service->desc.deadline_ms;
  if (deadline_ms > service->desc.deadline_max_ms)
    deadline_ms = service->desc.deadline_max_ms;
  return deadline_ms;
}

void
bgap_router_init_request (struct bgap_router_request *request, int64_t now_ms,
                          const struct bgap_router_service *service,
                          const struct bgap_request_desc *desc)
{
  *request = (struct bgap_router_request){
    .service = desc->service.id,
    .holder = desc->holder.id,
    .token = desc->token,
    .digest = desc->digest,
    .fingerprint = desc->fingerprint,
    .body_size = desc->body_size,
    .cost_class = desc->cost_class,
    .cost_detail = desc->cost_detail,
    .context = desc->context,
    .class_ = BGAP_CLASS_NORMAL,
    .idempotent = desc->idempotent,
    .deadline_at_ms = now_ms,
    .objective_at_ms
    = desc->objective_ms > 0 ? now_ms + desc->objective_ms : 0,
  };
  if (desc->class_ > BGAP_CLASS_DEFAULT && desc->class_ < BGAP_CLASS_COUNT)
    request->class_ = desc->class_;
  else if (service != NULL)
    request->class_ = service->desc.class_;
  if (service != NULL)
    {
      request->deadline_at_ms += _bgap_request_deadline (service, desc);
      request->attempts_max = service->desc.attempts_max;
      if (desc->attempts_max > 0 && desc->attempts_max < request->attempts_max)
        request->attempts_max = desc->attempts_max;
    }
}

static struct bgap_router_request *
_bgap_request_create (struct bgap_router_state *state, int64_t now_ms,
                      const struct bgap_router_service *service,
                      const struct bgap_request_desc *desc)
{
  uint32_t id = bgap_pool_alloc (&state->requests);
  struct bgap_router_request *request = bgap_router_open_request (state, id);
  if (request == NULL)
    return NULL;
  bgap_router_init_request (request, now_ms, service, desc);
  request->id = id;
  if (bgap_router_set_timer (state, request) != BGAP_OK)
    {
      bgap_pool_free (&state->requests, id);
      return NULL;
    }
  state->counts.requests++;
  return request;
}

struct bgap_request_id
bgap_router_request (struct bgap_router *router, int64_t now_ms,
                     const struct bgap_request_desc *desc)
{
  struct bgap_router_state *state = router->state;
  struct bgap_router_service *service
      = bgap_router_service (state, desc->service.id);
  struct bgap_router_request *request
      = _bgap_request_create (state, now_ms, service, desc);
  if (request == NULL)
    return (struct bgap_request_id){ BGAP_INVALID_ID };
  struct bgap_request_id request_id = { request->id };
  if (service == NULL)
    bgap_router_finish (state, now_ms, request, BGAP_REASON_REMOVED);
  else if (!bgap_router_accepts (state, now_ms))
    bgap_router_finish (state, now_ms, request, BGAP_REASON_SHUTDOWN);
  else if (request->deadline_at_ms <= now_ms)
    bgap_router_finish (state, now_ms, request, BGAP_REASON_DEADLINE);
  else
    {
      bgap_retry_budget_on_request (&service->budget);
      bgap_window_count_add (&service->arrivals, now_ms);
      bgap_urgency_note (&service->urgency, now_ms, request->class_);
      if (service->desc.repeat_never && !request->idempotent)
        bgap_router_begin_idempotency (state, now_ms, request, desc);
      else
        bgap_router_route (state, now_ms, request);
    }
  return request_id;
}

static bool
_bgap_request_holder_is_usable (const struct bgap_router_server *server,
                                int64_t now_ms, uint32_t service)
{
  return server != NULL && server->server.service.id == service
         && bgap_server_holder_eligible (&server->server, now_ms);
}

bool
bgap_router_holder_usable (const struct bgap_router *router, int64_t now_ms,
                           struct bgap_service_id service,
                           struct bgap_server_id holder)
{
  return _bgap_request_holder_is_usable (
      bgap_router_server (router->state, holder.id), now_ms, service.id);
}

static int64_t
_bgap_request_resolve_delay_ms (const struct bgap_router_request *request)
{
  uint32_t doublings = request->resolves < 4 ? request->resolves - 1 : 3;
  return (int64_t)BGAP_ROUTER_RESOLVE_BACKOFF_MS << doublings;
}

void
bgap_router_resolved (struct bgap_router *router, int64_t now_ms,
                      struct bgap_request_id request_id,
                      struct bgap_server_id holder, uint64_t token)
{
  struct bgap_router_state *state = router->state;
  struct bgap_router_request *request
      = bgap_router_open_request (state, request_id.id);
  if (request == NULL || request->state != BGAP_REQUEST_RESOLVING)
    return;
  bgap_router_leave_state (state, request);
  if (bgap_router_end_evacuated (state, now_ms, request))
    return;
  const struct bgap_router_server *server
      = bgap_router_server (state, holder.id);
  int64_t delay_ms = _bgap_request_resolve_delay_ms (request);
  if (!_bgap_request_holder_is_usable (server, now_ms, request->service))
    {
      bgap_router_back_off (state, now_ms, request, delay_ms, true);
      return;
    }
  /* The holder refused the same grant before: it may still have to renew its
     lease.  */
  bool same_grant = request->holder == holder.id && request->token == token
                    && request->fenced_by_holder;
  request->holder = holder.id;
  request->token = token;
  if (same_grant)
    bgap_router_back_off (state, now_ms, request, delay_ms, false);
  else
    bgap_router_route (state, now_ms, request);
}

void
bgap_router_holders_changed (struct bgap_router *router,
                             struct bgap_service_id service,
                             int64_t wake_at_ms)
{
  struct bgap_router_state *state = router->state;
  for (uint32_t id = bgap_pool_next (&state->requests, BGAP_INVALID_ID);
       id != BGAP_INVALID_ID; id = bgap_pool_next (&state->requests, id))
    {
      struct bgap_router_request *request
          = bgap_router_open_request (state, id);
      if (request == NULL || request->service != service.id
          || request->state != BGAP_REQUEST_BACKOFF
          || !request->resolve_on_wake || request->wake_at_ms <= wake_at_ms)
        continue;
      request->wake_at_ms = wake_at_ms;
      bgap_router_set_timer (state, request);
    }
}

bool
bgap_router_outage_refuses (const struct bgap_router_request *request,
                            int64_t now_ms, int64_t outage_ms)
{
  return outage_ms >= HOLDER_OUTAGE_MIN_MS
         && outage_ms >= request->deadline_at_ms - now_ms;
}

void
bgap_router_unresolved (struct bgap_router *router, int64_t now_ms,
                        struct bgap_request_id request_id, int64_t outage_ms)
{
  struct bgap_router_state *state = router->state;
  struct bgap_router_request *request
      = bgap_router_open_request (state, request_id.id);
  if (request == NULL || request->state != BGAP_REQUEST_RESOLVING)
    return;
  bgap_router_leave_state (state, request);
  if (bgap_router_end_evacuated (state, now_ms, request))
    return;
  if (bgap_router_outage_refuses (request, now_ms, outage_ms))
    {
      request->expected_ms = outage_ms;
      request->outage_ms = outage_ms;
      bgap_router_finish (state, now_ms, request, BGAP_REASON_NO_SERVER);
      return;
    }
  bgap_router_back_off (state, now_ms, request,
                        _bgap_request_resolve_delay_ms (request), true);
}

void
bgap_router_cancel (struct bgap_router *router, int64_t now_ms,
                    struct bgap_request_id request_id)
{
  struct bgap_router_state *state = router->state;
  struct bgap_router_request *request
      = bgap_router_open_request (state, request_id.id);
  if (request == NULL || request->detached)
    return;
  state->counts.cancelled++;
  request->detached = true;
  struct bgap_router_service *service
      = bgap_router_service (state, request->service);
  uint32_t holder = request->holder;
  if (request->state == BGAP_REQUEST_IN_FLIGHT)
    {
      if (request->intent_won)
        {
          request->context = NULL;
          return;
        }
      bgap_router_cancel_attempt (state, now_ms, request);
    }
  request->context = NULL;
  bgap_router_finish (state, now_ms, request, BGAP_REASON_DEADLINE);
  struct bgap_router_server *server = bgap_router_server (state, holder);
  if (server != NULL)
    bgap_router_dispatch_holder_queue (state, now_ms, server);
  bgap_router_dispatch_queue (state, now_ms, service);
}
