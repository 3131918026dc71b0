#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "server_view_fixture.h"
/* Guards against reports for registrations in which only the sequence number
   changes, and against an old registration that replaces a newer one.  */
static void
test_only_changes_are_reported (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, 0, entry (100, 1));
  assert_int_equal (report.last, BGAP_SERVER_ADDED);
  put (view, 900, entry (100, 2));
  assert_int_equal (report.count, 1);
  struct bgap_server_entry draining = entry (100, 3);
  draining.draining = true;
  put (view, 1800, draining);
  assert_int_equal (report.last, BGAP_SERVER_DRAINING);
  put (view, 1900, entry (100, 2));
  assert_true (bgap_server_view_find (view, "i-1")->entry.draining);
  put (view, 2000, entry (200, 1));
  assert_int_equal (report.last, BGAP_SERVER_CHANGED);
  assert_int_equal (report.count, 4);
  put (view, 2100, entry (100, 9));
  assert_int_equal (bgap_server_view_find (view, "i-1")->entry.started_ms,
                    200);
  bgap_server_view_free (view);
}

/* Guards against requests to a server whose registration has been removed.  */
static void
test_removed_registration_is_gone_at_once (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, 0, entry (100, 1));
  bgap_server_view_remove (view, 1000, "i-1");
  assert_int_equal (report.last, BGAP_SERVER_GONE);
  assert_null (bgap_server_view_find (view, "i-1"));
  bgap_server_view_free (view);
}

/* Guards against servers that are removed because the store had an outage, and
   against those that are never removed although they do not register
   again.  */
static void
test_registration_expires_in_an_outage (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, 0, entry (100, 1));
  bgap_server_view_store_failed (view, 5000);
  bgap_server_view_store_answered (view, 5500);
  bgap_server_view_remove (view, 5600, "i-1");
  assert_non_null (bgap_server_view_find (view, "i-1"));
  put (view, 7000, entry (100, 2));
  bgap_server_view_tick (view, 9000);
  assert_non_null (bgap_server_view_find (view, "i-1"));
  bgap_server_view_store_failed (view, 10000);
  bgap_server_view_store_answered (view, 10500);
  bgap_server_view_remove (view, 10600, "i-1");
  bgap_server_view_store_answered (view, 11600);
  bgap_server_view_tick (view, 12400);
  assert_non_null (bgap_server_view_find (view, "i-1"));
  /* The server may have registered again: the registrations were last read too
     early.  */
  bgap_server_view_tick (view, 12600);
  assert_non_null (bgap_server_view_find (view, "i-1"));
  bgap_server_view_store_answered (view, 12700);
  bgap_server_view_tick (view, 12700);
  assert_null (bgap_server_view_find (view, "i-1"));
  bgap_server_view_free (view);
}

/* A relay forwards changes only. Guards against its subscribers, which drop a
   server whose registration has expired and never hear that it has registered
   again.  */
static void
test_return_of_a_missing_server_is_reported (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, 0, entry (100, 1));
  bgap_server_view_store_failed (view, 5000);
  bgap_server_view_store_answered (view, 5500);
  bgap_server_view_remove (view, 5600, "i-1");
  assert_int_equal (report.count, 1);
  put (view, 6000, entry (100, 2));
  assert_int_equal (report.last, BGAP_SERVER_RETURNED);
  put (view, 6900, entry (100, 3));
  assert_int_equal (report.count, 2);
  bgap_server_view_free (view);
}

/* A server shuts down a second after this instance can reach the store again.
   Guards against requests to it for as long as a registration that expired in
   the outage may be missing.  */
static void
test_server_that_leaves_after_an_outage (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, 0, entry (100, 1));
  bgap_server_view_store_failed (view, 5000);
  bgap_server_view_store_answered (view, 5500);
  bgap_server_view_store_answered (view, 6500);
  bgap_server_view_remove (view, 6600, "i-1");
  assert_null (bgap_server_view_find (view, "i-1"));
  bgap_server_view_free (view);
}

/* An instance that was cut off reaches the store again, and reads the
   registrations only 0.6 s later. Guards against counting the time for which a
   registration may be missing from that read: a server that had left during
   the cut then got requests for 3.1 s after the end of the cut.  */
static void
test_missing_time_counts_from_the_return_of_the_store (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, 0, entry (100, 1));
  bgap_server_view_store_failed (view, 3000);
  bgap_server_view_store_reachable (view, 13230);
  bgap_server_view_store_failed (view, 13540);
  bgap_server_view_store_reachable (view, 13550);
  bgap_server_view_store_answered (view, 13830);
  bgap_server_view_begin_load (view);
  bgap_server_view_end_load (view, 13830);
  bgap_server_view_store_answered (view, 14880);
  bgap_server_view_tick (view, 15549);
  assert_non_null (bgap_server_view_find (view, "i-1"));
  bgap_server_view_tick (view, 15550);
  assert_null (bgap_server_view_find (view, "i-1"));
  bgap_server_view_free (view);
}

