#include "router_parts.h"

bool
bgap_router_is_evacuated (const struct bgap_router_service *service)
{
  bool is_evacuated = false;
  for (uint32_t i = 0; i < service->server_count; i++)
    {
      const struct bgap_server *server = service->servers[i];
      if (!server->lost && !server->removed && !bgap_server_draining (server))
        return false;
      if ((server->drain_signals & 1u << BGAP_DRAIN_ZONE) != 0)
        is_evacuated = true;
    }
  return is_evacuated;
}

bool
bgap_router_end_evacuated (struct bgap_router_state *state, int64_t now_ms,
                           struct bgap_router_request *request)
{
  const struct bgap_router_service *service
      = bgap_router_service (state, request->service);
  if (!bgap_router_is_evacuated (service))
    return false;
  bgap_router_finish (state, now_ms, request, BGAP_REASON_EVACUATED);
  return true;
}

void
bgap_router_server_evacuate (struct bgap_router *router, int64_t now_ms,
                             struct bgap_server_id server_id, bool on,
                             int64_t grace_ms)
{
  struct bgap_router_server *server
      = bgap_router_server (router->state, server_id.id);
  if (server == NULL)
    return;
  bgap_server_evacuate (&server->server, now_ms, on, grace_ms);
  bgap_router_server_changed (router->state, now_ms, server);
}
