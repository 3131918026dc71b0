#include <stdlib.h>
#include <string.h>

#include "granter_candidates.h"
#include "granter_moves.h"

/* Load of a key without requests, so that the keys are divided evenly if there
   are none. All counted requests together weigh REQUESTS_WEIGHT times as much
   as all keys.  */
#define KEY_WEIGHT 1u
#define REQUESTS_WEIGHT 8u

/* Bounds of the speed of a server, relative to the mean.  */
#define SPEED_MIN 0.4
#define SPEED_MAX 2.0

/* A server may take the keys next to its own up to this load, in percent of
   its share. Above OVERLOAD_PERCENT of granter_balance.c it would give them
   away again.  */
#define NEIGHBOUR_PERCENT 115u

uint64_t
bgap_candidates_key_load (const struct bgap_granter *g, uint32_t key)
{
  return KEY_WEIGHT + (uint64_t)g->key_requests[key] * g->request_weight;
}

uint64_t
bgap_candidates_range_load (const struct bgap_granter *g, uint32_t first,
                            uint32_t last)
{
  uint64_t sum = 0;
  for (uint32_t key = first; key <= last; key++)
    sum += bgap_candidates_key_load (g, key);
  return sum;
}

/* The candidates are sorted by server id, as the targets are.  */
static int
_bgap_candidates_by_server (const void *server, const void *candidate)
{
  return strcmp (server, ((const struct bgap_candidate *)candidate)->server);
}

struct bgap_candidate *
bgap_candidates_find (struct bgap_candidate *candidates, uint32_t count,
                      const char *server)
{
  return bsearch (server, candidates, count, sizeof *candidates,
                  _bgap_candidates_by_server);
}

double
bgap_candidates_mean_latency (const struct bgap_granter *g)
{
  double sum_ms = 0;
  uint32_t count = 0;
  for (uint32_t i = 0; i < g->target_count; i++)
    if (!g->targets[i].gone && g->targets[i].desc.latency_ms > 0)
      {
        sum_ms += g->targets[i].desc.latency_ms;
        count++;
      }
  return count > 0 ? sum_ms / count : 0;
}

/* The speed is limited, because few answers make a poor measurement.  */
static double
_bgap_candidates_capacity (const struct bgap_granter_server *server,
                           double mean_ms)
{
  double speed = server->latency_ms > 0 ? mean_ms / server->latency_ms : 1;
  if (speed < SPEED_MIN)
    speed = SPEED_MIN;
  if (speed > SPEED_MAX)
    speed = SPEED_MAX;
  return speed * server->slots;
}

static bool
_bgap_candidates_usable (const struct bgap_granter *g, int64_t now_ms,
                         const struct bgap_grant_target *target)
{
  return bgap_grant_target_usable (
      target, g->most_usable ? now_ms : target->backoff_until_ms);
}

/* Whether the servers that are not cold are enough to take all keys.  */
static bool
_bgap_candidates_most_warm (const struct bgap_granter *g, int64_t now_ms)
{
  uint32_t usable = 0;
  uint32_t warm = 0;
  for (uint32_t i = 0; i < g->target_count; i++)
    {
      bool is_usable = _bgap_candidates_usable (g, now_ms, &g->targets[i]);
      usable += is_usable;
      warm += is_usable && !g->targets[i].desc.cold;
    }
  return 2 * warm >= usable;
}

bool
bgap_candidates_keeps_keys (const struct bgap_granter *g, const char *server)
{
  const struct bgap_grant_target *target = bgap_grant_targets_find (g, server);
  return target != NULL && target->desc.cold;
}

/* The load of keys that are moving is that of the servers that get them.  */
static void
_bgap_candidates_add_planned (const struct bgap_granter *g,
                              struct bgap_candidate *candidates,
                              uint32_t count,
                              const struct bgap_key_range *range)
{
  uint32_t last;
  for (uint32_t first = range->first; first <= range->last; first = last + 1)
    {
      const struct bgap_planned_move *move = bgap_moves_find (g, first);
      last = bgap_moves_end (g, first, range->last);
      struct bgap_candidate *candidate
          = move != NULL
                ? bgap_candidates_find (candidates, count, move->server)
                : NULL;
      if (candidate != NULL)
        candidate->load += bgap_candidates_range_load (g, first, last);
    }
}

