#include "banyangap/routing/idempotency.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "idempotency_state.h"

#define DEFAULT_WINDOW_MS 3600000
#define DEFAULT_SKEW_MS 60000
#define DEFAULT_KEYS_MAX 65536u
#define DEFAULT_BODY_BYTES_MAX (4u * 1024 * 1024)
#define DEFAULT_RECORD_BYTES_MAX (64u * 1024)
#define DEFAULT_APPEND_INTERVAL_MS 20
#define DEFAULT_APPEND_RETRY_MS 200

/* Maximum number of entries checked for expiry by one tick.  */
#define EXPIRE_PER_TICK 256

static bool
_bgap_idempotency_name_valid (const char *name)
{
  if (name == NULL || name[0] == '\0'
      || strlen (name) >= BGAP_ROUTING_NAME_SIZE)
    return false;
  for (; *name != '\0'; name++)
    if (*name <= ' ' || *name > '~' || *name == '"' || *name == '\\')
      return false;
  return true;
}

static void
_bgap_idempotency_apply_defaults (struct bgap_idempotency_desc *desc)
{
  if (desc->window_ms == 0)
    desc->window_ms = DEFAULT_WINDOW_MS;
  if (desc->skew_ms == 0)
    desc->skew_ms = DEFAULT_SKEW_MS;
  if (desc->keys_max == 0)
    desc->keys_max = DEFAULT_KEYS_MAX;
  if (desc->body_bytes_max == 0)
    desc->body_bytes_max = DEFAULT_BODY_BYTES_MAX;
  if (desc->record_bytes_max == 0)
    desc->record_bytes_max = DEFAULT_RECORD_BYTES_MAX;
  if (desc->append_interval_ms == 0)
    desc->append_interval_ms = DEFAULT_APPEND_INTERVAL_MS;
  if (desc->append_retry_ms == 0)
    desc->append_retry_ms = DEFAULT_APPEND_RETRY_MS;
}

enum bgap_status
bgap_idempotency_setup (struct bgap_idempotency *table,
                        const struct bgap_idempotency_desc *desc,
                        struct bgap_error *err)
{
  *table = (struct bgap_idempotency){ 0 };
  if (!_bgap_idempotency_name_valid (desc->instance) || desc->window_ms < 0
      || desc->skew_ms < 0)
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "invalid instance name, window_ms or skew_ms");
  struct bgap_idempotency_state *state = calloc (1, sizeof *state);
  struct bgap_idempotency_batch_item *batch
      = calloc (BGAP_IDEMPOTENCY_ITEMS_MAX, sizeof *batch);
  if (state == NULL || batch == NULL)
    {
      free (state);
      free (batch);
      return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
    }
  state->desc = *desc;
  _bgap_idempotency_apply_defaults (&state->desc);
  snprintf (state->instance, sizeof state->instance, "%s", desc->instance);
  state->desc.instance = state->instance;
  state->batch = batch;
  table->state = state;
  return BGAP_OK;
}

void
bgap_idempotency_shutdown (struct bgap_idempotency *table)
{
  struct bgap_idempotency_state *state = table->state;
  if (state == NULL)
    return;
  struct bgap_idempotency_waiter *waiter;
  struct bgap_idempotency_waiter *next_waiter;
  HASH_ITER (hh, state->waiters, waiter, next_waiter)
  {
    bgap_idempotency_remove_waiter (state, waiter);
  }
  struct bgap_idempotency_entry *entry;
  struct bgap_idempotency_entry *next_entry;
  HASH_ITER (hh, state->entries, entry, next_entry)
  {
    bgap_idempotency_free_entry (state, entry);
  }
  struct bgap_idempotency_event event;
  while (bgap_idempotency_next_event (table, &event))
    continue;
  bgap_buffer_shutdown (&state->record);
  free (state->batch);
  free (state);
  table->state = NULL;
}

/* Calls of a request.  */

static void
_bgap_idempotency_fill_answer (const struct bgap_idempotency_entry *entry,
                               struct bgap_idempotency_answer *answer)
{
  *answer = (struct bgap_idempotency_answer){
    .outcome = entry->outcome,
    .http_status = entry->http_status,
    .body_dropped = entry->body_dropped,
    .body = entry->body,
    .body_size = entry->body_size,
    .content_type = entry->content_type,
  };
}

