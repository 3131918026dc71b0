#include "operators.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "access_token.h"
#include "now.h"
#include "operators_private.h"

/* Interval of the checks of waiting watches.  */
#define CHECK_INTERVAL_MS 100

/* Size of the key of an explain request in bytes, terminating zero included.
 */
#define KEY_SIZE 1024

void
bgap_operators_reply (struct bgap_operators *operators,
                      struct bgap_admin_id id, int status, json_t *value)
{
  bgap_admin_reply_json (operators->admin, id, status, value);
  json_decref (value);
}

void
bgap_operators_reply_error (struct bgap_operators *operators,
                            struct bgap_admin_id id, int status,
                            const char *message)
{
  bgap_operators_reply (operators, id, status,
                        json_pack ("{s:s}", "error", message));
}

bool
bgap_operators_allowed (struct bgap_operators *operators,
                        struct bgap_admin_id id,
                        const struct bgap_admin_request *request)
{
  if (bgap_access_token_matches (
          request->token, operators->desc.settings->operator_token_sha256))
    return true;
  bgap_operators_reply_error (operators, id, 401, "no token or a wrong one");
  return false;
}

bool
bgap_operators_parameter (struct bgap_operators *operators,
                          struct bgap_admin_id id,
                          const struct bgap_admin_request *request,
                          const char *name, char *value, size_t size)
{
  if (bgap_admin_query (request->query, name, value, size) == BGAP_OK)
    return true;
  char message[128];
  snprintf (message, sizeof message, "parameter \"%s\" is missing or wrong",
            name);
  bgap_operators_reply_error (operators, id, 400, message);
  return false;
}

static void
_bgap_operators_healthz (void *context, struct bgap_admin_id id,
                         const struct bgap_admin_request *request)
{
  struct bgap_operators *operators = context;
  (void)request;
  bgap_admin_reply_text (operators->admin, id, 200, "ok\n", 3);
}

static void
_bgap_operators_readyz (void *context, struct bgap_admin_id id,
                        const struct bgap_admin_request *request)
{
  struct bgap_operators *operators = context;
  (void)request;
  if (operators->ready)
    bgap_admin_reply_text (operators->admin, id, 200, "ready\n", 6);
  else
    bgap_admin_reply_text (operators->admin, id, 503, "not ready\n", 10);
}

static void
_bgap_operators_count_peer (struct bgap_operators *operators)
{
  const struct bgap_peer_counts *counts
      = bgap_peer_counts (operators->desc.peer);
  struct bgap_counters *counters = operators->desc.counters;
  *bgap_counters_get (counters, "bgap_peer_sent_total", "") = counts->sent;
  *bgap_counters_get (counters, "bgap_peer_sent_bytes_total", "")
      = counts->sent_bytes;
  *bgap_counters_get (counters, "bgap_peer_dropped_total", "")
      = counts->dropped;
  *bgap_counters_get (counters, "bgap_peer_received_total", "")
      = counts->received;
  *bgap_counters_get (counters, "bgap_peer_received_bytes_total", "")
      = counts->received_bytes;
  *bgap_counters_get (counters, "bgap_peer_malformed_total", "")
      = counts->malformed;
}

static void
_bgap_operators_metrics (void *context, struct bgap_admin_id id,
                         const struct bgap_admin_request *request)
{
  struct bgap_operators *operators = context;
  struct bgap_buffer text = { 0 };
  if (!bgap_operators_allowed (operators, id, request))
    return;
  bgap_requests_update_counters (operators->desc.requests);
  _bgap_operators_count_peer (operators);
  bgap_counters_print (operators->desc.counters, &text);
  bgap_admin_reply_text (operators->admin, id, 200,
                         text.data != NULL ? text.data : "", text.size);
  bgap_buffer_shutdown (&text);
}

static json_t *
_bgap_operators_status_json (const struct bgap_operators *operators)
{
  const struct bgap_operators_desc *desc = &operators->desc;
  const struct bgap_config *replay
      = bgap_configuration_replay (desc->configuration);
  uint32_t instances = 0;
  bgap_members_count_in_force (desc->members, 0, &instances);
  return json_pack ("{s:s, s:s, s:s, s:I, s:I, s:b, s:i}", "instance",
                    desc->settings->name, "zone", desc->settings->zone,
                    "version", BGAP_VERSION, "config_version",
                    (json_int_t)bgap_config_version (replay, NULL), "applied",
                    (json_int_t)bgap_config_applied (replay), "live",
                    operators->ready, "instances", (int)instances);
}

