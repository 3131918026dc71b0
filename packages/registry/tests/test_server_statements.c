#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "server_view_fixture.h"
/* A server that has stated that it leaves, and registers on as ready.  */
static struct bgap_server_view *
view_of_leaving_server (struct report *report)
{
  struct bgap_server_view *view = view_new (report);
  put (view, 0, entry (100, 7));
  assert_true (bgap_server_view_leaving (view, "i-1", 100, 900));
  assert_int_equal (report->last, BGAP_SERVER_DRAINING);
  assert_false (bgap_server_view_leaving (view, "i-1", 100, 950));
  return view;
}

static void
expect_leaving (const struct bgap_server_view *view, bool leaving)
{
  const struct bgap_known_server *server = bgap_server_view_find (view, "i-1");
  assert_non_null (server);
  assert_int_equal (server->entry.draining, leaving);
  assert_int_equal (server->leaving_since_ms, leaving ? 900 : 0);
}

/* Guards against a server that is used again because it is still registered as
   ready, in a newer registration or an older one.  */
static void
test_ready_registration_does_not_undo_leaving (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_of_leaving_server (&report);
  put (view, 1000, entry (100, 8));
  expect_leaving (view, true);
  put (view, 1100, entry (100, 3));
  expect_leaving (view, true);
  assert_int_equal (report.count, 2);
  bgap_server_view_begin_load (view);
  put (view, 1200, entry (100, 9));
  bgap_server_view_end_load (view, 1200);
  expect_leaving (view, true);
  bgap_server_view_free (view);
}

/* Guards against a server that is used again because its registration expired
   while the store was away, or was removed, and then came back.  */
static void
test_return_does_not_undo_leaving (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_of_leaving_server (&report);
  bgap_server_view_store_failed (view, 1000);
  bgap_server_view_store_answered (view, 3000);
  bgap_server_view_remove (view, 3000, "i-1");
  assert_null (bgap_server_view_find (view, "i-1"));
  put (view, 3100, entry (100, 7));
  assert_null (bgap_server_view_find (view, "i-1"));
  put (view, 5000, entry (100, 8));
  expect_leaving (view, true);
  assert_int_equal (report.last, BGAP_SERVER_DRAINING);
  bgap_server_view_free (view);
}

static void
expect_draining_since (const struct bgap_server_view *view, int64_t since_ms)
{
  const struct bgap_known_server *server = bgap_server_view_find (view, "i-1");
  assert_non_null (server);
  assert_int_equal (server->draining_since_ms, since_ms);
}

/* Guards against a grace period that begins anew when a draining server was
   removed and registers again.  */
static void
test_return_does_not_begin_a_drain_anew (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  struct bgap_server_entry draining = entry (100, 7);
  put (view, 0, entry (100, 6));
  expect_draining_since (view, 0);
  draining.draining = true;
  put (view, 900, draining);
  draining.sequence++;
  put (view, 1000, draining);
  bgap_server_view_remove (view, 1100, "i-1");
  draining.sequence++;
  put (view, 5000, draining);
  expect_draining_since (view, 900);
  put (view, 6000, entry (5500, 1));
  expect_draining_since (view, 0);
  bgap_server_view_free (view);
  view = view_of_leaving_server (&report);
  bgap_server_view_remove (view, 1000, "i-1");
  put (view, 5000, entry (100, 8));
  expect_draining_since (view, 900);
  bgap_server_view_free (view);
}

static void
begin_notice (struct bgap_server_view *view, int64_t now_ms)
{
  bgap_repeat_begin (
      &bgap_server_view_process (view, "i-1", 100)->leaving_notice, now_ms,
      &(struct bgap_repeat_desc){ .first_ms = 400, .max_ms = 8000 });
}

/* Guards against other instances that are not told again because the server
   was removed or registered anew, and against a message about the process
   before.  */
static void
test_notice_of_leaving_is_kept_for_the_process (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_of_leaving_server (&report);
  begin_notice (view, 900);
  put (view, 1000, entry (100, 8));
  bgap_server_view_remove (view, 1100, "i-1");
  put (view, 1200, entry (100, 9));
  struct bgap_known_server *server = bgap_server_view_find (view, "i-1");
  assert_ptr_equal (bgap_server_view_take_notice (view, 1200), server);
  assert_null (bgap_server_view_take_notice (view, 1200));
  put (view, 2000, entry (2000, 1));
  assert_null (bgap_server_view_take_notice (view, 60000));
  bgap_server_view_free (view);
}

/* Guards against an instance that starts after the registration was removed,
   reads it again from a restored copy of the store, and uses the server; and
   against repeats for ever.  */
static void
test_notice_of_leaving_outlives_the_registration (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_of_leaving_server (&report);
  begin_notice (view, 900);
  bgap_server_view_remove (view, 1000, "i-1");
  struct bgap_known_server *server
      = bgap_server_view_process (view, "i-1", 100);
  assert_non_null (server);
  assert_ptr_equal (bgap_server_view_take_notice (view, 60000), server);
  assert_null (bgap_server_view_take_notice (view, 61000));
  bgap_server_view_free (view);
}

/* Guards against a restarted server that is not used, and against the answer
   of an earlier process that stops the present one.  */
static void
test_restarted_server_is_not_leaving (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_of_leaving_server (&report);
  put (view, 2000, entry (2000, 1));
  expect_leaving (view, false);
  assert_false (bgap_server_view_leaving (view, "i-1", 100, 2500));
  expect_leaving (view, false);
  put (view, 3000, entry (2000, 2));
  expect_leaving (view, false);
  assert_false (bgap_server_view_leaving (view, "i-2", 100, 2500));
  bgap_server_view_free (view);
}