/* Guards against the removal of live servers whose registrations expired in an
   outage, if the first read of the registrations is late.  */
static void
test_late_first_read_removes_no_live_server (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, 0, entry (100, 1));
  bgap_server_view_store_failed (view, 5000);
  bgap_server_view_store_reachable (view, 5500);
  bgap_server_view_store_answered (view, 6400);
  bgap_server_view_remove (view, 6400, "i-1");
  bgap_server_view_tick (view, 6500);
  assert_non_null (bgap_server_view_find (view, "i-1"));
  put (view, 7300, entry (100, 2));
  bgap_server_view_tick (view, 9000);
  assert_non_null (bgap_server_view_find (view, "i-1"));
  bgap_server_view_free (view);
}

/* Guards against connections to the old address that are still used after a
   server has registered under another one.  */
static void
test_other_address_is_another_server (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, 0, entry (100, 1));
  struct bgap_server_entry moved = entry (200, 1);
  snprintf (moved.address, sizeof moved.address, "10.0.0.2:80");
  put (view, 100, moved);
  assert_int_equal (report.count, 3);
  assert_int_equal (report.last, BGAP_SERVER_ADDED);
  bgap_server_view_free (view);
}

/* Guards against requests to servers that are gone, after the store was
   restored from a copy that still has their registrations.  */
static void
test_registration_of_a_copy_adds_no_former_server (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, 0, entry (100, 7));
  bgap_server_view_remove (view, 1000, "i-1");
  put (view, 5000, entry (100, 3));
  put (view, 5100, entry (100, 7));
  assert_null (bgap_server_view_find (view, "i-1"));
  put (view, 5200, entry (90, 20));
  assert_null (bgap_server_view_find (view, "i-1"));
  /* It has registered again: its removal was a mistake.  */
  put (view, 6000, entry (100, 8));
  assert_int_equal (report.last, BGAP_SERVER_ADDED);
  bgap_server_view_remove (view, 7000, "i-1");
  put (view, 8000, entry (700, 1));
  assert_int_equal (report.last, BGAP_SERVER_ADDED);
  bgap_server_view_remove (view, 9000, "i-1");
  put (view, 9100, entry (100, 7));
  assert_null (bgap_server_view_find (view, "i-1"));
  bgap_server_view_free (view);
}

/* Guards against servers that stay in the view although a complete load does
   not contain them.  */
static void
test_load_removes_what_is_missing (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, 0, entry (100, 1));
  bgap_server_view_begin_load (view);
  bgap_server_view_end_load (view, 50);
  assert_int_equal (report.last, BGAP_SERVER_GONE);
  bgap_server_view_free (view);
}

/* Guards against a queue allowance of all servers that follows one odd
   registration.  */
static void
test_odd_registration_does_not_set_the_usual_slots (void **state)
{
  (void)state;
  static const uint32_t odd_at[] = { 0, 2, 4 };
  for (size_t i = 0; i < sizeof odd_at / sizeof odd_at[0]; i++)
    {
      struct report report;
      struct bgap_server_view *view = view_new (&report);
      assert_int_equal (bgap_server_view_usual_slots (view, "reads"), 0);
      for (uint32_t number = 0; number < 5; number++)
        {
          struct bgap_server_entry value = entry (100, 1);
          snprintf (value.id, sizeof value.id, "i-%u", number);
          value.slots = number == odd_at[i] ? 65535 : 4;
          put (view, 0, value);
        }
      assert_int_equal (bgap_server_view_usual_slots (view, "reads"), 4);
      assert_int_equal (bgap_server_view_usual_slots (view, "writes"), 0);
      bgap_server_view_free (view);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_odd_registration_does_not_set_the_usual_slots),
    cmocka_unit_test (test_only_changes_are_reported),
    cmocka_unit_test (test_removed_registration_is_gone_at_once),
    cmocka_unit_test (test_registration_expires_in_an_outage),
    cmocka_unit_test (test_return_of_a_missing_server_is_reported),
    cmocka_unit_test (test_server_that_leaves_after_an_outage),
    cmocka_unit_test (test_missing_time_counts_from_the_return_of_the_store),
    cmocka_unit_test (test_late_first_read_removes_no_live_server),
    cmocka_unit_test (test_other_address_is_another_server),
    cmocka_unit_test (test_registration_of_a_copy_adds_no_former_server),
    cmocka_unit_test (test_load_removes_what_is_missing),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