static void
_bgap_operators_status (void *context, struct bgap_admin_id id,
                        const struct bgap_admin_request *request)
{
  struct bgap_operators *operators = context;
  if (bgap_operators_allowed (operators, id, request))
    bgap_operators_reply (operators, id, 200,
                          _bgap_operators_status_json (operators));
}

static json_t *
_bgap_operators_dump_members (const struct bgap_members *members)
{
  json_t *array = json_array ();
  int64_t now_ms = bgap_now_ms ();
  for (uint32_t i = 0; i < bgap_members_count (members); i++)
    {
      const struct bgap_member *member = bgap_members_at (members, i);
      int64_t age_ms = member->seen_ms > 0 ? now_ms - member->seen_ms : -1;
      json_array_append_new (
          array,
          json_pack ("{s:s, s:s, s:s, s:s, s:b, s:b, s:I, s:I}", "name",
                     member->name, "zone", member->zone, "role",
                     member->role == BGAP_HOST_ENTRY ? "entry" : "backend",
                     "address", member->address, "leaving", member->leaving,
                     "listed", member->listed, "seen_ms_ago",
                     (json_int_t)age_ms, "config_version",
                     (json_int_t)member->config_version));
    }
  return array;
}

json_t *
bgap_operators_dump (const struct bgap_operators *operators)
{
  const struct bgap_operators_desc *desc = &operators->desc;
  struct bgap_buffer router = { 0 };
  bgap_requests_dump (desc->requests, &router);
  json_t *dump = json_pack ("{s:o, s:o, s:o, s:s}", "status",
                            _bgap_operators_status_json (operators), "members",
                            _bgap_operators_dump_members (desc->members),
                            "cells", bgap_cells_dump (desc->cells), "router",
                            router.data != NULL ? router.data : "");
  bgap_buffer_shutdown (&router);
  return dump;
}

static void
_bgap_operators_dump_route (void *context, struct bgap_admin_id id,
                            const struct bgap_admin_request *request)
{
  struct bgap_operators *operators = context;
  if (bgap_operators_allowed (operators, id, request))
    bgap_operators_reply (operators, id, 200, bgap_operators_dump (operators));
}

static json_t *
_bgap_operators_explain_json (const struct bgap_operators *operators,
                              const char *service, const char *key,
                              const struct bgap_cell_route *route)
{
  const char *server = route->held ? route->server : "";
  const struct bgap_upstream *upstream
      = bgap_upstreams_find (operators->desc.upstreams, server);
  const char *reason = route->held
                           ? "an accepted grant names the holder"
                           : "no accepted grant, or a move is under way";
  return json_pack (
      "{s:s, s:s, s:i, s:s, s:s, s:I, s:b, s:s, s:s, s:{s:s, s:s, s:s}}",
      "service", service, "key", key, "slice", (int)route->slice, "cell",
      route->cell, "holder", server, "token", (json_int_t)route->token, "hot",
      route->hot, "state", route->held ? "held" : "free", "reason", reason,
      "server", "name", server, "zone",
      upstream != NULL ? upstream->resource.zone : "", "address",
      upstream != NULL ? upstream->resource.address : "");
}

static void
_bgap_operators_explain (void *context, struct bgap_admin_id id,
                         const struct bgap_admin_request *request)
{
  struct bgap_operators *operators = context;
  char service[2 * BGAP_RESOURCE_NAME_SIZE];
  char key[KEY_SIZE];
  struct bgap_cell_route route;
  if (!bgap_operators_allowed (operators, id, request)
      || !bgap_operators_parameter (operators, id, request, "service", service,
                                    sizeof service)
      || !bgap_operators_parameter (operators, id, request, "key", key,
                                    sizeof key))
    return;
  char *slash = strchr (service, '/');
  if (slash != NULL)
    *slash = '.';
  if (!bgap_cells_lookup (operators->desc.cells, service, key, strlen (key),
                          &route))
    {
      bgap_operators_reply_error (operators, id, 404,
                                  "the service is not known or has no keys");
      return;
    }
  if (slash != NULL)
    *slash = '/';
  bgap_operators_reply (
      operators, id, 200,
      _bgap_operators_explain_json (operators, service, key, &route));
}

