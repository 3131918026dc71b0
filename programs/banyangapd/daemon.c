#include "daemon.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "banyangap/base/log.h"
#include "banyangap/logservice/host_list_http.h"
#include "banyangap/logservice/log_http.h"
#include "message_kinds.h"
#include "now.h"
#include "operators.h"

#define STOP_CHECK_INTERVAL_MS 50

/* Time in which the answers to aborted requests are sent.  */
#define STOP_FLUSH_MS 250

/**
 * enum stop_state - progress of a graceful stop
 */
enum stop_state
{
  STOP_NOT_REQUESTED,
  STOP_UNREADY, /* /readyz fails; requests are still accepted */
  STOP_DRAINING,
  STOP_ABORTED /* callers were answered that their requests are aborted */
};

struct bgap_daemon
{
  const struct bgap_settings *settings;
  struct event_base *base;
  struct bgap_counters counters;
  struct bgap_log_http *log_http;
  struct bgap_log_ops log;
  struct bgap_host_list_http *host_list_http;
  struct bgap_host_list_ops host_list;
  struct bgap_peer *peer;
  struct bgap_members *members;
  struct bgap_upstreams *upstreams;
  struct bgap_cells *cells;
  struct bgap_faults *faults;
  struct bgap_requests *requests;
  struct bgap_configuration *configuration;
  struct bgap_operators *operators;
  struct event *signals[3];
  struct event *stop_timer;
  enum stop_state stop_state;
  int64_t stop_since_ms;
};

static void
_bgap_daemon_apply (void *context)
{
  struct bgap_daemon *daemon = context;
  if (daemon->configuration == NULL || daemon->requests == NULL)
    return;
  const struct bgap_resource_set *set
      = bgap_configuration_set (daemon->configuration);
  bgap_requests_sync_services (daemon->requests, set);
  bgap_upstreams_sync (daemon->upstreams, set);
  bgap_requests_sync_hosts (daemon->requests);
  bgap_cells_sync (
      daemon->cells, set,
      bgap_config_version (bgap_configuration_replay (daemon->configuration),
                           NULL));
  if (daemon->operators != NULL && daemon->stop_state == STOP_NOT_REQUESTED)
    bgap_operators_set_ready (daemon->operators, set->service_count > 0);
}

static void
_bgap_daemon_on_peer_lost (void *context, const char *name)
{
  struct bgap_daemon *daemon = context;
  bgap_requests_peer_lost (daemon->requests, name);
}

static void
_bgap_daemon_on_server_added (void *context, struct bgap_upstream *upstream)
{
  struct bgap_daemon *daemon = context;
  bgap_requests_server_added (daemon->requests, upstream);
}

static void
_bgap_daemon_on_server_removed (void *context, struct bgap_upstream *upstream)
{
  struct bgap_daemon *daemon = context;
  bgap_requests_server_removed (daemon->requests, upstream);
}

static void
_bgap_daemon_on_message (void *context, const char *from, uint8_t kind,
                         const void *bytes, size_t size)
{
  struct bgap_daemon *daemon = context;
  if (daemon->operators == NULL)
    return;
  switch (kind)
    {
    case BGAP_MESSAGE_CELL:
      bgap_cells_on_peer (daemon->cells, from, bytes, size);
      return;
    case BGAP_MESSAGE_ROUTING:
      bgap_requests_on_peer (daemon->requests, from, bytes, size);
      return;
    case BGAP_MESSAGE_STATUS:
      bgap_members_on_status (daemon->members, from, bytes, size);
      return;
    case BGAP_MESSAGE_CONFIG_REQUEST:
      bgap_configuration_on_request (daemon->configuration, from);
      return;
    case BGAP_MESSAGE_CONFIG:
      bgap_configuration_on_peer (daemon->configuration, from, bytes, size);
      return;
    default:
      bgap_log_warn ("peer", "unknown message kind; from=%s kind=%u", from,
                     kind);
    }
}

static void
_bgap_daemon_on_stop_timer (evutil_socket_t fd, short what, void *context)
{
  struct bgap_daemon *daemon = context;
  const struct bgap_settings_limits *limits = &daemon->settings->limits;
  int64_t waited_ms = bgap_now_ms () - daemon->stop_since_ms;
  (void)fd;
  (void)what;
  if (daemon->stop_state == STOP_UNREADY
      && waited_ms >= (int64_t)limits->readiness_wait_ms)
    {
      daemon->stop_state = STOP_DRAINING;
      bgap_requests_stop (daemon->requests);
      bgap_cells_leave (daemon->cells);
    }
  bool drained = daemon->stop_state >= STOP_DRAINING
                 && bgap_requests_stopped (daemon->requests)
                 && bgap_cells_may_exit (daemon->cells);
  int64_t late_ms
      = waited_ms - limits->readiness_wait_ms - limits->shutdown_ms;
  if (!drained && late_ms >= 0 && daemon->stop_state == STOP_DRAINING)
    {
      daemon->stop_state = STOP_ABORTED;
      bgap_requests_abort (daemon->requests);
    }
  if (!drained && late_ms < STOP_FLUSH_MS)
    return;
  if (!drained)
    bgap_log_warn ("daemon", "graceful stop timed out; exiting");
  event_base_loopbreak (daemon->base);
}

