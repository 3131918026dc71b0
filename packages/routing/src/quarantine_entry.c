#include "quarantine_entry.h"

static struct bgap_quarantine_broken *
_bgap_quarantine_slot (struct bgap_quarantine_entry *entry)
{
  if (entry->broken_count < BGAP_QUARANTINE_BROKEN_MAX)
    return &entry->broken[entry->broken_count++];
  struct bgap_quarantine_broken *oldest = NULL;
  for (uint32_t i = 0; i < entry->broken_count; i++)
    if (!entry->broken[i].crashed
        && (oldest == NULL || entry->broken[i].number < oldest->number))
      oldest = &entry->broken[i];
  return oldest != NULL ? oldest : &entry->broken[entry->broken_count - 1];
}

void
bgap_quarantine_entry_add (struct bgap_quarantine_entry *entry,
                           const struct bgap_quarantine_broken *broken)
{
  *_bgap_quarantine_slot (entry) = *broken;
}

const struct bgap_quarantine_broken *
bgap_quarantine_entry_confirm (struct bgap_quarantine_entry *entry,
                               int64_t since_ms, uint64_t server)
{
  const struct bgap_quarantine_broken *first = NULL;
  for (uint32_t i = 0; i < entry->broken_count; i++)
    {
      struct bgap_quarantine_broken *broken = &entry->broken[i];
      if (broken->crashed || broken->attempt.server != server
          || broken->attempt.broken_ms < since_ms)
        continue;
      broken->crashed = true;
      if (first == NULL)
        first = broken;
    }
  return first;
}

bool
bgap_quarantine_entry_is_suspect (const struct bgap_quarantine_entry *entry)
{
  for (uint32_t i = 0; i < entry->broken_count; i++)
    if (entry->broken[i].crashed)
      return true;
  return false;
}

bool
bgap_quarantine_entry_proof (const struct bgap_quarantine_entry *entry,
                             const struct bgap_quarantine_broken **first,
                             const struct bgap_quarantine_broken **second)
{
  for (uint32_t i = 0; i < entry->broken_count; i++)
    for (uint32_t j = 0; j < entry->broken_count; j++)
      {
        const struct bgap_quarantine_broken *a = &entry->broken[i];
        const struct bgap_quarantine_broken *b = &entry->broken[j];
        if (!a->crashed || !b->crashed
            || a->attempt.server == b->attempt.server
            || b->attempt.stamp < a->number)
          continue;
        *first = a;
        *second = b;
        return true;
      }
  return false;
}
