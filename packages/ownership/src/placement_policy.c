#include "placement_private.h"

/* Fixed cost of a move at churn weight 1, in seconds of the total load. With
   it, a move of an average slice (1/1000 of the load) pays off if it removes
   about a quarter of the difference between two servers.  */
#define CHURN_S 0.05

/* Average loss of speed of a moved entry while it is cold: it is served at
   half speed.  */
#define COLD_FACTOR 0.5

/* Minimum net gain of a move under the greedy policy. It prevents moves that
   are profitable only because of rounding errors.  */
#define GREEDY_MIN_GAIN 1e-9

#define MS_PER_S 1000.0

static double
_bgap_placement_move_cost (const struct bgap_placement_plan_state *plan,
                           double load)
{
  const struct bgap_placement_desc *desc = &plan->placement->desc;
  double share = plan->total_load > 0 ? load / plan->total_load : 0;
  double cold_s = COLD_FACTOR * (double)desc->cold_ms / MS_PER_S;
  double move_s = (double)desc->move_ms / MS_PER_S;
  return desc->weights.churn * CHURN_S
         + share * (desc->weights.unavailable * move_s + cold_s);
}

static bool
_bgap_placement_is_movable (const struct bgap_placement_plan_state *plan,
                            uint32_t entry)
{
  const struct bgap_placement_input_entry *e = &plan->input->entries[entry];
  if (e->kind == BGAP_PLACEMENT_UNSPLIT_KEY || e->moving
      || plan->changed[entry] || e->load <= 0)
    return false;
  uint32_t holder = plan->holders[entry];
  return holder != BGAP_PLACEMENT_NO_HOLDER && plan->slots[holder] > 0;
}

/* Picks the server with the lowest utilisation among those that were below the
   mean for @min_streak reports, or returns BGAP_PLACEMENT_NO_HOLDER.  */
static uint32_t
_bgap_placement_pick_target (const struct bgap_placement_plan_state *plan,
                             uint32_t min_streak)
{
  uint32_t best = BGAP_PLACEMENT_NO_HOLDER;
  double lowest = 1;
  for (uint32_t i = 0; i < plan->input->server_count; i++)
    {
      if (plan->slots[i] <= 0
          || plan->placement->servers[i].below < min_streak)
        continue;
      double relative = _bgap_placement_relative_load (plan, i);
      if (relative < lowest)
        {
          lowest = relative;
          best = i;
        }
    }
  return best;
}

struct bgap_placement_choice
{
  uint32_t entry;
  double net;
};

/* Picks the entry whose move to @target has the largest net gain.  */
static struct bgap_placement_choice
_bgap_placement_pick_entry (const struct bgap_placement_plan_state *plan,
                            uint32_t target, uint32_t min_streak,
                            bool with_cost)
{
  const struct bgap_placement_desc *desc = &plan->placement->desc;
  double scale = desc->weights.imbalance * (double)desc->horizon_ms / MS_PER_S;
  struct bgap_placement_choice best = { .entry = BGAP_PLACEMENT_NO_HOLDER };
  for (uint32_t i = 0; i < plan->input->entry_count; i++)
    {
      uint32_t from = plan->holders[i];
      if (!_bgap_placement_is_movable (plan, i) || from == target
          || plan->placement->servers[from].above < min_streak)
        continue;
      double load = plan->input->entries[i].load;
      double net
          = scale
            * _bgap_placement_imbalance_decrease (plan, load, from, target);
      net -= with_cost ? _bgap_placement_move_cost (plan, load)
                       : GREEDY_MIN_GAIN;
      if (net > best.net)
        best = (struct bgap_placement_choice){ .entry = i, .net = net };
    }
  return best;
}

static void
_bgap_placement_balance_weighted (struct bgap_placement_plan_state *plan)
{
  uint32_t reports = plan->placement->desc.reports;
  while (_bgap_placement_has_budget (plan))
    {
      uint32_t target = _bgap_placement_pick_target (plan, reports);
      if (target == BGAP_PLACEMENT_NO_HOLDER)
        return;
      struct bgap_placement_choice best
          = _bgap_placement_pick_entry (plan, target, reports, true);
      if (best.entry == BGAP_PLACEMENT_NO_HOLDER
          || !_bgap_placement_add_move (plan, best.entry, target, false))
        return;
    }
}

static void
_bgap_placement_balance_greedy (struct bgap_placement_plan_state *plan)
{
  while (plan->count < plan->capacity)
    {
      uint32_t target = _bgap_placement_pick_target (plan, 0);
      if (target == BGAP_PLACEMENT_NO_HOLDER)
        return;
      struct bgap_placement_choice best
          = _bgap_placement_pick_entry (plan, target, 0, false);
      if (best.entry == BGAP_PLACEMENT_NO_HOLDER
          || !_bgap_placement_add_move (plan, best.entry, target, false))
        return;
    }
}

static void
_bgap_placement_balance_never (struct bgap_placement_plan_state *plan)
{
  (void)plan;
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
