#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge_parts.h"
#include "edge_zones.h"
#include "now.h"

/* Interval of reads of the registrations. Servers register about every second,
   so that a read that waits for records would return at once. A server that
   deregisters or drains gets no new requests after this time plus the time
   that a request is under way to it.  */
#define REGISTRATIONS_PAUSE_MS 1050

/* Number of refused connections after a broken attempt from which the server's
   process is considered dead.  */
#define REFUSED_CONNECTIONS_MAX 2u

/* A registration expires after three missed heartbeats; one more is a margin.
 */
#define EXPIRY_HEARTBEATS 4

/* Servers that an instance sees first this long after its start have joined;
   before, it reads the registrations of all.  */
#define JOINED_AFTER_MS 5000

/* Time after a broken attempt in which refused connections count.  */
#define REFUSED_WINDOW_MS 3000

static struct bgap_event_kind event_server
    = { .name = "server", .burst = 1000 };
static struct bgap_event_kind event_bad_server = { .name = "server-skipped" };

struct bgap_edge_server *
bgap_edge_server (const struct bgap_edge *edge, struct bgap_server_id id)
{
  struct bgap_edge_server *server;
  HASH_FIND (hh, edge->servers, &id.id, sizeof id.id, server);
  return server;
}

struct bgap_edge_server *
bgap_edge_server_named (const struct bgap_edge *edge,
                        const struct bgap_edge_service *service,
                        const char *id)
{
  return bgap_edge_server (
      edge, bgap_router_find_server (&edge->router, service->id, id));
}

/* Options in the router.  */

static void
_bgap_servers_update_router (struct bgap_edge *edge,
                             struct bgap_edge_service *service,
                             const struct bgap_server_entry *entry,
                             struct bgap_server_id *id)
{
  struct bgap_error err = { 0 };
  struct bgap_server_desc desc = {
    .name = entry->id,
    .zone = entry->zone,
    .slots = entry->slots,
    .connections = bgap_edge_server_requests_max (edge, entry),
    .entry_hosts_max = 1,
    /* An instance can infer the others' use of a server from its own only if
       all must use this server, as the holder of its keys.  */
    .instances
    = service->granter != NULL ? bgap_membership_count (edge->membership) : 1,
    .already_running = true,
    .joined = bgap_now_ms () - edge->started_ms >= JOINED_AFTER_MS,
    .bytes_max = bgap_edge_server_bodies_max (edge),
    .draining = entry->draining,
    .pause_ms = bgap_edge_pause_left_ms (edge, entry),
  };
  const struct bgap_known_server *known
      = bgap_server_view_find (edge->view, entry->id);
  if (known != NULL && entry->draining)
    desc.draining_for_ms = bgap_now_ms () - known->draining_since_ms;
  bgap_edge_describe_warmup (edge, entry, &desc);
  bgap_edge_describe_evacuation (edge, entry, &desc);
  bgap_edge_describe_limit (edge, entry, &desc);
  if (bgap_router_set_server (&edge->router, bgap_now_ms (), service->id,
                              &desc, id, &err)
      != BGAP_OK)
    bgap_event (&event_bad_server, "server=%s reason=\"%s\"", entry->id,
                err.message);
}

static void
_bgap_servers_update_drain (struct bgap_edge *edge,
                            const struct bgap_edge_server *server,
                            const struct bgap_server_entry *entry)
{
  bgap_router_server_drain (&edge->router, bgap_now_ms (), server->router_id,
                            BGAP_DRAIN_HOST_LIST, entry->draining);
  bgap_edge_update_evacuation (edge, server, entry);
}

/* Adding and removing.  */

static void
_bgap_servers_close (struct bgap_edge *edge, struct bgap_edge_server *server)
{
  bgap_backend_remove_server (edge->backend, server->requests);
  bgap_backend_remove_server (edge->backend, server->grants);
  bgap_backend_remove_server (edge->backend, server->releases);
  if (server->has_checks)
    bgap_backend_remove_server (edge->backend, server->checks);
}

