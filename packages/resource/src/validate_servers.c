#include <stdlib.h>
#include <string.h>

#include "report.h"
#include "validate.h"

/* A server with its indices in the set, for sorting.  */
struct bgap_validate_entry
{
  const struct bgap_resource_server *server;
  uint32_t index;
  uint32_t element;
};

static int
_bgap_validate_compare_index (const struct bgap_validate_entry *a,
                              const struct bgap_validate_entry *b)
{
  if (a->index != b->index)
    return a->index < b->index ? -1 : 1;
  return a->element < b->element ? -1 : a->element > b->element;
}

static int
_bgap_validate_compare_name (const void *a, const void *b)
{
  const struct bgap_validate_entry *left = a;
  const struct bgap_validate_entry *right = b;
  int order = strcmp (left->server->name, right->server->name);
  return order != 0 ? order : _bgap_validate_compare_index (left, right);
}

static int
_bgap_validate_compare_address (const void *a, const void *b)
{
  const struct bgap_validate_entry *left = a;
  const struct bgap_validate_entry *right = b;
  int order = strcmp (left->server->address, right->server->address);
  return order != 0 ? order : _bgap_validate_compare_index (left, right);
}

static struct bgap_report_target
_bgap_validate_at (const struct bgap_resource_set *set,
                   struct bgap_findings *findings,
                   const struct bgap_validate_entry *entry, const char *field)
{
  return (struct bgap_report_target){
    .set = set,
    .findings = findings,
    .kind = BGAP_RESOURCE_SERVERS,
    .index = entry->index,
    .element = entry->element,
    .field = field,
  };
}

static void
_bgap_validate_collisions (const struct bgap_resource_set *set,
                           struct bgap_findings *findings,
                           struct bgap_validate_entry *entries, uint32_t count)
{
  qsort (entries, count, sizeof *entries, _bgap_validate_compare_name);
  for (uint32_t i = 1; i < count; i++)
    {
      const char *name = entries[i].server->name;
      if (name[0] == '\0' || strcmp (name, entries[i - 1].server->name) != 0)
        continue;
      const struct bgap_report_target at
          = _bgap_validate_at (set, findings, &entries[i], "name");
      bgap_report_add (&at, "choose a name that no other server has",
                       "server name \"%s\" is also used in \"%s\" of \"%s\"",
                       name, set->servers[entries[i - 1].index].name,
                       set->servers[entries[i - 1].index].owner);
    }
  qsort (entries, count, sizeof *entries, _bgap_validate_compare_address);
  for (uint32_t i = 1; i < count; i++)
    {
      const char *address = entries[i].server->address;
      if (address[0] == '\0'
          || strcmp (address, entries[i - 1].server->address) != 0)
        continue;
      const struct bgap_report_target at
          = _bgap_validate_at (set, findings, &entries[i], "address");
      bgap_report_add (&at, "correct one of the addresses",
                       "address %s is that of server \"%s\"", address,
                       entries[i - 1].server->name);
    }
}

static void
_bgap_validate_server (const struct bgap_resource_set *set,
                       struct bgap_findings *findings,
                       const struct bgap_validate_entry *entry)
{
  const struct bgap_resource_server *server = entry->server;
  const char *owner_name = set->servers[entry->index].owner;
  struct bgap_report_target at
      = _bgap_validate_at (set, findings, entry, "zone");
  if (server->zone[0] != '\0'
      && bgap_resource_find_zone (set, owner_name, server->zone) == NULL
      && !bgap_validate_is_incomplete (set))
    bgap_report_add (&at, "declare it with kind: zone, or correct it",
                     "zone \"%s\" is not declared", server->zone);
  const struct bgap_resource_owner *owner
      = bgap_resource_find_owner (set, owner_name);
  at.field = "connections";
  if (owner != NULL && server->connections > 0
      && server->connections < owner->entry_hosts_max)
    bgap_report_add (&at,
                     "raise connections to entry_hosts_max of the owner or "
                     "more",
                     "%u connections leave none for some of %u entry hosts",
                     server->connections, owner->entry_hosts_max);
}

static void
_bgap_validate_list (const struct bgap_resource_set *set,
                     struct bgap_findings *findings, uint32_t index)
{
  const struct bgap_resource_servers *list = &set->servers[index];
  const struct bgap_report_target at = { .set = set,
                                         .findings = findings,
                                         .kind = BGAP_RESOURCE_SERVERS,
                                         .index = index,
                                         .field = "service" };
  if (list->service[0] != '\0'
      && bgap_resource_find_service (set, list->owner, list->service) == NULL
      && !bgap_validate_is_incomplete (set))
    bgap_report_add (&at, "declare it with kind: service, or correct it",
                     "service \"%s\" is not declared", list->service);
}

enum bgap_status
bgap_validate_servers (const struct bgap_resource_set *set,
                       struct bgap_findings *findings)
{
  const uint32_t total = bgap_array_count_servers (set);
  struct bgap_validate_entry *entries
      = calloc (total > 0 ? total : 1, sizeof *entries);
  if (entries == NULL)
    return BGAP_ERR_NO_MEMORY;
  uint32_t count = 0;
  for (uint32_t i = 0; i < set->servers_count; i++)
    {
      _bgap_validate_list (set, findings, i);
      for (uint32_t j = 0; j < set->servers[i].server_count; j++)
        {
          const struct bgap_validate_entry entry = {
            .server = &set->servers[i].servers[j],
            .index = i,
            .element = j + 1,
          };
          _bgap_validate_server (set, findings, &entry);
          entries[count++] = entry;
        }
    }
  _bgap_validate_collisions (set, findings, entries, count);
  free (entries);
  return BGAP_OK;
}
