#include "router_parts.h"

#define HTTP_SERVER_ERROR 500

/* Upper bound of the first pause after a shed, as a divisor of the service
   time. In bench_routing, longer pauses left slots idle in an overload (88 %
   instead of 92 % of the capacity answered at twice the load); shorter ones
   gained another 1 % for a fifth more attempts.  */
#define SHED_PAUSE_DIVISOR 2
#define BACKOFF_DOUBLINGS_MAX 4u

void
bgap_router_end_attempt (struct bgap_router_state *state, int64_t now_ms,
                         struct bgap_router_request *request)
{
  (void)now_ms;
  const struct bgap_router_attempt *attempt
      = bgap_pool_get (&state->attempts, request->attempt);
  struct bgap_router_server *server
      = bgap_router_server (state, attempt->server);
  bgap_outstanding_remove (&server->server.work, request->attempt,
                           attempt->cost_ms);
  bgap_pool_free (&state->attempts, request->attempt);
  request->attempt = BGAP_INVALID_ID;
  request->state = BGAP_REQUEST_NEW;
  server->server.suspects -= request->suspect_counted;
  request->suspect_counted = false;
  server->server.bytes_in_flight -= request->body_size;
  bgap_server_on_end (&server->server);
  if (server->server.removed && server->server.in_flight == 0)
    bgap_router_free_server (state, server);
}

void
bgap_router_cancel_attempt (struct bgap_router_state *state, int64_t now_ms,
                            struct bgap_router_request *request)
{
  const struct bgap_router_attempt *attempt
      = bgap_pool_get (&state->attempts, request->attempt);
  bgap_router_emit (state, &(struct bgap_router_action){
                               .kind = BGAP_ROUTER_ACTION_CANCEL_ATTEMPT,
                               .request = { request->id },
                               .context = request->context,
                               .attempt = { request->attempt },
                               .service = { request->service },
                               .server = { attempt->server } });
  bgap_router_end_attempt (state, now_ms, request);
}

/**
 * enum retry_cause - how the attempt ended that is followed by another one
 */
enum retry_cause
{
  RETRY_FAILED,
  RETRY_REFUSED, /* by a live server */
  RETRY_UNSENT   /* no byte reached a server */
};

/* Whether a retry takes from the retry budget. After a refusal it does not if
   the instances share slots and this one chose the wrong server; these retries
   are bounded by the pauses of bgap_server_back_off() and by the limits of
   refusals and attempts of a request. If the instances share the budget, it
   limits the arrivals at servers, of which an unsent attempt is none.  */
static bool
_bgap_router_charges (const struct bgap_router_service *service,
                      enum retry_cause cause)
{
  if (cause == RETRY_REFUSED)
    return service->desc.charge_refusals;
  return cause == RETRY_FAILED || !service->desc.shared_slots;
}

/* Retries a request in state NEW, or finishes it with @reason.  */
static void
_bgap_router_retry (struct bgap_router_state *state, int64_t now_ms,
                    struct bgap_router_request *request,
                    enum bgap_reason reason, enum retry_cause cause)
{
  struct bgap_router_service *service
      = bgap_router_service (state, request->service);
  bool limited = service->desc.policy->limited;
  uint32_t counted = request->attempts;
  bool refused = cause == RETRY_REFUSED;
  bool charged = _bgap_router_charges (service, cause);
  if (limited)
    {
      request->refusals += refused && !charged;
      counted -= request->refusals;
    }
  if (request->detached || counted >= request->attempts_max
      || request->refusals >= BGAP_ROUTER_REFUSALS_MAX)
    {
      bgap_router_finish (state, now_ms, request, reason);
      return;
    }
  if (charged && limited && !bgap_retry_budget_take (&service->budget))
    {
      bgap_router_finish (state, now_ms, request, BGAP_REASON_RETRY_BUDGET);
      return;
    }
  state->counts.retries++;
  uint32_t shift = request->attempts - 1;
  if ((shift == 0 || (limited && refused)) && !service->desc.keyed)
    {
      bgap_router_route (state, now_ms, request);
      return;
    }
  if (shift > BACKOFF_DOUBLINGS_MAX)
    shift = BACKOFF_DOUBLINGS_MAX;
  bgap_router_back_off (state, now_ms, request,
                        (int64_t)BGAP_ROUTER_BACKOFF_MS << shift, false);
}

void
bgap_router_attempt_broken (struct bgap_router_state *state, int64_t now_ms,
                            struct bgap_router_request *request,
                            enum bgap_reason reason)
{
  request->maybe_ran = true;
  request->broken_attempts++;
  /* A request whose attempts broke twice may itself be the cause; it is not
     retried.  */
  if (!request->idempotent || request->started || request->trial
      || request->broken_attempts > 1)
    bgap_router_finish (state, now_ms, request, reason);
  else
    _bgap_router_retry (state, now_ms, request, reason, RETRY_FAILED);
}