static void
_bgap_daemon_on_stop_signal (evutil_socket_t number, short what, void *context)
{
  struct bgap_daemon *daemon = context;
  (void)what;
  if (daemon->stop_state != STOP_NOT_REQUESTED)
    return;
  bgap_log_info ("daemon", "stopping; signal=%d", (int)number);
  daemon->stop_state = STOP_UNREADY;
  daemon->stop_since_ms = bgap_now_ms ();
  bgap_operators_set_ready (daemon->operators, false);
  const struct timeval interval = bgap_timeval (STOP_CHECK_INTERVAL_MS);
  event_add (daemon->stop_timer, &interval);
}

static void
_bgap_daemon_on_dump_signal (evutil_socket_t number, short what, void *context)
{
  struct bgap_daemon *daemon = context;
  (void)number;
  (void)what;
  json_t *dump = bgap_operators_dump (daemon->operators);
  json_dumpf (dump, stdout, JSON_INDENT (2));
  fputc ('\n', stdout);
  fflush (stdout);
  json_decref (dump);
}

static enum bgap_status
_bgap_daemon_open_signals (struct bgap_daemon *daemon)
{
  daemon->signals[0] = evsignal_new (daemon->base, SIGTERM,
                                     _bgap_daemon_on_stop_signal, daemon);
  daemon->signals[1] = evsignal_new (daemon->base, SIGINT,
                                     _bgap_daemon_on_stop_signal, daemon);
  daemon->signals[2] = evsignal_new (daemon->base, SIGUSR1,
                                     _bgap_daemon_on_dump_signal, daemon);
  daemon->stop_timer = event_new (daemon->base, -1, EV_PERSIST,
                                  _bgap_daemon_on_stop_timer, daemon);
  for (int i = 0; i < 3; i++)
    if (daemon->signals[i] == NULL
        || event_add (daemon->signals[i], NULL) != 0)
      return BGAP_ERR_NO_MEMORY;
  return daemon->stop_timer != NULL ? BGAP_OK : BGAP_ERR_NO_MEMORY;
}

static enum bgap_status
_bgap_daemon_open_platform (struct bgap_daemon *daemon, struct bgap_error *err)
{
  const struct bgap_settings *settings = daemon->settings;
  enum bgap_status status = bgap_log_http_setup (
      &daemon->log_http,
      &(struct bgap_log_http_desc){ .base = daemon->base,
                                    .address = settings->log_address },
      err);
  if (status != BGAP_OK)
    return status;
  daemon->log = bgap_log_http_ops (daemon->log_http);
  status = bgap_host_list_http_setup (
      &daemon->host_list_http,
      &(struct bgap_host_list_http_desc){
          .base = daemon->base, .address = settings->host_list_address },
      err);
  if (status != BGAP_OK)
    return status;
  daemon->host_list = bgap_host_list_http_ops (daemon->host_list_http);
  return BGAP_OK;
}

static enum bgap_status
_bgap_daemon_open_cluster (struct bgap_daemon *daemon, struct bgap_error *err)
{
  const struct bgap_settings *settings = daemon->settings;
  enum bgap_status status = bgap_peer_setup (
      &(struct bgap_peer_desc){ .base = daemon->base,
                                .name = settings->name,
                                .address = settings->peers_address,
                                .on_message = _bgap_daemon_on_message,
                                .context = daemon },
      &daemon->peer, err);
  if (status == BGAP_OK)
    status = bgap_members_setup (
        &(struct bgap_members_desc){ .base = daemon->base,
                                     .settings = settings,
                                     .hosts = &daemon->host_list,
                                     .peer = daemon->peer,
                                     .changed = _bgap_daemon_apply,
                                     .lost = _bgap_daemon_on_peer_lost,
                                     .context = daemon },
        &daemon->members, err);
  if (status == BGAP_OK)
    status = bgap_upstreams_setup (
        &(struct bgap_upstreams_desc){ .base = daemon->base,
                                       .counters = &daemon->counters,
                                       .added = _bgap_daemon_on_server_added,
                                       .removed
                                       = _bgap_daemon_on_server_removed,
                                       .context = daemon },
        &daemon->upstreams, err);
  if (status == BGAP_OK)
    status = bgap_cells_setup (
        &(struct bgap_cells_desc){ .base = daemon->base,
                                   .settings = settings,
                                   .log = &daemon->log,
                                   .peer = daemon->peer,
                                   .members = daemon->members,
                                   .upstreams = daemon->upstreams },
        &daemon->cells, err);
  return status;
}

