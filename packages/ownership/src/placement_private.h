#ifndef BANYANGAP_OWNERSHIP_PLACEMENT_PRIVATE_H
#define BANYANGAP_OWNERSHIP_PLACEMENT_PRIVATE_H

/*
 * Internal state of a placement, shared by the planner and the policies.
 */

#include "banyangap/ownership/placement.h"

/**
 * struct bgap_placement_streak - consecutive reports of one server
 * @above: number of reports with a load above the mean
 * @below: number of reports with a load below the mean
 */
struct bgap_placement_streak
{
  uint32_t above;
  uint32_t below;
};

/**
 * struct bgap_placement_key_streak - consecutive reports of one key
 * @hash: hash of the key
 * @hot: number of reports with a load above the split limit
 * @cold: number of reports with a load below the merge limit
 * @seen: the key is in the current report
 */
struct bgap_placement_key_streak
{
  uint64_t hash;
  uint32_t hot;
  uint32_t cold;
  bool seen;
};

/**
 * struct bgap_placement_plan_state - a plan under construction
 * @changes: changes planned so far
 * @count: number of @changes, at most @capacity
 * @holders: planned holder of each entry
 * @changed: whether the entry has a change in this plan; it gets no second one
 * @loads: planned load of each server
 * @slots: effective slots of each server: reduced during its slow start, 0 if
 *   it is unusable
 * @total_load: load of all entries
 * @total_slots: sum of @slots
 */
struct bgap_placement_plan_state
{
  struct bgap_placement *placement;
  const struct bgap_placement_input *input;
  struct bgap_placement_change *changes;
  uint32_t capacity;
  uint32_t count;
  uint32_t *holders;
  bool *changed;
  double *loads;
  double *slots;
  double total_load;
  double total_slots;
};

/**
 * struct bgap_placement_policy - policy for voluntary changes
 * @name: for tables and logs
 * @balance: adds voluntary moves to the plan
 * @splits: whether hot keys are split and merged
 */
struct bgap_placement_policy
{
  const char *name;
  void (*balance) (struct bgap_placement_plan_state *plan);
  bool splits;
};

/* Utilisation of a server relative to the mean utilisation.  */
double
_bgap_placement_relative_load (const struct bgap_placement_plan_state *plan,
                               uint32_t server);

/* Whether the budget of the last 60 s permits another voluntary move.  */
bool _bgap_placement_has_budget (const struct bgap_placement_plan_state *plan);

/* Adds a move to the plan; returns false if the plan is full.  */
bool _bgap_placement_add_move (struct bgap_placement_plan_state *plan,
                               uint32_t entry, uint32_t server, bool forced);

/* Decrease of the imbalance if @load moves between two servers.  */
double _bgap_placement_imbalance_decrease (
    const struct bgap_placement_plan_state *plan, double load, uint32_t from,
    uint32_t to);

#endif
