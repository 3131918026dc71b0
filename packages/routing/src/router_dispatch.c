#include "router_parts.h"

bool
bgap_router_server_at_limit (const struct bgap_router_service *service,
                             int64_t now_ms, const struct bgap_server *server)
{
  if (service->desc.policy->limited)
    return bgap_server_full (server, now_ms);
  return server->in_flight >= server->quota
         || bgap_server_pause_left_ms (server, now_ms) > 0
         || bgap_rate_limit_blocks (&server->rate_limit, now_ms)
         || bgap_server_may_be_cold (server, now_ms);
}

/* Sends a request in state NEW.  */
static void
_bgap_router_dispatch (struct bgap_router_state *state, int64_t now_ms,
                       struct bgap_router_request *request,
                       struct bgap_router_server *server)
{
  struct bgap_router_service *service
      = bgap_router_service (state, request->service);
  uint32_t id = bgap_pool_alloc (&state->attempts);
  struct bgap_router_attempt *attempt = bgap_pool_get (&state->attempts, id);
  attempt->request = request->id;
  attempt->server = server->id;
  attempt->stamp = state->quarantine.broken_count;
  attempt->cost_ms = bgap_router_cost_ms (service, request);
  request->forecast_ms = bgap_router_forecast_ms (service, &server->server,
                                                  now_ms, attempt->cost_ms);
  request->attempt = id;
  request->state = BGAP_REQUEST_IN_FLIGHT;
  request->dispatched_at_ms = now_ms;
  request->tried[request->attempts % BGAP_ROUTER_TRIED_MAX] = server->id;
  request->attempts++;
  if (!request->trial)
    request->trial = bgap_quarantine_begin_trial (&state->quarantine, now_ms,
                                                  request->fingerprint);
  request->suspect_counted = bgap_quarantine_suspected (
      &state->quarantine, now_ms, request->fingerprint);
  server->server.suspects += request->suspect_counted;
  request->uncontended
      = server->server.in_flight
            + bgap_server_others_in_flight (&server->server, now_ms)
        < server->server.slots;
  server->server.bytes_in_flight += request->body_size;
  const struct bgap_outstanding_usual usual = bgap_router_usual (service);
  double work_ms = bgap_outstanding_work_ms (&server->server.work, now_ms,
                                             server->server.slots, &usual);
  bgap_router_note_clearance (attempt, now_ms, &server->server);
  bgap_server_on_dispatch (&server->server, now_ms);
  bgap_outstanding_add (&server->server.work, now_ms, id, attempt->cost_ms);
  state->counts.dispatches++;
  bgap_router_set_timer (state, request);
  bgap_router_emit (state, &(struct bgap_router_action){
                               .kind = BGAP_ROUTER_ACTION_DISPATCH,
                               .request = { request->id },
                               .context = request->context,
                               .attempt = { id },
                               .service = { request->service },
                               .server = { server->id },
                               .token = request->token,
                               .deadline_ms = request->deadline_at_ms - now_ms,
                               .cost_ms = (int64_t)request->cost_ms,
                               .work_ms = (int64_t)work_ms,
                               .keep_body = request->intent_won });
  bgap_router_send_suspicions (state);
}

bool
bgap_router_refuses (const struct bgap_router_state *state, int64_t now_ms,
                     const struct bgap_router_service *service,
                     const struct bgap_router_request *request,
                     enum bgap_reason *reason)
{
  if (request->deadline_at_ms <= now_ms)
    *reason = BGAP_REASON_DEADLINE;
  else if (!request->trial
           && bgap_quarantine_refuses (&state->quarantine, now_ms,
                                       request->fingerprint))
    *reason = BGAP_REASON_QUARANTINED;
  else if (bgap_router_is_evacuated (service))
    *reason = BGAP_REASON_EVACUATED;
  else
    return false;
  return true;
}

/* Finishes a request whose deadline has passed, whose fingerprint is in
   quarantine, or whose service is evacuated. Returns whether it was
   finished.  */
