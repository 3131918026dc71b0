#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/hash.h"
#include "router_parts.h"

static uint64_t
_bgap_server_full_hash (const struct bgap_router_service *service,
                        const char *name)
{
  char text[2 * BGAP_ROUTING_NAME_SIZE];
  int size = snprintf (text, sizeof text, "%s/%s", service->name, name);
  return bgap_hash64 (text, (size_t)size);
}

struct bgap_server_id
bgap_router_find_server (const struct bgap_router *router,
                         struct bgap_service_id service_id, const char *name)
{
  const struct bgap_router_state *state = router->state;
  const struct bgap_router_service *service
      = bgap_router_service (state, service_id.id);
  if (service == NULL || strlen (name) >= BGAP_ROUTING_NAME_SIZE)
    return (struct bgap_server_id){ BGAP_INVALID_ID };
  const struct bgap_router_server *server
      = bgap_router_hash_find (state, _bgap_server_full_hash (service, name));
  if (server == NULL || server->server.removed)
    return (struct bgap_server_id){ BGAP_INVALID_ID };
  return (struct bgap_server_id){ server->id };
}

static enum bgap_status
_bgap_service_add_server (struct bgap_router_service *service,
                          struct bgap_server *server)
{
  if (service->server_count == service->server_capacity)
    {
      uint32_t capacity
          = service->server_capacity ? service->server_capacity * 2 : 8;
      struct bgap_server **servers = realloc (
          service->servers, capacity * sizeof (struct bgap_server *));
      if (servers == NULL)
        return BGAP_ERR_NO_MEMORY;
      service->servers = servers;
      service->server_capacity = capacity;
    }
  service->servers[service->server_count++] = server;
  return BGAP_OK;
}

static enum bgap_status
_bgap_server_create (struct bgap_router_state *state, int64_t now_ms,
                     struct bgap_router_service *service,
                     const struct bgap_server_desc *desc, uint32_t *id)
{
  *id = bgap_pool_alloc (&state->servers);
  struct bgap_router_server *server = bgap_router_server (state, *id);
  if (server == NULL)
    return BGAP_ERR_FULL;
  bgap_server_setup (&server->server, now_ms, desc);
  server->id = *id;
  server->queue.positions = state->queue_positions;
  server->server.service.id = service->id;
  server->server.hash_full = _bgap_server_full_hash (service, desc->name);
  server->peers_in_flight
      = calloc (state->desc.peers_max, sizeof *server->peers_in_flight);
  if (server->peers_in_flight == NULL
      || _bgap_service_add_server (service, &server->server) != BGAP_OK)
    {
      free (server->peers_in_flight);
      bgap_pool_free (&state->servers, *id);
      *id = BGAP_INVALID_ID;
      return BGAP_ERR_NO_MEMORY;
    }
  bgap_warm_check_set_view_time (&server->server.warm_check,
                                 state->servers_read_ms);
  server->server.check_weight
      = bgap_rendezvous_weight (server->server.hash_full, state->instance);
  bgap_router_hash_add (state, server);
  return BGAP_OK;
}

/* Restores a removed server that is added again before its last attempt has
   ended. These attempts still use its slots and connections.  */
static enum bgap_status
_bgap_server_restore (struct bgap_router_server *server, int64_t now_ms,
                      struct bgap_router_service *service,
                      const struct bgap_server_desc *desc)
{
  const struct bgap_server previous = server->server;
  enum bgap_status status
      = _bgap_service_add_server (service, &server->server);
  if (status != BGAP_OK)
    return status;
  bgap_server_setup (&server->server, now_ms, desc);
  server->server.service = previous.service;
  server->server.hash_full = previous.hash_full;
  server->server.in_flight = previous.in_flight;
  server->server.bytes_in_flight = previous.bytes_in_flight;
  server->server.in_flight_peers = previous.in_flight_peers;
  server->server.suspects = previous.suspects;
  server->server.work = previous.work;
  bgap_outstanding_reset (&server->server.work);
  server->server.paused_until_ms = previous.paused_until_ms;
  server->server.own_permit_slot = previous.own_permit_slot;
  server->server.warm_check = previous.warm_check;
  bgap_warm_check_reset (&server->server.warm_check);
  server->server.check_weight = previous.check_weight;
  return BGAP_OK;
}

void
bgap_router_configure_server (const struct bgap_router_service *service,
                              struct bgap_server *server)
{
  server->shared = service->desc.shared_slots;
  server->queue_allowance = service->desc.queue_per_server;
  server->drain_grace_ms = service->desc.drain_grace_ms;
}

