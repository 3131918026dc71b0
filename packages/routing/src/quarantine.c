#include "banyangap/routing/quarantine.h"

#include <stdlib.h>

#include "quarantine_entry.h"

#define DEFAULT_CAPACITY 1024u
#define DEFAULT_QUARANTINE_MS 300000
#define DEFAULT_SUSPECT_MS 300000
#define DEFAULT_CRASH_WINDOW_MS 3000

/* If the request does crash servers, each trial costs one.  */
#define DEFAULT_TRIAL_MS 15000

enum bgap_status
bgap_quarantine_setup (struct bgap_quarantine *quarantine,
                       const struct bgap_quarantine_desc *desc)
{
  *quarantine = (struct bgap_quarantine){ .desc = *desc };
  if (desc->capacity > BGAP_ROUTING_MESSAGE_ITEMS_MAX
      || desc->quarantine_ms < 0 || desc->quarantine_ms > UINT32_MAX
      || desc->suspect_ms < 0 || desc->crash_window_ms < 0
      || desc->trial_ms < 0)
    return BGAP_ERR_INVALID;
  if (desc->capacity == 0)
    quarantine->desc.capacity = DEFAULT_CAPACITY;
  if (desc->quarantine_ms == 0)
    quarantine->desc.quarantine_ms = DEFAULT_QUARANTINE_MS;
  if (desc->suspect_ms == 0)
    quarantine->desc.suspect_ms = DEFAULT_SUSPECT_MS;
  if (desc->crash_window_ms == 0)
    quarantine->desc.crash_window_ms = DEFAULT_CRASH_WINDOW_MS;
  if (desc->trial_ms == 0)
    quarantine->desc.trial_ms = DEFAULT_TRIAL_MS;
  quarantine->updates
      = calloc (quarantine->desc.capacity, sizeof *quarantine->updates);
  return quarantine->updates != NULL ? BGAP_OK : BGAP_ERR_NO_MEMORY;
}

/* Entries. The macros of uthash expand to more statements than clang-tidy
   allows.  */
/* NOLINTBEGIN(readability-function-size) */

static struct bgap_quarantine_entry *
_bgap_quarantine_find (const struct bgap_quarantine *quarantine,
                       int64_t now_ms, uint64_t fingerprint)
{
  struct bgap_quarantine_entry *entry = NULL;
  HASH_FIND (hh, quarantine->entries, &fingerprint, sizeof fingerprint, entry);
  return entry != NULL && now_ms < entry->until_ms ? entry : NULL;
}

static void
_bgap_quarantine_remove (struct bgap_quarantine *quarantine,
                         struct bgap_quarantine_entry *entry)
{
  HASH_DEL (quarantine->entries, entry);
  quarantine->count--;
  free (entry);
}

static struct bgap_quarantine_entry *
_bgap_quarantine_insert (struct bgap_quarantine *quarantine,
                         uint64_t fingerprint)
{
  struct bgap_quarantine_entry *entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return NULL;
  entry->fingerprint = fingerprint;
  HASH_ADD (hh, quarantine->entries, fingerprint, sizeof entry->fingerprint,
            entry);
  quarantine->count++;
  return entry;
}

/* NOLINTEND(readability-function-size) */

void
bgap_quarantine_shutdown (struct bgap_quarantine *quarantine)
{
  while (quarantine->entries != NULL)
    _bgap_quarantine_remove (quarantine, quarantine->entries);
  free (quarantine->updates);
  *quarantine = (struct bgap_quarantine){ 0 };
}

static void
_bgap_quarantine_expire (struct bgap_quarantine *quarantine, int64_t now_ms)
{
  struct bgap_quarantine_entry *next;
  for (struct bgap_quarantine_entry *entry = quarantine->entries;
       entry != NULL; entry = next)
    {
      next = entry->hh.next;
      if (now_ms >= entry->until_ms)
        _bgap_quarantine_remove (quarantine, entry);
    }
}

