#include <stdio.h>
#include <string.h>

#include "banyangap/base/log.h"
#include "now.h"
#include "requests_private.h"

void
bgap_requests_server_added (struct bgap_requests *requests,
                            struct bgap_upstream *upstream)
{
  struct bgap_error err = { 0 };
  struct bgap_server_id id = { 0 };
  int64_t now_ms = bgap_now_ms ();
  struct bgap_service_id service
      = bgap_router_find_service (&requests->router, upstream->service);
  const struct bgap_server_desc desc = {
    .name = upstream->name,
    .zone = upstream->resource.zone,
    .slots = upstream->resource.slots,
    .connections = upstream->resource.connections,
    .entry_hosts_max = upstream->entry_hosts_max,
    /* The server's incarnation tells whether it was restarted.  */
    .already_running = true,
  };
  if (bgap_router_set_server (&requests->router, now_ms, service, &desc, &id,
                              &err)
      != BGAP_OK)
    {
      bgap_log_error ("routing",
                      "router refused the server; server=%s reason=%s",
                      upstream->name, err.message);
      return;
    }
  upstream->router_id = id.id;
  bgap_router_server_drain (&requests->router, now_ms, id, BGAP_DRAIN_RESOURCE,
                            upstream->resource.draining);
}

void
bgap_requests_server_removed (struct bgap_requests *requests,
                              struct bgap_upstream *upstream)
{
  bgap_router_remove_server (&requests->router, bgap_now_ms (),
                             (struct bgap_server_id){ upstream->router_id });
}

void
bgap_requests_sync_hosts (struct bgap_requests *requests)
{
  int64_t now_ms = bgap_now_ms ();
  for (const struct bgap_upstream *upstream
       = bgap_upstreams_first (requests->desc.upstreams);
       upstream != NULL; upstream = upstream->hh.next)
    bgap_router_server_drain (
        &requests->router, now_ms,
        (struct bgap_server_id){ upstream->router_id }, BGAP_DRAIN_HOST_LIST,
        bgap_members_server_leaving (requests->desc.members,
                                     upstream->resource.address));
  const struct bgap_members *members = requests->desc.members;
  for (uint32_t i = 0; i < bgap_members_count (members); i++)
    {
      const struct bgap_member *member = bgap_members_at (members, i);
      if (member->role == BGAP_HOST_ENTRY && member->address[0] != '\0'
          && strcmp (member->name, requests->desc.settings->name) != 0)
        bgap_upstreams_set_forwarder (requests->desc.upstreams, member->name,
                                      member->address);
    }
  bgap_requests_run (requests);
}

static void
_bgap_requests_set_counter (struct bgap_requests *requests, const char *name,
                            const char *labels, uint64_t value)
{
  *bgap_counters_get (requests->desc.counters, name, labels) = value;
}

void
bgap_requests_update_counters (struct bgap_requests *requests)
{
  struct bgap_router_counts counts = bgap_router_counts (&requests->router);
  char labels[96];
  _bgap_requests_set_counter (requests, "bgap_requests_total", "",
                              counts.requests);
  _bgap_requests_set_counter (requests, "bgap_dispatches_total", "",
                              counts.dispatches);
  _bgap_requests_set_counter (requests, "bgap_retries_total", "",
                              counts.retries);
  _bgap_requests_set_counter (requests, "bgap_cancelled_total", "",
                              counts.cancelled);
  _bgap_requests_set_counter (requests, "bgap_rejected_input_total", "",
                              counts.rejected_input);
  _bgap_requests_set_counter (requests, "bgap_requests_in_flight", "",
                              counts.in_flight);
  _bgap_requests_set_counter (requests, "bgap_requests_queued", "",
                              counts.queued);
  for (int i = 0; i < BGAP_REASON_COUNT; i++)
    {
      snprintf (labels, sizeof labels, "reason=\"%s\"", bgap_reason_name (i));
      if (counts.reasons[i] > 0)
        _bgap_requests_set_counter (requests, "bgap_finished_total", labels,
                                    counts.reasons[i]);
    }
}
