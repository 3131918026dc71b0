#ifndef BANYANGAP_OWNERSHIP_ENTRY_H
#define BANYANGAP_OWNERSHIP_ENTRY_H

/*
 * Entries: the units of ownership of a service. An entry is either a slice
 * (a part of the key space, chosen by the key's hash) or a single key that was
 * split from its slice.
 *
 *   uint32_t slice = bgap_slice_of_key ("ditch-17", 8, 1024);
 *   if (bgap_holding_has_holder (&holding))
 *     send_to (holding.holder, holding.token);
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/ownership/limits.h"

/**
 * struct bgap_bytes - view of bytes that the struct does not own
 */
struct bgap_bytes
{
  const void *data;
  size_t size;
};

/**
 * struct bgap_holding - ownership state of an entry
 * @token: fencing token: offset of the grant record, or 0 if the entry has no
 *   holder
 * @revoked: offset of the revoke record that removed the previous holder, or 0
 * @incarnation: of @holder
 * @holder: index of the holder's name in the replica; if @token is 0 and
 *   @revoked is not, the index of the previous holder
 */
struct bgap_holding
{
  uint64_t token;
  uint64_t revoked;
  uint64_t incarnation;
  uint16_t holder;
};

/**
 * bgap_holding_has_holder() - whether the entry is granted to a holder
 */
bool bgap_holding_has_holder (const struct bgap_holding *holding);

/**
 * bgap_slice_of_key() - map a key to its slice
 * @slice_count: a power of two
 */
uint32_t bgap_slice_of_key (const void *key, size_t size,
                            uint32_t slice_count);

/**
 * bgap_slice_count_valid() - whether @slice_count is a power of two of at most
 * BGAP_SLICES_MAX
 */
bool bgap_slice_count_valid (int64_t slice_count);

/**
 * bgap_name_valid() - whether @name is 1 to BGAP_NAME_SIZE - 1 bytes of
 * printable ASCII
 */
bool bgap_name_valid (const char *name);

#endif
