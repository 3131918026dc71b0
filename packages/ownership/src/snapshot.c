#include "banyangap/ownership/snapshot.h"

#include <stdlib.h>
#include <string.h>

#include "banyangap/base/hash.h"

uint32_t
bgap_snapshot_parts (size_t size)
{
  return size == 0 ? 1
                   : (uint32_t)((size + BGAP_SNAPSHOT_PART_SIZE - 1)
                                / BGAP_SNAPSHOT_PART_SIZE);
}

enum bgap_status
bgap_snapshot_print (uint64_t id, uint64_t as_of,
                     const struct bgap_buffer *state, uint32_t part,
                     struct bgap_buffer *out)
{
  uint32_t parts = bgap_snapshot_parts (state->size);
  if (part >= parts || parts > BGAP_SNAPSHOT_PARTS_MAX)
    return BGAP_ERR_INVALID;
  size_t start = (size_t)part * BGAP_SNAPSHOT_PART_SIZE;
  size_t size = state->size - start;
  if (size > BGAP_SNAPSHOT_PART_SIZE)
    size = BGAP_SNAPSHOT_PART_SIZE;
  static unsigned char empty;
  unsigned char *data
      = state->data ? (unsigned char *)state->data + start : &empty;
  struct bgap_record record = {
    .type = BGAP_RECORD_SNAPSHOT,
    .snapshot = { .id = id,
                  .as_of = as_of,
                  .part = part,
                  .parts = parts,
                  .checksum = bgap_hash64 (data, size),
                  .data = data,
                  .size = size },
  };
  return bgap_record_print (&record, out);
}

enum bgap_status
bgap_snapshot_add (struct bgap_snapshot *snapshot,
                   const struct bgap_record *record, struct bgap_error *err)
{
  const struct bgap_record_snapshot *received = &record->snapshot;
  if (received->size > 0
      && bgap_hash64 (received->data, received->size) != received->checksum)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "snapshot part has a wrong checksum");
  if (received->part == 0)
    {
      snapshot->id = received->id;
      snapshot->as_of = received->as_of;
      snapshot->parts = received->parts;
      snapshot->next = 0;
      snapshot->size = 0;
    }
  if (received->id != snapshot->id || received->as_of != snapshot->as_of
      || received->parts != snapshot->parts
      || received->part != snapshot->next)
    return bgap_error_set (err, BGAP_ERR_STALE,
                           "snapshot part is out of order");
  unsigned char *data
      = realloc (snapshot->data, snapshot->size + received->size + 1);
  if (data == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  if (received->size > 0)
    memcpy (data + snapshot->size, received->data, received->size);
  snapshot->data = data;
  snapshot->size += received->size;
  snapshot->next++;
  return BGAP_OK;
}

bool
bgap_snapshot_complete (const struct bgap_snapshot *snapshot)
{
  return snapshot->parts > 0 && snapshot->next == snapshot->parts;
}

void
bgap_snapshot_shutdown (struct bgap_snapshot *snapshot)
{
  free (snapshot->data);
  *snapshot = (struct bgap_snapshot){ 0 };
}