/* Checks for the access token of the operators or of the owner; replies 401 or
   403 if it is neither.  */
static bool
_bgap_operators_may_read (struct bgap_operators *operators,
                          struct bgap_admin_id id, const char *token,
                          const char *owner)
{
  const struct bgap_resource_set *set
      = bgap_configuration_set (operators->desc.configuration);
  const struct bgap_resource_owner *resource
      = bgap_resource_find_owner (set, owner);
  if (bgap_access_token_matches (
          token, operators->desc.settings->operator_token_sha256)
      || (resource != NULL
          && bgap_access_token_matches (token, resource->token_sha256)))
    return true;
  for (uint32_t i = 0; i < set->owner_count; i++)
    if (bgap_access_token_matches (token, set->owners[i].token_sha256))
      {
        bgap_operators_reply_error (operators, id, 403,
                                    "the token is not for this owner");
        return false;
      }
  bgap_operators_reply_error (operators, id, 401, "no token or a wrong one");
  return false;
}

static void
_bgap_operators_faults (void *context, struct bgap_admin_id id,
                        const struct bgap_admin_request *request)
{
  struct bgap_operators *operators = context;
  char owner[BGAP_RESOURCE_NAME_SIZE];
  if (!bgap_operators_parameter (operators, id, request, "owner", owner,
                                 sizeof owner)
      || !_bgap_operators_may_read (operators, id, request->token, owner))
    return;
  bgap_operators_reply (
      operators, id, 200,
      json_pack ("{s:s, s:o}", "owner", owner, "faults",
                 bgap_faults_report (operators->desc.faults, owner)));
}

static const struct bgap_admin_route routes[] = {
  { .method = "GET", .path = "/healthz", .handle = _bgap_operators_healthz },
  { .method = "GET", .path = "/readyz", .handle = _bgap_operators_readyz },
  { .method = "GET", .path = "/metrics", .handle = _bgap_operators_metrics },
  { .method = "GET", .path = "/status", .handle = _bgap_operators_status },
  { .method = "GET", .path = "/dump", .handle = _bgap_operators_dump_route },
  { .method = "GET", .path = "/explain", .handle = _bgap_operators_explain },
  { .method = "GET", .path = "/faults", .handle = _bgap_operators_faults },
  { .method = "GET", .path = "/config", .handle = bgap_operators_get_config },
  { .method = "POST",
    .path = "/config",
    .handle = bgap_operators_post_config },
  { .method = "GET",
    .path = "/config/watch",
    .handle = bgap_operators_watch_config },
};

static void
_bgap_operators_on_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  bgap_operators_check_watches (context);
}

enum bgap_status
bgap_operators_setup (const struct bgap_operators_desc *desc,
                      struct bgap_operators **out, struct bgap_error *err)
{
  struct bgap_operators *operators = calloc (1, sizeof *operators);
  if (operators == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "no memory for operators");
  operators->desc = *desc;
  LIST_INIT (&operators->appends);
  enum bgap_status status
      = bgap_admin_setup (&operators->admin,
                          &(struct bgap_admin_desc){
                              .base = desc->base,
                              .address = desc->settings->operators_address,
                              .routes = routes,
                              .route_count = sizeof routes / sizeof routes[0],
                              .context = operators },
                          err);
  operators->timer = event_new (desc->base, -1, EV_PERSIST,
                                _bgap_operators_on_timer, operators);
  if (status != BGAP_OK || operators->timer == NULL)
    {
      bgap_operators_shutdown (operators);
      return status != BGAP_OK ? status : BGAP_ERR_NO_MEMORY;
    }
  const struct timeval interval = bgap_timeval (CHECK_INTERVAL_MS);
  event_add (operators->timer, &interval);
  *out = operators;
  return BGAP_OK;
}

void
bgap_operators_shutdown (struct bgap_operators *operators)
{
  if (operators == NULL)
    return;
  if (operators->timer != NULL)
    event_free (operators->timer);
  bgap_admin_shutdown (operators->admin);
  bgap_operators_drop_appends (operators);
  free (operators);
}

void
bgap_operators_set_ready (struct bgap_operators *operators, bool ready)
{
  operators->ready = ready;
}
