#ifndef BANYANGAP_ROUTING_HEAP_H
#define BANYANGAP_ROUTING_HEAP_H

/*
 * Binary min-heap of pool handles that can remove any of them.
 *
 *   uint32_t *positions = calloc (pool.capacity, sizeof *positions);
 *   struct bgap_heap heap = { .positions = positions };
 *   bgap_heap_push (&heap, deadline_ms, 0, id);
 *   uint32_t next = bgap_heap_top (&heap)->id;
 *   bgap_heap_remove (&heap, next);
 *   bgap_heap_shutdown (&heap);
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/status.h"

/**
 * struct bgap_heap_item - an item, ordered by @major, then by @minor
 * @id: pool handle
 */
struct bgap_heap_item
{
  int64_t major;
  int64_t minor;
  uint32_t id;
};

/**
 * struct bgap_heap - the heap
 * @positions: one entry per pool item, zeroed, owned by the caller. Heaps may
 *   share it if a handle is in at most one of them at a time.
 */
struct bgap_heap
{
  struct bgap_heap_item *items;
  uint32_t count;
  uint32_t capacity;
  uint32_t *positions;
};

/**
 * bgap_heap_push() - add a handle that is in none of the heaps that share
 * @positions
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_heap_push (struct bgap_heap *heap, int64_t major,
                                 int64_t minor, uint32_t id);

/**
 * bgap_heap_top() - smallest item, or NULL
 */
const struct bgap_heap_item *bgap_heap_top (const struct bgap_heap *heap);

/**
 * bgap_heap_remove() - remove a handle; ignored if it is not in the heap
 */
void bgap_heap_remove (struct bgap_heap *heap, uint32_t id);

/**
 * bgap_heap_shutdown() - free the items
 */
void bgap_heap_shutdown (struct bgap_heap *heap);

#endif