static void
_bgap_quarantine_evict (struct bgap_quarantine *quarantine)
{
  struct bgap_quarantine_entry *first = quarantine->entries;
  for (struct bgap_quarantine_entry *entry = first; entry != NULL;
       entry = entry->hh.next)
    if (entry->until_ms < first->until_ms)
      first = entry;
  _bgap_quarantine_remove (quarantine, first);
}

/* Returns the entry of a fingerprint, or NULL if it is 0 or there is no
   memory.  */
static struct bgap_quarantine_entry *
_bgap_quarantine_get (struct bgap_quarantine *quarantine, int64_t now_ms,
                      uint64_t fingerprint)
{
  if (fingerprint == 0)
    return NULL;
  struct bgap_quarantine_entry *entry
      = _bgap_quarantine_find (quarantine, now_ms, fingerprint);
  if (entry != NULL)
    return entry;
  _bgap_quarantine_expire (quarantine, now_ms);
  if (quarantine->count == quarantine->desc.capacity)
    _bgap_quarantine_evict (quarantine);
  return _bgap_quarantine_insert (quarantine, fingerprint);
}

static void
_bgap_quarantine_keep (struct bgap_quarantine_entry *entry, int64_t until_ms)
{
  if (entry->until_ms < until_ms)
    entry->until_ms = until_ms;
}

/* Reports.  */

const char *
bgap_quarantine_change_name (enum bgap_quarantine_change change)
{
  static const char *const names[BGAP_QUARANTINE_CHANGE_COUNT] = {
    [BGAP_QUARANTINE_SUSPECTED] = "suspected",
    [BGAP_QUARANTINE_STARTED] = "started",
    [BGAP_QUARANTINE_TAKEN] = "taken",
    [BGAP_QUARANTINE_TRIAL] = "trial",
    [BGAP_QUARANTINE_RENEWED] = "renewed",
    [BGAP_QUARANTINE_CLEARED] = "cleared",
  };
  if ((unsigned int)change >= BGAP_QUARANTINE_CHANGE_COUNT)
    return "unknown";
  return names[change];
}

static void
_bgap_quarantine_report (const struct bgap_quarantine *quarantine,
                         struct bgap_quarantine_entry *entry,
                         enum bgap_quarantine_change change)
{
  const struct bgap_quarantine_ops *ops = &quarantine->desc.ops;
  entry->last.change = change;
  entry->last.fingerprint = entry->fingerprint;
  if (ops->changed != NULL)
    ops->changed (ops->context, &entry->last);
}

static void
_bgap_quarantine_set_evidence (struct bgap_quarantine_entry *entry,
                               const struct bgap_quarantine_broken *first,
                               const struct bgap_quarantine_broken *last)
{
  entry->last = (struct bgap_quarantine_event){
    .server = last->attempt.server,
    .sent_ms = last->attempt.sent_ms,
    .broken_ms = last->attempt.broken_ms,
    .first_server = first != NULL ? first->attempt.server : 0,
    .first_ms = first != NULL ? first->attempt.broken_ms : 0,
  };
}

static void
_bgap_quarantine_queue_update (struct bgap_quarantine *quarantine,
                               const struct bgap_routing_suspicion *item)
{
  if (quarantine->update_count < quarantine->desc.capacity)
    quarantine->updates[quarantine->update_count++] = *item;
}

/* Tells the peers that a fingerprint is in quarantine. With @server 0 those
   that know it take it as the start of a trial.  */
static void
_bgap_quarantine_publish (struct bgap_quarantine *quarantine, int64_t now_ms,
                          const struct bgap_quarantine_entry *entry,
                          uint64_t server)
{
  _bgap_quarantine_queue_update (
      quarantine, &(struct bgap_routing_suspicion){
                      .fingerprint = entry->fingerprint,
                      .server = server,
                      .kind = BGAP_SUSPICION_QUARANTINED,
                      .remaining_ms = (uint32_t)(entry->until_ms - now_ms) });
}

