#include "replica_private.h"

#include <stdlib.h>
#include <string.h>

char *
bgap_replica_state_holder_name (const struct bgap_replica_state *state,
                                uint32_t index)
{
  return state
      ->holders[index / BGAP_HOLDERS_CHUNK][index % BGAP_HOLDERS_CHUNK];
}

enum bgap_status
bgap_replica_state_alloc_holders (struct bgap_replica_state *state,
                                  uint32_t count)
{
  for (uint32_t i = 0; i * BGAP_HOLDERS_CHUNK < count; i++)
    {
      if (state->holders[i] == NULL)
        state->holders[i]
            = calloc (BGAP_HOLDERS_CHUNK, sizeof *state->holders[i]);
      if (state->holders[i] == NULL)
        return BGAP_ERR_NO_MEMORY;
    }
  return BGAP_OK;
}

void
bgap_replica_state_shutdown (struct bgap_replica_state *state)
{
  for (uint32_t i = 0; i < state->scope_count; i++)
    {
      struct bgap_scope *scope = state->scopes[i];
      for (uint32_t j = 0; j < scope->key_count; j++)
        free (scope->keys[j].bytes);
      free (scope->keys);
      free (scope->slices);
      free (scope);
    }
  for (uint32_t i = 0; i < BGAP_HOLDERS_MAX / BGAP_HOLDERS_CHUNK; i++)
    free (state->holders[i]);
  *state = (struct bgap_replica_state){ 0 };
}

struct bgap_scope *
bgap_replica_state_add_scope (struct bgap_replica_state *state,
                              const char *name)
{
  struct bgap_scope *scope = calloc (1, sizeof *scope);
  if (scope == NULL)
    return NULL;
  memcpy (scope->name, name, strlen (name) + 1);
  state->scopes[state->scope_count++] = scope;
  return scope;
}

/* Marks the name of the current or previous holder of an entry as used.  */
static void
_bgap_replica_state_mark_used (const struct bgap_holding *holding, bool *used)
{
  if (holding->token || holding->revoked)
    used[holding->holder] = true;
}

/* Clears the names that no entry refers to and returns their number. All
   replicas do this at the same record, so their indexes stay equal.  */
static uint32_t
_bgap_replica_state_drop_unused (struct bgap_replica_state *state)
{
  static bool used[BGAP_HOLDERS_MAX];
  memset (used, 0, sizeof used);
  for (uint32_t i = 0; i < state->scope_count; i++)
    {
      const struct bgap_scope *scope = state->scopes[i];
      for (uint32_t j = 0; j < scope->slice_count; j++)
        _bgap_replica_state_mark_used (&scope->slices[j], used);
      for (uint32_t j = 0; j < scope->key_count; j++)
        _bgap_replica_state_mark_used (&scope->keys[j].holding, used);
    }
  uint32_t dropped = 0;
  for (uint32_t i = 0; i < state->holder_count; i++)
    if (!used[i])
      {
        bgap_replica_state_holder_name (state, i)[0] = '\0';
        dropped++;
      }
  return dropped;
}

enum bgap_status
bgap_replica_state_reserve_holders (struct bgap_replica_state *state,
                                    uint32_t count)
{
  uint32_t available = BGAP_HOLDERS_MAX - state->holder_count;
  if (available < count
      && available + _bgap_replica_state_drop_unused (state) < count)
    return BGAP_ERR_FULL;
  uint32_t needed
      = state->holder_count + (available < count ? available : count);
  return bgap_replica_state_alloc_holders (state, needed);
}

int32_t
bgap_replica_state_intern_holder (struct bgap_replica_state *state,
                                  const char *name)
{
  int32_t empty = -1;
  for (uint32_t i = 0; i < state->holder_count; i++)
    {
      const char *known = bgap_replica_state_holder_name (state, i);
      if (strcmp (known, name) == 0)
        return (int32_t)i;
      if (empty < 0 && known[0] == '\0')
        empty = (int32_t)i;
    }
  if (empty < 0 && state->holder_count == BGAP_HOLDERS_MAX)
    return -1;
  if (empty < 0)
    empty = (int32_t)state->holder_count++;
  memcpy (bgap_replica_state_holder_name (state, (uint32_t)empty), name,
          strlen (name) + 1);
  return empty;
}
