#include "cells.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "banyangap/base/log.h"
#include "banyangap/base/random.h"
#include "banyangap/ownership/home.h"
#include "cell.h"
#include "cell_service.h"
#include "now.h"

/* The engine needs a tick at least every 20 ms.  */
#define TICK_MS 10

struct bgap_cells
{
  struct bgap_cells_desc desc;
  struct event *timer;
  struct bgap_cell *list;
  struct bgap_cell_service *services;
  uint64_t incarnation;
  bool leaving;
};

static void
_bgap_cells_on_timer (evutil_socket_t fd, short what, void *context)
{
  struct bgap_cells *cells = context;
  (void)fd;
  (void)what;
  for (struct bgap_cell *cell = cells->list; cell != NULL; cell = cell->next)
    {
      bgap_engine_tick (cell->engine, bgap_now_ms ());
      bgap_placer_apply (cell->placer, cell->engine, bgap_now_ms ());
      bgap_cell_run (cell);
    }
}

enum bgap_status
bgap_cells_setup (const struct bgap_cells_desc *desc, struct bgap_cells **out,
                  struct bgap_error *err)
{
  struct bgap_cells *cells = calloc (1, sizeof *cells);
  if (cells == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "no memory for cells");
  cells->desc = *desc;
  cells->incarnation = bgap_random_seed () | 1;
  cells->timer
      = event_new (desc->base, -1, EV_PERSIST, _bgap_cells_on_timer, cells);
  if (cells->timer == NULL)
    {
      free (cells);
      return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "no memory for cells");
    }
  const struct timeval interval = bgap_timeval (TICK_MS);
  event_add (cells->timer, &interval);
  *out = cells;
  return BGAP_OK;
}

void
bgap_cells_shutdown (struct bgap_cells *cells)
{
  if (cells == NULL)
    return;
  event_free (cells->timer);
  bgap_cell_services_free (&cells->services);
  while (cells->list != NULL)
    {
      struct bgap_cell *cell = cells->list;
      cells->list = cell->next;
      bgap_cell_free (cell);
    }
  free (cells);
}

static struct bgap_cell *
_bgap_cells_find (const struct bgap_cells *cells, const char *name)
{
  for (struct bgap_cell *cell = cells->list; cell != NULL; cell = cell->next)
    if (strcmp (cell->name, name) == 0)
      return cell;
  return NULL;
}

/* Return: the cell, created if necessary, or NULL on failure.  */
static struct bgap_cell *
_bgap_cells_get (struct bgap_cells *cells, const char *name, bool region)
{
  struct bgap_cell *cell = _bgap_cells_find (cells, name);
  if (cell != NULL)
    return cell;
  cell = bgap_cell_new (&cells->desc, name, cells->incarnation,
                        region ? BGAP_WITNESSES_REGION : BGAP_WITNESSES_ZONE);
  if (cell == NULL)
    return NULL;
  cell->next = cells->list;
  cells->list = cell;
  return cell;
}

static void
_bgap_cells_sync_members (struct bgap_cells *cells,
                          const struct bgap_resource_set *set,
                          struct bgap_cell *cell, int64_t now_ms)
{
  struct bgap_engine_member members[BGAP_ENGINE_MEMBERS_MAX];
  uint32_t count = 0;
  for (uint32_t i = 0; i < bgap_members_count (cells->desc.members); i++)
    {
      const struct bgap_member *member
          = bgap_members_at (cells->desc.members, i);
      if (member->role != BGAP_HOST_ENTRY
          || !bgap_cell_has_zone (set, cell->name, member->zone))
        continue;
      if (count == BGAP_ENGINE_MEMBERS_MAX)
        {
          bgap_log_error ("ownership",
                          "too many members, the rest is ignored; cell=%s",
                          cell->name);
          break;
        }
      members[count++] = (struct bgap_engine_member){
        .name = member->name,
        .zone = member->zone,
        .leaving = member->leaving,
      };
    }
  if (bgap_engine_set_members (cell->engine, members, count, now_ms)
      != BGAP_OK)
    bgap_log_error ("ownership", "engine refused the members; cell=%s",
                    cell->name);
}

