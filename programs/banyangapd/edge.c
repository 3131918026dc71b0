#include "edge_parts.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/random.h"
#include "edge_zones.h"
#include "now.h"

/* Maximum number of requests, in flight and queued.  */
#define REQUESTS_MAX 2048

/* Maximum number of callers' connections; the platform allows a few thousand
   file descriptors.  */
#define CONNECTIONS_MAX 2000

/* Part of the memory that responses may use which callers have not read, as a
   divisor.  */
#define UNSENT_SHARE 8

/* Bytes of a response that each caller's connection may buffer in any case. */
#define CALLER_BUFFER_LOW 16384

/* Time-outs of connections to servers, and the number of their pools.  */
#define CONNECT_TIMEOUT_MS 300
#define SERVER_IDLE_TIMEOUT_MS 20000
#define SERVER_USER_TIMEOUT_MS 900
#define CONNECTION_POOLS_MAX 2048

/* Maximum interval of the timer, at any instance and at the active granter,
   which renews leases.  */
#define TIMER_MAX_MS 200
#define GRANTER_TICK_MS 50

/* Interval of tasks that are not urgent, such as reloading the settings.  */
#define HOUSEKEEPING_MS 500

static struct bgap_event_kind event_start = { .name = "start" };
static struct bgap_event_kind event_reload = { .name = "reload" };

/* Actions.  */

static void
_bgap_edge_resolve (struct bgap_edge *edge,
                    const struct bgap_router_action *action)
{
  const struct bgap_edge_exchange *exchange = action->context;
  struct bgap_edge_service *service = exchange->service;
  int64_t now_ms = bgap_now_ms ();
  uint64_t token = 0;
  struct bgap_server_id holder
      = bgap_edge_holder (edge, service, exchange->wire.key, &token);
  uint32_t range = bgap_edge_key_range (service, exchange->wire.key);
  if (bgap_router_holder_usable (&edge->router, now_ms, service->id, holder))
    {
      bgap_key_outages_end (&service->key_outages, range);
      bgap_router_resolved (&edge->router, now_ms, action->request, holder,
                            token);
      return;
    }
  bgap_router_unresolved (
      &edge->router, now_ms, action->request,
      bgap_key_outages_note (&service->key_outages, now_ms, range));
}

static void
_bgap_edge_run_action (struct bgap_edge *edge,
                       const struct bgap_router_action *action)
{
  switch (action->kind)
    {
    case BGAP_ROUTER_ACTION_DISPATCH:
      bgap_edge_dispatch (action->context, action);
      return;
    case BGAP_ROUTER_ACTION_CANCEL_ATTEMPT:
      bgap_edge_cancel_attempt (action->context);
      return;
    case BGAP_ROUTER_ACTION_FINISH:
      bgap_edge_finish (action->context, action);
      return;
    case BGAP_ROUTER_ACTION_RESOLVE:
      _bgap_edge_resolve (edge, action);
      return;
    case BGAP_ROUTER_ACTION_SEND_PEER:
      if (action->peer_kind == BGAP_ROUTING_MESSAGE_RATE_LIMITS)
        bgap_edge_send_limits (edge, action);
      else
        bgap_edge_publish_router_message (edge, action);
      return;
    case BGAP_ROUTER_ACTION_SEND_INSTANCE:
      bgap_edge_send_permits (edge, action);
      return;
    case BGAP_ROUTER_ACTION_CHECK_SERVER:
      bgap_edge_check_server (edge, action);
      return;
    case BGAP_ROUTER_ACTION_APPEND:
    case BGAP_ROUTER_ACTION_KIND_COUNT:
      return;
    }
}

/* A timer that is set is only ever replaced by an earlier one. Events that
   arrive faster than the timer fires would otherwise postpone it forever.  */
static void
_bgap_edge_set_timer (struct bgap_edge *edge)
{
  int64_t now_ms = bgap_now_ms ();
  int64_t wait_ms = bgap_router_next_tick_ms (&edge->router, now_ms);
  int64_t most_ms = TIMER_MAX_MS;
  for (const struct bgap_edge_service *service = edge->services;
       service != NULL; service = service->hh.next)
    if (service->granter != NULL && bgap_granter_is_active (service->granter))
      most_ms = GRANTER_TICK_MS;
  if (wait_ms > most_ms)
    wait_ms = most_ms;
  int64_t step_ms = bgap_stop_schedule_wait_ms (&edge->stop, now_ms);
  if (wait_ms > step_ms)
    wait_ms = step_ms;
  if (edge->timer_at_ms != 0 && edge->timer_at_ms <= now_ms + wait_ms)
    return;
  edge->timer_at_ms = now_ms + wait_ms;
  const struct timeval wait = bgap_timeval (wait_ms);
  event_add (edge->timer, &wait);
}

