#include "banyangap/routing/warm_check.h"
#include "cold_restarts.h"
#include "fixture.h"

/* Guards against a new process of a server that gets more requests in a second
   than a cold server tolerates, from instances that were refused by it before
   and have not read its registration yet.  */
static void
test_new_process_is_not_flooded (void **state)
{
  (void)state;
  assert_in_range (cold_restarts_most (8), 0, COLD_RESTARTS_BOUND);
}

static bool
is_known (const struct bgap_warm_check *check, int64_t now_ms)
{
  return bgap_warm_check_is_recent (check, now_ms)
         || bgap_warm_check_is_covered (check, now_ms);
}

/* Guards against a suspicion that no health check ends, or one that was sent
   before, and against one that outlasts the registration of the server.  */
static void
test_later_knowledge_ends_a_suspicion (void **state)
{
  (void)state;
  struct bgap_warm_check check = { 0 };
  bgap_warm_check_set_view_time (&check, 1000);
  assert_true (is_known (&check, 1500));
  bgap_warm_check_begin (&check, 1490);
  bgap_warm_check_suspect (&check, 1500);
  assert_false (is_known (&check, 1500));
  bgap_warm_check_end (&check, 1510, BGAP_WARM_CHECK_FAILED);
  assert_false (is_known (&check, 1510));
  bgap_warm_check_begin (&check, 1800);
  bgap_warm_check_end (&check, 1810, BGAP_WARM_CHECK_WARM);
  bgap_warm_check_set_view_time (&check, 2000);
  for (uint32_t i = 0; i <= BGAP_WARM_CHECK_REQUESTS; i++)
    bgap_warm_check_use (&check);
  assert_true (is_known (&check, 2010));
  bgap_warm_check_suspect (&check, 2500);
  bgap_warm_check_set_view_time (&check, 5900);
  assert_false (is_known (&check, 5900));
  bgap_warm_check_set_view_time (&check, 6000);
  assert_true (is_known (&check, 6000));
}

/* Guards against a health check that was sent before the sign, and that the
   former process has answered.  */
static void
test_earlier_check_does_not_end_a_suspicion (void **state)
{
  (void)state;
  struct bgap_warm_check check = { 0 };
  bgap_warm_check_set_view_time (&check, 1000);
  bgap_warm_check_begin (&check, 1490);
  bgap_warm_check_suspect (&check, 1500);
  bgap_warm_check_end (&check, 1510, BGAP_WARM_CHECK_WARM);
  assert_false (is_known (&check, 1510));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_later_knowledge_ends_a_suspicion),
    cmocka_unit_test (test_earlier_check_does_not_end_a_suspicion),
    cmocka_unit_test (test_new_process_is_not_flooded),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
