#include "upstreams.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/log.h"
#include "banyangap/gateway/backend.h"

/* Connections for hellos and renewals, taken from the instance's quota.  */
#define CONTROL_CONNECTIONS 2u

#define CONNECT_TIMEOUT_MS 250

/* Two pools per server.  */
#define POOLS_MAX 2048

/* User's part of an attempt.  */
struct attempt
{
  uint32_t id;
  struct bgap_upstreams *upstreams;
  const struct bgap_call_ops *ops;
  void *user;
  UT_hash_handle hh;
};

/* Connections to one instance that forwards requests.  */
#define RELAY_CONNECTIONS 64u

/* An instance that forwards requests.  */
struct relay
{
  char name[BGAP_UPSTREAM_NAME_SIZE];
  char address[BGAP_RESOURCE_ADDRESS_SIZE];
  struct bgap_backend_server_id pool;
  UT_hash_handle hh;
};

struct bgap_upstreams
{
  struct bgap_upstreams_desc desc;
  struct bgap_backend *backend;
  struct bgap_upstream *table;
  struct attempt *attempts;
  struct relay *relays;
};

enum bgap_status
bgap_upstreams_setup (const struct bgap_upstreams_desc *desc,
                      struct bgap_upstreams **out, struct bgap_error *err)
{
  struct bgap_upstreams *upstreams = calloc (1, sizeof *upstreams);
  if (upstreams == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "no memory for servers");
  upstreams->desc = *desc;
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
  struct relay *relay;
  struct relay *relay_after;
  HASH_ITER (hh, upstreams->relays, relay, relay_after)
  {
    HASH_DEL (upstreams->relays, relay);
    free (relay);
  }
  struct attempt *attempt;
  struct attempt *after;
  HASH_ITER (hh, upstreams->attempts, attempt, after)
  {
    HASH_DEL (upstreams->attempts, attempt);
    free (attempt);
  }
  free (upstreams);
}

