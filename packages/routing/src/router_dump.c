#include <inttypes.h>

#include "router_parts.h"

struct bgap_router_counts
bgap_router_counts (const struct bgap_router *router)
{
  const struct bgap_router_state *state = router->state;
  struct bgap_router_counts counts = state->counts;
  counts.in_flight = state->attempts.used;
  counts.open = state->requests.used;
  counts.queued = 0;
  for (uint32_t id = bgap_pool_next (&state->services, BGAP_INVALID_ID);
       id != BGAP_INVALID_ID; id = bgap_pool_next (&state->services, id))
    counts.queued += bgap_router_service (state, id)->waiting;
  return counts;
}

static enum bgap_status
_bgap_router_dump_server (const struct bgap_server *server,
                          struct bgap_buffer *out)
{
  return bgap_buffer_printf (
      out,
      "  server %s zone=%s slots=%" PRIu32 " quota=%" PRIu32
      " in_flight=%" PRIu32 " peers=%" PRIu32 " window=%" PRIu32
      "/16 load=%" PRIu32 "%% failures=%" PRIu32 " drain=%" PRIu32
      " ejected_until_ms=%" PRId64 " lost=%d incarnation=%" PRIx64
      " rate_limit_per_s=%.2f cold_per_s=%.2f cold_until_ms=%" PRId64
      " permits=%" PRIu32 " asked=%" PRIu32 "\n",
      server->name, server->zone, server->slots, server->quota,
      server->in_flight, server->in_flight_peers, server->window,
      server->load_percent, server->failures, server->drain_signals,
      server->ejected_until_ms, server->lost, server->incarnation,
      server->rate_limit.per_s, server->rate_limit.cold_per_s,
      server->rate_limit.cold_until_ms, server->rate_limit.permits,
      server->rate_limit.asked);
}

/* What was learned of the costs: for each class, and of the server its speed
   and the load that it reported.  */
static enum bgap_status
_bgap_router_dump_costs (const struct bgap_router_service *service,
                         struct bgap_buffer *out)
{
  const struct bgap_cost_model *model = &service->costs;
  enum bgap_status status = bgap_buffer_printf (
      out,
      "  costs mean_ms=%.1f remaining_ms=%.1f error=%.2f details=%" PRIu32
      " others_per_slot=%.2f\n",
      bgap_cost_model_mean_ms (model), bgap_cost_model_remaining_ms (model),
      model->error, model->detail_count, service->others_per_slot);
  for (uint32_t i = 0; status == BGAP_OK && i < model->class_count; i++)
    {
      const struct bgap_cost_class *class_ = &model->classes[i];
      status = bgap_buffer_printf (
          out,
          "  cost class=%016" PRIx64 " mean_ms=%.1f samples=%.0f "
          "by_detail=%d class_error=%.2f detail_error=%.2f\n",
          class_->hash, class_->mean.ms, class_->mean.samples,
          bgap_cost_model_uses_details (class_), class_->class_error,
          class_->detail_error);
    }
  return status;
}

static enum bgap_status
_bgap_router_dump_work (const struct bgap_server *server,
                        struct bgap_buffer *out)
{
  const struct bgap_outstanding *work = &server->work;
  return bgap_buffer_printf (
      out,
      "    work ratio=%.2f samples=%.0f others=%" PRIu32
      " slowdown=%.2f reported_ms=%" PRId64 "\n",
      bgap_outstanding_ratio (work), work->ratio_samples, work->others,
      work->has_report ? work->slowdown : 1, work->reported_ms);
}

static enum bgap_status
_bgap_router_dump_service (const struct bgap_router_service *service,
                           struct bgap_buffer *out)
{
  enum bgap_status status = bgap_buffer_printf (
      out,
      "service %s keyed=%d repeat_never=%d policy=%s waiting=%" PRIu32
      " once_waiting=%" PRIu32 " service_ms=%.1f retries_left=%" PRIu32 "\n",
      service->name, service->desc.keyed, service->desc.repeat_never,
      service->desc.policy->name, service->waiting,
      service->idempotency_waiting, service->response_ms,
      service->budget.available_hundredths / 100);
  if (status == BGAP_OK && service->idempotency.state != NULL)
    {
      struct bgap_idempotency_counts table
          = bgap_idempotency_counts (&service->idempotency);
      status = bgap_buffer_printf (
          out,
          "  once ready=%d applied=%" PRIu64 " keys=%" PRIu32
          " waiting=%" PRIu32 " body_bytes=%" PRIu32 " to_append=%" PRIu32
          "\n",
          bgap_idempotency_ready (&service->idempotency),
          bgap_idempotency_applied_offset (&service->idempotency), table.keys,
          table.waiting, table.body_bytes, table.to_append);
    }
  bool by_cost = bgap_router_uses_cost (service);
  if (status == BGAP_OK && by_cost)
    status = _bgap_router_dump_costs (service, out);
  for (uint32_t i = 0; status == BGAP_OK && i < service->server_count; i++)
    {
      status = _bgap_router_dump_server (service->servers[i], out);
      if (status == BGAP_OK && by_cost)
        status = _bgap_router_dump_work (service->servers[i], out);
    }
  return status;
}

enum bgap_status
bgap_router_dump (const struct bgap_router *router, struct bgap_buffer *out)
{
  const struct bgap_router_state *state = router->state;
  struct bgap_router_counts counts = bgap_router_counts (router);
  enum bgap_status status = bgap_buffer_printf (
      out,
      "router %s zone=%s leaving=%d open=%" PRIu32 " in_flight=%" PRIu32
      " queued=%" PRIu32 " suspects=%" PRIu32 "\n",
      state->instance, state->zone,
      state->shutting_down || state->stop.accept_until_ms != 0, counts.open,
      counts.in_flight, counts.queued, state->quarantine.count);
  for (uint32_t id = bgap_pool_next (&state->services, BGAP_INVALID_ID);
       status == BGAP_OK && id != BGAP_INVALID_ID;
       id = bgap_pool_next (&state->services, id))
    status = _bgap_router_dump_service (bgap_router_service (state, id), out);
  return status;
}
