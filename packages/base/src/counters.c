#include "banyangap/base/counters.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_CAPACITY 512u

struct bgap_counter
{
  char name[BGAP_COUNTER_NAME_SIZE];
  char labels[BGAP_COUNTER_LABELS_SIZE];
  uint64_t value;
};

enum bgap_status
bgap_counters_setup (struct bgap_counters *counters,
                     const struct bgap_counters_desc *desc)
{
  uint32_t capacity = desc->capacity ? desc->capacity : DEFAULT_CAPACITY;
  *counters = (struct bgap_counters){
    .capacity = capacity,
    .items = calloc (capacity, sizeof *counters->items),
  };
  return counters->items ? BGAP_OK : BGAP_ERR_NO_MEMORY;
}

void
bgap_counters_shutdown (struct bgap_counters *counters)
{
  free (counters->items);
  *counters = (struct bgap_counters){ 0 };
}

uint64_t *
bgap_counters_get (struct bgap_counters *counters, const char *name,
                   const char *labels)
{
  for (uint32_t i = 0; i < counters->count; i++)
    {
      struct bgap_counter *item = &counters->items[i];
      if (strcmp (item->name, name) == 0 && strcmp (item->labels, labels) == 0)
        return &item->value;
    }
  if (counters->count == counters->capacity)
    return &counters->overflow;
  struct bgap_counter *item = &counters->items[counters->count++];
  snprintf (item->name, sizeof item->name, "%s", name);
  snprintf (item->labels, sizeof item->labels, "%s", labels);
  return &item->value;
}

enum bgap_status
bgap_counters_print (const struct bgap_counters *counters,
                     struct bgap_buffer *out)
{
  for (uint32_t i = 0; i < counters->count; i++)
    {
      const struct bgap_counter *item = &counters->items[i];
      enum bgap_status status;
      if (item->labels[0] != '\0')
        status = bgap_buffer_printf (out, "%s{%s} %" PRIu64 "\n", item->name,
                                     item->labels, item->value);
      else
        status = bgap_buffer_printf (out, "%s %" PRIu64 "\n", item->name,
                                     item->value);
      if (status != BGAP_OK)
        return status;
    }
  return bgap_buffer_printf (out, "bgap_counters_overflow_total %" PRIu64 "\n",
                             counters->overflow);
}
