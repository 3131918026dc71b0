#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "router_parts.h"

#define DEFAULT_DEADLINE_MS 10000
#define DEFAULT_DEADLINE_MAX_MS 600000
#define DEFAULT_ATTEMPTS_MAX 3u

static struct bgap_service_desc
_bgap_service_defaults (const struct bgap_service_desc *desc)
{
  struct bgap_service_desc full = *desc;
  if (full.class_ == BGAP_CLASS_DEFAULT)
    full.class_ = BGAP_CLASS_NORMAL;
  if (full.deadline_ms == 0)
    full.deadline_ms = DEFAULT_DEADLINE_MS;
  if (full.deadline_max_ms == 0)
    full.deadline_max_ms = DEFAULT_DEADLINE_MAX_MS;
  if (full.attempts_max == 0)
    full.attempts_max = DEFAULT_ATTEMPTS_MAX;
  if (full.policy == NULL)
    full.policy = &bgap_balancer_default;
  return full;
}

static enum bgap_status
_bgap_service_check (const struct bgap_service_desc *desc,
                     struct bgap_error *err)
{
  if (desc->name == NULL || desc->name[0] == '\0'
      || strlen (desc->name) >= BGAP_ROUTING_NAME_SIZE)
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "the name of a service must have 1 to %d bytes",
                           BGAP_ROUTING_NAME_SIZE - 1);
  if (desc->class_ >= BGAP_CLASS_COUNT || desc->deadline_ms < 0
      || desc->deadline_max_ms < 0 || desc->idempotency_window_ms < 0)
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "service %s has a class or time out of range",
                           desc->name);
  return BGAP_OK;
}

static enum bgap_status
_bgap_service_setup_idempotency (struct bgap_router_state *state,
                                 struct bgap_router_service *service,
                                 struct bgap_error *err)
{
  /* Each table gets an incarnation of its own: this table replays the intents
     of an earlier table of the same service, whose attempts may have run.  */
  const struct bgap_idempotency_desc table = {
    .instance = state->instance,
    .incarnation = bgap_random_next (&state->random),
    .window_ms = service->desc.idempotency_window_ms,
    .keys_max = service->desc.idempotency_keys_max,
    .body_bytes_max = service->desc.idempotency_body_bytes_max,
  };
  return bgap_idempotency_setup (&service->idempotency, &table, err);
}

/* Drops what was learned: with and without costs, the times have different
   units.  */
static void
_bgap_service_forget_times (struct bgap_router_service *service)
{
  service->costs = (struct bgap_cost_model){ 0 };
  service->others_per_slot = -1;
  service->free_times = (struct bgap_response_times){ 0 };
  service->all_times = (struct bgap_response_times){ 0 };
  service->forecast_errors = (struct bgap_response_times){ 0 };
  for (uint32_t i = 0; i < service->server_count; i++)
    {
      struct bgap_server *server = service->servers[i];
      server->free_times = (struct bgap_recent_times){ 0 };
      server->all_times = (struct bgap_recent_mean){ 0 };
      bgap_outstanding_reset (&server->work);
    }
}

static void
_bgap_service_apply (struct bgap_router_state *state,
                     struct bgap_router_service *service,
                     const struct bgap_service_desc *desc)
{
  bool is_new = service->name[0] == '\0';
  bool used_cost = !is_new && bgap_router_uses_cost (service);
  uint32_t percent = service->desc.retry_percent;
  uint32_t burst = service->desc.retry_burst;
  snprintf (service->name, sizeof service->name, "%s", desc->name);
  service->desc = _bgap_service_defaults (desc);
  service->desc.name = service->name;
  service->balancer = (struct bgap_balancer){ .ops = service->desc.policy,
                                              .random = &state->random };
  const struct bgap_retry_budget_desc budget = {
    .percent = desc->retry_percent,
    .burst = desc->retry_burst,
    .start_empty = desc->retry_starts_empty,
  };
  if (is_new)
    bgap_retry_budget_setup (&service->budget, &budget);
  else if (percent != desc->retry_percent || burst != desc->retry_burst)
    bgap_retry_budget_change (&service->budget, &budget);
  if (is_new || used_cost != bgap_router_uses_cost (service))
    _bgap_service_forget_times (service);
  for (uint32_t i = 0; i < service->server_count; i++)
    bgap_router_configure_server (service, service->servers[i]);
}

