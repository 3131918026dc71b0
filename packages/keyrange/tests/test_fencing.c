#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "fixture.h"

/* The store is restored, and the granter is lost with the records by which it
   may have moved keys. Its successor releases the keys at all servers but
   their recorded holder, so that it need not wait for the leases that it does
   not know of. Guards against two holders where that is not enough.  */

#define START_MS 1000
#define STEP_MS 10

/* Time of the restore, and how long servers that live may take to register
   again.  */
#define RESTORED_MS 5000
#define REGISTERED_WITHIN_MS 2000

/* Until when an unknown granter can have renewed leases, and their longest
   duration on a slow clock.  */
#define VIEW_MS 9500
#define LONGEST_MS 10200

#define LAST_KEY (BGAP_KEY_COUNT - 1)

/**
 * struct takeover - a granter that takes over, and servers s0 and s1
 * @unreachable: server that gets no call
 * @granted_ms: when each server was first granted the keys, 0 for never
 * @releases: releases that each server has confirmed
 */
struct takeover
{
  struct bgap_granter *granter;
  int64_t now_ms;
  const char *unreachable;
  int64_t granted_ms[2];
  uint32_t releases[2];
};

/* The record of the former granter, by which s0 has all keys.  */
static void
read_former_record (struct takeover *t)
{
  struct bgap_assignment record = assignment_of ("n1", INCARNATION + 1, 3);
  record.timeline = 1;
  set_holder (&record, 0, LAST_KEY, "s0");
  bgap_granter_on_assignment (t->granter, t->now_ms, &record);
  bgap_assignment_shutdown (&record);
}

static void
restore (struct takeover *t)
{
  t->now_ms = RESTORED_MS;
  bgap_granter_on_timeline (t->granter, t->now_ms, 2);
  bgap_granter_set_next_offset (t->granter, 2);
  read_former_record (t);
  bgap_granter_on_loaded (t->granter, t->now_ms);
  bgap_granter_set_successor (t->granter, t->now_ms, true, true);
}

/* @knows_earlier: it has run since before the restore.  */
static void
takeover_setup (struct takeover *t, bool knows_earlier)
{
  *t = (struct takeover){ .granter = granter_new (), .now_ms = START_MS };
  add_server (t->granter, t->now_ms, "s0", 0);
  add_server (t->granter, t->now_ms, "s1", 0);
  if (knows_earlier)
    {
      bgap_granter_on_timeline (t->granter, t->now_ms, 1);
      read_former_record (t);
      bgap_granter_on_loaded (t->granter, t->now_ms);
    }
  restore (t);
}

static void
takeover_shutdown (struct takeover *t)
{
  bgap_granter_shutdown (t->granter);
}

static void
carry_out (struct takeover *t, const struct bgap_granter_action *action)
{
  uint32_t server = action->server[1] == '1';
  if (action->kind == BGAP_GRANTER_APPEND)
    {
      append_record (t->granter, t->now_ms, action);
      return;
    }
  if (action->call == 0)
    return;
  if (t->unreachable != NULL && strcmp (t->unreachable, action->server) == 0)
    {
      bgap_granter_on_reply (t->granter, t->now_ms, action->call,
                             BGAP_GRANTER_NOT_SENT, "");
      return;
    }
  if (action->kind == BGAP_GRANTER_GRANT && t->granted_ms[server] == 0)
    t->granted_ms[server] = t->now_ms;
  t->releases[server] += action->kind == BGAP_GRANTER_RELEASE;
  bgap_granter_on_reply (t->granter, t->now_ms, action->call,
                         BGAP_GRANTER_DONE, "");
}

static void
run_until (struct takeover *t, int64_t until_ms)
{
  struct bgap_granter_action action;
  for (; t->now_ms < until_ms; t->now_ms += STEP_MS)
    {
      bgap_granter_on_view (t->granter, t->now_ms, t->now_ms - 1);
      bgap_granter_tick (t->granter, t->now_ms);
      while (bgap_granter_next_action (t->granter, &action))
        carry_out (t, &action);
    }
}

/* Runs until one of the servers is granted the keys.  */
static void
run_until_granted (struct takeover *t)
{
  while (t->granted_ms[0] == 0 && t->granted_ms[1] == 0
         && t->now_ms < RESTORED_MS + 60000)
    run_until (t, t->now_ms + STEP_MS);
}

static void
test_all_servers_release (void **state)
{
  struct takeover t;
  (void)state;
  takeover_setup (&t, true);
  run_until_granted (&t);
  assert_int_equal (t.releases[1], 1);
  assert_int_equal (t.granted_ms[1], 0);
  /* A server may not have registered again before.  */
  assert_true (t.granted_ms[0] >= RESTORED_MS + REGISTERED_WITHIN_MS);
  assert_true (t.granted_ms[0] < RESTORED_MS + REGISTERED_WITHIN_MS + 1000);
  takeover_shutdown (&t);
}

