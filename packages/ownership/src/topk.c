#include "banyangap/ownership/topk.h"

#include <stdlib.h>
#include <string.h>

#define DEFAULT_CAPACITY 128u
#define MAX_CAPACITY 65535u
#define DEFAULT_HALF_LIFE_MS 10000

/* After this many halvings every weight is 0.  */
#define MAX_HALVINGS 63

enum bgap_status
bgap_topk_setup (struct bgap_topk *topk, const struct bgap_topk_desc *desc)
{
  uint32_t capacity = desc->capacity ? desc->capacity : DEFAULT_CAPACITY;
  if (capacity > MAX_CAPACITY || desc->half_life_ms < 0)
    return BGAP_ERR_INVALID;
  *topk = (struct bgap_topk){
    .items = calloc (capacity, sizeof *topk->items),
    .capacity = capacity,
    .half_life_ms
    = desc->half_life_ms ? desc->half_life_ms : DEFAULT_HALF_LIFE_MS,
  };
  return topk->items ? BGAP_OK : BGAP_ERR_NO_MEMORY;
}

void
bgap_topk_shutdown (struct bgap_topk *topk)
{
  free (topk->items);
  *topk = (struct bgap_topk){ 0 };
}

/* Halves the weights once per elapsed half-life and drops items whose weight
   reaches 0.  */
static void
_bgap_topk_decay (struct bgap_topk *topk, int64_t now_ms)
{
  if (topk->decayed_at_ms == 0 || now_ms < topk->decayed_at_ms)
    topk->decayed_at_ms = now_ms;
  int64_t halvings = (now_ms - topk->decayed_at_ms) / topk->half_life_ms;
  if (halvings == 0)
    return;
  topk->decayed_at_ms += halvings * topk->half_life_ms;
  int shift = halvings > MAX_HALVINGS ? MAX_HALVINGS : (int)halvings;
  topk->total >>= shift;
  uint32_t kept = 0;
  for (uint32_t i = 0; i < topk->count; i++)
    {
      struct bgap_topk_item *item = &topk->items[i];
      item->weight >>= shift;
      item->error >>= shift;
      if (item->weight > 0)
        topk->items[kept++] = *item;
    }
  topk->count = kept;
}

/* A linear search is sufficient: 128 comparisons cost less than a microsecond,
   and an instance counts a few thousand requests per second.  */
static struct bgap_topk_item *
_bgap_topk_find (struct bgap_topk *topk, uint64_t hash)
{
  for (uint32_t i = 0; i < topk->count; i++)
    if (topk->items[i].hash == hash)
      return &topk->items[i];
  return NULL;
}

static struct bgap_topk_item *
_bgap_topk_lightest (struct bgap_topk *topk)
{
  struct bgap_topk_item *lightest = &topk->items[0];
  for (uint32_t i = 1; i < topk->count; i++)
    if (topk->items[i].weight < lightest->weight)
      lightest = &topk->items[i];
  return lightest;
}

/* Uses a free item, or else replaces the item with the lowest weight; the new
   key inherits that weight.  */
static struct bgap_topk_item *
_bgap_topk_insert (struct bgap_topk *topk, uint64_t hash, const void *key,
                   size_t key_size)
{
  struct bgap_topk_item *item = NULL;
  uint64_t inherited = 0;
  if (topk->count < topk->capacity)
    item = &topk->items[topk->count++];
  else
    {
      item = _bgap_topk_lightest (topk);
      inherited = item->weight;
    }
  *item = (struct bgap_topk_item){
    .hash = hash,
    .weight = inherited,
    .error = inherited,
    .key_size = key_size,
  };
  size_t kept = key_size < sizeof item->key ? key_size : sizeof item->key;
  if (kept > 0)
    memcpy (item->key, key, kept);
  return item;
}

void
bgap_topk_add (struct bgap_topk *topk, int64_t now_ms, uint64_t hash,
               const void *key, size_t key_size, uint32_t requests)
{
  if (requests == 0)
    return;
  _bgap_topk_decay (topk, now_ms);
  struct bgap_topk_item *item = _bgap_topk_find (topk, hash);
  if (item == NULL)
    item = _bgap_topk_insert (topk, hash, key, key_size);
  uint64_t weight = (uint64_t)requests * BGAP_TOPK_UNIT;
  item->weight += weight;
  topk->total += weight;
}

static int
_bgap_topk_compare (const void *left, const void *right)
{
  const struct bgap_topk_item *a = left;
  const struct bgap_topk_item *b = right;
  if (a->weight != b->weight)
    return a->weight > b->weight ? -1 : 1;
  return (a->hash > b->hash) - (a->hash < b->hash);
}

uint32_t
bgap_topk_items (struct bgap_topk *topk, int64_t now_ms,
                 const struct bgap_topk_item **items)
{
  _bgap_topk_decay (topk, now_ms);
  qsort (topk->items, topk->count, sizeof *topk->items, _bgap_topk_compare);
  *items = topk->items;
  return topk->count;
}
