#include "placement_work.h"

/* Cost of a move at churn weight 1, in seconds of the whole load. One move of
   an average slice (1/1000 of the load) then pays off when it removes about a
   quarter of the difference between two servers.  */
#define CHURN_S 0.05

/* A moved entry is served at half speed on average while it is cold.  */
#define COLD_FACTOR 0.5

/* Smallest decrease that the greedy policy still takes; avoids moves that
   only rounding makes profitable.  */
#define GREEDY_MIN_GAIN 1e-9

#define MS_PER_S 1000.0

static double
_bgap_placement_cost (const struct bgap_placement_work *work, double load)
{
  const struct bgap_placement_desc *desc = &work->placement->desc;
  double share = work->total_load > 0 ? load / work->total_load : 0;
  double cold_s = COLD_FACTOR * (double)desc->cold_ms / MS_PER_S;
  double move_s = (double)desc->move_ms / MS_PER_S;
  return desc->weights.churn * CHURN_S
         + share * (desc->weights.unavailable * move_s + cold_s);
}

static bool
_bgap_placement_is_movable (const struct bgap_placement_work *work,
                            uint32_t entry)
{
  const struct bgap_placement_input_entry *e = &work->input->entries[entry];
  if (e->kind == BGAP_PLACEMENT_CANDIDATE || e->moving || work->changed[entry]
      || e->load <= 0)
    return false;
  uint32_t holder = work->holders[entry];
  return holder != BGAP_PLACEMENT_NO_HOLDER && work->slots[holder] > 0;
}

/* The least utilised server that was below the mean for MIN_STREAK reports,
   or BGAP_PLACEMENT_NO_HOLDER.  */
static uint32_t
_bgap_placement_target (const struct bgap_placement_work *work,
                        uint32_t min_streak)
{
  uint32_t best = BGAP_PLACEMENT_NO_HOLDER;
  double lowest = 1;
  for (uint32_t i = 0; i < work->input->server_count; i++)
    {
      if (work->slots[i] <= 0
          || work->placement->servers[i].below < min_streak)
        continue;
      double relative = _bgap_placement_relative (work, i);
      if (relative < lowest)
        {
          lowest = relative;
          best = i;
        }
    }
  return best;
}

struct bgap_placement_best
{
  uint32_t entry;
  double net;
};

/* The entry whose move to TARGET has the largest net gain.  */
static struct bgap_placement_best
_bgap_placement_best_entry (const struct bgap_placement_work *work,
                            uint32_t target, uint32_t min_streak,
                            bool with_cost)
{
  const struct bgap_placement_desc *desc = &work->placement->desc;
  double scale = desc->weights.imbalance * (double)desc->horizon_ms / MS_PER_S;
  struct bgap_placement_best best = { .entry = BGAP_PLACEMENT_NO_HOLDER };
  for (uint32_t i = 0; i < work->input->entry_count; i++)
    {
      uint32_t from = work->holders[i];
      if (!_bgap_placement_is_movable (work, i) || from == target
          || work->placement->servers[from].above < min_streak)
        continue;
      double load = work->input->entries[i].load;
      double net = scale * _bgap_placement_gain (work, load, from, target);
      net -= with_cost ? _bgap_placement_cost (work, load) : GREEDY_MIN_GAIN;
      if (net > best.net)
        best = (struct bgap_placement_best){ .entry = i, .net = net };
    }
  return best;
}

static void
_bgap_placement_balance_weighted (struct bgap_placement_work *work)
{
  uint32_t reports = work->placement->desc.reports;
  while (_bgap_placement_has_budget (work))
    {
      uint32_t target = _bgap_placement_target (work, reports);
      if (target == BGAP_PLACEMENT_NO_HOLDER)
        return;
      struct bgap_placement_best best
          = _bgap_placement_best_entry (work, target, reports, true);
      if (best.entry == BGAP_PLACEMENT_NO_HOLDER
          || !_bgap_placement_move (work, best.entry, target, false))
        return;
    }
}

static void
_bgap_placement_balance_greedy (struct bgap_placement_work *work)
{
  while (work->count < work->capacity)
    {
      uint32_t target = _bgap_placement_target (work, 0);
      if (target == BGAP_PLACEMENT_NO_HOLDER)
        return;
      struct bgap_placement_best best
          = _bgap_placement_best_entry (work, target, 0, false);
      if (best.entry == BGAP_PLACEMENT_NO_HOLDER
          || !_bgap_placement_move (work, best.entry, target, false))
        return;
    }
}

static void
_bgap_placement_balance_never (struct bgap_placement_work *work)
{
  (void)work;
}

const struct bgap_placement_policy bgap_placement_weighted = {
  .name = "weighted",
  .balance = _bgap_placement_balance_weighted,
  .splits = true,
};

const struct bgap_placement_policy bgap_placement_never = {
  .name = "never",
  .balance = _bgap_placement_balance_never,
};

const struct bgap_placement_policy bgap_placement_greedy = {
  .name = "greedy",
  .balance = _bgap_placement_balance_greedy,
  .splits = true,
};

const char *
bgap_placement_policy_name (const struct bgap_placement_policy *policy)
{
  return policy->name;
}
