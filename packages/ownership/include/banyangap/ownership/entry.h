#ifndef BANYANGAP_OWNERSHIP_ENTRY_H
#define BANYANGAP_OWNERSHIP_ENTRY_H

/*
 * Slices, and keys that are entries of their own.
 *
 *   uint32_t slice = bgap_slice_of_key ("ditch-17", 8, 1024);
 *   if (bgap_holding_held (&holding))
 *     send_to (holding.holder, holding.token);
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/ownership/limits.h"

/**
 * struct bgap_bytes - bytes owned by someone else
 */
struct bgap_bytes
{
  const void *data;
  size_t size;
};

/**
 * struct bgap_holding - who holds an entry
 * @token: offset of the grant, or 0 if nobody holds the entry
 * @revoked: offset of the revoke that ended the previous holding, or 0
 * @incarnation: of @holder
 * @holder: index of the holder's name in the replica; the previous holder's
 *   if @token is 0 and @revoked is not
 */
struct bgap_holding
{
  uint64_t token;
  uint64_t revoked;
  uint64_t incarnation;
  uint16_t holder;
};

/**
 * bgap_holding_held() - whether the entry has a holder
 */
bool bgap_holding_held (const struct bgap_holding *holding);

/**
 * bgap_slice_of_key() - slice of a key
 * @slice_count: a power of two
 */
uint32_t bgap_slice_of_key (const void *key, size_t size,
                            uint32_t slice_count);

/**
 * bgap_slice_count_valid() - a power of two up to BGAP_SLICES_MAX
 */
bool bgap_slice_count_valid (int64_t slice_count);

/**
 * bgap_name_valid() - whether @name is 1 to BGAP_NAME_SIZE - 1 bytes of
 * printable ASCII
 */
bool bgap_name_valid (const char *name);

#endif
