#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "banyangap/routing/permit_issuer.h"

#define SERVER 7u
#define ASK_INTERVAL_MS 500
/* After which the issuer forgets a server.  */
#define UNUSED_MS INT64_C (10000)

/* An instance asks for no permits, and states the limit that it knows.  */
static void
ask (struct bgap_permit_issuer *issuer, int64_t now_ms, double per_s)
{
  assert_int_equal (
      bgap_permit_issuer_ask (
          issuer, now_ms,
          &(struct bgap_permit_ask){
              .server = SERVER, .instance = "a", .per_s = per_s, .share = 1 }),
      BGAP_OK);
}

/* Returns how often all instances are told between two times. The last limit
   that they were told is set in @per_s.  */
static int
count_news (struct bgap_permit_issuer *issuer, int64_t from_ms,
            int64_t until_ms, double *per_s)
{
  int count = 0;
  for (int64_t now_ms = from_ms; now_ms < until_ms; now_ms += 10)
    {
      struct bgap_permit_answer answer;
      while (bgap_permit_issuer_next (issuer, now_ms, &answer))
        if (answer.instance == NULL)
          {
            count++;
            *per_s = answer.per_s;
          }
    }
  return count;
}

/* Guards against an instance that sends a limited server requests without
   permits because the only message about the limit was lost.  */
static void
test_limit_is_told_again (void **state)
{
  (void)state;
  struct bgap_permit_issuer *issuer = bgap_permit_issuer_new ();
  double per_s = 0;
  ask (issuer, 0, 20);
  assert_int_equal (count_news (issuer, 0, 200, &per_s), 1);
  assert_int_equal (count_news (issuer, 200, 1000, &per_s), 2);
  assert_true (per_s == 20);
  for (int64_t now_ms = 1000; now_ms < 21000; now_ms += ASK_INTERVAL_MS)
    {
      ask (issuer, now_ms, 20);
      (void)count_news (issuer, now_ms, now_ms + ASK_INTERVAL_MS, &per_s);
    }
  ask (issuer, 21000, 20);
  assert_int_equal (count_news (issuer, 21000, 29000, &per_s), 2);
  bgap_permit_issuer_free (issuer);
}

/* Guards against an outdated limit that is told for ever: of a server that
   nobody asks for, or that has stated that it has none.  */
static void
test_outdated_limit_is_not_told (void **state)
{
  (void)state;
  struct bgap_permit_issuer *issuer = bgap_permit_issuer_new ();
  double per_s = 0;
  ask (issuer, 0, 20);
  (void)count_news (issuer, 0, UNUSED_MS + 10, &per_s);
  assert_int_equal (count_news (issuer, UNUSED_MS + 10, 6 * UNUSED_MS, &per_s),
                    0);
  ask (issuer, 6 * UNUSED_MS, 0);
  assert_int_equal (
      count_news (issuer, 6 * UNUSED_MS, 6 * UNUSED_MS + 9000, &per_s), 1);
  assert_true (per_s == 0);
  bgap_permit_issuer_free (issuer);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_limit_is_told_again),
    cmocka_unit_test (test_outdated_limit_is_not_told),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
