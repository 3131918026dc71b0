#include "banyangap/routing/router_stop.h"
#include "edge_parts.h"
#include "now.h"

/* Time for which connections are accepted: the load balancer needs some
   seconds to see that the instance is not ready.  */
#define ACCEPT_MS 3000

/* Times before the end of the grace period at which the steps of struct
   stop_times are due.  */
#define REFUSE_LEAD_MS 1500
#define ABORT_LEAD_MS 500
#define EXIT_LEAD_MS 250

static struct bgap_event_kind event_stop = { .name = "stop" };

/**
 * struct stop_times - steps of a graceful stop, in milliseconds from its begin
 * @accept_ms: until then connections are accepted and requests passed on that
 *   are expected to be answered before @abort_ms
 * @refuse_ms: queued requests are refused: most need more time at a server,
 *   and other instances can serve them
 * @abort_ms: attempts are aborted and requests that have not arrived in full
 *   are refused, so that callers get a response instead of a closed connection
 * @exit_ms: the process ends; its responses have been sent meanwhile
 */
struct stop_times
{
  int64_t accept_ms;
  int64_t refuse_ms;
  int64_t abort_ms;
  int64_t exit_ms;
};

static int64_t
_bgap_stop_min (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

/* In a short grace period each step takes a part of it instead. Attempts are
   not aborted before its last sixth.  */
static struct stop_times
_bgap_stop_times (int64_t grace_ms)
{
  return (struct stop_times){
    .accept_ms = _bgap_stop_min (ACCEPT_MS, grace_ms / 2),
    .refuse_ms = grace_ms - _bgap_stop_min (REFUSE_LEAD_MS, grace_ms / 4),
    .abort_ms = grace_ms - _bgap_stop_min (ABORT_LEAD_MS, grace_ms / 6),
    .exit_ms = grace_ms - _bgap_stop_min (EXIT_LEAD_MS, grace_ms / 10),
  };
}

void
bgap_edge_begin_stop (struct bgap_edge *edge)
{
  if (edge->stopping_ms != 0)
    return;
  struct stop_times times = _bgap_stop_times (edge->settings.grace_ms);
  edge->stopping_ms = bgap_now_ms ();
  bgap_event (&event_stop, "state=begun open=%u abort_after_ms=%lld",
              bgap_frontend_exchanges (edge->frontend),
              (long long)times.abort_ms);
  bgap_frontend_close_after_response (edge->frontend);
  bgap_router_end_by (&edge->router, edge->stopping_ms + times.abort_ms);
  for (struct bgap_edge_service *service = edge->services; service != NULL;
       service = service->hh.next)
    if (service->granter != NULL)
      bgap_granter_step_down (service->granter, bgap_now_ms ());
  bgap_membership_leave (edge->membership);
  bgap_edge_run_actions (edge);
}

void
bgap_edge_check_stop (struct bgap_edge *edge, int64_t now_ms)
{
  struct stop_times times = _bgap_stop_times (edge->settings.grace_ms);
  int64_t since_ms = now_ms - edge->stopping_ms;
  uint32_t open = bgap_frontend_exchanges (edge->frontend);
  if (since_ms < times.accept_ms)
    return;
  bgap_frontend_stop (edge->frontend);
  bgap_router_stop_accepting (&edge->router);
  if (since_ms >= times.refuse_ms)
    bgap_router_refuse_waiting (&edge->router, now_ms);
  if (since_ms >= times.abort_ms)
    {
      bgap_router_abort_attempts (&edge->router, now_ms);
      bgap_router_refuse_waiting (&edge->router, now_ms);
      bgap_frontend_refuse_incomplete (edge->frontend);
    }
  /* Responses that were written may still be in the send buffers.  */
  if (!edge->frontend_stopped && since_ms < times.exit_ms)
    return;
  bgap_event (&event_stop, "state=ended open=%u after_ms=%lld", open,
              (long long)since_ms);
  event_base_loopexit (edge->base, NULL);
}

int64_t
bgap_edge_next_stop_step_ms (const struct bgap_edge *edge, int64_t now_ms)
{
  struct stop_times times = _bgap_stop_times (edge->settings.grace_ms);
  const int64_t steps[]
      = { times.accept_ms, times.refuse_ms, times.abort_ms, times.exit_ms };
  int64_t since_ms = now_ms - edge->stopping_ms;
  if (edge->stopping_ms == 0)
    return INT64_MAX;
  for (size_t i = 0; i < sizeof steps / sizeof *steps; i++)
    if (since_ms < steps[i])
      return steps[i] - since_ms;
  return INT64_MAX;
}

void
bgap_edge_log_exit (void)
{
  bgap_event (&event_stop, "state=exit");
  bgap_event_log_flush ();
}
