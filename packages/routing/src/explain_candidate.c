#include <string.h>

#include "banyangap/routing/router_explain.h"
#include "router_parts.h"

static const char *const step_names[BGAP_EXPLAIN_STEP_COUNT] = {
  [BGAP_EXPLAIN_SEND] = "send",
  [BGAP_EXPLAIN_WAIT] = "wait",
  [BGAP_EXPLAIN_LOOK_UP] = "wait for a holder",
  [BGAP_EXPLAIN_REFUSE] = "refuse",
};

static const char *const exclusion_names[BGAP_EXPLAIN_EXCLUSION_COUNT] = {
  [BGAP_EXPLAIN_USABLE] = "",
  [BGAP_EXPLAIN_NOT_HOLDER] = "not the holder of the key",
  [BGAP_EXPLAIN_LOST] = "lost",
  [BGAP_EXPLAIN_REMOVED] = "removed",
  [BGAP_EXPLAIN_EVACUATED] = "zone evacuated",
  [BGAP_EXPLAIN_DRAINING] = "leaving or draining",
  [BGAP_EXPLAIN_EJECTED] = "ejected",
  [BGAP_EXPLAIN_PAUSED] = "paused",
  [BGAP_EXPLAIN_COLD] = "cold, no permit",
  [BGAP_EXPLAIN_MAY_BE_COLD] = "may be cold, not checked",
  [BGAP_EXPLAIN_RATE_LIMIT] = "rate limit, no permit",
  [BGAP_EXPLAIN_BYTE_LIMIT] = "byte limit",
  [BGAP_EXPLAIN_BACKING_OFF] = "backing off",
  [BGAP_EXPLAIN_FULL] = "full",
};

const char *
bgap_explain_step_name (enum bgap_explain_step step)
{
  return step < BGAP_EXPLAIN_STEP_COUNT ? step_names[step] : "";
}

const char *
bgap_explain_exclusion_name (enum bgap_explain_exclusion exclusion)
{
  return exclusion < BGAP_EXPLAIN_EXCLUSION_COUNT ? exclusion_names[exclusion]
                                                  : "";
}

/* Why a server that the policy may not send to now is excluded.  */
static enum bgap_explain_exclusion
_bgap_candidate_unusable (const struct bgap_server *server)
{
  if (server->lost)
    return BGAP_EXPLAIN_LOST;
  if (server->removed)
    return BGAP_EXPLAIN_REMOVED;
  if ((server->drain_signals & 1u << BGAP_DRAIN_ZONE) != 0)
    return BGAP_EXPLAIN_EVACUATED;
  if (bgap_server_draining (server))
    return BGAP_EXPLAIN_DRAINING;
  return BGAP_EXPLAIN_EJECTED;
}

/* Why a server that has no capacity now is excluded.  */
static enum bgap_explain_exclusion
_bgap_candidate_at_limit (const struct bgap_server *server, int64_t now_ms)
{
  const struct bgap_rate_limit *limit = &server->rate_limit;
  if (bgap_server_pause_left_ms (server, now_ms) > 0)
    return BGAP_EXPLAIN_PAUSED;
  if (bgap_rate_limit_blocks (limit, now_ms))
    return bgap_rate_limit_cold_per_s (limit, now_ms) > 0
               ? BGAP_EXPLAIN_COLD
               : BGAP_EXPLAIN_RATE_LIMIT;
  if (bgap_server_may_be_cold (server, now_ms))
    return BGAP_EXPLAIN_MAY_BE_COLD;
  if (server->bytes_max > 0 && server->bytes_in_flight >= server->bytes_max)
    return BGAP_EXPLAIN_BYTE_LIMIT;
  return now_ms < server->backoff_until_ms ? BGAP_EXPLAIN_BACKING_OFF
                                           : BGAP_EXPLAIN_FULL;
}

