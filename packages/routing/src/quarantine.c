#include "banyangap/routing/quarantine.h"

#include <stdlib.h>

#define DEFAULT_CAPACITY 1024u
#define DEFAULT_QUARANTINE_MS 300000
#define DEFAULT_SUSPECT_MS 300000

/**
 * struct bgap_quarantine_entry - a fingerprint
 * @server: hash of the first server that crashed; 0 if a peer has put the
 *   fingerprint in quarantine
 * @known_ms: when its crash became known
 * @last: the last decision, if @quarantined
 */
struct bgap_quarantine_entry
{
  uint64_t fingerprint;
  uint64_t server;
  int64_t known_ms;
  struct bgap_quarantine_event last;
  int64_t until_ms;
  bool quarantined;
};

enum bgap_status
bgap_quarantine_setup (struct bgap_quarantine *quarantine,
                       const struct bgap_quarantine_desc *desc)
{
  *quarantine = (struct bgap_quarantine){ .desc = *desc };
  if (desc->capacity > BGAP_ROUTING_MESSAGE_ITEMS_MAX
      || desc->quarantine_ms < 0 || desc->quarantine_ms > UINT32_MAX
      || desc->suspect_ms < 0)
    return BGAP_ERR_INVALID;
  if (desc->capacity == 0)
    quarantine->desc.capacity = DEFAULT_CAPACITY;
  if (desc->quarantine_ms == 0)
    quarantine->desc.quarantine_ms = DEFAULT_QUARANTINE_MS;
  if (desc->suspect_ms == 0)
    quarantine->desc.suspect_ms = DEFAULT_SUSPECT_MS;
  quarantine->entries
      = calloc (quarantine->desc.capacity, sizeof *quarantine->entries);
  quarantine->updates
      = calloc (quarantine->desc.capacity, sizeof *quarantine->updates);
  if (quarantine->entries == NULL || quarantine->updates == NULL)
    {
      bgap_quarantine_shutdown (quarantine);
      return BGAP_ERR_NO_MEMORY;
    }
  return BGAP_OK;
}

void
bgap_quarantine_shutdown (struct bgap_quarantine *quarantine)
{
  free (quarantine->entries);
  free (quarantine->updates);
  *quarantine = (struct bgap_quarantine){ 0 };
}

/* Entries.  */

static struct bgap_quarantine_entry *
_bgap_quarantine_find (const struct bgap_quarantine *quarantine,
                       int64_t now_ms, uint64_t fingerprint)
{
  if (fingerprint == 0)
    return NULL;
  for (uint32_t i = 0; i < quarantine->count; i++)
    {
      struct bgap_quarantine_entry *entry = &quarantine->entries[i];
      if (entry->fingerprint == fingerprint && now_ms < entry->until_ms)
        return entry;
    }
  return NULL;
}

static void
_bgap_quarantine_remove (struct bgap_quarantine *quarantine, uint32_t index)
{
  quarantine->entries[index] = quarantine->entries[--quarantine->count];
}

static void
_bgap_quarantine_expire (struct bgap_quarantine *quarantine, int64_t now_ms)
{
  for (uint32_t i = quarantine->count; i-- > 0;)
    if (now_ms >= quarantine->entries[i].until_ms)
      _bgap_quarantine_remove (quarantine, i);
}

/* Evicts the entry that expires first if the table is full.  */
static struct bgap_quarantine_entry *
_bgap_quarantine_add (struct bgap_quarantine *quarantine, int64_t now_ms,
                      uint64_t fingerprint)
{
  _bgap_quarantine_expire (quarantine, now_ms);
  if (quarantine->count == quarantine->desc.capacity)
    {
      uint32_t first = 0;
      for (uint32_t i = 1; i < quarantine->count; i++)
        if (quarantine->entries[i].until_ms
            < quarantine->entries[first].until_ms)
          first = i;
      _bgap_quarantine_remove (quarantine, first);
    }
  struct bgap_quarantine_entry *entry
      = &quarantine->entries[quarantine->count++];
  *entry = (struct bgap_quarantine_entry){ .fingerprint = fingerprint };
  return entry;
}

static void
_bgap_quarantine_queue_update (struct bgap_quarantine *quarantine,
                               const struct bgap_routing_suspicion *item)
{
  if (quarantine->update_count < quarantine->desc.capacity)
    quarantine->updates[quarantine->update_count++] = *item;
}

/* Events.  */

const char *
bgap_quarantine_change_name (enum bgap_quarantine_change change)
{
  static const char *const names[BGAP_QUARANTINE_CHANGE_COUNT] = {
    [BGAP_QUARANTINE_SUSPECTED] = "suspected",
    [BGAP_QUARANTINE_STARTED] = "started",
    [BGAP_QUARANTINE_TAKEN] = "taken",
    [BGAP_QUARANTINE_CLEARED] = "cleared",
  };
  if ((unsigned int)change >= BGAP_QUARANTINE_CHANGE_COUNT)
    return "unknown";
  return names[change];
}

static void
_bgap_quarantine_report (const struct bgap_quarantine *quarantine,
                         enum bgap_quarantine_change change,
                         struct bgap_quarantine_entry *entry,
                         const struct bgap_quarantine_evidence *evidence)
{
  const struct bgap_quarantine_ops *ops = &quarantine->desc.ops;
  entry->last
      = (struct bgap_quarantine_event){ .change = change,
                                        .fingerprint = entry->fingerprint,
                                        .server = evidence->server,
                                        .first_server = entry->server,
                                        .sent_ms = evidence->sent_ms,
                                        .broken_ms = evidence->broken_ms,
                                        .first_ms = entry->known_ms };
  if (ops->changed != NULL)
    ops->changed (ops->context, &entry->last);
}

