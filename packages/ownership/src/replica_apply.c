#include "replica_private.h"

#include <stdlib.h>
#include <string.h>

#include "banyangap/base/hash.h"

static bool
_bgap_witness_set_contains (const struct bgap_witness_set *set,
                            const char *name)
{
  for (uint32_t i = 0; i < set->count; i++)
    if (strcmp (set->members[i], name) == 0)
      return true;
  return false;
}

/* Whether @next differs from @set, by at most one added and at most one
   removed member.  */
static bool
_bgap_witness_set_differs_by_one (const struct bgap_witness_set *set,
                                  const struct bgap_witness_set *next)
{
  uint32_t added = 0;
  uint32_t removed = 0;
  for (uint32_t i = 0; i < next->count; i++)
    added += !_bgap_witness_set_contains (set, next->members[i]);
  for (uint32_t i = 0; i < set->count; i++)
    removed += !_bgap_witness_set_contains (next, set->members[i]);
  return added <= 1 && removed <= 1 && added + removed > 0;
}

static enum bgap_record_verdict
_bgap_apply_witnesses (struct bgap_replica_state *state, uint64_t offset,
                       const struct bgap_record *record)
{
  bool first = state->witnesses.offset == 0;
  if (record->based_on != state->witnesses.offset)
    return BGAP_REJECTED;
  /* Only one previous set is kept. If a set could be replaced before it is in
     force, there could be majorities that do not intersect.  */
  if (!first && !record->forced && record->in_force != record->based_on)
    return BGAP_REJECTED;
  struct bgap_witness_set next = { .offset = offset,
                                   .count = record->member_count,
                                   .forced = record->forced };
  memcpy (next.members, record->members, sizeof next.members);
  if (!first && !record->forced
      && !_bgap_witness_set_differs_by_one (&state->witnesses, &next))
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
 * struct marked_entries - entries that the items of a record refer to
 * @slices: one byte per slice, set if an item refers to it
 * @keys: the same per key entry
 */
struct marked_entries
{
  unsigned char *slices;
  unsigned char *keys;
};

/* Marks the entries of @item. Returns false if one does not exist, is already
   marked, or has a holder although @held is false, or none although @held is
   true.  */
static bool
_bgap_mark_item (const struct bgap_scope *scope, uint32_t slice_count,
                 const struct bgap_record_item *item, bool held,
                 struct marked_entries *marked)
{
  if (item->count == 0)
    {
      bool found = false;
      uint32_t position = bgap_scope_key_position (
          scope, item->key, item->key_size,
          bgap_hash64 (item->key, item->key_size), &found);
      if (!found || marked->keys[position]
          || bgap_holding_has_holder (&scope->keys[position].holding) != held)
        return false;
      marked->keys[position] = 1;
      return true;
    }
  if (item->first >= slice_count || item->count > slice_count - item->first)
    return false;
  for (uint32_t i = item->first; i < item->first + item->count; i++)
    {
      bool is_held
          = scope->slice_count && bgap_holding_has_holder (&scope->slices[i]);
      if (marked->slices[i] || is_held != held)
        return false;
      marked->slices[i] = 1;
    }
  return true;
}

/* Sets @valid to whether all items of a grant, revoke or release can take
   effect.  */
static enum bgap_status
_bgap_check_items (const struct bgap_scope *scope, uint32_t slice_count,
                   const struct bgap_record *record, bool held, bool *valid)
{
  struct marked_entries marked
      = { calloc (slice_count + 1, 1), calloc (scope->key_count + 1, 1) };
  bool allocated = marked.slices && marked.keys;
  *valid = allocated;
  for (uint32_t i = 0; *valid && i < record->item_count; i++)
    *valid = _bgap_mark_item (scope, slice_count, &record->items[i], held,
                              &marked);
  free (marked.slices);
  free (marked.keys);
  return allocated ? BGAP_OK : BGAP_ERR_NO_MEMORY;
}

/* Returns the next entry that @item refers to, or NULL at the end. The caller
   sets *@index to 0 before the first call.  */
static struct bgap_holding *
_bgap_next_holding (struct bgap_scope *scope,
                    const struct bgap_record_item *item, uint32_t *index)
{
  if (item->count > 0)
    return *index < item->count ? &scope->slices[item->first + (*index)++]
                                : NULL;
  if ((*index)++ > 0)
    return NULL;
  bool found;
  uint32_t position = bgap_scope_key_position (
      scope, item->key, item->key_size,
      bgap_hash64 (item->key, item->key_size), &found);
  return &scope->keys[position].holding;
}

static struct bgap_scope *
_bgap_find_scope (struct bgap_replica_state *state, const char *name)
{
  for (uint32_t i = 0; i < state->scope_count; i++)
    if (strcmp (state->scopes[i]->name, name) == 0)
      return state->scopes[i];
  return NULL;
}

/* Creates the scope and its slices if they do not exist. The first accepted
   grant or release fixes the number of slices: with two numbers in use, a key
   would belong to two slices.  */
static enum bgap_status
_bgap_prepare_scope (struct bgap_replica_state *state,
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
_bgap_accept (struct bgap_scope *scope, uint64_t offset,
              const struct bgap_record *record,
              enum bgap_record_verdict *verdict)
{
  scope->basis = offset;
  scope->config = record->config;
  *verdict = BGAP_ACCEPTED;
}

/* Whether a grant or release may apply to @scope, which is NULL if the service
   has no scope yet.  */
static bool
_bgap_scope_allows (const struct bgap_replica_state *state,
                    const struct bgap_scope *scope,
                    const struct bgap_record *record)
{
  if (scope == NULL)
    return record->based_on == 0 && state->scope_count < BGAP_SCOPES_MAX;
  return record->based_on == scope->basis && record->config >= scope->config
         && (!scope->slice_count || scope->slice_count == record->slices);
}

/* Clears the previous holders of free entries, whose leases have expired. From
   then on records of an older configuration have no effect, so another cell
   may take the entries that the newer configuration assigns to it.  */
static enum bgap_status
_bgap_apply_release (struct bgap_replica_state *state, uint64_t offset,
                     const struct bgap_record *record,
                     enum bgap_record_verdict *verdict)
{
  static const struct bgap_scope empty = { 0 };
  struct bgap_scope *scope = _bgap_find_scope (state, record->scope);
  bool valid;
  if (!_bgap_scope_allows (state, scope, record))
    return BGAP_OK;
  enum bgap_status status = _bgap_check_items (
      scope ? scope : &empty, record->slices, record, false, &valid);
  if (status != BGAP_OK || !valid)
    return status;
  status = _bgap_prepare_scope (state, record, &scope);
  if (status != BGAP_OK)
    return status;
  for (uint32_t i = 0; i < record->item_count; i++)
    {
      struct bgap_holding *holding;
      for (uint32_t index = 0;
           (holding = _bgap_next_holding (scope, &record->items[i], &index));)
        *holding = (struct bgap_holding){ 0 };
    }
  _bgap_accept (scope, offset, record, verdict);
  return BGAP_OK;
}

static enum bgap_status
_bgap_apply_grant (struct bgap_replica_state *state, uint64_t offset,
                   const struct bgap_record *record,
                   enum bgap_record_verdict *verdict)
{
  static const struct bgap_scope empty = { 0 };
  struct bgap_scope *scope = _bgap_find_scope (state, record->scope);
  const struct bgap_scope *current = scope ? scope : &empty;
  bool valid;
  *verdict = BGAP_REJECTED;
  if (state->witnesses.offset == 0
      || !_bgap_scope_allows (state, scope, record))
    return BGAP_OK;
  enum bgap_status status
      = _bgap_check_items (current, record->slices, record, false, &valid);
  if (status != BGAP_OK || !valid)
    return status;
  status = bgap_replica_state_reserve_holders (state, record->item_count);
  if (status != BGAP_OK)
    return status == BGAP_ERR_FULL ? BGAP_OK : status;
  status = _bgap_prepare_scope (state, record, &scope);
  if (status != BGAP_OK)
    return status;
  for (uint32_t i = 0; i < record->item_count; i++)
    {
      const struct bgap_record_item *item = &record->items[i];
      uint16_t holder
          = (uint16_t)bgap_replica_state_intern_holder (state, item->holder);
      struct bgap_holding *holding;
      for (uint32_t index = 0;
           (holding = _bgap_next_holding (scope, item, &index));)
        *holding = (struct bgap_holding){ .token = offset,
                                          .incarnation = item->incarnation,
                                          .holder = holder };
    }
  _bgap_accept (scope, offset, record, verdict);
  return BGAP_OK;
}

static enum bgap_status
_bgap_apply_revoke (struct bgap_scope *scope, uint64_t offset,
                    const struct bgap_record *record,
                    enum bgap_record_verdict *verdict)
{
  bool valid;
  enum bgap_status status
      = _bgap_check_items (scope, scope->slice_count, record, true, &valid);
  if (status != BGAP_OK || !valid)
    return status;
  for (uint32_t i = 0; i < record->item_count; i++)
    {
      struct bgap_holding *holding;
      for (uint32_t index = 0;
           (holding = _bgap_next_holding (scope, &record->items[i], &index));)
        {
          holding->token = 0;
          holding->revoked = offset;
        }
    }
  _bgap_accept (scope, offset, record, verdict);
  return BGAP_OK;
}

static enum bgap_status
_bgap_apply_split (struct bgap_scope *scope, uint64_t offset,
                   const struct bgap_record *record,
                   enum bgap_record_verdict *verdict)
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
  _bgap_accept (scope, offset, record, verdict);
  return BGAP_OK;
}

/* Key and slice must both have a holder, and the same one. If one of them has
   none, a merge would discard its previous holder, and no proposer would wait
   for that holder's lease to expire.  */
static void
_bgap_apply_merge (struct bgap_scope *scope, uint64_t offset,
                   const struct bgap_record *record,
                   enum bgap_record_verdict *verdict)
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
  if (!bgap_holding_has_holder (key) || !bgap_holding_has_holder (slice)
      || key->holder != slice->holder
      || key->incarnation != slice->incarnation)
    return;
  bgap_scope_key_remove (scope, position);
  _bgap_accept (scope, offset, record, verdict);
}

