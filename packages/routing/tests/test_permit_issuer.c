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
/* Permits per second while the server is cold.  */
#define COLD_PER_S 7.62
/* Ends of the warm-up as two instances know them.  */
#define EARLIER_END_MS INT64_C (3010)
#define COLD_END_MS INT64_C (4900)
#define ASK_COLD_MS INT64_C (300)

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

/* An instance that knows of the warm-up asks for permits.  */
static void
ask_cold (struct bgap_permit_issuer *issuer, int64_t now_ms,
          const char *instance, double per_s, int64_t left_ms)
{
  assert_int_equal (bgap_permit_issuer_ask (
                        issuer, now_ms,
                        &(struct bgap_permit_ask){ .server = SERVER,
                                                   .instance = instance,
                                                   .count = 16,
                                                   .per_s = per_s,
                                                   .share = 1,
                                                   .cold_per_s = COLD_PER_S,
                                                   .cold_left_ms = left_ms,
                                                   .cold_share = 1,
                                                   .stamp = 1 }),
                    BGAP_OK);
}

/**
 * struct grants - permits until the end of a warm-up
 * @most: most in a second
 * @gap_ms: longest time without one
 */
struct grants
{
  uint32_t most;
  int64_t gap_ms;
};

/* Lets two instances ask for more permits than there are until the warm-up
   ends, as each knows it. One has read an older registration.  */
static struct grants
grant_until_warm (double per_s)
{
  struct bgap_permit_issuer *issuer = bgap_permit_issuer_new ();
  struct grants grants = { 0 };
  int64_t granted_ms[256];
  uint32_t count = 0;
  int64_t last_ms = 0;
  for (int64_t now_ms = 0; now_ms < COLD_END_MS; now_ms++)
    {
      struct bgap_permit_answer answer;
      if (now_ms % ASK_COLD_MS == 0)
        ask_cold (issuer, now_ms, "a", per_s, COLD_END_MS - now_ms);
      if (now_ms % ASK_COLD_MS == 5 && now_ms < EARLIER_END_MS)
        ask_cold (issuer, now_ms, "b", per_s, EARLIER_END_MS - now_ms);
      while (bgap_permit_issuer_next (issuer, now_ms, &answer))
        for (uint32_t i = 0; answer.instance != NULL && i < answer.count; i++)
          {
            if (now_ms - last_ms > grants.gap_ms)
              grants.gap_ms = now_ms - last_ms;
            last_ms = now_ms;
            granted_ms[count++ % 256] = now_ms;
          }
    }
  for (uint32_t i = 0, first = 0; i < count; i++)
    {
      while (granted_ms[i] - granted_ms[first] >= 1000)
        first++;
      grants.most = i - first + 1 > grants.most ? i - first + 1 : grants.most;
    }
  bgap_permit_issuer_free (issuer);
  return grants;
}

/* Guards against requests that wait although the cold server tolerates them:
   an instance with an older registration stated an earlier end of the warm-up,
   after which the issuer granted nothing to those that waited for permits.  */
static void
test_earlier_end_does_not_stop_permits (void **state)
{
  (void)state;
  struct grants grants = grant_until_warm (0);
  if (grants.gap_ms > 2 * 1000 / COLD_PER_S)
    fail_msg ("no permit for %d ms", (int)grants.gap_ms);
}

/* Guards against a cold server that gets the rate of the limit that it states,
   since an instance with an older registration stated an earlier end of the
   warm-up.  */
static void
test_earlier_end_does_not_end_the_warm_up (void **state)
{
  (void)state;
  struct grants grants = grant_until_warm (50);
  if (grants.most > COLD_PER_S * 1.05 + 1)
    fail_msg ("%u permits in a second", grants.most);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_limit_is_told_again),
    cmocka_unit_test (test_outdated_limit_is_not_told),
    cmocka_unit_test (test_earlier_end_does_not_stop_permits),
    cmocka_unit_test (test_earlier_end_does_not_end_the_warm_up),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
