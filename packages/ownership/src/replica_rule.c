#include "replica_private.h"

#include <stdlib.h>
#include <string.h>

#include "banyangap/base/hash.h"

static bool
_bgap_set_contains (const struct bgap_witness_set *set, const char *name)
{
  for (uint32_t i = 0; i < set->count; i++)
    if (strcmp (set->members[i], name) == 0)
      return true;
  return false;
}

/* Whether @next differs from @set by one member that joined, left or both.  */
static bool
_bgap_set_one_step (const struct bgap_witness_set *set,
                    const struct bgap_witness_set *next)
{
  uint32_t joined = 0;
  uint32_t left = 0;
  for (uint32_t i = 0; i < next->count; i++)
    joined += !_bgap_set_contains (set, next->members[i]);
  for (uint32_t i = 0; i < set->count; i++)
    left += !_bgap_set_contains (next, set->members[i]);
  return joined <= 1 && left <= 1 && joined + left > 0;
}

static enum bgap_verdict
_bgap_rule_witnesses (struct bgap_replica_state *state, uint64_t offset,
                      const struct bgap_record *record)
{
  bool first = state->witnesses.offset == 0;
  if (record->based_on != state->witnesses.offset)
    return BGAP_REJECTED;
  /* Only one previous set is kept, so a change on top of one that is not in
     force would leave majorities that do not intersect.  */
  if (!first && !record->forced && record->in_force != record->based_on)
    return BGAP_REJECTED;
  struct bgap_witness_set next = { .offset = offset,
                                   .count = record->member_count,
                                   .forced = record->forced };
  memcpy (next.members, record->members, sizeof next.members);
  if (!first && !record->forced
      && !_bgap_set_one_step (&state->witnesses, &next))
    return BGAP_REJECTED;
  if (record->forced)
    {
      state->previous = (struct bgap_witness_set){ 0 };
      state->forced = offset;
    }
  else
    state->previous = state->witnesses;
  state->witnesses = next;
  return BGAP_ACCEPTED;
}

/**
 * struct target - entries named by the items of a record
 * @slices: one byte per slice, set if an item names it
 * @keys: one byte per key entry
 */
struct target
{
  unsigned char *slices;
  unsigned char *keys;
};

/* Marks the entries of @item; false if one does not exist, was named before,
   or is held while @held is false and the reverse.  */
static bool
_bgap_rule_mark (const struct bgap_scope *scope, uint32_t slice_count,
                 const struct bgap_record_item *item, bool held,
                 struct target *target)
{
  if (item->count == 0)
    {
      bool found = false;
      uint32_t position = bgap_scope_key_position (
          scope, item->key, item->key_size,
          bgap_hash64 (item->key, item->key_size), &found);
      if (!found || target->keys[position]
          || bgap_holding_held (&scope->keys[position].holding) != held)
        return false;
      target->keys[position] = 1;
      return true;
    }
  if (item->first >= slice_count || item->count > slice_count - item->first)
    return false;
  for (uint32_t i = item->first; i < item->first + item->count; i++)
    {
      bool is_held
          = scope->slice_count && bgap_holding_held (&scope->slices[i]);
      if (target->slices[i] || is_held != held)
        return false;
      target->slices[i] = 1;
    }
  return true;
}

/* Checks that every item of a grant or revoke can take effect.  */
static enum bgap_status
_bgap_rule_items_valid (const struct bgap_scope *scope, uint32_t slice_count,
                        const struct bgap_record *record, bool held,
                        bool *valid)
{
  struct target target
      = { calloc (slice_count + 1, 1), calloc (scope->key_count + 1, 1) };
  bool memory = target.slices && target.keys;
  *valid = memory;
  for (uint32_t i = 0; *valid && i < record->item_count; i++)
    *valid = _bgap_rule_mark (scope, slice_count, &record->items[i], held,
                              &target);
  free (target.slices);
  free (target.keys);
  return memory ? BGAP_OK : BGAP_ERR_NO_MEMORY;
}

/* Next entry named by @item; *@at counts from 0.  */
static struct bgap_holding *
_bgap_rule_next (struct bgap_scope *scope, const struct bgap_record_item *item,
                 uint32_t *at)
{
  if (item->count > 0)
    return *at < item->count ? &scope->slices[item->first + (*at)++] : NULL;
  if ((*at)++ > 0)
    return NULL;
  bool found;
  uint32_t position = bgap_scope_key_position (
      scope, item->key, item->key_size,
      bgap_hash64 (item->key, item->key_size), &found);
  return &scope->keys[position].holding;
}