enum bgap_status
bgap_replica_apply_record (struct bgap_replica_state *state, uint64_t offset,
                           const struct bgap_record *record,
                           enum bgap_record_verdict *verdict)
{
  *verdict = BGAP_IGNORED;
  if (record->type == BGAP_RECORD_SNAPSHOT
      || record->type == BGAP_RECORD_UNKNOWN)
    return BGAP_OK;
  *verdict = BGAP_REJECTED;
  if (record->type == BGAP_RECORD_WITNESSES)
    {
      *verdict = _bgap_apply_witnesses (state, offset, record);
      return BGAP_OK;
    }
  if (record->type == BGAP_RECORD_GRANT)
    return _bgap_apply_grant (state, offset, record, verdict);
  if (record->type == BGAP_RECORD_RELEASE)
    return _bgap_apply_release (state, offset, record, verdict);
  struct bgap_scope *scope = _bgap_find_scope (state, record->scope);
  if (scope == NULL || record->based_on != scope->basis
      || record->config < scope->config)
    return BGAP_OK;
  if (record->type == BGAP_RECORD_REVOKE)
    return _bgap_apply_revoke (scope, offset, record, verdict);
  if (record->type == BGAP_RECORD_SPLIT)
    return _bgap_apply_split (scope, offset, record, verdict);
  _bgap_apply_merge (scope, offset, record, verdict);
  return BGAP_OK;
}
