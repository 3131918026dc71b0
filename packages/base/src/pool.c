#include "banyangap/base/pool.h"

#include <stdlib.h>
#include <string.h>

#define DEFAULT_CAPACITY 64u
#define INDEX_MASK 0xffffu
#define GENERATION_SHIFT 16

enum bgap_status
bgap_pool_setup (struct bgap_pool *pool, const struct bgap_pool_desc *desc)
{
  uint32_t capacity = desc->capacity ? desc->capacity : DEFAULT_CAPACITY;
  if (desc->item_size == 0 || capacity > BGAP_POOL_MAX_CAPACITY)
    return BGAP_ERR_INVALID;
  *pool = (struct bgap_pool){
    .item_size = desc->item_size,
    .capacity = capacity,
    .items = calloc (capacity, desc->item_size),
    .generations = calloc (capacity, sizeof *pool->generations),
    .in_use = calloc (capacity, 1),
    .free_list = calloc (capacity, sizeof *pool->free_list),
  };
  if (!pool->items || !pool->generations || !pool->in_use || !pool->free_list)
    {
      bgap_pool_shutdown (pool);
      return BGAP_ERR_NO_MEMORY;
    }
  for (uint32_t i = 0; i < capacity; i++)
    pool->free_list[i] = capacity - 1 - i;
  pool->free_count = capacity;
  return BGAP_OK;
}

void
bgap_pool_shutdown (struct bgap_pool *pool)
{
  free (pool->items);
  free (pool->generations);
  free (pool->in_use);
  free (pool->free_list);
  *pool = (struct bgap_pool){ 0 };
}

static uint32_t
_bgap_pool_handle (const struct bgap_pool *pool, uint32_t index)
{
  return ((uint32_t)pool->generations[index] << GENERATION_SHIFT) | index;
}

uint32_t
bgap_pool_alloc (struct bgap_pool *pool)
{
  if (pool->free_count == 0)
    return BGAP_INVALID_ID;
  uint32_t index = pool->free_list[--pool->free_count];
  /* Generation 0 is skipped, because handle 0 is BGAP_INVALID_ID.  */
  if (++pool->generations[index] == 0)
    pool->generations[index] = 1;
  pool->in_use[index] = 1;
  pool->used++;
  memset (pool->items + index * pool->item_size, 0, pool->item_size);
  return _bgap_pool_handle (pool, index);
}

void *
bgap_pool_get (const struct bgap_pool *pool, uint32_t id)
{
  uint32_t index = id & INDEX_MASK;
  if (index >= pool->capacity || !pool->in_use[index])
    return NULL;
  if (_bgap_pool_handle (pool, index) != id)
    return NULL;
  return pool->items + index * pool->item_size;
}

void
bgap_pool_free (struct bgap_pool *pool, uint32_t id)
{
  if (bgap_pool_get (pool, id) == NULL)
    return;
  uint32_t index = id & INDEX_MASK;
  pool->in_use[index] = 0;
  pool->free_list[pool->free_count++] = index;
  pool->used--;
}

uint32_t
bgap_pool_next (const struct bgap_pool *pool, uint32_t id)
{
  uint32_t index = id == BGAP_INVALID_ID ? 0 : (id & INDEX_MASK) + 1;
  for (; index < pool->capacity; index++)
    if (pool->in_use[index])
      return _bgap_pool_handle (pool, index);
  return BGAP_INVALID_ID;
}
