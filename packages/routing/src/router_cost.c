#include "router_parts.h"

bool
bgap_router_uses_cost (const struct bgap_router_service *service)
{
  return service->desc.shared_slots
         && service->desc.policy->pick_by_cost != NULL;
}

double
bgap_router_mean_cost_ms (const struct bgap_router_service *service)
{
  double mean_ms = bgap_router_uses_cost (service)
                       ? bgap_cost_model_mean_ms (&service->costs)
                       : 0;
  return mean_ms > 0 ? mean_ms : BGAP_ROUTER_COST_UNIT_MS;
}

double
bgap_router_cost_ms (const struct bgap_router_service *service,
                     const struct bgap_router_request *request)
{
  if (!bgap_router_uses_cost (service))
    return BGAP_ROUTER_COST_UNIT_MS;
  return request->cost_ms > 0 ? request->cost_ms
                              : bgap_router_mean_cost_ms (service);
}

void
bgap_router_expect_cost (const struct bgap_router_service *service,
                         struct bgap_router_request *request)
{
  request->cost_ms
      = bgap_router_uses_cost (service) ? bgap_cost_model_expect (
            &service->costs, request->cost_class, request->cost_detail)
                                        : 0;
}

bool
bgap_router_placement (const struct bgap_router_service *service,
                       const struct bgap_router_request *request,
                       struct bgap_balancer_cost *cost)
{
  if (!bgap_router_uses_cost (service) || service->others_per_slot < 0
      || !bgap_cost_model_known (&service->costs, request->cost_class))
    return false;
  *cost = (struct bgap_balancer_cost){
    .cost_ms = bgap_router_cost_ms (service, request),
    .usual = bgap_router_usual (service),
  };
  return true;
}

struct bgap_outstanding_usual
bgap_router_usual (const struct bgap_router_service *service)
{
  return (struct bgap_outstanding_usual){
    .others_per_slot = service->others_per_slot,
    .mean_ms = bgap_router_mean_cost_ms (service),
    .remaining_ms = bgap_cost_model_remaining_ms (&service->costs),
  };
}

double
bgap_router_work_ms (const struct bgap_router_state *state, int64_t now_ms,
                     const struct bgap_server *server)
{
  const struct bgap_router_service *service
      = bgap_router_service (state, server->service.id);
  if (service == NULL)
    return 0;
  const struct bgap_outstanding_usual usual = bgap_router_usual (service);
  return bgap_outstanding_work_ms (&server->work, now_ms, server->slots,
                                   &usual);
}

void
bgap_router_note_load (struct bgap_router_service *service,
                       struct bgap_server *server)
{
  struct bgap_outstanding_usual usual
      = { .others_per_slot = service->others_per_slot };
  bgap_outstanding_usual_report (&usual, server->others_in_flight,
                                 server->slots);
  service->others_per_slot = usual.others_per_slot;
  bgap_outstanding_precompute (&server->work, server->slots, &usual);
}

void
bgap_router_learn_cost (struct bgap_router_service *service,
                        struct bgap_server *server, int64_t now_ms,
                        const struct bgap_router_request *request,
                        double took_ms, bool was_free)
{
  if (!bgap_router_uses_cost (service))
    return;
  double slowdown = bgap_outstanding_slowdown (&server->work, now_ms);
  double cost_ms = took_ms / slowdown / bgap_outstanding_ratio (&server->work);
  if (!was_free)
    {
      bgap_cost_model_learn_bound (&service->costs, request->cost_class,
                                   request->cost_detail, cost_ms);
      return;
    }
  if (bgap_cost_model_known (&service->costs, request->cost_class)
      && request->cost_ms > 0)
    bgap_outstanding_learn_ratio (&server->work,
                                  took_ms / slowdown / request->cost_ms);
  bgap_cost_model_learn (&service->costs, request->cost_class,
                         request->cost_detail, cost_ms);
}

enum bgap_status
bgap_router_service_costs (const struct bgap_router *router,
                           struct bgap_service_id service_id,
                           struct bgap_service_costs *costs)
{
  const struct bgap_router_service *service
      = bgap_router_service (router->state, service_id.id);
  if (service == NULL || !bgap_router_uses_cost (service))
    return BGAP_ERR_NOT_FOUND;
  const struct bgap_cost_model *model = &service->costs;
  *costs = (struct bgap_service_costs){
    .mean_ms = bgap_cost_model_mean_ms (model),
    .error = model->error,
    .samples = model->error_samples,
    .classes = model->class_count,
    .details = model->detail_count,
  };
  return BGAP_OK;
}
