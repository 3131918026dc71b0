#ifndef BANYANGAP_OWNERSHIP_PLACEMENT_WORK_H
#define BANYANGAP_OWNERSHIP_PLACEMENT_WORK_H

/* State of one plan, shared by the planner and the policies.  */

#include "banyangap/ownership/placement.h"

struct bgap_placement_streak
{
  uint32_t above;
  uint32_t below;
};

struct bgap_placement_key_streak
{
  uint64_t hash;
  uint32_t hot;
  uint32_t cold;
  bool seen;
};

/**
 * struct bgap_placement_work - one plan while it is made
 * @holders: planned holder per entry
 * @changed: entries that have a change in this plan and get no second one
 * @loads: planned load per server
 * @slots: usable slots per server, reduced while it is cold; 0 if unusable
 * @total_load: load of all entries
 * @total_slots: sum of @slots
 */
struct bgap_placement_work
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
 * struct bgap_placement_policy - how a level load is restored
 * @balance: adds voluntary moves to the plan
 * @splits: whether hot keys are split and merged
 */
struct bgap_placement_policy
{
  const char *name;
  void (*balance) (struct bgap_placement_work *work);
  bool splits;
};

/* Utilisation of a server relative to the mean; 1 is a level load.  */
double _bgap_placement_relative (const struct bgap_placement_work *work,
                                 uint32_t server);

/* Whether the budget of the last 60 s permits one more voluntary move.  */
bool _bgap_placement_has_budget (const struct bgap_placement_work *work);

/* Adds a move to the plan; false if the plan is full.  */
bool _bgap_placement_move (struct bgap_placement_work *work, uint32_t entry,
                           uint32_t server, bool forced);

/* Decrease of the imbalance if LOAD moves between two servers.  */
double _bgap_placement_gain (const struct bgap_placement_work *work,
                             double load, uint32_t from, uint32_t to);

#endif
