#include <stdio.h>
#include <string.h>

#include "edge_parts.h"
#include "edge_zones.h"
#include "now.h"

static struct bgap_event_kind event_connections
    = { .name = "connections-full" };

void
bgap_edge_log_connections (struct bgap_edge *edge)
{
  const struct bgap_frontend_connections now
      = bgap_frontend_connections (edge->frontend);
  uint64_t idle_closed
      = now.idle_closed - edge->connections_logged.idle_closed;
  uint64_t refused = now.refused - edge->connections_logged.refused;
  edge->connections_logged = now;
  if (idle_closed == 0 && refused == 0)
    return;
  bgap_event (&event_connections,
              "idle_closed=%llu refused=%llu open=%u limit=%u ready=%d",
              (unsigned long long)idle_closed, (unsigned long long)refused,
              now.open, now.max, bgap_edge_is_ready (edge));
}

static void
_bgap_report_on_ready (void *context, struct bgap_admin_id id,
                       const struct bgap_admin_request *request)
{
  struct bgap_edge *edge = context;
  (void)request;
  bool ready = bgap_edge_is_ready (edge);
  const char *text = ready ? "ready\n" : "not ready\n";
  bgap_admin_reply_text (edge->ready, id, ready ? 200 : 503, text,
                         strlen (text));
}

static void
_bgap_report_value (struct bgap_buffer *out, const char *name,
                    const char *labels, int64_t value)
{
  bgap_buffer_printf (out, "%s%s %lld\n", name, labels, (long long)value);
}

static void
_bgap_report_router (const struct bgap_edge *edge, struct bgap_buffer *out)
{
  const struct bgap_router_counts counts = bgap_router_counts (&edge->router);
  char labels[96];
  _bgap_report_value (out, "bgap_requests_total", "",
                      (int64_t)counts.requests);
  _bgap_report_value (out, "bgap_dispatches_total", "",
                      (int64_t)counts.dispatches);
  _bgap_report_value (out, "bgap_retries_total", "", (int64_t)counts.retries);
  _bgap_report_value (out, "bgap_cancelled_total", "",
                      (int64_t)counts.cancelled);
  _bgap_report_value (out, "bgap_requests_in_flight", "", counts.in_flight);
  _bgap_report_value (out, "bgap_requests_queued", "", counts.queued);
  for (int i = 0; i < BGAP_REASON_COUNT; i++)
    if (counts.reasons[i] > 0)
      {
        snprintf (labels, sizeof labels, "{reason=\"%s\"}",
                  bgap_reason_name (i));
        _bgap_report_value (out, "bgap_finished_total", labels,
                            (int64_t)counts.reasons[i]);
      }
}

static void
_bgap_report_keys (const struct bgap_edge_service *service,
                   struct bgap_buffer *out)
{
  const struct bgap_granter_counts counts
      = bgap_granter_counts (service->granter);
  char labels[BGAP_REGISTRY_NAME_SIZE + 32];
  snprintf (labels, sizeof labels, "{service=\"%s\"}", service->name);
  _bgap_report_value (out, "bgap_granter_active", labels, counts.active);
  _bgap_report_value (out, "bgap_fence", labels, (int64_t)counts.token);
  _bgap_report_value (out, "bgap_key_ranges", labels, counts.ranges);
  _bgap_report_value (out, "bgap_holds", labels, counts.leases);
  _bgap_report_value (out, "bgap_lease_ms", labels, counts.lease_ms);
  _bgap_report_value (out, "bgap_lease_renewal_interval_ms", labels,
                      counts.renew_interval_ms);
  _bgap_report_value (out, "bgap_lease_renewals_overdue", labels,
                      counts.overdue);
  _bgap_report_value (out, "bgap_lease_oldest_overdue_ms", labels,
                      counts.oldest_overdue_ms);
  for (int cause = 0; cause < BGAP_LAPSE_COUNT; cause++)
    {
      char by_cause[sizeof labels + 32];
      snprintf (by_cause, sizeof by_cause, "{service=\"%s\",cause=\"%s\"}",
                service->name, bgap_lapse_cause_name (cause));
      _bgap_report_value (out, "bgap_leases_lapsed_total", by_cause,
                          (int64_t)counts.lapses[cause]);
    }
  _bgap_report_value (out, "bgap_grants_total", labels,
                      (int64_t)counts.grants);
  _bgap_report_value (out, "bgap_releases_total", labels,
                      (int64_t)counts.releases);
  _bgap_report_value (out, "bgap_takeovers_total", labels,
                      (int64_t)counts.takeovers);
  _bgap_report_value (out, "bgap_moves_total", labels, (int64_t)counts.moves);
  _bgap_report_value (out, "bgap_keys_moved_total", labels,
                      (int64_t)counts.keys_moved);
  _bgap_report_value (out, "bgap_keys_moved_for_load_total", labels,
                      (int64_t)counts.load_keys_moved);
  _bgap_report_value (out, "bgap_hot_key_passes_total", labels,
                      (int64_t)counts.spreads);
}