static bool
_bgap_servers_open (struct bgap_edge *edge, struct bgap_edge_server *server,
                    const struct bgap_server_entry *entry)
{
  struct bgap_error err = { 0 };
  const char *address = entry->address;
  enum bgap_status status = bgap_backend_add_server (
      edge->backend, address,
      bgap_edge_server_connections (edge, server->service), &server->requests,
      &err);
  if (status == BGAP_OK)
    status = bgap_backend_add_server (edge->backend, address,
                                      BGAP_EDGE_GRANT_CONNECTIONS,
                                      &server->grants, &err);
  if (status == BGAP_OK)
    status = bgap_backend_add_server (edge->backend, address,
                                      BGAP_EDGE_RELEASE_CONNECTIONS,
                                      &server->releases, &err);
  if (status == BGAP_OK)
    return true;
  _bgap_servers_close (edge, server);
  bgap_event (&event_bad_server, "server=%s reason=\"%s\"", entry->id,
              err.message);
  return false;
}

static void
_bgap_servers_add (struct bgap_edge *edge, struct bgap_known_server *known)
{
  struct bgap_edge_service *service
      = bgap_edge_service (edge, known->entry.service);
  if (service == NULL || known->user_data != NULL)
    return;
  struct bgap_edge_server *server = calloc (1, sizeof *server);
  if (server == NULL)
    return;
  server->known = known;
  server->service = service;
  snprintf (server->id, sizeof server->id, "%s", known->entry.id);
  if (!_bgap_servers_open (edge, server, &known->entry))
    {
      free (server);
      return;
    }
  _bgap_servers_update_router (edge, service, &known->entry,
                               &server->router_id);
  if (server->router_id.id == BGAP_INVALID_ID)
    {
      _bgap_servers_close (edge, server);
      free (server);
      return;
    }
  /* The router gives a server that was removed and still has attempts its old
     handle, so that the former entry must leave the table.  */
  struct bgap_edge_server *old = bgap_edge_server (edge, server->router_id);
  if (old != NULL)
    HASH_DEL (edge->servers, old);
  if (old != NULL)
    old->router_id.id = BGAP_INVALID_ID;
  HASH_ADD (hh, edge->servers, router_id.id, sizeof server->router_id.id,
            server);
  known->user_data = server;
  bgap_router_server_alive (&edge->router, bgap_now_ms (), server->router_id,
                            (uint64_t)known->entry.started_ms);
  _bgap_servers_update_drain (edge, server, &known->entry);
  bgap_edge_log_kept_limit (edge, server);
  if (service->granter != NULL)
    bgap_edge_set_granter_server (edge, service, &known->entry);
}

static void
_bgap_servers_free (struct bgap_edge *edge, struct bgap_edge_server *server)
{
  if (server->router_id.id != BGAP_INVALID_ID)
    HASH_DEL (edge->servers, server);
  _bgap_servers_close (edge, server);
  free (server);
}

void
bgap_edge_call_ended (struct bgap_edge *edge, struct bgap_edge_server *server)
{
  server->calls--;
  if (server->calls == 0 && server->known == NULL)
    _bgap_servers_free (edge, server);
}

static void
_bgap_servers_remove (struct bgap_edge *edge, struct bgap_edge_server *server)
{
  if (server->service->granter != NULL)
    bgap_granter_remove_server (server->service->granter, bgap_now_ms (),
                                server->id);
  /* With what other instances have heard of it.  */
  bgap_edge_keep_limit (edge, server);
  server->former_started_ms = server->known->entry.started_ms;
  server->known = NULL;
  server->calls++;
  bgap_router_server_expired (&edge->router, bgap_now_ms (),
                              server->router_id);
  bgap_router_remove_server (&edge->router, bgap_now_ms (), server->router_id);
  bgap_edge_run_actions (edge);
  bgap_edge_call_ended (edge, server);
}

void
bgap_edge_sync_servers (struct bgap_edge *edge)
{
  for (struct bgap_known_server *known = bgap_server_view_first (edge->view);
       known != NULL; known = known->hh.next)
    {
      struct bgap_edge_server *server = known->user_data;
      if (server == NULL)
        {
          _bgap_servers_add (edge, known);
          continue;
        }
      uint32_t connections
          = bgap_edge_server_connections (edge, server->service);
      bgap_backend_set_limit (edge->backend, server->requests, connections);
      _bgap_servers_update_router (edge, server->service, &known->entry,
                                   &server->router_id);
    }
}

/* Failure detection.  */

