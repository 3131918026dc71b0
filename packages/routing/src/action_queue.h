#ifndef BANYANGAP_ROUTING_ACTION_QUEUE_H
#define BANYANGAP_ROUTING_ACTION_QUEUE_H

/*
 * FIFO queue of actions, with copies of their bytes and content types.
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
 * struct bgap_action_queue - the queue; zeroed means empty
 * @bytes: of the action taken last, owned
 * @content_type: of the action taken last, owned
 * @instance: of the action taken last, owned
 */
struct bgap_action_queue
{
  struct bgap_router_action *items;
  uint32_t first;
  uint32_t count;
  uint32_t capacity;
  void *bytes;
  char *content_type;
  char *instance;
};

/**
 * bgap_action_queue_reserve() - allocate memory for @count more actions
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
 * bgap_action_queue_pop() - take the oldest action
 *
 * Its bytes are valid until the next call.
 *
 * Return: false if the queue is empty.
 */
bool bgap_action_queue_pop (struct bgap_action_queue *queue,
                            struct bgap_router_action *action);

/**
 * bgap_action_queue_shutdown() - free the queue with its actions
 */
void bgap_action_queue_shutdown (struct bgap_action_queue *queue);

#endif