/* Costs of requests, if the servers of the service are selected by them.  */
static void
_bgap_report_costs (const struct bgap_edge *edge,
                    const struct bgap_edge_service *service,
                    struct bgap_buffer *out)
{
  struct bgap_service_costs costs;
  char labels[BGAP_REGISTRY_NAME_SIZE + 32];
  if (bgap_router_service_costs (&edge->router, service->id, &costs)
      != BGAP_OK)
    return;
  snprintf (labels, sizeof labels, "{service=\"%s\"}", service->name);
  _bgap_report_value (out, "bgap_cost_mean_ms", labels,
                      (int64_t)costs.mean_ms);
  _bgap_report_value (out, "bgap_cost_error_percent", labels,
                      (int64_t)(costs.error * 100));
  _bgap_report_value (out, "bgap_cost_samples", labels, costs.samples);
  _bgap_report_value (out, "bgap_cost_classes", labels, costs.classes);
  _bgap_report_value (out, "bgap_cost_details", labels, costs.details);
}

static void
_bgap_report_store (const struct bgap_store_counts *counts,
                    struct bgap_buffer *out)
{
  char labels[96];
  for (int kind = 0; kind < BGAP_STORE_CALL_COUNT; kind++)
    for (int outcome = 0; outcome < BGAP_STORE_OUTCOME_COUNT; outcome++)
      {
        uint64_t ended = counts->ended[kind][outcome];
        if (ended == 0)
          continue;
        snprintf (labels, sizeof labels, "{call=\"%s\",result=\"%s\"}",
                  bgap_store_call_name (kind),
                  bgap_store_outcome_name (outcome));
        _bgap_report_value (out, "bgap_store_calls_total", labels,
                            (int64_t)ended);
      }
}

/* A topic that the store keeps, and the state of reading it.  */
static void
_bgap_report_topic (const char *topic, const struct bgap_follower *follower,
                    struct bgap_buffer *out)
{
  const struct bgap_follower_counts counts = bgap_follower_counts (follower);
  char labels[64];
  snprintf (labels, sizeof labels, "{topic=\"%s\"}", topic);
  _bgap_report_value (out, "bgap_topic_reads_total", labels,
                      (int64_t)counts.reads);
  _bgap_report_value (out, "bgap_topic_reads_abandoned_total", labels,
                      (int64_t)counts.reads_abandoned);
  _bgap_report_value (out, "bgap_topic_gaps_total", labels,
                      (int64_t)counts.gaps);
  _bgap_report_value (out, "bgap_topic_behind_ms", labels, counts.behind_ms);
}

