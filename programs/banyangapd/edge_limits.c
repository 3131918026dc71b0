#include <string.h>

#include "edge_private.h"
#include "now.h"

/* Interval of the lines on the use of rate limits.  */
#define USE_INTERVAL_MS 1000

static struct bgap_event_kind event_limit = { .name = "server-limit" };
static struct bgap_event_kind event_use
    = { .name = "server-limit-use", .per_second = 20, .burst = 100 };

static const char *
_bgap_limits_change_name (double previous_per_s, double per_s)
{
  if (previous_per_s <= 0)
    return "named";
  return per_s > 0 ? "changed" : "ended";
}

static void
_bgap_limits_log (const struct bgap_edge *edge,
                  const struct bgap_edge_server *server, const char *change,
                  double previous_per_s)
{
  struct bgap_server_status status;
  if (bgap_router_server_status (&edge->router, bgap_now_ms (),
                                 server->router_id, &status)
      != BGAP_OK)
    return;
  bgap_event (&event_limit,
              "server=%s service=%s change=%s limit=%.3f previous=%.3f "
              "sent_4s=%u",
              server->id, server->service->name, change,
              status.rate_limit_per_s, previous_per_s, status.sent_recently);
}

void
bgap_edge_on_limit (struct bgap_edge *edge,
                    const struct bgap_edge_server *server,
                    const struct bgap_wire_response *response)
{
  int64_t now_ms = bgap_now_ms ();
  struct bgap_server_status status;
  bool is_other = response->server[0] != '\0'
                  && strcmp (response->server, server->id) != 0;
  if (is_other
      || bgap_router_server_status (&edge->router, now_ms, server->router_id,
                                    &status)
             != BGAP_OK)
    return;
  if (response->limit == BGAP_WIRE_LIMIT_MALFORMED)
    {
      _bgap_limits_log (edge, server, "ignored", status.rate_limit_per_s);
      return;
    }
  double per_s
      = response->limit == BGAP_WIRE_LIMIT_STATED ? response->limit_per_s : 0;
  double previous_per_s = status.rate_limit_per_s;
  if (per_s > 0 || previous_per_s > 0)
    bgap_router_server_rate_limit (&edge->router, now_ms, server->router_id,
                                   per_s);
  if (per_s == previous_per_s)
    return;
  _bgap_limits_log (edge, server,
                    _bgap_limits_change_name (previous_per_s, per_s),
                    previous_per_s);
}

void
bgap_edge_log_limits (struct bgap_edge *edge, int64_t now_ms)
{
  if (now_ms - edge->limits_logged_ms < USE_INTERVAL_MS)
    return;
  edge->limits_logged_ms = now_ms;
  for (const struct bgap_edge_server *server = edge->servers; server != NULL;
       server = server->hh.next)
    {
      struct bgap_server_status status;
      if (bgap_router_server_status (&edge->router, now_ms, server->router_id,
                                     &status)
              != BGAP_OK
          || status.rate_limit_per_s <= 0)
        continue;
      bgap_event (&event_use,
                  "server=%s service=%s limit=%.3f sent_4s=%u in_flight=%u",
                  server->id, server->service->name, status.rate_limit_per_s,
                  status.sent_recently, status.in_flight);
    }
}

uint32_t
bgap_edge_limited_servers (const struct bgap_edge *edge)
{
  uint32_t count = 0;
  for (const struct bgap_edge_server *server = edge->servers; server != NULL;
       server = server->hh.next)
    {
      struct bgap_server_status status;
      if (bgap_router_server_status (&edge->router, bgap_now_ms (),
                                     server->router_id, &status)
          == BGAP_OK)
        count += status.rate_limit_per_s > 0;
    }
  return count;
}
