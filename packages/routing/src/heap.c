#include "heap.h"

#include <stdlib.h>

#define POOL_INDEX_MASK 0xffffu
#define MIN_CAPACITY 16u

static bool
_bgap_heap_less (const struct bgap_heap_item *a,
                 const struct bgap_heap_item *b)
{
  if (a->major != b->major)
    return a->major < b->major;
  return a->minor < b->minor;
}

static void
_bgap_heap_place (struct bgap_heap *heap, uint32_t index,
                  struct bgap_heap_item item)
{
  heap->items[index] = item;
  heap->positions[item.id & POOL_INDEX_MASK] = index + 1;
}

static void
_bgap_heap_sift_up (struct bgap_heap *heap, uint32_t index)
{
  struct bgap_heap_item item = heap->items[index];
  while (index > 0)
    {
      uint32_t parent = (index - 1) / 2;
      if (!_bgap_heap_less (&item, &heap->items[parent]))
        break;
      _bgap_heap_place (heap, index, heap->items[parent]);
      index = parent;
    }
  _bgap_heap_place (heap, index, item);
}

static void
_bgap_heap_sift_down (struct bgap_heap *heap, uint32_t index)
{
  struct bgap_heap_item item = heap->items[index];
  for (;;)
    {
      uint32_t child = 2 * index + 1;
      if (child >= heap->count)
        break;
      if (child + 1 < heap->count
          && _bgap_heap_less (&heap->items[child + 1], &heap->items[child]))
        child++;
      if (!_bgap_heap_less (&heap->items[child], &item))
        break;
      _bgap_heap_place (heap, index, heap->items[child]);
      index = child;
    }
  _bgap_heap_place (heap, index, item);
}

enum bgap_status
bgap_heap_push (struct bgap_heap *heap, int64_t major, int64_t minor,
                uint32_t id)
{
  if (heap->count == heap->capacity)
    {
      uint32_t capacity = heap->capacity ? heap->capacity * 2 : MIN_CAPACITY;
      struct bgap_heap_item *items
          = realloc (heap->items, capacity * sizeof *items);
      if (items == NULL)
        return BGAP_ERR_NO_MEMORY;
      heap->items = items;
      heap->capacity = capacity;
    }
  heap->items[heap->count]
      = (struct bgap_heap_item){ .major = major, .minor = minor, .id = id };
  _bgap_heap_sift_up (heap, heap->count++);
  return BGAP_OK;
}

const struct bgap_heap_item *
bgap_heap_top (const struct bgap_heap *heap)
{
  return heap->count > 0 ? &heap->items[0] : NULL;
}

void
bgap_heap_remove (struct bgap_heap *heap, uint32_t id)
{
  uint32_t position = heap->positions[id & POOL_INDEX_MASK];
  if (position == 0 || position > heap->count
      || heap->items[position - 1].id != id)
    return;
  uint32_t index = position - 1;
  heap->positions[id & POOL_INDEX_MASK] = 0;
  heap->count--;
  if (index == heap->count)
    return;
  _bgap_heap_place (heap, index, heap->items[heap->count]);
  _bgap_heap_sift_up (heap, index);
  _bgap_heap_sift_down (
      heap, heap->positions[heap->items[index].id & POOL_INDEX_MASK] - 1);
}

void
bgap_heap_shutdown (struct bgap_heap *heap)
{
  free (heap->items);
  *heap = (struct bgap_heap){ .positions = heap->positions };
}