static void
_bgap_report_on_metrics (void *context, struct bgap_admin_id id,
                         const struct bgap_admin_request *request)
{
  struct bgap_edge *edge = context;
  struct bgap_buffer out = { 0 };
  int64_t now_ms = bgap_now_ms ();
  (void)request;
  _bgap_report_router (edge, &out);
  _bgap_report_value (&out, "bgap_config_version", "",
                      edge->table != NULL ? edge->table->version : -1);
  _bgap_report_value (&out, "bgap_config_bytes", "",
                      (int64_t)edge->config_bytes);
  _bgap_report_topic (edge->desc.topics.operators, edge->config, &out);
  _bgap_report_topic (edge->desc.topics.servers, edge->registrations, &out);
  _bgap_report_topic (edge->desc.topics.internal, edge->internal, &out);
  _bgap_report_value (&out, "bgap_relay_bytes_sent_total", "",
                      (int64_t)edge->relay_bytes_sent);
  _bgap_report_value (&out, "bgap_peer_messages_dropped_total", "",
                      (int64_t)bgap_peer_counts (edge->peer)->dropped);
  _bgap_report_value (&out, "bgap_config_age_ms", "",
                      now_ms - edge->config_synced_ms);
  _bgap_report_value (&out, "bgap_registrations_age_ms", "",
                      now_ms - edge->servers_synced_ms);
  _bgap_report_value (&out, "bgap_store_timeline", "",
                      (int64_t)bgap_timeline_guard_current (edge->guard));
  _bgap_report_value (&out, "bgap_servers_with_rate_limit", "",
                      bgap_edge_limited_servers (edge));
  _bgap_report_value (&out, "bgap_servers_cold", "",
                      bgap_edge_cold_servers (edge));
  _bgap_report_value (&out, "bgap_server_checks_total", "{result=\"warm\"}",
                      (int64_t)edge->server_checks[BGAP_WARM_CHECK_WARM]);
  _bgap_report_value (&out, "bgap_server_checks_total", "{result=\"cold\"}",
                      (int64_t)edge->server_checks[BGAP_WARM_CHECK_COLD]);
  _bgap_report_value (&out, "bgap_server_checks_total", "{result=\"failed\"}",
                      (int64_t)edge->server_checks[BGAP_WARM_CHECK_FAILED]);
  _bgap_report_value (&out, "bgap_servers_leaving", "",
                      bgap_edge_leaving_servers (edge));
  _bgap_report_value (&out, "bgap_zones_evacuated", "",
                      bgap_zone_view_count (edge->zones));
  _bgap_report_value (&out, "bgap_zones_evacuated_requests_running", "",
                      bgap_edge_evacuated_running (edge));
  _bgap_report_value (&out, "bgap_servers_paused", "",
                      bgap_edge_paused_servers (edge));
  _bgap_report_value (&out, "bgap_response_bytes_held", "",
                      (int64_t)bgap_edge_responses_held (edge));
  _bgap_report_value (&out, "bgap_responses_paused_total", "",
                      (int64_t)edge->responses_paused);
  _bgap_report_value (&out, "bgap_large_responses_refused_total", "",
                      (int64_t)edge->large_refused);
  _bgap_report_value (&out, "bgap_instances", "",
                      bgap_membership_count (edge->membership));
  if (edge->desc.store->counts != NULL)
    _bgap_report_store (edge->desc.store->counts, &out);
  _bgap_report_value (&out, "bgap_log_suppressed_total", "",
                      (int64_t)bgap_event_log_suppressed ());
  for (const struct bgap_edge_service *service = edge->services;
       service != NULL; service = service->hh.next)
    {
      if (service->granter != NULL)
        _bgap_report_keys (service, &out);
      _bgap_report_costs (edge, service, &out);
      bgap_edge_print_metrics (&service->metrics, service->name, &out);
    }
  bgap_counters_print (&edge->counters, &out);
  bgap_admin_reply_text (edge->operators, id, 200, out.data ? out.data : "",
                         out.size);
  bgap_buffer_shutdown (&out);
}

static void
_bgap_report_on_dump (void *context, struct bgap_admin_id id,
                      const struct bgap_admin_request *request)
{
  struct bgap_edge *edge = context;
  struct bgap_buffer out = { 0 };
  (void)request;
  bgap_router_dump (&edge->router, &out);
  bgap_edge_dump_zones (edge, &out);
  for (uint32_t i = 0; edge->table != NULL && i < edge->table->route_count;
       i++)
    bgap_buffer_printf (
        &out, "route %s cost_class=%016llx\n",
        edge->table->routes[i].desc.name,
        (unsigned long long)bgap_edge_cost_class (&edge->table->routes[i]));
  for (const struct bgap_edge_service *service = edge->services;
       service != NULL; service = service->hh.next)
    if (service->granter != NULL)
      {
        bgap_buffer_printf (&out, "service %s\n", service->name);
        bgap_granter_dump (service->granter, bgap_now_ms (), &out);
      }
  bgap_admin_reply_text (edge->operators, id, 200, out.data ? out.data : "",
                         out.size);
  bgap_buffer_shutdown (&out);
}

enum bgap_status
bgap_edge_open_reports (struct bgap_edge *edge, struct bgap_error *err)
{
  static struct bgap_admin_route ready_routes[1];
  static const struct bgap_admin_route operator_routes[] = {
    { .method = "GET", .path = "/metrics", .handle = _bgap_report_on_metrics },
    { .method = "GET", .path = "/dump", .handle = _bgap_report_on_dump },
    { .method = "GET", .path = "/route", .handle = bgap_edge_on_explain },
  };
  ready_routes[0] = (struct bgap_admin_route){
    .method = "GET",
    .path = edge->desc.ready_path,
    .handle = _bgap_report_on_ready,
  };
  enum bgap_status status = bgap_admin_setup (
      &edge->ready,
      &(struct bgap_admin_desc){ .base = edge->base,
                                 .address = edge->settings.ready_address,
                                 .routes = ready_routes,
                                 .route_count = 1,
                                 .context = edge },
      err);
  if (status != BGAP_OK || edge->settings.operators_address[0] == '\0')
    return status;
  return bgap_admin_setup (
      &edge->operators,
      &(struct bgap_admin_desc){ .base = edge->base,
                                 .address = edge->settings.operators_address,
                                 .routes = operator_routes,
                                 .route_count = sizeof operator_routes
                                                / sizeof *operator_routes,
                                 .context = edge },
      err);
}