static bool
_bgap_quarantine_start (struct bgap_quarantine *quarantine, int64_t now_ms,
                        struct bgap_quarantine_entry *entry,
                        const struct bgap_quarantine_evidence *evidence)
{
  _bgap_quarantine_report (quarantine, BGAP_QUARANTINE_STARTED, entry,
                           evidence);
  entry->quarantined = true;
  entry->until_ms = now_ms + quarantine->desc.quarantine_ms;
  _bgap_quarantine_queue_update (
      quarantine,
      &(struct bgap_routing_suspicion){
          .fingerprint = entry->fingerprint,
          .server = evidence->server,
          .kind = BGAP_SUSPICION_QUARANTINED,
          .remaining_ms = (uint32_t)quarantine->desc.quarantine_ms });
  return true;
}

static bool
_bgap_quarantine_add_suspicion (
    struct bgap_quarantine *quarantine, int64_t now_ms,
    const struct bgap_quarantine_evidence *evidence, bool tell)
{
  uint64_t fingerprint = evidence->fingerprint;
  uint64_t server = evidence->server;
  if (fingerprint == 0)
    return false;
  struct bgap_quarantine_entry *entry
      = _bgap_quarantine_find (quarantine, now_ms, fingerprint);
  if (entry != NULL && entry->quarantined)
    return true;
  if (entry != NULL && entry->server != server)
    return _bgap_quarantine_start (quarantine, now_ms, entry, evidence);
  if (entry == NULL)
    {
      entry = _bgap_quarantine_add (quarantine, now_ms, fingerprint);
      entry->server = server;
      entry->known_ms = now_ms;
      _bgap_quarantine_report (quarantine, BGAP_QUARANTINE_SUSPECTED, entry,
                               evidence);
    }
  entry->until_ms = now_ms + quarantine->desc.suspect_ms;
  if (tell)
    _bgap_quarantine_queue_update (
        quarantine,
        &(struct bgap_routing_suspicion){ .fingerprint = fingerprint,
                                          .server = server,
                                          .kind = BGAP_SUSPICION_SUSPECT });
  return false;
}

bool
bgap_quarantine_suspect (struct bgap_quarantine *quarantine, int64_t now_ms,
                         const struct bgap_quarantine_evidence *evidence)
{
  return _bgap_quarantine_add_suspicion (quarantine, now_ms, evidence, true);
}

static bool
_bgap_quarantine_clear (struct bgap_quarantine *quarantine, int64_t now_ms,
                        uint64_t fingerprint)
{
  struct bgap_quarantine_entry *entry
      = _bgap_quarantine_find (quarantine, now_ms, fingerprint);
  if (entry == NULL || entry->quarantined)
    return false;
  _bgap_quarantine_report (quarantine, BGAP_QUARANTINE_CLEARED, entry,
                           &(struct bgap_quarantine_evidence){ 0 });
  _bgap_quarantine_remove (quarantine,
                           (uint32_t)(entry - quarantine->entries));
  return true;
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

bool
bgap_quarantine_refuses (const struct bgap_quarantine *quarantine,
                         int64_t now_ms, uint64_t fingerprint)
{
  const struct bgap_quarantine_entry *entry
      = _bgap_quarantine_find (quarantine, now_ms, fingerprint);
  return entry != NULL && entry->quarantined;
}

bool
bgap_quarantine_suspected (const struct bgap_quarantine *quarantine,
                           int64_t now_ms, uint64_t fingerprint)
{
  return _bgap_quarantine_find (quarantine, now_ms, fingerprint) != NULL;
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

static void
_bgap_quarantine_apply (struct bgap_quarantine *quarantine, int64_t now_ms,
                        const struct bgap_routing_suspicion *item)
{
  if (item->fingerprint == 0)
    return;
  struct bgap_quarantine_entry *entry;
  switch (item->kind)
    {
    case BGAP_SUSPICION_SUSPECT:
      _bgap_quarantine_add_suspicion (
          quarantine, now_ms,
          &(struct bgap_quarantine_evidence){ .fingerprint = item->fingerprint,
                                              .server = item->server },
          false);
      return;
    case BGAP_SUSPICION_CLEARED:
      _bgap_quarantine_clear (quarantine, now_ms, item->fingerprint);
      return;
    case BGAP_SUSPICION_QUARANTINED:
      break;
    }
  entry = _bgap_quarantine_find (quarantine, now_ms, item->fingerprint);
  if (entry != NULL && entry->quarantined)
    return;
  if (entry == NULL)
    entry = _bgap_quarantine_add (quarantine, now_ms, item->fingerprint);
  _bgap_quarantine_report (
      quarantine, BGAP_QUARANTINE_TAKEN, entry,
      &(struct bgap_quarantine_evidence){ .server = item->server });
  int64_t left_ms = item->remaining_ms;
  if (left_ms > quarantine->desc.quarantine_ms)
    left_ms = quarantine->desc.quarantine_ms;
  entry->quarantined = true;
  entry->until_ms = now_ms + left_ms;
}

enum bgap_status
bgap_quarantine_on_message (struct bgap_quarantine *quarantine, int64_t now_ms,
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
    _bgap_quarantine_apply (quarantine, now_ms, &items[i]);
  free (items);
  return status;
}
