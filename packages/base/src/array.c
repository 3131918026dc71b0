#include "banyangap/base/array.h"

#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 16u

enum bgap_status
bgap_array_reserve (void *array, uint32_t *capacity, uint32_t count,
                    size_t size)
{
  void *items;
  uint32_t next = *capacity ? *capacity : INITIAL_CAPACITY;
  if (count <= *capacity)
    return BGAP_OK;
  while (next < count)
    next *= 2;
  /* @array may point to a pointer of any type; memcpy avoids accessing it
     through void **, which would violate strict aliasing.  */
  memcpy (&items, array, sizeof items);
  items = realloc (items, next * size);
  if (items == NULL)
    return BGAP_ERR_NO_MEMORY;
  memcpy (array, &items, sizeof items);
  *capacity = next;
  return BGAP_OK;
}
