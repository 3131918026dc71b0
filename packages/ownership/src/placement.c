#include "banyangap/ownership/placement.h"

#include <stdlib.h>
#include <string.h>

#include "placement_keys.h"
#include "placement_work.h"

#define DEFAULT_MOVES_PER_MINUTE 30u
#define DEFAULT_REPORTS 3u
#define DEFAULT_MAX_SERVERS 256u
#define DEFAULT_SPLIT_SHARE 0.2
#define DEFAULT_HORIZON_MS 60000
#define DEFAULT_MOVE_MS 300
#define DEFAULT_COLD_MS 10000
#define BUDGET_WINDOW_MS 60000

/* Part of its slots that a server gets at the start of its slow start.  */
#define COLD_SLOTS 0.2

/* Differences below this part of the mean are noise, not a streak.  */
#define STREAK_MARGIN 0.02

/* A time before any move, far from overflow.  */
#define LONG_AGO_MS (INT64_MIN / 2)

static void
_bgap_placement_defaults (struct bgap_placement_desc *desc)
{
  if (desc->policy == NULL)
    desc->policy = &bgap_placement_weighted;
  if (desc->weights.imbalance <= 0)
    desc->weights.imbalance = 1;
  if (desc->weights.unavailable <= 0)
    desc->weights.unavailable = 1;
  if (desc->weights.churn <= 0)
    desc->weights.churn = 1;
  if (desc->moves_per_minute == 0)
    desc->moves_per_minute = DEFAULT_MOVES_PER_MINUTE;
  if (desc->reports == 0)
    desc->reports = DEFAULT_REPORTS;
  if (desc->max_servers == 0)
    desc->max_servers = DEFAULT_MAX_SERVERS;
  if (desc->split_share == 0)
    desc->split_share = DEFAULT_SPLIT_SHARE;
  if (desc->horizon_ms == 0)
    desc->horizon_ms = DEFAULT_HORIZON_MS;
  if (desc->move_ms == 0)
    desc->move_ms = DEFAULT_MOVE_MS;
  if (desc->cold_ms == 0)
    desc->cold_ms = DEFAULT_COLD_MS;
}

enum bgap_status
bgap_placement_setup (struct bgap_placement *placement,
                      const struct bgap_placement_desc *desc)
{
  *placement = (struct bgap_placement){ .desc = *desc };
  _bgap_placement_defaults (&placement->desc);
  const struct bgap_placement_desc *d = &placement->desc;
  if (d->split_share < 0 || d->split_share >= 1 || d->horizon_ms < 0
      || d->move_ms < 0 || d->cold_ms < 0)
    return BGAP_ERR_INVALID;
  placement->servers = calloc (d->max_servers, sizeof *placement->servers);
  placement->keys = calloc (BGAP_PLACEMENT_MAX_KEYS, sizeof *placement->keys);
  placement->moved_at_ms
      = calloc (d->moves_per_minute, sizeof *placement->moved_at_ms);
  if (!placement->servers || !placement->keys || !placement->moved_at_ms)
    {
      bgap_placement_shutdown (placement);
      return BGAP_ERR_NO_MEMORY;
    }
  for (uint32_t i = 0; i < d->moves_per_minute; i++)
    placement->moved_at_ms[i] = LONG_AGO_MS;
  return BGAP_OK;
}

void
bgap_placement_shutdown (struct bgap_placement *placement)
{
  free (placement->servers);
  free (placement->keys);
  free (placement->moved_at_ms);
  *placement = (struct bgap_placement){ 0 };
}

double
_bgap_placement_relative (const struct bgap_placement_work *work,
                          uint32_t server)
{
  if (work->total_load <= 0 || work->slots[server] <= 0)
    return 1;
  double mean = work->total_load / work->total_slots;
  return work->loads[server] / work->slots[server] / mean;
}

