#include <inttypes.h>
#include <string.h>

#include "banyangap/base/hash.h"
#include "idempotency_state.h"

/* How far the timestamp of a key in a missed record can be ahead of this
   clock, in maximum clock errors: the clocks of two instances differ by at
   most two of them, and a key is accepted up to one ahead of the clock of the
   accepting instance.  */
#define MISSED_KEY_SKEWS 3

static bool
_bgap_idempotency_same_attempt (const struct bgap_idempotency_attempt *a,
                                const struct bgap_idempotency_attempt *b)
{
  return a->incarnation == b->incarnation && a->sequence == b->sequence;
}

/* Finds or creates the entry for a key of a record. Returns NULL if the key is
   older than the window or its history would be incomplete.  */
static struct bgap_idempotency_entry *
_bgap_idempotency_entry_for_record (struct bgap_idempotency_state *state,
                                    int64_t wall_ms,
                                    const struct bgap_uuid7 *key)
{
  struct bgap_idempotency_entry *entry
      = bgap_idempotency_find_entry (state, key);
  int64_t time_ms = bgap_uuid7_time_ms (key);
  if (entry != NULL || time_ms <= state->incomplete_until_ms)
    return entry;
  if (!bgap_idempotency_key_outdated (state, wall_ms, time_ms))
    entry = bgap_idempotency_create_entry (state, key);
  if (entry == NULL)
    state->incomplete_until_ms = time_ms;
  return entry;
}

/* Intents.  */

static void
_bgap_idempotency_on_own_intent_won (struct bgap_idempotency_state *state,
                                     int64_t wall_ms,
                                     struct bgap_idempotency_entry *entry,
                                     uint64_t digest)
{
  bool awaited = entry->intent != BGAP_IDEMPOTENCY_PENDING_NONE
                 && _bgap_idempotency_same_attempt (&entry->own_attempt,
                                                    &entry->winner);
  if (awaited)
    bgap_idempotency_set_pending (state, &entry->intent,
                                  BGAP_IDEMPOTENCY_PENDING_NONE);
  if (wall_ms - bgap_uuid7_time_ms (&entry->key) > state->desc.window_ms)
    bgap_idempotency_release_waiters (state, entry,
                                      BGAP_IDEMPOTENCY_EVENT_EXPIRED);
  struct bgap_idempotency_waiter *first = entry->waiters;
  /* An attempt whose outcome NOT_RUN may already be in an append is never run:
     the late outcome would release the key while the attempt runs. The waiting
     requests may have another digest than the intent if the key was used for
     two requests.  */
  if (!awaited || first == NULL || entry->digest != digest
      || !bgap_idempotency_push_event (state, first,
                                       BGAP_IDEMPOTENCY_EVENT_WON))
    {
      bgap_idempotency_queue_outcome (state, entry, true);
      return;
    }
  first->running = true;
}

static void
_bgap_idempotency_on_intent (struct bgap_idempotency_state *state,
                             int64_t wall_ms,
                             const struct bgap_idempotency_item *item,
                             uint64_t instance)
{
  struct bgap_idempotency_entry *entry
      = _bgap_idempotency_entry_for_record (state, wall_ms, &item->key);
  if (entry == NULL)
    return;
  bool own = item->attempt.incarnation == state->desc.incarnation;
  if (entry->has_winner)
    {
      if (own && entry->intent != BGAP_IDEMPOTENCY_PENDING_NONE
          && _bgap_idempotency_same_attempt (&entry->own_attempt,
                                             &item->attempt))
        bgap_idempotency_set_pending (state, &entry->intent,
                                      BGAP_IDEMPOTENCY_PENDING_NONE);
      return;
    }
  entry->has_winner = true;
  entry->winner = item->attempt;
  entry->winner_instance = instance;
  entry->winner_lost = false;
  if (own)
    {
      _bgap_idempotency_on_own_intent_won (state, wall_ms, entry,
                                           item->digest);
      return;
    }
  if (entry->intent == BGAP_IDEMPOTENCY_PENDING_QUEUED)
    bgap_idempotency_set_pending (state, &entry->intent,
                                  BGAP_IDEMPOTENCY_PENDING_NONE);
  if (entry->digest != item->digest)
    bgap_idempotency_release_waiters (state, entry,
                                      BGAP_IDEMPOTENCY_EVENT_DIGEST_MISMATCH);
  entry->digest = item->digest;
}

/* Outcomes.  */

