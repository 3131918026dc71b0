#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "router_parts.h"

#define DEFAULT_REQUESTS_MAX 4096u
#define DEFAULT_SERVICES_MAX 64u
#define DEFAULT_SERVERS_MAX 1024u
#define DEFAULT_PEERS_MAX 16u
#define DEFAULT_LOAD_INTERVAL_MS 500
#define MAX_PEERS 1024u

/* Actions reserved per request.  */
#define ACTIONS_PER_REQUEST 2u

static bool
_bgap_router_name_valid (const char *name)
{
  return name != NULL && name[0] != '\0'
         && strlen (name) < BGAP_ROUTING_NAME_SIZE;
}

static uint32_t
_bgap_router_default (uint32_t value, uint32_t fallback)
{
  return value ? value : fallback;
}

static enum bgap_status
_bgap_router_setup_pools (struct bgap_router_state *state)
{
  const struct bgap_router_desc *desc = &state->desc;
  const struct bgap_pool_desc pools[] = {
    { sizeof (struct bgap_router_service), desc->services_max },
    { sizeof (struct bgap_router_server), desc->servers_max },
    { sizeof (struct bgap_router_request), desc->requests_max },
    { sizeof (struct bgap_router_attempt), desc->requests_max },
  };
  struct bgap_pool *const targets[] = { &state->services, &state->servers,
                                        &state->requests, &state->attempts };
  for (size_t i = 0; i < sizeof pools / sizeof pools[0]; i++)
    {
      enum bgap_status status = bgap_pool_setup (targets[i], &pools[i]);
      if (status != BGAP_OK)
        return status;
    }
  state->timer_positions = calloc (desc->requests_max, sizeof (uint32_t));
  state->queue_positions = calloc (desc->requests_max, sizeof (uint32_t));
  state->peers = calloc (desc->peers_max, sizeof *state->peers);
  if (!state->timer_positions || !state->queue_positions || !state->peers)
    return BGAP_ERR_NO_MEMORY;
  state->timers.positions = state->timer_positions;
  return bgap_action_queue_reserve (&state->actions,
                                    desc->requests_max * ACTIONS_PER_REQUEST);
}

static struct bgap_router_desc
_bgap_router_defaults (const struct bgap_router_desc *desc)
{
  struct bgap_router_desc full = *desc;
  full.seed = desc->seed ? desc->seed : bgap_random_seed ();
  full.requests_max
      = _bgap_router_default (desc->requests_max, DEFAULT_REQUESTS_MAX);
  full.services_max
      = _bgap_router_default (desc->services_max, DEFAULT_SERVICES_MAX);
  full.servers_max
      = _bgap_router_default (desc->servers_max, DEFAULT_SERVERS_MAX);
  full.peers_max = _bgap_router_default (desc->peers_max, DEFAULT_PEERS_MAX);
  if (full.load_interval_ms == 0)
    full.load_interval_ms = DEFAULT_LOAD_INTERVAL_MS;
  return full;
}

enum bgap_status
bgap_router_setup (struct bgap_router *router,
                   const struct bgap_router_desc *desc, struct bgap_error *err)
{
  *router = (struct bgap_router){ 0 };
  if (!_bgap_router_name_valid (desc->instance)
      || !_bgap_router_name_valid (desc->zone))
    return bgap_error_set (
        err, BGAP_ERR_INVALID,
        "names of instance and zone must have 1 to %d bytes",
        BGAP_ROUTING_NAME_SIZE - 1);
  if (desc->peers_max > MAX_PEERS)
    return bgap_error_set (err, BGAP_ERR_INVALID, "peers_max exceeds %u",
                           MAX_PEERS);
  struct bgap_router_state *state = calloc (1, sizeof *state);
  if (state == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY,
                           "out of memory for a router");
  router->state = state;
  state->desc = _bgap_router_defaults (desc);
  snprintf (state->instance, sizeof state->instance, "%s", desc->instance);
  snprintf (state->zone, sizeof state->zone, "%s", desc->zone);
  state->desc.instance = state->instance;
  state->desc.zone = state->zone;
  state->random.state = state->desc.seed;
  enum bgap_status status = _bgap_router_setup_pools (state);
  state->issuer = bgap_permit_issuer_new ();
  if (status == BGAP_OK && state->issuer == NULL)
    status = BGAP_ERR_NO_MEMORY;
  const struct bgap_quarantine_desc quarantine
      = { .capacity = desc->quarantine_max,
          .crash_window_ms = desc->crash_window_ms,
          .ops = desc->quarantine_ops };
  if (status == BGAP_OK)
    status = bgap_quarantine_setup (&state->quarantine, &quarantine);
  if (status != BGAP_OK)
    {
      bgap_router_shutdown (router);
      return bgap_error_set (err, status,
                             "cannot allocate the pools of the router: %s",
                             bgap_status_name (status));
    }
  return BGAP_OK;
}

bool
bgap_router_quarantine (const struct bgap_router *router, int64_t now_ms,
                        uint64_t fingerprint,
                        struct bgap_quarantine_event *event)
{
  return bgap_quarantine_cause (&router->state->quarantine, now_ms,
                                fingerprint, event);
}

static void
_bgap_router_free_services (struct bgap_router_state *state)
{
  for (uint32_t id = bgap_pool_next (&state->servers, BGAP_INVALID_ID);
       id != BGAP_INVALID_ID; id = bgap_pool_next (&state->servers, id))
    {
      struct bgap_router_server *server = bgap_router_server (state, id);
      bgap_router_hash_remove (state, server);
      bgap_heap_shutdown (&server->queue);
      free (server->peers_in_flight);
    }
  for (uint32_t id = bgap_pool_next (&state->services, BGAP_INVALID_ID);
       id != BGAP_INVALID_ID; id = bgap_pool_next (&state->services, id))
    {
      struct bgap_router_service *service = bgap_router_service (state, id);
      bgap_heap_shutdown (&service->queue);
      bgap_idempotency_shutdown (&service->idempotency);
      free (service->servers);
    }
}

void
bgap_router_shutdown (struct bgap_router *router)
{
  struct bgap_router_state *state = router->state;
  if (state == NULL)
    return;
  _bgap_router_free_services (state);
  bgap_heap_shutdown (&state->timers);
  bgap_action_queue_shutdown (&state->actions);
  bgap_quarantine_shutdown (&state->quarantine);
  bgap_pool_shutdown (&state->services);
  bgap_pool_shutdown (&state->servers);
  bgap_pool_shutdown (&state->requests);
  bgap_pool_shutdown (&state->attempts);
  free (state->timer_positions);
  free (state->queue_positions);
  free (state->peers);
  free (state->instances);
  bgap_permit_issuer_free (state->issuer);
  free (state);
  router->state = NULL;
}

struct bgap_router_service *
bgap_router_service (const struct bgap_router_state *state, uint32_t id)
{
  return bgap_pool_get (&state->services, id);
}

struct bgap_router_server *
bgap_router_server (const struct bgap_router_state *state, uint32_t id)
{
  return bgap_pool_get (&state->servers, id);
}

struct bgap_router_request *
bgap_router_open_request (const struct bgap_router_state *state, uint32_t id)
{
  return bgap_pool_get (&state->requests, id);
}

bool
bgap_router_next_action (struct bgap_router *router,
                         struct bgap_router_action *action)
{
  return bgap_action_queue_pop (&router->state->actions, action);
}
