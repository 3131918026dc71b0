#include "banyangap/routing/router_explain.h"

#include "router_parts.h"

/**
 * struct dry_run - copies of what a decision changes
 * @state: its random generator is a copy; what it points to is not changed
 * @service: its distributions of response times are scaled by each reading
 */
struct dry_run
{
  struct bgap_router_state state;
  struct bgap_router_service service;
  struct bgap_router_request request;
  int64_t now_ms;
};

static bool
_bgap_explain_begin (struct dry_run *run, const struct bgap_router *router,
                     int64_t now_ms, const struct bgap_request_desc *desc)
{
  const struct bgap_router_service *service
      = bgap_router_service (router->state, desc->service.id);
  if (service == NULL)
    return false;
  run->state = *router->state;
  run->service = *service;
  run->service.balancer.random = &run->state.random;
  run->now_ms = now_ms;
  bgap_router_init_request (&run->request, now_ms, service, desc);
  bgap_router_expect_cost (&run->service, &run->request);
  return true;
}

static void
_bgap_explain_refuse (struct dry_run *run, enum bgap_reason reason,
                      struct bgap_explain_result *result)
{
  result->step = BGAP_EXPLAIN_REFUSE;
  result->reason = reason;
  result->expected_ms = (double)run->request.expected_ms;
  result->retry_after_ms = bgap_router_retry_after_ms (
      &run->state, &run->service, &run->request, run->now_ms);
}

/* Sends the request to @server, unless it would be late.  */
static void
_bgap_explain_send (struct dry_run *run,
                    const struct bgap_router_server *server,
                    struct bgap_explain_result *result)
{
  enum bgap_reason reason;
  if (bgap_router_is_late (&run->state, run->now_ms, &run->service,
                           &run->request, server, &reason))
    {
      _bgap_explain_refuse (run, reason, result);
      return;
    }
  result->step = BGAP_EXPLAIN_SEND;
  result->server.id = server->id;
  result->expected_ms = bgap_router_expected_ms (
      &run->service, &server->server, run->now_ms,
      bgap_router_cost_ms (&run->service, &run->request));
}

/* Counts the request as waiting. Less urgent ones that a full queue refuses in
   its place are told a random time.  */
static void
_bgap_explain_enter_queue (struct dry_run *run)
{
  uint32_t limit = bgap_router_queue_limit (&run->service);
  for (; run->service.waiting >= limit; run->service.waiting--)
    bgap_random_next (&run->state.random);
  run->service.waiting++;
}

/* Puts the request into a queue, whose first request is then tried.  */
static void
_bgap_explain_wait (struct dry_run *run,
                    const struct bgap_router_server *holder,
                    struct bgap_explain_result *result)
{
  struct bgap_router_wait wait;
  enum bgap_reason reason;
  if (bgap_router_wait_refuses (&run->state, &run->service, holder,
                                run->now_ms, &run->request, &wait))
    {
      _bgap_explain_refuse (run, wait.reason, result);
      return;
    }
  _bgap_explain_enter_queue (run);
  if (wait.position == 1)
    {
      const struct bgap_router_server *server = holder;
      if (holder == NULL)
        server = bgap_router_choose (&run->state, run->now_ms, &run->service,
                                     &run->request);
      else if (bgap_router_server_at_limit (&run->service, run->now_ms,
                                            &holder->server))
        server = NULL;
      if (server != NULL)
        {
          _bgap_explain_send (run, server, result);
          return;
        }
      if (bgap_router_is_late (&run->state, run->now_ms, &run->service,
                               &run->request, holder, &reason))
        {
          _bgap_explain_refuse (run, reason, result);
          return;
        }
    }
  result->step = BGAP_EXPLAIN_WAIT;
  result->position = wait.position;
  result->server.id = holder != NULL ? holder->id : BGAP_INVALID_ID;
  result->wait_ms = bgap_router_wait_ms (&run->service, holder, run->now_ms,
                                         wait.position);
  result->expected_ms
      = result->wait_ms
        + bgap_router_median_ms (
            &run->service, run->now_ms,
            bgap_router_cost_ms (&run->service, &run->request));
}

