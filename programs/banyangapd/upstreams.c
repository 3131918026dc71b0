#include "upstreams_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/log.h"
#include "control_call.h"

/* Connections for hellos and renewals, part of the instance's quota.  */
#define CONTROL_CONNECTIONS 2u

#define CONNECT_TIMEOUT_MS 250

/* Largest number of connection pools; a server has two.  */
#define POOLS_MAX 2048

enum bgap_status
bgap_upstreams_setup (const struct bgap_upstreams_desc *desc,
                      struct bgap_upstreams **out, struct bgap_error *err)
{
  struct bgap_upstreams *upstreams = calloc (1, sizeof *upstreams);
  if (upstreams == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "no memory for servers");
  upstreams->desc = *desc;
  LIST_INIT (&upstreams->control_calls);
  enum bgap_status status = bgap_backend_setup (
      &upstreams->backend,
      &(struct bgap_backend_desc){ .base = desc->base,
                                   .counters = desc->counters,
                                   .servers_max = POOLS_MAX,
                                   .connect_timeout_ms = CONNECT_TIMEOUT_MS },
      err);
  if (status != BGAP_OK)
    {
      free (upstreams);
      return status;
    }
  *out = upstreams;
  return BGAP_OK;
}

static void
_bgap_upstream_free (struct bgap_upstreams *upstreams,
                     struct bgap_upstream *upstream)
{
  bgap_backend_remove_server (
      upstreams->backend,
      (struct bgap_backend_server_id){ upstream->request_pool });
  bgap_backend_remove_server (
      upstreams->backend,
      (struct bgap_backend_server_id){ upstream->control_pool });
  free (upstream);
}

void
bgap_upstreams_shutdown (struct bgap_upstreams *upstreams)
{
  if (upstreams == NULL)
    return;
  struct bgap_upstream *upstream;
  struct bgap_upstream *next;
  HASH_ITER (hh, upstreams->table, upstream, next)
  {
    HASH_DEL (upstreams->table, upstream);
    _bgap_upstream_free (upstreams, upstream);
  }
  bgap_backend_shutdown (upstreams->backend);
  bgap_control_calls_shutdown (upstreams);
  struct bgap_forwarder *forwarder;
  struct bgap_forwarder *next_forwarder;
  HASH_ITER (hh, upstreams->forwarders, forwarder, next_forwarder)
  {
    HASH_DEL (upstreams->forwarders, forwarder);
    free (forwarder);
  }
  struct bgap_upstream_attempt *attempt;
  struct bgap_upstream_attempt *next_attempt;
  HASH_ITER (hh, upstreams->attempts, attempt, next_attempt)
  {
    HASH_DEL (upstreams->attempts, attempt);
    free (attempt);
  }
  free (upstreams);
}

/* Connections for requests: this instance's quota of the server's connections,
   less those for hellos and renewals.  */
static uint32_t
_bgap_upstream_connections (const struct bgap_upstream *upstream)
{
  uint32_t hosts
      = upstream->entry_hosts_max > 0 ? upstream->entry_hosts_max : 1;
  uint32_t quota = upstream->resource.connections / hosts;
  return quota > CONTROL_CONNECTIONS + 1 ? quota - CONTROL_CONNECTIONS : 1;
}

static bool
_bgap_upstream_open (struct bgap_upstreams *upstreams,
                     struct bgap_upstream *upstream)
{
  struct bgap_error err = { 0 };
  struct bgap_backend_server_id requests = { 0 };
  struct bgap_backend_server_id control = { 0 };
  const char *address = upstream->resource.address;
  if (bgap_backend_add_server (upstreams->backend, address,
                               _bgap_upstream_connections (upstream),
                               &requests, &err)
      != BGAP_OK)
    {
      bgap_log_error ("upstream", "cannot add server; server=%s reason=%s",
                      upstream->name, err.message);
      return false;
    }
  if (bgap_backend_add_server (upstreams->backend, address,
                               CONTROL_CONNECTIONS, &control, &err)
      != BGAP_OK)
    {
      bgap_backend_remove_server (upstreams->backend, requests);
      bgap_log_error ("upstream", "cannot add server; server=%s reason=%s",
                      upstream->name, err.message);
      return false;
    }
  upstream->request_pool = requests.id;
  upstream->control_pool = control.id;
  return true;
}

