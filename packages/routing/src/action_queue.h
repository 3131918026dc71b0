#ifndef BANYANGAP_ROUTING_ACTION_QUEUE_H
#define BANYANGAP_ROUTING_ACTION_QUEUE_H

/*
 * Queue of actions that owns copies of their bytes.
 *
 *   bgap_action_queue_push (&queue, &action);
 *   while (bgap_action_queue_pop (&queue, &action))
 *     ...
 *   bgap_action_queue_shutdown (&queue);
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/status.h"
#include "banyangap/routing/action.h"

/**
 * struct bgap_action_queue - zeroed means empty
 */
struct bgap_action_queue
{
  struct bgap_router_action *items;
  uint32_t first;
  uint32_t count;
  uint32_t capacity;
  void *bytes;
  char *content_type;
};

/**
 * bgap_action_queue_reserve() - make room for @count more actions
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_action_queue_reserve (struct bgap_action_queue *queue,
                                            uint32_t count);

/**
 * bgap_action_queue_push() - add an action with a copy of its bytes
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY; then nothing was added.
 */
enum bgap_status
bgap_action_queue_push (struct bgap_action_queue *queue,
                        const struct bgap_router_action *action);

/**
 * bgap_action_queue_pop() - take the oldest; its bytes live until the next
 * call
 */
bool bgap_action_queue_pop (struct bgap_action_queue *queue,
                            struct bgap_router_action *action);

/**
 * bgap_action_queue_shutdown() - free everything
 */
void bgap_action_queue_shutdown (struct bgap_action_queue *queue);

#endif
