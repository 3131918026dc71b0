#include "router_parts.h"

void
bgap_router_server_pause (struct bgap_router *router, int64_t now_ms,
                          struct bgap_server_id server_id, int64_t pause_ms)
{
  struct bgap_router_state *state = router->state;
  struct bgap_router_server *server = bgap_router_server (state, server_id.id);
  if (server == NULL || pause_ms <= 0)
    return;
  bgap_server_pause (&server->server, now_ms, pause_ms);
  struct bgap_router_service *service
      = bgap_router_service (state, server->server.service.id);
  if (service == NULL)
    return;
  if (server->server.paused_until_ms > service->paused_until_ms)
    service->paused_until_ms = server->server.paused_until_ms;
  bgap_router_dispatch_holder_queue (state, now_ms, server);
  bgap_router_dispatch_queue (state, now_ms, service);
}

/* Time until the first of the usable servers accepts requests again.  */
static int64_t
_bgap_pause_of_all_ms (const struct bgap_router_service *service,
                       int64_t now_ms)
{
  int64_t shortest_ms = 0;
  for (uint32_t i = 0; i < service->server_count; i++)
    {
      const struct bgap_server *server = service->servers[i];
      if (!bgap_balancer_usable (&service->balancer, now_ms, server))
        continue;
      int64_t left_ms = bgap_server_pause_left_ms (server, now_ms);
      if (left_ms == 0)
        return 0;
      if (shortest_ms == 0 || left_ms < shortest_ms)
        shortest_ms = left_ms;
    }
  return shortest_ms;
}

int64_t
bgap_router_pause_left_ms (const struct bgap_router_service *service,
                           const struct bgap_router_server *holder,
                           int64_t now_ms)
{
  if (now_ms >= service->paused_until_ms)
    return 0;
  if (service->desc.keyed)
    return holder != NULL ? bgap_server_pause_left_ms (&holder->server, now_ms)
                          : 0;
  return _bgap_pause_of_all_ms (service, now_ms);
}

bool
bgap_router_pause_refuses (struct bgap_router_service *service, int64_t now_ms,
                           struct bgap_router_request *request,
                           const struct bgap_router_server *holder)
{
  int64_t pause_ms = bgap_router_pause_left_ms (service, holder, now_ms);
  if (pause_ms == 0)
    return false;
  int64_t due_ms = request->objective_at_ms > 0 ? request->objective_at_ms
                                                : request->deadline_at_ms;
  double expected_ms
      = (double)pause_ms
        + bgap_router_median_ms (service, now_ms,
                                 bgap_router_cost_ms (service, request));
  if (expected_ms <= (double)(due_ms - now_ms))
    return false;
  request->expected_ms = (int64_t)expected_ms;
  return true;
}

bool
bgap_router_end_paused (struct bgap_router_state *state, int64_t now_ms,
                        struct bgap_router_request *request,
                        const struct bgap_router_server *holder)
{
  struct bgap_router_service *service
      = bgap_router_service (state, request->service);
  if (!bgap_router_pause_refuses (service, now_ms, request, holder))
    return false;
  bgap_router_finish (state, now_ms, request, BGAP_REASON_PAUSED);
  return true;
}
