#include "banyangap/ownership/snapshot.h"

#include <stdlib.h>
#include <string.h>

#include "banyangap/base/hash.h"

uint32_t
bgap_snapshot_parts (size_t size)
{
  return size == 0 ? 1
                   : (uint32_t)((size + BGAP_SNAPSHOT_CHUNK - 1)
                                / BGAP_SNAPSHOT_CHUNK);
}

enum bgap_status
bgap_snapshot_print (uint64_t id, uint64_t as_of,
                     const struct bgap_buffer *state, uint32_t part,
                     struct bgap_buffer *out)
{
  uint32_t parts = bgap_snapshot_parts (state->size);
  if (part >= parts || parts > BGAP_SNAPSHOT_PARTS_MAX)
    return BGAP_ERR_INVALID;
  size_t start = (size_t)part * BGAP_SNAPSHOT_CHUNK;
  size_t size = state->size - start;
  if (size > BGAP_SNAPSHOT_CHUNK)
    size = BGAP_SNAPSHOT_CHUNK;
  static unsigned char nothing;
  unsigned char *data
      = state->data ? (unsigned char *)state->data + start : &nothing;
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
  const struct bgap_record_snapshot *chunk = &record->snapshot;
  if (chunk->size > 0
      && bgap_hash64 (chunk->data, chunk->size) != chunk->checksum)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "the checksum of a snapshot chunk is wrong");
  if (chunk->part == 0)
    {
      snapshot->id = chunk->id;
      snapshot->as_of = chunk->as_of;
      snapshot->parts = chunk->parts;
      snapshot->next = 0;
      snapshot->size = 0;
    }
  if (chunk->id != snapshot->id || chunk->as_of != snapshot->as_of
      || chunk->parts != snapshot->parts || chunk->part != snapshot->next)
    return bgap_error_set (err, BGAP_ERR_STALE,
                           "the snapshot chunk is not the next one");
  unsigned char *data
      = realloc (snapshot->data, snapshot->size + chunk->size + 1);
  if (data == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  if (chunk->size > 0)
    memcpy (data + snapshot->size, chunk->data, chunk->size);
  snapshot->data = data;
  snapshot->size += chunk->size;
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