static enum bgap_explain_exclusion
_bgap_candidate_exclusion (const struct bgap_router_service *service,
                           const struct bgap_server *server, int64_t now_ms,
                           bool is_holder)
{
  if (service->desc.keyed && !is_holder)
    return BGAP_EXPLAIN_NOT_HOLDER;
  bool may_use
      = service->desc.keyed
            ? bgap_server_holder_eligible (server, now_ms)
            : bgap_balancer_usable (&service->balancer, now_ms, server);
  if (!may_use)
    return _bgap_candidate_unusable (server);
  return bgap_router_server_at_limit (service, now_ms, server)
             ? _bgap_candidate_at_limit (server, now_ms)
             : BGAP_EXPLAIN_USABLE;
}

static int64_t
_bgap_candidate_excluded_ms (const struct bgap_server *server, int64_t now_ms,
                             enum bgap_explain_exclusion exclusion)
{
  switch (exclusion)
    {
    case BGAP_EXPLAIN_PAUSED:
      return bgap_server_pause_left_ms (server, now_ms);
    case BGAP_EXPLAIN_EJECTED:
      return server->ejected_until_ms - now_ms;
    case BGAP_EXPLAIN_BACKING_OFF:
      return server->backoff_until_ms - now_ms;
    case BGAP_EXPLAIN_COLD:
    case BGAP_EXPLAIN_RATE_LIMIT:
      return (int64_t)bgap_rate_limit_wait_ms (&server->rate_limit, now_ms, 1);
    default:
      return 0;
    }
}

/* By outstanding work if servers are selected by it, otherwise as deadlines
   are checked.  */
static double
_bgap_candidate_expected_ms (const struct bgap_router_service *service,
                             const struct bgap_router_request *request,
                             const struct bgap_server *server, int64_t now_ms)
{
  struct bgap_balancer_cost cost;
  if (bgap_router_placement (service, request, &cost))
    return bgap_outstanding_end_ms (&server->work, now_ms, server->slots,
                                    &cost.usual, cost.cost_ms);
  /* Reading the response times scales them.  */
  struct bgap_router_service copy = *service;
  return bgap_router_expected_ms (&copy, server, now_ms,
                                  bgap_router_cost_ms (service, request));
}

bool
bgap_router_explain_server (const struct bgap_router *router, int64_t now_ms,
                            const struct bgap_request_desc *desc,
                            uint32_t index,
                            struct bgap_explain_candidate *candidate)
{
  const struct bgap_router_service *service
      = bgap_router_service (router->state, desc->service.id);
  if (service == NULL || index >= service->server_count)
    return false;
  const struct bgap_server *server = service->servers[index];
  const struct bgap_rate_limit *limit = &server->rate_limit;
  uint32_t id = ((const struct bgap_router_server *)server)->id;
  struct bgap_router_request request;
  bgap_router_init_request (&request, now_ms, service, desc);
  bgap_router_expect_cost (service, &request);
  *candidate = (struct bgap_explain_candidate){
    .id = { id },
    .exclusion = _bgap_candidate_exclusion (service, server, now_ms,
                                            id == desc->holder.id),
    .expected_ms
    = _bgap_candidate_expected_ms (service, &request, server, now_ms),
    .work_ms = bgap_router_work_ms (router->state, now_ms, server),
    .slots = server->slots,
    .in_flight = server->in_flight,
    .others = bgap_server_others_in_flight (server, now_ms),
    .load_percent = bgap_server_load (server, now_ms),
    .load_age_ms = server->has_load ? now_ms - server->load_at_ms : -1,
    .permits = bgap_rate_limit_permits (limit, now_ms),
  };
  memcpy (candidate->name, server->name, sizeof candidate->name);
  memcpy (candidate->zone, server->zone, sizeof candidate->zone);
  if (bgap_rate_limit_cold_per_s (limit, now_ms) > 0)
    candidate->cold_ms = limit->cold_until_ms - now_ms;
  candidate->excluded_ms
      = _bgap_candidate_excluded_ms (server, now_ms, candidate->exclusion);
  return true;
}
