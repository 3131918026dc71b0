#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "banyangap/base/repeat.h"

/* Returns how often a repeat was due between two times, asked every
   millisecond.  */
static int
take_between (struct bgap_repeat *repeat, int64_t from_ms, int64_t until_ms)
{
  int count = 0;
  for (int64_t now_ms = from_ms; now_ms <= until_ms; now_ms++)
    count += bgap_repeat_take (repeat, now_ms);
  return count;
}

/* Guards against a message that is sent once only, and against repeats that
   stay as frequent as the first ones for as long as the message applies.  */
static void
test_interval_doubles_to_its_maximum (void **state)
{
  (void)state;
  struct bgap_repeat repeat = { 0 };
  bgap_repeat_begin (&repeat, 1000);
  assert_int_equal (take_between (&repeat, 1000, 1199), 0);
  assert_int_equal (take_between (&repeat, 1200, 1200), 1);
  assert_int_equal (take_between (&repeat, 1201, 1599), 0);
  assert_int_equal (take_between (&repeat, 1600, 1600), 1);
  assert_int_equal (take_between (&repeat, 1601, 3999), 1);
  take_between (&repeat, 4001, 20000);
  assert_int_equal (take_between (&repeat, 20001, 60000), 10);
}

/* Guards against a burst of repeats after a late timer.  */
static void
test_late_call_takes_one_repeat (void **state)
{
  (void)state;
  struct bgap_repeat repeat = { 0 };
  bgap_repeat_begin (&repeat, 0);
  assert_true (bgap_repeat_take (&repeat, 30000));
  assert_int_equal (take_between (&repeat, 30000, 30399), 0);
  assert_true (bgap_repeat_take (&repeat, 30400));
  assert_int_equal (repeat.count, 2);
}

/* Guards against repeats of a message that was not sent.  */
static void
test_nothing_is_due_before_the_first (void **state)
{
  (void)state;
  struct bgap_repeat repeat = { 0 };
  assert_int_equal (take_between (&repeat, 0, 10000), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_interval_doubles_to_its_maximum),
    cmocka_unit_test (test_late_call_takes_one_repeat),
    cmocka_unit_test (test_nothing_is_due_before_the_first),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
