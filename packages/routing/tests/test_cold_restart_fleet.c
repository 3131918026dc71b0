#include "cold_restarts.h"
#include "fixture.h"

/* Guards against a new process of a server that gets more requests in a second
   than a cold server tolerates, from instances that have no sign of it and
   have not read its registration yet: with many instances each sends to a
   server so rarely that few are refused while it is down.  */
static void
test_new_process_is_not_flooded (void **state)
{
  const uint32_t *instances = *state;
  assert_in_range (cold_restarts_most (*instances), 0, COLD_RESTARTS_BOUND);
}

int
main (void)
{
  static uint32_t fleets[] = { 81, 300 };
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_prestate (test_new_process_is_not_flooded, &fleets[0]),
    cmocka_unit_test_prestate (test_new_process_is_not_flooded, &fleets[1]),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
