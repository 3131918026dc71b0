#include "fixture.h"

#include <string.h>

#include "banyangap/routing/balancer.h"

/* More requests than the servers can run, for some seconds. Answers after the
   latency objective are worth less, so that requests which can still meet it
   go first. Guards against requests that are held until their deadline
   although the others take all slots, and against refusals when the overload
   has ended.  */

#define SERVERS 2
#define SLOTS 2
#define WORK_MS INT64_C (100)
#define CAPACITY_PER_S (1000 / WORK_MS * SERVERS * SLOTS)
#define OBJECTIVE_MS 300
#define DEADLINE_MS INT64_C (2000)
#define STEP_MS 10
#define OVERLOAD_MS 8000

/* Maximum numbers of open requests and of attempts in flight.  */
#define OPEN_MAX 512
#define FLIGHT_MAX 64

/**
 * struct overload - the servers, and what became of the requests
 * @due: credit for the next arrival, in thousandths of a request
 * @arrived_ms: arrivals of the requests, whose contexts are indices into it
 * @in_time: answered within the objective
 * @late: answered later
 * @refused: refused as not run
 * @held_max_ms: longest time for which one of the latter was held
 */
struct overload
{
  struct fixture f;
  int64_t due;
  int64_t arrived_ms[OPEN_MAX];
  bool open[OPEN_MAX];
  struct bgap_attempt_id attempts[FLIGHT_MAX];
  int64_t ends_ms[FLIGHT_MAX];
  uint32_t in_flight;
  uint32_t in_time;
  uint32_t late;
  uint32_t refused;
  int64_t held_max_ms;
};

static void
overload_setup (struct overload *o)
{
  static const struct bgap_service_desc service
      = { .name = "s",
          .shared_slots = true,
          .queue_limit = OPEN_MAX / 2,
          .policy = &bgap_balancer_shared };
  memset (o, 0, sizeof *o);
  fixture_setup (&o->f, &service);
  fixture_server (&o->f, "a", "z1", SLOTS);
  fixture_server (&o->f, "b", "z1", SLOTS);
}

static void
overload_finished (struct overload *o, const struct bgap_router_action *action)
{
  int64_t *arrived_ms = action->context;
  int64_t held_ms = o->f.now_ms - *arrived_ms;
  o->open[arrived_ms - o->arrived_ms] = false;
  if (action->outcome != BGAP_OUTCOME_NOT_RUN)
    {
      o->in_time += held_ms <= OBJECTIVE_MS;
      o->late += held_ms > OBJECTIVE_MS;
      return;
    }
  o->refused++;
  if (held_ms > o->held_max_ms)
    o->held_max_ms = held_ms;
}

static void
overload_run_actions (struct overload *o)
{
  struct bgap_router_action action;
  while (bgap_router_next_action (&o->f.router, &action))
    {
      if (action.kind == BGAP_ROUTER_ACTION_FINISH)
        overload_finished (o, &action);
      if (action.kind != BGAP_ROUTER_ACTION_DISPATCH)
        continue;
      assert_true (o->in_flight < FLIGHT_MAX);
      o->attempts[o->in_flight] = action.attempt;
      o->ends_ms[o->in_flight++] = o->f.now_ms + WORK_MS;
    }
}

static void
overload_arrive (struct overload *o)
{
  uint32_t i = 0;
  while (o->open[i])
    i++;
  assert_true (i < OPEN_MAX);
  o->open[i] = true;
  o->arrived_ms[i] = o->f.now_ms;
  fixture_request (
      &o->f, &(struct bgap_request_desc){ .idempotent = true,
                                          .objective_ms = OBJECTIVE_MS,
                                          .deadline_ms = DEADLINE_MS,
                                          .context = &o->arrived_ms[i] });
  overload_run_actions (o);
}

static void
overload_answer_due (struct overload *o)
{
  for (uint32_t i = 0; i < o->in_flight;)
    {
      if (o->ends_ms[i] > o->f.now_ms)
        {
          i++;
          continue;
        }
      struct bgap_attempt_id attempt = o->attempts[i];
      o->in_flight--;
      o->attempts[i] = o->attempts[o->in_flight];
      o->ends_ms[i] = o->ends_ms[o->in_flight];
      fixture_result (&o->f, attempt, BGAP_RESULT_COMPLETE);
      overload_run_actions (o);
    }
}

/* Runs for @for_ms with @per_s requests a second, and resets the totals.  */
static void
overload_run (struct overload *o, int64_t for_ms, int64_t per_s)
{
  o->in_time = o->late = o->refused = 0;
  o->held_max_ms = 0;
  for (int64_t end_ms = o->f.now_ms + for_ms; o->f.now_ms < end_ms;)
    {
      fixture_wait (&o->f, STEP_MS);
      overload_run_actions (o);
      overload_answer_due (o);
      for (o->due += per_s * STEP_MS; o->due >= 1000; o->due -= 1000)
        overload_arrive (o);
    }
}

static void
test_hopeless_requests_are_refused_early (void **state)
{
  struct overload o;
  (void)state;
  overload_setup (&o);
  overload_run (&o, 2000, CAPACITY_PER_S / 2);
  assert_int_equal (o.refused, 0);
  /* As long as the overload is shorter than requests may wait, it may end.  */
  overload_run (&o, 3 * DEADLINE_MS, 2 * CAPACITY_PER_S);
  overload_run (&o, OVERLOAD_MS, 2 * CAPACITY_PER_S);
  /* Nearly all slots serve requests in time.  */
  assert_true (o.in_time >= CAPACITY_PER_S * OVERLOAD_MS / 1000 * 9 / 10);
  assert_true (o.refused > 0);
  assert_true (o.held_max_ms <= OBJECTIVE_MS);
  overload_run (&o, 2000, CAPACITY_PER_S / 2);
  overload_run (&o, 3000, CAPACITY_PER_S / 2);
  assert_int_equal (o.refused, 0);
  assert_int_equal (o.late, 0);
  fixture_shutdown (&o.f);
}

/* Guards the other side: what waits because of a short burst is answered late,
   not refused.  */
static void
test_short_burst_is_answered (void **state)
{
  struct overload o;
  (void)state;
  overload_setup (&o);
  overload_run (&o, 2000, CAPACITY_PER_S / 2);
  overload_run (&o, 500, 2 * CAPACITY_PER_S);
  uint32_t refused = o.refused;
  overload_run (&o, 3000, CAPACITY_PER_S / 2);
  assert_int_equal (refused + o.refused, 0);
  fixture_shutdown (&o.f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_hopeless_requests_are_refused_early),
    cmocka_unit_test (test_short_burst_is_answered),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
