#include "faults.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "now.h"

#define NAME_SIZE 64
#define MESSAGE_SIZE 128

struct entry
{
  char owner[NAME_SIZE];
  char service[NAME_SIZE];
  char server[NAME_SIZE];
  char kind[NAME_SIZE];
  char message[MESSAGE_SIZE];
  int64_t since_ms;
  int64_t last_ms;
  uint64_t count;
};

struct bgap_faults
{
  struct entry entries[BGAP_FAULTS_MAX];
  uint32_t count;
};

enum bgap_status
bgap_faults_setup (struct bgap_faults **out)
{
  *out = calloc (1, sizeof **out);
  return *out != NULL ? BGAP_OK : BGAP_ERR_NO_MEMORY;
}

void
bgap_faults_shutdown (struct bgap_faults *faults)
{
  free (faults);
}

static struct entry *
_bgap_faults_find (struct bgap_faults *faults, const struct bgap_fault *fault)
{
  for (uint32_t i = 0; i < faults->count; i++)
    {
      struct entry *entry = &faults->entries[i];
      if (strcmp (entry->owner, fault->owner) == 0
          && strcmp (entry->service, fault->service) == 0
          && strcmp (entry->server, fault->server) == 0
          && strcmp (entry->kind, fault->kind) == 0)
        return entry;
    }
  return NULL;
}

static struct entry *
_bgap_faults_new (struct bgap_faults *faults)
{
  if (faults->count < BGAP_FAULTS_MAX)
    return &faults->entries[faults->count++];
  struct entry *oldest = &faults->entries[0];
  for (uint32_t i = 1; i < faults->count; i++)
    if (faults->entries[i].last_ms < oldest->last_ms)
      oldest = &faults->entries[i];
  return oldest;
}

void
bgap_faults_add (struct bgap_faults *faults, const struct bgap_fault *fault)
{
  struct entry *entry = _bgap_faults_find (faults, fault);
  int64_t wall_ms = bgap_wall_ms ();
  if (entry == NULL)
    {
      entry = _bgap_faults_new (faults);
      *entry = (struct entry){ .since_ms = wall_ms };
      snprintf (entry->owner, sizeof entry->owner, "%s", fault->owner);
      snprintf (entry->service, sizeof entry->service, "%s", fault->service);
      snprintf (entry->server, sizeof entry->server, "%s", fault->server);
      snprintf (entry->kind, sizeof entry->kind, "%s", fault->kind);
    }
  snprintf (entry->message, sizeof entry->message, "%s", fault->message);
  entry->last_ms = wall_ms;
  entry->count++;
}

json_t *
bgap_faults_report (const struct bgap_faults *faults, const char *owner)
{
  json_t *array = json_array ();
  for (uint32_t i = 0; i < faults->count; i++)
    {
      const struct entry *entry = &faults->entries[i];
      if (strcmp (entry->owner, owner) != 0)
        continue;
      json_array_append_new (
          array,
          json_pack ("{s:I, s:I, s:s, s:s, s:s, s:I, s:s}", "since_ms",
                     (json_int_t)entry->since_ms, "last_ms",
                     (json_int_t)entry->last_ms, "service", entry->service,
                     "server", entry->server, "kind", entry->kind, "count",
                     (json_int_t)entry->count, "message", entry->message));
    }
  return array;
}