enum bgap_status
bgap_router_set_server (struct bgap_router *router, int64_t now_ms,
                        struct bgap_service_id service_id,
                        const struct bgap_server_desc *desc,
                        struct bgap_server_id *id, struct bgap_error *err)
{
  struct bgap_router_state *state = router->state;
  struct bgap_router_service *service
      = bgap_router_service (state, service_id.id);
  if (service == NULL)
    return bgap_error_set (err, BGAP_ERR_NOT_FOUND, "unknown service");
  if (!bgap_server_desc_valid (desc))
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "a server of %s has an invalid name, zone or "
                           "number of slots",
                           service->name);
  struct bgap_router_server *server = bgap_router_hash_find (
      state, _bgap_server_full_hash (service, desc->name));
  enum bgap_status status = BGAP_OK;
  if (server == NULL)
    {
      status = _bgap_server_create (state, now_ms, service, desc, &id->id);
      server = bgap_router_server (state, id->id);
    }
  else if (server->server.removed)
    status = _bgap_server_restore (server, now_ms, service, desc);
  else
    bgap_server_update (&server->server, desc);
  if (status != BGAP_OK)
    return bgap_error_set (err, status, "cannot add server %s: %s", desc->name,
                           bgap_status_name (status));
  id->id = server->id;
  bgap_router_configure_server (service, &server->server);
  server->server.local = strcmp (desc->zone, state->zone) == 0;
  bgap_rate_limit_set_cold (&server->server.rate_limit, now_ms,
                            desc->cold_per_s, desc->cold_ms);
  if (desc->cold_per_s > 0 && desc->cold_ms > 0)
    service->has_limits = true;
  if (desc->limit_per_s > 0)
    bgap_router_hear_limit (state, server, now_ms, desc->limit_per_s,
                            desc->limit_age_ms);
  if (desc->evacuated)
    bgap_server_evacuate (&server->server, now_ms, true,
                          desc->evacuation_grace_ms);
  if (desc->draining)
    bgap_server_set_drain (&server->server, now_ms - desc->draining_for_ms,
                           BGAP_DRAIN_HOST_LIST, true);
  bgap_router_server_pause (router, now_ms, *id, desc->pause_ms);
  bgap_router_dispatch_queue (state, now_ms, service);
  return BGAP_OK;
}

void
bgap_router_free_server (struct bgap_router_state *state,
                         struct bgap_router_server *server)
{
  bgap_router_hash_remove (state, server);
  bgap_heap_shutdown (&server->queue);
  free (server->peers_in_flight);
  bgap_pool_free (&state->servers, server->id);
}

void
bgap_router_remove_server (struct bgap_router *router, int64_t now_ms,
                           struct bgap_server_id server_id)
{
  struct bgap_router_state *state = router->state;
  struct bgap_router_server *server = bgap_router_server (state, server_id.id);
  if (server == NULL || server->server.removed)
    return;
  struct bgap_router_service *service
      = bgap_router_service (state, server->server.service.id);
  for (uint32_t i = 0; i < service->server_count; i++)
    if (service->servers[i] == &server->server)
      {
        service->servers[i] = service->servers[--service->server_count];
        break;
      }
  server->server.removed = true;
  bgap_router_dispatch_holder_queue (state, now_ms, server);
  if (server->server.in_flight == 0)
    bgap_router_free_server (state, server);
}

/* Reports about servers.  */

void
bgap_router_server_changed (struct bgap_router_state *state, int64_t now_ms,
                            struct bgap_router_server *server)
{
  bgap_router_dispatch_holder_queue (state, now_ms, server);
  struct bgap_router_service *service
      = bgap_router_service (state, server->server.service.id);
  if (service != NULL)
    bgap_router_dispatch_queue (state, now_ms, service);
}

void
bgap_router_server_load (struct bgap_router *router, int64_t now_ms,
                         struct bgap_server_id server_id,
                         const struct bgap_server_load *load)
{
  struct bgap_router_server *server
      = bgap_router_server (router->state, server_id.id);
  if (server == NULL)
    return;
  bgap_server_on_load (&server->server, now_ms, load);
  struct bgap_router_service *service
      = bgap_router_service (router->state, server->server.service.id);
  if (service != NULL)
    bgap_router_note_load (service, &server->server);
  bgap_router_server_changed (router->state, now_ms, server);
}

void
bgap_router_server_drain (struct bgap_router *router, int64_t now_ms,
                          struct bgap_server_id server_id,
                          enum bgap_drain_signal signal, bool on)
{
  struct bgap_router_server *server
      = bgap_router_server (router->state, server_id.id);
  if (server == NULL || signal >= BGAP_DRAIN_COUNT)
    return;
  bgap_server_set_drain (&server->server, now_ms, signal, on);
  bgap_router_server_changed (router->state, now_ms, server);
}

/* Reports the attempts in flight on a server without a process as broken.
   Those that were sent in this millisecond, as retries of attempts on another
   server that was lost at the same time, cannot have run.  */
static void
_bgap_server_report_broken (struct bgap_router_state *state, int64_t now_ms,
                            const struct bgap_router_server *server)
{
  for (uint32_t id = bgap_pool_next (&state->attempts, BGAP_INVALID_ID);
       id != BGAP_INVALID_ID; id = bgap_pool_next (&state->attempts, id))
    {
      const struct bgap_router_attempt *attempt
          = bgap_pool_get (&state->attempts, id);
      const struct bgap_router_request *request
          = bgap_router_open_request (state, attempt->request);
      if (attempt->server == server->id && request->dispatched_at_ms < now_ms)
        bgap_router_report_broken (state, now_ms, request, &server->server);
    }
}

