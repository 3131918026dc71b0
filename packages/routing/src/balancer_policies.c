#include "banyangap/routing/balancer.h"

/* Loads above this percentage get the same weight as this one.  */
#define LOAD_CAP 100u

/* Each expected time is lengthened by a random part of at most a quarter, so
   that the choice is random among servers that are about as early, and small
   and uncertain differences do not make all instances choose the same one. The
   constant is that part for each unit of a random number of 32 bits, which
   remains of one of 64 bits when it is shifted.  */
#define CHOICE_SPREAD (0.25 / 4294967296.0)
#define RANDOM_SHIFT 32

/* How much longer requests take on a server during its warm-up.  */
#define COLD_FACTOR 2

static size_t
_bgap_balancer_pick_random (struct bgap_random *random, int64_t now_ms,
                            struct bgap_server *const *servers, size_t count)
{
  (void)now_ms;
  (void)servers;
  return bgap_random_below (random, count);
}

static size_t
_bgap_balancer_pick_least (struct bgap_random *random, int64_t now_ms,
                           struct bgap_server *const *servers, size_t count)
{
  (void)now_ms;
  size_t best = 0;
  uint64_t ties = 1;
  for (size_t i = 1; i < count; i++)
    {
      if (servers[i]->in_flight > servers[best]->in_flight)
        continue;
      if (servers[i]->in_flight < servers[best]->in_flight)
        ties = 0;
      ties++;
      if (ties == 1 || bgap_random_below (random, ties) == 0)
        best = i;
    }
  return best;
}

/* Weight of a server among those with an equal share of this instance's
   requests. The selection is weighted instead of taking the minimum, because
   between two reports all instances would overload the server that they all
   believe to be the least loaded.  */
static uint64_t
_bgap_balancer_weight (const struct bgap_server *server, int64_t now_ms,
                       uint32_t limit)
{
  uint32_t load = bgap_server_load (server, now_ms);
  uint32_t peers = server->in_flight_peers * 100 / server->slots;
  if (peers > load)
    load = peers;
  if (load > LOAD_CAP)
    load = LOAD_CAP;
  uint64_t spare = LOAD_CAP + 10 - load;
  return spare * spare * limit;
}

static size_t
_bgap_balancer_pick_default (struct bgap_random *random, int64_t now_ms,
                             struct bgap_server *const *servers, size_t count)
{
  size_t best = 0;
  uint32_t best_limit = 0;
  uint64_t total = 0;
  for (size_t i = 0; i < count; i++)
    {
      uint32_t limit = bgap_server_limit (servers[i], now_ms);
      uint64_t share = (uint64_t)servers[i]->in_flight * best_limit;
      uint64_t best_share = (uint64_t)servers[best]->in_flight * limit;
      if (i > 0 && share > best_share)
        continue;
      if (i == 0 || share < best_share)
        total = 0;
      uint64_t weight = _bgap_balancer_weight (servers[i], now_ms, limit);
      total += weight;
      /* Reservoir sampling: each of the servers with the lowest share is
         selected with probability weight / total.  */
      if (total == weight || bgap_random_below (random, total) < weight)
        {
          best = i;
          best_limit = limit;
        }
    }
  return best;
}

/**
 * struct known_latencies - response times of the servers that have answered
 */
struct known_latencies
{
  double mean_ms;
  double least_ms;
};

static struct known_latencies
_bgap_balancer_known (struct bgap_server *const *servers, size_t count)
{
  double sum_ms = 0;
  double least_ms = 0;
  size_t known = 0;
  for (size_t i = 0; i < count; i++)
    {
      double latency_ms = servers[i]->latency_ms;
      if (latency_ms <= 0)
        continue;
      sum_ms += latency_ms;
      if (known == 0 || latency_ms < least_ms)
        least_ms = latency_ms;
      known++;
    }
  if (known == 0)
    return (struct known_latencies){ 1, 1 };
  return (struct known_latencies){ sum_ms / (double)known, least_ms };
}

/* Expected response time, for comparison with other servers: the smoothed
   response time, scaled by the requests that share its slots.  */
static double
_bgap_balancer_expected_ms (const struct bgap_server *server, int64_t now_ms,
                            const struct known_latencies *known)
{
  uint32_t busy
      = server->in_flight + bgap_server_others_in_flight (server, now_ms) + 1;
  double unknown_ms = server->joined ? known->least_ms : known->mean_ms;
  double latency_ms = server->latency_ms > 0 ? server->latency_ms : unknown_ms;
  double share = (double)busy / (double)server->slots;
  if (now_ms < server->cold_until_ms)
    latency_ms *= COLD_FACTOR;
  return latency_ms * (share > 1 ? share : 0.5 + share / 2);
}

static size_t
_bgap_balancer_pick_shared (struct bgap_random *random, int64_t now_ms,
                            struct bgap_server *const *servers, size_t count)
{
  struct known_latencies known = _bgap_balancer_known (servers, count);
  size_t start = bgap_random_below (random, count);
  size_t best = start;
  double best_ms = 0;
  for (size_t i = 0; i < count; i++)
    {
      size_t at = (start + i) % count;
      double ms = _bgap_balancer_expected_ms (servers[at], now_ms, &known);
      if (i > 0 && ms >= best_ms)
        continue;
      best = at;
      best_ms = ms;
    }
  return best;
}

static size_t
_bgap_balancer_pick_by_cost (struct bgap_random *random, int64_t now_ms,
                             struct bgap_server *const *servers, size_t count,
                             const struct bgap_balancer_cost *cost,
                             double *end_ms)
{
  size_t best = 0;
  double best_ms = 0;
  for (size_t i = 0; i < count; i++)
    {
      const struct bgap_server *server = servers[i];
      double ms = bgap_outstanding_end_ms (
          &server->work, now_ms, server->slots, &cost->usual, cost->cost_ms);
      if (now_ms < server->cold_until_ms)
        ms *= COLD_FACTOR;
      double spread_ms
          = ms
            * (1
               + CHOICE_SPREAD
                     * (double)(bgap_random_next (random) >> RANDOM_SHIFT));
      if (i > 0 && spread_ms >= best_ms)
        continue;
      best = i;
      best_ms = spread_ms;
      *end_ms = ms;
    }
  return best;
}

const struct bgap_balancer_ops bgap_balancer_shared = {
  .name = "shared",
  .limited = true,
  .pick = _bgap_balancer_pick_shared,
  .pick_by_cost = _bgap_balancer_pick_by_cost,
};

const struct bgap_balancer_ops bgap_balancer_shared_count = {
  .name = "shared-count",
  .limited = true,
  .pick = _bgap_balancer_pick_shared,
};

const struct bgap_balancer_ops bgap_balancer_default = {
  .name = "default",
  .limited = true,
  .pick = _bgap_balancer_pick_default,
};

const struct bgap_balancer_ops bgap_balancer_random = {
  .name = "random",
  .pick = _bgap_balancer_pick_random,
};

const struct bgap_balancer_ops bgap_balancer_least_connections = {
  .name = "least-connections",
  .pick = _bgap_balancer_pick_least,
};
