#ifndef BANYANGAP_OWNERSHIP_TOPK_H
#define BANYANGAP_OWNERSHIP_TOPK_H

/*
 * Space-saving sketch of the most frequent keys with exponential decay.
 *
 *   struct bgap_topk topk;
 *   bgap_topk_setup (&topk, &(struct bgap_topk_desc){ 0 });
 *   bgap_topk_add (&topk, now_ms, hash, key, key_size, 1);
 *   const struct bgap_topk_item *items;
 *   uint32_t count = bgap_topk_items (&topk, now_ms, &items);
 *   bgap_topk_shutdown (&topk);
 *
 * A key whose weight exceeds the total weight divided by the capacity is
 * always in the sketch. The true weight of an item is between weight - error
 * and weight.
 */

#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/status.h"

/* Number of bytes stored of each key. A longer key is counted, but cannot be
   split because a record must contain the whole key.  */
#define BGAP_TOPK_KEY_SIZE 64

/* Weight of one request. It is greater than 1 so that halving a weight keeps
   fractions.  */
#define BGAP_TOPK_UNIT UINT64_C (1024)

/**
 * struct bgap_topk_desc - options
 * @capacity: maximum number of keys, at most 65535; 0 means 128
 * @half_life_ms: time in which a weight decays to half; 0 means 10000
 */
struct bgap_topk_desc
{
  uint32_t capacity;
  int64_t half_life_ms;
};

/**
 * struct bgap_topk_item - one key
 * @hash: hash of the whole key
 * @weight: upper bound of the decayed weight, in units of 1 / BGAP_TOPK_UNIT
 * @error: part of @weight that may belong to keys evicted earlier
 * @key_size: size of the whole key in bytes
 * @key: the first BGAP_TOPK_KEY_SIZE bytes of the key
 */
struct bgap_topk_item
{
  uint64_t hash;
  uint64_t weight;
  uint64_t error;
  size_t key_size;
  uint8_t key[BGAP_TOPK_KEY_SIZE];
};

/**
 * struct bgap_topk - the sketch
 * @total: decayed weight of all requests, in units of 1 / BGAP_TOPK_UNIT
 */
struct bgap_topk
{
  struct bgap_topk_item *items;
  uint32_t count;
  uint32_t capacity;
  int64_t half_life_ms;
  int64_t decayed_at_ms;
  uint64_t total;
};

/**
 * bgap_topk_setup() - allocate an empty sketch
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_topk_setup (struct bgap_topk *topk,
                                  const struct bgap_topk_desc *desc);

/**
 * bgap_topk_shutdown() - free the sketch; allowed on a zeroed one
 */
void bgap_topk_shutdown (struct bgap_topk *topk);

/**
 * bgap_topk_add() - count requests for a key
 * @now_ms: monotonic time
 * @key: @key_size bytes
 * @requests: number of requests; 0 is ignored
 */
void bgap_topk_add (struct bgap_topk *topk, int64_t now_ms, uint64_t hash,
                    const void *key, size_t key_size, uint32_t requests);

/**
 * bgap_topk_items() - decay up to @now_ms and sort by descending weight
 * @items: set to the items, valid until the next call on @topk
 *
 * Return: number of items.
 */
uint32_t bgap_topk_items (struct bgap_topk *topk, int64_t now_ms,
                          const struct bgap_topk_item **items);

#endif
