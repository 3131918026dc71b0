#include "banyangap/base/hash.h"

#include <string.h>
#include <xxhash.h>

uint64_t
bgap_hash64 (const void *bytes, size_t size)
{
  return XXH3_64bits (bytes, size);
}

uint64_t
bgap_rendezvous_weight (uint64_t key, const char *node)
{
  return XXH3_64bits_withSeed (node, strlen (node), key);
}