static enum bgap_status
_bgap_daemon_open_service (struct bgap_daemon *daemon, struct bgap_error *err)
{
  enum bgap_status status = bgap_requests_setup (
      &(struct bgap_requests_desc){ .base = daemon->base,
                                    .settings = daemon->settings,
                                    .log = &daemon->log,
                                    .counters = &daemon->counters,
                                    .peer = daemon->peer,
                                    .members = daemon->members,
                                    .upstreams = daemon->upstreams,
                                    .cells = daemon->cells,
                                    .faults = daemon->faults,
                                    .server_changed = _bgap_daemon_apply,
                                    .context = daemon },
      &daemon->requests, err);
  if (status == BGAP_OK)
    status = bgap_configuration_setup (
        &(struct bgap_configuration_desc){ .base = daemon->base,
                                           .log = &daemon->log,
                                           .peer = daemon->peer,
                                           .members = daemon->members,
                                           .applied = _bgap_daemon_apply,
                                           .context = daemon },
        &daemon->configuration, err);
  if (status == BGAP_OK)
    status = bgap_operators_setup (
        &(struct bgap_operators_desc){ .base = daemon->base,
                                       .settings = daemon->settings,
                                       .log = &daemon->log,
                                       .counters = &daemon->counters,
                                       .peer = daemon->peer,
                                       .members = daemon->members,
                                       .configuration = daemon->configuration,
                                       .cells = daemon->cells,
                                       .upstreams = daemon->upstreams,
                                       .requests = daemon->requests,
                                       .faults = daemon->faults },
        &daemon->operators, err);
  return status;
}

enum bgap_status
bgap_daemon_setup (const struct bgap_settings *settings,
                   struct bgap_daemon **out, struct bgap_error *err)
{
  struct bgap_daemon *daemon = calloc (1, sizeof *daemon);
  if (daemon == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  daemon->settings = settings;
  daemon->base = event_base_new ();
  enum bgap_status status
      = daemon->base != NULL ? BGAP_OK : BGAP_ERR_NO_MEMORY;
  if (status == BGAP_OK)
    status = bgap_counters_setup (&daemon->counters,
                                  &(struct bgap_counters_desc){ 0 });
  if (status == BGAP_OK)
    status = bgap_faults_setup (&daemon->faults);
  if (status == BGAP_OK)
    status = _bgap_daemon_open_signals (daemon);
  if (status == BGAP_OK)
    status = _bgap_daemon_open_platform (daemon, err);
  if (status == BGAP_OK)
    status = _bgap_daemon_open_cluster (daemon, err);
  if (status == BGAP_OK)
    status = _bgap_daemon_open_service (daemon, err);
  if (status != BGAP_OK)
    {
      bgap_daemon_shutdown (daemon);
      return status;
    }
  *out = daemon;
  return BGAP_OK;
}

void
bgap_daemon_run (struct bgap_daemon *daemon)
{
  bgap_log_info ("daemon", "started; instance=%s zone=%s",
                 daemon->settings->name, daemon->settings->zone);
  event_base_dispatch (daemon->base);
  bgap_log_info ("daemon", "stopped");
}

void
bgap_daemon_shutdown (struct bgap_daemon *daemon)
{
  if (daemon == NULL)
    return;
  /* The clients of the log and the host list go first: their pending calls
     refer to the parts below and are dropped without being completed.  */
  bgap_log_http_shutdown (daemon->log_http);
  bgap_host_list_http_shutdown (daemon->host_list_http);
  bgap_operators_shutdown (daemon->operators);
  bgap_configuration_shutdown (daemon->configuration);
  bgap_requests_shutdown (daemon->requests);
  bgap_cells_shutdown (daemon->cells);
  bgap_upstreams_shutdown (daemon->upstreams);
  bgap_members_shutdown (daemon->members);
  bgap_peer_shutdown (daemon->peer);
  bgap_faults_shutdown (daemon->faults);
  bgap_counters_shutdown (&daemon->counters);
  for (int i = 0; i < 3; i++)
    if (daemon->signals[i] != NULL)
      event_free (daemon->signals[i]);
  if (daemon->stop_timer != NULL)
    event_free (daemon->stop_timer);
  if (daemon->base != NULL)
    event_base_free (daemon->base);
  free (daemon);
}
