#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge_parts.h"
#include "edge_zones.h"
#include "now.h"

/* Time for which a read of the configuration waits for a record. A dead
   connection is detected by the client's probes, not by this time.  */
#define CONFIG_WAIT_MS 8000

/* Maximum deadline of all services; each route has its own below it.  */
#define DEADLINE_MAX_MS 600000

/* Maximum number of attempts of a request; each route has its own below it.
 */
#define ATTEMPTS_MAX 16u

/* Requests that may be queued at a server, as a multiple of its slots. What an
   instance knows of the others' requests is out of date, so that a tight limit
   would leave slots idle; servers accept several times their slots before they
   refuse requests.  */
#define QUEUE_PER_SLOT 2u

/* Number of slots that is assumed while no server has registered.  */
#define SLOTS_DEFAULT 4u

/* Time for which a draining holder of a key still gets requests while its keys
   are moved. Together with the age of the view it is below the platform's
   limit.  */
#define DRAIN_GRACE_MS 400

/* Percentage of the shared retry budget that is used. The rest is a margin for
   instances that start or stop before the others know their number.  */
#define RETRY_BUDGET_USED_PERCENT 70u

static struct bgap_event_kind event_config = { .name = "config" };
static struct bgap_event_kind event_bad_config = { .name = "config-skipped" };

struct bgap_edge_service *
bgap_edge_service (const struct bgap_edge *edge, const char *name)
{
  struct bgap_edge_service *service;
  HASH_FIND_STR (edge->services, name, service);
  return service;
}

static uint32_t
_bgap_config_instances (const struct bgap_edge *edge)
{
  return edge->membership != NULL ? bgap_membership_count (edge->membership)
                                  : 1;
}

/* This instance's share of the retry burst, so that all instances together
   stay below the limit.  */
static uint32_t
_bgap_config_retry_burst (const struct bgap_edge *edge)
{
  uint32_t share = edge->settings.retry_budget_min * RETRY_BUDGET_USED_PERCENT
                   / 100 / _bgap_config_instances (edge);
  return share > 0 ? share : 1;
}

/* Slots of most servers of a service.  */
static uint32_t
_bgap_config_slots (const struct bgap_edge *edge, const char *service)
{
  uint32_t slots = bgap_server_view_usual_slots (edge->view, service);
  return slots > 0 ? slots : SLOTS_DEFAULT;
}

static void
_bgap_config_set_service (struct bgap_edge *edge,
                          const struct bgap_routed_service *routed,
                          struct bgap_edge_service *service)
{
  struct bgap_error err = { 0 };
  uint32_t queue_limit
      = _bgap_config_slots (edge, routed->name) * QUEUE_PER_SLOT;
  const struct bgap_service_desc desc = {
    .name = routed->name,
    .keyed = routed->keyed,
    .deadline_max_ms = DEADLINE_MAX_MS,
    .attempts_max = ATTEMPTS_MAX,
    .retry_percent
    = edge->settings.retry_budget_percent * RETRY_BUDGET_USED_PERCENT / 100,
    .retry_burst = _bgap_config_retry_burst (edge),
    .retry_starts_empty = true,
    .charge_refusals = true,
    .shared_slots = true,
    .queue_per_server = queue_limit,
    .drain_grace_ms = DRAIN_GRACE_MS,
    .policy = edge->settings.place_by_cost ? &bgap_balancer_shared
                                           : &bgap_balancer_shared_count,
  };
  if (bgap_router_set_service (&edge->router, bgap_now_ms (), &desc,
                               &service->id, &err)
      != BGAP_OK)
    bgap_event (&event_bad_config, "service=%s reason=\"%s\"", routed->name,
                err.message);
}

static struct bgap_edge_service *
_bgap_config_add_service (struct bgap_edge *edge,
                          const struct bgap_routed_service *routed)
{
  struct bgap_error err = { 0 };
  struct bgap_edge_service *service = calloc (1, sizeof *service);
  if (service == NULL)
    return NULL;
  snprintf (service->name, sizeof service->name, "%s", routed->name);
  if (routed->keyed
      && bgap_granter_setup (&service->granter,
                             &(struct bgap_granter_desc){
                                 .instance = edge->member,
                                 .incarnation = edge->incarnation,
                                 .lease_max_ms = edge->settings.lease_max_ms },
                             &err)
             != BGAP_OK)
    {
      free (service);
      return NULL;
    }
  if (routed->keyed)
    service->service_times = bgap_service_times_new ();
  HASH_ADD_STR (edge->services, name, service);
  if (service->granter != NULL && edge->internal != NULL
      && bgap_follower_is_loaded (edge->internal))
    bgap_follower_reload (edge->internal);
  return service;
}

void
bgap_edge_apply_limits (struct bgap_edge *edge)
{
  if (edge->table == NULL)
    return;
  for (uint32_t i = 0; i < edge->table->service_count; i++)
    {
      struct bgap_edge_service *service
          = bgap_edge_service (edge, edge->table->services[i].name);
      if (service != NULL)
        _bgap_config_set_service (edge, &edge->table->services[i], service);
    }
  bgap_edge_sync_servers (edge);
}

