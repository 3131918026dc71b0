#include <string.h>

#include "edge_parts.h"
#include "edge_zones.h"
#include "now.h"

static struct bgap_event_kind event_zone = { .name = "zone" };
static struct bgap_event_kind event_bad_zone = { .name = "zone-skipped" };

static bool
_bgap_zones_has (const struct bgap_zone *zone,
                 const struct bgap_edge_server *server)
{
  return server->known != NULL
         && strcmp (server->known->entry.zone, zone->name) == 0;
}

/* Requests of this instance that run at the servers of a zone, whose number is
   @servers afterwards.  */
static uint32_t
_bgap_zones_running (const struct bgap_edge *edge,
                     const struct bgap_zone *zone, uint32_t *servers)
{
  struct bgap_server_status status;
  uint32_t running = 0;
  *servers = 0;
  for (const struct bgap_edge_server *server = edge->servers; server != NULL;
       server = server->hh.next)
    {
      if (!_bgap_zones_has (zone, server))
        continue;
      ++*servers;
      if (bgap_router_server_status (&edge->router, bgap_now_ms (),
                                     server->router_id, &status)
          == BGAP_OK)
        running += status.in_flight;
    }
  return running;
}

bool
bgap_edge_is_evacuated (const struct bgap_edge *edge,
                        const struct bgap_server_entry *entry)
{
  return bgap_zone_view_find (edge->zones, entry->zone) != NULL;
}

void
bgap_edge_describe_evacuation (const struct bgap_edge *edge,
                               const struct bgap_server_entry *entry,
                               struct bgap_server_desc *desc)
{
  const struct bgap_zone *zone
      = bgap_zone_view_find (edge->zones, entry->zone);
  desc->evacuated = zone != NULL;
  desc->evacuation_grace_ms
      = zone != NULL ? bgap_zone_grace_ms (zone, bgap_now_ms (),
                                           edge->settings.evacuate_ms)
                     : 0;
}

void
bgap_edge_update_evacuation (struct bgap_edge *edge,
                             const struct bgap_edge_server *server,
                             const struct bgap_server_entry *entry)
{
  struct bgap_server_desc desc = { 0 };
  bgap_edge_describe_evacuation (edge, entry, &desc);
  bgap_router_server_evacuate (&edge->router, bgap_now_ms (),
                               server->router_id, desc.evacuated,
                               desc.evacuation_grace_ms);
}

static void
_bgap_zones_on_change (void *context, const struct bgap_zone *zone)
{
  struct bgap_edge *edge = context;
  uint32_t servers = 0;
  int64_t now_ms = bgap_now_ms ();
  bool is_evacuated = zone->ended_ms == 0;
  uint32_t running = _bgap_zones_running (edge, zone, &servers);
  bgap_event (
      &event_zone,
      "zone=%s change=%s evacuated_ms=%lld view_age_ms=%lld servers=%u "
      "running=%u grace_ms=%lld evacuated=%u",
      zone->name, is_evacuated ? "evacuated" : "returned",
      (long long)(now_ms - zone->since_ms),
      edge->config_synced_ms != 0
          ? (long long)(now_ms - edge->config_synced_ms)
          : -1LL,
      servers, running,
      is_evacuated ? (long long)bgap_zone_grace_ms (zone, now_ms,
                                                    edge->settings.evacuate_ms)
                   : 0LL,
      bgap_zone_view_count (edge->zones));
  /* Before the router may use the servers again, so that they get no more
     requests than cold ones tolerate.  */
  if (!is_evacuated)
    {
      bgap_server_view_zone_returned (edge->view, now_ms, zone->name);
      bgap_edge_update_warmups (edge);
    }
  for (struct bgap_edge_server *server = edge->servers; server != NULL;
       server = server->hh.next)
    {
      if (!_bgap_zones_has (zone, server))
        continue;
      const struct bgap_server_entry *entry = &server->known->entry;
      bgap_edge_update_evacuation (edge, server, entry);
      if (server->service->granter != NULL)
        bgap_edge_set_granter_server (edge, server->service, entry);
    }
}

bool
bgap_edge_on_zone_record (struct bgap_edge *edge,
                          const struct bgap_store_record *record)
{
  const char *prefix = edge->desc.topics.evacuate_prefix;
  const char *name = record->key + strlen (prefix);
  if (strncmp (record->key, prefix, strlen (prefix)) != 0)
    return false;
  if (record->removed)
    bgap_zone_view_remove (edge->zones, bgap_now_ms (), name);
  else
    {
      enum bgap_status status = bgap_zone_view_put (
          edge->zones, bgap_now_ms (), name, edge->config_synced_ms);
      if (status != BGAP_OK)
        bgap_event (&event_bad_zone, "offset=%llu reason=\"%s\"",
                    (unsigned long long)record->offset,
                    status == BGAP_ERR_INVALID ? "no zone can have the name"
                                               : bgap_status_name (status));
    }
  bgap_edge_run_actions (edge);
  return true;
}

uint32_t
bgap_edge_evacuated_running (const struct bgap_edge *edge)
{
  uint32_t running = 0;
  uint32_t servers;
  for (const struct bgap_zone *zone = bgap_zone_view_first (edge->zones);
       zone != NULL; zone = zone->hh.next)
    running += _bgap_zones_running (edge, zone, &servers);
  return running;
}

void
bgap_edge_dump_zones (const struct bgap_edge *edge, struct bgap_buffer *out)
{
  uint32_t servers;
  for (const struct bgap_zone *zone = bgap_zone_view_first (edge->zones);
       zone != NULL; zone = zone->hh.next)
    {
      uint32_t running = _bgap_zones_running (edge, zone, &servers);
      bgap_buffer_printf (out,
                          "evacuated zone %s for_ms=%lld servers=%u "
                          "running=%u\n",
                          zone->name,
                          (long long)(bgap_now_ms () - zone->since_ms),
                          servers, running);
    }
}

enum bgap_status
bgap_edge_open_zones (struct bgap_edge *edge, struct bgap_error *err)
{
  edge->zones = bgap_zone_view_new (&(struct bgap_zone_view_ops){
      .changed = _bgap_zones_on_change, .context = edge });
  if (edge->zones == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  return BGAP_OK;
}
