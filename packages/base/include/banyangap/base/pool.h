#ifndef BANYANGAP_BASE_POOL_H
#define BANYANGAP_BASE_POOL_H

/*
 * Fixed-capacity pool of equally sized items, addressed by handles that
 * contain a generation, so that the handle of a freed item is detected as
 * stale.
 *
 *   struct bgap_pool pool;
 *   bgap_pool_setup (&pool, &(struct bgap_pool_desc){
 *     .item_size = sizeof (struct connection), .capacity = 130 });
 *   uint32_t id = bgap_pool_alloc (&pool);
 *   struct connection *c = bgap_pool_get (&pool, id);
 *   bgap_pool_free (&pool, id);
 *   bgap_pool_shutdown (&pool);
 */

#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/status.h"

/* Handle that never refers to an item.  */
#define BGAP_INVALID_ID 0u

/* Largest capacity: the low 16 bits of a handle hold the index.  */
#define BGAP_POOL_MAX_CAPACITY 65535u

/**
 * struct bgap_pool_desc - options of a pool
 * @item_size: bytes per item, required
 * @capacity: maximum number of items; 0 means 64
 */
struct bgap_pool_desc
{
  size_t item_size;
  uint32_t capacity;
};

/**
 * struct bgap_pool - the pool; fields are private except @used and @capacity
 */
struct bgap_pool
{
  size_t item_size;
  uint32_t capacity;
  uint32_t used;
  uint32_t free_count;
  unsigned char *items;
  uint16_t *generations;
  unsigned char *in_use;
  uint32_t *free_list;
};

/**
 * bgap_pool_setup() - allocate all items
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_pool_setup (struct bgap_pool *pool,
                                  const struct bgap_pool_desc *desc);

/**
 * bgap_pool_shutdown() - free the pool's memory; allowed on a zeroed pool
 */
void bgap_pool_shutdown (struct bgap_pool *pool);

/**
 * bgap_pool_alloc() - allocate a zeroed item
 *
 * Return: its handle, or BGAP_INVALID_ID if the pool is full.
 */
uint32_t bgap_pool_alloc (struct bgap_pool *pool);

/**
 * bgap_pool_get() - look up the item of a handle
 *
 * Return: the item, or NULL if the handle is stale or invalid.
 */
void *bgap_pool_get (const struct bgap_pool *pool, uint32_t id);

/**
 * bgap_pool_free() - return an item to the pool; a stale handle is ignored
 */
void bgap_pool_free (struct bgap_pool *pool, uint32_t id);

/**
 * bgap_pool_next() - iterate over the items in use
 * @id: BGAP_INVALID_ID to start, then the previously returned handle
 *
 * Return: the next handle in use, or BGAP_INVALID_ID at the end.
 */
uint32_t bgap_pool_next (const struct bgap_pool *pool, uint32_t id);

#endif
