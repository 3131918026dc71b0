#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "banyangap/registry/server_view.h"

/* Warm-up of the service.  */
#define WARMUP_MS 20000
/* Longer than that.  */
#define LONG_WARMUP_MS 40000

/**
 * struct report - the last change that the view has reported, and whether the
 * server counted as cold then
 */
struct report
{
  int64_t now_ms;
  enum bgap_server_change last;
  bool was_cold;
};

static void
on_changed (void *context, struct bgap_known_server *server,
            enum bgap_server_change change)
{
  struct report *report = context;
  report->last = change;
  report->was_cold = bgap_warmup_is_cold (&server->warmup, report->now_ms);
}

static int64_t
warmup_ms (void *context, const char *service)
{
  (void)context;
  return strcmp (service, "reads") == 0 ? WARMUP_MS : 0;
}

static struct bgap_server_view *
view_new (struct report *report)
{
  *report = (struct report){ 0 };
  struct bgap_server_view *view
      = bgap_server_view_new (&(struct bgap_server_view_ops){
          .changed = on_changed, .warmup_ms = warmup_ms, .context = report });
  assert_non_null (view);
  return view;
}

static void
put (struct bgap_server_view *view, struct report *report, int64_t now_ms,
     int64_t born_ms, int64_t sequence, int64_t left_ms)
{
  const struct bgap_server_entry entry = {
    .id = "i-1",
    .service = "reads",
    .address = "10.0.0.1:80",
    .zone = "z1",
    .slots = 4,
    .started_ms = born_ms,
    .sequence = sequence,
    .warmup_ms = left_ms,
  };
  report->now_ms = now_ms;
  bgap_server_view_put (view, now_ms, &entry);
}

static bool
is_cold (const struct bgap_server_view *view, int64_t now_ms)
{
  const struct bgap_known_server *server = bgap_server_view_find (view, "i-1");
  assert_non_null (server);
  return bgap_warmup_is_cold (&server->warmup, now_ms);
}

static enum bgap_warmup_source
source (const struct bgap_server_view *view)
{
  return bgap_server_view_find (view, "i-1")->warmup.source;
}

/* Guards against servers that are limited when the whole system starts, and
   against one that is not although it states that it is cold.  */
static void
test_first_registration_applies (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, &report, 1000, 100, 1, 0);
  assert_false (is_cold (view, 1000));
  put (view, &report, 2000, 100, 2, 5000);
  assert_true (is_cold (view, 6999));
  assert_false (is_cold (view, 7000));
  assert_int_equal (source (view), BGAP_WARMUP_REGISTERED);
  put (view, &report, 3000, 100, 3, 0);
  assert_false (is_cold (view, 3000));
  bgap_server_view_free (view);
}

/* Guards against instances that never learn of a server that turns cold
   without a restart: relays forward only the registrations that are reported
   as changed. One that only counts down is not.  */
static void
test_statement_of_a_warm_up_is_a_change (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, &report, 1000, 100, 1, 0);
  report.last = BGAP_SERVER_ADDED;
  put (view, &report, 2000, 100, 2, 0);
  assert_int_equal (report.last, BGAP_SERVER_ADDED);
  put (view, &report, 3000, 100, 3, 5000);
  assert_int_equal (report.last, BGAP_SERVER_CHANGED);
  assert_true (report.was_cold);
  report.last = BGAP_SERVER_ADDED;
  put (view, &report, 4000, 100, 4, 4500);
  assert_int_equal (report.last, BGAP_SERVER_ADDED);
  put (view, &report, 5000, 100, 5, 5000);
  assert_int_equal (report.last, BGAP_SERVER_CHANGED);
  report.last = BGAP_SERVER_ADDED;
  put (view, &report, 6000, 100, 6, 0);
  assert_int_equal (report.last, BGAP_SERVER_CHANGED);
  report.last = BGAP_SERVER_ADDED;
  put (view, &report, 7000, 100, 7, 3000);
  put (view, &report, 8000, 100, 8, 2000);
  report.last = BGAP_SERVER_ADDED;
  put (view, &report, 11000, 100, 9, 0);
  assert_int_equal (report.last, BGAP_SERVER_ADDED);
  bgap_server_view_free (view);
}

/* Guards against a warm-up that goes on, stated anew with each registration,
   and ends for the instances behind a relay.  */
