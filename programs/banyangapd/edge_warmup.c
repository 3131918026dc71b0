#include <math.h>

#include "banyangap/routing/cold_limit.h"
#include "edge_parts.h"
#include "edge_zones.h"
#include "now.h"

static struct bgap_event_kind event_cold
    = { .name = "server-cold", .burst = 1000 };
static struct bgap_event_kind event_sent
    = { .name = "cold-attempt", .per_second = 30, .burst = 200 };

int64_t
bgap_edge_warmup_ms (void *context, const char *service)
{
  const struct bgap_edge *edge = context;
  const struct bgap_routed_service *routed
      = edge->table != NULL ? bgap_route_table_service (edge->table, service)
                            : NULL;
  return routed != NULL ? routed->warmup_ms : 0;
}

/* Most requests in a second that a cold server of the service tolerates, 0 for
   no limit.  */
static double
_bgap_warmup_bound (const struct bgap_edge *edge, const char *service)
{
  const struct bgap_routed_service *routed
      = edge->table != NULL ? bgap_route_table_service (edge->table, service)
                            : NULL;
  if (routed == NULL || routed->warmup_per_s <= 0)
    return 0;
  return bgap_cold_limit_bound (routed->warmup_per_s,
                                edge->settings.cold_overage,
                                edge->settings.cold_slack);
}

void
bgap_edge_describe_warmup (const struct bgap_edge *edge,
                           const struct bgap_server_entry *entry,
                           struct bgap_server_desc *desc)
{
  const struct bgap_known_server *known
      = bgap_server_view_find (edge->view, entry->id);
  double bound = _bgap_warmup_bound (edge, entry->service);
  int64_t now_ms = bgap_now_ms ();
  desc->cold_ms = entry->warmup_ms;
  if (known == NULL || bound <= 0)
    return;
  bool is_cold = bgap_warmup_is_cold (&known->warmup, now_ms);
  desc->cold_ms = is_cold ? known->warmup.until_ms - now_ms : 0;
  desc->cold_per_s = bgap_cold_limit_rate (bound);
}

static void
_bgap_warmup_log (const struct bgap_edge *edge,
                  const struct bgap_edge_server *server, int64_t now_ms)
{
  const struct bgap_warmup *warmup = &server->known->warmup;
  double bound = _bgap_warmup_bound (edge, server->service->name);
  int64_t started_ms = server->known->entry.started_ms;
  bgap_event (
      &event_cold,
      "server=%s service=%s change=%s source=%s limit=%.1f "
      "permits_per_s=%.3f left_ms=%lld cold_ms=%lld age_ms=%lld",
      server->id, server->service->name, server->is_cold ? "begun" : "ended",
      bgap_warmup_source_name (server->is_cold ? warmup->source
                                               : server->cold_source),
      bound, bgap_cold_limit_rate (bound),
      (long long)(server->is_cold ? warmup->until_ms - now_ms : 0),
      (long long)(server->is_cold ? 0 : now_ms - server->cold_since_ms),
      (long long)(started_ms > 0 ? bgap_wall_ms () - started_ms : 0));
}

void
bgap_edge_update_warmup (struct bgap_edge *edge,
                         struct bgap_edge_server *server)
{
  int64_t now_ms = bgap_now_ms ();
  if (server->known == NULL)
    return;
  const struct bgap_warmup *warmup = &server->known->warmup;
  double bound = _bgap_warmup_bound (edge, server->service->name);
  bool is_cold = bound > 0 && bgap_warmup_is_cold (warmup, now_ms);
  if (is_cold && !server->is_cold)
    server->cold_since_ms = now_ms;
  if (server->is_cold || is_cold)
    bgap_router_server_cold (&edge->router, now_ms, server->router_id,
                             bgap_cold_limit_rate (bound),
                             is_cold ? warmup->until_ms - now_ms : 0);
  bool changed = server->is_cold != is_cold;
  server->is_cold = is_cold;
  if (changed)
    _bgap_warmup_log (edge, server, now_ms);
  if (is_cold)
    server->cold_source = warmup->source;
  if (changed && server->service->granter != NULL)
    bgap_edge_set_granter_server (edge, server->service,
                                  &server->known->entry);
}

void
bgap_edge_update_warmups (struct bgap_edge *edge)
{
  for (struct bgap_edge_server *server = edge->servers; server != NULL;
       server = server->hh.next)
    bgap_edge_update_warmup (edge, server);
}

void
bgap_edge_on_warmup (struct bgap_edge *edge, struct bgap_edge_server *server,
                     const struct bgap_wire_response *response)
{
  if (server->known == NULL || response->warmup != BGAP_WIRE_NUMBER_STATED)
    return;
  bgap_warmup_answered (
      &server->known->warmup, bgap_now_ms (),
      (int64_t)ceil (fmin (response->warmup_ms, BGAP_EDGE_WARMUP_MAX_MS)),
      server->check.sent_ms);
  bgap_edge_update_warmup (edge, server);
}

void
bgap_edge_log_cold_attempt (const struct bgap_edge_exchange *exchange,
                            const struct bgap_edge_server *server,
                            const char *state)
{
  const struct bgap_edge *edge = exchange->edge;
  if (server->known == NULL)
    return;
  int64_t now_ms = bgap_now_ms ();
  int64_t view_age_ms = now_ms - edge->servers_synced_ms;
  const struct bgap_warmup *warmup = &server->known->warmup;
  bool is_cold = bgap_warmup_is_cold (warmup, now_ms);
  if (_bgap_warmup_bound (edge, server->service->name) <= 0
      || (!is_cold && view_age_ms < BGAP_WARM_VIEW_MS))
    return;
  int64_t clearance_ms
      = bgap_router_clearance_ms (&edge->router, now_ms, exchange->attempt);
  bgap_event (
      &event_sent,
      "request=%s attempt=%u state=%s service=%s server=%s zone=%s "
      "evacuated=%d cold=%d source=%s left_ms=%lld view_age_ms=%lld "
      "config_age_ms=%lld store_failing=%d waited_ms=%lld clearance_ms=%lld",
      exchange->wire.id, exchange->attempts, state, server->service->name,
      server->id, server->known->entry.zone,
      bgap_edge_is_evacuated (edge, &server->known->entry), is_cold,
      bgap_warmup_source_name (is_cold ? warmup->source : BGAP_WARMUP_NONE),
      (long long)(is_cold ? warmup->until_ms - now_ms : 0),
      (long long)view_age_ms, (long long)(now_ms - edge->config_synced_ms),
      edge->store_failing, (long long)(now_ms - exchange->sent_ms),
      (long long)clearance_ms);
}

uint32_t
bgap_edge_cold_servers (const struct bgap_edge *edge)
{
  uint32_t count = 0;
  for (const struct bgap_edge_server *server = edge->servers; server != NULL;
       server = server->hh.next)
    count += server->is_cold;
  return count;
}
