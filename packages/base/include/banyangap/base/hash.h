#ifndef BANYANGAP_BASE_HASH_H
#define BANYANGAP_BASE_HASH_H

/*
 * XXH3 hashes and rendezvous hashing.
 *
 *   uint64_t key = bgap_hash64 (bytes, size);
 *   uint64_t weight = bgap_rendezvous_weight (key, "entry-1");
 *
 * Of a set of nodes, the one with the highest weight for a key is chosen.
 */

#include <stddef.h>
#include <stdint.h>

/**
 * bgap_hash64() - XXH3 64-bit hash of @size bytes
 */
uint64_t bgap_hash64 (const void *bytes, size_t size);

/**
 * bgap_rendezvous_weight() - weight of @node for @key
 */
uint64_t bgap_rendezvous_weight (uint64_t key, const char *node);

#endif