static void
test_warm_up_that_goes_on_is_a_change (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  int64_t known_until_ms = 0;
  put (view, &report, 1000, 100, 1, 0);
  for (int64_t i = 0; i < 8; i++)
    {
      int64_t now_ms = 2000 + i * 1000;
      report.last = BGAP_SERVER_ADDED;
      put (view, &report, now_ms, 100, 2 + i, 3000);
      if (report.last == BGAP_SERVER_CHANGED)
        known_until_ms = now_ms + 3000;
      assert_true (known_until_ms > now_ms + 1000);
    }
  bgap_server_view_free (view);
}

/* Guards against a warm-up that is prolonged whenever the same registration is
   read again, or an older one.  */
static void
test_registration_counts_once (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, &report, 1000, 100, 4, 5000);
  put (view, &report, 4000, 100, 4, 5000);
  put (view, &report, 4100, 100, 3, 6000);
  assert_false (is_cold (view, 6000));
  bgap_server_view_free (view);
}

/* Guards against requests at the full rate to a new process, which are sent as
   soon as it is reported, and whose first registration does not state yet that
   it is cold.  */
static void
test_start_makes_cold (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, &report, 1000, 100, 1, 0);
  put (view, &report, 2000, 200, 1, 0);
  assert_int_equal (report.last, BGAP_SERVER_RESTARTED);
  assert_true (report.was_cold);
  assert_true (is_cold (view, 2000 + WARMUP_MS - 1));
  assert_false (is_cold (view, 2000 + WARMUP_MS));
  assert_int_equal (source (view), BGAP_WARMUP_STARTED);
  put (view, &report, 3000, 200, 2, 0);
  assert_false (is_cold (view, 3000));
  put (view, &report, 4000, 300, 1, 2500);
  assert_true (is_cold (view, 6499));
  assert_false (is_cold (view, 6500));
  /* An older process does not count.  */
  put (view, &report, 7000, 200, 9, 9000);
  assert_false (is_cold (view, 7000));
  bgap_server_view_free (view);
}

/* Guards against requests at the full rate to a server that comes back after
   its registration has disappeared, as the same process or a new one.  */
static void
test_return_makes_cold (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, &report, 1000, 100, 5, 0);
  bgap_server_view_remove (view, 2000, "i-1");
  put (view, &report, 9000, 100, 6, 0);
  assert_int_equal (report.last, BGAP_SERVER_ADDED);
  assert_true (report.was_cold);
  assert_int_equal (source (view), BGAP_WARMUP_RETURNED);
  put (view, &report, 10000, 100, 7, 0);
  assert_false (is_cold (view, 10000));
  bgap_server_view_remove (view, 11000, "i-1");
  put (view, &report, 12000, 700, 1, 0);
  assert_true (report.was_cold);
  assert_int_equal (source (view), BGAP_WARMUP_STARTED);
  bgap_server_view_free (view);
}

/* Guards against a limit at all servers at once after an outage of the store,
   in which their registrations expired: it says nothing about them.  */
static void
test_outage_of_the_store_makes_nothing_cold (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, &report, 0, 100, 1, 0);
  bgap_server_view_store_failed (view, 5000);
  bgap_server_view_store_answered (view, 5500);
  bgap_server_view_remove (view, 5600, "i-1");
  put (view, &report, 6000, 100, 2, 0);
  assert_int_equal (report.last, BGAP_SERVER_RETURNED);
  assert_false (is_cold (view, 6000));
  bgap_server_view_free (view);
}

/* Guards against requests at the full rate to the servers of a zone that has
   just returned, and against a limit that outlasts what they register then. */
static void
test_returned_zone_is_cold (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, &report, 0, 100, 7, 0);
  bgap_server_view_zone_returned (view, 500, "z2");
  assert_false (is_cold (view, 500));
  bgap_server_view_zone_returned (view, 1000, "z1");
  assert_true (is_cold (view, 1000));
  assert_int_equal (source (view), BGAP_WARMUP_EVACUATED);
  put (view, &report, 1500, 100, 7, 0);
  assert_true (is_cold (view, 1500));
  bgap_server_view_synced (view, 1500);
  put (view, &report, 2000, 100, 8, 0);
  assert_false (is_cold (view, 2000));
  bgap_server_view_free (view);
}

/* Guards against requests at the full rate to a server of a returned zone
   whose next registration was written before the zone returned, and before the
   server turned cold.  */
static void
test_earlier_registration_does_not_end_an_assumption (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, &report, 0, 100, 7, 0);
  bgap_server_view_synced (view, 0);
  bgap_server_view_zone_returned (view, 500, "z1");
  put (view, &report, 1050, 100, 8, 0);
  bgap_server_view_synced (view, 1050);
  assert_true (is_cold (view, 1050));
  put (view, &report, 2100, 100, 9, 3000);
  bgap_server_view_synced (view, 2100);
  assert_true (is_cold (view, 5099));
  assert_false (is_cold (view, 5100));
  bgap_server_view_free (view);
}