/* Guards against a server whose last answers arrive after its registration was
   removed, and that is used when it is registered again.  */
static void
test_leaving_is_kept_for_a_removed_server (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, 0, entry (100, 7));
  bgap_server_view_remove (view, 800, "i-1");
  assert_true (bgap_server_view_leaving (view, "i-1", 100, 900));
  assert_int_equal (report.last, BGAP_SERVER_GONE);
  put (view, 1000, entry (100, 8));
  expect_leaving (view, true);
  bgap_server_view_free (view);
}

static void
expect_limit (const struct bgap_server_view *view, double per_s,
              int64_t heard_ms)
{
  const struct bgap_known_server *server = bgap_server_view_find (view, "i-1");
  assert_non_null (server);
  assert_true (server->limit_per_s == per_s);
  assert_int_equal (server->limit_heard_ms, heard_ms);
}

/* Guards against a server whose rate limit is forgotten because its
   registration lapsed or came anew.  */
static void
test_limit_outlives_the_registration (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, 0, entry (100, 7));
  expect_limit (view, 0, 0);
  bgap_server_view_limited (view, "i-1", 100, 2.5, 900);
  expect_limit (view, 2.5, 900);
  put (view, 1000, entry (100, 8));
  expect_limit (view, 2.5, 900);
  bgap_server_view_remove (view, 4000, "i-1");
  put (view, 9000, entry (100, 9));
  expect_limit (view, 2.5, 900);
  struct bgap_server_entry moved = entry (100, 10);
  snprintf (moved.address, sizeof moved.address, "10.0.0.2:80");
  put (view, 10000, moved);
  expect_limit (view, 2.5, 900);
  bgap_server_view_free (view);
}

/* Guards against a limit that is brought back by an older statement, or that
   is lost because the answer which states it arrives after the registration
   lapsed.  */
static void
test_last_stated_limit_counts (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, 0, entry (100, 7));
  bgap_server_view_limited (view, "i-1", 100, 2.5, 900);
  bgap_server_view_limited (view, "i-1", 100, 4, 800);
  expect_limit (view, 2.5, 900);
  bgap_server_view_remove (view, 4000, "i-1");
  bgap_server_view_limited (view, "i-1", 100, 1.5, 4100);
  put (view, 9000, entry (100, 8));
  expect_limit (view, 1.5, 4100);
  bgap_server_view_limited (view, "i-1", 100, 0, 9100);
  bgap_server_view_limited (view, "i-1", 100, 1.5, 9000);
  bgap_server_view_remove (view, 9200, "i-1");
  put (view, 9900, entry (100, 9));
  expect_limit (view, 0, 9100);
  bgap_server_view_free (view);
}

/* Guards against a new process that is limited by what the earlier one stated,
   in answers before its start or after it.  */
static void
test_limit_ends_with_the_process (void **state)
{
  (void)state;
  struct report report;
  struct bgap_server_view *view = view_new (&report);
  put (view, 0, entry (100, 7));
  bgap_server_view_limited (view, "i-1", 100, 2.5, 900);
  put (view, 2000, entry (2000, 1));
  expect_limit (view, 0, 0);
  bgap_server_view_limited (view, "i-1", 100, 2.5, 2100);
  expect_limit (view, 0, 0);
  bgap_server_view_limited (view, "i-1", 2000, 3, 2200);
  bgap_server_view_remove (view, 2300, "i-1");
  put (view, 5000, entry (4000, 1));
  expect_limit (view, 0, 0);
  bgap_server_view_limited (view, "i-2", 4000, 2.5, 5100);
  assert_null (bgap_server_view_find (view, "i-2"));
  bgap_server_view_free (view);
}

static void
on_gone (void *context, struct bgap_known_server *server,
         enum bgap_server_change change)
{
  struct bgap_server_view **view = context;
  if (change == BGAP_SERVER_GONE)
    bgap_server_view_limited (*view, server->entry.id,
                              server->entry.started_ms, 2.5, 900);
}

/* Guards against a limit that is lost because it is stored only as the server
   is removed.  */
static void
test_limit_is_stored_at_the_removal (void **state)
{
  (void)state;
  struct bgap_server_view *view = NULL;
  view = bgap_server_view_new (
      &(struct bgap_server_view_ops){ .changed = on_gone, .context = &view });
  assert_non_null (view);
  put (view, 0, entry (100, 7));
  bgap_server_view_remove (view, 1000, "i-1");
  put (view, 5000, entry (100, 8));
  expect_limit (view, 2.5, 900);
  bgap_server_view_free (view);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_ready_registration_does_not_undo_leaving),
    cmocka_unit_test (test_return_does_not_undo_leaving),
    cmocka_unit_test (test_return_does_not_begin_a_drain_anew),
    cmocka_unit_test (test_notice_of_leaving_is_kept_for_the_process),
    cmocka_unit_test (test_notice_of_leaving_outlives_the_registration),
    cmocka_unit_test (test_restarted_server_is_not_leaving),
    cmocka_unit_test (test_leaving_is_kept_for_a_removed_server),
    cmocka_unit_test (test_limit_outlives_the_registration),
    cmocka_unit_test (test_last_stated_limit_counts),
    cmocka_unit_test (test_limit_ends_with_the_process),
    cmocka_unit_test (test_limit_is_stored_at_the_removal),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
