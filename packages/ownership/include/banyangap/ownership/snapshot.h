#ifndef BANYANGAP_OWNERSHIP_SNAPSHOT_H
#define BANYANGAP_OWNERSHIP_SNAPSHOT_H

/*
 * Snapshots of a replica, divided into records with at most 48 KiB of state
 * each.
 *
 * Writing:
 *
 *   for (uint32_t part = 0; part < bgap_snapshot_parts (state.size); part++)
 *     bgap_snapshot_print (id, as_of, &state, part, &record_text);
 *
 * Reading:
 *
 *   struct bgap_snapshot snapshot = { 0 };
 *   if (bgap_snapshot_add (&snapshot, &record, &err) == BGAP_OK
 *       && bgap_snapshot_complete (&snapshot))
 *     bgap_replica_load (replica, snapshot.data, snapshot.size, &err);
 *   bgap_snapshot_shutdown (&snapshot);
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"
#include "banyangap/ownership/record.h"

/* Maximum number of bytes of state in one part.  */
#define BGAP_SNAPSHOT_PART_SIZE 49152

/* Maximum number of parts of a snapshot; limits the memory needed to read one
   to 12 MiB.  */
#define BGAP_SNAPSHOT_PARTS_MAX 256

/**
 * struct bgap_snapshot - a snapshot that is being reassembled
 * @id: identifies the snapshot
 * @as_of: offset of the last record applied to the state
 * @parts: number of parts
 * @next: index of the next part
 * @data: bytes of the parts added so far
 *
 * A zeroed struct is empty. Parts must be added in order; the first part of
 * another snapshot discards the parts added before.
 */
struct bgap_snapshot
{
  uint64_t id;
  uint64_t as_of;
  uint32_t parts;
  uint32_t next;
  unsigned char *data;
  size_t size;
};

/**
 * bgap_snapshot_parts() - number of parts for @size bytes of state, at least
 * 1
 */
uint32_t bgap_snapshot_parts (size_t size);

/**
 * bgap_snapshot_print() - append part @part of @state as a record
 */
enum bgap_status bgap_snapshot_print (uint64_t id, uint64_t as_of,
                                      const struct bgap_buffer *state,
                                      uint32_t part, struct bgap_buffer *out);

/**
 * bgap_snapshot_add() - add the next part
 *
 * Return: BGAP_OK; BGAP_ERR_STALE if the part is not the next one;
 * BGAP_ERR_PROTOCOL if its checksum is wrong; BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_snapshot_add (struct bgap_snapshot *snapshot,
                                    const struct bgap_record *record,
                                    struct bgap_error *err);

/**
 * bgap_snapshot_complete() - whether all parts have been added
 */
bool bgap_snapshot_complete (const struct bgap_snapshot *snapshot);

/**
 * bgap_snapshot_shutdown() - free the data; the snapshot is empty afterwards
 */
void bgap_snapshot_shutdown (struct bgap_snapshot *snapshot);

#endif