static struct bgap_scope *
_bgap_rule_scope (struct bgap_replica_state *state, const char *name)
{
  for (uint32_t i = 0; i < state->scope_count; i++)
    if (strcmp (state->scopes[i]->name, name) == 0)
      return state->scopes[i];
  return NULL;
}

/* The number of slices is fixed by the first accepted grant: with two numbers
   in use, one key would belong to two slices.  */
static enum bgap_status
_bgap_rule_grant_scope (struct bgap_replica_state *state,
                        const struct bgap_record *record,
                        struct bgap_scope **scope)
{
  if (*scope == NULL)
    *scope = bgap_replica_state_add_scope (state, record->scope);
  if (*scope == NULL)
    return BGAP_ERR_NO_MEMORY;
  if ((*scope)->slice_count == 0)
    {
      (*scope)->slices = calloc (record->slices, sizeof *(*scope)->slices);
      if ((*scope)->slices == NULL)
        return BGAP_ERR_NO_MEMORY;
      (*scope)->slice_count = record->slices;
    }
  return BGAP_OK;
}

static void
_bgap_rule_accept (struct bgap_scope *scope, uint64_t offset,
                   const struct bgap_record *record,
                   enum bgap_verdict *verdict)
{
  scope->basis = offset;
  scope->config = record->config;
  *verdict = BGAP_ACCEPTED;
}

/* Whether a grant or release may apply to the scope, NULL if it is new.  */
static bool
_bgap_rule_open (const struct bgap_replica_state *state,
                 const struct bgap_scope *scope,
                 const struct bgap_record *record)
{
  if (scope == NULL)
    return record->based_on == 0 && state->scope_count < BGAP_SCOPES_MAX;
  return record->based_on == scope->basis && record->config >= scope->config
         && (!scope->slice_count || scope->slice_count == record->slices);
}

/* Forgets the last holders of free entries, whose leases have ended. From then
   on no record of an older configuration has an effect, so another cell may
   take the entries that the newer configuration gives to it.  */
static enum bgap_status
_bgap_rule_release (struct bgap_replica_state *state, uint64_t offset,
                    const struct bgap_record *record,
                    enum bgap_verdict *verdict)
{
  static const struct bgap_scope none = { 0 };
  struct bgap_scope *scope = _bgap_rule_scope (state, record->scope);
  bool valid;
  if (!_bgap_rule_open (state, scope, record))
    return BGAP_OK;
  enum bgap_status status = _bgap_rule_items_valid (
      scope ? scope : &none, record->slices, record, false, &valid);
  if (status != BGAP_OK || !valid)
    return status;
  status = _bgap_rule_grant_scope (state, record, &scope);
  if (status != BGAP_OK)
    return status;
  for (uint32_t i = 0; i < record->item_count; i++)
    {
      struct bgap_holding *holding;
      for (uint32_t at = 0;
           (holding = _bgap_rule_next (scope, &record->items[i], &at));)
        *holding = (struct bgap_holding){ 0 };
    }
  _bgap_rule_accept (scope, offset, record, verdict);
  return BGAP_OK;
}

static enum bgap_status
_bgap_rule_grant (struct bgap_replica_state *state, uint64_t offset,
                  const struct bgap_record *record, enum bgap_verdict *verdict)
{
  static const struct bgap_scope none = { 0 };
  struct bgap_scope *scope = _bgap_rule_scope (state, record->scope);
  const struct bgap_scope *current = scope ? scope : &none;
  bool valid;
  *verdict = BGAP_REJECTED;
  if (state->witnesses.offset == 0 || !_bgap_rule_open (state, scope, record))
    return BGAP_OK;
  enum bgap_status status = _bgap_rule_items_valid (current, record->slices,
                                                    record, false, &valid);
  if (status != BGAP_OK || !valid)
    return status;
  status = bgap_replica_state_reserve (state, record->item_count);
  if (status != BGAP_OK)
    return status == BGAP_ERR_FULL ? BGAP_OK : status;
  status = _bgap_rule_grant_scope (state, record, &scope);
  if (status != BGAP_OK)
    return status;
  for (uint32_t i = 0; i < record->item_count; i++)
    {
      const struct bgap_record_item *item = &record->items[i];
      uint16_t holder
          = (uint16_t)bgap_replica_state_holder (state, item->holder);
      struct bgap_holding *holding;
      for (uint32_t at = 0; (holding = _bgap_rule_next (scope, item, &at));)
        *holding = (struct bgap_holding){ .token = offset,
                                          .incarnation = item->incarnation,
                                          .holder = holder };
    }
  _bgap_rule_accept (scope, offset, record, verdict);
  return BGAP_OK;
}

