#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "banyangap/base/repeat.h"

#define FIRST_MS 400
#define MAX_MS 8000
#define SENDERS 50
#define POLL_MS 200 /* interval in which a sender looks for repeats */

static struct bgap_repeat
begin (int64_t now_ms, double place)
{
  struct bgap_repeat repeat;
  bgap_repeat_begin (&repeat, now_ms,
                     &(struct bgap_repeat_desc){ .first_ms = FIRST_MS,
                                                 .max_ms = MAX_MS,
                                                 .place = place });
  return repeat;
}

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
  struct bgap_repeat repeat = begin (1000, 0);
  assert_int_equal (take_between (&repeat, 1000, 1199), 0);
  assert_int_equal (take_between (&repeat, 1200, 1200), 1);
  assert_int_equal (take_between (&repeat, 1201, 1599), 0);
  assert_int_equal (take_between (&repeat, 1600, 1600), 1);
  assert_int_equal (take_between (&repeat, 1601, 3999), 1);
  take_between (&repeat, 4000, 20000);
  assert_int_equal (take_between (&repeat, 20001, 60000), 10);
}

/* Guards against a burst of repeats after a late timer.  */
static void
test_late_call_takes_one_repeat (void **state)
{
  (void)state;
  struct bgap_repeat repeat = begin (0, 0);
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
  bgap_repeat_postpone (&repeat, 0);
  assert_int_equal (take_between (&repeat, 0, 10000), 0);
}

/* Lets senders repeat a message that all others get at once. Returns the
   number of repeats from 10 s on.  */
static int
play (struct bgap_repeat *senders, uint32_t first, int64_t until_ms)
{
  int count = 0;
  for (int64_t now_ms = 0; now_ms < until_ms; now_ms++)
    for (uint32_t i = first; i < SENDERS; i++)
      {
        if ((now_ms + 37 * (int64_t)i) % POLL_MS != 0
            || !bgap_repeat_take (&senders[i], now_ms))
          continue;
        count += now_ms >= 10000;
        for (uint32_t other = first; other < SENDERS; other++)
          if (other != i)
            bgap_repeat_postpone (&senders[other], now_ms);
      }
  return count;
}

/* Guards against messages that grow with the number of instances that know a
   fact, and against a fact that nobody repeats when the first sender ends.  */
static void
test_one_of_many_senders_repeats (void **state)
{
  (void)state;
  for (uint32_t first = 0; first < 3; first++)
    {
      struct bgap_repeat senders[SENDERS];
      for (uint32_t i = 0; i < SENDERS; i++)
        senders[i] = begin (0, i < 3 ? i / 4.0 : 0.75 + 0.005 * i);
      int count = play (senders, first, 50000);
      assert_in_range (count, 40000 / MAX_MS, 2 * 40000 / MAX_MS);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_interval_doubles_to_its_maximum),
    cmocka_unit_test (test_late_call_takes_one_repeat),
    cmocka_unit_test (test_nothing_is_due_before_the_first),
    cmocka_unit_test (test_one_of_many_senders_repeats),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
