#include "engine_private.h"

#include <stdlib.h>

/* Maximum number of records, whatever their size.  */
#define RECORDS_MAX 1024

enum bgap_status
bgap_record_cache_setup (struct bgap_record_cache *cache, size_t bytes_max)
{
  cache->records = calloc (RECORDS_MAX, sizeof *cache->records);
  cache->capacity = RECORDS_MAX;
  cache->bytes_max = bytes_max;
  return cache->records ? BGAP_OK : BGAP_ERR_NO_MEMORY;
}

static void
_bgap_record_cache_evict_oldest (struct bgap_record_cache *cache)
{
  struct bgap_buffer *oldest = &cache->records[cache->first];
  cache->bytes -= oldest->size;
  bgap_buffer_shutdown (oldest);
  cache->first = (cache->first + 1) % cache->capacity;
  cache->count--;
}

void
bgap_record_cache_clear (struct bgap_record_cache *cache)
{
  while (cache->count > 0)
    _bgap_record_cache_evict_oldest (cache);
}

void
bgap_record_cache_shutdown (struct bgap_record_cache *cache)
{
  bgap_record_cache_clear (cache);
  free (cache->records);
  *cache = (struct bgap_record_cache){ 0 };
}

void
bgap_record_cache_add (struct bgap_record_cache *cache, uint64_t offset,
                       const void *bytes, size_t size)
{
  if (cache->count > 0 && offset != cache->newest + 1)
    bgap_record_cache_clear (cache);
  while (cache->count > 0
         && (cache->count == cache->capacity
             || cache->bytes + size > cache->bytes_max))
    _bgap_record_cache_evict_oldest (cache);
  struct bgap_buffer *slot
      = &cache->records[(cache->first + cache->count) % cache->capacity];
  if (size > cache->bytes_max
      || bgap_buffer_append (slot, bytes, size) != BGAP_OK)
    {
      bgap_record_cache_clear (cache);
      return;
    }
  cache->count++;
  cache->bytes += size;
  cache->newest = offset;
}

const struct bgap_buffer *
bgap_record_cache_find (const struct bgap_record_cache *cache, uint64_t offset)
{
  if (offset > cache->newest || cache->newest - offset >= cache->count)
    return NULL;
  uint32_t back = (uint32_t)(cache->newest - offset);
  return &cache->records[(cache->first + cache->count - 1 - back)
                         % cache->capacity];
}