static bool
_bgap_router_end_refused (struct bgap_router_state *state, int64_t now_ms,
                          struct bgap_router_request *request)
{
  enum bgap_reason reason;
  if (!bgap_router_refuses (state, now_ms,
                            bgap_router_service (state, request->service),
                            request, &reason))
    return false;
  bgap_router_finish (state, now_ms, request, reason);
  return true;
}

bool
bgap_router_is_late (const struct bgap_router_state *state, int64_t now_ms,
                     struct bgap_router_service *service,
                     struct bgap_router_request *request,
                     const struct bgap_router_server *server,
                     enum bgap_reason *reason)
{
  const struct bgap_server *at = server != NULL ? &server->server : NULL;
  if (bgap_router_misses_deadline (service, at, now_ms, request))
    *reason = BGAP_REASON_DEADLINE;
  else if (bgap_router_misses_end (state, service, at, now_ms, request))
    *reason = BGAP_REASON_SHUTDOWN;
  else
    return false;
  return true;
}

/* Finishes a request that @server is not expected to answer in time, or before
   the process ends; NULL for any server, all of which are full. Returns
   whether it was finished.  */
static bool
_bgap_router_end_late (struct bgap_router_state *state, int64_t now_ms,
                       struct bgap_router_request *request,
                       const struct bgap_router_server *server)
{
  enum bgap_reason reason;
  if (!bgap_router_is_late (state, now_ms,
                            bgap_router_service (state, request->service),
                            request, server, &reason))
    return false;
  bgap_router_finish (state, now_ms, request, reason);
  return true;
}

struct bgap_router_server *
bgap_router_choose (const struct bgap_router_state *state, int64_t now_ms,
                    const struct bgap_router_service *service,
                    const struct bgap_router_request *request)
{
  struct bgap_server *exclude[BGAP_ROUTER_TRIED_MAX];
  size_t count = 0;
  for (size_t i = 0; i < BGAP_ROUTER_TRIED_MAX; i++)
    {
      struct bgap_router_server *tried
          = bgap_router_server (state, request->tried[i]);
      if (tried != NULL)
        exclude[count++] = &tried->server;
    }
  struct bgap_balancer_cost cost;
  bool by_cost = bgap_router_placement (service, request, &cost);
  const struct bgap_balancer_query query = {
    .servers = service->servers,
    .count = service->server_count,
    .exclude = exclude,
    .exclude_count = count,
    .suspect = bgap_quarantine_suspected (&state->quarantine, now_ms,
                                          request->fingerprint),
    .queue_percent
    = bgap_urgency_queue_percent (&service->urgency, now_ms, request->class_),
    .cost = by_cost ? &cost : NULL,
  };
  return (struct bgap_router_server *)bgap_balancer_pick (&service->balancer,
                                                          now_ms, &query);
}

static void
_bgap_router_route_to_holder (struct bgap_router_state *state, int64_t now_ms,
                              struct bgap_router_service *service,
                              struct bgap_router_request *request)
{
  struct bgap_router_server *holder
      = bgap_router_server (state, request->holder);
  if (holder == NULL || holder->server.service.id != request->service
      || !bgap_server_holder_eligible (&holder->server, now_ms))
    bgap_router_resolve (state, now_ms, request);
  else if (bgap_router_end_paused (state, now_ms, request, holder))
    return;
  else if (holder->queue.count > 0
           || bgap_router_server_at_limit (service, now_ms, &holder->server))
    {
      bgap_router_enqueue (state, now_ms, request);
      bgap_router_dispatch_holder_queue (state, now_ms, holder);
    }
  else if (!_bgap_router_end_late (state, now_ms, request, holder))
    _bgap_router_dispatch (state, now_ms, request, holder);
}