/* Connections for requests: the quota without those for control.  */
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
      bgap_log_error ("upstream", "cannot add a server; server=%s reason=%s",
                      upstream->name, err.message);
      return false;
    }
  if (bgap_backend_add_server (upstreams->backend, address,
                               CONTROL_CONNECTIONS, &control, &err)
      != BGAP_OK)
    {
      bgap_backend_remove_server (upstreams->backend, requests);
      bgap_log_error ("upstream", "cannot add a server; server=%s reason=%s",
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
                     const struct bgap_upstream *wanted)
{
  struct bgap_upstream *upstream
      = bgap_upstreams_find (upstreams, wanted->name);
  if (upstream != NULL
      && (strcmp (upstream->resource.address, wanted->resource.address) != 0
          || strcmp (upstream->service, wanted->service) != 0
          || upstream->keyed != wanted->keyed))
    {
      _bgap_upstreams_remove (upstreams, upstream);
      upstream = NULL;
    }
  if (upstream == NULL)
    {
      _bgap_upstreams_add (upstreams, wanted);
      return;
    }
  upstream->stale = false;
  upstream->entry_hosts_max = wanted->entry_hosts_max;
  upstream->resource = wanted->resource;
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
      struct bgap_upstream wanted = {
        .resource = servers->servers[i],
        .entry_hosts_max = owner->entry_hosts_max,
        .keyed = service->keyed,
      };
      if (_bgap_upstream_names (&wanted, servers, servers->servers[i].name))
        _bgap_upstreams_set (upstreams, &wanted);
      else
        bgap_log_error ("upstream", "name is too long; server=%s",
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

static void
_bgap_upstream_on_head (void *user, struct bgap_backend_attempt_id id,
                        int status, const struct bgap_headers *headers)
{
  const struct attempt *attempt = user;
  (void)id;
  attempt->ops->head (attempt->user, status, headers);
}

static void
_bgap_upstream_on_body (void *user, struct bgap_backend_attempt_id id,
                        const void *bytes, size_t size)
{
  const struct attempt *attempt = user;
  (void)id;
  attempt->ops->body (attempt->user, bytes, size);
}

static void
_bgap_upstream_end (struct attempt *attempt, enum bgap_call_end end)
{
  const struct bgap_call_ops *ops = attempt->ops;
  void *user = attempt->user;
  HASH_DEL (attempt->upstreams->attempts, attempt);
  free (attempt);
  ops->end (user, end);
}

static void
_bgap_upstream_on_complete (void *user, struct bgap_backend_attempt_id id)
{
  (void)id;
  _bgap_upstream_end (user, BGAP_CALL_COMPLETE);
}

static void
_bgap_upstream_on_refused (void *user, struct bgap_backend_attempt_id id,
                           enum bgap_refusal refusal)
{
  static const enum bgap_call_end ends[BGAP_REFUSAL_COUNT] = {
    [BGAP_REFUSAL_NONE] = BGAP_CALL_BROKEN,
    [BGAP_REFUSAL_FENCED] = BGAP_CALL_FENCED,
    [BGAP_REFUSAL_SHED] = BGAP_CALL_SHED,
    [BGAP_REFUSAL_DRAINING] = BGAP_CALL_DRAINING,
  };
  (void)id;
  _bgap_upstream_end (user, ends[refusal]);
}

static void
_bgap_upstream_on_failed (void *user, struct bgap_backend_attempt_id id,
                          const struct bgap_backend_failure *failure)
{
  enum bgap_call_end end = BGAP_CALL_BROKEN;
  (void)id;
  if (failure->kind == BGAP_FAILURE_DEADLINE)
    end = BGAP_CALL_TIMEOUT;
  if (!failure->sent)
    end = BGAP_CALL_NO_CONNECT;
  _bgap_upstream_end (user, end);
}

static const struct bgap_backend_ops backend_ops = {
  .head = _bgap_upstream_on_head,
  .body = _bgap_upstream_on_body,
  .complete = _bgap_upstream_on_complete,
  .refused = _bgap_upstream_on_refused,
  .failed = _bgap_upstream_on_failed,
};

void
bgap_upstreams_set_relay (struct bgap_upstreams *upstreams, const char *name,
                          const char *address)
{
  struct bgap_error err = { 0 };
  struct relay *relay;
  HASH_FIND_STR (upstreams->relays, name, relay);
  if (relay != NULL && strcmp (relay->address, address) == 0)
    return;
  if (relay != NULL)
    {
      bgap_backend_remove_server (upstreams->backend, relay->pool);
      HASH_DEL (upstreams->relays, relay);
      free (relay);
    }
  relay = calloc (1, sizeof *relay);
  if (relay == NULL)
    return;
  snprintf (relay->name, sizeof relay->name, "%s", name);
  snprintf (relay->address, sizeof relay->address, "%s", address);
  if (bgap_backend_add_server (upstreams->backend, address, RELAY_CONNECTIONS,
                               &relay->pool, &err)
      != BGAP_OK)
    {
      bgap_log_error ("upstream", "cannot add an instance; name=%s reason=%s",
                      name, err.message);
      free (relay);
      return;
    }
  HASH_ADD_STR (upstreams->relays, name, relay);
}

static enum bgap_status
_bgap_upstream_pool (const struct bgap_upstreams *upstreams,
                     const struct bgap_upstream *upstream,
                     const struct bgap_call *call,
                     struct bgap_backend_server_id *pool)
{
  pool->id = call->control ? upstream->control_pool : upstream->request_pool;
  if (call->relay == NULL)
    return BGAP_OK;
  const struct relay *relay;
  HASH_FIND_STR (upstreams->relays, call->relay, relay);
  if (relay == NULL)
    return BGAP_ERR_NOT_FOUND;
  *pool = relay->pool;
  return BGAP_OK;
}

enum bgap_status
bgap_upstream_call (struct bgap_upstreams *upstreams,
                    const struct bgap_upstream *upstream,
                    const struct bgap_call *call, uint32_t *id)
{
  struct bgap_backend_server_id pool;
  enum bgap_status status
      = _bgap_upstream_pool (upstreams, upstream, call, &pool);
  if (status != BGAP_OK)
    return status;
  struct attempt *attempt = calloc (1, sizeof *attempt);
  if (attempt == NULL)
    return BGAP_ERR_NO_MEMORY;
  attempt->upstreams = upstreams;
  attempt->ops = call->ops;
  attempt->user = call->user;
  const struct bgap_backend_request request = {
    .method = call->method,
    .target = call->target,
    .headers = call->headers,
    .body = call->body,
    .body_size = call->body_size,
    .deadline_ms = call->deadline_ms,
    .ops = &backend_ops,
    .user = attempt,
  };
  struct bgap_backend_attempt_id attempt_id = { 0 };
  status = bgap_backend_send (upstreams->backend, pool, &request, &attempt_id);
  if (status != BGAP_OK)
    {
      free (attempt);
      return status;
    }
  attempt->id = attempt_id.id;
  HASH_ADD_INT (upstreams->attempts, id, attempt);
  *id = attempt->id;
  return BGAP_OK;
}

void
bgap_upstreams_cancel (struct bgap_upstreams *upstreams, uint32_t id)
{
  struct attempt *attempt;
  HASH_FIND_INT (upstreams->attempts, &id, attempt);
  if (attempt == NULL)
    return;
  bgap_backend_cancel (upstreams->backend,
                       (struct bgap_backend_attempt_id){ id });
  HASH_DEL (upstreams->attempts, attempt);
  free (attempt);
}

void
bgap_upstreams_pause (struct bgap_upstreams *upstreams, uint32_t id,
                      bool paused)
{
  struct bgap_backend_attempt_id attempt = { id };
  if (paused)
    bgap_backend_pause (upstreams->backend, attempt);
  else
    bgap_backend_resume (upstreams->backend, attempt);
}
