#include <stdlib.h>

#include "banyangap/base/log.h"
#include "banyangap/ownership/lease.h"
#include "control_call.h"
#include "now.h"
#include "requests_private.h"

/* A probe occupies a server for about 6 ms. Probes of 12 instances take 2 % of
   one of its four slots.  */
#define PROBE_INTERVAL_MS 1000

/* A server counts as lost after this number of successive probes that could
   not connect. A single one may happen while the listener restarts.  */
#define LOST_AFTER_PROBES 2

struct bgap_probes
{
  struct bgap_requests *requests;
  struct event *timer;
};

static void
_bgap_probes_on_failure (struct bgap_requests *requests,
                         struct bgap_upstream *upstream,
                         enum bgap_call_end end)
{
  /* A slow or hung server is not lost: its requests may still run.  */
  if (end != BGAP_CALL_NO_CONNECT)
    return;
  if (++upstream->probes_failed < LOST_AFTER_PROBES)
    {
      bgap_probes_trigger (requests->probes, upstream->name);
      return;
    }
  if (upstream->lost)
    return;
  upstream->lost = true;
  bgap_log_warn ("routing", "server is lost; server=%s", upstream->name);
  bgap_router_server_lost (&requests->router, bgap_now_ms (),
                           (struct bgap_server_id){ upstream->router_id });
  requests->desc.server_changed (requests->desc.context);
}

static void
_bgap_probes_on_answer (struct bgap_requests *requests,
                        struct bgap_upstream *upstream,
                        const struct bgap_control_result *result)
{
  struct bgap_renewal_reply reply;
  struct bgap_error err = { 0 };
  int64_t now_ms = bgap_now_ms ();
  struct bgap_server_id id = { upstream->router_id };
  if (result->body == NULL
      || bgap_renewal_reply_parse (result->body, result->body_size, &reply,
                                   &err)
             != BGAP_OK)
    {
      bgap_log_warn ("routing",
                     "malformed answer to a probe; server=%s reason=%s",
                     upstream->name, err.message);
      return;
    }
  bool was_lost = upstream->lost;
  upstream->lost = false;
  upstream->probes_failed = 0;
  if (was_lost)
    {
      bgap_log_info ("routing", "server is back; server=%s", upstream->name);
      requests->desc.server_changed (requests->desc.context);
    }
  bgap_router_server_alive (&requests->router, now_ms, id, reply.incarnation);
  bgap_router_server_load (
      &requests->router, now_ms, id,
      &(struct bgap_server_load){ .in_flight = reply.in_flight,
                                  .slots = reply.slots,
                                  .queued = reply.queued,
                                  .draining = reply.draining });
}

static void
_bgap_probes_on_done (void *context, const struct bgap_control_result *result)
{
  struct bgap_requests *requests = context;
  struct bgap_upstream *upstream
      = bgap_upstreams_find (requests->desc.upstreams, result->upstream);
  if (upstream == NULL)
    return;
  if (result->end == BGAP_CALL_COMPLETE && result->status == 200)
    _bgap_probes_on_answer (requests, upstream, result);
  else
    _bgap_probes_on_failure (requests, upstream, result->end);
  bgap_requests_run (requests);
}

static void
_bgap_probes_send (struct bgap_requests *requests,
                   const struct bgap_upstream *upstream)
{
  bgap_control_call (requests->desc.upstreams, upstream, "/.bgap/hello", "{}",
                     2, _bgap_probes_on_done, requests);
}

static void
_bgap_probes_on_timer (evutil_socket_t fd, short what, void *context)
{
  struct bgap_probes *probes = context;
  (void)fd;
  (void)what;
  for (const struct bgap_upstream *upstream
       = bgap_upstreams_first (probes->requests->desc.upstreams);
       upstream != NULL; upstream = upstream->hh.next)
    _bgap_probes_send (probes->requests, upstream);
}

enum bgap_status
bgap_probes_setup (struct bgap_requests *requests, struct bgap_probes **out)
{
  struct bgap_probes *probes = calloc (1, sizeof *probes);
  if (probes == NULL)
    return BGAP_ERR_NO_MEMORY;
  probes->requests = requests;
  probes->timer = event_new (requests->desc.base, -1, EV_PERSIST,
                             _bgap_probes_on_timer, probes);
  if (probes->timer == NULL)
    {
      free (probes);
      return BGAP_ERR_NO_MEMORY;
    }
  const struct timeval interval = bgap_timeval (PROBE_INTERVAL_MS);
  event_add (probes->timer, &interval);
  *out = probes;
  return BGAP_OK;
}

void
bgap_probes_shutdown (struct bgap_probes *probes)
{
  if (probes == NULL)
    return;
  event_free (probes->timer);
  free (probes);
}

void
bgap_probes_trigger (struct bgap_probes *probes, const char *server)
{
  const struct bgap_upstream *upstream
      = bgap_upstreams_find (probes->requests->desc.upstreams, server);
  if (upstream != NULL)
    _bgap_probes_send (probes->requests, upstream);
}
