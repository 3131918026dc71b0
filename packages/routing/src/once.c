#include "banyangap/routing/once.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "once_state.h"

#define DEFAULT_WINDOW_MS 3600000
#define DEFAULT_SKEW_MS 60000
#define DEFAULT_KEYS_MAX 65536u
#define DEFAULT_BODY_BYTES_MAX (4u * 1024 * 1024)
#define DEFAULT_RECORD_BYTES_MAX (64u * 1024)
#define DEFAULT_APPEND_INTERVAL_MS 20
#define DEFAULT_APPEND_RETRY_MS 200

/* Entries looked at by one tick for their age.  */
#define EXPIRE_PER_TICK 256

static bool
_bgap_once_name_valid (const char *name)
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
_bgap_once_defaults (struct bgap_once_desc *desc)
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
bgap_once_setup (struct bgap_once *once, const struct bgap_once_desc *desc,
                 struct bgap_error *err)
{
  *once = (struct bgap_once){ 0 };
  if (!_bgap_once_name_valid (desc->instance) || desc->window_ms < 0
      || desc->skew_ms < 0)
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "invalid instance name or window");
  struct bgap_once_state *state = calloc (1, sizeof *state);
  struct bgap_once_batch_item *batch
      = calloc (BGAP_ONCE_ITEMS_MAX, sizeof *batch);
  if (state == NULL || batch == NULL)
    {
      free (state);
      free (batch);
      return bgap_error_set (err, BGAP_ERR_NO_MEMORY,
                             "no memory for a once stream");
    }
  state->desc = *desc;
  _bgap_once_defaults (&state->desc);
  snprintf (state->instance, sizeof state->instance, "%s", desc->instance);
  state->desc.instance = state->instance;
  state->batch = batch;
  once->state = state;
  return BGAP_OK;
}

void
bgap_once_shutdown (struct bgap_once *once)
{
  struct bgap_once_state *state = once->state;
  if (state == NULL)
    return;
  struct bgap_once_waiter *waiter;
  struct bgap_once_waiter *next_waiter;
  HASH_ITER (hh, state->waiters, waiter, next_waiter)
  {
    bgap_once_remove_waiter (state, waiter);
  }
  struct bgap_once_entry *entry;
  struct bgap_once_entry *next_entry;
  HASH_ITER (hh, state->entries, entry, next_entry)
  {
    bgap_once_free (state, entry);
  }
  struct bgap_once_event event;
  while (bgap_once_next_event (once, &event))
    continue;
  bgap_buffer_shutdown (&state->record);
  free (state->batch);
  free (state);
  once->state = NULL;
}

/* Calls of a request.  */

static void
_bgap_once_fill_answer (const struct bgap_once_entry *entry,
                        struct bgap_once_answer *answer)
{
  *answer = (struct bgap_once_answer){
    .outcome = entry->outcome,
    .http_status = entry->http_status,
    .dropped = entry->body_dropped,
    .body = entry->body,
    .body_size = entry->body_size,
    .content_type = entry->content_type,
  };
}

static struct bgap_once_waiter *
_bgap_once_add_waiter (struct bgap_once_state *state,
                       struct bgap_once_entry *entry, uint32_t request)
{
  struct bgap_once_waiter *waiter = calloc (1, sizeof *waiter);
  if (waiter == NULL)
    return NULL;
  waiter->request = request;
  waiter->entry = entry;
  DL_APPEND (entry->waiters, waiter);
  bgap_once_hash_add_waiter (state, waiter);
  return waiter;
}

enum bgap_once_begin_result
bgap_once_begin (struct bgap_once *once, int64_t now_ms, int64_t wall_ms,
                 const char *key, size_t key_size, uint64_t digest,
                 uint32_t request, struct bgap_once_answer *answer)
{
  (void)now_ms;
  struct bgap_once_state *state = once->state;
  struct bgap_uuid7 uuid;
  if (key == NULL || bgap_uuid7_parse (key, key_size, &uuid) != BGAP_OK)
    return BGAP_ONCE_KEY_INVALID;
  if (!bgap_once_ready (once))
    return BGAP_ONCE_NOT_READY;
  int64_t time_ms = bgap_uuid7_time_ms (&uuid);
  if (time_ms - wall_ms > state->desc.skew_ms)
    return BGAP_ONCE_KEY_FUTURE;
  struct bgap_once_entry *entry = bgap_once_find (state, &uuid);
  /* A known outcome is told also outside the window.  */
  bool known = entry != NULL && entry->has_winner;
  if (!known && wall_ms - time_ms > state->desc.window_ms)
    return BGAP_ONCE_KEY_EXPIRED;
  if (entry == NULL && time_ms <= state->dropped_until_ms)
    return BGAP_ONCE_FULL;
  if (entry == NULL)
    entry = bgap_once_create (state, &uuid);
  if (entry == NULL)
    return BGAP_ONCE_FULL;
  if (bgap_once_unused (entry))
    entry->digest = digest;
  if (entry->digest != digest)
    return BGAP_ONCE_DIGEST;
  if (entry->outcome != BGAP_OUTCOME_NONE)
    {
      _bgap_once_fill_answer (entry, answer);
      return BGAP_ONCE_STORED;
    }
  struct bgap_once_waiter *waiter
      = _bgap_once_add_waiter (state, entry, request);
  if (waiter == NULL)
    {
      bgap_once_drop_unused (state, entry);
      return BGAP_ONCE_FULL;
    }
  if (entry->has_winner && entry->winner_lost)
    bgap_once_release (state, entry, BGAP_ONCE_EVENT_LOST);
  else if (!entry->has_winner && entry->intent == BGAP_ONCE_PENDING_NONE)
    bgap_once_queue_intent (state, entry);
  return BGAP_ONCE_WAITING;
}