double
bgap_candidates_capacity_per_s (const struct bgap_granter_server *server,
                                double mean_ms)
{
  if (mean_ms <= 0)
    return 0;
  return _bgap_candidates_capacity (server, mean_ms) * 1000 / mean_ms;
}

struct bgap_candidate *
bgap_candidates_list (struct bgap_granter *g, int64_t now_ms,
                      const struct bgap_assignment *next, uint32_t *out)
{
  uint32_t count = 0;
  double capacity = 0;
  uint64_t total = 0;
  double mean_ms = bgap_candidates_mean_latency (g);
  bool only_warm = _bgap_candidates_most_warm (g, now_ms);
  g->request_weight
      = g->requests_total > 0
            ? (uint64_t)BGAP_KEY_COUNT * REQUESTS_WEIGHT / g->requests_total
            : 0;
  struct bgap_candidate *candidates
      = calloc (g->target_count ? g->target_count : 1, sizeof *candidates);
  if (candidates == NULL)
    return NULL;
  for (uint32_t i = 0; i < g->target_count; i++)
    {
      const struct bgap_grant_target *target = &g->targets[i];
      if (!_bgap_candidates_usable (g, now_ms, target)
          || (only_warm && target->desc.cold))
        continue;
      candidates[count++] = (struct bgap_candidate){
        .server = target->desc.id,
        .started_ms = target->desc.started_ms,
        .latency_ms = target->desc.latency_ms,
        .slots = target->desc.slots,
        .capacity = _bgap_candidates_capacity (&target->desc, mean_ms),
        .exhausted = target->desc.cold
      };
      capacity += candidates[count - 1].capacity;
    }
  *out = count;
  /* Keys that no server can take ask for candidates in each pass.  */
  if (count == 0)
    return candidates;
  for (uint32_t i = 0; i < next->count; i++)
    {
      const struct bgap_key_range *range = &next->ranges[i];
      /* These keys stay where they are.  */
      if (only_warm && !range->moving
          && bgap_candidates_keeps_keys (g, range->server))
        continue;
      uint64_t load
          = bgap_candidates_range_load (g, range->first, range->last);
      struct bgap_candidate *candidate
          = bgap_candidates_find (candidates, count, range->server);
      total += load;
      if (range->moving)
        _bgap_candidates_add_planned (g, candidates, count, range);
      else if (candidate != NULL)
        candidate->load += load;
    }
  for (uint32_t i = 0; i < count; i++)
    candidates[i].share
        = (uint64_t)((double)total * candidates[i].capacity / capacity);
  return candidates;
}

struct bgap_candidate *
bgap_candidates_least_loaded (struct bgap_candidate *candidates,
                              uint32_t count)
{
  struct bgap_candidate *best = NULL;
  int64_t best_spare = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      int64_t spare
          = (int64_t)candidates[i].share - (int64_t)candidates[i].load;
      if (best != NULL && spare <= best_spare)
        continue;
      best = &candidates[i];
      best_spare = spare;
    }
  return best;
}

struct bgap_candidate *
bgap_candidates_neighbour (const struct bgap_assignment *next,
                           struct bgap_candidate *candidates, uint32_t count,
                           uint32_t first, uint32_t last, uint64_t load)
{
  const uint32_t keys[] = { first - 1, last + 1 };
  for (int i = 0; i < 2; i++)
    {
      const struct bgap_key_range *range
          = keys[i] < BGAP_KEY_COUNT ? bgap_assignment_find (next, keys[i])
                                     : NULL;
      struct bgap_candidate *candidate
          = range != NULL && !range->moving
                ? bgap_candidates_find (candidates, count, range->server)
                : NULL;
      if (candidate != NULL
          && (candidate->load + load) * 100
                 <= candidate->share * NEIGHBOUR_PERCENT)
        return candidate;
    }
  return NULL;
}
