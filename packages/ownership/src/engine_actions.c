#include "engine_private.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_LINE_SIZE 256

/* The queue starts small: an engine that only replays the log of another cell
   needs few actions.  */
#define INITIAL_CAPACITY 32

enum bgap_status
bgap_actions_setup (struct bgap_actions *actions, uint32_t capacity,
                    size_t bytes_max)
{
  actions->capacity
      = INITIAL_CAPACITY < capacity ? INITIAL_CAPACITY : capacity;
  actions->queue = calloc (actions->capacity, sizeof *actions->queue);
  actions->capacity_max = capacity;
  actions->bytes_max = bytes_max;
  return actions->queue ? BGAP_OK : BGAP_ERR_NO_MEMORY;
}

void
bgap_actions_shutdown (struct bgap_actions *actions)
{
  for (uint32_t i = 0; i < actions->count; i++)
    free (actions->queue[(actions->first + i) % actions->capacity].data);
  free (actions->queue);
  free (actions->taken);
  *actions = (struct bgap_actions){ 0 };
}

/* Doubles the capacity of the queue, up to its limit.  */
static void
_bgap_actions_grow (struct bgap_actions *actions)
{
  uint32_t capacity = actions->capacity * 2 < actions->capacity_max
                          ? actions->capacity * 2
                          : actions->capacity_max;
  if (capacity == actions->capacity)
    return;
  struct bgap_queued_action *queue = calloc (capacity, sizeof *queue);
  if (queue == NULL)
    return;
  for (uint32_t i = 0; i < actions->count; i++)
    queue[i] = actions->queue[(actions->first + i) % actions->capacity];
  free (actions->queue);
  actions->queue = queue;
  actions->capacity = capacity;
  actions->first = 0;
}

/* Adds an action with a zero-terminated copy of @data.  */
static struct bgap_queued_action *
_bgap_actions_add (struct bgap_actions *actions,
                   enum bgap_engine_action_kind kind, const char *target,
                   const void *data, size_t size)
{
  char *copy = NULL;
  if (actions->count == actions->capacity)
    _bgap_actions_grow (actions);
  if (actions->count < actions->capacity
      && size <= actions->bytes_max - actions->bytes)
    copy = malloc (size + 1);
  if (copy == NULL)
    {
      actions->dropped++;
      return NULL;
    }
  if (size > 0)
    memcpy (copy, data, size);
  copy[size] = '\0';
  struct bgap_queued_action *queued
      = &actions
             ->queue[(actions->first + actions->count++) % actions->capacity];
  *queued = (struct bgap_queued_action){ .kind = kind,
                                         .data = copy,
                                         .size = size };
  memcpy (queued->target, target, strlen (target) + 1);
  actions->bytes += size;
  return queued;
}

void
bgap_engine_push_action (struct bgap_engine *engine,
                         enum bgap_engine_action_kind kind, const char *target,
                         const void *data, size_t size)
{
  _bgap_actions_add (&engine->actions, kind, target, data, size);
}

uint64_t
bgap_engine_push_append (struct bgap_engine *engine,
                         const struct bgap_buffer *text)
{
  uint64_t id = ++engine->next_id;
  struct bgap_queued_action *queued = _bgap_actions_add (
      &engine->actions, BGAP_ACTION_APPEND, "", text->data, text->size);
  if (queued)
    queued->id = id;
  return id;
}

void
bgap_engine_push_read (struct bgap_engine *engine, uint64_t from)
{
  struct bgap_queued_action *queued = _bgap_actions_add (
      &engine->actions, BGAP_ACTION_READ_LOG, "", NULL, 0);
  if (queued)
    queued->from = from;
}

void
bgap_engine_send (struct bgap_engine *engine, const char *target,
                  const struct bgap_message *message)
{
  struct bgap_buffer bytes = { 0 };
  if (bgap_message_encode (message, &bytes) == BGAP_OK)
    bgap_engine_push_action (engine, BGAP_ACTION_SEND_PEER, target, bytes.data,
                             bytes.size);
  bgap_buffer_shutdown (&bytes);
}

void
bgap_engine_log (struct bgap_engine *engine, bool warning, const char *format,
                 ...)
{
  char line[LOG_LINE_SIZE];
  va_list args;
  va_start (args, format);
  vsnprintf (line, sizeof line, format, args);
  va_end (args);
  struct bgap_queued_action *queued = _bgap_actions_add (
      &engine->actions, BGAP_ACTION_LOG, "", line, strlen (line));
  if (queued)
    queued->warning = warning;
}

bool
bgap_engine_next_action (struct bgap_engine *engine,
                         struct bgap_engine_action *action)
{
  struct bgap_actions *actions = &engine->actions;
  free (actions->taken);
  actions->taken = NULL;
  if (actions->count == 0)
    return false;
  struct bgap_queued_action *queued = &actions->queue[actions->first];
  actions->first = (actions->first + 1) % actions->capacity;
  actions->count--;
  actions->bytes -= queued->size;
  actions->taken = queued->data;
  memcpy (actions->taken_target, queued->target, sizeof queued->target);
  *action = (struct bgap_engine_action){
    .kind = queued->kind,
    .id = queued->id,
    .target = actions->taken_target,
    .bytes = { queued->data, queued->size },
    .from = queued->from,
    .warning = queued->warning,
  };
  return true;
}
