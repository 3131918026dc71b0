#include "banyangap/routing/router_stop.h"
#include "edge_parts.h"
#include "now.h"

static struct bgap_event_kind event_stop = { .name = "stop" };

int64_t
bgap_edge_stop_age_ms (const struct bgap_edge *edge, int64_t now_ms)
{
  return bgap_stop_schedule_age_ms (&edge->stop, now_ms);
}

void
bgap_edge_begin_stop (struct bgap_edge *edge)
{
  struct bgap_stop_schedule *stop = &edge->stop;
  if (stop->begun)
    return;
  bgap_stop_schedule_begin (stop, bgap_now_ms (), edge->settings.grace_ms);
  int64_t abort_ms = stop->due_ms[BGAP_STOP_STEP_ABORT];
  bgap_event (&event_stop, "state=begun open=%u abort_after_ms=%lld",
              bgap_frontend_exchanges (edge->frontend), (long long)abort_ms);
  bgap_frontend_close_after_response (edge->frontend);
  bgap_router_begin_stop (
      &edge->router,
      &(struct bgap_router_stop){
          .accept_until_ms
          = stop->begun_ms + stop->due_ms[BGAP_STOP_STEP_CLOSE],
          .wait_until_ms
          = stop->begun_ms + stop->due_ms[BGAP_STOP_STEP_REFUSE],
          .end_ms = stop->begun_ms + abort_ms });
  for (struct bgap_edge_service *service = edge->services; service != NULL;
       service = service->hh.next)
    if (service->granter != NULL)
      bgap_granter_step_down (service->granter, bgap_now_ms ());
  bgap_membership_leave (edge->membership);
  bgap_edge_run_actions (edge);
}

/* Logs when a step was due and when it is carried out, how late the timer was
   at most since the stop began, and how many exchanges are open.  */
static void
_bgap_stop_log_step (const struct bgap_edge *edge, enum bgap_stop_step step,
                     int64_t now_ms)
{
  bgap_event (&event_stop,
              "step=%s due_ms=%lld after_ms=%lld timer_late_max_ms=%lld "
              "open=%u",
              bgap_stop_step_name (step), (long long)edge->stop.due_ms[step],
              (long long)bgap_edge_stop_age_ms (edge, now_ms),
              (long long)edge->timer_late_max_ms,
              bgap_frontend_exchanges (edge->frontend));
}

static void
_bgap_stop_end (struct bgap_edge *edge)
{
  if (edge->has_ended)
    return;
  edge->has_ended = true;
  bgap_event (&event_stop, "state=ended open=%u after_ms=%lld",
              bgap_frontend_exchanges (edge->frontend),
              (long long)bgap_edge_stop_age_ms (edge, bgap_now_ms ()));
  event_base_loopexit (edge->base, NULL);
}

void
bgap_edge_check_stop (struct bgap_edge *edge)
{
  enum bgap_stop_step step;
  int64_t now_ms = bgap_now_ms ();
  while (bgap_stop_schedule_take (&edge->stop, now_ms, &step))
    _bgap_stop_log_step (edge, step, now_ms);
  if (edge->stop.taken <= BGAP_STOP_STEP_CLOSE)
    return;
  bgap_frontend_stop (edge->frontend);
  if (edge->stop.taken > BGAP_STOP_STEP_REFUSE)
    bgap_router_refuse_waiting (&edge->router, now_ms);
  if (edge->stop.taken > BGAP_STOP_STEP_ABORT)
    {
      bgap_router_abort_attempts (&edge->router, now_ms);
      bgap_router_refuse_waiting (&edge->router, now_ms);
      bgap_frontend_refuse_incomplete (edge->frontend);
    }
  /* Before the exit step, responses that were written may still be in the send
     buffers.  */
  if (edge->stop.taken > BGAP_STOP_STEP_EXIT)
    _bgap_stop_end (edge);
}

void
bgap_edge_on_frontend_stopped (void *context)
{
  _bgap_stop_end (context);
}

void
bgap_edge_log_exit (void)
{
  bgap_event (&event_stop, "state=exit");
  bgap_event_log_flush ();
}
