#include "banyangap/registry/route_table.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <uthash.h>

#define INITIAL_CAPACITY 16u

/* Step of the weighted round robin. It has no common factor with most sums of
   weights, so that the services alternate.  */
#define CURSOR_STEP 61u

/**
 * struct bgap_route_host - routes of a host, sorted by decreasing length of
 * the prefix
 * @first, @count: its routes in the table
 */
struct bgap_route_host
{
  const char *name;
  uint32_t first;
  uint32_t count;
  UT_hash_handle hh;
};

struct bgap_route_table *
bgap_route_table_new (void)
{
  return calloc (1, sizeof (struct bgap_route_table));
}

static void
_bgap_route_shutdown (struct bgap_route *route)
{
  free ((char *)route->desc.host);
  free ((char *)route->desc.prefix);
  free ((char *)route->desc.name);
  free (route->targets);
}

void
bgap_route_table_free (struct bgap_route_table *table)
{
  struct bgap_route_host *host;
  struct bgap_route_host *next;
  if (table == NULL)
    return;
  HASH_ITER (hh, table->hosts, host, next)
  {
    HASH_DEL (table->hosts, host);
    free (host);
  }
  for (uint32_t i = 0; i < table->route_count; i++)
    _bgap_route_shutdown (&table->routes[i]);
  free (table->routes);
  free (table->services);
  free (table);
}

static bool
_bgap_route_table_grow (struct bgap_route_table *table)
{
  if (table->route_count < table->route_capacity)
    return true;
  uint32_t capacity
      = table->route_capacity ? 2 * table->route_capacity : INITIAL_CAPACITY;
  struct bgap_route *routes
      = realloc (table->routes, capacity * sizeof *routes);
  if (routes == NULL)
    return false;
  table->routes = routes;
  table->route_capacity = capacity;
  return true;
}

static char *
_bgap_route_to_lower (const char *text)
{
  char *copy = strdup (text);
  for (char *c = copy; c != NULL && *c != '\0'; c++)
    *c = (char)tolower ((unsigned char)*c);
  return copy;
}

struct bgap_route *
bgap_route_table_add (struct bgap_route_table *table,
                      const struct bgap_route_desc *desc)
{
  if (!_bgap_route_table_grow (table))
    return NULL;
  struct bgap_route route = { .desc = *desc };
  route.desc.host = _bgap_route_to_lower (desc->host);
  route.desc.prefix = strdup (desc->prefix);
  route.desc.name = strdup (desc->name);
  route.prefix_size = strlen (desc->prefix);
  if (route.desc.host == NULL || route.desc.prefix == NULL
      || route.desc.name == NULL)
    {
      _bgap_route_shutdown (&route);
      return NULL;
    }
  table->routes[table->route_count] = route;
  return &table->routes[table->route_count++];
}

bool
bgap_route_add_target (struct bgap_route *route, const char *service,
                       uint32_t weight)
{
  if (strlen (service) >= BGAP_REGISTRY_NAME_SIZE)
    return false;
  size_t size = (route->target_count + 1) * sizeof *route->targets;
  struct bgap_route_target *targets = realloc (route->targets, size);
  if (targets == NULL)
    return false;
  route->targets = targets;
  struct bgap_route_target *target = &targets[route->target_count++];
  *target = (struct bgap_route_target){ .weight = weight };
  snprintf (target->service, sizeof target->service, "%s", service);
  route->weight_total += weight;
  return true;
}

bool
bgap_route_table_add_service (struct bgap_route_table *table,
                              const struct bgap_routed_service *service)
{
  size_t size = (table->service_count + 1) * sizeof *table->services;
  struct bgap_routed_service *services = realloc (table->services, size);
  if (services == NULL)
    return false;
  table->services = services;
  services[table->service_count++] = *service;
  return true;
}

/* Sorts by host, then by decreasing length of the prefix.  */
static int
_bgap_route_compare (const void *left, const void *right)
{
  const struct bgap_route *a = left;
  const struct bgap_route *b = right;
  int order = strcmp (a->desc.host, b->desc.host);
  if (order != 0)
    return order;
  return (a->prefix_size < b->prefix_size) - (a->prefix_size > b->prefix_size);
}

bool
bgap_route_table_seal (struct bgap_route_table *table)
{
  if (table->route_count > 0)
    qsort (table->routes, table->route_count, sizeof *table->routes,
           _bgap_route_compare);
  struct bgap_route_host *host = NULL;
  for (uint32_t i = 0; i < table->route_count; i++)
    {
      const char *name = table->routes[i].desc.host;
      if (host != NULL && strcmp (host->name, name) == 0)
        {
          host->count++;
          continue;
        }
      host = calloc (1, sizeof *host);
      if (host == NULL)
        return false;
      *host = (struct bgap_route_host){ .name = name, .first = i, .count = 1 };
      HASH_ADD_KEYPTR (hh, table->hosts, host->name, strlen (host->name),
                       host);
    }
  return true;
}

struct bgap_route *
bgap_route_table_find (const struct bgap_route_table *table, const char *host,
                       const char *target)
{
  char name[256];
  size_t size = strcspn (host, ":");
  struct bgap_route_host *found;
  if (size >= sizeof name)
    return NULL;
  for (size_t i = 0; i < size; i++)
    name[i] = (char)tolower ((unsigned char)host[i]);
  HASH_FIND (hh, table->hosts, name, size, found);
  if (found == NULL)
    return NULL;
  size_t path_size = strcspn (target, "?");
  for (uint32_t i = found->first; i < found->first + found->count; i++)
    {
      struct bgap_route *route = &table->routes[i];
      if (route->prefix_size <= path_size
          && memcmp (route->desc.prefix, target, route->prefix_size) == 0)
        return route;
    }
  return NULL;
}

const struct bgap_routed_service *
bgap_route_table_service (const struct bgap_route_table *table,
                          const char *name)
{
  for (uint32_t i = 0; i < table->service_count; i++)
    if (strcmp (table->services[i].name, name) == 0)
      return &table->services[i];
  return NULL;
}

const char *
bgap_route_look_service (const struct bgap_route *route)
{
  if (route->weight_total == 0)
    return route->targets[0].service;
  uint32_t position = route->cursor % route->weight_total;
  for (uint32_t i = 0; i < route->target_count; i++)
    {
      if (position < route->targets[i].weight)
        return route->targets[i].service;
      position -= route->targets[i].weight;
    }
  return route->targets[0].service;
}

const char *
bgap_route_next_service (struct bgap_route *route)
{
  const char *service = bgap_route_look_service (route);
  if (route->weight_total > 0)
    route->cursor = (route->cursor % route->weight_total + CURSOR_STEP)
                    % route->weight_total;
  return service;
}
