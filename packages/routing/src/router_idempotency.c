#include "router_parts.h"

static void
_bgap_router_on_event (struct bgap_router_state *state, int64_t now_ms,
                       const struct bgap_idempotency_event *event)
{
  struct bgap_router_request *request
      = bgap_router_open_request (state, event->request);
  if (request == NULL)
    return;
  switch (event->kind)
    {
    case BGAP_IDEMPOTENCY_EVENT_WON:
      bgap_router_leave_state (state, request);
      request->intent_won = true;
      bgap_router_route (state, now_ms, request);
      return;
    case BGAP_IDEMPOTENCY_EVENT_STORED:
      bgap_router_finish_stored (state, now_ms, request, &event->answer);
      return;
    case BGAP_IDEMPOTENCY_EVENT_DIGEST_MISMATCH:
      bgap_router_finish (state, now_ms, request, BGAP_REASON_KEY_REUSED);
      return;
    case BGAP_IDEMPOTENCY_EVENT_EXPIRED:
      bgap_router_finish (state, now_ms, request, BGAP_REASON_KEY_EXPIRED);
      return;
    case BGAP_IDEMPOTENCY_EVENT_INSTANCE_LOST:
      request->maybe_ran = true;
      bgap_router_finish (state, now_ms, request,
                          BGAP_REASON_IDEMPOTENCY_WINNER_LOST);
      return;
    }
}

void
bgap_router_process_idempotency (struct bgap_router_state *state,
                                 int64_t now_ms,
                                 struct bgap_router_service *service)
{
  struct bgap_idempotency_event event;
  while (bgap_idempotency_next_event (&service->idempotency, &event))
    _bgap_router_on_event (state, now_ms, &event);
  struct bgap_idempotency_append append;
  while (bgap_idempotency_next_append (&service->idempotency, now_ms, &append))
    bgap_router_emit (
        state, &(struct bgap_router_action){ .kind = BGAP_ROUTER_ACTION_APPEND,
                                             .service = { service->id },
                                             .append_id = append.id,
                                             .bytes = append.bytes,
                                             .size = append.size });
}

void
bgap_router_begin_idempotency (struct bgap_router_state *state, int64_t now_ms,
                               struct bgap_router_request *request,
                               const struct bgap_request_desc *desc)
{
  static const enum bgap_reason reasons[] = {
    [BGAP_IDEMPOTENCY_KEY_INVALID] = BGAP_REASON_KEY_MISSING,
    [BGAP_IDEMPOTENCY_KEY_EXPIRED] = BGAP_REASON_KEY_EXPIRED,
    [BGAP_IDEMPOTENCY_KEY_FUTURE] = BGAP_REASON_KEY_FUTURE,
    [BGAP_IDEMPOTENCY_DIGEST_MISMATCH] = BGAP_REASON_KEY_REUSED,
    [BGAP_IDEMPOTENCY_NOT_READY] = BGAP_REASON_IDEMPOTENCY_NOT_READY,
    [BGAP_IDEMPOTENCY_FULL] = BGAP_REASON_IDEMPOTENCY_FULL,
  };
  struct bgap_router_service *service
      = bgap_router_service (state, request->service);
  if (service->idempotency_waiting >= bgap_router_queue_limit (service))
    {
      bgap_router_finish (state, now_ms, request, BGAP_REASON_QUEUE_FULL);
      return;
    }
  struct bgap_idempotency_answer answer;
  enum bgap_idempotency_begin_result result = bgap_idempotency_begin (
      &service->idempotency, now_ms, desc->wall_ms, desc->key,
      desc->key ? desc->key_size : 0, request->digest, request->id, &answer);
  if (result == BGAP_IDEMPOTENCY_STORED)
    bgap_router_finish_stored (state, now_ms, request, &answer);
  else if (result != BGAP_IDEMPOTENCY_WAITING)
    bgap_router_finish (state, now_ms, request, reasons[result]);
  else
    {
      request->has_idempotency_record = true;
      request->state = BGAP_REQUEST_IDEMPOTENCY;
      service->idempotency_waiting++;
      bgap_router_process_idempotency (state, now_ms, service);
    }
}

static struct bgap_router_service *
_bgap_router_idempotency_service (const struct bgap_router *router,
                                  struct bgap_service_id service_id)
{
  struct bgap_router_service *service
      = bgap_router_service (router->state, service_id.id);
  return service != NULL && service->idempotency.state != NULL ? service
                                                               : NULL;
}

enum bgap_status
bgap_router_on_idempotency_record (struct bgap_router *router, int64_t now_ms,
                                   int64_t wall_ms,
                                   struct bgap_service_id service_id,
                                   uint64_t offset, const void *bytes,
                                   size_t size, struct bgap_error *err)
{
  struct bgap_router_service *service
      = _bgap_router_idempotency_service (router, service_id);
  if (service == NULL)
    return bgap_error_set (err, BGAP_ERR_NOT_FOUND,
                           "the service keeps no idempotency records");
  enum bgap_status status = bgap_idempotency_on_record (
      &service->idempotency, now_ms, wall_ms, offset, bytes, size, err);
  if (status == BGAP_ERR_PROTOCOL || status == BGAP_ERR_UNAVAILABLE)
    router->state->counts.rejected_input++;
  bgap_router_process_idempotency (router->state, now_ms, service);
  return status;
}

void
bgap_router_on_idempotency_end (struct bgap_router *router, int64_t now_ms,
                                struct bgap_service_id service_id,
                                uint64_t end)
{
  struct bgap_router_service *service
      = _bgap_router_idempotency_service (router, service_id);
  if (service == NULL)
    return;
  bgap_idempotency_on_stream_end (&service->idempotency, end);
  bgap_router_process_idempotency (router->state, now_ms, service);
}

uint64_t
bgap_router_idempotency_applied (const struct bgap_router *router,
                                 struct bgap_service_id service_id)
{
  const struct bgap_router_service *service
      = _bgap_router_idempotency_service (router, service_id);
  return service ? bgap_idempotency_applied_offset (&service->idempotency) : 0;
}

void
bgap_router_on_append_done (struct bgap_router *router, int64_t now_ms,
                            struct bgap_service_id service_id,
                            uint32_t append_id, bool ok)
{
  struct bgap_router_service *service
      = _bgap_router_idempotency_service (router, service_id);
  if (service == NULL)
    return;
  bgap_idempotency_on_append_done (&service->idempotency, now_ms, append_id,
                                   ok);
  bgap_router_process_idempotency (router->state, now_ms, service);
}
