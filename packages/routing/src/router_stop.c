#include "banyangap/routing/router_stop.h"

#include "router_parts.h"

void
bgap_router_begin_stop (struct bgap_router *router,
                        const struct bgap_router_stop *stop)
{
  router->state->stop = *stop;
}

void
bgap_router_stop_accepting (struct bgap_router *router)
{
  router->state->shutting_down = true;
}

bool
bgap_router_accepts (const struct bgap_router_state *state, int64_t now_ms)
{
  return !state->shutting_down
         && (state->stop.accept_until_ms == 0
             || now_ms < state->stop.accept_until_ms);
}

bool
bgap_router_may_wait (const struct bgap_router_state *state, int64_t now_ms)
{
  return state->stop.wait_until_ms == 0 || now_ms < state->stop.wait_until_ms;
}

static bool
_bgap_stop_is_waiting (const struct bgap_router_request *request)
{
  return request->state != BGAP_REQUEST_IN_FLIGHT
         && request->state != BGAP_REQUEST_IDEMPOTENCY;
}

static bool
_bgap_stop_may_abort (const struct bgap_router_request *request)
{
  return request->state == BGAP_REQUEST_IN_FLIGHT && !request->intent_won
         && !request->started;
}

/* Ends the requests that @applies to.  */
static void
_bgap_stop_end_requests (
    struct bgap_router *router, int64_t now_ms,
    bool (*applies) (const struct bgap_router_request *request))
{
  struct bgap_router_state *state = router->state;
  uint32_t id = bgap_pool_next (&state->requests, BGAP_INVALID_ID);
  while (id != BGAP_INVALID_ID)
    {
      struct bgap_router_request *request
          = bgap_pool_get (&state->requests, id);
      id = bgap_pool_next (&state->requests, id);
      if (!applies (request))
        continue;
      if (request->state == BGAP_REQUEST_IN_FLIGHT)
        {
          bgap_router_cancel_attempt (state, now_ms, request);
          request->maybe_ran = true;
        }
      bgap_router_finish (state, now_ms, request, BGAP_REASON_SHUTDOWN);
    }
}

void
bgap_router_refuse_waiting (struct bgap_router *router, int64_t now_ms)
{
  _bgap_stop_end_requests (router, now_ms, _bgap_stop_is_waiting);
}

void
bgap_router_abort_attempts (struct bgap_router *router, int64_t now_ms)
{
  _bgap_stop_end_requests (router, now_ms, _bgap_stop_may_abort);
}

bool
bgap_router_idle (const struct bgap_router *router)
{
  const struct bgap_router_state *state = router->state;
  if (state->requests.used > 0 || state->actions.count > 0)
    return false;
  for (uint32_t id = bgap_pool_next (&state->services, BGAP_INVALID_ID);
       id != BGAP_INVALID_ID; id = bgap_pool_next (&state->services, id))
    {
      const struct bgap_router_service *service
          = bgap_router_service (state, id);
      if (service->idempotency.state != NULL
          && bgap_idempotency_counts (&service->idempotency).to_append > 0)
        return false;
    }
  return true;
}