void
bgap_edge_run_actions (struct bgap_edge *edge)
{
  struct bgap_router_action action;
  if (edge->running_actions)
    return;
  edge->running_actions = true;
  for (struct bgap_edge_service *service = edge->services; service != NULL;
       service = service->hh.next)
    if (service->granter != NULL)
      bgap_edge_run_granter (edge, service);
  while (bgap_router_next_action (&edge->router, &action))
    _bgap_edge_run_action (edge, &action);
  edge->running_actions = false;
  _bgap_edge_set_timer (edge);
}

/* Readiness and signals.  */

bool
bgap_edge_is_ready (const struct bgap_edge *edge)
{
  return !edge->stop.begun && edge->table != NULL
         && bgap_frontend_has_room (edge->frontend)
         && bgap_follower_is_loaded (edge->config)
         && bgap_follower_is_loaded (edge->registrations)
         && bgap_follower_is_loaded (edge->internal);
}

static void
_bgap_edge_reload (struct bgap_edge *edge, bool forced)
{
  struct bgap_instance_settings settings;
  if (!edge->desc.reload (edge->desc.context, &settings, forced))
    return;
  /* The other settings, such as name and addresses, cannot change while the
     process runs.  */
  edge->settings.retry_budget_percent = settings.retry_budget_percent;
  edge->settings.retry_budget_min = settings.retry_budget_min;
  edge->settings.retry_budget_window_ms = settings.retry_budget_window_ms;
  edge->settings.place_by_cost = settings.place_by_cost;
  edge->settings.grace_ms = settings.grace_ms;
  edge->settings.drain_ms = settings.drain_ms;
  edge->settings.evacuate_ms = settings.evacuate_ms;
  bgap_event (&event_reload, "forced=%d", forced);
  bgap_edge_apply_limits (edge);
}

static void
_bgap_edge_on_signal (evutil_socket_t signal_number, short what, void *context)
{
  struct bgap_edge *edge = context;
  (void)what;
  if (signal_number == SIGHUP)
    _bgap_edge_reload (edge, true);
  else
    bgap_edge_begin_stop (edge);
}

static void
_bgap_edge_on_timer (evutil_socket_t fd, short what, void *context)
{
  struct bgap_edge *edge = context;
  int64_t now_ms = bgap_now_ms ();
  (void)fd;
  (void)what;
  if (edge->stop.begun && now_ms - edge->timer_at_ms > edge->timer_late_max_ms)
    edge->timer_late_max_ms = now_ms - edge->timer_at_ms;
  edge->timer_at_ms = 0;
  bgap_router_tick (&edge->router, now_ms, bgap_wall_ms ());
  if (now_ms - edge->housekeeping_ms >= HOUSEKEEPING_MS)
    {
      edge->housekeeping_ms = now_ms;
      _bgap_edge_reload (edge, false);
      bgap_event_log_flush ();
      bgap_edge_reinstate_servers (edge, now_ms);
      bgap_edge_update_warmups (edge);
      bgap_edge_log_limits (edge, now_ms);
      bgap_edge_log_connections (edge);
    }
  bgap_server_view_tick (edge->view, now_ms);
  bgap_edge_repeat_leaving (edge, now_ms);
  bgap_edge_update_successors (edge);
  bgap_edge_report_keys (edge, now_ms);
  bgap_edge_apply_service_times (edge, now_ms);
  bgap_edge_relay_heartbeat (edge, now_ms);
  if (edge->stop.begun)
    bgap_edge_check_stop (edge);
  bgap_edge_run_actions (edge);
}

/* Setup.  */

static enum bgap_status
_bgap_edge_open_signals (struct bgap_edge *edge)
{
  static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };
  for (int i = 0; i < 3; i++)
    {
      edge->signals[i]
          = evsignal_new (edge->base, numbers[i], _bgap_edge_on_signal, edge);
      if (edge->signals[i] == NULL || event_add (edge->signals[i], NULL) != 0)
        return BGAP_ERR_NO_MEMORY;
    }
  edge->timer = evtimer_new (edge->base, _bgap_edge_on_timer, edge);
  return edge->timer != NULL ? BGAP_OK : BGAP_ERR_NO_MEMORY;
}

size_t
bgap_edge_memory_share (const struct bgap_edge *edge, uint32_t divisor)
{
  return ((size_t)edge->settings.memory_mb << 20) / divisor;
}

