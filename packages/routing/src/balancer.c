#include "banyangap/routing/balancer.h"

/* Maximum number of servers compared in one selection. In larger services the
   scan for candidates starts at a random server.  */
#define CANDIDATES_MAX 64

/* Maximum number of servers compared in a selection by cost, which takes
   longer for each of them. In bench_routing_uneven the 99th percentile falls
   with this number.  */
#define COST_CANDIDATES_MAX 48

/* A server of another zone is compared with the best local one if the request
   is expected to take this many times its cost there, and is selected if it is
   earlier by this many milliseconds.  */
#define LOCAL_COSTS_MAX 1.3
#define REMOTE_MS 5

enum zone_filter
{
  ZONE_ANY,
  ZONE_LOCAL,
  ZONE_REMOTE
};

bool
bgap_balancer_usable (const struct bgap_balancer *balancer, int64_t now_ms,
                      const struct bgap_server *server)
{
  if (balancer->ops->limited)
    return bgap_server_eligible (server, now_ms);
  return !server->lost && !server->removed && !bgap_server_draining (server);
}

static bool
_bgap_balancer_may_check (const struct bgap_balancer_unchecked *unchecked,
                          int64_t now_ms, const struct bgap_server *server)
{
  const struct bgap_warm_check *check = &server->warm_check;
  return server->check_weight >= unchecked->weight_min
         && bgap_server_may_be_cold (server, now_ms)
         && bgap_warm_check_may_begin (check, now_ms)
         && (!unchecked->has_rested
             || bgap_warm_check_has_rested (check, now_ms));
}

static bool
_bgap_balancer_has_capacity (const struct bgap_balancer *balancer,
                             int64_t now_ms,
                             const struct bgap_balancer_query *query,
                             const struct bgap_server *server)
{
  if (!balancer->ops->limited)
    return server->in_flight < server->quota
           && bgap_server_pause_left_ms (server, now_ms) == 0;
  uint32_t queue_percent
      = query->queue_percent != 0 ? query->queue_percent : 100;
  if (bgap_server_busy_for (server, now_ms, queue_percent))
    return false;
  if (query->unchecked != NULL)
    return _bgap_balancer_may_check (query->unchecked, now_ms, server);
  if (bgap_server_may_be_cold (server, now_ms))
    return false;
  return query->without_permits
             ? bgap_rate_limit_asked (&server->rate_limit, now_ms) == 0
             : !bgap_rate_limit_blocks (&server->rate_limit, now_ms);
}

static bool
_bgap_balancer_avoided (const struct bgap_balancer_query *query,
                        const struct bgap_server *server)
{
  if (query->suspect && server->suspects > 0)
    return true;
  for (size_t i = 0; i < query->exclude_count; i++)
    if (query->exclude[i] == server)
      return true;
  return false;
}

/* Distance between the servers of a scan: relatively prime to their number, so
   that it visits each once, and random, so that servers that are neighbors in
   the list are not compared together in each selection.  */
static size_t
_bgap_balancer_step (const struct bgap_balancer *balancer, size_t count)
{
  size_t step = 1 + bgap_random_below (balancer->random, count - 1);
  for (;; step = step > 1 ? step - 1 : 1)
    {
      size_t a = count;
      size_t b = step;
      while (b != 0)
        {
          size_t rest = a % b;
          a = b;
          b = rest;
        }
      if (a == 1)
        return step;
    }
}

/**
 * struct choice - a selected server and the expected time until the answer
 */
struct choice
{
  struct bgap_server *server;
  double end_ms;
};

static struct choice
_bgap_balancer_pick_among (const struct bgap_balancer *balancer,
                           int64_t now_ms,
                           const struct bgap_balancer_query *query,
                           enum zone_filter zone, bool avoid)
{
  struct bgap_server *candidates[CANDIDATES_MAX];
  bool by_cost = query->cost != NULL && balancer->ops->pick_by_cost != NULL;
  size_t max = by_cost ? COST_CANDIDATES_MAX : CANDIDATES_MAX;
  size_t count = 0;
  size_t at = 0;
  size_t step = 1;
  if (query->count > max)
    at = bgap_random_below (balancer->random, query->count);
  if (by_cost && query->count > max)
    step = _bgap_balancer_step (balancer, query->count);
  for (size_t i = 0; i < query->count && count < max; i++)
    {
      struct bgap_server *server = query->servers[at];
      at += step;
      if (at >= query->count)
        at -= query->count;
      if (zone != ZONE_ANY && server->local != (zone == ZONE_LOCAL))
        continue;
      if (!bgap_balancer_usable (balancer, now_ms, server)
          || !_bgap_balancer_has_capacity (balancer, now_ms, query, server))
        continue;
      if (avoid && _bgap_balancer_avoided (query, server))
        continue;
      candidates[count++] = server;
    }
  struct choice choice = { 0 };
  if (count == 0)
    return choice;
  size_t best = by_cost
                    ? balancer->ops->pick_by_cost (balancer->random, now_ms,
                                                   candidates, count,
                                                   query->cost, &choice.end_ms)
                    : balancer->ops->pick (balancer->random, now_ms,
                                           candidates, count);
  choice.server = candidates[best];
  return choice;
}

static struct bgap_server *
_bgap_balancer_pick_nearest (const struct bgap_balancer *balancer,
                             int64_t now_ms,
                             const struct bgap_balancer_query *query,
                             bool avoid)
{
  if (!balancer->ops->limited)
    return _bgap_balancer_pick_among (balancer, now_ms, query, ZONE_ANY, avoid)
        .server;
  const struct choice local
      = _bgap_balancer_pick_among (balancer, now_ms, query, ZONE_LOCAL, avoid);
  if (local.server != NULL
      && (query->cost == NULL
          || local.end_ms <= LOCAL_COSTS_MAX * query->cost->cost_ms))
    return local.server;
  const struct choice remote = _bgap_balancer_pick_among (
      balancer, now_ms, query, ZONE_REMOTE, avoid);
  if (local.server != NULL
      && (remote.server == NULL || remote.end_ms + REMOTE_MS >= local.end_ms))
    return local.server;
  return remote.server;
}

struct bgap_server *
bgap_balancer_pick (const struct bgap_balancer *balancer, int64_t now_ms,
                    const struct bgap_balancer_query *query)
{
  bool avoid = query->exclude_count > 0 || query->suspect;
  struct bgap_server *server
      = _bgap_balancer_pick_nearest (balancer, now_ms, query, avoid);
  if (server != NULL || !avoid)
    return server;
  return _bgap_balancer_pick_nearest (balancer, now_ms, query, false);
}