static bool
_bgap_cells_is_leaving (const struct bgap_cells *cells,
                        const struct bgap_upstream *upstream)
{
  /* An instance holds the lease for a server that does not check grants, so
     the lease does not expire when the server is lost. The lost server is
     therefore treated as leaving.  */
  bool lost = upstream->lost && !upstream->resource.checks_grants;
  return lost || upstream->resource.draining
         || bgap_members_server_leaving (cells->desc.members,
                                         upstream->resource.address);
}

static void
_bgap_cells_sync_servers (struct bgap_cells *cells,
                          const struct bgap_resource_set *set,
                          struct bgap_cell *cell, int64_t now_ms)
{
  struct bgap_engine_server servers[BGAP_ENGINE_SERVERS_MAX];
  uint32_t count = 0;
  for (const struct bgap_upstream *upstream
       = bgap_upstreams_first (cells->desc.upstreams);
       upstream != NULL; upstream = upstream->hh.next)
    {
      const struct bgap_cell_service *service
          = bgap_cell_services_find (cells->services, upstream->service);
      if (service == NULL || !bgap_cell_service_has_cell (service, cell->name)
          || !bgap_cell_has_zone (set, cell->name, upstream->resource.zone)
          || count == BGAP_ENGINE_SERVERS_MAX)
        continue;
      servers[count++] = (struct bgap_engine_server){
        .name = upstream->name,
        .zone = upstream->resource.zone,
        .service = upstream->service,
        .slots = upstream->resource.slots,
        .unfenced = !upstream->resource.checks_grants,
        .leaving = _bgap_cells_is_leaving (cells, upstream),
      };
    }
  if (bgap_engine_set_servers (cell->engine, servers, count, now_ms)
      != BGAP_OK)
    bgap_log_error ("ownership", "engine refused the servers; cell=%s",
                    cell->name);
}

static void
_bgap_cells_sync_services (struct bgap_cells *cells, struct bgap_cell *cell,
                           int64_t now_ms)
{
  struct bgap_engine_service services[BGAP_ENGINE_SERVICES_MAX] = { 0 };
  unsigned char *homes[BGAP_ENGINE_SERVICES_MAX] = { 0 };
  uint32_t count = 0;
  for (const struct bgap_cell_service *service = cells->services;
       service != NULL; service = service->hh.next)
    {
      if (!bgap_cell_service_has_cell (service, cell->name)
          || count == BGAP_ENGINE_SERVICES_MAX)
        continue;
      bgap_placer_set_service (cell->placer, service->name, &service->weights,
                               service->moves_per_minute);
      homes[count] = bgap_cell_service_home_slices (service, cell->name);
      services[count] = (struct bgap_engine_service){
        .name = service->name,
        .slices = service->slices,
        .home = homes[count],
      };
      count++;
    }
  if (bgap_engine_set_services (cell->engine, services, count, now_ms)
      != BGAP_OK)
    bgap_log_error ("ownership", "engine refused the services; cell=%s",
                    cell->name);
  for (uint32_t i = 0; i < count; i++)
    free (homes[i]);
}

void
bgap_cells_sync (struct bgap_cells *cells, const struct bgap_resource_set *set,
                 int64_t version)
{
  int64_t now_ms = bgap_now_ms ();
  bgap_cell_services_free (&cells->services);
  cells->services = bgap_cell_services_new (set);
  for (const struct bgap_cell_service *service = cells->services;
       service != NULL; service = service->hh.next)
    for (uint32_t i = 0; i < service->cell_count; i++)
      _bgap_cells_get (cells, service->cells[i].name, service->region);
  for (struct bgap_cell *cell = cells->list; cell != NULL; cell = cell->next)
    {
      _bgap_cells_sync_members (cells, set, cell, now_ms);
      _bgap_cells_sync_services (cells, cell, now_ms);
      _bgap_cells_sync_servers (cells, set, cell, now_ms);
      bgap_engine_set_config (cell->engine, (uint64_t)version);
      if (cells->leaving)
        bgap_engine_leave (cell->engine, now_ms);
      bgap_cell_run (cell);
    }
}

