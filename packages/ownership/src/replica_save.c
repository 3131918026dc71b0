#include "replica_private.h"

#include <stdlib.h>
#include <string.h>

#include "banyangap/base/hash.h"
#include "msgpack_codec.h"

/* Version of the serialised state.  */
#define SAVE_VERSION 1

static void
_bgap_save_set (msgpack_packer *packer, const struct bgap_witness_set *set)
{
  msgpack_pack_array (packer, 3);
  msgpack_pack_uint64 (packer, set->offset);
  bgap_msgpack_write_bool (packer, set->forced);
  msgpack_pack_array (packer, set->count);
  for (uint32_t i = 0; i < set->count; i++)
    bgap_msgpack_write_name (packer, set->members[i]);
}

static void
_bgap_save_holding (msgpack_packer *packer, const struct bgap_holding *holding)
{
  msgpack_pack_uint64 (packer, holding->token);
  msgpack_pack_uint64 (packer, holding->revoked);
  msgpack_pack_uint64 (packer, holding->incarnation);
  msgpack_pack_uint32 (packer, holding->holder);
}

static bool
_bgap_holdings_equal (const struct bgap_holding *a,
                      const struct bgap_holding *b)
{
  return a->token == b->token && a->revoked == b->revoked
         && a->incarnation == b->incarnation && a->holder == b->holder;
}

/* Number of consecutive slices from @first on with the same ownership
   state.  */
static uint32_t
_bgap_run_length (const struct bgap_scope *scope, uint32_t first)
{
  uint32_t end = first + 1;
  while (end < scope->slice_count
         && _bgap_holdings_equal (&scope->slices[first], &scope->slices[end]))
    end++;
  return end - first;
}

static void
_bgap_save_scope (msgpack_packer *packer, const struct bgap_scope *scope)
{
  uint32_t runs = 0;
  for (uint32_t i = 0; i < scope->slice_count;
       i += _bgap_run_length (scope, i))
    runs++;
  msgpack_pack_array (packer, 6);
  bgap_msgpack_write_name (packer, scope->name);
  msgpack_pack_uint64 (packer, scope->basis);
  msgpack_pack_uint64 (packer, scope->config);
  msgpack_pack_uint32 (packer, scope->slice_count);
  msgpack_pack_array (packer, runs);
  for (uint32_t i = 0; i < scope->slice_count;
       i += _bgap_run_length (scope, i))
    {
      msgpack_pack_array (packer, 5);
      msgpack_pack_uint32 (packer, _bgap_run_length (scope, i));
      _bgap_save_holding (packer, &scope->slices[i]);
    }
  msgpack_pack_array (packer, scope->key_count);
  for (uint32_t i = 0; i < scope->key_count; i++)
    {
      msgpack_pack_array (packer, 5);
      bgap_msgpack_write_bytes (packer, scope->keys[i].bytes,
                                scope->keys[i].size);
      _bgap_save_holding (packer, &scope->keys[i].holding);
    }
}

enum bgap_status
bgap_replica_save (const struct bgap_replica *replica, struct bgap_buffer *out)
{
  const struct bgap_replica_state *state = &replica->state;
  msgpack_packer packer;
  msgpack_packer_init (&packer, out, bgap_msgpack_append);
  msgpack_pack_array (&packer, 7);
  msgpack_pack_uint32 (&packer, SAVE_VERSION);
  msgpack_pack_uint64 (&packer, state->applied);
  _bgap_save_set (&packer, &state->witnesses);
  _bgap_save_set (&packer, &state->previous);
  msgpack_pack_uint64 (&packer, state->forced);
  msgpack_pack_array (&packer, state->holder_count);
  for (uint32_t i = 0; i < state->holder_count; i++)
    bgap_msgpack_write_name (&packer,
                             bgap_replica_state_holder_name (state, i));
  int failed = msgpack_pack_array (&packer, state->scope_count);
  for (uint32_t i = 0; i < state->scope_count; i++)
    _bgap_save_scope (&packer, state->scopes[i]);
  return failed ? BGAP_ERR_NO_MEMORY : BGAP_OK;
}

static void
_bgap_load_set (struct bgap_msgpack_array *list, struct bgap_witness_set *set)
{
  struct bgap_msgpack_array fields = bgap_msgpack_read_array (list, 3);
  set->offset = bgap_msgpack_read_uint (&fields, INT64_MAX);
  set->forced = bgap_msgpack_read_bool (&fields);
  struct bgap_msgpack_array members
      = bgap_msgpack_read_array (&fields, BGAP_WITNESSES_MAX);
  set->count = members.count;
  for (uint32_t i = 0; i < members.count; i++)
    bgap_msgpack_read_name (&members, set->members[i], false);
  list->ok = list->ok && fields.ok && members.ok;
}

static struct bgap_holding
_bgap_load_holding (struct bgap_msgpack_array *list, uint32_t holder_count)
{
  struct bgap_holding holding = {
    .token = bgap_msgpack_read_uint (list, INT64_MAX),
    .revoked = bgap_msgpack_read_uint (list, INT64_MAX),
    .incarnation = bgap_msgpack_read_uint (list, UINT64_MAX),
    .holder = (uint16_t)bgap_msgpack_read_uint (list, BGAP_HOLDERS_MAX),
  };
  if ((holding.token || holding.revoked) && holding.holder >= holder_count)
    list->ok = false;
  return holding;
}

