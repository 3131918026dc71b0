#ifndef BANYANGAP_OWNERSHIP_RECORD_H
#define BANYANGAP_OWNERSHIP_RECORD_H

/*
 * Records of an ownership stream and their JSON codec.
 *
 *   struct bgap_record record;
 *   if (bgap_record_parse (text, size, &record, &err) == BGAP_OK)
 *     {
 *       ...
 *       bgap_record_shutdown (&record);
 *     }
 *
 * Keys are hexadecimal strings in JSON because they may contain any bytes.
 * Incarnations are strings of 16 hexadecimal digits because they use 64 bits
 * and integers of the JSON parser are signed.
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"
#include "banyangap/ownership/entry.h"

enum bgap_record_type
{
  BGAP_RECORD_WITNESSES = 1,
  BGAP_RECORD_GRANT,
  BGAP_RECORD_SPLIT,
  BGAP_RECORD_MERGE,
  BGAP_RECORD_REVOKE,
  BGAP_RECORD_SNAPSHOT,
  BGAP_RECORD_RELEASE, /* forget holders whose leases have expired */
  BGAP_RECORD_UNKNOWN  /* type unknown to this release; no effect */
};

/**
 * struct bgap_record_item - a range of slices, or a key
 * @first: first slice
 * @count: number of slices; 0 if the item is a key
 * @key: the key, or NULL; owned by the record
 * @key_size: bytes of @key
 * @holder: name of the new holder; empty in a revoke or release
 * @incarnation: of @holder
 */
struct bgap_record_item
{
  uint32_t first;
  uint32_t count;
  unsigned char *key;
  size_t key_size;
  char holder[BGAP_NAME_SIZE];
  uint64_t incarnation;
};

/**
 * struct bgap_record_snapshot - one part of a snapshot
 * @id: chosen by the writer, the same in all parts
 * @as_of: offset of the last record applied to the state
 * @part: index of this part, 0 to @parts - 1
 * @parts: number of parts
 * @checksum: XXH3 of @data
 * @data: bytes of this part, owned by the record
 */
struct bgap_record_snapshot
{
  uint64_t id;
  uint64_t as_of;
  uint32_t part;
  uint32_t parts;
  uint64_t checksum;
  unsigned char *data;
  size_t size;
};

/**
 * struct bgap_record - one record
 * @schema: schema version; if it is higher than BGAP_RECORD_SCHEMA, no other
 *   member is set
 * @scope: name of the service; empty for witnesses and snapshots
 * @based_on: last accepted offset of the scope that the author has seen, 0 for
 *   the first record; a record with another base is rejected
 * @slices: number of slices of the service (grant, release)
 * @config: version of the configuration that assigns the service's slices to
 *   cells, 0 if they are not divided among cells
 * @key: the key (split, merge)
 * @in_force: offset of the witness set that the author has seen in force; must
 *   equal @based_on unless the record is the first or forced
 * @forced: the operator asserts that the old members' processes are stopped
 */
struct bgap_record
{
  int64_t schema;
  enum bgap_record_type type;
  char scope[BGAP_NAME_SIZE];
  uint64_t based_on;
  uint32_t slices;
  uint64_t config;
  struct bgap_record_item *items;
  uint32_t item_count;
  unsigned char *key;
  size_t key_size;
  char members[BGAP_WITNESSES_MAX][BGAP_NAME_SIZE];
  uint32_t member_count;
  uint64_t in_force;
  bool forced;
  struct bgap_record_snapshot snapshot;
};

/**
 * bgap_record_parse() - parse a record from JSON text
 *
 * On success the caller frees the record with bgap_record_shutdown().
 *
 * Return: BGAP_OK, BGAP_ERR_PROTOCOL for a malformed record or
 * BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_record_parse (const void *bytes, size_t size,
                                    struct bgap_record *record,
                                    struct bgap_error *err);

/**
 * bgap_record_print() - append a record as JSON text
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_record_print (const struct bgap_record *record,
                                    struct bgap_buffer *out);

/**
 * bgap_record_shutdown() - free what the record owns and zero it
 */
void bgap_record_shutdown (struct bgap_record *record);

#endif