static enum bgap_status
_bgap_edge_open_traffic (struct bgap_edge *edge, struct bgap_error *err)
{
  enum bgap_status status = bgap_router_setup (
      &edge->router,
      &(struct bgap_router_desc){
          .instance = edge->settings.name,
          .zone = edge->settings.zone,
          .requests_max = REQUESTS_MAX,
          .crash_window_ms = bgap_edge_crash_window_ms (edge),
          .quarantine_ops = bgap_edge_quarantine_ops (edge),
          .load_interval_ms = -1 },
      err);
  if (status == BGAP_OK)
    status = bgap_backend_setup (
        &edge->backend,
        &(struct bgap_backend_desc){ .base = edge->base,
                                     .counters = &edge->counters,
                                     .servers_max = CONNECTION_POOLS_MAX,
                                     .connect_timeout_ms = CONNECT_TIMEOUT_MS,
                                     .idle_timeout_ms = SERVER_IDLE_TIMEOUT_MS,
                                     .tcp_user_timeout_ms
                                     = SERVER_USER_TIMEOUT_MS,
                                     .accept_close_delimited = true },
        err);
  if (status == BGAP_OK)
    status = bgap_frontend_setup (
        &edge->frontend,
        &(struct bgap_frontend_desc){
            .base = edge->base,
            .address = edge->settings.callers_address,
            .counters = &edge->counters,
            .connections_max = CONNECTIONS_MAX,
            .buffer_low = CALLER_BUFFER_LOW,
            .unsent_size_max = bgap_edge_memory_share (edge, UNSENT_SHARE),
            .large_size_max = bgap_edge_responses_limit (edge),
            .any_path = true,
            .ops = { .request = bgap_edge_on_request,
                     .cancel = bgap_edge_on_cancel,
                     .left = bgap_edge_on_left,
                     .resume = bgap_edge_on_resume,
                     .stopped = bgap_edge_on_frontend_stopped,
                     .context = edge } },
        err);
  return status;
}

enum bgap_status
bgap_edge_setup (const struct bgap_edge_desc *desc, struct bgap_edge **out,
                 struct bgap_error *err)
{
  struct bgap_edge *edge = calloc (1, sizeof *edge);
  if (edge == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  edge->desc = *desc;
  edge->settings = *desc->settings;
  edge->base = desc->base;
  edge->incarnation = bgap_random_seed () | 1;
  edge->started_ms = bgap_now_ms ();
  edge->is_relay = true;
  LIST_INIT (&edge->appends);
  int size = snprintf (edge->member, sizeof edge->member, "%s@%s#%s",
                       edge->settings.name, edge->settings.peers_address,
                       edge->settings.zone);
  if (size >= (int)sizeof edge->member)
    {
      free (edge);
      return bgap_error_set (err, BGAP_ERR_INVALID,
                             "the instance name \"%s\" is too long",
                             desc->settings->name);
    }
  enum bgap_status status = bgap_counters_setup (
      &edge->counters, &(struct bgap_counters_desc){ .capacity = 64 });
  if (status == BGAP_OK)
    status = _bgap_edge_open_signals (edge);
  if (status == BGAP_OK)
    status = _bgap_edge_open_traffic (edge, err);
  /* Until the registrations have been read, no server is known to be warm.  */
  if (status == BGAP_OK)
    bgap_router_set_view_time (&edge->router, 1);
  if (status == BGAP_OK)
    status = bgap_edge_open_reports (edge, err);
  if (status == BGAP_OK)
    status = bgap_edge_open_peers (edge, err);
  if (status == BGAP_OK)
    status = bgap_edge_open_zones (edge, err);
  if (status == BGAP_OK)
    status = bgap_edge_open_store (edge, err);
  if (status == BGAP_OK)
    status = bgap_edge_open_relay (edge);
  *out = edge;
  return status;
}

void
bgap_edge_run (struct bgap_edge *edge)
{
  bgap_event (&event_start, "instance=%s zone=%s life=%016llx",
              edge->settings.name, edge->settings.zone,
              (unsigned long long)edge->incarnation);
  bgap_edge_run_actions (edge);
  event_base_dispatch (edge->base);
  bgap_edge_log_exit ();
}

void
bgap_edge_shutdown (struct bgap_edge *edge)
{
  if (edge == NULL)
    return;
  bgap_edge_close_store (edge);
  bgap_edge_free_appends (edge);
  bgap_peer_shutdown (edge->peer);
  bgap_admin_shutdown (edge->ready);
  bgap_admin_shutdown (edge->operators);
  bgap_edge_free_exchanges (edge);
  bgap_frontend_shutdown (edge->frontend);
  bgap_backend_shutdown (edge->backend);
  bgap_edge_free_servers (edge);
  bgap_edge_free_services (edge);
  bgap_zone_view_free (edge->zones);
  bgap_edge_close_relay (edge);
  if (edge->router.state != NULL)
    bgap_router_shutdown (&edge->router);
  bgap_counters_shutdown (&edge->counters);
  for (int i = 0; i < 3; i++)
    if (edge->signals[i] != NULL)
      event_free (edge->signals[i]);
  if (edge->timer != NULL)
    event_free (edge->timer);
  free (edge);
}