static bool
_bgap_load_keys (struct bgap_msgpack_array *list, struct bgap_scope *scope,
                 uint32_t holder_count)
{
  struct bgap_msgpack_array keys
      = bgap_msgpack_read_array (list, BGAP_KEYS_MAX);
  for (uint32_t i = 0; keys.ok && i < keys.count; i++)
    {
      struct bgap_msgpack_array fields = bgap_msgpack_read_array (&keys, 5);
      struct bgap_bytes key = bgap_msgpack_read_bytes (&fields, BGAP_KEY_MAX);
      struct bgap_holding holding = _bgap_load_holding (&fields, holder_count);
      if (!fields.ok || scope->slice_count == 0)
        return false;
      bool found;
      uint64_t hash = bgap_hash64 (key.data, key.size);
      uint32_t position
          = bgap_scope_key_position (scope, key.data, key.size, hash, &found);
      if (found
          || bgap_scope_key_insert (scope, position, key.data, key.size, hash,
                                    &holding)
                 != BGAP_OK)
        return false;
    }
  return keys.ok;
}

static bool
_bgap_load_slices (struct bgap_msgpack_array *list, struct bgap_scope *scope,
                   uint32_t holder_count)
{
  uint32_t slice_count
      = (uint32_t)bgap_msgpack_read_uint (list, BGAP_SLICES_MAX);
  struct bgap_msgpack_array runs
      = bgap_msgpack_read_array (list, BGAP_SLICES_MAX);
  if (!list->ok || (slice_count && !bgap_slice_count_valid (slice_count)))
    return false;
  scope->slices = calloc (slice_count + 1, sizeof *scope->slices);
  if (scope->slices == NULL)
    return false;
  uint32_t next_slice = 0;
  for (uint32_t i = 0; i < runs.count; i++)
    {
      struct bgap_msgpack_array fields = bgap_msgpack_read_array (&runs, 5);
      uint32_t run = (uint32_t)bgap_msgpack_read_uint (
          &fields, slice_count - next_slice);
      struct bgap_holding holding = _bgap_load_holding (&fields, holder_count);
      if (!fields.ok)
        return false;
      for (uint32_t j = 0; j < run; j++)
        scope->slices[next_slice++] = holding;
    }
  scope->slice_count = slice_count;
  return next_slice == slice_count;
}

static bool
_bgap_load_state (struct bgap_msgpack_array *list,
                  struct bgap_replica_state *state)
{
  if (bgap_msgpack_read_uint (list, SAVE_VERSION) != SAVE_VERSION)
    return false;
  state->applied = bgap_msgpack_read_uint (list, INT64_MAX);
  _bgap_load_set (list, &state->witnesses);
  _bgap_load_set (list, &state->previous);
  state->forced = bgap_msgpack_read_uint (list, INT64_MAX);
  struct bgap_msgpack_array holders
      = bgap_msgpack_read_array (list, BGAP_HOLDERS_MAX);
  if (!holders.ok
      || bgap_replica_state_alloc_holders (state, holders.count) != BGAP_OK)
    return false;
  state->holder_count = holders.count;
  for (uint32_t i = 0; i < holders.count; i++)
    bgap_msgpack_read_name (&holders,
                            bgap_replica_state_holder_name (state, i), true);
  struct bgap_msgpack_array scopes
      = bgap_msgpack_read_array (list, BGAP_SCOPES_MAX);
  if (!list->ok || !holders.ok)
    return false;
  for (uint32_t i = 0; i < scopes.count; i++)
    {
      char name[BGAP_NAME_SIZE];
      struct bgap_msgpack_array fields = bgap_msgpack_read_array (&scopes, 6);
      bgap_msgpack_read_name (&fields, name, false);
      uint64_t basis = bgap_msgpack_read_uint (&fields, INT64_MAX);
      uint64_t config = bgap_msgpack_read_uint (&fields, INT64_MAX);
      struct bgap_scope *scope
          = fields.ok ? bgap_replica_state_add_scope (state, name) : NULL;
      if (scope == NULL)
        return false;
      scope->basis = basis;
      scope->config = config;
      if (!_bgap_load_slices (&fields, scope, state->holder_count)
          || !_bgap_load_keys (&fields, scope, state->holder_count))
        return false;
    }
  return true;
}

enum bgap_status
bgap_replica_load (struct bgap_replica *replica, const void *bytes,
                   size_t size, struct bgap_error *err)
{
  struct bgap_msgpack msgpack;
  struct bgap_replica_state state = { 0 };
  enum bgap_status status = bgap_msgpack_open (&msgpack, bytes, size);
  if (status != BGAP_OK)
    return bgap_error_set (err, status, "the serialised state is malformed");
  struct bgap_msgpack_array list = bgap_msgpack_root (&msgpack);
  if (!_bgap_load_state (&list, &state))
    status = bgap_error_set (err, BGAP_ERR_PROTOCOL,
                             "the serialised state is malformed");
  else if (state.applied < replica->state.applied)
    status = bgap_error_set (
        err, BGAP_ERR_STALE,
        "the serialised state is older than the current state");
  bgap_msgpack_close (&msgpack);
  if (status != BGAP_OK)
    {
      bgap_replica_state_shutdown (&state);
      return status;
    }
  bgap_replica_state_shutdown (&replica->state);
  replica->state = state;
  return BGAP_OK;
}
