#include "banyangap/resource/set.h"

#include <stdlib.h>
#include <string.h>

#include "array.h"
#include "positions.h"

/* Default limits.  */
#define TEXT_MAX ((size_t)1024 * 1024)
#define DOCUMENTS_MAX 4096
#define NODES_MAX 65536
#define SERVERS_MAX 16384

enum bgap_status
bgap_resource_set_setup (struct bgap_resource_set *set,
                         const struct bgap_resource_set_desc *desc)
{
  *set = (struct bgap_resource_set){
    .limits = {
      .text_max = desc->text_max ? desc->text_max : TEXT_MAX,
      .documents_max = desc->documents_max ? desc->documents_max
                                           : DOCUMENTS_MAX,
      .nodes_max = desc->nodes_max ? desc->nodes_max : NODES_MAX,
      .servers_max = desc->servers_max ? desc->servers_max : SERVERS_MAX,
    },
    .positions = calloc (1, sizeof *set->positions),
  };
  return set->positions ? BGAP_OK : BGAP_ERR_NO_MEMORY;
}

void
bgap_resource_set_shutdown (struct bgap_resource_set *set)
{
  for (uint32_t i = 0; i < set->servers_count; i++)
    free (set->servers[i].servers);
  free (set->owners);
  free (set->zones);
  free (set->policies);
  free (set->services);
  free (set->servers);
  bgap_resource_free_positions (set);
  *set = (struct bgap_resource_set){ 0 };
}

void
bgap_resource_free_positions (struct bgap_resource_set *set)
{
  bgap_positions_free (set->positions);
  set->positions = NULL;
}

static enum bgap_status
_bgap_set_copy_servers (struct bgap_resource_servers *to)
{
  const struct bgap_resource_server *from = to->servers;
  to->servers = NULL;
  if (to->server_count == 0)
    return BGAP_OK;
  struct bgap_resource_server *servers
      = calloc (to->server_count, sizeof *servers);
  if (servers == NULL)
    return BGAP_ERR_NO_MEMORY;
  memcpy (servers, from, to->server_count * sizeof *servers);
  to->servers = servers;
  return BGAP_OK;
}

enum bgap_status
bgap_resource_copy (struct bgap_resource_set *set,
                    const struct bgap_resource_set *from, const char *owner)
{
  for (int kind = 0; kind < BGAP_RESOURCE_KIND_COUNT; kind++)
    for (uint32_t i = 0; i < bgap_array_count (from, kind); i++)
      {
        const void *item = bgap_array_item (from, kind, i);
        if (owner != NULL && strcmp (bgap_array_owner (item), owner) != 0)
          continue;
        void *copy = bgap_array_add (set, kind);
        if (copy == NULL)
          return BGAP_ERR_NO_MEMORY;
        memcpy (copy, item, bgap_schema_kinds[kind]->size);
        if (kind == BGAP_RESOURCE_SERVERS
            && _bgap_set_copy_servers (copy) != BGAP_OK)
          return BGAP_ERR_NO_MEMORY;
      }
  return BGAP_OK;
}

const struct bgap_resource_owner *
bgap_resource_find_owner (const struct bgap_resource_set *set,
                          const char *name)
{
  int64_t i = bgap_array_find (set, BGAP_RESOURCE_OWNER, name, name,
                               set->owner_count);
  return i < 0 ? NULL : &set->owners[i];
}

const struct bgap_resource_zone *
bgap_resource_find_zone (const struct bgap_resource_set *set,
                         const char *owner, const char *name)
{
  int64_t i = bgap_array_find (set, BGAP_RESOURCE_ZONE, owner, name,
                               set->zone_count);
  return i < 0 ? NULL : &set->zones[i];
}

const struct bgap_resource_policy *
bgap_resource_find_policy (const struct bgap_resource_set *set,
                           const char *owner, const char *name)
{
  int64_t i = bgap_array_find (set, BGAP_RESOURCE_POLICY, owner, name,
                               set->policy_count);
  return i < 0 ? NULL : &set->policies[i];
}

const struct bgap_resource_service *
bgap_resource_find_service (const struct bgap_resource_set *set,
                            const char *owner, const char *name)
{
  int64_t i = bgap_array_find (set, BGAP_RESOURCE_SERVICE, owner, name,
                               set->service_count);
  return i < 0 ? NULL : &set->services[i];
}

uint32_t
bgap_resource_count_servers (const struct bgap_resource_set *set,
                             const char *owner, const char *service,
                             uint64_t *slots)
{
  uint32_t count = 0;
  uint64_t sum = 0;
  for (uint32_t i = 0; i < set->servers_count; i++)
    {
      const struct bgap_resource_servers *list = &set->servers[i];
      if (strcmp (list->service, service) != 0
          || strcmp (list->owner, owner) != 0)
        continue;
      count += list->server_count;
      for (uint32_t j = 0; j < list->server_count; j++)
        sum += list->servers[j].slots;
    }
  if (slots != NULL)
    *slots = sum;
  return count;
}
