#include "placement_keys.h"

#include <stddef.h>

/* A key is merged below this part of the share at which it is split, so that
   a key near the limit does not alternate.  */
#define MERGE_FACTOR 0.25

static struct bgap_placement_key_streak *
_bgap_placement_key_streak (struct bgap_placement *placement, uint64_t hash)
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
_bgap_placement_forget_keys (struct bgap_placement *placement)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < placement->key_count; i++)
    if (placement->keys[i].seen)
      placement->keys[kept++] = placement->keys[i];
  placement->key_count = kept;
}

/* Load that the key's share is measured against. On a server that is almost
   idle every key has a large share, so the mean is the least.  */
static double
_bgap_placement_reference (const struct bgap_placement_work *work,
                           uint32_t server)
{
  double mean = work->total_load / work->total_slots * work->slots[server];
  return work->loads[server] > mean ? work->loads[server] : mean;
}

static void
_bgap_placement_add_key_change (struct bgap_placement_work *work,
                                enum bgap_placement_action action,
                                uint32_t entry)
{
  uint32_t slice = work->input->entries[entry].slice;
  if (work->count == work->capacity || work->changed[entry]
      || work->changed[slice])
    return;
  work->changes[work->count++] = (struct bgap_placement_change){
    .action = action,
    .entry = entry,
  };
  work->changed[entry] = true;
  work->changed[slice] = true;
}

/* A key that is no longer hot returns to its slice. Its holder must be that
   of the slice first.  */
static void
_bgap_placement_cool_key (struct bgap_placement_work *work, uint32_t entry,
                          uint32_t slice)
{
  uint32_t home = work->holders[slice];
  if (work->holders[entry] == home)
    _bgap_placement_add_key_change (work, BGAP_PLACEMENT_MERGE, entry);
  else if (home != BGAP_PLACEMENT_NO_HOLDER && work->slots[home] > 0
           && _bgap_placement_has_budget (work))
    _bgap_placement_move (work, entry, home, false);
}

static void
_bgap_placement_plan_key (struct bgap_placement_work *work, uint32_t entry)
{
  const struct bgap_placement_input *input = work->input;
  const struct bgap_placement_input_entry *e = &input->entries[entry];
  if (e->moving || work->changed[entry] || e->slice >= input->entry_count
      || input->entries[e->slice].moving)
    return;
  bool is_candidate = e->kind == BGAP_PLACEMENT_CANDIDATE;
  uint32_t server = work->holders[is_candidate ? e->slice : entry];
  if (server == BGAP_PLACEMENT_NO_HOLDER || work->slots[server] <= 0)
    return;
  struct bgap_placement_key_streak *streak
      = _bgap_placement_key_streak (work->placement, e->hash);
  if (streak == NULL)
    return;
  streak->seen = true;
  const struct bgap_placement_desc *desc = &work->placement->desc;
  double limit = desc->split_share * _bgap_placement_reference (work, server);
  streak->hot = e->load > limit ? streak->hot + 1 : 0;
  streak->cold = e->load < limit * MERGE_FACTOR ? streak->cold + 1 : 0;
  if (is_candidate && streak->hot >= desc->reports)
    _bgap_placement_add_key_change (work, BGAP_PLACEMENT_SPLIT, entry);
  else if (!is_candidate && streak->cold >= desc->reports)
    _bgap_placement_cool_key (work, entry, e->slice);
}

void
_bgap_placement_plan_keys (struct bgap_placement_work *work)
{
  if (work->total_slots <= 0)
    return;
  struct bgap_placement *placement = work->placement;
  for (uint32_t i = 0; i < placement->key_count; i++)
    placement->keys[i].seen = false;
  for (uint32_t i = 0; i < work->input->entry_count; i++)
    if (work->input->entries[i].kind != BGAP_PLACEMENT_SLICE)
      _bgap_placement_plan_key (work, i);
  _bgap_placement_forget_keys (placement);
}
