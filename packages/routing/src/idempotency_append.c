#include <stdlib.h>
#include <string.h>

#include "idempotency_state.h"

/* Upper bound for the size in bytes of an item without its body.  */
#define ITEM_SIZE ((size_t)320)

void
bgap_idempotency_set_pending (struct bgap_idempotency_state *state,
                              enum bgap_idempotency_pending *field,
                              enum bgap_idempotency_pending value)
{
  if (*field == BGAP_IDEMPOTENCY_PENDING_NONE
      && value != BGAP_IDEMPOTENCY_PENDING_NONE)
    state->pending++;
  if (*field != BGAP_IDEMPOTENCY_PENDING_NONE
      && value == BGAP_IDEMPOTENCY_PENDING_NONE)
    state->pending--;
  *field = value;
}

static void
_bgap_idempotency_queue_entry (struct bgap_idempotency_state *state,
                               struct bgap_idempotency_entry *entry)
{
  if (entry->queued)
    return;
  entry->queued = true;
  DL_APPEND (state->to_append, entry);
}

void
bgap_idempotency_queue_intent (struct bgap_idempotency_state *state,
                               struct bgap_idempotency_entry *entry)
{
  entry->own_attempt = (struct bgap_idempotency_attempt){
    .incarnation = state->desc.incarnation,
    .sequence = ++state->sequence,
  };
  bgap_idempotency_set_pending (state, &entry->intent,
                                BGAP_IDEMPOTENCY_PENDING_QUEUED);
  _bgap_idempotency_queue_entry (state, entry);
}

void
bgap_idempotency_queue_outcome (struct bgap_idempotency_state *state,
                                struct bgap_idempotency_entry *entry,
                                bool not_run)
{
  entry->not_run = not_run;
  bgap_idempotency_set_pending (state, &entry->outcome_pending,
                                BGAP_IDEMPOTENCY_PENDING_QUEUED);
  _bgap_idempotency_queue_entry (state, entry);
}

/* Building a record.  */

static enum bgap_status
_bgap_idempotency_add_item (struct bgap_idempotency_state *state,
                            const struct bgap_idempotency_item *item)
{
  enum bgap_status status = bgap_idempotency_record_add (
      &state->record, item, state->batch_count == 0);
  if (status == BGAP_OK)
    state->batch[state->batch_count++] = (struct bgap_idempotency_batch_item){
      .key = item->key,
      .is_outcome = item->is_outcome,
    };
  return status;
}

static enum bgap_status
_bgap_idempotency_add_outcome (struct bgap_idempotency_state *state,
                               struct bgap_idempotency_entry *entry)
{
  struct bgap_idempotency_item item = {
    .is_outcome = true,
    .key = entry->key,
    .attempt = entry->winner,
    .outcome = entry->not_run ? BGAP_OUTCOME_NOT_RUN : entry->outcome,
    .http_status = entry->http_status,
    .body_dropped = entry->body_dropped,
    .body = entry->body,
    .body_size = entry->body_size,
  };
  if (entry->content_type != NULL)
    memcpy (item.content_type, entry->content_type,
            strlen (entry->content_type));
  enum bgap_status status = _bgap_idempotency_add_item (state, &item);
  if (status == BGAP_OK)
    bgap_idempotency_set_pending (state, &entry->outcome_pending,
                                  BGAP_IDEMPOTENCY_PENDING_IN_APPEND);
  return status;
}

static enum bgap_status
_bgap_idempotency_add_intent (struct bgap_idempotency_state *state,
                              struct bgap_idempotency_entry *entry)
{
  const struct bgap_idempotency_item item = {
    .key = entry->key,
    .attempt = entry->own_attempt,
    .digest = entry->digest,
  };
  enum bgap_status status = _bgap_idempotency_add_item (state, &item);
  if (status == BGAP_OK)
    bgap_idempotency_set_pending (state, &entry->intent,
                                  BGAP_IDEMPOTENCY_PENDING_IN_APPEND);
  return status;
}

static bool
_bgap_idempotency_record_fits (const struct bgap_idempotency_state *state,
                               const struct bgap_idempotency_entry *entry)
{
  size_t size = state->record.size + 2 * ITEM_SIZE
                + ((size_t)entry->body_size + 2) / 3 * 4;
  return state->batch_count == 0
         || (size <= state->desc.record_bytes_max
             && state->batch_count + 2 <= BGAP_IDEMPOTENCY_ITEMS_MAX);
}

