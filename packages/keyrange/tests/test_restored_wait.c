#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "fixture.h"

/* When the store is restored. The granter that wrote the record of the copy
   does not come back.  */
#define RESTORED_MS 1000

/* Time after a restore after which no lease of a granter whose records are
   lost can be in force: it grants until its view of the store is 9500 ms old,
   with calls that arrive within 400 ms, for 10 s on a slow clock.  */
#define UNKNOWN_LEASES_END_MS (9500 + 400 + 10200 + 100)

/* A process of the granter runs so long, and the next one starts after a
   pause.  */
#define PROCESS_MS 4000
#define PAUSE_MS 500

/* By how much a restart may prolong the wait: the pause, the time since the
   last record that states the wait, and reading it.  */
#define RESTART_COSTS_MS (PAUSE_MS + 1500)

/* Step of the simulated time.  */
#define STEP_MS 10

/**
 * struct course - the store, and what happened to the keys
 * @newest: newest record in the store
 * @next_offset: offset at which the next one is appended
 * @refuses: the store appends nothing
 * @all_answer: "s1" answers, too
 * @records, @refused: records that were appended, and that were not
 * @granted_ms: when "s0" was first granted a key since the restore, 0 if it
 *   was not yet
 */
struct course
{
  struct bgap_assignment newest;
  uint64_t next_offset;
  bool refuses;
  bool all_answer;
  uint32_t records;
  uint32_t refused;
  int64_t granted_ms;
};

static struct bgap_granter *
process_new (uint64_t incarnation)
{
  struct bgap_granter *granter = NULL;
  assert_int_equal (
      bgap_granter_setup (&granter,
                          &(struct bgap_granter_desc){
                              .instance = "n0", .incarnation = incarnation },
                          NULL),
      BGAP_OK);
  return granter;
}

static void
append (struct bgap_granter *granter, int64_t now_ms,
        const struct bgap_granter_action *action, struct course *course)
{
  if (course->refuses)
    {
      course->refused++;
      bgap_granter_on_append (granter, now_ms, action->call,
                              BGAP_GRANTER_NOT_APPENDED);
      return;
    }
  assert_int_equal (bgap_assignment_decode (&course->newest, action->bytes,
                                            action->size, NULL),
                    BGAP_OK);
  course->records++;
  course->next_offset++;
  bgap_granter_on_append (granter, now_ms, action->call,
                          BGAP_GRANTER_APPENDED);
  bgap_granter_set_next_offset (granter, course->next_offset);
  bgap_granter_on_assignment (granter, now_ms, &course->newest);
}

/* Runs the granter once. "s0" answers; "s1" is lost unless the course says
   otherwise, so that it confirms no release.  */
static void
run (struct bgap_granter *granter, int64_t now_ms, struct course *course)
{
  struct bgap_granter_action action;
  bgap_granter_on_view (granter, now_ms, now_ms - 1);
  bgap_granter_tick (granter, now_ms);
  while (bgap_granter_next_action (granter, &action))
    {
      bool answers = course->all_answer || strcmp (action.server, "s0") == 0;
      if (action.kind == BGAP_GRANTER_APPEND)
        {
          append (granter, now_ms, &action, course);
          continue;
        }
      if (answers && action.kind == BGAP_GRANTER_GRANT
          && course->granted_ms == 0)
        course->granted_ms = now_ms;
      if (action.call != 0)
        bgap_granter_on_reply (granter, now_ms, action.call,
                               answers ? BGAP_GRANTER_DONE : BGAP_GRANTER_LOST,
                               "");
    }
}

/* The store at 0 ms, with a record of another granter.  */
static struct course
course_new (void)
{
  struct course course
      = { .newest = assignment_of ("n1", INCARNATION + 1000, 3),
          .next_offset = 3 };
  course.newest.timeline = 1;
  set_holder (&course.newest, 0, BGAP_KEY_COUNT / 2 - 1, "s0");
  set_holder (&course.newest, BGAP_KEY_COUNT / 2, BGAP_KEY_COUNT - 1, "s1");
  return course;
}

/* A process reads the store in @timeline, and is to take over.  */
static void
read_store (struct bgap_granter *granter, int64_t now_ms, uint64_t timeline,
            const struct course *course)
{
  add_server (granter, now_ms, "s0", 0);
  add_server (granter, now_ms, "s1", 0);
  bgap_granter_on_timeline (granter, now_ms, timeline);
  bgap_granter_set_next_offset (granter, course->next_offset);
  bgap_granter_on_assignment (granter, now_ms, &course->newest);
  bgap_granter_on_loaded (granter, now_ms);
  bgap_granter_set_successor (granter, now_ms, true, true);
}