void
bgap_edge_server_failed (struct bgap_edge *edge,
                         struct bgap_edge_server *server, bool refused)
{
  int64_t now_ms = bgap_now_ms ();
  if (server->known == NULL)
    return;
  if (server->service->granter != NULL)
    bgap_granter_suspect (server->service->granter, now_ms, server->id);
  if (!refused)
    {
      server->attempt_broken_ms = now_ms;
      return;
    }
  server->refused_connections++;
  if (server->refused_connections < REFUSED_CONNECTIONS_MAX
      || server->attempt_broken_ms == 0
      || now_ms - server->attempt_broken_ms > REFUSED_WINDOW_MS
      || server->lost_ms != 0)
    return;
  server->lost_ms = now_ms;
  bgap_event (&event_server,
              "server=%s service=%s change=ended reason=\"no listener after a "
              "broken attempt\" refused=%u",
              server->id, server->service->name, server->refused_connections);
  bgap_router_server_lost (&edge->router, now_ms, server->router_id);
}

static int64_t
_bgap_servers_expiry_ms (const struct bgap_edge *edge)
{
  return edge->settings.heartbeat_ms * EXPIRY_HEARTBEATS;
}

int64_t
bgap_edge_crash_window_ms (const struct bgap_edge *edge)
{
  return _bgap_servers_expiry_ms (edge) + REGISTRATIONS_PAUSE_MS;
}

/* A server that was considered dead is alive if it is still registered after
   the time in which the registration of a dead server expires.  */
void
bgap_edge_reinstate_servers (struct bgap_edge *edge, int64_t now_ms)
{
  int64_t expiry_ms = _bgap_servers_expiry_ms (edge);
  for (struct bgap_edge_server *server = edge->servers; server != NULL;
       server = server->hh.next)
    {
      if (server->lost_ms == 0 || server->known == NULL
          || now_ms - server->lost_ms < expiry_ms)
        continue;
      server->lost_ms = 0;
      server->refused_connections = 0;
      bgap_event (&event_server, "server=%s service=%s change=back",
                  server->id, server->service->name);
      /* It may have started anew while the store could not be read.  */
      bgap_server_view_assume_cold (edge->view, now_ms, server->known,
                                    BGAP_WARMUP_RETURNED);
      bgap_edge_update_warmup (edge, server);
      bgap_router_server_alive (&edge->router, now_ms, server->router_id,
                                (uint64_t)server->known->entry.started_ms);
    }
}

/* Changes of the view of the servers.  */

static void
_bgap_servers_on_change (void *context, struct bgap_known_server *known,
                         enum bgap_server_change change)
{
  struct bgap_edge *edge = context;
  const struct bgap_server_entry *entry = &known->entry;
  int64_t now_ms = bgap_now_ms ();
  bgap_event (&event_server,
              "server=%s service=%s change=%s zone=%s slots=%u born=%lld "
              "sequence=%lld software=%s",
              entry->id, entry->service, bgap_server_change_name (change),
              entry->zone, entry->slots, (long long)entry->started_ms,
              (long long)entry->sequence, entry->software);
  if (edge->changed_server_count < BGAP_EDGE_CHANGED_MAX)
    snprintf (edge->changed_servers[edge->changed_server_count++],
              sizeof edge->changed_servers[0], "%s", entry->id);
  if (change == BGAP_SERVER_ADDED)
    _bgap_servers_add (edge, known);
  struct bgap_edge_server *server = known->user_data;
  if (server == NULL)
    return;
  if (change == BGAP_SERVER_GONE)
    {
      _bgap_servers_remove (edge, server);
      return;
    }
  if (change == BGAP_SERVER_RESTARTED)
    {
      server->lost_ms = 0;
      server->refused_connections = 0;
      server->attempt_broken_ms = 0;
      server->returns_order_ids = false;
      /* Before requests that have waited are sent to the new process.  */
      bgap_edge_update_warmup (edge, server);
      bgap_router_server_alive (&edge->router, now_ms, server->router_id,
                                (uint64_t)entry->started_ms);
    }
  if (change == BGAP_SERVER_CHANGED || change == BGAP_SERVER_RESTARTED)
    _bgap_servers_update_router (edge, server->service, entry,
                                 &server->router_id);
  if (change != BGAP_SERVER_ADDED)
    _bgap_servers_update_drain (edge, server, entry);
}

bool
bgap_edge_server_changed (const struct bgap_edge *edge,
                          const struct bgap_store_record *record)
{
  for (uint32_t i = 0; i < edge->changed_server_count; i++)
    if (strcmp (edge->changed_servers[i], record->key) == 0)
      return true;
  return edge->changed_server_count == BGAP_EDGE_CHANGED_MAX;
}

/* Records of registrations.  */

