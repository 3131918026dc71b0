#include "router_parts.h"

#define RETRY_AFTER_S 1

#define HTTP_BAD_REQUEST 400
#define HTTP_CONFLICT 409
#define HTTP_GONE 410
#define HTTP_UNPROCESSABLE_CONTENT 422
#define HTTP_TOO_MANY_REQUESTS 429
#define HTTP_BAD_GATEWAY 502
#define HTTP_SERVICE_UNAVAILABLE 503
#define HTTP_GATEWAY_TIMEOUT 504

void
bgap_router_emit (struct bgap_router_state *state,
                  const struct bgap_router_action *action)
{
  /* Memory for actions without bytes is reserved. An action with bytes that
     cannot be allocated is dropped, like a message lost on the network.  */
  (void)bgap_action_queue_push (&state->actions, action);
}

static int
_bgap_finish_http_status (enum bgap_outcome outcome, enum bgap_reason reason)
{
  if (outcome == BGAP_OUTCOME_UNKNOWN)
    return reason == BGAP_REASON_DEADLINE
                   || reason == BGAP_REASON_IDEMPOTENCY_WINNER_LOST
               ? HTTP_GATEWAY_TIMEOUT
               : HTTP_BAD_GATEWAY;
  switch (reason)
    {
    case BGAP_REASON_RETRY_BUDGET:
      return HTTP_TOO_MANY_REQUESTS;
    case BGAP_REASON_QUARANTINED:
    case BGAP_REASON_KEY_REUSED:
      return HTTP_UNPROCESSABLE_CONTENT;
    case BGAP_REASON_KEY_MISSING:
      return HTTP_BAD_REQUEST;
    case BGAP_REASON_KEY_EXPIRED:
    case BGAP_REASON_KEY_FUTURE:
      return HTTP_CONFLICT;
    case BGAP_REASON_STORED_DROPPED:
      return HTTP_GONE;
    default:
      return HTTP_SERVICE_UNAVAILABLE;
    }
}

/* Records the outcome, frees the request and emits the action FINISH.  */
static void
_bgap_finish_request (struct bgap_router_state *state, int64_t now_ms,
                      struct bgap_router_request *request,
                      struct bgap_router_action *action,
                      const struct bgap_idempotency_answer *answer)
{
  struct bgap_router_service *service
      = bgap_router_service (state, request->service);
  bool has_record = request->has_idempotency_record;
  bool detached = request->detached;
  action->kind = BGAP_ROUTER_ACTION_FINISH;
  action->request.id = request->id;
  action->context = request->context;
  action->service.id = request->service;
  action->streamed = request->started;
  action->cost_ms = (int64_t)request->cost_ms;
  bgap_router_leave_state (state, request);
  if (request->intent_won)
    bgap_idempotency_finish (&service->idempotency, now_ms, request->id,
                             answer);
  bgap_heap_remove (&state->timers, request->id);
  bgap_pool_free (&state->requests, request->id);
  if (!detached)
    {
      state->counts.finished[action->outcome]++;
      state->counts.reasons[action->reason]++;
      bgap_router_emit (state, action);
    }
  if (has_record)
    bgap_router_process_idempotency (state, now_ms, service);
}

void
bgap_router_finish (struct bgap_router_state *state, int64_t now_ms,
                    struct bgap_router_request *request,
                    enum bgap_reason reason)
{
  if (request->state == BGAP_REQUEST_IDEMPOTENCY)
    {
      struct bgap_router_service *service
          = bgap_router_service (state, request->service);
      enum bgap_idempotency_wait wait
          = bgap_idempotency_cancel (&service->idempotency, request->id);
      if (wait == BGAP_IDEMPOTENCY_WAIT_OUTCOME)
        request->maybe_ran = true;
      if (reason == BGAP_REASON_DEADLINE)
        reason = wait == BGAP_IDEMPOTENCY_WAIT_OUTCOME
                     ? BGAP_REASON_IDEMPOTENCY_WINNER_LOST
                     : BGAP_REASON_IDEMPOTENCY_NO_RECORD;
    }
  if (request->trial && !request->maybe_ran)
    bgap_quarantine_drop_trial (&state->quarantine, now_ms,
                                request->fingerprint);
  const struct bgap_idempotency_answer answer = {
    .outcome
    = request->maybe_ran ? BGAP_OUTCOME_UNKNOWN : BGAP_OUTCOME_NOT_RUN,
  };
  struct bgap_router_action action = {
    .outcome = answer.outcome,
    .reason = reason,
    .http_status = _bgap_finish_http_status (answer.outcome, reason),
    .expected_ms = request->expected_ms,
  };
  if (action.http_status == HTTP_SERVICE_UNAVAILABLE
      || action.http_status == HTTP_TOO_MANY_REQUESTS)
    {
      const struct bgap_router_service *service
          = bgap_router_service (state, request->service);
      action.retry_after_s = RETRY_AFTER_S;
      if (service != NULL)
        action.retry_after_ms
            = bgap_router_retry_after_ms (state, service, request, now_ms);
    }
  _bgap_finish_request (state, now_ms, request, &action, &answer);
}

void
bgap_router_finish_answered (struct bgap_router_state *state, int64_t now_ms,
                             struct bgap_router_request *request,
                             const struct bgap_attempt_result *result)
{
  bool dropped = result->body_dropped
                 || result->body_size > BGAP_IDEMPOTENCY_BODY_MAX
                 || (result->body == NULL && result->body_size > 0);
  const struct bgap_idempotency_answer answer = {
    .outcome = BGAP_OUTCOME_ANSWERED,
    .http_status = result->http_status,
    .body_dropped = dropped,
    .body = dropped ? NULL : result->body,
    .body_size = dropped ? 0 : result->body_size,
    .content_type = result->content_type,
  };
  struct bgap_router_action action = {
    .outcome = BGAP_OUTCOME_ANSWERED,
    .reason = BGAP_REASON_ANSWERED,
    .http_status = result->http_status,
  };
  _bgap_finish_request (state, now_ms, request, &action, &answer);
}

void
bgap_router_finish_stored (struct bgap_router_state *state, int64_t now_ms,
                           struct bgap_router_request *request,
                           const struct bgap_idempotency_answer *answer)
{
  if (answer->outcome != BGAP_OUTCOME_ANSWERED)
    {
      request->maybe_ran = true;
      bgap_router_finish (state, now_ms, request,
                          BGAP_REASON_IDEMPOTENCY_WINNER_LOST);
      return;
    }
  struct bgap_router_action action = {
    .outcome = BGAP_OUTCOME_ANSWERED,
    .reason
    = answer->body_dropped ? BGAP_REASON_STORED_DROPPED : BGAP_REASON_STORED,
    .http_status = answer->body_dropped ? HTTP_GONE : answer->http_status,
    .bytes = answer->body,
    .size = answer->body_size,
    .content_type = answer->content_type ? answer->content_type : "",
  };
  _bgap_finish_request (state, now_ms, request, &action, NULL);
}