/* Looks for the holder of the key, which @known is not or no longer.  */
static void
_bgap_explain_look_up (struct dry_run *run,
                       const struct bgap_router_server *known,
                       int64_t outage_ms, struct bgap_explain_result *result)
{
  int64_t rank = bgap_router_rank (&run->service, run->now_ms, &run->request);
  if (bgap_router_queue_full (&run->service,
                              known != NULL ? &known->queue : NULL, rank))
    {
      _bgap_explain_refuse (run, BGAP_REASON_QUEUE_FULL, result);
      return;
    }
  if (bgap_router_outage_refuses (&run->request, run->now_ms, outage_ms))
    {
      run->request.expected_ms = outage_ms;
      run->request.outage_ms = outage_ms;
      _bgap_explain_refuse (run, BGAP_REASON_NO_SERVER, result);
      return;
    }
  result->step = BGAP_EXPLAIN_LOOK_UP;
  result->wait_ms = (double)outage_ms;
}

static void
_bgap_explain_keyed (struct dry_run *run, int64_t outage_ms,
                     struct bgap_explain_result *result)
{
  const struct bgap_router_server *holder
      = bgap_router_server (&run->state, run->request.holder);
  if (holder == NULL || holder->server.service.id != run->service.id
      || !bgap_server_holder_eligible (&holder->server, run->now_ms))
    _bgap_explain_look_up (run, holder, outage_ms, result);
  else if (bgap_router_pause_refuses (&run->service, run->now_ms,
                                      &run->request, holder))
    _bgap_explain_refuse (run, BGAP_REASON_PAUSED, result);
  else if (holder->queue.count > 0
           || bgap_router_server_at_limit (&run->service, run->now_ms,
                                           &holder->server))
    _bgap_explain_wait (run, holder, result);
  else
    _bgap_explain_send (run, holder, result);
}

static void
_bgap_explain_any (struct dry_run *run, struct bgap_explain_result *result)
{
  if (run->service.server_count == 0)
    {
      _bgap_explain_refuse (run, BGAP_REASON_NO_SERVER, result);
      return;
    }
  if (bgap_router_pause_refuses (&run->service, run->now_ms, &run->request,
                                 NULL))
    {
      _bgap_explain_refuse (run, BGAP_REASON_PAUSED, result);
      return;
    }
  const struct bgap_router_server *server = NULL;
  if (run->service.queue.count == 0)
    server = bgap_router_choose (&run->state, run->now_ms, &run->service,
                                 &run->request);
  if (server != NULL)
    _bgap_explain_send (run, server, result);
  else
    _bgap_explain_wait (run, NULL, result);
}

enum bgap_status
bgap_router_explain (const struct bgap_router *router, int64_t now_ms,
                     const struct bgap_request_desc *desc, int64_t outage_ms,
                     struct bgap_explain_result *result)
{
  struct dry_run run;
  struct bgap_balancer_cost cost;
  enum bgap_reason reason;
  *result = (struct bgap_explain_result){ 0 };
  if (!_bgap_explain_begin (&run, router, now_ms, desc))
    return BGAP_ERR_NOT_FOUND;
  if (run.state.requests.used >= run.state.requests.capacity)
    return BGAP_ERR_FULL;
  if (run.service.desc.repeat_never && !desc->idempotent)
    return BGAP_ERR_INVALID;
  result->class_ = run.request.class_;
  result->attempts_max = run.request.attempts_max;
  result->deadline_ms = run.request.deadline_at_ms - now_ms;
  result->cost_ms = run.request.cost_ms;
  result->by_cost = bgap_router_placement (&run.service, &run.request, &cost);
  result->waiting = run.service.waiting;
  result->queue_limit = bgap_router_queue_limit (&run.service);
  if (!bgap_router_accepts (&run.state, now_ms))
    _bgap_explain_refuse (&run, BGAP_REASON_SHUTDOWN, result);
  else if (bgap_router_refuses (&run.state, now_ms, &run.service, &run.request,
                                &reason))
    _bgap_explain_refuse (&run, reason, result);
  else if (run.service.desc.keyed)
    _bgap_explain_keyed (&run, outage_ms, result);
  else
    _bgap_explain_any (&run, result);
  return BGAP_OK;
}