static void
_bgap_servers_on_record (void *context, const struct bgap_store_record *record)
{
  struct bgap_edge *edge = context;
  struct bgap_error err = { 0 };
  struct bgap_server_entry entry;
  int64_t now_ms = bgap_now_ms ();
  bgap_server_view_store_answered (edge->view, now_ms);
  if (record->removed)
    {
      bgap_server_view_remove (edge->view, now_ms, record->key);
      return;
    }
  if (edge->desc.wire->decode_server (record->key, record->value, record->size,
                                      &entry, &err)
      != BGAP_OK)
    {
      bgap_event (&event_bad_server, "server=%.64s offset=%llu reason=\"%s\"",
                  record->key, (unsigned long long)record->offset,
                  err.message);
      return;
    }
  bgap_server_view_put (edge->view, now_ms, &entry);
  const struct bgap_known_server *known
      = bgap_server_view_find (edge->view, entry.id);
  if (known == NULL || known->user_data == NULL)
    return;
  struct bgap_edge_server *server = known->user_data;
  bgap_edge_update_warmup (edge, server);
  if (server->service->granter != NULL)
    bgap_edge_set_granter_server (edge, server->service, &known->entry);
}

static void
_bgap_servers_on_load (void *context)
{
  struct bgap_edge *edge = context;
  bgap_server_view_begin_load (edge->view);
}

static void
_bgap_servers_on_loaded (void *context)
{
  struct bgap_edge *edge = context;
  bgap_server_view_end_load (edge->view, bgap_now_ms ());
  bgap_edge_relay_loaded (edge, BGAP_EDGE_SERVERS);
  bgap_edge_apply_limits (edge);
}

static void
_bgap_servers_on_synced (void *context, int64_t sent_ms, bool relayed)
{
  struct bgap_edge *edge = context;
  edge->servers_synced_ms = sent_ms;
  bgap_server_view_synced (edge->view, sent_ms);
  bgap_edge_update_view_time (edge);
  bgap_server_view_store_answered (edge->view, bgap_now_ms ());
  bgap_server_view_tick (edge->view, bgap_now_ms ());
  if (!relayed)
    bgap_edge_store_answered (edge);
  bgap_edge_run_actions (edge);
}

static void
_bgap_servers_on_page (void *context, uint64_t from,
                       const struct bgap_store_record *records, size_t count)
{
  bgap_edge_relay_servers (context, from, records, count);
}

static void
_bgap_servers_on_failed (void *context, enum bgap_store_outcome outcome,
                         const char *message)
{
  struct bgap_edge *edge = context;
  bgap_server_view_store_failed (edge->view, bgap_now_ms ());
  bgap_edge_store_failed (edge, edge->desc.topics.servers, outcome, message);
}

static void
_bgap_servers_on_gap (void *context, const struct bgap_follower_gap *gap)
{
  struct bgap_edge *edge = context;
  bgap_edge_report_gap (edge->desc.topics.servers, edge->registrations, gap);
}

enum bgap_status
bgap_edge_follow_servers (struct bgap_edge *edge, struct bgap_error *err)
{
  edge->view = bgap_server_view_new (
      &(struct bgap_server_view_ops){ .changed = _bgap_servers_on_change,
                                      .warmup_ms = bgap_edge_warmup_ms,
                                      .context = edge });
  if (edge->view == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  return bgap_follower_setup (
      &edge->registrations,
      &(struct bgap_follower_desc){
          .base = edge->base,
          .store = edge->desc.store,
          .topic = edge->desc.topics.servers,
          .pause_ms = REGISTRATIONS_PAUSE_MS,
          .relay_timeout_ms = BGAP_EDGE_RELAY_TIMEOUT_MS,
          .ops = { .load_started = _bgap_servers_on_load,
                   .record = _bgap_servers_on_record,
                   .loaded = _bgap_servers_on_loaded,
                   .synced = _bgap_servers_on_synced,
                   .failed = _bgap_servers_on_failed,
                   .gap = _bgap_servers_on_gap,
                   .page_read = _bgap_servers_on_page,
                   .context = edge } },
      err);
}

void
bgap_edge_free_servers (struct bgap_edge *edge)
{
  struct bgap_edge_server *server;
  struct bgap_edge_server *next;
  HASH_ITER (hh, edge->servers, server, next)
  {
    HASH_DEL (edge->servers, server);
    bgap_edge_drop_orders (server);
    free (server);
  }
  bgap_server_view_free (edge->view);
}