/* A process that runs since before the restore, in which the records of the
   granter were lost.  */
static struct bgap_granter *
first_process (const struct course *course)
{
  struct bgap_granter *granter = process_new (INCARNATION);
  read_store (granter, 100, 1, course);
  bgap_granter_set_successor (granter, 100, false, false);
  read_store (granter, RESTORED_MS, 2, course);
  return granter;
}

/* Each process of the granter is killed before unknown leases have ended.
   Guards against keys that are refused for ever: each new process counted the
   wait that it had read from its own start. The wait is never shorter than
   these leases last.  */
static void
test_restarts_do_not_begin_the_wait_anew (void **state)
{
  struct course course = course_new ();
  struct bgap_granter *granter = first_process (&course);
  int64_t now_ms = RESTORED_MS;
  int64_t ends_ms = now_ms + PROCESS_MS;
  int restarts = 0;
  (void)state;
  for (; course.granted_ms == 0 && now_ms < 60000; now_ms += STEP_MS)
    {
      run (granter, now_ms, &course);
      if (now_ms < ends_ms)
        continue;
      bgap_granter_shutdown (granter);
      restarts++;
      now_ms += PAUSE_MS;
      ends_ms = now_ms + PROCESS_MS;
      granter = process_new (INCARNATION + (uint64_t)restarts);
      read_store (granter, now_ms, 2, &course);
    }
  assert_int_not_equal (course.granted_ms, 0);
  assert_true (course.granted_ms >= RESTORED_MS + UNKNOWN_LEASES_END_MS);
  assert_true (course.granted_ms <= RESTORED_MS + UNKNOWN_LEASES_END_MS
                                        + restarts * RESTART_COSTS_MS);
  bgap_granter_shutdown (granter);
  bgap_assignment_shutdown (&course.newest);
}

/* A record of another granter by which "s0" has all keys, and that states how
   long unknown leases can remain.  */
static struct bgap_assignment
record_of_another (uint64_t timeline, int64_t unconfirmed_ms)
{
  struct bgap_assignment record
      = assignment_of ("n2", INCARNATION + 2, 9 * timeline);
  record.timeline = timeline;
  record.unconfirmed_ms = unconfirmed_ms;
  set_holder (&record, 0, BGAP_KEY_COUNT - 1, "s0");
  record.ranges[0].unconfirmed = true;
  return record;
}

/* An instance that runs since before the restore reads the record of a process
   that has started since and states a longer wait. Guards against a wait that
   this prolongs at an instance that knows better.  */
static void
test_later_record_does_not_prolong_the_wait (void **state)
{
  struct course course = course_new ();
  struct bgap_granter *granter = first_process (&course);
  struct bgap_assignment later = record_of_another (2, 14000);
  (void)state;
  bgap_granter_on_assignment (granter, RESTORED_MS + 3000, &later);
  assert_int_equal (bgap_granter_unconfirmed_ms (granter, RESTORED_MS + 3000),
                    14000);
  bgap_granter_on_assignment (granter, RESTORED_MS + 9000, &later);
  assert_int_equal (bgap_granter_unconfirmed_ms (granter, RESTORED_MS + 9000),
                    8000);
  bgap_granter_shutdown (granter);
  bgap_assignment_shutdown (&course.newest);
  bgap_assignment_shutdown (&later);
}

/* Guards against two holders: a wait that was almost over must not be applied
   to the leases of a granter whose records the next restore has lost.  */
static void
test_next_restore_begins_the_wait_anew (void **state)
{
  const int64_t again_ms = RESTORED_MS + 19000;
  struct course course = course_new ();
  struct bgap_granter *granter = first_process (&course);
  (void)state;
  for (int64_t now_ms = RESTORED_MS; now_ms < again_ms; now_ms += STEP_MS)
    run (granter, now_ms, &course);
  assert_int_equal (course.granted_ms, 0);
  assert_true (course.records > 0);
  bgap_granter_shutdown (granter);
  /* Another instance, with what the granter has written.  */
  granter = process_new (INCARNATION + 1);
  read_store (granter, again_ms - STEP_MS, 2, &course);
  read_store (granter, again_ms, 3, &course);
  for (int64_t now_ms = again_ms; course.granted_ms == 0 && now_ms < 60000;
       now_ms += STEP_MS)
    run (granter, now_ms, &course);
  assert_true (course.granted_ms >= again_ms + UNKNOWN_LEASES_END_MS);
  bgap_granter_shutdown (granter);
  bgap_assignment_shutdown (&course.newest);
}