static void
_bgap_config_apply (struct bgap_edge *edge, struct bgap_route_table *table)
{
  struct bgap_caller_limits limits = table->limits;
  bgap_route_table_free (edge->table);
  edge->table = table;
  for (uint32_t i = 0; i < table->service_count; i++)
    if (bgap_edge_service (edge, table->services[i].name) == NULL)
      _bgap_config_add_service (edge, &table->services[i]);
  bgap_edge_apply_limits (edge);
  bgap_frontend_set_limits (edge->frontend,
                            &(struct bgap_frontend_limits){
                                .head_size_max = limits.head_size_max,
                                .body_size_max = limits.body_size_max,
                                .head_timeout_ms = limits.head_timeout_ms,
                                .idle_timeout_ms = limits.idle_timeout_ms });
}

static void
_bgap_config_on_record (void *context, const struct bgap_store_record *record)
{
  struct bgap_edge *edge = context;
  struct bgap_error err = { 0 };
  if (bgap_edge_on_zone_record (edge, record))
    return;
  if (record->removed
      || strcmp (record->key, edge->desc.topics.config_key) != 0)
    return;
  struct bgap_route_table *table
      = edge->desc.wire->decode_routes (record->value, record->size, &err);
  if (table == NULL)
    {
      bgap_event (&event_bad_config, "offset=%llu reason=\"%s\"",
                  (unsigned long long)record->offset, err.message);
      return;
    }
  if (edge->table != NULL && table->version <= edge->table->version)
    {
      if (table->version < edge->table->version)
        bgap_event (&event_bad_config,
                    "offset=%llu reason=\"version %lld is older than version "
                    "%lld, which is in force\"",
                    (unsigned long long)record->offset,
                    (long long)table->version,
                    (long long)edge->table->version);
      bgap_route_table_free (table);
      return;
    }
  bgap_event (&event_config,
              "version=%lld previous=%lld offset=%llu routes=%u services=%u "
              "bytes=%zu",
              (long long)table->version,
              edge->table != NULL ? (long long)edge->table->version : -1LL,
              (unsigned long long)record->offset, table->route_count,
              table->service_count, record->size);
  edge->config_bytes = record->size;
  _bgap_config_apply (edge, table);
  bgap_follower_start (edge->internal);
  bgap_edge_run_actions (edge);
}

static void
_bgap_config_on_load (void *context)
{
  struct bgap_edge *edge = context;
  bgap_zone_view_begin_load (edge->zones);
}

static void
_bgap_config_on_load_read (void *context,
                           const struct bgap_store_record *records,
                           size_t count)
{
  bgap_edge_relay_load_read (context, BGAP_EDGE_CONFIG, records, count);
}

static void
_bgap_config_on_loaded (void *context)
{
  struct bgap_edge *edge = context;
  bgap_zone_view_end_load (edge->zones, bgap_now_ms ());
  bgap_edge_relay_loaded (edge, BGAP_EDGE_CONFIG);
  bgap_edge_run_actions (edge);
}

static void
_bgap_config_on_synced (void *context, int64_t sent_ms, bool relayed)
{
  struct bgap_edge *edge = context;
  /* A read that waits for new records may end after shorter ones that were
     sent later.  */
  if (sent_ms > edge->config_synced_ms)
    edge->config_synced_ms = sent_ms;
  bgap_edge_update_view_time (edge);
  if (!relayed)
    bgap_edge_store_answered (edge);
}

static void
_bgap_config_on_page (void *context, uint64_t from,
                      const struct bgap_store_record *records, size_t count)
{
  bgap_edge_relay_config (context, from, records, count);
}

static void
_bgap_config_on_failed (void *context, enum bgap_store_outcome outcome,
                        const char *message)
{
  struct bgap_edge *edge = context;
  bgap_edge_store_failed (edge, edge->desc.topics.operators, outcome, message);
}

static void
_bgap_config_on_gap (void *context, const struct bgap_follower_gap *gap)
{
  struct bgap_edge *edge = context;
  bgap_edge_report_gap (edge->desc.topics.operators, edge->config, gap);
}

enum bgap_status
bgap_edge_follow_config (struct bgap_edge *edge, struct bgap_error *err)
{
  return bgap_follower_setup (
      &edge->config,
      &(struct bgap_follower_desc){
          .base = edge->base,
          .store = edge->desc.store,
          .topic = edge->desc.topics.operators,
          .wait_ms = CONFIG_WAIT_MS,
          .relay_timeout_ms = BGAP_EDGE_RELAY_TIMEOUT_MS,
          .ops = { .load_started = _bgap_config_on_load,
                   .record = _bgap_config_on_record,
                   .load_read = _bgap_config_on_load_read,
                   .loaded = _bgap_config_on_loaded,
                   .synced = _bgap_config_on_synced,
                   .failed = _bgap_config_on_failed,
                   .gap = _bgap_config_on_gap,
                   .page_read = _bgap_config_on_page,
                   .context = edge } },
      err);
}

void
bgap_edge_free_services (struct bgap_edge *edge)
{
  struct bgap_edge_service *service;
  struct bgap_edge_service *next;
  HASH_ITER (hh, edge->services, service, next)
  {
    HASH_DEL (edge->services, service);
    bgap_granter_shutdown (service->granter);
    bgap_service_times_free (service->service_times);
    bgap_key_outages_shutdown (&service->key_outages);
    free (service);
  }
  bgap_route_table_free (edge->table);
}