static struct bgap_idempotency_waiter *
_bgap_idempotency_add_waiter (struct bgap_idempotency_state *state,
                              struct bgap_idempotency_entry *entry,
                              uint32_t request)
{
  struct bgap_idempotency_waiter *waiter = calloc (1, sizeof *waiter);
  if (waiter == NULL)
    return NULL;
  waiter->request = request;
  waiter->entry = entry;
  DL_APPEND (entry->waiters, waiter);
  bgap_idempotency_hash_add_waiter (state, waiter);
  return waiter;
}

enum bgap_idempotency_begin_result
bgap_idempotency_begin (struct bgap_idempotency *table, int64_t now_ms,
                        int64_t wall_ms, const char *key, size_t key_size,
                        uint64_t digest, uint32_t request,
                        struct bgap_idempotency_answer *answer)
{
  (void)now_ms;
  struct bgap_idempotency_state *state = table->state;
  struct bgap_uuid7 uuid;
  if (key == NULL || bgap_uuid7_parse (key, key_size, &uuid) != BGAP_OK)
    return BGAP_IDEMPOTENCY_KEY_INVALID;
  if (!bgap_idempotency_ready (table))
    return BGAP_IDEMPOTENCY_NOT_READY;
  int64_t time_ms = bgap_uuid7_time_ms (&uuid);
  if (time_ms - wall_ms > state->desc.skew_ms)
    return BGAP_IDEMPOTENCY_KEY_FUTURE;
  struct bgap_idempotency_entry *entry
      = bgap_idempotency_find_entry (state, &uuid);
  /* A known outcome is returned outside the window too.  */
  bool known = entry != NULL && entry->has_winner;
  if (!known && wall_ms - time_ms > state->desc.window_ms)
    return BGAP_IDEMPOTENCY_KEY_EXPIRED;
  if (entry == NULL && time_ms <= state->incomplete_until_ms)
    return BGAP_IDEMPOTENCY_FULL;
  if (entry == NULL)
    entry = bgap_idempotency_create_entry (state, &uuid);
  if (entry == NULL)
    return BGAP_IDEMPOTENCY_FULL;
  if (bgap_idempotency_entry_unused (entry))
    entry->digest = digest;
  if (entry->digest != digest)
    return BGAP_IDEMPOTENCY_DIGEST_MISMATCH;
  if (entry->outcome != BGAP_OUTCOME_NONE)
    {
      _bgap_idempotency_fill_answer (entry, answer);
      return BGAP_IDEMPOTENCY_STORED;
    }
  struct bgap_idempotency_waiter *waiter
      = _bgap_idempotency_add_waiter (state, entry, request);
  if (waiter == NULL)
    {
      bgap_idempotency_free_if_unused (state, entry);
      return BGAP_IDEMPOTENCY_FULL;
    }
  if (entry->has_winner && entry->winner_lost)
    bgap_idempotency_release_waiters (state, entry,
                                      BGAP_IDEMPOTENCY_EVENT_INSTANCE_LOST);
  else if (!entry->has_winner
           && entry->intent == BGAP_IDEMPOTENCY_PENDING_NONE)
    bgap_idempotency_queue_intent (state, entry);
  return BGAP_IDEMPOTENCY_WAITING;
}

enum bgap_idempotency_wait
bgap_idempotency_cancel (struct bgap_idempotency *table, uint32_t request)
{
  struct bgap_idempotency_state *state = table->state;
  struct bgap_idempotency_waiter *waiter
      = bgap_idempotency_find_waiter (state, request);
  if (waiter == NULL || waiter->running)
    return BGAP_IDEMPOTENCY_WAIT_NONE;
  struct bgap_idempotency_entry *entry = waiter->entry;
  bgap_idempotency_remove_waiter (state, waiter);
  if (entry->has_winner && !entry->not_run)
    return BGAP_IDEMPOTENCY_WAIT_OUTCOME;
  /* An intent whose append has not started can be withdrawn.  */
  if (entry->waiters == NULL
      && entry->intent == BGAP_IDEMPOTENCY_PENDING_QUEUED)
    bgap_idempotency_set_pending (state, &entry->intent,
                                  BGAP_IDEMPOTENCY_PENDING_NONE);
  bgap_idempotency_free_if_unused (state, entry);
  return BGAP_IDEMPOTENCY_WAIT_INTENT;
}

