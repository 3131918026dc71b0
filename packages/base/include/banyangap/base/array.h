#ifndef BANYANGAP_BASE_ARRAY_H
#define BANYANGAP_BASE_ARRAY_H

/*
 * Room in an array that grows.
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
 * bgap_array_reserve() - make room for @count items
 * @array: address of the pointer to the items
 * @capacity: items that fit; doubles as often as needed
 * @size: of an item in bytes
 *
 * Return: BGAP_OK, or BGAP_ERR_NO_MEMORY, after which nothing has changed.
 */
enum bgap_status bgap_array_reserve (void *array, uint32_t *capacity,
                                     uint32_t count, size_t size);

#endif