enum bgap_once_wait
bgap_once_give_up (struct bgap_once *once, uint32_t request)
{
  struct bgap_once_state *state = once->state;
  struct bgap_once_waiter *waiter = bgap_once_find_waiter (state, request);
  if (waiter == NULL || waiter->running)
    return BGAP_ONCE_WAIT_NONE;
  struct bgap_once_entry *entry = waiter->entry;
  bgap_once_remove_waiter (state, waiter);
  if (entry->has_winner && !entry->closing)
    return BGAP_ONCE_WAIT_OUTCOME;
  /* An intent that was never handed to the log can be withdrawn.  */
  if (entry->waiters == NULL && entry->intent == BGAP_ONCE_PENDING_QUEUED)
    bgap_once_set_pending (state, &entry->intent, BGAP_ONCE_PENDING_NONE);
  bgap_once_drop_unused (state, entry);
  return BGAP_ONCE_WAIT_INTENT;
}

void
bgap_once_finish (struct bgap_once *once, int64_t now_ms, uint32_t request,
                  const struct bgap_once_answer *answer)
{
  (void)now_ms;
  struct bgap_once_state *state = once->state;
  struct bgap_once_waiter *waiter = bgap_once_find_waiter (state, request);
  if (waiter == NULL || !waiter->running)
    return;
  struct bgap_once_entry *entry = waiter->entry;
  bgap_once_remove_waiter (state, waiter);
  if (answer->outcome == BGAP_OUTCOME_NOT_RUN)
    {
      bgap_once_queue_outcome (state, entry, true);
      return;
    }
  bgap_once_store (state, entry, answer);
  bgap_once_queue_outcome (state, entry, false);
  bgap_once_release (state, entry, BGAP_ONCE_EVENT_STORED);
}

/* Replay and time.  */

void
bgap_once_on_end (struct bgap_once *once, uint64_t end)
{
  if (once->state->has_end)
    return;
  once->state->has_end = true;
  once->state->end = end;
}

bool
bgap_once_ready (const struct bgap_once *once)
{
  const struct bgap_once_state *state = once->state;
  return state->has_end && !state->stopped && state->applied + 1 >= state->end;
}

uint64_t
bgap_once_applied (const struct bgap_once *once)
{
  return once->state->applied;
}

static bool
_bgap_once_running (const struct bgap_once_entry *entry)
{
  const struct bgap_once_waiter *waiter;
  DL_FOREACH (entry->waiters, waiter)
  {
    if (waiter->running)
      return true;
  }
  return false;
}

static void
_bgap_once_expire (struct bgap_once_state *state, int64_t wall_ms,
                   struct bgap_once_entry *entry)
{
  int64_t time_ms = bgap_uuid7_time_ms (&entry->key);
  if (!bgap_once_outdated (state, wall_ms, time_ms)
      || _bgap_once_running (entry))
    return;
  bgap_once_release (state, entry,
                     entry->has_winner && !entry->closing
                         ? BGAP_ONCE_EVENT_LOST
                         : BGAP_ONCE_EVENT_EXPIRED);
  if (entry->waiters != NULL)
    return;
  if (time_ms > state->dropped_until_ms)
    state->dropped_until_ms = time_ms;
  bgap_once_free (state, entry);
}

void
bgap_once_tick (struct bgap_once *once, int64_t now_ms, int64_t wall_ms)
{
  (void)now_ms;
  struct bgap_once_state *state = once->state;
  if (state->oldest == NULL)
    state->oldest = state->entries;
  for (int i = 0; i < EXPIRE_PER_TICK && state->oldest != NULL; i++)
    {
      struct bgap_once_entry *entry = state->oldest;
      state->oldest = entry->hh.next;
      _bgap_once_expire (state, wall_ms, entry);
    }
}

struct bgap_once_counts
bgap_once_counts (const struct bgap_once *once)
{
  const struct bgap_once_state *state = once->state;
  return (struct bgap_once_counts){
    .keys = HASH_COUNT (state->entries),
    .waiting = HASH_COUNT (state->waiters),
    .body_bytes = state->body_bytes,
    .to_append = state->pending,
  };
}