static enum bgap_status
_bgap_idempotency_add_entries (struct bgap_idempotency_state *state)
{
  struct bgap_idempotency_entry *entry;
  while ((entry = state->to_append) != NULL
         && _bgap_idempotency_record_fits (state, entry))
    {
      enum bgap_status status = BGAP_OK;
      if (entry->outcome_pending == BGAP_IDEMPOTENCY_PENDING_QUEUED)
        status = _bgap_idempotency_add_outcome (state, entry);
      if (status == BGAP_OK
          && entry->intent == BGAP_IDEMPOTENCY_PENDING_QUEUED)
        status = _bgap_idempotency_add_intent (state, entry);
      if (status != BGAP_OK)
        return status;
      DL_DELETE (state->to_append, entry);
      entry->queued = false;
    }
  return BGAP_OK;
}

bool
bgap_idempotency_next_append (struct bgap_idempotency *table, int64_t now_ms,
                              struct bgap_idempotency_append *append)
{
  struct bgap_idempotency_state *state = table->state;
  if (state->appending || state->to_append == NULL
      || now_ms < state->append_due_ms || state->schema_unsupported)
    return false;
  state->record.size = 0;
  state->batch_count = 0;
  if (++state->append_id == 0)
    state->append_id = 1;
  state->appending = true;
  state->append_due_ms = now_ms + state->desc.append_interval_ms;
  if (bgap_idempotency_record_begin (&state->record, state->instance)
          != BGAP_OK
      || _bgap_idempotency_add_entries (state) != BGAP_OK
      || bgap_idempotency_record_end (&state->record) != BGAP_OK)
    {
      bgap_idempotency_on_append_done (table, now_ms, state->append_id, false);
      return false;
    }
  if (state->batch_count == 0)
    {
      state->appending = false;
      return false;
    }
  *append = (struct bgap_idempotency_append){
    .id = state->append_id,
    .bytes = state->record.data,
    .size = state->record.size,
  };
  return true;
}

/* Result of an append.  */

static void
_bgap_idempotency_item_failed (struct bgap_idempotency_state *state,
                               struct bgap_idempotency_entry *entry,
                               bool is_outcome)
{
  if (is_outcome)
    {
      bgap_idempotency_queue_outcome (state, entry, entry->not_run);
      return;
    }
  /* No request waits for the attempt, or another one has won. If the intent
     was recorded despite the error, replay handles it.  */
  if (entry->waiters == NULL || entry->has_winner)
    {
      bgap_idempotency_set_pending (state, &entry->intent,
                                    BGAP_IDEMPOTENCY_PENDING_NONE);
      bgap_idempotency_free_if_unused (state, entry);
      return;
    }
  bgap_idempotency_set_pending (state, &entry->intent,
                                BGAP_IDEMPOTENCY_PENDING_QUEUED);
  _bgap_idempotency_queue_entry (state, entry);
}

void
bgap_idempotency_on_append_done (struct bgap_idempotency *table,
                                 int64_t now_ms, uint32_t id, bool ok)
{
  struct bgap_idempotency_state *state = table->state;
  if (!state->appending || id != state->append_id)
    return;
  state->appending = false;
  if (!ok && state->append_due_ms < now_ms + state->desc.append_retry_ms)
    state->append_due_ms = now_ms + state->desc.append_retry_ms;
  for (uint32_t i = 0; i < state->batch_count; i++)
    {
      const struct bgap_idempotency_batch_item *item = &state->batch[i];
      struct bgap_idempotency_entry *entry
          = bgap_idempotency_find_entry (state, &item->key);
      if (entry == NULL)
        continue;
      enum bgap_idempotency_pending *field
          = item->is_outcome ? &entry->outcome_pending : &entry->intent;
      if (*field != BGAP_IDEMPOTENCY_PENDING_IN_APPEND)
        continue;
      if (ok)
        bgap_idempotency_set_pending (state, field,
                                      BGAP_IDEMPOTENCY_PENDING_APPENDED);
      else
        _bgap_idempotency_item_failed (state, entry, item->is_outcome);
    }
  state->batch_count = 0;
}