void
bgap_idempotency_finish (struct bgap_idempotency *table, int64_t now_ms,
                         uint32_t request,
                         const struct bgap_idempotency_answer *answer)
{
  (void)now_ms;
  struct bgap_idempotency_state *state = table->state;
  struct bgap_idempotency_waiter *waiter
      = bgap_idempotency_find_waiter (state, request);
  if (waiter == NULL || !waiter->running)
    return;
  struct bgap_idempotency_entry *entry = waiter->entry;
  bgap_idempotency_remove_waiter (state, waiter);
  if (answer->outcome == BGAP_OUTCOME_NOT_RUN)
    {
      bgap_idempotency_queue_outcome (state, entry, true);
      return;
    }
  bgap_idempotency_set_outcome (state, entry, answer);
  bgap_idempotency_queue_outcome (state, entry, false);
  bgap_idempotency_release_waiters (state, entry,
                                    BGAP_IDEMPOTENCY_EVENT_STORED);
}

/* Replay and time.  */

void
bgap_idempotency_on_stream_end (struct bgap_idempotency *table, uint64_t end)
{
  if (table->state->has_end)
    return;
  table->state->has_end = true;
  table->state->end = end;
}

bool
bgap_idempotency_ready (const struct bgap_idempotency *table)
{
  const struct bgap_idempotency_state *state = table->state;
  return state->has_end && !state->schema_unsupported
         && state->applied + 1 >= state->end;
}

uint64_t
bgap_idempotency_applied_offset (const struct bgap_idempotency *table)
{
  return table->state->applied;
}

static bool
_bgap_idempotency_has_running_waiter (
    const struct bgap_idempotency_entry *entry)
{
  const struct bgap_idempotency_waiter *waiter;
  DL_FOREACH (entry->waiters, waiter)
  {
    if (waiter->running)
      return true;
  }
  return false;
}

static void
_bgap_idempotency_expire (struct bgap_idempotency_state *state,
                          int64_t wall_ms,
                          struct bgap_idempotency_entry *entry)
{
  int64_t time_ms = bgap_uuid7_time_ms (&entry->key);
  if (!bgap_idempotency_key_outdated (state, wall_ms, time_ms)
      || _bgap_idempotency_has_running_waiter (entry))
    return;
  bgap_idempotency_release_waiters (state, entry,
                                    entry->has_winner && !entry->not_run
                                        ? BGAP_IDEMPOTENCY_EVENT_INSTANCE_LOST
                                        : BGAP_IDEMPOTENCY_EVENT_EXPIRED);
  if (entry->waiters != NULL)
    return;
  if (time_ms > state->incomplete_until_ms)
    state->incomplete_until_ms = time_ms;
  bgap_idempotency_free_entry (state, entry);
}

void
bgap_idempotency_tick (struct bgap_idempotency *table, int64_t now_ms,
                       int64_t wall_ms)
{
  (void)now_ms;
  struct bgap_idempotency_state *state = table->state;
  if (state->expiry_cursor == NULL)
    state->expiry_cursor = state->entries;
  for (int i = 0; i < EXPIRE_PER_TICK && state->expiry_cursor != NULL; i++)
    {
      struct bgap_idempotency_entry *entry = state->expiry_cursor;
      state->expiry_cursor = entry->hh.next;
      _bgap_idempotency_expire (state, wall_ms, entry);
    }
}

struct bgap_idempotency_counts
bgap_idempotency_counts (const struct bgap_idempotency *table)
{
  const struct bgap_idempotency_state *state = table->state;
  return (struct bgap_idempotency_counts){
    .keys = HASH_COUNT (state->entries),
    .waiting = HASH_COUNT (state->waiters),
    .body_bytes = state->body_bytes,
    .to_append = state->pending,
  };
}