static enum bgap_status
_bgap_service_change (struct bgap_router_state *state,
                      struct bgap_router_service *service,
                      const struct bgap_service_desc *desc,
                      struct bgap_error *err)
{
  const struct bgap_service_desc *old = &service->desc;
  if (old->keyed != desc->keyed || old->repeat_never != desc->repeat_never
      || old->idempotency_window_ms != desc->idempotency_window_ms
      || old->idempotency_keys_max != desc->idempotency_keys_max
      || old->idempotency_body_bytes_max != desc->idempotency_body_bytes_max)
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "service %s cannot change keyed, repeat_never or "
                           "the limits of its idempotency records",
                           desc->name);
  _bgap_service_apply (state, service, desc);
  return BGAP_OK;
}

enum bgap_status
bgap_router_set_service (struct bgap_router *router, int64_t now_ms,
                         const struct bgap_service_desc *desc,
                         struct bgap_service_id *id, struct bgap_error *err)
{
  struct bgap_router_state *state = router->state;
  enum bgap_status status = _bgap_service_check (desc, err);
  if (status != BGAP_OK)
    return status;
  *id = bgap_router_find_service (router, desc->name);
  struct bgap_router_service *service = bgap_router_service (state, id->id);
  if (service != NULL)
    {
      status = _bgap_service_change (state, service, desc, err);
      bgap_router_dispatch_queue (state, now_ms, service);
      return status;
    }
  id->id = bgap_pool_alloc (&state->services);
  service = bgap_router_service (state, id->id);
  if (service == NULL)
    return bgap_error_set (err, BGAP_ERR_FULL, "limit of %u services reached",
                           state->desc.services_max);
  service->id = id->id;
  service->queue.positions = state->queue_positions;
  _bgap_service_apply (state, service, desc);
  if (desc->repeat_never)
    status = _bgap_service_setup_idempotency (state, service, err);
  if (status != BGAP_OK)
    {
      bgap_pool_free (&state->services, id->id);
      id->id = BGAP_INVALID_ID;
    }
  return status;
}

static void
_bgap_service_end_requests (struct bgap_router_state *state, int64_t now_ms,
                            uint32_t service)
{
  uint32_t next;
  for (uint32_t id = bgap_pool_next (&state->requests, BGAP_INVALID_ID);
       id != BGAP_INVALID_ID; id = next)
    {
      next = bgap_pool_next (&state->requests, id);
      struct bgap_router_request *request
          = bgap_router_open_request (state, id);
      if (request == NULL || request->service != service)
        continue;
      if (request->state == BGAP_REQUEST_IN_FLIGHT)
        {
          request->maybe_ran = true;
          bgap_router_cancel_attempt (state, now_ms, request);
        }
      bgap_router_finish (state, now_ms, request, BGAP_REASON_REMOVED);
    }
}

void
bgap_router_remove_service (struct bgap_router *router, int64_t now_ms,
                            struct bgap_service_id service_id)
{
  struct bgap_router_state *state = router->state;
  struct bgap_router_service *service
      = bgap_router_service (state, service_id.id);
  if (service == NULL)
    return;
  service->dispatching = true; /* prevents further dispatches */
  _bgap_service_end_requests (state, now_ms, service_id.id);
  while (service->server_count > 0)
    {
      struct bgap_router_server *server
          = (struct bgap_router_server *)service->servers[0];
      bgap_router_remove_server (router, now_ms,
                                 (struct bgap_server_id){ server->id });
    }
  bgap_heap_shutdown (&service->queue);
  bgap_idempotency_shutdown (&service->idempotency);
  free (service->servers);
  bgap_pool_free (&state->services, service_id.id);
}

struct bgap_service_id
bgap_router_find_service (const struct bgap_router *router, const char *name)
{
  const struct bgap_router_state *state = router->state;
  for (uint32_t id = bgap_pool_next (&state->services, BGAP_INVALID_ID);
       id != BGAP_INVALID_ID; id = bgap_pool_next (&state->services, id))
    if (strcmp (bgap_router_service (state, id)->name, name) == 0)
      return (struct bgap_service_id){ id };
  return (struct bgap_service_id){ BGAP_INVALID_ID };
}
