#include "banyangap/ownership/placement.h"

#include <stdlib.h>
#include <string.h>

#include "placement_keys.h"
#include "placement_private.h"

#define DEFAULT_MOVES_PER_MINUTE 30u
#define DEFAULT_REPORTS 3u
#define DEFAULT_MAX_SERVERS 256u
#define DEFAULT_SPLIT_SHARE 0.2
#define DEFAULT_HORIZON_MS 60000
#define DEFAULT_MOVE_MS 300
#define DEFAULT_COLD_MS 10000
#define BUDGET_WINDOW_MS 60000

/* Fraction of its slots that a server has at the start of its slow start.  */
#define SLOW_START_SHARE 0.2

/* Differences from the mean below this fraction of it are treated as noise and
   end a streak.  */
#define STREAK_MARGIN 0.02

/* Initial time of the last moves: earlier than any budget window, and far
   enough from INT64_MIN that differences do not overflow.  */
#define NEVER_MOVED_MS (INT64_MIN / 2)

static void
_bgap_placement_set_defaults (struct bgap_placement_desc *desc)
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
  _bgap_placement_set_defaults (&placement->desc);
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
    placement->moved_at_ms[i] = NEVER_MOVED_MS;
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
_bgap_placement_relative_load (const struct bgap_placement_plan_state *plan,
                               uint32_t server)
{
  if (plan->total_load <= 0 || plan->slots[server] <= 0)
    return 1;
  double mean = plan->total_load / plan->total_slots;
  return plan->loads[server] / plan->slots[server] / mean;
}

bool
_bgap_placement_has_budget (const struct bgap_placement_plan_state *plan)
{
  const struct bgap_placement *p = plan->placement;
  int64_t oldest_ms = p->moved_at_ms[p->moved_next];
  return plan->input->now_ms - oldest_ms >= BUDGET_WINDOW_MS;
}

bool
_bgap_placement_add_move (struct bgap_placement_plan_state *plan,
                          uint32_t entry, uint32_t server, bool forced)
{
  if (plan->count == plan->capacity)
    return false;
  struct bgap_placement *p = plan->placement;
  double load = plan->input->entries[entry].load;
  uint32_t from = plan->holders[entry];
  if (from != BGAP_PLACEMENT_NO_HOLDER)
    plan->loads[from] -= load;
  plan->loads[server] += load;
  plan->holders[entry] = server;
  plan->changed[entry] = true;
  plan->changes[plan->count++] = (struct bgap_placement_change){
    .action = BGAP_PLACEMENT_MOVE,
    .entry = entry,
    .server = server,
    .forced = forced,
  };
  if (!forced)
    {
      p->moved_at_ms[p->moved_next] = plan->input->now_ms;
      p->moved_next = (p->moved_next + 1) % p->desc.moves_per_minute;
    }
  return true;
}

/* Contribution to the imbalance of one server with this load.  */
static double
_bgap_placement_imbalance_of (const struct bgap_placement_plan_state *plan,
                              double load, double slots)
{
  double mean = plan->total_load / plan->total_slots;
  double relative = load / slots / mean - 1;
  return slots / plan->total_slots * relative * relative;
}

double
_bgap_placement_imbalance_decrease (
    const struct bgap_placement_plan_state *plan, double load, uint32_t from,
    uint32_t to)
{
  if (plan->total_load <= 0)
    return 0;
  const double *loads = plan->loads;
  const double *slots = plan->slots;
  double before = _bgap_placement_imbalance_of (plan, loads[from], slots[from])
                  + _bgap_placement_imbalance_of (plan, loads[to], slots[to]);
  double after
      = _bgap_placement_imbalance_of (plan, loads[from] - load, slots[from])
        + _bgap_placement_imbalance_of (plan, loads[to] + load, slots[to]);
  return before - after;
}

static double
_bgap_placement_effective_slots (
    const struct bgap_placement *placement,
    const struct bgap_placement_input_server *server, int64_t now_ms)
{
  if (!server->live || server->draining)
    return 0;
  int64_t age_ms = now_ms - server->cold_since_ms;
  int64_t cold_ms = placement->desc.cold_ms;
  if (server->cold_since_ms == 0 || age_ms >= cold_ms)
    return server->slots;
  double warm = age_ms > 0 ? (double)age_ms / (double)cold_ms : 0;
  return server->slots * (SLOW_START_SHARE + (1 - SLOW_START_SHARE) * warm);
}

