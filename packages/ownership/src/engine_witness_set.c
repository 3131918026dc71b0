#include "engine_private.h"

#include <string.h>

#include "banyangap/base/hash.h"

/* Number of members in @record that are in @zone.  */
static uint32_t
_bgap_engine_zone_count (struct bgap_engine *engine,
                         const struct bgap_record *record, const char *zone)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < record->member_count; i++)
    {
      const struct bgap_member_state *member
          = bgap_engine_find_member (engine, record->members[i]);
      count += member && strcmp (member->zone, zone) == 0;
    }
  return count;
}

static bool
_bgap_record_has_member (const struct bgap_record *record, const char *name)
{
  for (uint32_t i = 0; i < record->member_count; i++)
    if (strcmp (record->members[i], name) == 0)
      return true;
  return false;
}

/* Chooses the live instance to add: the one whose zone has the fewest members
   of the set, then the highest in rendezvous order. With the policy
   BGAP_WITNESSES_ZONE only the order counts.  */
static const struct bgap_member_state *
_bgap_engine_choose_witness (struct bgap_engine *engine,
                             const struct bgap_record *record)
{
  uint64_t key = bgap_hash64 (engine->cell, strlen (engine->cell));
  const struct bgap_member_state *best = NULL;
  uint32_t best_zone_count = 0;
  uint64_t best_weight = 0;
  for (uint32_t i = 0; i < engine->member_count; i++)
    {
      const struct bgap_member_state *member = &engine->members[i];
      if (!member->live || member->leaving || member->stopped
          || !member->caught_up
          || _bgap_record_has_member (record, member->name))
        continue;
      uint32_t zone_count
          = engine->desc.policy == BGAP_WITNESSES_REGION
                ? _bgap_engine_zone_count (engine, record, member->zone)
                : 0;
      uint64_t weight = bgap_rendezvous_weight (key, member->name);
      if (best
          && (zone_count > best_zone_count
              || (zone_count == best_zone_count && weight < best_weight)))
        continue;
      best = member;
      best_zone_count = zone_count;
      best_weight = weight;
    }
  return best;
}

static void
_bgap_record_add_member (struct bgap_record *record, const char *name)
{
  memcpy (record->members[record->member_count++], name, strlen (name) + 1);
}

static void
_bgap_engine_propose_first_set (struct bgap_engine *engine)
{
  struct bgap_record record = { .type = BGAP_RECORD_WITNESSES };
  const struct bgap_member_state *member;
  if (engine->now_ms - engine->start_ms < engine->desc.startup_delay_ms)
    return;
  while (record.member_count < engine->desc.witnesses
         && (member = _bgap_engine_choose_witness (engine, &record)))
    _bgap_record_add_member (&record, member->name);
  if (record.member_count > 1 && record.member_count % 2 == 0)
    record.member_count--;
  if (record.member_count > 0)
    bgap_engine_propose (engine, &engine->witness_proposal, &record);
}

/* Whether a witness should be replaced. The time without heartbeats starts
   when this instance could first have received one.  */
static bool
_bgap_engine_must_replace_witness (struct bgap_engine *engine,
                                   const char *name)
{
  const struct bgap_member_state *member
      = bgap_engine_find_member (engine, name);
  if (member == NULL || member->leaving)
    return true;
  int64_t since = member->last_heartbeat_ms;
  if (since < engine->watch_start_ms)
    since = engine->watch_start_ms;
  return !member->live
         && engine->now_ms - since >= engine->desc.witness_timeout_ms;
}

static void
_bgap_engine_propose_change (struct bgap_engine *engine,
                             const struct bgap_witness_set *set)
{
  struct bgap_record record = { .type = BGAP_RECORD_WITNESSES,
                                .based_on = set->offset,
                                .in_force = set->offset };
  int replaced = -1;
  for (uint32_t i = 0; i < set->count; i++)
    {
      _bgap_record_add_member (&record, set->members[i]);
      if (replaced < 0
          && _bgap_engine_must_replace_witness (engine, set->members[i]))
        replaced = (int)i;
    }
  const struct bgap_member_state *member
      = _bgap_engine_choose_witness (engine, &record);
  if (member == NULL || (replaced < 0 && set->count >= engine->desc.witnesses))
    return;
  if (replaced >= 0)
    memcpy (record.members[replaced], member->name, sizeof member->name);
  else
    _bgap_record_add_member (&record, member->name);
  bgap_engine_propose (engine, &engine->witness_proposal, &record);
}

void
bgap_engine_tick_witness_set (struct bgap_engine *engine)
{
  const struct bgap_witness_set *set
      = bgap_replica_witnesses (engine->replica);
  if (!bgap_engine_may_propose (engine, &engine->witness_proposal,
                                set->offset))
    return;
  if (set->offset == 0)
    {
      _bgap_engine_propose_first_set (engine);
      return;
    }
  /* A change may be proposed only when the last one is in force: replicas
     store only one previous set.  */
  const struct bgap_witness_set *sets[BGAP_REQUIRED_SETS];
  bgap_engine_required_sets (engine, sets);
  if (sets[1] == NULL && bgap_engine_witnesses_live (engine))
    _bgap_engine_propose_change (engine, set);
}
