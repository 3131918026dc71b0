#include "engine_private.h"

#include <stdlib.h>

/* Most records kept, whatever their size.  */
#define RECORDS_MAX 1024

enum bgap_status
bgap_recent_setup (struct bgap_recent *recent, size_t bytes_max)
{
  recent->records = calloc (RECORDS_MAX, sizeof *recent->records);
  recent->capacity = RECORDS_MAX;
  recent->bytes_max = bytes_max;
  return recent->records ? BGAP_OK : BGAP_ERR_NO_MEMORY;
}

static void
_bgap_recent_drop (struct bgap_recent *recent)
{
  struct bgap_buffer *oldest = &recent->records[recent->first];
  recent->bytes -= oldest->size;
  bgap_buffer_shutdown (oldest);
  recent->first = (recent->first + 1) % recent->capacity;
  recent->count--;
}

void
bgap_recent_clear (struct bgap_recent *recent)
{
  while (recent->count > 0)
    _bgap_recent_drop (recent);
}

void
bgap_recent_shutdown (struct bgap_recent *recent)
{
  bgap_recent_clear (recent);
  free (recent->records);
  *recent = (struct bgap_recent){ 0 };
}

void
bgap_recent_add (struct bgap_recent *recent, uint64_t offset,
                 const void *bytes, size_t size)
{
  if (recent->count > 0 && offset != recent->newest + 1)
    bgap_recent_clear (recent);
  while (recent->count > 0
         && (recent->count == recent->capacity
             || recent->bytes + size > recent->bytes_max))
    _bgap_recent_drop (recent);
  struct bgap_buffer *slot
      = &recent->records[(recent->first + recent->count) % recent->capacity];
  if (size > recent->bytes_max
      || bgap_buffer_append (slot, bytes, size) != BGAP_OK)
    {
      bgap_recent_clear (recent);
      return;
    }
  recent->count++;
  recent->bytes += size;
  recent->newest = offset;
}

const struct bgap_buffer *
bgap_recent_find (const struct bgap_recent *recent, uint64_t offset)
{
  if (offset > recent->newest || recent->newest - offset >= recent->count)
    return NULL;
  uint32_t back = (uint32_t)(recent->newest - offset);
  return &recent->records[(recent->first + recent->count - 1 - back)
                          % recent->capacity];
}