/* Any server that does not answer may have been granted the keys.  */
static void
test_unreachable_server_is_awaited (void **state)
{
  struct takeover t;
  (void)state;
  takeover_setup (&t, true);
  t.unreachable = "s1";
  run_until_granted (&t);
  assert_true (t.granted_ms[0] >= RESTORED_MS + VIEW_MS + LONGEST_MS);
  takeover_shutdown (&t);
}

static void
test_server_that_left_is_awaited (void **state)
{
  struct takeover t;
  (void)state;
  takeover_setup (&t, true);
  t.unreachable = "s1";
  bgap_granter_remove_server (t.granter, t.now_ms, "s1");
  run_until_granted (&t);
  assert_true (t.granted_ms[0] >= RESTORED_MS + VIEW_MS + LONGEST_MS);
  takeover_shutdown (&t);
}

/* A server that had left long before the restore has no lease.  */
static void
test_server_that_left_long_ago_is_not_awaited (void **state)
{
  struct takeover t;
  (void)state;
  t = (struct takeover){ .granter = granter_new (), .now_ms = -60000 };
  add_server (t.granter, t.now_ms, "s0", 0);
  add_server (t.granter, t.now_ms, "s1", 0);
  bgap_granter_on_timeline (t.granter, t.now_ms, 1);
  bgap_granter_remove_server (t.granter, t.now_ms, "s1");
  restore (&t);
  t.unreachable = "s1";
  run_until_granted (&t);
  assert_true (t.granted_ms[0] < RESTORED_MS + REGISTERED_WITHIN_MS + 1000);
  takeover_shutdown (&t);
}

/* A server ends and starts again after it has confirmed the release, while
   another one has not yet. The new process knows no token.  */
static void
test_new_process_releases_again (void **state)
{
  struct takeover t;
  (void)state;
  takeover_setup (&t, true);
  add_server (t.granter, t.now_ms, "s2", 0);
  t.unreachable = "s2";
  run_until (&t, RESTORED_MS + 2000);
  assert_int_equal (t.releases[1], 1);
  bgap_granter_set_server (
      t.granter, t.now_ms,
      &(struct bgap_granter_server){
          .id = "s1", .started_ms = 6, .sequence = 1, .slots = 4 });
  run_until (&t, RESTORED_MS + 4000);
  assert_int_equal (t.releases[1], 2);
  takeover_shutdown (&t);
}

/* Registrations that the copy lacks and that have not come back are not known
   to an instance that has started since: a server may be cut off from the
   store.  */
static void
test_instance_that_started_since_waits (void **state)
{
  struct takeover t;
  (void)state;
  takeover_setup (&t, false);
  run_until_granted (&t);
  assert_int_equal (t.releases[1], 0);
  assert_true (t.granted_ms[0] >= RESTORED_MS + VIEW_MS + LONGEST_MS);
  takeover_shutdown (&t);
}

/* Once all servers have released the keys, their recorded holder may still
   have a lease of the lost granter.  */
static void
test_recorded_holder_keeps_its_lease (void **state)
{
  struct takeover t;
  (void)state;
  takeover_setup (&t, true);
  run_until (&t, RESTORED_MS + REGISTERED_WITHIN_MS);
  assert_int_equal (t.releases[1], 1);
  t.unreachable = "s0";
  run_until_granted (&t);
  assert_true (t.granted_ms[1] >= RESTORED_MS + VIEW_MS + LONGEST_MS);
  takeover_shutdown (&t);
}

/* An instance took over after the restore and is lost before the leases that
   it did not know of have ended.  */
static void
test_successor_waits_for_the_rest (void **state)
{
  const int64_t rest_ms = 15000;
  struct bgap_assignment record = assignment_of ("n1", INCARNATION + 2, 5);
  struct takeover t;
  (void)state;
  takeover_setup (&t, false);
  record.timeline = 2;
  record.unconfirmed_ms = rest_ms;
  set_holder (&record, 0, LAST_KEY, "s0");
  record.ranges[0].unconfirmed = true;
  bgap_granter_on_assignment (t.granter, t.now_ms, &record);
  bgap_granter_set_successor (t.granter, t.now_ms, true, true);
  run_until_granted (&t);
  assert_true (t.granted_ms[0] >= RESTORED_MS + rest_ms);
  assert_true (t.granted_ms[0] < RESTORED_MS + rest_ms + 1000);
  bgap_assignment_shutdown (&record);
  takeover_shutdown (&t);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_all_servers_release),
    cmocka_unit_test (test_unreachable_server_is_awaited),
    cmocka_unit_test (test_server_that_left_is_awaited),
    cmocka_unit_test (test_server_that_left_long_ago_is_not_awaited),
    cmocka_unit_test (test_new_process_releases_again),
    cmocka_unit_test (test_instance_that_started_since_waits),
    cmocka_unit_test (test_recorded_holder_keeps_its_lease),
    cmocka_unit_test (test_successor_waits_for_the_rest),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