static void
_bgap_placement_sum_loads (struct bgap_placement_plan_state *plan)
{
  const struct bgap_placement_input *input = plan->input;
  for (uint32_t i = 0; i < input->server_count; i++)
    {
      plan->slots[i] = _bgap_placement_effective_slots (
          plan->placement, &input->servers[i], input->now_ms);
      plan->total_slots += plan->slots[i];
    }
  for (uint32_t i = 0; i < input->entry_count; i++)
    {
      const struct bgap_placement_input_entry *e = &input->entries[i];
      plan->holders[i] = e->holder < input->server_count
                             ? e->holder
                             : BGAP_PLACEMENT_NO_HOLDER;
      if (e->kind == BGAP_PLACEMENT_UNSPLIT_KEY)
        continue;
      plan->total_load += e->load;
      if (plan->holders[i] != BGAP_PLACEMENT_NO_HOLDER)
        plan->loads[plan->holders[i]] += e->load;
    }
}

static void
_bgap_placement_count_streaks (struct bgap_placement_plan_state *plan)
{
  for (uint32_t i = 0; i < plan->input->server_count; i++)
    {
      struct bgap_placement_streak *streak = &plan->placement->servers[i];
      double relative = _bgap_placement_relative_load (plan, i);
      streak->above = relative > 1 + STREAK_MARGIN ? streak->above + 1 : 0;
      streak->below = relative < 1 - STREAK_MARGIN ? streak->below + 1 : 0;
    }
}

/* Picks the usable server with the lowest utilisation after the move. Among
   equal ones, prefers a server in the zone of the current or previous
   holder.  */
static uint32_t
_bgap_placement_pick_server (const struct bgap_placement_plan_state *plan,
                             uint32_t entry)
{
  const struct bgap_placement_input *input = plan->input;
  uint32_t from = plan->holders[entry];
  double load = input->entries[entry].load;
  uint32_t best = BGAP_PLACEMENT_NO_HOLDER;
  double lowest = 0;
  for (uint32_t i = 0; i < input->server_count; i++)
    {
      if (plan->slots[i] <= 0)
        continue;
      double after = (plan->loads[i] + load) / plan->slots[i];
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

struct bgap_placement_ranked_entry
{
  double load;
  uint32_t entry;
};

static int
_bgap_placement_compare_load (const void *left, const void *right)
{
  const struct bgap_placement_ranked_entry *a = left;
  const struct bgap_placement_ranked_entry *b = right;
  if (a->load != b->load)
    return a->load > b->load ? -1 : 1;
  return (a->entry > b->entry) - (a->entry < b->entry);
}

/* Places entries without a usable holder, in order of descending load.  */
static void
_bgap_placement_place_unassigned (struct bgap_placement_plan_state *plan,
                                  struct bgap_placement_ranked_entry *ranked)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < plan->input->entry_count; i++)
    {
      const struct bgap_placement_input_entry *e = &plan->input->entries[i];
      uint32_t holder = plan->holders[i];
      if (e->kind != BGAP_PLACEMENT_UNSPLIT_KEY && !e->moving
          && (holder == BGAP_PLACEMENT_NO_HOLDER || plan->slots[holder] <= 0))
        ranked[count++]
            = (struct bgap_placement_ranked_entry){ .load = e->load,
                                                    .entry = i };
    }
  qsort (ranked, count, sizeof *ranked, _bgap_placement_compare_load);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t server = _bgap_placement_pick_server (plan, ranked[i].entry);
      if (server == BGAP_PLACEMENT_NO_HOLDER
          || !_bgap_placement_add_move (plan, ranked[i].entry, server, true))
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
  struct bgap_placement_plan_state plan = {
    .placement = placement,
    .input = input,
    .changes = changes,
    .capacity = capacity,
    .holders = calloc (input->entry_count + 1, sizeof *plan.holders),
    .changed = calloc (input->entry_count + 1, sizeof *plan.changed),
    .loads = calloc (input->server_count + 1, sizeof *plan.loads),
    .slots = calloc (input->server_count + 1, sizeof *plan.slots),
  };
  struct bgap_placement_ranked_entry *ranked
      = calloc (input->entry_count + 1, sizeof *ranked);
  if (plan.holders && plan.changed && plan.loads && plan.slots && ranked)
    {
      _bgap_placement_sum_loads (&plan);
      _bgap_placement_place_unassigned (&plan, ranked);
      _bgap_placement_count_streaks (&plan);
      if (placement->desc.policy->splits)
        _bgap_placement_plan_keys (&plan);
      placement->desc.policy->balance (&plan);
    }
  free (plan.holders);
  free (plan.changed);
  free (plan.loads);
  free (plan.slots);
  free (ranked);
  return plan.count;
}
