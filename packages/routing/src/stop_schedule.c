#include "banyangap/routing/stop_schedule.h"

/* A request that was sent later than this after the signal must not be broken
   off by the stop.  */
#define BREAK_OFF_MS 3000

/* Time by which the end of accepting precedes that bound: the signal may be
   handled late, and a request may wait in the socket. The load balancer, which
   asks once a second and stops sending after two misses, has had its time.  */
#define ACCEPT_MARGIN_MS 500

/* Times before the end of the grace period at which the later steps are due.
   The process is killed that long after the signal was sent, so that the exit
   is early enough for a signal that is handled late. The responses of aborted
   attempts are sent between the abort and the exit.  */
#define REFUSE_LEAD_MS 1500
#define ABORT_LEAD_MS 400
#define EXIT_LEAD_MS 200

static int64_t
_bgap_stop_min (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

/* In a short grace period each step takes a part of it instead. Attempts are
   not aborted before its last sixth.  */
void
bgap_stop_schedule_begin (struct bgap_stop_schedule *schedule, int64_t now_ms,
                          int64_t grace_ms)
{
  if (schedule->begun)
    return;
  schedule->begun = true;
  schedule->begun_ms = now_ms;
  schedule->due_ms[BGAP_STOP_STEP_CLOSE]
      = _bgap_stop_min (BREAK_OFF_MS - ACCEPT_MARGIN_MS, grace_ms / 2);
  schedule->due_ms[BGAP_STOP_STEP_REFUSE]
      = grace_ms - _bgap_stop_min (REFUSE_LEAD_MS, grace_ms / 4);
  schedule->due_ms[BGAP_STOP_STEP_ABORT]
      = grace_ms - _bgap_stop_min (ABORT_LEAD_MS, grace_ms / 6);
  schedule->due_ms[BGAP_STOP_STEP_EXIT]
      = grace_ms - _bgap_stop_min (EXIT_LEAD_MS, grace_ms / 10);
}

int64_t
bgap_stop_schedule_age_ms (const struct bgap_stop_schedule *schedule,
                           int64_t now_ms)
{
  return schedule->begun ? now_ms - schedule->begun_ms : -1;
}

bool
bgap_stop_schedule_take (struct bgap_stop_schedule *schedule, int64_t now_ms,
                         enum bgap_stop_step *step)
{
  if (!schedule->begun || schedule->taken == BGAP_STOP_STEP_COUNT
      || now_ms - schedule->begun_ms < schedule->due_ms[schedule->taken])
    return false;
  *step = (enum bgap_stop_step)schedule->taken++;
  return true;
}

int64_t
bgap_stop_schedule_wait_ms (const struct bgap_stop_schedule *schedule,
                            int64_t now_ms)
{
  if (!schedule->begun || schedule->taken == BGAP_STOP_STEP_COUNT)
    return INT64_MAX;
  int64_t wait_ms
      = schedule->begun_ms + schedule->due_ms[schedule->taken] - now_ms;
  return wait_ms > 0 ? wait_ms : 0;
}

const char *
bgap_stop_step_name (enum bgap_stop_step step)
{
  static const char *const names[] = {
    [BGAP_STOP_STEP_CLOSE] = "close",
    [BGAP_STOP_STEP_REFUSE] = "refuse",
    [BGAP_STOP_STEP_ABORT] = "abort",
    [BGAP_STOP_STEP_EXIT] = "exit",
  };
  return step < BGAP_STOP_STEP_COUNT ? names[step] : "?";
}