bool
_bgap_placement_has_budget (const struct bgap_placement_work *work)
{
  const struct bgap_placement *p = work->placement;
  int64_t oldest_ms = p->moved_at_ms[p->moved_next];
  return work->input->now_ms - oldest_ms >= BUDGET_WINDOW_MS;
}

bool
_bgap_placement_move (struct bgap_placement_work *work, uint32_t entry,
                      uint32_t server, bool forced)
{
  if (work->count == work->capacity)
    return false;
  struct bgap_placement *p = work->placement;
  double load = work->input->entries[entry].load;
  uint32_t from = work->holders[entry];
  if (from != BGAP_PLACEMENT_NO_HOLDER)
    work->loads[from] -= load;
  work->loads[server] += load;
  work->holders[entry] = server;
  work->changed[entry] = true;
  work->changes[work->count++] = (struct bgap_placement_change){
    .action = BGAP_PLACEMENT_MOVE,
    .entry = entry,
    .server = server,
    .forced = forced,
  };
  if (!forced)
    {
      p->moved_at_ms[p->moved_next] = work->input->now_ms;
      p->moved_next = (p->moved_next + 1) % p->desc.moves_per_minute;
    }
  return true;
}

/* Part of the imbalance that one server at LOAD contributes.  */
static double
_bgap_placement_term (const struct bgap_placement_work *work, double load,
                      double slots)
{
  double mean = work->total_load / work->total_slots;
  double relative = load / slots / mean - 1;
  return slots / work->total_slots * relative * relative;
}

double
_bgap_placement_gain (const struct bgap_placement_work *work, double load,
                      uint32_t from, uint32_t to)
{
  if (work->total_load <= 0)
    return 0;
  const double *loads = work->loads;
  const double *slots = work->slots;
  double before = _bgap_placement_term (work, loads[from], slots[from])
                  + _bgap_placement_term (work, loads[to], slots[to]);
  double after = _bgap_placement_term (work, loads[from] - load, slots[from])
                 + _bgap_placement_term (work, loads[to] + load, slots[to]);
  return before - after;
}

static double
_bgap_placement_usable_slots (const struct bgap_placement *placement,
                              const struct bgap_placement_input_server *server,
                              int64_t now_ms)
{
  if (!server->live || server->draining)
    return 0;
  int64_t age_ms = now_ms - server->cold_since_ms;
  int64_t cold_ms = placement->desc.cold_ms;
  if (server->cold_since_ms == 0 || age_ms >= cold_ms)
    return server->slots;
  double warm = age_ms > 0 ? (double)age_ms / (double)cold_ms : 0;
  return server->slots * (COLD_SLOTS + (1 - COLD_SLOTS) * warm);
}

static void
_bgap_placement_measure (struct bgap_placement_work *work)
{
  const struct bgap_placement_input *input = work->input;
  for (uint32_t i = 0; i < input->server_count; i++)
    {
      work->slots[i] = _bgap_placement_usable_slots (
          work->placement, &input->servers[i], input->now_ms);
      work->total_slots += work->slots[i];
    }
  for (uint32_t i = 0; i < input->entry_count; i++)
    {
      const struct bgap_placement_input_entry *e = &input->entries[i];
      work->holders[i] = e->holder < input->server_count
                             ? e->holder
                             : BGAP_PLACEMENT_NO_HOLDER;
      if (e->kind == BGAP_PLACEMENT_CANDIDATE)
        continue;
      work->total_load += e->load;
      if (work->holders[i] != BGAP_PLACEMENT_NO_HOLDER)
        work->loads[work->holders[i]] += e->load;
    }
}

static void
_bgap_placement_count_streaks (struct bgap_placement_work *work)
{
  for (uint32_t i = 0; i < work->input->server_count; i++)
    {
      struct bgap_placement_streak *streak = &work->placement->servers[i];
      double relative = _bgap_placement_relative (work, i);
      streak->above = relative > 1 + STREAK_MARGIN ? streak->above + 1 : 0;
      streak->below = relative < 1 - STREAK_MARGIN ? streak->below + 1 : 0;
    }
}