static void
_bgap_idempotency_on_outcome (struct bgap_idempotency_state *state,
                              const struct bgap_idempotency_item *item)
{
  struct bgap_idempotency_entry *entry
      = bgap_idempotency_find_entry (state, &item->key);
  if (entry == NULL || !entry->has_winner
      || !_bgap_idempotency_same_attempt (&entry->winner, &item->attempt))
    return;
  bool own = item->attempt.incarnation == state->desc.incarnation;
  if (own)
    bgap_idempotency_set_pending (state, &entry->outcome_pending,
                                  BGAP_IDEMPOTENCY_PENDING_NONE);
  if (entry->outcome != BGAP_OUTCOME_NONE)
    return;
  if (item->outcome == BGAP_OUTCOME_NOT_RUN)
    {
      entry->has_winner = false;
      entry->not_run = false;
      if (entry->waiters != NULL
          && entry->intent == BGAP_IDEMPOTENCY_PENDING_NONE)
        bgap_idempotency_queue_intent (state, entry);
      bgap_idempotency_free_if_unused (state, entry);
      return;
    }
  const struct bgap_idempotency_answer answer = {
    .outcome = item->outcome,
    .http_status = item->http_status,
    .body_dropped = item->body_dropped,
    .body = item->body,
    .body_size = item->body_size,
    .content_type = item->content_type,
  };
  bgap_idempotency_set_outcome (state, entry, &answer);
  bgap_idempotency_release_waiters (state, entry,
                                    BGAP_IDEMPOTENCY_EVENT_STORED);
}

/* Instances.  */

static void
_bgap_idempotency_mark_winners_lost (struct bgap_idempotency_state *state,
                                     uint64_t instance,
                                     uint64_t except_incarnation)
{
  struct bgap_idempotency_entry *entry;
  for (entry = state->entries; entry != NULL; entry = entry->hh.next)
    {
      if (!entry->has_winner || entry->outcome != BGAP_OUTCOME_NONE
          || entry->winner_instance != instance
          || entry->winner.incarnation == except_incarnation
          || entry->winner.incarnation == state->desc.incarnation)
        continue;
      entry->winner_lost = true;
      bgap_idempotency_release_waiters (state, entry,
                                        BGAP_IDEMPOTENCY_EVENT_INSTANCE_LOST);
    }
}

/* An instance that appends under a new incarnation has lost the state of its
   previous process, including the outcomes of its attempts.  */
static void
_bgap_idempotency_track_instance (struct bgap_idempotency_state *state,
                                  uint64_t name, uint64_t incarnation)
{
  struct bgap_idempotency_instance *oldest = &state->instances[0];
  for (size_t i = 0; i < BGAP_IDEMPOTENCY_INSTANCES_MAX; i++)
    {
      struct bgap_idempotency_instance *instance = &state->instances[i];
      if (instance->last_offset < oldest->last_offset)
        oldest = instance;
      if (instance->name != name || instance->last_offset == 0)
        continue;
      instance->last_offset = state->applied;
      if (instance->incarnation != incarnation)
        _bgap_idempotency_mark_winners_lost (state, name, incarnation);
      instance->incarnation = incarnation;
      return;
    }
  *oldest = (struct bgap_idempotency_instance){
    .name = name,
    .incarnation = incarnation,
    .last_offset = state->applied,
  };
}

void
bgap_idempotency_on_instance_lost (struct bgap_idempotency *table,
                                   const char *instance)
{
  _bgap_idempotency_mark_winners_lost (
      table->state, bgap_hash64 (instance, strlen (instance)), 0);
}

/* Records.  */

enum bgap_status
bgap_idempotency_on_record (struct bgap_idempotency *table, int64_t now_ms,
                            int64_t wall_ms, uint64_t offset,
                            const void *bytes, size_t size,
                            struct bgap_error *err)
{
  (void)now_ms;
  struct bgap_idempotency_state *state = table->state;
  if (state->schema_unsupported)
    return bgap_error_set (err, BGAP_ERR_UNAVAILABLE,
                           "a previous record has an unsupported schema");
  if (offset <= state->applied)
    return bgap_error_set (err, BGAP_ERR_STALE,
                           "offset %" PRIu64 " is already applied", offset);
  if ((state->applied > 0 || bgap_idempotency_ready (table))
      && offset != state->applied + 1)
    {
      int64_t missed_ms = wall_ms + MISSED_KEY_SKEWS * state->desc.skew_ms;
      if (missed_ms > state->incomplete_until_ms)
        state->incomplete_until_ms = missed_ms;
    }
  struct bgap_idempotency_record record;
  enum bgap_status status
      = bgap_idempotency_record_parse (&record, bytes, size, err);
  if (status == BGAP_ERR_NO_MEMORY)
    return status;
  if (status == BGAP_ERR_UNAVAILABLE)
    state->schema_unsupported = true;
  state->applied = offset;
  if (status != BGAP_OK)
    return status;
  uint64_t instance = bgap_hash64 (record.instance, strlen (record.instance));
  struct bgap_idempotency_item item;
  while (bgap_idempotency_record_next (&record, &item))
    {
      _bgap_idempotency_track_instance (state, instance,
                                        item.attempt.incarnation);
      if (item.is_outcome)
        _bgap_idempotency_on_outcome (state, &item);
      else
        _bgap_idempotency_on_intent (state, wall_ms, &item, instance);
    }
  bgap_idempotency_record_shutdown (&record);
  return BGAP_OK;
}
