#include "placement_keys.h"

#include <stddef.h>

/* A key is merged below this fraction of the share at which it is split. The
   hysteresis prevents a key near the limit from being split and merged
   repeatedly.  */
#define MERGE_FACTOR 0.25

static struct bgap_placement_key_streak *
_bgap_placement_find_key_streak (struct bgap_placement *placement,
                                 uint64_t hash)
{
  for (uint32_t i = 0; i < placement->key_count; i++)
    if (placement->keys[i].hash == hash)
      return &placement->keys[i];
  if (placement->key_count == BGAP_PLACEMENT_MAX_KEYS)
    return NULL;
  struct bgap_placement_key_streak *streak
      = &placement->keys[placement->key_count++];
  *streak = (struct bgap_placement_key_streak){ .hash = hash };
  return streak;
}

static void
_bgap_placement_drop_unseen_keys (struct bgap_placement *placement)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < placement->key_count; i++)
    if (placement->keys[i].seen)
      placement->keys[kept++] = placement->keys[i];
  placement->key_count = kept;
}

/* Load that a key's share is relative to: the server's load, but at least the
   mean load, because on an almost idle server every key has a large share.  */
static double
_bgap_placement_reference_load (const struct bgap_placement_plan_state *plan,
                                uint32_t server)
{
  double mean = plan->total_load / plan->total_slots * plan->slots[server];
  return plan->loads[server] > mean ? plan->loads[server] : mean;
}

static void
_bgap_placement_add_key_change (struct bgap_placement_plan_state *plan,
                                enum bgap_placement_action action,
                                uint32_t entry)
{
  uint32_t slice = plan->input->entries[entry].slice;
  if (plan->count == plan->capacity || plan->changed[entry]
      || plan->changed[slice])
    return;
  plan->changes[plan->count++] = (struct bgap_placement_change){
    .action = action,
    .entry = entry,
  };
  plan->changed[entry] = true;
  plan->changed[slice] = true;
}

/* Returns a key that is no longer hot to its slice. A merge requires that key
   and slice have the same holder, so the key may have to move first.  */
static void
_bgap_placement_return_key (struct bgap_placement_plan_state *plan,
                            uint32_t entry, uint32_t slice)
{
  uint32_t slice_holder = plan->holders[slice];
  if (plan->holders[entry] == slice_holder)
    _bgap_placement_add_key_change (plan, BGAP_PLACEMENT_MERGE, entry);
  else if (slice_holder != BGAP_PLACEMENT_NO_HOLDER
           && plan->slots[slice_holder] > 0
           && _bgap_placement_has_budget (plan))
    _bgap_placement_add_move (plan, entry, slice_holder, false);
}

static void
_bgap_placement_plan_key (struct bgap_placement_plan_state *plan,
                          uint32_t entry)
{
  const struct bgap_placement_input *input = plan->input;
  const struct bgap_placement_input_entry *e = &input->entries[entry];
  if (e->moving || plan->changed[entry] || e->slice >= input->entry_count
      || input->entries[e->slice].moving)
    return;
  bool is_unsplit = e->kind == BGAP_PLACEMENT_UNSPLIT_KEY;
  uint32_t server = plan->holders[is_unsplit ? e->slice : entry];
  if (server == BGAP_PLACEMENT_NO_HOLDER || plan->slots[server] <= 0)
    return;
  struct bgap_placement_key_streak *streak
      = _bgap_placement_find_key_streak (plan->placement, e->hash);
  if (streak == NULL)
    return;
  streak->seen = true;
  const struct bgap_placement_desc *desc = &plan->placement->desc;
  double limit
      = desc->split_share * _bgap_placement_reference_load (plan, server);
  streak->hot = e->load > limit ? streak->hot + 1 : 0;
  streak->cold = e->load < limit * MERGE_FACTOR ? streak->cold + 1 : 0;
  if (is_unsplit && streak->hot >= desc->reports)
    _bgap_placement_add_key_change (plan, BGAP_PLACEMENT_SPLIT, entry);
  else if (!is_unsplit && streak->cold >= desc->reports)
    _bgap_placement_return_key (plan, entry, e->slice);
}

void
_bgap_placement_plan_keys (struct bgap_placement_plan_state *plan)
{
  if (plan->total_slots <= 0)
    return;
  struct bgap_placement *placement = plan->placement;
  for (uint32_t i = 0; i < placement->key_count; i++)
    placement->keys[i].seen = false;
  for (uint32_t i = 0; i < plan->input->entry_count; i++)
    if (plan->input->entries[i].kind != BGAP_PLACEMENT_SLICE)
      _bgap_placement_plan_key (plan, i);
  _bgap_placement_drop_unseen_keys (placement);
}
