#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "fixture.h"

/* Duration of the leases that the former granter has granted, on a server
   whose clock is slow by the permitted 2 %.  */
#define FORMER_LEASE_MS (LEASE_MS * 102 / 100)

/* Number of ranges, and duration of the leases with so many.  */
#define MANY_RANGES 600
#define LONG_LEASE_MS 9000

/* Time after a takeover after which no such lease of the former granter can be
   in force: it renews them until its view of the store is 9500 ms old, with
   grants that arrive within 400 ms.  */
#define LONG_LEASES_END_MS (9500 + 400 + LONG_LEASE_MS * 102 / 100)

/* From then on the server "s0" answers one grant; before and after it, calls
   to it get no response.  */
#define ANSWERS_AT_MS 1300

/**
 * struct course - what happened to the keys of "s0"
 * @answered_ms: when it answered, 0 if it did not yet
 * @answered_lease_ms: duration of the lease in that grant
 * @granted_ms: when "s1" was first granted its keys
 */
struct course
{
  int64_t answered_ms;
  int64_t answered_lease_ms;
  int64_t granted_ms;
};

static void
answer (struct bgap_granter *granter, int64_t now_ms,
        const struct bgap_granter_action *action, struct course *course)
{
  enum bgap_granter_result result = BGAP_GRANTER_DONE;
  if (strcmp (action->server, "s1") == 0)
    {
      if (action->kind == BGAP_GRANTER_GRANT && course->granted_ms == 0)
        course->granted_ms = now_ms;
    }
  else if (now_ms < ANSWERS_AT_MS || course->answered_ms != 0
           || action->kind != BGAP_GRANTER_GRANT)
    result = BGAP_GRANTER_LOST;
  else
    {
      course->answered_ms = now_ms;
      course->answered_lease_ms = action->lease_ms;
    }
  bgap_granter_on_reply (granter, now_ms, action->call, result, "");
}

static void
run (struct bgap_granter *granter, int64_t now_ms, struct course *course)
{
  struct bgap_granter_action action;
  bgap_granter_on_view (granter, now_ms, now_ms - 1);
  bgap_granter_tick (granter, now_ms);
  while (bgap_granter_next_action (granter, &action))
    {
      if (action.kind != BGAP_GRANTER_APPEND)
        {
          answer (granter, now_ms, &action, course);
          continue;
        }
      append_record (granter, now_ms, &action);
    }
}

static void
drain_s0 (struct bgap_granter *granter, int64_t now_ms)
{
  const struct bgap_granter_server server = {
    .id = "s0", .started_ms = 5, .sequence = 2, .slots = 4, .draining = true
  };
  bgap_granter_set_server (granter, now_ms, &server);
}

/* Reads the record of a former granter, whose keys are all at "s0", and is to
   take over; "s1" is another server.  */
static void
begin_takeover (struct bgap_granter *granter, int64_t now_ms,
                struct bgap_assignment *former)
{
  set_holder (former, 0, BGAP_KEY_COUNT - 1, "s0");
  add_server (granter, now_ms, "s0", 0);
  add_server (granter, now_ms, "s1", 0);
  bgap_granter_on_loaded (granter, now_ms);
  bgap_granter_on_assignment (granter, now_ms, former);
  bgap_granter_set_successor (granter, now_ms, true, true);
}

/* After a takeover the server answers a grant whose lease is shorter than the
   one that it has from the former granter, then leaves and does not answer the
   release. Guards against keys that are given away when only the shorter lease
   has ended.  */
static void
test_former_lease_outlives_a_shorter_one (void **state)
{
  struct bgap_granter *granter = granter_new ();
  struct bgap_assignment former = assignment_of ("n1", INCARNATION + 1, 3);
  struct course course = { 0 };
  (void)state;
  begin_takeover (granter, 100, &former);
  for (int64_t now_ms = 110; course.granted_ms == 0 && now_ms < 30000;
       now_ms += 20)
    {
      run (granter, now_ms, &course);
      if (course.answered_ms == now_ms)
        drain_s0 (granter, now_ms);
    }
  assert_true (course.answered_ms != 0);
  assert_true (course.answered_lease_ms < 1000);
  /* The former granter may have renewed the lease just before.  */
  assert_true (course.granted_ms >= course.answered_ms + FORMER_LEASE_MS);
  /* Its grants are refused since then, so that there is no more to wait
     for.  */
  assert_true (course.granted_ms
               <= course.answered_ms + 2 * (int64_t)FORMER_LEASE_MS);
  bgap_assignment_shutdown (&former);
  bgap_granter_shutdown (granter);
}

/* Guards against two holders after the former granter has merged ranges and
   stepped down: its leases with many ranges were longer than those that the
   next granter would grant, which it then waits for.  */
