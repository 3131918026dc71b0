#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "granter_candidates.h"
#include "granter_hot_spans.h"
#include "granter_moves.h"

/* Length of the window of the newest requests: one interval of the reports of
   keys (edge_peers.c), so that each instance has reported.  */
#define WINDOW_MS 200

/* A server has to be overloaded for this time before its keys move: the first
   reports come from a part of the instances only, and the rate would be
   underestimated.  */
#define CONFIRM_MS INT64_C (200)

/* Interval of the search for overloaded servers.  */
#define INTERVAL_MS 50

/* Number of ranges that are left for changes other than spreading.  */
#define RANGES_SPARE 16u

/* Ranges that hot spans may add to the number above which ranges are merged:
   two spans over 64 servers. A successor of the granter renews all of them
   while leases last that were granted when there were fewer.  */
#define RANGES_ADDED_MAX 128u

/* Interval at which the counts of requests are halved. Right after that they
   represent the requests of about one interval.  */
#define COUNTS_MS 1000

void
bgap_spread_count (struct bgap_granter *g, uint32_t key)
{
  g->recent[g->recent_next]
      = (struct bgap_recent_request){ g->last_tick_ms, (uint16_t)key };
  g->recent_next = (g->recent_next + 1) % BGAP_RECENT_REQUESTS;
  if (g->recent_count < BGAP_RECENT_REQUESTS)
    g->recent_count++;
}

static int
_bgap_spread_by_key (const void *left, const void *right)
{
  return (int)*(const uint16_t *)left - (int)*(const uint16_t *)right;
}

/* Collects the keys of the requests of the last @window_ms. Returns their
   number.  */
static uint32_t
_bgap_spread_keys (const struct bgap_granter *g, int64_t now_ms,
                   int64_t window_ms, uint16_t *keys, double *window_s)
{
  uint32_t count = 0;
  int64_t since_ms = now_ms;
  for (uint32_t i = 1; i <= g->recent_count; i++)
    {
      const struct bgap_recent_request *request
          = &g->recent[(g->recent_next + BGAP_RECENT_REQUESTS - i)
                       % BGAP_RECENT_REQUESTS];
      if (now_ms - request->at_ms > window_ms)
        break;
      since_ms = request->at_ms;
      keys[count++] = request->key;
    }
  qsort (keys, count, sizeof *keys, _bgap_spread_by_key);
  *window_s = (double)(now_ms - since_ms) / 1000;
  return count;
}

/* Requests per second for the keys of a range: the average of its counts,
   which are small numbers, and of the mean of all keys.  */
static double
_bgap_spread_range_per_s (const struct bgap_granter *g, int64_t now_ms,
                          uint32_t first, uint32_t last)
{
  double seconds = (double)(COUNTS_MS + now_ms - g->aged_ms) / 1000;
  double mean = (double)g->requests_total / BGAP_KEY_COUNT;
  uint64_t count = 0;
  for (uint32_t key = first; key <= last; key++)
    count += g->key_requests[key];
  return ((double)count + mean * (last - first + 1)) / 2 / seconds;
}

static uint32_t
_bgap_spread_index (const struct bgap_granter *g, const char *server)
{
  const struct bgap_grant_target *target = bgap_grant_targets_find (g, server);
  return target != NULL ? (uint32_t)(target - g->targets) : BGAP_HOT_NO_SERVER;
}

/**
 * struct spread - input of a decision
 */
struct spread
{
  struct bgap_hot_input input;
  uint16_t *keys;
  uint16_t *newest_keys;
  struct bgap_hot_range *ranges;
  struct bgap_hot_server *servers;
};

static void
_bgap_spread_add_ranges (const struct bgap_granter *g, int64_t now_ms,
                         const struct bgap_key_range *range,
                         struct spread *spread)
{
  uint32_t last;
  for (uint32_t first = range->first; first <= range->last; first = last + 1)
    {
      const struct bgap_planned_move *move = bgap_moves_find (g, first);
      last = range->moving ? bgap_moves_end (g, first, range->last)
                           : range->last;
      bool is_planned = range->moving && move != NULL;
      uint32_t server
          = _bgap_spread_index (g, is_planned ? move->server : range->server);
      spread->ranges[spread->input.range_count++] = (struct bgap_hot_range){
        .first = first,
        .last = last,
        .server = server,
        .is_moving
        = range->moving || bgap_restore_is_unconfirmed (g, now_ms, range),
      };
      if (server != BGAP_HOT_NO_SERVER)
        spread->servers[server].load_per_s
            += _bgap_spread_range_per_s (g, now_ms, first, last);
    }
}

/* Collects the input. Returns false if the decision cannot be made: there are
   no requests, or it is not known how long they take.  */