/* Guards against two holders: the wait that an instance knows in one timeline
   must not shorten that of a record of the next one.  */
static void
test_wait_of_an_earlier_timeline_is_forgotten (void **state)
{
  const int64_t again_ms = RESTORED_MS + 5000;
  struct course course = course_new ();
  struct bgap_granter *granter = first_process (&course);
  struct bgap_assignment earlier = record_of_another (2, 1000);
  struct bgap_assignment later = record_of_another (3, 14000);
  (void)state;
  bgap_granter_on_assignment (granter, again_ms - 100, &earlier);
  bgap_granter_on_timeline (granter, again_ms, 3);
  bgap_granter_on_assignment (granter, again_ms, &later);
  assert_int_equal (bgap_granter_unconfirmed_ms (granter, again_ms), 14000);
  bgap_granter_shutdown (granter);
  bgap_assignment_shutdown (&course.newest);
  bgap_assignment_shutdown (&earlier);
  bgap_assignment_shutdown (&later);
}

/* A granter grants keys early, as all servers but the recorded holders have
   released them, and loses its office. Guards against two holders: a recorded
   holder may still have an unknown lease, so that this does not end the wait
   that the record of its successor states.  */
static void
test_releases_do_not_end_the_wait_of_a_successor (void **state)
{
  struct course course = course_new ();
  struct bgap_granter *granter = first_process (&course);
  struct bgap_assignment later = record_of_another (2, 14000);
  int64_t now_ms = RESTORED_MS;
  (void)state;
  course.all_answer = true;
  for (; course.granted_ms == 0 && now_ms < RESTORED_MS + 10000;
       now_ms += STEP_MS)
    run (granter, now_ms, &course);
  assert_int_not_equal (course.granted_ms, 0);
  later.token = later.ranges[0].token = course.newest.token + 1;
  bgap_granter_on_assignment (granter, now_ms, &later);
  assert_int_equal (bgap_granter_unconfirmed_ms (granter, now_ms), 14000);
  bgap_granter_shutdown (granter);
  bgap_assignment_shutdown (&course.newest);
  bgap_assignment_shutdown (&later);
}

/* A record reaches an instance through another one before the store has
   answered it. Guards against a wait that is counted from a moment at which
   this instance knew no timeline.  */
static void
test_wait_of_a_record_that_precedes_the_timeline (void **state)
{
  const int64_t now_ms = 1000000;
  struct course course = course_new ();
  struct bgap_granter *granter = process_new (INCARNATION);
  (void)state;
  course.newest.timeline = 2;
  course.newest.unconfirmed_ms = 14000;
  course.newest.ranges[0].unconfirmed = true;
  bgap_granter_on_assignment (granter, now_ms, &course.newest);
  assert_int_equal (bgap_granter_unconfirmed_ms (granter, now_ms), 14000);
  bgap_granter_on_timeline (granter, now_ms + 100, 2);
  bgap_granter_on_assignment (granter, now_ms + 100, &course.newest);
  assert_int_equal (bgap_granter_unconfirmed_ms (granter, now_ms + 100),
                    13900);
  bgap_granter_shutdown (granter);
  bgap_assignment_shutdown (&course.newest);
}

/* Guards against calls without bound to a store that refuses to append the
   record by which the remaining wait is stated.  */
static void
test_refused_statements_of_the_wait_are_few (void **state)
{
  struct course course = course_new ();
  struct bgap_granter *granter = first_process (&course);
  int64_t now_ms = RESTORED_MS;
  (void)state;
  for (; course.records == 0 && now_ms < RESTORED_MS + 10000;
       now_ms += STEP_MS)
    run (granter, now_ms, &course);
  course.refuses = true;
  int64_t until_ms = now_ms + 5000;
  for (; now_ms < until_ms; now_ms += STEP_MS)
    run (granter, now_ms, &course);
  assert_true (course.refused <= 5);
  bgap_granter_shutdown (granter);
  bgap_assignment_shutdown (&course.newest);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_restarts_do_not_begin_the_wait_anew),
    cmocka_unit_test (test_later_record_does_not_prolong_the_wait),
    cmocka_unit_test (test_next_restore_begins_the_wait_anew),
    cmocka_unit_test (test_wait_of_an_earlier_timeline_is_forgotten),
    cmocka_unit_test (test_releases_do_not_end_the_wait_of_a_successor),
    cmocka_unit_test (test_wait_of_a_record_that_precedes_the_timeline),
    cmocka_unit_test (test_refused_statements_of_the_wait_are_few),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