static void
test_former_leases_with_more_ranges (void **state)
{
  struct bgap_granter *granter = granter_new ();
  struct bgap_assignment former = assignment_of ("n1", INCARNATION + 1, 3);
  struct course course = { .answered_ms = 1 };
  int64_t now_ms = 110;
  (void)state;
  former.released = true;
  former.lease_ms = LONG_LEASE_MS;
  begin_takeover (granter, 100, &former);
  for (; course.granted_ms == 0 && now_ms < 30000; now_ms += 20)
    run (granter, now_ms, &course);
  assert_in_range (course.granted_ms, LONG_LEASE_MS * 102 / 100, 15000);
  bgap_assignment_shutdown (&former);
  bgap_granter_shutdown (granter);
}

/* Gives the granter a record of its own with @count ranges.  */
static void
read_own_record (struct bgap_granter *granter, int64_t now_ms, uint64_t token,
                 uint32_t count)
{
  struct bgap_assignment own = assignment_of ("n0", INCARNATION, token);
  for (uint32_t i = 0; i < count; i++)
    set_holder (&own, i * BGAP_KEY_COUNT / count,
                (i + 1) * BGAP_KEY_COUNT / count - 1, i % 2 ? "s1" : "s0");
  bgap_granter_on_view (granter, now_ms, now_ms - 1);
  bgap_granter_on_assignment (granter, now_ms, &own);
  bgap_granter_tick (granter, now_ms + 300);
  bgap_assignment_shutdown (&own);
}

/* Longest lease that the record of a granter states which steps down @after_ms
   that it has merged many ranges.  */
static int64_t
stated_lease_ms (int64_t after_ms)
{
  struct bgap_granter *granter = granter_new ();
  struct bgap_assignment last = { 0 };
  uint32_t grants;
  add_server (granter, 100, "s0", 0);
  add_server (granter, 100, "s1", 0);
  bgap_granter_on_loaded (granter, 100);
  read_own_record (granter, 100, 3, MANY_RANGES);
  read_own_record (granter, 1000, 4, 2);
  bgap_granter_step_down (granter, 1000 + after_ms);
  take_actions (granter, &last, &grants);
  bgap_granter_tick (granter, 1000 + after_ms);
  assert_true (take_actions (granter, &last, &grants));
  assert_true (last.released);
  int64_t lease_ms = last.lease_ms;
  bgap_assignment_shutdown (&last);
  bgap_granter_shutdown (granter);
  return lease_ms;
}

/* Guards against a record that states the duration of the leases that would be
   granted next, while longer ones are in force.  */
static void
test_record_states_the_longest_lease (void **state)
{
  (void)state;
  assert_true (stated_lease_ms (500) >= LONG_LEASE_MS);
  assert_int_equal (stated_lease_ms (2 * (int64_t)LONG_LEASE_MS), LEASE_MS);
}

/* Maximum number of calls in flight.  */
#define ANSWERS_MAX 16u

/**
 * struct reach - how a server behaves after a takeover
 * @accepts_at_ms: before that it resets new connections
 * @reads_after_ms: time after which it reads a new connection
 * @hangs: it accepts connections, but answers no grant
 * @other_leaves_at_ms: when the other server drains, 0 for never
 */
struct reach
{
  int64_t accepts_at_ms;
  int64_t reads_after_ms;
  bool hangs;
  int64_t other_leaves_at_ms;
};

/**
 * struct answer - answer of the server to a call, which arrives at @at_ms
 */
struct answer
{
  uint32_t call;
  enum bgap_granter_action_kind kind;
  enum bgap_granter_result result;
  int64_t at_ms;
};

static struct answer
answer_of (const struct reach *reach, int64_t now_ms,
           const struct bgap_granter_action *action, bool *connected)
{
  struct answer answer
      = { action->call, action->kind, BGAP_GRANTER_DONE, now_ms };
  if (now_ms < reach->accepts_at_ms)
    answer.result = BGAP_GRANTER_NOT_SENT;
  else if (*connected && action->kind != BGAP_GRANTER_CHECK)
    {
      *connected = !reach->hangs;
      if (reach->hangs)
        answer.result = BGAP_GRANTER_LOST;
    }
  else if (reach->reads_after_ms > action->timeout_ms)
    {
      answer.result = BGAP_GRANTER_NOT_SENT;
      answer.at_ms += action->timeout_ms;
    }
  else
    {
      *connected = true;
      answer.result = BGAP_GRANTER_RECONNECTED;
      answer.at_ms += reach->reads_after_ms;
    }
  return answer;
}

/* Reports the answers that have arrived. Returns whether a grant is among
   them.  */
static bool
report_answers (struct bgap_granter *granter, int64_t now_ms,
                struct answer *answers, uint32_t *count)
{
  bool is_granted = false;
  for (uint32_t i = 0; i < *count;)
    {
      struct answer answer = answers[i];
      if (answer.at_ms > now_ms)
        {
          i++;
          continue;
        }
      answers[i] = answers[--*count];
      is_granted = is_granted
                   || (answer.kind == BGAP_GRANTER_GRANT
                       && answer.result == BGAP_GRANTER_DONE);
      bgap_granter_on_reply (granter, now_ms, answer.call, answer.result, "");
    }
  return is_granted;
}