static bool
_bgap_spread_setup (const struct bgap_granter *g, int64_t now_ms,
                    const struct bgap_assignment *next, struct spread *spread)
{
  uint32_t ranges_max = next->count + 2 * g->move_count;
  uint32_t most = bgap_merge_limit (g, g->target_count) + RANGES_ADDED_MAX;
  if (most > bgap_leases_ranges_max (g))
    most = bgap_leases_ranges_max (g);
  *spread = (struct spread){
    .keys = calloc (BGAP_RECENT_REQUESTS, sizeof *spread->keys),
    .newest_keys = calloc (BGAP_RECENT_REQUESTS, sizeof *spread->newest_keys),
    .ranges = calloc (ranges_max + 1, sizeof *spread->ranges),
    .servers = calloc (g->target_count + 1, sizeof *spread->servers),
  };
  struct bgap_hot_input *input = &spread->input;
  if (spread->keys == NULL || spread->newest_keys == NULL
      || spread->ranges == NULL || spread->servers == NULL)
    return false;
  input->keys = spread->keys;
  input->newest_keys = spread->newest_keys;
  input->ranges = spread->ranges;
  input->servers = spread->servers;
  input->server_count = g->target_count;
  double newest_s;
  input->key_count = _bgap_spread_keys (g, now_ms, WINDOW_MS, spread->keys,
                                        &input->window_s);
  input->newest_count
      = _bgap_spread_keys (g, now_ms, (int64_t)(input->window_s * 1000 / 2),
                           spread->newest_keys, &newest_s);
  /* Planned moves become ranges of their own.  */
  uint32_t used = next->count + g->move_count + RANGES_SPARE;
  input->pieces_max = used < most ? most - used : 0;
  if (input->key_count == 0 || input->window_s <= 0)
    return false;
  double mean_ms = bgap_candidates_mean_latency (g);
  for (uint32_t i = 0; i < g->target_count; i++)
    {
      const struct bgap_grant_target *target = &g->targets[i];
      spread->servers[i].capacity_per_s
          = bgap_candidates_capacity_per_s (&target->desc, mean_ms);
      /* A cold server gets no hot keys and keeps those that it has.  */
      spread->servers[i].is_usable
          = spread->servers[i].capacity_per_s > 0 && !target->desc.cold
            && bgap_grant_target_usable (target, now_ms);
    }
  for (uint32_t i = 0; i < next->count; i++)
    _bgap_spread_add_ranges (g, now_ms, &next->ranges[i], spread);
  return true;
}

static void
_bgap_spread_shutdown (struct spread *spread)
{
  free (spread->keys);
  free (spread->newest_keys);
  free (spread->ranges);
  free (spread->servers);
}

/* Marks the keys of the plan as moving.  */
static bool
_bgap_spread_apply (struct bgap_granter *g, struct bgap_assignment *next,
                    uint64_t token, const struct bgap_hot_plan *plan)
{
  uint32_t keys = 0;
  for (uint32_t i = 0; i < plan->count; i++)
    {
      const struct bgap_hot_piece *piece = &plan->pieces[i];
      struct bgap_key_range range = *bgap_assignment_find (next, piece->first);
      range.moving = true;
      range.token = token;
      if (bgap_moves_add (g, piece->first, piece->last, &g->targets[piece->to])
              != BGAP_OK
          || bgap_assignment_set (next, piece->first, piece->last, &range)
                 != BGAP_OK)
        continue;
      keys += piece->last - piece->first + 1;
    }
  if (keys == 0)
    return false;
  g->counts.spreads++;
  g->counts.load_keys_moved += keys;
  g->spread = (struct bgap_granter_spread){
    .number = g->counts.spreads,
    .first = plan->first,
    .last = plan->last,
    .load_percent = plan->load_percent,
    .servers_before = plan->overloaded,
    .servers_after = plan->overloaded + plan->recipients,
    .pieces = plan->count,
    .keys = keys,
  };
  memcpy (g->spread.server, g->targets[plan->server].desc.id,
          sizeof g->spread.server);
  return true;
}

bool
bgap_spread_is_due (const struct bgap_granter *g, int64_t now_ms)
{
  return g->hot_since_ms != 0 && now_ms - g->hot_since_ms < 2 * CONFIRM_MS;
}

bool
bgap_spread_hot (struct bgap_granter *g, int64_t now_ms,
                 struct bgap_assignment *next, uint64_t token)
{
  struct spread spread;
  struct bgap_hot_plan plan = { 0 };
  bool changed = false;
  if (now_ms - g->spread_checked_ms < INTERVAL_MS)
    return false;
  g->spread_checked_ms = now_ms;
  bool is_hot = _bgap_spread_setup (g, now_ms, next, &spread)
                && bgap_hot_spans_any (&spread.input);
  if (!is_hot)
    g->hot_since_ms = 0;
  else if (g->hot_since_ms == 0)
    g->hot_since_ms = now_ms;
  else if (now_ms - g->hot_since_ms >= CONFIRM_MS
           && bgap_hot_spans_plan (&spread.input, &plan) == BGAP_OK)
    {
      changed = _bgap_spread_apply (g, next, token, &plan);
      g->spread.age_ms = (int64_t)(spread.input.window_s * 1000);
      /* The next decision needs newer counts.  */
      if (changed)
        g->hot_since_ms = 0;
    }
  bgap_hot_plan_shutdown (&plan);
  _bgap_spread_shutdown (&spread);
  return changed;
}
