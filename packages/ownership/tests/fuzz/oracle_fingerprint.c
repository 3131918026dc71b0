/* Fingerprints of the state of a model and of a replica.  */

#include <stdio.h>
#include <string.h>

#include "banyangap/base/hash.h"
#include "banyangap/ownership/replica.h"
#include "oracle_model.h"

/**
 * struct hash_input - one item of a state: an entry, a scope or a witness
 *
 * All its bytes are hashed, so unused ones must be zero.
 */
struct hash_input
{
  uint64_t numbers[6];
  char names[2][BGAP_MODEL_NAME_SIZE];
};

static uint64_t
_bgap_model_hash_entry (const char *scope, const char *hex, uint64_t slice,
                        const struct bgap_model_entry *entry)
{
  struct hash_input input = { .numbers = { 0 } };
  if (hex == NULL && entry->token == 0 && entry->revoked == 0)
    return 0;
  input.numbers[0] = hex ? bgap_hash64 (hex, strlen (hex)) : slice;
  input.numbers[1] = hex ? 1 : 2;
  input.numbers[2] = entry->token;
  input.numbers[3] = entry->revoked;
  if (entry->token || entry->revoked)
    {
      input.numbers[4] = entry->incarnation;
      snprintf (input.names[1], sizeof input.names[1], "%s", entry->holder);
    }
  snprintf (input.names[0], sizeof input.names[0], "%s", scope);
  return bgap_hash64 (&input, sizeof input);
}

static uint64_t
_bgap_model_hash_scope (const char *name, uint64_t basis, uint32_t slice_count)
{
  struct hash_input input = { .numbers = { 3, basis, slice_count } };
  snprintf (input.names[0], sizeof input.names[0], "%s", name);
  return bgap_hash64 (&input, sizeof input);
}

static uint64_t
_bgap_model_hash_member (uint64_t offset, uint32_t count, const char *name)
{
  struct hash_input input = { .numbers = { 4, offset, count } };
  snprintf (input.names[0], sizeof input.names[0], "%s", name);
  return bgap_hash64 (&input, sizeof input);
}

/* The hashes are added because a sum does not depend on their order.  */
uint64_t
bgap_model_fingerprint (const struct bgap_model *m)
{
  uint64_t sum = 0;
  for (uint32_t i = 0; i < m->member_count; i++)
    sum += _bgap_model_hash_member (m->witnesses, m->member_count,
                                    m->members[i]);
  for (uint32_t i = 0; i < BGAP_MODEL_SCOPES; i++)
    {
      const struct bgap_model_scope *scope = &m->scopes[i];
      if (scope->slice_count == 0)
        continue;
      sum += _bgap_model_hash_scope (scope->name, scope->basis,
                                     scope->slice_count);
      for (uint32_t s = 0; s < scope->slice_count; s++)
        sum += _bgap_model_hash_entry (scope->name, NULL, s,
                                       &scope->slices[s]);
      for (uint32_t k = 0; k < scope->key_count; k++)
        sum += _bgap_model_hash_entry (scope->name, scope->keys[k].hex, 0,
                                       &scope->keys[k].entry);
    }
  return sum;
}

static struct bgap_model_entry
_bgap_model_entry_of (const struct bgap_replica *replica,
                      const struct bgap_holding *holding)
{
  struct bgap_model_entry entry = {
    .token = holding->token,
    .revoked = holding->revoked,
    .incarnation = holding->incarnation,
  };
  if (holding->token || holding->revoked)
    snprintf (entry.holder, sizeof entry.holder, "%s",
              bgap_replica_holder_name (replica, holding->holder));
  return entry;
}

static uint64_t
_bgap_model_fingerprint_scope (const struct bgap_replica *replica,
                               const struct bgap_scope *scope)
{
  if (scope->slice_count == 0)
    return 0;
  uint64_t sum
      = _bgap_model_hash_scope (scope->name, scope->basis, scope->slice_count);
  for (uint32_t s = 0; s < scope->slice_count; s++)
    {
      struct bgap_model_entry entry
          = _bgap_model_entry_of (replica, &scope->slices[s]);
      sum += _bgap_model_hash_entry (scope->name, NULL, s, &entry);
    }
  for (uint32_t k = 0; k < scope->key_count; k++)
    {
      char hex[2 * BGAP_KEY_MAX + 1] = "";
      for (size_t b = 0; b < scope->keys[k].size; b++)
        snprintf (hex + 2 * b, 3, "%02x", scope->keys[k].bytes[b]);
      struct bgap_model_entry entry
          = _bgap_model_entry_of (replica, &scope->keys[k].holding);
      sum += _bgap_model_hash_entry (scope->name, hex, 0, &entry);
    }
  return sum;
}

uint64_t
bgap_model_fingerprint_replica (const struct bgap_replica *replica)
{
  uint64_t sum = 0;
  const struct bgap_witness_set *set = bgap_replica_witnesses (replica);
  for (uint32_t i = 0; set && i < set->count; i++)
    sum += _bgap_model_hash_member (set->offset, set->count, set->members[i]);
  for (uint32_t i = 0;; i++)
    {
      const struct bgap_scope *scope = bgap_replica_scope_at (replica, i);
      if (scope == NULL)
        return sum;
      sum += _bgap_model_fingerprint_scope (replica, scope);
    }
}