/* Evidence.  */

void
bgap_quarantine_broken (struct bgap_quarantine *quarantine, int64_t now_ms,
                        const struct bgap_quarantine_attempt *attempt)
{
  struct bgap_quarantine_entry *entry
      = _bgap_quarantine_get (quarantine, now_ms, attempt->fingerprint);
  if (entry == NULL)
    return;
  _bgap_quarantine_keep (entry, now_ms + quarantine->desc.crash_window_ms + 1);
  bgap_quarantine_entry_add (
      entry, &(struct bgap_quarantine_broken){
                 .number = ++quarantine->broken_count, .attempt = *attempt });
}

static void
_bgap_quarantine_start (struct bgap_quarantine *quarantine, int64_t now_ms,
                        struct bgap_quarantine_entry *entry)
{
  entry->quarantined = true;
  entry->trial_interval_ms = quarantine->desc.trial_ms;
  entry->trial_at_ms = now_ms + entry->trial_interval_ms;
  _bgap_quarantine_keep (entry, now_ms + quarantine->desc.quarantine_ms);
}

static void
_bgap_quarantine_suspect (struct bgap_quarantine *quarantine, int64_t now_ms,
                          struct bgap_quarantine_entry *entry,
                          const struct bgap_quarantine_broken *broken)
{
  const struct bgap_quarantine_broken *first = NULL;
  const struct bgap_quarantine_broken *second = broken;
  if (bgap_quarantine_entry_proof (entry, &first, &second))
    {
      _bgap_quarantine_set_evidence (entry, first, second);
      _bgap_quarantine_start (quarantine, now_ms, entry);
      _bgap_quarantine_publish (quarantine, now_ms, entry,
                                second->attempt.server);
      _bgap_quarantine_report (quarantine, entry, BGAP_QUARANTINE_STARTED);
      return;
    }
  _bgap_quarantine_keep (entry, now_ms + quarantine->desc.suspect_ms);
  _bgap_quarantine_set_evidence (entry, NULL, broken);
  _bgap_quarantine_queue_update (
      quarantine,
      &(struct bgap_routing_suspicion){ .fingerprint = entry->fingerprint,
                                        .server = broken->attempt.server,
                                        .kind = BGAP_SUSPICION_SUSPECT });
  _bgap_quarantine_report (quarantine, entry, BGAP_QUARANTINE_SUSPECTED);
}

void
bgap_quarantine_crashed (struct bgap_quarantine *quarantine, int64_t now_ms,
                         uint64_t server)
{
  int64_t since_ms = now_ms - quarantine->desc.crash_window_ms;
  for (struct bgap_quarantine_entry *entry = quarantine->entries;
       entry != NULL; entry = entry->hh.next)
    {
      const struct bgap_quarantine_broken *broken
          = now_ms < entry->until_ms
                ? bgap_quarantine_entry_confirm (entry, since_ms, server)
                : NULL;
      if (broken == NULL)
        continue;
      if (!entry->quarantined)
        {
          _bgap_quarantine_suspect (quarantine, now_ms, entry, broken);
          continue;
        }
      _bgap_quarantine_keep (entry, now_ms + quarantine->desc.quarantine_ms);
      _bgap_quarantine_publish (quarantine, now_ms, entry, server);
      _bgap_quarantine_report (quarantine, entry, BGAP_QUARANTINE_RENEWED);
    }
}

/* Removes an entry after an answer. Returns whether the peers may know it.  */
static bool
_bgap_quarantine_clear (struct bgap_quarantine *quarantine, int64_t now_ms,
                        uint64_t fingerprint)
{
  struct bgap_quarantine_entry *entry
      = _bgap_quarantine_find (quarantine, now_ms, fingerprint);
  if (entry == NULL)
    return false;
  bool known = entry->quarantined || bgap_quarantine_entry_is_suspect (entry);
  if (known)
    _bgap_quarantine_report (quarantine, entry, BGAP_QUARANTINE_CLEARED);
  _bgap_quarantine_remove (quarantine, entry);
  return known;
}

