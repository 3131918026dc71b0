#ifndef BANYANGAP_RESOURCE_ARRAY_H
#define BANYANGAP_RESOURCE_ARRAY_H

/*
 * Access to the arrays of a set by kind instead of by member.
 */

#include "banyangap/resource/set.h"
#include "schema.h"

/**
 * bgap_array_items() - first item of a kind, NULL if there is none
 */
char *bgap_array_items (const struct bgap_resource_set *set,
                        enum bgap_resource_kind kind);

/**
 * bgap_array_count() - number of items of a kind
 */
uint32_t bgap_array_count (const struct bgap_resource_set *set,
                           enum bgap_resource_kind kind);

/**
 * bgap_array_item() - item by index
 */
void *bgap_array_item (const struct bgap_resource_set *set,
                       enum bgap_resource_kind kind, uint32_t index);

/**
 * bgap_array_add() - append a zeroed item
 *
 * Return: the item, or NULL if out of memory.
 */
void *bgap_array_add (struct bgap_resource_set *set,
                      enum bgap_resource_kind kind);

/**
 * bgap_array_remove_last() - remove the last item and free its servers
 */
void bgap_array_remove_last (struct bgap_resource_set *set,
                             enum bgap_resource_kind kind);

/**
 * bgap_array_name() - name of an item
 *
 * The struct of every kind starts with the members name and owner.
 */
const char *bgap_array_name (const void *item);
const char *bgap_array_owner (const void *item);

/**
 * bgap_array_find() - index of the first item with this owner and name before
 * @end, or -1
 */
int64_t bgap_array_find (const struct bgap_resource_set *set,
                         enum bgap_resource_kind kind, const char *owner,
                         const char *name, uint32_t end);

/**
 * bgap_array_sort() - sort every kind by owner and name
 *
 * The order then depends on the content only. The positions refer to items by
 * index, so they must have been freed before.
 */
void bgap_array_sort (struct bgap_resource_set *set);

/**
 * bgap_array_count_all() - number of resources in the set
 */
uint32_t bgap_array_count_all (const struct bgap_resource_set *set);

/**
 * bgap_array_count_servers() - number of backend servers in the set
 */
uint32_t bgap_array_count_servers (const struct bgap_resource_set *set);

#endif
