#include "replica_private.h"

#include <stdlib.h>
#include <string.h>

#include "banyangap/base/hash.h"

#define INITIAL_KEY_CAPACITY 16

uint32_t
bgap_scope_key_position (const struct bgap_scope *scope, const void *key,
                         size_t size, uint64_t hash, bool *found)
{
  uint32_t low = 0;
  uint32_t high = scope->key_count;
  *found = false;
  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      const struct bgap_key_entry *entry = &scope->keys[middle];
      int order = entry->hash < hash ? -1 : entry->hash > hash;
      if (order == 0)
        order = entry->size < size ? -1 : entry->size > size;
      if (order == 0 && size > 0)
        order = memcmp (entry->bytes, key, size);
      if (order == 0)
        {
          *found = true;
          return middle;
        }
      if (order < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

enum bgap_status
bgap_scope_key_insert (struct bgap_scope *scope, uint32_t position,
                       const void *key, size_t size, uint64_t hash,
                       const struct bgap_holding *holding)
{
  if (scope->key_count == scope->key_capacity)
    {
      uint32_t capacity = scope->key_capacity ? 2 * scope->key_capacity
                                              : INITIAL_KEY_CAPACITY;
      struct bgap_key_entry *keys
          = realloc (scope->keys, capacity * sizeof *keys);
      if (keys == NULL)
        return BGAP_ERR_NO_MEMORY;
      scope->keys = keys;
      scope->key_capacity = capacity;
    }
  unsigned char *bytes = malloc (size + 1);
  if (bytes == NULL)
    return BGAP_ERR_NO_MEMORY;
  if (size > 0)
    memcpy (bytes, key, size);
  memmove (scope->keys + position + 1, scope->keys + position,
           (scope->key_count - position) * sizeof *scope->keys);
  scope->keys[position] = (struct bgap_key_entry){
    .holding = *holding,
    .hash = hash,
    .slice = (uint32_t)(hash & (scope->slice_count - 1)),
    .size = (uint16_t)size,
    .bytes = bytes,
  };
  scope->key_count++;
  return BGAP_OK;
}

void
bgap_scope_key_remove (struct bgap_scope *scope, uint32_t position)
{
  free (scope->keys[position].bytes);
  scope->key_count--;
  memmove (scope->keys + position, scope->keys + position + 1,
           (scope->key_count - position) * sizeof *scope->keys);
}

const struct bgap_key_entry *
bgap_scope_find_key (const struct bgap_scope *scope, const void *key,
                     size_t size)
{
  if (scope->key_count == 0)
    return NULL;
  bool found;
  uint32_t position = bgap_scope_key_position (
      scope, key, size, bgap_hash64 (key, size), &found);
  return found ? &scope->keys[position] : NULL;
}

const struct bgap_holding *
bgap_scope_find (const struct bgap_scope *scope, const void *key, size_t size)
{
  if (scope->slice_count == 0)
    return NULL;
  uint64_t hash = bgap_hash64 (key, size);
  if (scope->key_count > 0)
    {
      bool found;
      uint32_t position
          = bgap_scope_key_position (scope, key, size, hash, &found);
      if (found)
        return &scope->keys[position].holding;
    }
  return &scope->slices[hash & (scope->slice_count - 1)];
}