void
bgap_quarantine_answered (struct bgap_quarantine *quarantine, int64_t now_ms,
                          uint64_t fingerprint)
{
  if (_bgap_quarantine_clear (quarantine, now_ms, fingerprint))
    _bgap_quarantine_queue_update (
        quarantine,
        &(struct bgap_routing_suspicion){ .fingerprint = fingerprint,
                                          .kind = BGAP_SUSPICION_CLEARED });
}

/* Decisions.  */

bool
bgap_quarantine_refuses (const struct bgap_quarantine *quarantine,
                         int64_t now_ms, uint64_t fingerprint)
{
  const struct bgap_quarantine_entry *entry
      = _bgap_quarantine_find (quarantine, now_ms, fingerprint);
  return entry != NULL && entry->quarantined && now_ms < entry->trial_at_ms;
}

static void
_bgap_quarantine_postpone_trial (struct bgap_quarantine_entry *entry,
                                 int64_t now_ms)
{
  entry->trial_at_ms = now_ms + entry->trial_interval_ms;
  if (entry->trial_interval_ms < entry->until_ms - now_ms)
    entry->trial_interval_ms *= 2;
}

bool
bgap_quarantine_begin_trial (struct bgap_quarantine *quarantine,
                             int64_t now_ms, uint64_t fingerprint)
{
  struct bgap_quarantine_entry *entry
      = _bgap_quarantine_find (quarantine, now_ms, fingerprint);
  if (entry == NULL || !entry->quarantined)
    return false;
  _bgap_quarantine_postpone_trial (entry, now_ms);
  _bgap_quarantine_publish (quarantine, now_ms, entry, 0);
  _bgap_quarantine_report (quarantine, entry, BGAP_QUARANTINE_TRIAL);
  return true;
}

void
bgap_quarantine_drop_trial (struct bgap_quarantine *quarantine, int64_t now_ms,
                            uint64_t fingerprint)
{
  struct bgap_quarantine_entry *entry
      = _bgap_quarantine_find (quarantine, now_ms, fingerprint);
  if (entry == NULL || !entry->quarantined)
    return;
  entry->trial_at_ms = now_ms;
  entry->trial_interval_ms /= 2;
}

bool
bgap_quarantine_suspected (const struct bgap_quarantine *quarantine,
                           int64_t now_ms, uint64_t fingerprint)
{
  const struct bgap_quarantine_entry *entry
      = _bgap_quarantine_find (quarantine, now_ms, fingerprint);
  return entry != NULL
         && (entry->quarantined || bgap_quarantine_entry_is_suspect (entry));
}

bool
bgap_quarantine_cause (const struct bgap_quarantine *quarantine,
                       int64_t now_ms, uint64_t fingerprint,
                       struct bgap_quarantine_event *event)
{
  const struct bgap_quarantine_entry *entry
      = _bgap_quarantine_find (quarantine, now_ms, fingerprint);
  if (entry == NULL || !entry->quarantined)
    return false;
  *event = entry->last;
  return true;
}

/* Peers.  */

bool
bgap_quarantine_encode (struct bgap_quarantine *quarantine,
                        struct bgap_buffer *out)
{
  if (quarantine->update_count == 0)
    return false;
  enum bgap_status status = bgap_routing_encode_suspicions (
      out, quarantine->updates, quarantine->update_count);
  quarantine->update_count = 0;
  return status == BGAP_OK;
}

/* A peer's suspicion counts as a crash that became known now. Attempts of this
   instance that were sent before prove no order.  */