/* Takes over from a granter with leases of LONG_LEASE_MS on "s0", and runs
   until @until_ms. "s1" takes any keys that are free.  */
static struct course
take_over (const struct reach *reach, int64_t until_ms)
{
  struct bgap_granter *granter = granter_new ();
  struct bgap_assignment former = assignment_of ("n1", INCARNATION + 1, 3);
  struct course course = { 0 };
  struct bgap_granter_action action;
  struct answer answers[ANSWERS_MAX];
  uint32_t count = 0;
  bool connected = false;
  former.lease_ms = LONG_LEASE_MS;
  begin_takeover (granter, 0, &former);
  const struct bgap_granter_server leaving = {
    .id = "s1", .started_ms = 5, .sequence = 2, .slots = 4, .draining = true
  };
  for (int64_t now_ms = 10; now_ms < until_ms; now_ms += 10)
    {
      if (now_ms == reach->other_leaves_at_ms)
        bgap_granter_set_server (granter, now_ms, &leaving);
      bgap_granter_on_view (granter, now_ms, now_ms - 1);
      bgap_granter_tick (granter, now_ms);
      while (bgap_granter_next_action (granter, &action))
        {
          if (action.kind == BGAP_GRANTER_APPEND)
            append_record (granter, now_ms, &action);
          if (action.kind != BGAP_GRANTER_GRANT
              && action.kind != BGAP_GRANTER_RELEASE
              && action.kind != BGAP_GRANTER_CHECK)
            continue;
          if (strcmp (action.server, "s0") == 0)
            {
              assert_true (count < ANSWERS_MAX);
              answers[count++]
                  = answer_of (reach, now_ms, &action, &connected);
              continue;
            }
          if (action.kind == BGAP_GRANTER_GRANT && course.granted_ms == 0)
            course.granted_ms = now_ms;
          bgap_granter_on_reply (granter, now_ms, action.call,
                                 BGAP_GRANTER_DONE, "");
        }
      if (report_answers (granter, now_ms, answers, &count)
          && course.answered_ms == 0)
        course.answered_ms = now_ms;
    }
  bgap_assignment_shutdown (&former);
  bgap_granter_shutdown (granter);
  return course;
}

/* Guards against keys that are served by nobody until the leases of the former
   granter have ended, and then move, because a full server reset the new
   granter's connections for some seconds.  */
static void
test_full_server_keeps_its_keys (void **state)
{
  (void)state;
  struct course course
      = take_over (&(struct reach){ .accepts_at_ms = 4000 }, 30000);
  assert_in_range (course.answered_ms, 4000, 5000);
  /* Later the load may be divided.  */
  assert_true (course.granted_ms == 0
               || course.granted_ms > course.answered_ms);
}

/* Guards against keys that are served by nobody because a full server reads
   new connections later than grants are waited for.  */
static void
test_server_that_reads_late_keeps_its_keys (void **state)
{
  (void)state;
  struct course course
      = take_over (&(struct reach){ .reads_after_ms = 1500 }, 30000);
  assert_in_range (course.answered_ms, 1, LEASE_MS);
}

/* Guards against grants to a server that does not answer them, each of which
   lengthens the wait for their expiry; and against attempts to reach a server
   that keep its keys from moving.  */
static void
test_unreachable_server_loses_its_keys_in_time (void **state)
{
  (void)state;
  struct course closed
      = take_over (&(struct reach){ .accepts_at_ms = 60000 }, 30000);
  struct course hung = take_over (
      &(struct reach){ .accepts_at_ms = 4000, .hangs = true }, 30000);
  assert_in_range (closed.granted_ms, LONG_LEASES_END_MS,
                   LONG_LEASES_END_MS + 1500);
  assert_in_range (hung.granted_ms, LONG_LEASES_END_MS,
                   LONG_LEASES_END_MS + 1500);
}

/* Guards against a server that gets no keys any more once it has not answered
   grants, although it can be reached again.  */
static void
test_server_that_was_unreachable_gets_keys_again (void **state)
{
  const struct reach reach
      = { .accepts_at_ms = 22000, .other_leaves_at_ms = 26000 };
  (void)state;
  struct course course = take_over (&reach, 40000);
  assert_in_range (course.granted_ms, LONG_LEASES_END_MS, 22000);
  assert_true (course.answered_ms > 22000);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_former_leases_with_more_ranges),
    cmocka_unit_test (test_record_states_the_longest_lease),
    cmocka_unit_test (test_former_lease_outlives_a_shorter_one),
    cmocka_unit_test (test_full_server_keeps_its_keys),
    cmocka_unit_test (test_server_that_reads_late_keeps_its_keys),
    cmocka_unit_test (test_unreachable_server_loses_its_keys_in_time),
    cmocka_unit_test (test_server_that_was_unreachable_gets_keys_again),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
