#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "fixture.h"

/* Runs the granter for 200 ms, or until it proposes a record, which is stored
   in
   @record. Grants and releases are answered at once. Returns the call of the
   append, 0 for none.  */
static uint32_t
run (struct bgap_granter *granter, int64_t now_ms,
     struct bgap_assignment *record)
{
  struct bgap_granter_action action;
  uint32_t call = 0;
  for (int64_t until_ms = now_ms + 200; call == 0 && now_ms < until_ms;
       now_ms += 10)
    {
      bgap_granter_on_view (granter, now_ms, now_ms - 1);
      bgap_granter_tick (granter, now_ms);
      while (bgap_granter_next_action (granter, &action))
        {
          if (action.kind != BGAP_GRANTER_APPEND)
            {
              bgap_granter_on_reply (granter, now_ms, action.call,
                                     BGAP_GRANTER_DONE, "");
              continue;
            }
          call = action.call;
          assert_int_equal (
              bgap_assignment_decode (record, action.bytes, action.size, NULL),
              BGAP_OK);
        }
    }
  return call;
}

static uint32_t
next_proposal (struct bgap_granter *granter, int64_t now_ms,
               struct bgap_assignment *record)
{
  uint32_t call = run (granter, now_ms, record);
  assert_int_not_equal (call, 0);
  return call;
}

static void
drain_server (struct bgap_granter *granter, int64_t now_ms, const char *id,
              int64_t sequence)
{
  struct bgap_granter_server server = {
    .started_ms = 5, .sequence = sequence, .slots = 4, .draining = true
  };
  snprintf (server.id, sizeof server.id, "%s", id);
  bgap_granter_set_server (granter, now_ms, &server);
}

/* An append that got no response takes effect late, so that the one which
   followed it is refused, and that refusal arrives when the next proposal is
   on its way. Guards against two holders: the refusal was taken for that of
   the proposal on its way, and keys were granted whose holder it changes.  */
static void
test_refusal_of_an_earlier_proposal (void **state)
{
  struct bgap_granter *granter = granter_new ();
  struct bgap_assignment record = assignment_of ("n0", INCARNATION, 1);
  struct bgap_assignment ignored = { 0 };
  uint32_t grants;
  (void)state;
  set_holder (&record, 0, BGAP_KEY_COUNT - 1, "s0");
  add_server (granter, 100, "s0", 0);
  add_server (granter, 100, "s1", 0);
  bgap_granter_on_loaded (granter, 100);
  bgap_granter_on_assignment (granter, 100, &record);
  assert_int_equal (run (granter, 110, &ignored), 0);

  drain_server (granter, 200, "s0", 2);
  uint32_t unanswered = next_proposal (granter, 300, &record);
  bgap_granter_on_append (granter, 700, unanswered,
                          BGAP_GRANTER_APPEND_UNKNOWN);
  uint32_t refused = next_proposal (granter, 2000, &ignored);
  bgap_granter_on_assignment (granter, 2200, &record);
  next_proposal (granter, 2210, &record);
  assert_string_equal (record.ranges[0].server, "s1");
  bgap_granter_on_assignment (granter, 2420, &record);

  /* The new holder leaves before it has its lease.  */
  add_server (granter, 2430, "s2", 0);
  drain_server (granter, 2430, "s1", 2);
  next_proposal (granter, 2440, &record);
  assert_string_equal (record.ranges[0].server, "s2");
  bgap_granter_on_append (granter, 2700, refused, BGAP_GRANTER_NOT_APPENDED);
  bgap_granter_tick (granter, 2800);
  assert_false (take_actions (granter, &ignored, &grants));
  assert_int_equal (grants, 0);
  bgap_assignment_shutdown (&record);
  bgap_assignment_shutdown (&ignored);
  bgap_granter_shutdown (granter);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_refusal_of_an_earlier_proposal),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
