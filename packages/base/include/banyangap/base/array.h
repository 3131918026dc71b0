#ifndef BANYANGAP_BASE_ARRAY_H
#define BANYANGAP_BASE_ARRAY_H

/*
 * Growable array: reserves capacity for more items.
 *
 *   struct item *items = NULL;
 *   uint32_t capacity = 0;
 *   if (bgap_array_reserve (&items, &capacity, count + 1, sizeof *items)
 *       != BGAP_OK)
 *     return BGAP_ERR_NO_MEMORY;
 *   items[count++] = item;
 *   free (items);
 */

#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/status.h"

/**
 * bgap_array_reserve() - ensure capacity for at least @count items
 * @array: address of the pointer to the items
 * @capacity: number of items allocated; doubled until @count fit
 * @size: size of an item in bytes
 *
 * Return: BGAP_OK, or BGAP_ERR_NO_MEMORY, which leaves the array unchanged.
 */
enum bgap_status bgap_array_reserve (void *array, uint32_t *capacity,
                                     uint32_t count, size_t size);

#endif