static void
_bgap_quarantine_on_suspicion (struct bgap_quarantine *quarantine,
                               int64_t now_ms,
                               const struct bgap_routing_suspicion *item)
{
  struct bgap_quarantine_entry *entry
      = _bgap_quarantine_get (quarantine, now_ms, item->fingerprint);
  if (entry == NULL)
    return;
  _bgap_quarantine_keep (entry, now_ms + quarantine->desc.suspect_ms);
  bgap_quarantine_entry_add (entry,
                             &(struct bgap_quarantine_broken){
                                 .number = ++quarantine->broken_count,
                                 .attempt = { .fingerprint = item->fingerprint,
                                              .server = item->server,
                                              .broken_ms = now_ms },
                                 .crashed = true });
}

static void
_bgap_quarantine_on_quarantined (struct bgap_quarantine *quarantine,
                                 int64_t now_ms,
                                 enum bgap_quarantine_source source,
                                 const struct bgap_routing_suspicion *item)
{
  struct bgap_quarantine_entry *entry
      = _bgap_quarantine_get (quarantine, now_ms, item->fingerprint);
  if (entry == NULL)
    return;
  int64_t left_ms = item->remaining_ms;
  if (left_ms > quarantine->desc.quarantine_ms)
    left_ms = quarantine->desc.quarantine_ms;
  if (entry->quarantined)
    {
      _bgap_quarantine_keep (entry, now_ms + left_ms);
      if (item->server == 0 && source == BGAP_QUARANTINE_SENT)
        _bgap_quarantine_postpone_trial (entry, now_ms);
      return;
    }
  _bgap_quarantine_start (quarantine, now_ms, entry);
  entry->until_ms = now_ms + left_ms;
  if (source == BGAP_QUARANTINE_STORED)
    entry->trial_at_ms = now_ms;
  entry->last = (struct bgap_quarantine_event){ .server = item->server,
                                                .broken_ms = now_ms };
  _bgap_quarantine_report (quarantine, entry, BGAP_QUARANTINE_TAKEN);
}

static void
_bgap_quarantine_apply (struct bgap_quarantine *quarantine, int64_t now_ms,
                        enum bgap_quarantine_source source,
                        const struct bgap_routing_suspicion *item)
{
  /* Of stored items only quarantines count, which begin with a trial: a crash
     or an answer of an unknown age says nothing about the present.  */
  if (source == BGAP_QUARANTINE_STORED
      && item->kind != BGAP_SUSPICION_QUARANTINED)
    return;
  switch (item->kind)
    {
    case BGAP_SUSPICION_SUSPECT:
      _bgap_quarantine_on_suspicion (quarantine, now_ms, item);
      return;
    case BGAP_SUSPICION_CLEARED:
      (void)_bgap_quarantine_clear (quarantine, now_ms, item->fingerprint);
      return;
    case BGAP_SUSPICION_QUARANTINED:
      _bgap_quarantine_on_quarantined (quarantine, now_ms, source, item);
      return;
    }
}

enum bgap_status
bgap_quarantine_on_message (struct bgap_quarantine *quarantine, int64_t now_ms,
                            enum bgap_quarantine_source source,
                            const void *bytes, size_t size,
                            struct bgap_error *err)
{
  /* An item has four fields of at least one byte each.  */
  size_t count = size / 4 < BGAP_ROUTING_MESSAGE_ITEMS_MAX
                     ? size / 4
                     : BGAP_ROUTING_MESSAGE_ITEMS_MAX;
  struct bgap_routing_suspicion *items = malloc ((count + 1) * sizeof *items);
  if (items == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  enum bgap_status status
      = bgap_routing_decode_suspicions (bytes, size, items, &count, err);
  if (status == BGAP_ERR_FULL)
    status = bgap_error_set (err, BGAP_ERR_PROTOCOL, "truncated message");
  for (size_t i = 0; status == BGAP_OK && i < count; i++)
    _bgap_quarantine_apply (quarantine, now_ms, source, &items[i]);
  free (items);
  return status;
}
