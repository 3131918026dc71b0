#include <stdlib.h>
#include <string.h>

#include "idempotency_state.h"

struct bgap_idempotency_entry *
bgap_idempotency_create_entry (struct bgap_idempotency_state *state,
                               const struct bgap_uuid7 *key)
{
  if (HASH_COUNT (state->entries) >= state->desc.keys_max)
    return NULL;
  struct bgap_idempotency_entry *entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return NULL;
  entry->key = *key;
  bgap_idempotency_hash_add_entry (state, entry);
  return entry;
}

static void
_bgap_idempotency_free_body (struct bgap_idempotency_state *state,
                             struct bgap_idempotency_entry *entry)
{
  state->body_bytes -= entry->body_size;
  free (entry->body);
  free (entry->content_type);
  entry->body = NULL;
  entry->content_type = NULL;
  entry->body_size = 0;
}

bool
bgap_idempotency_key_outdated (const struct bgap_idempotency_state *state,
                               int64_t wall_ms, int64_t time_ms)
{
  return wall_ms - time_ms > state->desc.window_ms + 2 * state->desc.skew_ms;
}

void
bgap_idempotency_free_entry (struct bgap_idempotency_state *state,
                             struct bgap_idempotency_entry *entry)
{
  _bgap_idempotency_free_body (state, entry);
  bgap_idempotency_set_pending (state, &entry->intent,
                                BGAP_IDEMPOTENCY_PENDING_NONE);
  bgap_idempotency_set_pending (state, &entry->outcome_pending,
                                BGAP_IDEMPOTENCY_PENDING_NONE);
  if (entry->queued)
    DL_DELETE (state->to_append, entry);
  if (state->expiry_cursor == entry)
    state->expiry_cursor = entry->hh.next;
  bgap_idempotency_hash_remove_entry (state, entry);
  free (entry);
}

bool
bgap_idempotency_entry_unused (const struct bgap_idempotency_entry *entry)
{
  return !entry->has_winner && entry->outcome == BGAP_OUTCOME_NONE
         && entry->intent == BGAP_IDEMPOTENCY_PENDING_NONE
         && entry->waiters == NULL;
}

void
bgap_idempotency_free_if_unused (struct bgap_idempotency_state *state,
                                 struct bgap_idempotency_entry *entry)
{
  if (bgap_idempotency_entry_unused (entry))
    bgap_idempotency_free_entry (state, entry);
}

void
bgap_idempotency_set_outcome (struct bgap_idempotency_state *state,
                              struct bgap_idempotency_entry *entry,
                              const struct bgap_idempotency_answer *answer)
{
  _bgap_idempotency_free_body (state, entry);
  entry->outcome = answer->outcome;
  entry->winner_lost = false;
  entry->http_status = answer->http_status;
  entry->body_dropped = answer->body_dropped;
  if (answer->content_type != NULL
      && strlen (answer->content_type) < BGAP_IDEMPOTENCY_CONTENT_TYPE_SIZE)
    entry->content_type = strdup (answer->content_type);
  if (answer->body_dropped || answer->body_size == 0)
    return;
  if (answer->body_size <= state->desc.body_bytes_max - state->body_bytes)
    entry->body = malloc (answer->body_size);
  if (entry->body == NULL)
    {
      entry->body_dropped = true;
      return;
    }
  memcpy (entry->body, answer->body, answer->body_size);
  entry->body_size = (uint32_t)answer->body_size;
  state->body_bytes += entry->body_size;
}

/* Requests that wait.  */

void
bgap_idempotency_remove_waiter (struct bgap_idempotency_state *state,
                                struct bgap_idempotency_waiter *waiter)
{
  DL_DELETE (waiter->entry->waiters, waiter);
  bgap_idempotency_hash_remove_waiter (state, waiter);
  free (waiter);
}

bool
bgap_idempotency_push_event (struct bgap_idempotency_state *state,
                             const struct bgap_idempotency_waiter *waiter,
                             enum bgap_idempotency_event_kind kind)
{
  struct bgap_idempotency_queued_event *event = calloc (1, sizeof *event);
  if (event == NULL)
    return false;
  event->kind = kind;
  event->request = waiter->request;
  event->key = waiter->entry->key;
  DL_APPEND (state->events, event);
  return true;
}

void
bgap_idempotency_release_waiters (struct bgap_idempotency_state *state,
                                  struct bgap_idempotency_entry *entry,
                                  enum bgap_idempotency_event_kind kind)
{
  struct bgap_idempotency_waiter *waiter;
  struct bgap_idempotency_waiter *next;
  DL_FOREACH_SAFE (entry->waiters, waiter, next)
  {
    if (!waiter->running && bgap_idempotency_push_event (state, waiter, kind))
      bgap_idempotency_remove_waiter (state, waiter);
  }
}

bool
bgap_idempotency_next_event (struct bgap_idempotency *table,
                             struct bgap_idempotency_event *event)
{
  struct bgap_idempotency_state *state = table->state;
  struct bgap_idempotency_queued_event *queued = state->events;
  if (queued == NULL)
    return false;
  DL_DELETE (state->events, queued);
  *event = (struct bgap_idempotency_event){
    .kind = queued->kind,
    .request = queued->request,
  };
  const struct bgap_idempotency_entry *entry
      = bgap_idempotency_find_entry (state, &queued->key);
  free (queued);
  if (event->kind != BGAP_IDEMPOTENCY_EVENT_STORED)
    return true;
  if (entry == NULL || entry->outcome == BGAP_OUTCOME_NONE)
    event->kind = BGAP_IDEMPOTENCY_EVENT_INSTANCE_LOST;
  else
    event->answer = (struct bgap_idempotency_answer){
      .outcome = entry->outcome,
      .http_status = entry->http_status,
      .body_dropped = entry->body_dropped,
      .body = entry->body,
      .body_size = entry->body_size,
      .content_type = entry->content_type,
    };
  return true;
}
