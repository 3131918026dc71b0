#include "array.h"

#include <stdlib.h>
#include <string.h>

/* Offsets of the array and of its length in struct bgap_resource_set.  */
struct bgap_array_layout
{
  size_t items;
  size_t count;
};

#define LAYOUT(array, length)                                                 \
  {                                                                           \
    offsetof (struct bgap_resource_set, array),                               \
        offsetof (struct bgap_resource_set, length)                           \
  }

static const struct bgap_array_layout layouts[BGAP_RESOURCE_KIND_COUNT] = {
  [BGAP_RESOURCE_OWNER] = LAYOUT (owners, owner_count),
  [BGAP_RESOURCE_ZONE] = LAYOUT (zones, zone_count),
  [BGAP_RESOURCE_POLICY] = LAYOUT (policies, policy_count),
  [BGAP_RESOURCE_SERVICE] = LAYOUT (services, service_count),
  [BGAP_RESOURCE_SERVERS] = LAYOUT (servers, servers_count),
};

char *
bgap_array_items (const struct bgap_resource_set *set,
                  enum bgap_resource_kind kind)
{
  char *items;
  memcpy (&items, (const char *)set + layouts[kind].items, sizeof items);
  return items;
}

uint32_t
bgap_array_count (const struct bgap_resource_set *set,
                  enum bgap_resource_kind kind)
{
  uint32_t count;
  memcpy (&count, (const char *)set + layouts[kind].count, sizeof count);
  return count;
}

static void
_bgap_array_set_count (struct bgap_resource_set *set,
                       enum bgap_resource_kind kind, uint32_t count)
{
  memcpy ((char *)set + layouts[kind].count, &count, sizeof count);
}

void *
bgap_array_item (const struct bgap_resource_set *set,
                 enum bgap_resource_kind kind, uint32_t index)
{
  return bgap_array_items (set, kind)
         + (size_t)index * bgap_schema_kinds[kind]->size;
}

void *
bgap_array_add (struct bgap_resource_set *set, enum bgap_resource_kind kind)
{
  const size_t size = bgap_schema_kinds[kind]->size;
  const uint32_t count = bgap_array_count (set, kind);
  char *items = bgap_array_items (set, kind);
  /* The capacity is count rounded up to a power of two.  */
  if ((count & (count - 1)) == 0)
    {
      const size_t capacity = count ? (size_t)count * 2 : 1;
      items = realloc (items, capacity * size);
      if (items == NULL)
        return NULL;
      memcpy ((char *)set + layouts[kind].items, &items, sizeof items);
    }
  _bgap_array_set_count (set, kind, count + 1);
  return memset (items + count * size, 0, size);
}

void
bgap_array_remove_last (struct bgap_resource_set *set,
                        enum bgap_resource_kind kind)
{
  const uint32_t last = bgap_array_count (set, kind) - 1;
  if (kind == BGAP_RESOURCE_SERVERS)
    free (set->servers[last].servers);
  _bgap_array_set_count (set, kind, last);
}

const char *
bgap_array_name (const void *item)
{
  return item;
}

const char *
bgap_array_owner (const void *item)
{
  return (const char *)item + BGAP_RESOURCE_NAME_SIZE;
}

int64_t
bgap_array_find (const struct bgap_resource_set *set,
                 enum bgap_resource_kind kind, const char *owner,
                 const char *name, uint32_t end)
{
  for (uint32_t i = 0; i < end; i++)
    {
      const void *item = bgap_array_item (set, kind, i);
      if (strcmp (bgap_array_name (item), name) == 0
          && strcmp (bgap_array_owner (item), owner) == 0)
        return i;
    }
  return -1;
}

static int
_bgap_array_compare (const void *a, const void *b)
{
  int order = strcmp (bgap_array_owner (a), bgap_array_owner (b));
  return order != 0 ? order
                    : strcmp (bgap_array_name (a), bgap_array_name (b));
}

void
bgap_array_sort (struct bgap_resource_set *set)
{
  for (int kind = 0; kind < BGAP_RESOURCE_KIND_COUNT; kind++)
    if (bgap_array_count (set, kind) > 1)
      qsort (bgap_array_items (set, kind), bgap_array_count (set, kind),
             bgap_schema_kinds[kind]->size, _bgap_array_compare);
}

uint32_t
bgap_array_count_all (const struct bgap_resource_set *set)
{
  uint32_t total = 0;
  for (int kind = 0; kind < BGAP_RESOURCE_KIND_COUNT; kind++)
    total += bgap_array_count (set, kind);
  return total;
}

uint32_t
bgap_array_count_servers (const struct bgap_resource_set *set)
{
  uint32_t total = 0;
  for (uint32_t i = 0; i < set->servers_count; i++)
    total += set->servers[i].server_count;
  return total;
}