static enum bgap_status
_bgap_rule_revoke (struct bgap_scope *scope, uint64_t offset,
                   const struct bgap_record *record,
                   enum bgap_verdict *verdict)
{
  bool valid;
  enum bgap_status status = _bgap_rule_items_valid (scope, scope->slice_count,
                                                    record, true, &valid);
  if (status != BGAP_OK || !valid)
    return status;
  for (uint32_t i = 0; i < record->item_count; i++)
    {
      struct bgap_holding *holding;
      for (uint32_t at = 0;
           (holding = _bgap_rule_next (scope, &record->items[i], &at));)
        {
          holding->token = 0;
          holding->revoked = offset;
        }
    }
  _bgap_rule_accept (scope, offset, record, verdict);
  return BGAP_OK;
}

static enum bgap_status
_bgap_rule_split (struct bgap_scope *scope, uint64_t offset,
                  const struct bgap_record *record, enum bgap_verdict *verdict)
{
  bool found;
  uint64_t hash = bgap_hash64 (record->key, record->key_size);
  uint32_t position = bgap_scope_key_position (scope, record->key,
                                               record->key_size, hash, &found);
  if (found || scope->slice_count == 0 || scope->key_count == BGAP_KEYS_MAX)
    return BGAP_OK;
  enum bgap_status status = bgap_scope_key_insert (
      scope, position, record->key, record->key_size, hash,
      &scope->slices[hash & (scope->slice_count - 1)]);
  if (status != BGAP_OK)
    return status;
  _bgap_rule_accept (scope, offset, record, verdict);
  return BGAP_OK;
}

/* An entry without a holder is not merged: the last holder of one of the two
   would be forgotten, and its lease not waited for.  */
static void
_bgap_rule_merge (struct bgap_scope *scope, uint64_t offset,
                  const struct bgap_record *record, enum bgap_verdict *verdict)
{
  bool found;
  uint32_t position = bgap_scope_key_position (
      scope, record->key, record->key_size,
      bgap_hash64 (record->key, record->key_size), &found);
  if (!found)
    return;
  const struct bgap_holding *key = &scope->keys[position].holding;
  const struct bgap_holding *slice
      = &scope->slices[scope->keys[position].slice];
  if (!bgap_holding_held (key) || !bgap_holding_held (slice)
      || key->holder != slice->holder
      || key->incarnation != slice->incarnation)
    return;
  bgap_scope_key_remove (scope, position);
  _bgap_rule_accept (scope, offset, record, verdict);
}

enum bgap_status
bgap_replica_rule (struct bgap_replica_state *state, uint64_t offset,
                   const struct bgap_record *record,
                   enum bgap_verdict *verdict)
{
  *verdict = BGAP_NEUTRAL;
  if (record->type == BGAP_RECORD_SNAPSHOT
      || record->type == BGAP_RECORD_UNKNOWN)
    return BGAP_OK;
  *verdict = BGAP_REJECTED;
  if (record->type == BGAP_RECORD_WITNESSES)
    {
      *verdict = _bgap_rule_witnesses (state, offset, record);
      return BGAP_OK;
    }
  if (record->type == BGAP_RECORD_GRANT)
    return _bgap_rule_grant (state, offset, record, verdict);
  if (record->type == BGAP_RECORD_RELEASE)
    return _bgap_rule_release (state, offset, record, verdict);
  struct bgap_scope *scope = _bgap_rule_scope (state, record->scope);
  if (scope == NULL || record->based_on != scope->basis
      || record->config < scope->config)
    return BGAP_OK;
  if (record->type == BGAP_RECORD_REVOKE)
    return _bgap_rule_revoke (scope, offset, record, verdict);
  if (record->type == BGAP_RECORD_SPLIT)
    return _bgap_rule_split (scope, offset, record, verdict);
  _bgap_rule_merge (scope, offset, record, verdict);
  return BGAP_OK;
}
