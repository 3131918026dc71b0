#ifndef BANYANGAP_ROUTING_STOP_SCHEDULE_H
#define BANYANGAP_ROUTING_STOP_SCHEDULE_H

/*
 * Steps of a graceful stop and the moments at which they are due.
 *
 *   struct bgap_stop_schedule schedule = { 0 };
 *   bgap_stop_schedule_begin (&schedule, now_ms, grace_ms);
 *   ...
 *   while (bgap_stop_schedule_take (&schedule, now_ms, &step))
 *     ...   carry out the step
 *   wait_ms = bgap_stop_schedule_wait_ms (&schedule, later_ms);
 *
 * Times are in milliseconds. The module reads no clock.
 */

#include <stdbool.h>
#include <stdint.h>

/**
 * enum bgap_stop_step - steps of a graceful stop, in the order of their time
 * @BGAP_STOP_STEP_CLOSE: the listener and idle connections are closed; until
 *   then the load balancer may send some. Requests are refused from the moment
 *   at which the step is due, see bgap_router_begin_stop().
 * @BGAP_STOP_STEP_REFUSE: queued requests are refused: most need more time at
 *   a server, and other instances can serve them
 * @BGAP_STOP_STEP_ABORT: attempts are aborted and requests that have not
 *   arrived in full are refused, so that callers get a response instead of a
 *   closed connection
 * @BGAP_STOP_STEP_EXIT: the process ends; its responses have been sent
 *   meanwhile
 */
enum bgap_stop_step
{
  BGAP_STOP_STEP_CLOSE,
  BGAP_STOP_STEP_REFUSE,
  BGAP_STOP_STEP_ABORT,
  BGAP_STOP_STEP_EXIT,
  BGAP_STOP_STEP_COUNT,
};

/**
 * struct bgap_stop_schedule - the schedule; all zero before the stop
 * @begun: whether the stop has begun
 * @begun_ms: when it began
 * @due_ms: when each step is due, counted from @begun_ms
 * @taken: number of steps that bgap_stop_schedule_take() has returned
 */
struct bgap_stop_schedule
{
  bool begun;
  int64_t begun_ms;
  int64_t due_ms[BGAP_STOP_STEP_COUNT];
  uint32_t taken;
};

/**
 * bgap_stop_schedule_begin() - begin the stop; nothing if it has begun
 * @grace_ms: time until the process is killed
 */
void bgap_stop_schedule_begin (struct bgap_stop_schedule *schedule,
                               int64_t now_ms, int64_t grace_ms);

/**
 * bgap_stop_schedule_age_ms() - time since the stop began
 *
 * Return: milliseconds, -1 before the stop.
 */
int64_t bgap_stop_schedule_age_ms (const struct bgap_stop_schedule *schedule,
                                   int64_t now_ms);

/**
 * bgap_stop_schedule_take() - take the next step if it is due
 *
 * Each step is returned once.
 * Return: whether a step was due; it is then in @step.
 */
bool bgap_stop_schedule_take (struct bgap_stop_schedule *schedule,
                              int64_t now_ms, enum bgap_stop_step *step);

/**
 * bgap_stop_schedule_wait_ms() - time until the next step is due that has not
 * been taken
 *
 * Return: milliseconds, 0 for a step that is overdue, INT64_MAX if there is no
 * further step.
 */
int64_t bgap_stop_schedule_wait_ms (const struct bgap_stop_schedule *schedule,
                                    int64_t now_ms);

/**
 * bgap_stop_step_name() - name of a step in logs
 */
const char *bgap_stop_step_name (enum bgap_stop_step step);

#endif
