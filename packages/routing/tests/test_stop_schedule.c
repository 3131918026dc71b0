#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "banyangap/routing/stop_schedule.h"

#define BEGUN_MS INT64_C (1000000)
#define GRACE_MAX_MS 10000
#define GRACE_STEP_MS 500
#define APART_MAX_MS 400
#define LONG_DELAY_MS INT64_C (30000)
#define SENT_LATEST_MS 3000
#define SIGNAL_LATE_MS 500

static struct bgap_stop_schedule
_begin (int64_t grace_ms)
{
  struct bgap_stop_schedule schedule = { 0 };
  bgap_stop_schedule_begin (&schedule, BEGUN_MS, grace_ms);
  return schedule;
}

static void
_take_all (struct bgap_stop_schedule *schedule, int64_t now_ms)
{
  enum bgap_stop_step step;
  while (bgap_stop_schedule_take (schedule, now_ms, &step))
    ;
}

/* Guards against a step of the stop that is carried out up to a whole timer
   interval late, while requests are still accepted or not yet aborted: it fell
   due between the reading of the clock that the steps were taken by and a
   later one that the timer was set by.  */
static void
test_step_due_between_two_clock_readings_is_not_skipped (void **state)
{
  (void)state;
  for (int64_t grace_ms = 1000; grace_ms <= GRACE_MAX_MS;
       grace_ms += GRACE_STEP_MS)
    for (int step = 0; step < BGAP_STOP_STEP_COUNT; step++)
      for (int64_t apart_ms = 0; apart_ms <= APART_MAX_MS; apart_ms++)
        {
          struct bgap_stop_schedule schedule = _begin (grace_ms);
          int64_t due_ms = BEGUN_MS + schedule.due_ms[step];
          _take_all (&schedule, due_ms - 1);
          assert_int_equal (
              bgap_stop_schedule_wait_ms (&schedule, due_ms + apart_ms), 0);
        }
}

/* Guards against a timer that fires before the step is due, or after it.  */
static void
test_wait_ends_when_the_next_step_is_due (void **state)
{
  (void)state;
  for (int64_t grace_ms = 1000; grace_ms <= GRACE_MAX_MS;
       grace_ms += GRACE_STEP_MS)
    {
      struct bgap_stop_schedule schedule = _begin (grace_ms);
      int64_t now_ms = BEGUN_MS;
      for (int i = 0; i < BGAP_STOP_STEP_COUNT; i++)
        {
          enum bgap_stop_step step;
          now_ms += bgap_stop_schedule_wait_ms (&schedule, now_ms);
          assert_false (
              bgap_stop_schedule_take (&schedule, now_ms - 1, &step));
          assert_true (bgap_stop_schedule_take (&schedule, now_ms, &step));
          assert_int_equal (step, i);
        }
      assert_true (now_ms < BEGUN_MS + grace_ms);
      assert_true (bgap_stop_schedule_wait_ms (&schedule, now_ms)
                   == INT64_MAX);
    }
}

/* Guards against steps that are left out or run twice when the process was
   held up past several of them.  */
static void
test_all_steps_are_taken_once_and_in_order_after_a_delay (void **state)
{
  (void)state;
  struct bgap_stop_schedule schedule = _begin (GRACE_MAX_MS);
  enum bgap_stop_step step;
  for (int i = 0; i < BGAP_STOP_STEP_COUNT; i++)
    {
      assert_true (bgap_stop_schedule_take (&schedule,
                                            BEGUN_MS + LONG_DELAY_MS, &step));
      assert_int_equal (step, i);
    }
  assert_false (
      bgap_stop_schedule_take (&schedule, BEGUN_MS + LONG_DELAY_MS, &step));
}

/* Guards against an end of accepting that leaves no time between itself and
   3 s after the signal, the last moment at which a request that is broken off
   may have been sent: a signal that is handled late used all of it.  */
static void
test_accepting_ends_well_before_requests_must_not_be_broken_off (void **state)
{
  (void)state;
  for (int64_t grace_ms = 1000; grace_ms <= GRACE_MAX_MS;
       grace_ms += GRACE_STEP_MS)
    {
      struct bgap_stop_schedule schedule = _begin (grace_ms);
      int64_t close_ms = schedule.due_ms[BGAP_STOP_STEP_CLOSE];
      assert_true (close_ms <= SENT_LATEST_MS - SIGNAL_LATE_MS);
      assert_true (close_ms <= grace_ms / 2);
    }
}

/* Guards against attempts that are aborted before the last sixth of the grace
   period, in which alone a request may be broken off, and against steps that
   are out of order in some grace period.  */
static void
test_attempts_are_aborted_in_the_last_sixth (void **state)
{
  (void)state;
  for (int64_t grace_ms = 1000; grace_ms <= GRACE_MAX_MS; grace_ms++)
    {
      struct bgap_stop_schedule schedule = _begin (grace_ms);
      const int64_t *due_ms = schedule.due_ms;
      assert_true (6 * due_ms[BGAP_STOP_STEP_ABORT] >= 5 * grace_ms);
      assert_true (due_ms[BGAP_STOP_STEP_CLOSE]
                   < due_ms[BGAP_STOP_STEP_REFUSE]);
      assert_true (due_ms[BGAP_STOP_STEP_REFUSE]
                   < due_ms[BGAP_STOP_STEP_ABORT]);
      assert_true (due_ms[BGAP_STOP_STEP_ABORT] < due_ms[BGAP_STOP_STEP_EXIT]);
    }
}

/* Guards against a second signal that puts off the end of a stop.  */
static void
test_second_begin_changes_nothing (void **state)
{
  (void)state;
  struct bgap_stop_schedule schedule = { 0 };
  assert_true (bgap_stop_schedule_age_ms (&schedule, BEGUN_MS) == -1);
  assert_true (bgap_stop_schedule_wait_ms (&schedule, BEGUN_MS) == INT64_MAX);
  bgap_stop_schedule_begin (&schedule, BEGUN_MS, GRACE_MAX_MS);
  const struct bgap_stop_schedule first = schedule;
  bgap_stop_schedule_begin (&schedule, BEGUN_MS + 500, LONG_DELAY_MS);
  assert_true (schedule.begun_ms == first.begun_ms);
  assert_memory_equal (schedule.due_ms, first.due_ms, sizeof first.due_ms);
  assert_true (bgap_stop_schedule_age_ms (&schedule, BEGUN_MS + 500) == 500);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_step_due_between_two_clock_readings_is_not_skipped),
    cmocka_unit_test (test_wait_ends_when_the_next_step_is_due),
    cmocka_unit_test (
        test_all_steps_are_taken_once_and_in_order_after_a_delay),
    cmocka_unit_test (
        test_accepting_ends_well_before_requests_must_not_be_broken_off),
    cmocka_unit_test (test_attempts_are_aborted_in_the_last_sixth),
    cmocka_unit_test (test_second_begin_changes_nothing),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
