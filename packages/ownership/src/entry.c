#include "banyangap/ownership/entry.h"

#include <string.h>

#include "banyangap/base/hash.h"

bool
bgap_holding_has_holder (const struct bgap_holding *holding)
{
  return holding->token != 0;
}

uint32_t
bgap_slice_of_key (const void *key, size_t size, uint32_t slice_count)
{
  return (uint32_t)(bgap_hash64 (key, size) & (slice_count - 1));
}

bool
bgap_slice_count_valid (int64_t slice_count)
{
  return slice_count > 0 && slice_count <= BGAP_SLICES_MAX
         && (slice_count & (slice_count - 1)) == 0;
}

bool
bgap_name_valid (const char *name)
{
  size_t length = strlen (name);
  if (length == 0 || length >= BGAP_NAME_SIZE)
    return false;
  for (size_t i = 0; i < length; i++)
    if (name[i] < '!' || name[i] > '~')
      return false;
  return true;
}