void
bgap_cells_on_peer (struct bgap_cells *cells, const char *from,
                    const void *bytes, size_t size)
{
  const char *name = bytes;
  size_t name_size = strnlen (name, size);
  if (name_size == size)
    return;
  struct bgap_cell *cell = _bgap_cells_find (cells, name);
  if (cell == NULL)
    return;
  if (bgap_engine_on_peer_message (cell->engine, from, name + name_size + 1,
                                   size - name_size - 1, bgap_now_ms ())
      != BGAP_OK)
    bgap_log_warn ("ownership", "malformed message of a peer; from=%s cell=%s",
                   from, cell->name);
  bgap_cell_run (cell);
}

bool
bgap_cells_lookup (struct bgap_cells *cells, const char *service_name,
                   const void *key, size_t size, struct bgap_cell_route *route)
{
  const struct bgap_cell_service *service
      = bgap_cell_services_find (cells->services, service_name);
  if (service == NULL)
    return false;
  *route = (struct bgap_cell_route){ 0 };
  route->slice = bgap_slice_of_key (key, size, service->slices);
  snprintf (route->cell, sizeof route->cell, "%s",
            service->cells[service->home[route->slice]].name);
  struct bgap_cell *cell = _bgap_cells_find (cells, route->cell);
  struct bgap_engine_route found;
  if (cell == NULL
      || bgap_engine_lookup (cell->engine, service_name, key, size, &found)
             != BGAP_OK)
    return true;
  snprintf (route->server, sizeof route->server, "%s", found.server);
  snprintf (route->via, sizeof route->via, "%s",
            found.via != NULL ? found.via : "");
  route->slice = found.slice;
  route->entry = found.entry;
  route->token = found.token;
  route->held = true;
  const struct bgap_scope *scope
      = bgap_replica_scope (bgap_engine_replica (cell->engine), service_name);
  route->hot = scope != NULL && bgap_scope_find_key (scope, key, size) != NULL;
  return true;
}

void
bgap_cells_count_request (struct bgap_cells *cells,
                          const struct bgap_cell_route *route,
                          const char *service, const void *key, size_t size)
{
  struct bgap_cell *cell = _bgap_cells_find (cells, route->cell);
  if (cell == NULL || !route->held)
    return;
  const struct bgap_engine_route counted
      = { .slice = route->slice, .entry = route->entry };
  bgap_engine_count_request (cell->engine, service, &counted);
  bgap_placer_count_request (cell->placer, service, bgap_now_ms (), key, size);
}

bool
bgap_cells_begin_request (struct bgap_cells *cells,
                          const struct bgap_cell_route *route,
                          const char *service, const void *key, size_t size,
                          uint32_t *request)
{
  struct bgap_cell *cell = _bgap_cells_find (cells, route->cell);
  return cell != NULL
         && bgap_engine_begin_request (cell->engine, route->server, service,
                                       key, size, route->token, bgap_now_ms (),
                                       request)
                == BGAP_HOLDER_OK;
}

void
bgap_cells_end_request (struct bgap_cells *cells,
                        const struct bgap_cell_route *route, uint32_t request)
{
  struct bgap_cell *cell = _bgap_cells_find (cells, route->cell);
  if (cell != NULL)
    bgap_engine_end_request (cell->engine, route->server, request);
}

void
bgap_cells_leave (struct bgap_cells *cells)
{
  cells->leaving = true;
  for (struct bgap_cell *cell = cells->list; cell != NULL; cell = cell->next)
    {
      bgap_engine_leave (cell->engine, bgap_now_ms ());
      bgap_cell_run (cell);
    }
}

bool
bgap_cells_may_exit (const struct bgap_cells *cells)
{
  for (const struct bgap_cell *cell = cells->list; cell != NULL;
       cell = cell->next)
    if (!bgap_engine_may_exit (cell->engine))
      return false;
  return true;
}

json_t *
bgap_cells_dump (const struct bgap_cells *cells)
{
  json_t *dump = json_object ();
  for (const struct bgap_cell *cell = cells->list; cell != NULL;
       cell = cell->next)
    {
      struct bgap_buffer text = { 0 };
      if (bgap_engine_dump (cell->engine, &text) == BGAP_OK)
        json_object_set_new (dump, cell->name,
                             json_loadb (text.data, text.size, 0, NULL));
      bgap_buffer_shutdown (&text);
    }
  return dump;
}
