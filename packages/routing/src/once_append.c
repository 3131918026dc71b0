#include <stdlib.h>
#include <string.h>

#include "once_state.h"

/* Size of an item without a body in bytes, generously.  */
#define ITEM_SIZE ((size_t)320)

void
bgap_once_set_pending (struct bgap_once_state *state,
                       enum bgap_once_pending *field,
                       enum bgap_once_pending value)
{
  if (*field == BGAP_ONCE_PENDING_NONE && value != BGAP_ONCE_PENDING_NONE)
    state->pending++;
  if (*field != BGAP_ONCE_PENDING_NONE && value == BGAP_ONCE_PENDING_NONE)
    state->pending--;
  *field = value;
}

static void
_bgap_once_enlist (struct bgap_once_state *state,
                   struct bgap_once_entry *entry)
{
  if (entry->queued)
    return;
  entry->queued = true;
  DL_APPEND (state->to_append, entry);
}

void
bgap_once_queue_intent (struct bgap_once_state *state,
                        struct bgap_once_entry *entry)
{
  entry->own = (struct bgap_once_attempt){
    .incarnation = state->desc.incarnation,
    .sequence = ++state->sequence,
  };
  bgap_once_set_pending (state, &entry->intent, BGAP_ONCE_PENDING_QUEUED);
  _bgap_once_enlist (state, entry);
}

void
bgap_once_queue_outcome (struct bgap_once_state *state,
                         struct bgap_once_entry *entry, bool closing)
{
  entry->closing = closing;
  bgap_once_set_pending (state, &entry->outcome_pending,
                         BGAP_ONCE_PENDING_QUEUED);
  _bgap_once_enlist (state, entry);
}

/* Building a record.  */

static enum bgap_status
_bgap_once_add (struct bgap_once_state *state,
                const struct bgap_once_item *item)
{
  enum bgap_status status
      = bgap_once_record_add (&state->record, item, state->batch_count == 0);
  if (status == BGAP_OK)
    state->batch[state->batch_count++] = (struct bgap_once_batch_item){
      .key = item->key,
      .is_outcome = item->is_outcome,
    };
  return status;
}

static enum bgap_status
_bgap_once_add_outcome (struct bgap_once_state *state,
                        struct bgap_once_entry *entry)
{
  struct bgap_once_item item = {
    .is_outcome = true,
    .key = entry->key,
    .attempt = entry->winner,
    .outcome = entry->closing ? BGAP_OUTCOME_NOT_RUN : entry->outcome,
    .http_status = entry->http_status,
    .body_dropped = entry->body_dropped,
    .body = entry->body,
    .body_size = entry->body_size,
  };
  if (entry->content_type != NULL)
    memcpy (item.content_type, entry->content_type,
            strlen (entry->content_type));
  enum bgap_status status = _bgap_once_add (state, &item);
  if (status == BGAP_OK)
    bgap_once_set_pending (state, &entry->outcome_pending,
                           BGAP_ONCE_PENDING_IN_APPEND);
  return status;
}

static enum bgap_status
_bgap_once_add_intent (struct bgap_once_state *state,
                       struct bgap_once_entry *entry)
{
  const struct bgap_once_item item = {
    .key = entry->key,
    .attempt = entry->own,
    .digest = entry->digest,
  };
  enum bgap_status status = _bgap_once_add (state, &item);
  if (status == BGAP_OK)
    bgap_once_set_pending (state, &entry->intent, BGAP_ONCE_PENDING_IN_APPEND);
  return status;
}

static bool
_bgap_once_has_room (const struct bgap_once_state *state,
                     const struct bgap_once_entry *entry)
{
  size_t size = state->record.size + 2 * ITEM_SIZE
                + ((size_t)entry->body_size + 2) / 3 * 4;
  return state->batch_count == 0
         || (size <= state->desc.record_bytes_max
             && state->batch_count + 2 <= BGAP_ONCE_ITEMS_MAX);
}

static enum bgap_status
_bgap_once_add_entries (struct bgap_once_state *state)
{
  struct bgap_once_entry *entry;
  while ((entry = state->to_append) != NULL
         && _bgap_once_has_room (state, entry))
    {
      enum bgap_status status = BGAP_OK;
      if (entry->outcome_pending == BGAP_ONCE_PENDING_QUEUED)
        status = _bgap_once_add_outcome (state, entry);
      if (status == BGAP_OK && entry->intent == BGAP_ONCE_PENDING_QUEUED)
        status = _bgap_once_add_intent (state, entry);
      if (status != BGAP_OK)
        return status;
      DL_DELETE (state->to_append, entry);
      entry->queued = false;
    }
  return BGAP_OK;
}

bool
bgap_once_next_append (struct bgap_once *once, int64_t now_ms,
                       struct bgap_once_append *append)
{
  struct bgap_once_state *state = once->state;
  if (state->appending || state->to_append == NULL
      || now_ms < state->append_due_ms || state->stopped)
    return false;
  state->record.size = 0;
  state->batch_count = 0;
  if (++state->append_id == 0)
    state->append_id = 1;
  state->appending = true;
  state->append_due_ms = now_ms + state->desc.append_interval_ms;
  if (bgap_once_record_begin (&state->record, state->instance) != BGAP_OK
      || _bgap_once_add_entries (state) != BGAP_OK
      || bgap_once_record_end (&state->record) != BGAP_OK)
    {
      bgap_once_on_append_done (once, now_ms, state->append_id, false);
      return false;
    }
  if (state->batch_count == 0)
    {
      state->appending = false;
      return false;
    }
  *append = (struct bgap_once_append){
    .id = state->append_id,
    .bytes = state->record.data,
    .size = state->record.size,
  };
  return true;
}

/* Result of an append.  */

static void
_bgap_once_item_failed (struct bgap_once_state *state,
                        struct bgap_once_entry *entry, bool is_outcome)
{
  if (is_outcome)
    {
      bgap_once_queue_outcome (state, entry, entry->closing);
      return;
    }
  /* Nobody waits for it, or another attempt has won: if the intent appears
     nevertheless, replay deals with it.  */
  if (entry->waiters == NULL || entry->has_winner)
    {
      bgap_once_set_pending (state, &entry->intent, BGAP_ONCE_PENDING_NONE);
      bgap_once_drop_unused (state, entry);
      return;
    }
  bgap_once_set_pending (state, &entry->intent, BGAP_ONCE_PENDING_QUEUED);
  _bgap_once_enlist (state, entry);
}

void
bgap_once_on_append_done (struct bgap_once *once, int64_t now_ms, uint32_t id,
                          bool ok)
{
  struct bgap_once_state *state = once->state;
  if (!state->appending || id != state->append_id)
    return;
  state->appending = false;
  if (!ok && state->append_due_ms < now_ms + state->desc.append_retry_ms)
    state->append_due_ms = now_ms + state->desc.append_retry_ms;
  for (uint32_t i = 0; i < state->batch_count; i++)
    {
      const struct bgap_once_batch_item *item = &state->batch[i];
      struct bgap_once_entry *entry = bgap_once_find (state, &item->key);
      if (entry == NULL)
        continue;
      enum bgap_once_pending *field
          = item->is_outcome ? &entry->outcome_pending : &entry->intent;
      if (*field != BGAP_ONCE_PENDING_IN_APPEND)
        continue;
      if (ok)
        bgap_once_set_pending (state, field, BGAP_ONCE_PENDING_APPENDED);
      else
        _bgap_once_item_failed (state, entry, item->is_outcome);
    }
  state->batch_count = 0;
}
