#include <inttypes.h>
#include <string.h>

#include "banyangap/base/hash.h"
#include "once_state.h"

/* Clocks of two instances differ by at most twice the error of one. A key is
   accepted up to one error ahead of the accepting clock.  */
#define SKEWS_OF_RECORDS 3

static bool
_bgap_once_same (const struct bgap_once_attempt *a,
                 const struct bgap_once_attempt *b)
{
  return a->incarnation == b->incarnation && a->sequence == b->sequence;
}

/* Entry of a key that a record names. NULL if the key is older than the window
   or its history would be incomplete.  */
static struct bgap_once_entry *
_bgap_once_entry_of_record (struct bgap_once_state *state, int64_t wall_ms,
                            const struct bgap_uuid7 *key)
{
  struct bgap_once_entry *entry = bgap_once_find (state, key);
  int64_t time_ms = bgap_uuid7_time_ms (key);
  if (entry != NULL || time_ms <= state->dropped_until_ms)
    return entry;
  if (!bgap_once_outdated (state, wall_ms, time_ms))
    entry = bgap_once_create (state, key);
  if (entry == NULL)
    state->dropped_until_ms = time_ms;
  return entry;
}

/* Intents.  */

static void
_bgap_once_own_won (struct bgap_once_state *state, int64_t wall_ms,
                    struct bgap_once_entry *entry, uint64_t digest)
{
  bool awaited = entry->intent != BGAP_ONCE_PENDING_NONE
                 && _bgap_once_same (&entry->own, &entry->winner);
  if (awaited)
    bgap_once_set_pending (state, &entry->intent, BGAP_ONCE_PENDING_NONE);
  if (wall_ms - bgap_uuid7_time_ms (&entry->key) > state->desc.window_ms)
    bgap_once_release (state, entry, BGAP_ONCE_EVENT_EXPIRED);
  struct bgap_once_waiter *first = entry->waiters;
  /* An attempt for which NOT_RUN may already be on its way to the stream is
     never run: the late outcome would free the key while it runs. The requests
     that wait may have another digest than the intent if the key was used for
     two requests.  */
  if (!awaited || first == NULL || entry->digest != digest
      || !bgap_once_push_event (state, first, BGAP_ONCE_EVENT_WON))
    {
      bgap_once_queue_outcome (state, entry, true);
      return;
    }
  first->running = true;
}

static void
_bgap_once_on_intent (struct bgap_once_state *state, int64_t wall_ms,
                      const struct bgap_once_item *item, uint64_t instance)
{
  struct bgap_once_entry *entry
      = _bgap_once_entry_of_record (state, wall_ms, &item->key);
  if (entry == NULL)
    return;
  bool own = item->attempt.incarnation == state->desc.incarnation;
  if (entry->has_winner)
    {
      if (own && entry->intent != BGAP_ONCE_PENDING_NONE
          && _bgap_once_same (&entry->own, &item->attempt))
        bgap_once_set_pending (state, &entry->intent, BGAP_ONCE_PENDING_NONE);
      return;
    }
  entry->has_winner = true;
  entry->winner = item->attempt;
  entry->winner_instance = instance;
  entry->winner_lost = false;
  if (own)
    {
      _bgap_once_own_won (state, wall_ms, entry, item->digest);
      return;
    }
  if (entry->intent == BGAP_ONCE_PENDING_QUEUED)
    bgap_once_set_pending (state, &entry->intent, BGAP_ONCE_PENDING_NONE);
  if (entry->digest != item->digest)
    bgap_once_release (state, entry, BGAP_ONCE_EVENT_DIGEST);
  entry->digest = item->digest;
}

/* Outcomes.  */