/* Guards against requests at the full rate to a server that has answered that
   it is cold, after the next registration, which was written before.  */
static void
test_earlier_registration_does_not_end_an_answered_warm_up (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, &report, 0, 100, 7, 0);
  bgap_server_view_synced (view, 0);
  bgap_warmup_answered (&bgap_server_view_find (view, "i-1")->warmup, 900,
                        3000, 890);
  put (view, &report, 1050, 100, 8, 0);
  assert_true (is_cold (view, 3899));
  put (view, &report, 1060, 100, 9, 200);
  assert_true (is_cold (view, 3899));
  put (view, &report, 1070, 100, 10, 4000);
  assert_true (is_cold (view, 5069));
  bgap_server_view_synced (view, 1070);
  put (view, &report, 2100, 100, 11, 0);
  assert_false (is_cold (view, 2100));
  bgap_server_view_free (view);
}

/* Guards against requests at the full rate to a server after an answer that
   was on its way when the server turned cold, and its registration was read.
 */
static void
test_earlier_answer_does_not_end_a_warm_up (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, &report, 0, 100, 7, 0);
  put (view, &report, 1000, 100, 8, 3000);
  struct bgap_warmup *warmup = &bgap_server_view_find (view, "i-1")->warmup;
  bgap_warmup_answered (warmup, 1100, 0, 900);
  assert_true (is_cold (view, 3999));
  bgap_warmup_answered (warmup, 1400, 0, 1200);
  assert_false (is_cold (view, 1400));
  bgap_server_view_free (view);
}

/* Guards against a server that stays limited for the whole warm-up of its
   service: relays forward the registration that states a shorter one, and none
   after it.  */
static void
test_stated_time_replaces_an_assumed_one (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, &report, 0, 100, 7, 0);
  bgap_server_view_synced (view, 0);
  bgap_server_view_zone_returned (view, 500, "z1");
  put (view, &report, 1050, 100, 8, 3000);
  assert_true (is_cold (view, 4049));
  assert_false (is_cold (view, 4050));
  bgap_server_view_free (view);
}

/* Guards against a warm-up that ends early when its zone returns, because the
   server states a longer one than its service.  */
static void
test_assumption_does_not_shorten_a_warm_up (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, &report, 0, 100, 7, LONG_WARMUP_MS);
  bgap_server_view_zone_returned (view, 500, "z1");
  assert_true (is_cold (view, LONG_WARMUP_MS - 1));
  assert_false (is_cold (view, LONG_WARMUP_MS));
  bgap_server_view_free (view);
}

/* Guards against an answer that is ignored while the store is away.  */
static void
test_answer_applies (void **state)
{
  (void)state;
  struct bgap_warmup warmup = { 0 };
  bgap_warmup_answered (&warmup, 1000, 3000, 990);
  assert_true (bgap_warmup_is_cold (&warmup, 3999));
  bgap_warmup_assume (&warmup, 2000, BGAP_WARMUP_STARTED, 0, true);
  assert_false (bgap_warmup_is_cold (&warmup, 4000));
  bgap_warmup_assume (&warmup, 5000, BGAP_WARMUP_STARTED, WARMUP_MS, true);
  bgap_warmup_answered (&warmup, 5100, 0, 5050);
  assert_false (bgap_warmup_is_cold (&warmup, 5100));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_first_registration_applies),
    cmocka_unit_test (test_statement_of_a_warm_up_is_a_change),
    cmocka_unit_test (test_warm_up_that_goes_on_is_a_change),
    cmocka_unit_test (test_registration_counts_once),
    cmocka_unit_test (test_start_makes_cold),
    cmocka_unit_test (test_return_makes_cold),
    cmocka_unit_test (test_outage_of_the_store_makes_nothing_cold),
    cmocka_unit_test (test_returned_zone_is_cold),
    cmocka_unit_test (test_earlier_registration_does_not_end_an_assumption),
    cmocka_unit_test (
        test_earlier_registration_does_not_end_an_answered_warm_up),
    cmocka_unit_test (test_earlier_answer_does_not_end_a_warm_up),
    cmocka_unit_test (test_stated_time_replaces_an_assumed_one),
    cmocka_unit_test (test_assumption_does_not_shorten_a_warm_up),
    cmocka_unit_test (test_answer_applies),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