bool
bgap_router_can_retry (const struct bgap_router *router, int64_t now_ms,
                       struct bgap_attempt_id attempt_id)
{
  const struct bgap_router_state *state = router->state;
  const struct bgap_router_attempt *attempt
      = bgap_pool_get (&state->attempts, attempt_id.id);
  if (attempt == NULL)
    return false;
  const struct bgap_router_request *request
      = bgap_router_open_request (state, attempt->request);
  struct bgap_router_service *service
      = bgap_router_service (state, request->service);
  return request->idempotent && !request->detached && !request->started
         && request->attempts < request->attempts_max
         && (double)(request->deadline_at_ms - now_ms)
                > bgap_router_median_ms (
                    service, now_ms, bgap_router_cost_ms (service, request))
         && (!service->desc.policy->limited
             || bgap_retry_budget_has (&service->budget));
}

void
bgap_router_report_broken (struct bgap_router_state *state, int64_t now_ms,
                           const struct bgap_router_request *request,
                           const struct bgap_server *server)
{
  const struct bgap_router_attempt *attempt
      = bgap_pool_get (&state->attempts, request->attempt);
  bgap_quarantine_broken (
      &state->quarantine, now_ms,
      &(struct bgap_quarantine_attempt){ .fingerprint = request->fingerprint,
                                         .server = server->hash,
                                         .stamp = attempt->stamp,
                                         .sent_ms = request->dispatched_at_ms,
                                         .broken_ms = now_ms });
}

/* Ejects a server unless more than half of the service's servers would then
   be ejected.  */
static void
_bgap_router_eject (int64_t now_ms, struct bgap_router_service *service,
                    struct bgap_server *server)
{
  uint32_t ejected = 1;
  for (uint32_t i = 0; i < service->server_count; i++)
    ejected += service->servers[i] != server
               && bgap_server_ejected (service->servers[i], now_ms);
  if (service->desc.policy->limited && 2 * ejected <= service->server_count)
    bgap_server_eject (server, now_ms);
}

/* Random pause after a refusal, so that the instances do not retry at the same
   time.  */
static int64_t
_bgap_router_pause_ms (struct bgap_router_state *state,
                       const struct bgap_router_service *service)
{
  uint64_t spread = (uint64_t)service->response_ms / SHED_PAUSE_DIVISOR + 1;
  return 1 + (int64_t)bgap_random_below (&state->random, spread);
}

/* Updates the estimates and the state of the server with a result. A timeout
   of less than twice the response time is no failure of the server: the
   deadline of the caller was short.  */
static void
_bgap_router_record_result (struct bgap_router_state *state, int64_t now_ms,
                            const struct bgap_router_request *request,
                            struct bgap_router_server *server,
                            enum bgap_result_kind kind, int http_status)
{
  struct bgap_router_service *service
      = bgap_router_service (state, request->service);
  double duration_ms = (double)(now_ms - request->dispatched_at_ms);
  bgap_router_record_time (service, &server->server, now_ms, request, kind,
                           http_status >= HTTP_SERVER_ERROR);
  if (kind == BGAP_RESULT_TIMEOUT && duration_ms < 2 * service->response_ms)
    return;
  if (kind == BGAP_RESULT_BROKEN)
    bgap_router_report_broken (state, now_ms, request, &server->server);
  if (kind == BGAP_RESULT_COMPLETE || kind == BGAP_RESULT_FAILED)
    {
      bgap_quarantine_answered (&state->quarantine, now_ms,
                                request->fingerprint);
      bgap_router_send_suspicions (state);
    }
  if (kind == BGAP_RESULT_SHED)
    bgap_server_back_off (&server->server, now_ms,
                          _bgap_router_pause_ms (state, service));
  /* A full holder may reset connections. Requests for its keys have no other
     server, so without a pause all instances would retry it at once.  */
  if (kind == BGAP_RESULT_BROKEN && service->desc.keyed
      && service->desc.shared_slots)
    bgap_server_on_unanswered_close (&server->server, now_ms,
                                     _bgap_router_pause_ms (state, service));
  if (bgap_server_on_result (&server->server, now_ms, kind))
    _bgap_router_eject (now_ms, service, &server->server);
  if (kind != BGAP_RESULT_COMPLETE)
    return;
  service->rate.completed++;
  server->rate.completed++;
  bgap_server_on_latency (
      &server->server,
      (int64_t)(duration_ms * bgap_router_mean_cost_ms (service)
                / bgap_router_cost_ms (service, request)),
      request->uncontended);
}

void
bgap_router_attempt_timed_out (struct bgap_router_state *state, int64_t now_ms,
                               struct bgap_router_request *request)
{
  const struct bgap_router_attempt *attempt
      = bgap_pool_get (&state->attempts, request->attempt);
  _bgap_router_record_result (state, now_ms, request,
                              bgap_router_server (state, attempt->server),
                              BGAP_RESULT_TIMEOUT, 0);
  bgap_router_cancel_attempt (state, now_ms, request);
  request->maybe_ran = true;
  bgap_router_finish (state, now_ms, request, BGAP_REASON_DEADLINE);
}

/* Whether a request that its holder refused may be sent to the holder again;
   takes from the retry budget. In services without charge_refusals only the
   deadline limits how often.  */