/* The usable server with the lowest utilisation after the move. Of equal
   ones, a server in the zone of the last holder is preferred.  */
static uint32_t
_bgap_placement_refuge (const struct bgap_placement_work *work, uint32_t entry)
{
  const struct bgap_placement_input *input = work->input;
  uint32_t from = work->holders[entry];
  double load = input->entries[entry].load;
  uint32_t best = BGAP_PLACEMENT_NO_HOLDER;
  double lowest = 0;
  for (uint32_t i = 0; i < input->server_count; i++)
    {
      if (work->slots[i] <= 0)
        continue;
      double after = (work->loads[i] + load) / work->slots[i];
      bool same_zone = from != BGAP_PLACEMENT_NO_HOLDER
                       && input->servers[i].zone == input->servers[from].zone;
      bool best_same_zone
          = best != BGAP_PLACEMENT_NO_HOLDER
            && from != BGAP_PLACEMENT_NO_HOLDER
            && input->servers[best].zone == input->servers[from].zone;
      if (best == BGAP_PLACEMENT_NO_HOLDER || after < lowest
          || (after == lowest && same_zone && !best_same_zone))
        {
          best = i;
          lowest = after;
        }
    }
  return best;
}

struct bgap_placement_order
{
  double load;
  uint32_t entry;
};

static int
_bgap_placement_heaviest_first (const void *left, const void *right)
{
  const struct bgap_placement_order *a = left;
  const struct bgap_placement_order *b = right;
  if (a->load != b->load)
    return a->load > b->load ? -1 : 1;
  return (a->entry > b->entry) - (a->entry < b->entry);
}

/* Places entries without a usable holder, the heaviest first.  */
static void
_bgap_placement_place (struct bgap_placement_work *work,
                       struct bgap_placement_order *order)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < work->input->entry_count; i++)
    {
      const struct bgap_placement_input_entry *e = &work->input->entries[i];
      uint32_t holder = work->holders[i];
      if (e->kind != BGAP_PLACEMENT_CANDIDATE && !e->moving
          && (holder == BGAP_PLACEMENT_NO_HOLDER || work->slots[holder] <= 0))
        order[count++]
            = (struct bgap_placement_order){ .load = e->load, .entry = i };
    }
  qsort (order, count, sizeof *order, _bgap_placement_heaviest_first);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t server = _bgap_placement_refuge (work, order[i].entry);
      if (server == BGAP_PLACEMENT_NO_HOLDER
          || !_bgap_placement_move (work, order[i].entry, server, true))
        return;
    }
}

uint32_t
bgap_placement_plan (struct bgap_placement *placement,
                     const struct bgap_placement_input *input,
                     struct bgap_placement_change *changes, uint32_t capacity)
{
  if (input->server_count > placement->desc.max_servers)
    return 0;
  struct bgap_placement_work work = {
    .placement = placement,
    .input = input,
    .changes = changes,
    .capacity = capacity,
    .holders = calloc (input->entry_count + 1, sizeof *work.holders),
    .changed = calloc (input->entry_count + 1, sizeof *work.changed),
    .loads = calloc (input->server_count + 1, sizeof *work.loads),
    .slots = calloc (input->server_count + 1, sizeof *work.slots),
  };
  struct bgap_placement_order *order
      = calloc (input->entry_count + 1, sizeof *order);
  if (work.holders && work.changed && work.loads && work.slots && order)
    {
      _bgap_placement_measure (&work);
      _bgap_placement_place (&work, order);
      _bgap_placement_count_streaks (&work);
      if (placement->desc.policy->splits)
        _bgap_placement_plan_keys (&work);
      placement->desc.policy->balance (&work);
    }
  free (work.holders);
  free (work.changed);
  free (work.loads);
  free (work.slots);
  free (order);
  return work.count;
}