static void
_bgap_upstreams_remove (struct bgap_upstreams *upstreams,
                        struct bgap_upstream *upstream)
{
  upstreams->desc.removed (upstreams->desc.context, upstream);
  HASH_DEL (upstreams->table, upstream);
  _bgap_upstream_free (upstreams, upstream);
}

static void
_bgap_upstreams_add (struct bgap_upstreams *upstreams,
                     const struct bgap_upstream *from)
{
  struct bgap_upstream *upstream = calloc (1, sizeof *upstream);
  if (upstream == NULL)
    return;
  *upstream = *from;
  if (!_bgap_upstream_open (upstreams, upstream))
    {
      free (upstream);
      return;
    }
  HASH_ADD_STR (upstreams->table, name, upstream);
  upstreams->desc.added (upstreams->desc.context, upstream);
}

static void
_bgap_upstreams_set (struct bgap_upstreams *upstreams,
                     const struct bgap_upstream *configured)
{
  struct bgap_upstream *upstream
      = bgap_upstreams_find (upstreams, configured->name);
  if (upstream != NULL
      && (strcmp (upstream->resource.address, configured->resource.address)
              != 0
          || strcmp (upstream->service, configured->service) != 0
          || upstream->keyed != configured->keyed))
    {
      _bgap_upstreams_remove (upstreams, upstream);
      upstream = NULL;
    }
  if (upstream == NULL)
    {
      _bgap_upstreams_add (upstreams, configured);
      return;
    }
  upstream->stale = false;
  upstream->entry_hosts_max = configured->entry_hosts_max;
  upstream->resource = configured->resource;
  bgap_backend_set_limit (
      upstreams->backend,
      (struct bgap_backend_server_id){ upstream->request_pool },
      _bgap_upstream_connections (upstream));
  upstreams->desc.added (upstreams->desc.context, upstream);
}

static bool
_bgap_upstream_names (struct bgap_upstream *upstream,
                      const struct bgap_resource_servers *servers,
                      const char *server)
{
  int size = snprintf (upstream->name, sizeof upstream->name, "%s.%s",
                       servers->owner, server);
  if (size >= (int)sizeof upstream->name)
    return false;
  size = snprintf (upstream->service, sizeof upstream->service, "%s.%s",
                   servers->owner, servers->service);
  return size < (int)sizeof upstream->service;
}

static void
_bgap_upstreams_sync_servers (struct bgap_upstreams *upstreams,
                              const struct bgap_resource_set *set,
                              const struct bgap_resource_servers *servers)
{
  const struct bgap_resource_service *service
      = bgap_resource_find_service (set, servers->owner, servers->service);
  const struct bgap_resource_owner *owner
      = bgap_resource_find_owner (set, servers->owner);
  if (service == NULL || owner == NULL)
    return;
  for (uint32_t i = 0; i < servers->server_count; i++)
    {
      struct bgap_upstream configured = {
        .resource = servers->servers[i],
        .entry_hosts_max = owner->entry_hosts_max,
        .keyed = service->keyed,
      };
      if (_bgap_upstream_names (&configured, servers,
                                servers->servers[i].name))
        _bgap_upstreams_set (upstreams, &configured);
      else
        bgap_log_error ("upstream", "server name is too long; server=%s",
                        servers->servers[i].name);
    }
}

void
bgap_upstreams_sync (struct bgap_upstreams *upstreams,
                     const struct bgap_resource_set *set)
{
  struct bgap_upstream *upstream;
  struct bgap_upstream *next;
  HASH_ITER (hh, upstreams->table, upstream, next) upstream->stale = true;
  for (uint32_t i = 0; i < set->servers_count; i++)
    _bgap_upstreams_sync_servers (upstreams, set, &set->servers[i]);
  HASH_ITER (hh, upstreams->table, upstream, next)
  {
    if (upstream->stale)
      _bgap_upstreams_remove (upstreams, upstream);
  }
}

struct bgap_upstream *
bgap_upstreams_find (const struct bgap_upstreams *upstreams, const char *name)
{
  struct bgap_upstream *upstream;
  HASH_FIND_STR (upstreams->table, name, upstream);
  return upstream;
}

struct bgap_upstream *
bgap_upstreams_first (const struct bgap_upstreams *upstreams)
{
  return upstreams->table;
}