static void
_bgap_once_on_outcome (struct bgap_once_state *state,
                       const struct bgap_once_item *item)
{
  struct bgap_once_entry *entry = bgap_once_find (state, &item->key);
  if (entry == NULL || !entry->has_winner
      || !_bgap_once_same (&entry->winner, &item->attempt))
    return;
  bool own = item->attempt.incarnation == state->desc.incarnation;
  if (own)
    bgap_once_set_pending (state, &entry->outcome_pending,
                           BGAP_ONCE_PENDING_NONE);
  if (entry->outcome != BGAP_OUTCOME_NONE)
    return;
  if (item->outcome == BGAP_OUTCOME_NOT_RUN)
    {
      entry->has_winner = false;
      entry->closing = false;
      if (entry->waiters != NULL && entry->intent == BGAP_ONCE_PENDING_NONE)
        bgap_once_queue_intent (state, entry);
      bgap_once_drop_unused (state, entry);
      return;
    }
  const struct bgap_once_answer answer = {
    .outcome = item->outcome,
    .http_status = item->http_status,
    .dropped = item->body_dropped,
    .body = item->body,
    .body_size = item->body_size,
    .content_type = item->content_type,
  };
  bgap_once_store (state, entry, &answer);
  bgap_once_release (state, entry, BGAP_ONCE_EVENT_STORED);
}

/* Instances.  */

static void
_bgap_once_winners_lost (struct bgap_once_state *state, uint64_t instance,
                         uint64_t except_incarnation)
{
  struct bgap_once_entry *entry;
  for (entry = state->entries; entry != NULL; entry = entry->hh.next)
    {
      if (!entry->has_winner || entry->outcome != BGAP_OUTCOME_NONE
          || entry->winner_instance != instance
          || entry->winner.incarnation == except_incarnation
          || entry->winner.incarnation == state->desc.incarnation)
        continue;
      entry->winner_lost = true;
      bgap_once_release (state, entry, BGAP_ONCE_EVENT_LOST);
    }
}

/* An instance that writes under a new incarnation has lost what the earlier
   process knew.  */
static void
_bgap_once_see_instance (struct bgap_once_state *state, uint64_t name,
                         uint64_t incarnation)
{
  struct bgap_once_instance *oldest = &state->instances[0];
  for (size_t i = 0; i < BGAP_ONCE_INSTANCES_MAX; i++)
    {
      struct bgap_once_instance *instance = &state->instances[i];
      if (instance->used_at < oldest->used_at)
        oldest = instance;
      if (instance->name != name || instance->used_at == 0)
        continue;
      instance->used_at = state->applied;
      if (instance->incarnation != incarnation)
        _bgap_once_winners_lost (state, name, incarnation);
      instance->incarnation = incarnation;
      return;
    }
  *oldest = (struct bgap_once_instance){
    .name = name,
    .incarnation = incarnation,
    .used_at = state->applied,
  };
}

void
bgap_once_on_instance_lost (struct bgap_once *once, const char *instance)
{
  _bgap_once_winners_lost (once->state,
                           bgap_hash64 (instance, strlen (instance)), 0);
}

/* Records.  */

enum bgap_status
bgap_once_on_record (struct bgap_once *once, int64_t now_ms, int64_t wall_ms,
                     uint64_t offset, const void *bytes, size_t size,
                     struct bgap_error *err)
{
  (void)now_ms;
  struct bgap_once_state *state = once->state;
  if (state->stopped)
    return bgap_error_set (err, BGAP_ERR_UNAVAILABLE,
                           "a record with a higher schema was read before");
  if (offset <= state->applied)
    return bgap_error_set (err, BGAP_ERR_STALE,
                           "offset %" PRIu64 " was applied before", offset);
  if ((state->applied > 0 || bgap_once_ready (once))
      && offset != state->applied + 1)
    {
      int64_t missed_ms = wall_ms + SKEWS_OF_RECORDS * state->desc.skew_ms;
      if (missed_ms > state->dropped_until_ms)
        state->dropped_until_ms = missed_ms;
    }
  struct bgap_once_record record;
  enum bgap_status status = bgap_once_record_parse (&record, bytes, size, err);
  if (status == BGAP_ERR_NO_MEMORY)
    return status;
  if (status == BGAP_ERR_UNAVAILABLE)
    state->stopped = true;
  state->applied = offset;
  if (status != BGAP_OK)
    return status;
  uint64_t instance = bgap_hash64 (record.instance, strlen (record.instance));
  struct bgap_once_item item;
  while (bgap_once_record_next (&record, &item))
    {
      _bgap_once_see_instance (state, instance, item.attempt.incarnation);
      if (item.is_outcome)
        _bgap_once_on_outcome (state, &item);
      else
        _bgap_once_on_intent (state, wall_ms, &item, instance);
    }
  bgap_once_record_shutdown (&record);
  return BGAP_OK;
}
