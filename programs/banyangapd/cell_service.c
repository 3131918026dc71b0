#include "cell_service.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Name prefix of cells that span a region; no zone name starts with it.  */
#define REGION_PREFIX "region_"

static const char *
_bgap_zone_region (const struct bgap_resource_set *set, const char *zone)
{
  for (uint32_t i = 0; i < set->zone_count; i++)
    if (strcmp (set->zones[i].name, zone) == 0)
      return set->zones[i].region;
  return "";
}

/* Adds a cell in name order, unless the service has it already. All cells have
   the same weight: weights derived from the slots would change the home cell
   of slices with every server that is added.  */
static void
_bgap_cell_service_add (struct bgap_cell_service *service, const char *cell)
{
  uint32_t index = 0;
  while (index < service->cell_count
         && strcmp (service->cell_names[index], cell) < 0)
    index++;
  if (index < service->cell_count
      && strcmp (service->cell_names[index], cell) == 0)
    return;
  if (service->cell_count == BGAP_CELL_SERVICE_CELLS_MAX)
    return;
  memmove (service->cell_names[index + 1], service->cell_names[index],
           (service->cell_count - index) * sizeof service->cell_names[0]);
  memmove (&service->cells[index + 1], &service->cells[index],
           (service->cell_count - index) * sizeof service->cells[0]);
  snprintf (service->cell_names[index], sizeof service->cell_names[index],
            "%s", cell);
  service->cells[index].weight = 1;
  service->cell_count++;
}

static void
_bgap_cell_service_add_servers (struct bgap_cell_service *service,
                                const struct bgap_resource_set *set,
                                const struct bgap_resource_service *resource)
{
  for (uint32_t i = 0; i < set->servers_count; i++)
    {
      const struct bgap_resource_servers *servers = &set->servers[i];
      if (strcmp (servers->owner, resource->owner) != 0
          || strcmp (servers->service, resource->name) != 0)
        continue;
      for (uint32_t j = 0; j < servers->server_count; j++)
        {
          const struct bgap_resource_server *server = &servers->servers[j];
          char cell[BGAP_NAME_SIZE];
          if (service->region)
            snprintf (cell, sizeof cell, REGION_PREFIX "%.50s",
                      _bgap_zone_region (set, server->zone));
          else
            snprintf (cell, sizeof cell, "%s", server->zone);
          _bgap_cell_service_add (service, cell);
        }
    }
}

static struct bgap_cell_service *
_bgap_cell_service_new (const struct bgap_resource_set *set,
                        const struct bgap_resource_service *resource)
{
  struct bgap_cell_service *service = calloc (1, sizeof *service);
  if (service == NULL)
    return NULL;
  const struct bgap_resource_policy *policy = bgap_resource_find_policy (
      set, resource->owner, resource->ownership_policy);
  int size = snprintf (service->name, sizeof service->name, "%s.%s",
                       resource->owner, resource->name);
  service->slices = resource->slices;
  service->region
      = policy != NULL && policy->witnesses == BGAP_RESOURCE_WITNESSES_REGION;
  if (policy != NULL)
    {
      service->weights = (struct bgap_placement_weights){
        .imbalance = policy->weights.imbalance,
        .unavailable = policy->weights.unavailable,
        .churn = policy->weights.churn,
      };
      service->moves_per_minute = policy->moves_per_minute;
    }
  _bgap_cell_service_add_servers (service, set, resource);
  service->home = calloc (service->slices, sizeof *service->home);
  if (size >= (int)sizeof service->name || service->cell_count == 0
      || service->home == NULL)
    {
      free (service->home);
      free (service);
      return NULL;
    }
  for (uint32_t i = 0; i < service->cell_count; i++)
    service->cells[i].name = service->cell_names[i];
  for (uint32_t slice = 0; slice < service->slices; slice++)
    service->home[slice] = (uint8_t)bgap_home_of_slice (
        service->name, slice, service->cells, service->cell_count);
  return service;
}

struct bgap_cell_service *
bgap_cell_services_new (const struct bgap_resource_set *set)
{
  struct bgap_cell_service *services = NULL;
  for (uint32_t i = 0; i < set->service_count; i++)
    {
      if (!set->services[i].keyed || set->services[i].slices == 0)
        continue;
      struct bgap_cell_service *service
          = _bgap_cell_service_new (set, &set->services[i]);
      if (service != NULL)
        HASH_ADD_STR (services, name, service);
    }
  return services;
}

void
bgap_cell_services_free (struct bgap_cell_service **services)
{
  struct bgap_cell_service *service;
  struct bgap_cell_service *next;
  HASH_ITER (hh, *services, service, next)
  {
    HASH_DEL (*services, service);
    free (service->home);
    free (service);
  }
}

const struct bgap_cell_service *
bgap_cell_services_find (const struct bgap_cell_service *services,
                         const char *name)
{
  const struct bgap_cell_service *service;
  HASH_FIND_STR (services, name, service);
  return service;
}

/* Return: index of the cell in the service, or -1.  */
static int
_bgap_cell_service_index (const struct bgap_cell_service *service,
                          const char *cell)
{
  for (uint32_t i = 0; i < service->cell_count; i++)
    if (strcmp (service->cells[i].name, cell) == 0)
      return (int)i;
  return -1;
}

bool
bgap_cell_service_has_cell (const struct bgap_cell_service *service,
                            const char *cell)
{
  return _bgap_cell_service_index (service, cell) >= 0;
}

unsigned char *
bgap_cell_service_home_slices (const struct bgap_cell_service *service,
                               const char *cell)
{
  int index = _bgap_cell_service_index (service, cell);
  unsigned char *home = calloc (service->slices, 1);
  if (home == NULL)
    return NULL;
  for (uint32_t slice = 0; slice < service->slices; slice++)
    home[slice] = service->home[slice] == index;
  return home;
}

bool
bgap_cell_has_zone (const struct bgap_resource_set *set, const char *cell,
                    const char *zone)
{
  const size_t prefix = sizeof REGION_PREFIX - 1;
  if (strncmp (cell, REGION_PREFIX, prefix) == 0)
    return strcmp (cell + prefix, _bgap_zone_region (set, zone)) == 0;
  return strcmp (cell, zone) == 0;
}
