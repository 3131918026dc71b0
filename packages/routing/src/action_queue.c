#include "action_queue.h"

#include <stdlib.h>
#include <string.h>

#define MIN_CAPACITY 64u

enum bgap_status
bgap_action_queue_reserve (struct bgap_action_queue *queue, uint32_t count)
{
  uint32_t needed = queue->count + count;
  if (needed <= queue->capacity)
    return BGAP_OK;
  uint32_t capacity = queue->capacity ? queue->capacity : MIN_CAPACITY;
  while (capacity < needed)
    capacity *= 2;
  struct bgap_router_action *items = calloc (capacity, sizeof *items);
  if (items == NULL)
    return BGAP_ERR_NO_MEMORY;
  for (uint32_t i = 0; queue->capacity > 0 && i < queue->count; i++)
    items[i] = queue->items[(queue->first + i) % queue->capacity];
  free (queue->items);
  queue->items = items;
  queue->first = 0;
  queue->capacity = capacity;
  return BGAP_OK;
}

static enum bgap_status
_bgap_action_queue_copy (struct bgap_router_action *action)
{
  const void *bytes = action->bytes;
  const char *content_type = action->content_type;
  const char *instance = action->instance;
  action->bytes = NULL;
  action->content_type = NULL;
  action->instance = NULL;
  if (bytes != NULL && action->size > 0)
    {
      void *copy = malloc (action->size);
      if (copy == NULL)
        return BGAP_ERR_NO_MEMORY;
      memcpy (copy, bytes, action->size);
      action->bytes = copy;
    }
  if (content_type != NULL)
    action->content_type = strdup (content_type);
  if (instance == NULL)
    return BGAP_OK;
  action->instance = strdup (instance);
  if (action->instance != NULL)
    return BGAP_OK;
  free ((void *)action->bytes);
  free ((char *)action->content_type);
  return BGAP_ERR_NO_MEMORY;
}

enum bgap_status
bgap_action_queue_push (struct bgap_action_queue *queue,
                        const struct bgap_router_action *action)
{
  if (bgap_action_queue_reserve (queue, 1) != BGAP_OK)
    return BGAP_ERR_NO_MEMORY;
  struct bgap_router_action copy = *action;
  if (_bgap_action_queue_copy (&copy) != BGAP_OK)
    return BGAP_ERR_NO_MEMORY;
  uint32_t last = (queue->first + queue->count) % queue->capacity;
  queue->items[last] = copy;
  queue->count++;
  return BGAP_OK;
}

static void
_bgap_action_queue_free_bytes (struct bgap_action_queue *queue)
{
  free (queue->bytes);
  free (queue->content_type);
  free (queue->instance);
  queue->bytes = NULL;
  queue->content_type = NULL;
  queue->instance = NULL;
}

bool
bgap_action_queue_pop (struct bgap_action_queue *queue,
                       struct bgap_router_action *action)
{
  _bgap_action_queue_free_bytes (queue);
  if (queue->count == 0)
    return false;
  *action = queue->items[queue->first];
  queue->first = (queue->first + 1) % queue->capacity;
  queue->count--;
  queue->bytes = (void *)action->bytes;
  queue->content_type = (char *)action->content_type;
  queue->instance = (char *)action->instance;
  return true;
}

void
bgap_action_queue_shutdown (struct bgap_action_queue *queue)
{
  struct bgap_router_action action;
  while (bgap_action_queue_pop (queue, &action))
    continue;
  free (queue->items);
  *queue = (struct bgap_action_queue){ 0 };
}