static bool
_bgap_router_may_resend_to_holder (struct bgap_router_state *state,
                                   struct bgap_router_request *request)
{
  struct bgap_router_service *service
      = bgap_router_service (state, request->service);
  if (!service->desc.charge_refusals)
    return true;
  return ++request->fenced_refusals <= BGAP_ROUTER_FENCED_MAX
         && bgap_retry_budget_take (&service->budget);
}

/* Routes a request again whose attempt was not sent: the attempt counts as if
   it had not been dispatched.  */
static void
_bgap_router_route_unsent (struct bgap_router_state *state, int64_t now_ms,
                           struct bgap_router_request *request)
{
  if (request->detached)
    {
      bgap_router_finish (state, now_ms, request, BGAP_REASON_REFUSED);
      return;
    }
  request->attempts--;
  request->tried[request->attempts % BGAP_ROUTER_TRIED_MAX] = BGAP_INVALID_ID;
  if (bgap_router_service (state, request->service)->desc.keyed)
    bgap_router_resolve (state, now_ms, request);
  else
    bgap_router_route (state, now_ms, request);
}

static void
_bgap_router_handle_result (struct bgap_router_state *state, int64_t now_ms,
                            struct bgap_router_request *request,
                            const struct bgap_attempt_result *result)
{
  switch (result->kind)
    {
    case BGAP_RESULT_COMPLETE:
      bgap_router_finish_answered (state, now_ms, request, result);
      return;
    case BGAP_RESULT_FENCED:
    case BGAP_RESULT_DRAINING:
      if (bgap_router_service (state, request->service)->desc.keyed
          && !request->detached)
        {
          if (!_bgap_router_may_resend_to_holder (state, request))
            {
              bgap_router_finish (state, now_ms, request,
                                  BGAP_REASON_NO_SERVER);
              return;
            }
          request->attempts--;
          request->fenced_by_holder = true;
          bgap_router_resolve (state, now_ms, request);
        }
      else
        _bgap_router_retry (state, now_ms, request, BGAP_REASON_REFUSED,
                            RETRY_REFUSED);
      return;
    case BGAP_RESULT_SHED:
      _bgap_router_retry (state, now_ms, request, BGAP_REASON_REFUSED,
                          RETRY_REFUSED);
      return;
    case BGAP_RESULT_NO_CONNECT:
      _bgap_router_retry (state, now_ms, request, BGAP_REASON_REFUSED,
                          RETRY_UNSENT);
      return;
    case BGAP_RESULT_NOT_SENT:
      _bgap_router_route_unsent (state, now_ms, request);
      return;
    case BGAP_RESULT_FAILED:
      if (!request->idempotent)
        {
          bgap_router_attempt_broken (state, now_ms, request,
                                      BGAP_REASON_FAILED);
          return;
        }
      request->maybe_ran = true;
      _bgap_router_retry (state, now_ms, request, BGAP_REASON_FAILED,
                          RETRY_FAILED);
      return;
    case BGAP_RESULT_TIMEOUT:
      bgap_router_attempt_broken (state, now_ms, request,
                                  BGAP_REASON_DEADLINE);
      return;
    case BGAP_RESULT_BROKEN:
    case BGAP_RESULT_STARTED:
    case BGAP_RESULT_COUNT:
      break;
    }
  bgap_router_attempt_broken (state, now_ms, request, BGAP_REASON_BROKEN);
}

void
bgap_router_on_attempt (struct bgap_router *router, int64_t now_ms,
                        struct bgap_attempt_id attempt_id,
                        const struct bgap_attempt_result *result)
{
  struct bgap_router_state *state = router->state;
  const struct bgap_router_attempt *attempt
      = bgap_pool_get (&state->attempts, attempt_id.id);
  if (attempt == NULL || result->kind >= BGAP_RESULT_COUNT)
    return;
  struct bgap_router_request *request
      = bgap_router_open_request (state, attempt->request);
  uint32_t server_id = attempt->server;
  uint32_t service_id = request->service;
  if (result->kind == BGAP_RESULT_STARTED)
    {
      request->started = true;
      return;
    }
  struct bgap_attempt_result checked = *result;
  /* Once the response has begun to arrive, a refusal is no proof that the
     request did not run, and the caller can get no other response.  */
  if (request->started
      && (bgap_result_proves_not_run (result->kind)
          || result->kind == BGAP_RESULT_FAILED))
    checked.kind = BGAP_RESULT_BROKEN;
  if (checked.kind != BGAP_RESULT_NOT_SENT)
    _bgap_router_record_result (state, now_ms, request,
                                bgap_router_server (state, server_id),
                                checked.kind, checked.http_status);
  bgap_router_end_attempt (state, now_ms, request);
  _bgap_router_handle_result (state, now_ms, request, &checked);
  struct bgap_router_server *server = bgap_router_server (state, server_id);
  if (server != NULL)
    bgap_router_dispatch_holder_queue (state, now_ms, server);
  struct bgap_router_service *service
      = bgap_router_service (state, service_id);
  if (service != NULL)
    bgap_router_dispatch_queue (state, now_ms, service);
}
