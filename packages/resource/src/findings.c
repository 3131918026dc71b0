#include "banyangap/resource/findings.h"

#include <stdlib.h>
#include <string.h>

#include "text.h"

#define MIN_CAPACITY 4

static bool
_bgap_findings_grow (struct bgap_findings *findings)
{
  uint32_t capacity
      = findings->capacity ? findings->capacity * 2 : MIN_CAPACITY;
  struct bgap_finding *items
      = realloc (findings->items, capacity * sizeof *items);
  if (items == NULL)
    return false;
  findings->items = items;
  findings->capacity = capacity;
  return true;
}

void
bgap_findings_add (struct bgap_findings *findings,
                   const struct bgap_finding *finding)
{
  if (findings->count == BGAP_FINDINGS_MAX
      || (findings->count == findings->capacity
          && !_bgap_findings_grow (findings)))
    {
      findings->dropped++;
      return;
    }
  struct bgap_finding *item = &findings->items[findings->count++];
  *item = *finding;
  bgap_text_clean (item->file);
  bgap_text_clean (item->path);
  bgap_text_clean (item->message);
  bgap_text_clean (item->remedy);
}

bool
bgap_findings_empty (const struct bgap_findings *findings)
{
  return findings->count == 0 && findings->dropped == 0;
}

static int
_bgap_findings_compare (const void *left, const void *right)
{
  const struct bgap_finding *a = left;
  const struct bgap_finding *b = right;
  int order = strcmp (a->file, b->file);
  if (order != 0)
    return order;
  if (a->line != b->line)
    return a->line < b->line ? -1 : 1;
  if (a->column != b->column)
    return a->column < b->column ? -1 : 1;
  order = strcmp (a->path, b->path);
  return order != 0 ? order : strcmp (a->message, b->message);
}

void
bgap_findings_sort (struct bgap_findings *findings)
{
  if (findings->count > 1)
    qsort (findings->items, findings->count, sizeof *findings->items,
           _bgap_findings_compare);
}

enum bgap_status
bgap_findings_print (const struct bgap_findings *findings,
                     struct bgap_buffer *out)
{
  enum bgap_status status = BGAP_OK;
  for (uint32_t i = 0; i < findings->count && status == BGAP_OK; i++)
    {
      const struct bgap_finding *item = &findings->items[i];
      status = bgap_buffer_printf (out, "%s:", item->file);
      if (status == BGAP_OK && item->line > 0)
        status = bgap_buffer_printf (out, "%u:%u:", item->line, item->column);
      if (status == BGAP_OK)
        status = bgap_buffer_printf (out, " %s%s%s\n    remedy: %s\n",
                                     item->path, item->path[0] ? ": " : "",
                                     item->message, item->remedy);
    }
  if (status == BGAP_OK && findings->dropped > 0)
    status = bgap_buffer_printf (out, "%u more findings are not shown\n",
                                 findings->dropped);
  return status;
}

void
bgap_findings_shutdown (struct bgap_findings *findings)
{
  free (findings->items);
  *findings = (struct bgap_findings){ 0 };
}
