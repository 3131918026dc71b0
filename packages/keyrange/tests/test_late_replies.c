#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "fixture.h"

/* Grants whose result the granter learns later than the timeout of a call,
   because its process was held up or the network delayed the call. Until then
   the connection is not reset, and the grant may arrive. Guards against keys
   that a second server is granted while the first one has its lease.  */

#define START_MS 100
#define STEP_MS 5
#define LATE_MS 1500
#define LIMIT_MS 10000

/* Takes the pending actions. Returns the number of the first grant to @server,
   0 if there is none, and its duration in @lease_ms.  */
static uint32_t
take_grant (struct bgap_granter *granter, const char *server,
            int64_t *lease_ms)
{
  struct bgap_granter_action action;
  uint32_t call = 0;
  while (bgap_granter_next_action (granter, &action))
    if (action.kind == BGAP_GRANTER_GRANT && call == 0
        && strcmp (action.server, server) == 0)
      {
        call = action.call;
        *lease_ms = action.lease_ms;
      }
  return call;
}

static void
assign_all (struct bgap_granter *granter, int64_t now_ms, uint64_t token,
            const char *server)
{
  struct bgap_assignment record = assignment_of ("n0", INCARNATION, token);
  set_holder (&record, 0, BGAP_KEY_COUNT - 1, server);
  bgap_granter_on_assignment (granter, now_ms, &record);
  bgap_assignment_shutdown (&record);
}

/* Grants all keys to "s0", whose grant arrives just before its late result,
   then removes it and assigns the keys to "s1", which must not get them before
   the lease of "s0" has ended.  */
static void
check_late_result (enum bgap_granter_result result)
{
  struct bgap_granter *granter = granter_new ();
  int64_t lease_ms = 0;
  int64_t next_lease_ms = 0;
  int64_t now_ms = START_MS;
  add_server (granter, now_ms, "s0", 0);
  bgap_granter_on_loaded (granter, now_ms);
  assign_all (granter, now_ms, 3, "s0");
  bgap_granter_on_view (granter, now_ms, now_ms);
  bgap_granter_tick (granter, now_ms);
  uint32_t call = take_grant (granter, "s0", &lease_ms);
  assert_int_not_equal (call, 0);
  now_ms += LATE_MS;
  bgap_granter_on_reply (granter, now_ms, call, result, "");
  int64_t held_until_ms = now_ms + lease_ms;
  add_server (granter, now_ms, "s1", 0);
  bgap_granter_remove_server (granter, now_ms, "s0");
  assign_all (granter, now_ms, 4, "s1");
  do
    {
      now_ms += STEP_MS;
      assert_true (now_ms < LIMIT_MS);
      bgap_granter_on_view (granter, now_ms, now_ms);
      bgap_granter_tick (granter, now_ms);
    }
  while (take_grant (granter, "s1", &next_lease_ms) == 0);
  assert_true (now_ms >= held_until_ms);
  bgap_granter_shutdown (granter);
}

/* Guards against a lease that is counted from the timeout of its call although
   the call arrived, and was answered, later.  */
static void
test_lease_of_a_grant_answered_late_is_waited_for (void **state)
{
  (void)state;
  check_late_result (BGAP_GRANTER_DONE);
}

/* Guards against the same if the call is given up, late, without an answer. */
static void
test_lease_of_a_grant_given_up_late_is_waited_for (void **state)
{
  (void)state;
  check_late_result (BGAP_GRANTER_LOST);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_lease_of_a_grant_answered_late_is_waited_for),
    cmocka_unit_test (test_lease_of_a_grant_given_up_late_is_waited_for),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
