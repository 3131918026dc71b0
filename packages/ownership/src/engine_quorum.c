#include "engine_private.h"

#include <string.h>

void
bgap_engine_required_sets (const struct bgap_engine *engine,
                           const struct bgap_witness_set *sets[])
{
  const struct bgap_witness_set *newest
      = bgap_replica_witnesses (engine->replica);
  const struct bgap_witness_set *previous
      = bgap_replica_witnesses_previous (engine->replica);
  sets[0] = newest->offset ? newest : NULL;
  sets[1] = previous->offset && engine->in_force != newest->offset ? previous
                                                                   : NULL;
}

int
bgap_witness_index (const struct bgap_witness_set *set, const char *name)
{
  for (uint32_t i = 0; i < set->count; i++)
    if (strcmp (set->members[i], name) == 0)
      return (int)i;
  return -1;
}

static uint32_t
_bgap_count_bits (uint8_t votes)
{
  uint32_t count = 0;
  for (; votes; votes &= (uint8_t)(votes - 1))
    count++;
  return count;
}

bool
bgap_engine_has_quorum (const struct bgap_engine *engine,
                        const uint8_t votes[])
{
  const struct bgap_witness_set *sets[BGAP_REQUIRED_SETS];
  bgap_engine_required_sets (engine, sets);
  if (sets[0] == NULL)
    return false;
  for (uint32_t i = 0; i < BGAP_REQUIRED_SETS; i++)
    if (sets[i] && _bgap_count_bits (votes[i]) <= sets[i]->count / 2)
      return false;
  return true;
}

void
bgap_engine_add_vote (const struct bgap_engine *engine, const char *name,
                      uint8_t votes[])
{
  const struct bgap_witness_set *sets[BGAP_REQUIRED_SETS];
  bgap_engine_required_sets (engine, sets);
  for (uint32_t i = 0; i < BGAP_REQUIRED_SETS; i++)
    {
      int index = sets[i] ? bgap_witness_index (sets[i], name) : -1;
      if (index >= 0)
        votes[i] |= (uint8_t)(1u << (unsigned)index);
    }
}

bool
bgap_engine_is_witness (const struct bgap_engine *engine, const char *name)
{
  const struct bgap_witness_set *sets[BGAP_REQUIRED_SETS];
  bgap_engine_required_sets (engine, sets);
  for (uint32_t i = 0; i < BGAP_REQUIRED_SETS; i++)
    if (sets[i] && bgap_witness_index (sets[i], name) >= 0)
      return true;
  return false;
}

bool
bgap_engine_witnesses_live (const struct bgap_engine *engine)
{
  uint8_t votes[BGAP_REQUIRED_SETS] = { 0 };
  for (uint32_t i = 0; i < engine->member_count; i++)
    if (engine->members[i].live && engine->members[i].caught_up)
      bgap_engine_add_vote (engine, engine->members[i].name, votes);
  return bgap_engine_has_quorum (engine, votes);
}
