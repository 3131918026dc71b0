#include "router_parts.h"

/* Most health checks of a service that an instance waits for at a time, apart
   from slow ones.  */
#define CHECKS_MAX 4u

/* Number of servers of a service, on average, that an instance checks as long
   as they are not full: enough for 48 requests a second. All instances would
   otherwise check each cold server, one after the other.  */
#define CHECKED_SERVERS 16u

void
bgap_router_set_view_time (struct bgap_router *router, int64_t read_ms)
{
  struct bgap_router_state *state = router->state;
  if (read_ms <= state->servers_read_ms)
    return;
  state->servers_read_ms = read_ms;
  for (uint32_t id = bgap_pool_next (&state->servers, BGAP_INVALID_ID);
       id != BGAP_INVALID_ID; id = bgap_pool_next (&state->servers, id))
    bgap_warm_check_set_view_time (
        &bgap_router_server (state, id)->server.warm_check, read_ms);
}

static void
_bgap_check_begin (struct bgap_router_state *state, int64_t now_ms,
                   struct bgap_server *server)
{
  bgap_warm_check_begin (&server->warm_check, now_ms);
  bgap_router_emit (
      state, &(struct bgap_router_action){
                 .kind = BGAP_ROUTER_ACTION_CHECK_SERVER,
                 .service = server->service,
                 .server = { ((struct bgap_router_server *)server)->id } });
}

void
bgap_router_want_check (struct bgap_router_state *state, int64_t now_ms,
                        struct bgap_server *server)
{
  if (bgap_server_may_be_cold (server, now_ms)
      && !bgap_server_busy (server, now_ms)
      && bgap_warm_check_may_begin (&server->warm_check, now_ms))
    _bgap_check_begin (state, now_ms, server);
}

/**
 * struct check_counts - servers of a service
 * @awaited: those with a health check that may be answered soon
 * @due: those that may be cold and could be checked now
 */
struct check_counts
{
  uint32_t awaited;
  uint32_t due;
};

static struct check_counts
_bgap_check_count (const struct bgap_router_service *service, int64_t now_ms)
{
  struct check_counts counts = { 0 };
  for (uint32_t i = 0; i < service->server_count; i++)
    {
      const struct bgap_server *server = service->servers[i];
      counts.awaited
          += bgap_warm_check_is_awaited (&server->warm_check, now_ms);
      counts.due += bgap_server_may_be_cold (server, now_ms)
                    && bgap_warm_check_may_begin (&server->warm_check, now_ms);
    }
  return counts;
}

/* Smallest check_weight of the servers that this instance checks first.  */
static uint64_t
_bgap_check_weight_min (const struct bgap_router_service *service)
{
  if (service->server_count <= CHECKED_SERVERS)
    return 0;
  return UINT64_MAX - UINT64_MAX / service->server_count * CHECKED_SERVERS;
}

/* The server without keys to check next, NULL if there is none: of those that
   this instance checks first, else any, else one that was checked just
   before.  */
static struct bgap_server *
_bgap_check_pick (const struct bgap_router_service *service, int64_t now_ms)
{
  const struct bgap_balancer_unchecked steps[] = {
    { .weight_min = _bgap_check_weight_min (service), .has_rested = true },
    { .has_rested = true },
    { .has_rested = false },
  };
  struct bgap_server *server = NULL;
  for (size_t i = 0; server == NULL && i < sizeof steps / sizeof *steps; i++)
    {
      const struct bgap_balancer_query query = {
        .servers = service->servers,
        .count = service->server_count,
        .unchecked = &steps[i],
      };
      server = bgap_balancer_pick (&service->balancer, now_ms, &query);
    }
  return server;
}

void
bgap_router_want_any_checks (struct bgap_router_state *state, int64_t now_ms,
                             struct bgap_router_service *service)
{
  uint32_t wanted = service->queue.count;
  if (wanted > CHECKS_MAX)
    wanted = CHECKS_MAX;
  if (wanted == 0 || service->desc.keyed)
    return;
  const struct check_counts counts = _bgap_check_count (service, now_ms);
  if (counts.due == 0)
    return;
  for (uint32_t i = counts.awaited; i < wanted; i++)
    {
      struct bgap_server *server = _bgap_check_pick (service, now_ms);
      if (server == NULL)
        return;
      _bgap_check_begin (state, now_ms, server);
    }
}

void
bgap_router_server_checked (struct bgap_router *router, int64_t now_ms,
                            struct bgap_server_id server_id,
                            enum bgap_warm_check_result result)
{
  struct bgap_router_state *state = router->state;
  struct bgap_router_server *server = bgap_router_server (state, server_id.id);
  if (server == NULL)
    return;
  bgap_warm_check_end (&server->server.warm_check, now_ms, result);
  bgap_router_server_changed (state, now_ms, server);
}
