#include "router_parts.h"

/* Whether a request needs a permit for a cold server or a health check.  */
static bool
_bgap_clearance_is_needed (const struct bgap_server *server, int64_t now_ms)
{
  return bgap_rate_limit_cold_per_s (&server->rate_limit, now_ms) > 0
         || bgap_server_needs_check (server, now_ms);
}

void
bgap_router_note_clearance (struct bgap_router_attempt *attempt,
                            int64_t now_ms, const struct bgap_server *server)
{
  const struct bgap_rate_limit *limit = &server->rate_limit;
  attempt->has_permit = bgap_rate_limit_cold_per_s (limit, now_ms) > 0
                        && bgap_rate_limit_permits (limit, now_ms) > 0;
  attempt->cleared_until_ms = 0;
  if (attempt->has_permit)
    attempt->cleared_until_ms = limit->permits_until_ms;
  else if (_bgap_clearance_is_needed (server, now_ms))
    attempt->cleared_until_ms
        = server->warm_check.checked_ms + BGAP_WARM_CHECK_VALID_MS;
}

bool
bgap_router_may_send (struct bgap_router *router, int64_t now_ms,
                      struct bgap_attempt_id attempt_id)
{
  const struct bgap_router_state *state = router->state;
  struct bgap_router_attempt *attempt
      = bgap_pool_get (&state->attempts, attempt_id.id);
  if (attempt == NULL)
    return false;
  struct bgap_server *server
      = &bgap_router_server (state, attempt->server)->server;
  bool is_cold = bgap_rate_limit_cold_per_s (&server->rate_limit, now_ms) > 0;
  if (!_bgap_clearance_is_needed (server, now_ms)
      || (now_ms < attempt->cleared_until_ms
          && (attempt->has_permit || !is_cold)))
    return true;
  if (bgap_rate_limit_blocks (&server->rate_limit, now_ms)
      || bgap_server_may_be_cold (server, now_ms))
    return false;
  bgap_router_note_clearance (attempt, now_ms, server);
  bgap_rate_limit_take (&server->rate_limit, now_ms);
  bgap_warm_check_use (&server->warm_check);
  return true;
}

int64_t
bgap_router_clearance_ms (const struct bgap_router *router, int64_t now_ms,
                          struct bgap_attempt_id attempt_id)
{
  const struct bgap_router_attempt *attempt
      = bgap_pool_get (&router->state->attempts, attempt_id.id);
  return attempt != NULL && attempt->cleared_until_ms != 0
             ? attempt->cleared_until_ms - now_ms
             : 0;
}
