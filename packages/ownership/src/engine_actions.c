#include "engine_private.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOG_LINE_SIZE 256

/* An engine that only replays another cell needs few actions.  */
#define FIRST_CAPACITY 32

enum bgap_status
bgap_actions_setup (struct bgap_actions *actions, uint32_t capacity,
                    size_t bytes_max)
{
  actions->capacity = FIRST_CAPACITY < capacity ? FIRST_CAPACITY : capacity;
  actions->slots = calloc (actions->capacity, sizeof *actions->slots);
  actions->capacity_max = capacity;
  actions->bytes_max = bytes_max;
  return actions->slots ? BGAP_OK : BGAP_ERR_NO_MEMORY;
}

void
bgap_actions_shutdown (struct bgap_actions *actions)
{
  for (uint32_t i = 0; i < actions->count; i++)
    free (actions->slots[(actions->first + i) % actions->capacity].data);
  free (actions->slots);
  free (actions->taken);
  *actions = (struct bgap_actions){ 0 };
}

/* Doubles the queue up to its limit.  */
static void
_bgap_actions_grow (struct bgap_actions *actions)
{
  uint32_t capacity = actions->capacity * 2 < actions->capacity_max
                          ? actions->capacity * 2
                          : actions->capacity_max;
  if (capacity == actions->capacity)
    return;
  struct bgap_action_slot *slots = calloc (capacity, sizeof *slots);
  if (slots == NULL)
    return;
  for (uint32_t i = 0; i < actions->count; i++)
    slots[i] = actions->slots[(actions->first + i) % actions->capacity];
  free (actions->slots);
  actions->slots = slots;
  actions->capacity = capacity;
  actions->first = 0;
}

/* Adds an action with a zero-terminated copy of @data.  */
static struct bgap_action_slot *
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
  struct bgap_action_slot *slot
      = &actions
             ->slots[(actions->first + actions->count++) % actions->capacity];
  *slot
      = (struct bgap_action_slot){ .kind = kind, .data = copy, .size = size };
  memcpy (slot->target, target, strlen (target) + 1);
  actions->bytes += size;
  return slot;
}

void
bgap_engine_push (struct bgap_engine *engine,
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
  struct bgap_action_slot *slot = _bgap_actions_add (
      &engine->actions, BGAP_ACTION_APPEND, "", text->data, text->size);
  if (slot)
    slot->id = id;
  return id;
}

void
bgap_engine_push_read (struct bgap_engine *engine, uint64_t from)
{
  struct bgap_action_slot *slot = _bgap_actions_add (
      &engine->actions, BGAP_ACTION_READ_LOG, "", NULL, 0);
  if (slot)
    slot->from = from;
}

void
bgap_engine_send (struct bgap_engine *engine, const char *target,
                  const struct bgap_message *message)
{
  struct bgap_buffer bytes = { 0 };
  if (bgap_message_encode (message, &bytes) == BGAP_OK)
    bgap_engine_push (engine, BGAP_ACTION_SEND_PEER, target, bytes.data,
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
  struct bgap_action_slot *slot = _bgap_actions_add (
      &engine->actions, BGAP_ACTION_LOG, "", line, strlen (line));
  if (slot)
    slot->warning = warning;
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
  struct bgap_action_slot *slot = &actions->slots[actions->first];
  actions->first = (actions->first + 1) % actions->capacity;
  actions->count--;
  actions->bytes -= slot->size;
  actions->taken = slot->data;
  memcpy (actions->taken_target, slot->target, sizeof slot->target);
  *action = (struct bgap_engine_action){
    .kind = slot->kind,
    .id = slot->id,
    .target = actions->taken_target,
    .bytes = { slot->data, slot->size },
    .from = slot->from,
    .warning = slot->warning,
  };
  return true;
}
