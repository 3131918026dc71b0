#include "router_parts.h"

#define TICK_MAX_MS 1000
#define TICK_QUEUE_MS 10
#define TICK_APPEND_MS 20

static void
_bgap_router_on_timer (struct bgap_router_state *state, int64_t now_ms,
                       struct bgap_router_request *request)
{
  if (request->deadline_at_ms > now_ms)
    {
      /* Only state BACKOFF has a timer that expires before the deadline.  */
      bool resolve_on_wake = request->resolve_on_wake;
      bgap_router_leave_state (state, request);
      bgap_router_set_timer (state, request);
      if (resolve_on_wake)
        bgap_router_resolve (state, now_ms, request);
      else
        bgap_router_route (state, now_ms, request);
      return;
    }
  if (request->state == BGAP_REQUEST_IN_FLIGHT)
    {
      bgap_router_attempt_timed_out (state, now_ms, request);
      return;
    }
  bgap_router_finish (state, now_ms, request, BGAP_REASON_DEADLINE);
}

static void
_bgap_router_tick_services (struct bgap_router_state *state, int64_t now_ms,
                            int64_t wall_ms)
{
  for (uint32_t id = bgap_pool_next (&state->services, BGAP_INVALID_ID);
       id != BGAP_INVALID_ID; id = bgap_pool_next (&state->services, id))
    {
      struct bgap_router_service *service = bgap_router_service (state, id);
      if (service->idempotency.state != NULL)
        {
          bgap_idempotency_tick (&service->idempotency, now_ms, wall_ms);
          bgap_router_process_idempotency (state, now_ms, service);
        }
      bgap_router_update_rate (&service->rate, service->waiting, now_ms);
      for (uint32_t i = 0; i < service->server_count; i++)
        {
          struct bgap_router_server *server
              = (struct bgap_router_server *)service->servers[i];
          bgap_router_update_rate (&server->rate, server->queue.count, now_ms);
          if (!bgap_server_ejected (&server->server, now_ms))
            server->server.ejected_until_ms = 0;
          bgap_router_refuse_late (state, now_ms, &server->queue,
                                   &server->spare);
          if (server->queue.count > 0
              || bgap_rate_limit_asked (&server->server.rate_limit, now_ms)
                     > 0)
            bgap_router_dispatch_holder_queue (state, now_ms, server);
        }
      bgap_router_refuse_late (state, now_ms, &service->queue,
                               &service->spare);
      if (service->queue.count > 0 || service->has_limits)
        bgap_router_dispatch_queue (state, now_ms, service);
    }
}

void
bgap_router_tick (struct bgap_router *router, int64_t now_ms, int64_t wall_ms)
{
  struct bgap_router_state *state = router->state;
  const struct bgap_heap_item *top;
  state->wall_offset_ms = wall_ms - now_ms;
  while ((top = bgap_heap_top (&state->timers)) != NULL
         && top->major <= now_ms)
    _bgap_router_on_timer (state, now_ms,
                           bgap_router_open_request (state, top->id));
  bgap_router_tick_limits (state, now_ms);
  _bgap_router_tick_services (state, now_ms, wall_ms);
  if (state->desc.load_interval_ms > 0 && now_ms >= state->loads_due_ms)
    {
      state->loads_due_ms = now_ms + state->desc.load_interval_ms;
      bgap_router_send_loads (state);
    }
}

int64_t
bgap_router_next_tick_ms (const struct bgap_router *router, int64_t now_ms)
{
  const struct bgap_router_state *state = router->state;
  int64_t wait_ms = TICK_MAX_MS;
  const struct bgap_heap_item *top = bgap_heap_top (&state->timers);
  if (top != NULL && top->major - now_ms < wait_ms)
    wait_ms = top->major - now_ms;
  if (state->desc.load_interval_ms > 0
      && state->loads_due_ms - now_ms < wait_ms)
    wait_ms = state->loads_due_ms - now_ms;
  wait_ms = bgap_permit_issuer_wait_ms (state->issuer, now_ms, wait_ms);
  for (uint32_t id = bgap_pool_next (&state->services, BGAP_INVALID_ID);
       id != BGAP_INVALID_ID; id = bgap_pool_next (&state->services, id))
    {
      const struct bgap_router_service *service
          = bgap_router_service (state, id);
      if (service->waiting > 0 && wait_ms > TICK_QUEUE_MS)
        wait_ms = TICK_QUEUE_MS;
      if (service->idempotency.state != NULL && wait_ms > TICK_APPEND_MS
          && bgap_idempotency_counts (&service->idempotency).to_append > 0)
        wait_ms = TICK_APPEND_MS;
    }
  return wait_ms > 0 ? wait_ms : 0;
}