/* Ends the attempts on a server whose process has ended.  */
static void
_bgap_server_fail_attempts (struct bgap_router_state *state, int64_t now_ms,
                            const struct bgap_router_server *server)
{
  uint32_t next;
  for (uint32_t id = bgap_pool_next (&state->attempts, BGAP_INVALID_ID);
       id != BGAP_INVALID_ID; id = next)
    {
      next = bgap_pool_next (&state->attempts, id);
      const struct bgap_router_attempt *attempt
          = bgap_pool_get (&state->attempts, id);
      if (attempt == NULL || attempt->server != server->id)
        continue;
      struct bgap_router_request *request
          = bgap_router_open_request (state, attempt->request);
      bgap_router_cancel_attempt (state, now_ms, request);
      bgap_router_attempt_broken (state, now_ms, request,
                                  BGAP_REASON_CRASH_SUSPECT);
    }
  bgap_router_send_suspicions (state);
}

/* Handles the end of a server's process.  */
static void
_bgap_server_end (struct bgap_router_state *state, int64_t now_ms,
                  struct bgap_router_server *server)
{
  server->server.lost = true;
  bgap_quarantine_crashed (&state->quarantine, now_ms, server->server.hash);
  /* A removed server is freed with its last attempt. Count one more attempt,
     so that it stays allocated until the end of this function.  */
  server->server.in_flight++;
  _bgap_server_fail_attempts (state, now_ms, server);
  server->server.in_flight--;
  if (server->server.removed && server->server.in_flight == 0)
    {
      bgap_router_free_server (state, server);
      return;
    }
  bgap_router_server_changed (state, now_ms, server);
}

void
bgap_router_server_lost (struct bgap_router *router, int64_t now_ms,
                         struct bgap_server_id server_id)
{
  struct bgap_router_state *state = router->state;
  struct bgap_router_server *server = bgap_router_server (state, server_id.id);
  if (server == NULL || server->server.lost)
    return;
  _bgap_server_report_broken (state, now_ms, server);
  _bgap_server_end (state, now_ms, server);
}

void
bgap_router_server_expired (struct bgap_router *router, int64_t now_ms,
                            struct bgap_server_id server_id)
{
  struct bgap_router_state *state = router->state;
  const struct bgap_router_server *server
      = bgap_router_server (state, server_id.id);
  if (server == NULL || bgap_server_draining (&server->server))
    return;
  bgap_quarantine_crashed (&state->quarantine, now_ms, server->server.hash);
  bgap_router_send_suspicions (state);
}

void
bgap_router_server_alive (struct bgap_router *router, int64_t now_ms,
                          struct bgap_server_id server_id,
                          uint64_t incarnation)
{
  struct bgap_router_state *state = router->state;
  struct bgap_router_server *server = bgap_router_server (state, server_id.id);
  if (server == NULL)
    return;
  if (server->server.has_incarnation && !server->server.lost
      && server->server.incarnation != incarnation)
    /* Attempts in flight may be at the new process, so that they are no
       evidence.  */
    _bgap_server_end (state, now_ms, server);
  server = bgap_router_server (state, server_id.id);
  if (server == NULL)
    return;
  bgap_server_on_alive (&server->server, now_ms, incarnation);
  bgap_router_server_changed (state, now_ms, server);
}

enum bgap_status
bgap_router_server_status (const struct bgap_router *router, int64_t now_ms,
                           struct bgap_server_id server_id,
                           struct bgap_server_status *status)
{
  const struct bgap_router_server *entry
      = bgap_router_server (router->state, server_id.id);
  if (entry == NULL)
    return BGAP_ERR_NOT_FOUND;
  const struct bgap_server *server = &entry->server;
  *status = (struct bgap_server_status){
    .name = server->name,
    .zone = server->zone,
    .slots = server->slots,
    .in_flight = server->in_flight,
    .in_flight_all = server->in_flight + server->in_flight_peers,
    .quota = server->quota,
    .latency_ms = server->latency_ms,
    .rate_limit_per_s = server->rate_limit.per_s,
    .rate_limit_age_ms = now_ms - server->rate_limit.heard_ms,
    .cold_per_s = bgap_rate_limit_cold_per_s (&server->rate_limit, now_ms),
    .cold_left_ms = now_ms < server->rate_limit.cold_until_ms
                        ? server->rate_limit.cold_until_ms - now_ms
                        : 0,
    .sent_recently = bgap_window_count_get (&server->dispatched, now_ms),
    .permits = bgap_rate_limit_permits (&server->rate_limit, now_ms),
    .permits_asked = bgap_rate_limit_asked (&server->rate_limit, now_ms),
    .permit_wait_ms
    = (int64_t)bgap_rate_limit_wait_ms (&server->rate_limit, now_ms, 1),
    .pause_left_ms = bgap_server_pause_left_ms (server, now_ms),
    .cost_ratio = bgap_outstanding_ratio (&server->work),
    .work_ms = bgap_router_work_ms (router->state, now_ms, server),
    .draining = bgap_server_draining (server),
    .ejected = server->ejected_until_ms > 0,
    .lost = server->lost,
  };
  return BGAP_OK;
}