void
bgap_router_route (struct bgap_router_state *state, int64_t now_ms,
                   struct bgap_router_request *request)
{
  struct bgap_router_service *service
      = bgap_router_service (state, request->service);
  if (_bgap_router_end_refused (state, now_ms, request))
    return;
  bgap_router_expect_cost (service, request);
  if (service->desc.keyed)
    {
      _bgap_router_route_to_holder (state, now_ms, service, request);
      return;
    }
  if (service->server_count == 0)
    {
      bgap_router_finish (state, now_ms, request, BGAP_REASON_NO_SERVER);
      return;
    }
  if (bgap_router_end_paused (state, now_ms, request, NULL))
    return;
  bgap_router_want_any_permits (state, now_ms, service,
                                bgap_router_rank (service, now_ms, request));
  if (service->queue.count == 0)
    {
      struct bgap_router_server *server
          = bgap_router_choose (state, now_ms, service, request);
      if (server != NULL)
        {
          if (!_bgap_router_end_late (state, now_ms, request, server))
            _bgap_router_dispatch (state, now_ms, request, server);
          return;
        }
    }
  bgap_router_enqueue (state, now_ms, request);
  bgap_router_dispatch_queue (state, now_ms, service);
}

void
bgap_router_dispatch_queue (struct bgap_router_state *state, int64_t now_ms,
                            struct bgap_router_service *service)
{
  if (service->dispatching)
    return;
  service->dispatching = true;
  const struct bgap_heap_item *top;
  while ((top = bgap_heap_top (&service->queue)) != NULL)
    {
      struct bgap_router_request *request
          = bgap_router_open_request (state, top->id);
      if (_bgap_router_end_refused (state, now_ms, request)
          || bgap_router_rerank (state, now_ms, &service->queue,
                                 &service->spare, top->major, request))
        continue;
      struct bgap_router_server *server
          = bgap_router_choose (state, now_ms, service, request);
      if (_bgap_router_end_late (state, now_ms, request, server)
          || bgap_router_end_paused (state, now_ms, request, NULL))
        continue;
      if (server == NULL)
        break;
      bgap_router_note_sent (&service->spare, now_ms, top->major);
      bgap_router_leave_state (state, request);
      _bgap_router_dispatch (state, now_ms, request, server);
    }
  service->dispatching = false;
  bgap_router_want_any_permits (state, now_ms, service,
                                top != NULL ? top->major : 0);
  bgap_router_want_any_checks (state, now_ms, service);
}

void
bgap_router_dispatch_holder_queue (struct bgap_router_state *state,
                                   int64_t now_ms,
                                   struct bgap_router_server *server)
{
  struct bgap_router_service *service
      = bgap_router_service (state, server->server.service.id);
  if (service == NULL || service->dispatching)
    return;
  service->dispatching = true;
  const struct bgap_heap_item *top;
  while ((top = bgap_heap_top (&server->queue)) != NULL)
    {
      struct bgap_router_request *request
          = bgap_router_open_request (state, top->id);
      if (_bgap_router_end_refused (state, now_ms, request)
          || bgap_router_rerank (state, now_ms, &server->queue, &server->spare,
                                 top->major, request))
        continue;
      if (!bgap_server_holder_eligible (&server->server, now_ms))
        {
          bgap_router_leave_state (state, request);
          bgap_router_resolve (state, now_ms, request);
          continue;
        }
      if (_bgap_router_end_late (state, now_ms, request, server)
          || bgap_router_end_paused (state, now_ms, request, server))
        continue;
      if (bgap_router_server_at_limit (service, now_ms, &server->server))
        break;
      bgap_router_note_sent (&server->spare, now_ms, top->major);
      bgap_router_leave_state (state, request);
      _bgap_router_dispatch (state, now_ms, request, server);
    }
  service->dispatching = false;
  if (server->queue.count > 0)
    bgap_router_want_check (state, now_ms, &server->server);
  if (service->desc.keyed)
    bgap_router_want_permits (state, now_ms, &server->server,
                              server->queue.count,
                              top != NULL ? top->major : 0);
}
