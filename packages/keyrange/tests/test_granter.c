#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "fixture.h"

/* Guards against keys that are not granted after all instances have restarted:
   the granter of the record is alive by name, but is a new process.  */
static void
test_restarted_granter_takes_over (void **state)
{
  struct bgap_granter *granter = granter_new ();
  struct bgap_assignment old = assignment_of ("n0", INCARNATION + 1, 3);
  struct bgap_assignment proposal = { 0 };
  uint32_t grants;
  (void)state;
  set_holder (&old, 0, BGAP_KEY_COUNT - 1, "s0");
  add_server (granter, 100, "s0", 0);
  bgap_granter_on_assignment (granter, 100, &old);
  bgap_granter_on_loaded (granter, 100);
  bgap_granter_set_successor (granter, 100, false, false);
  bgap_granter_tick (granter, 200);
  assert_true (take_actions (granter, &proposal, &grants));
  assert_int_equal (proposal.incarnation, INCARNATION);
  assert_int_equal (proposal.token, 4);
  assert_string_equal (proposal.ranges[0].server, "s0");
  bgap_granter_on_assignment (granter, 210, &proposal);
  bgap_granter_on_view (granter, 210, 205);
  bgap_granter_tick (granter, 210);
  take_actions (granter, &proposal, &grants);
  assert_int_equal (grants, 1);
  bgap_assignment_shutdown (&old);
  bgap_assignment_shutdown (&proposal);
  bgap_granter_shutdown (granter);
}

/* Creates an active granter with the keys divided between two servers.  */
static struct bgap_granter *
active_granter (double latency_0, double latency_1)
{
  struct bgap_granter *granter = granter_new ();
  struct bgap_assignment own = assignment_of ("n0", INCARNATION, 3);
  set_holder (&own, 0, 32767, "s0");
  set_holder (&own, 32768, BGAP_KEY_COUNT - 1, "s1");
  add_server (granter, 100, "s0", latency_0);
  add_server (granter, 100, "s1", latency_1);
  bgap_granter_on_loaded (granter, 100);
  bgap_granter_on_assignment (granter, 100, &own);
  bgap_granter_on_view (granter, 100, 95);
  bgap_granter_tick (granter, 110);
  bgap_assignment_shutdown (&own);
  return granter;
}

static void
count_requests (struct bgap_granter *granter, uint32_t first, uint32_t last,
                uint32_t each)
{
  for (uint32_t key = first; key <= last; key++)
    for (uint32_t i = 0; i < each; i++)
      bgap_granter_count_request (granter, key);
}

/* Load on many hot keys of one server. Guards against adjacent hot keys that
   stay together on an overloaded server.  */
static void
test_hot_keys_are_spread (void **state)
{
  struct bgap_granter *granter = active_granter (200, 200);
  struct bgap_assignment proposal = { 0 };
  uint32_t grants;
  uint32_t moving = 0;
  (void)state;
  take_actions (granter, &proposal, &grants);
  count_requests (granter, 1000, 1199, 1);
  bgap_granter_tick (granter, 900);
  assert_true (take_actions (granter, &proposal, &grants));
  for (uint32_t i = 0; i < proposal.count; i++)
    if (proposal.ranges[i].moving)
      moving += proposal.ranges[i].last - proposal.ranges[i].first + 1;
  assert_true (moving >= 50);
  assert_true (moving < 200);
  bgap_assignment_shutdown (&proposal);
  bgap_granter_shutdown (granter);
}

/* Load on a single key above the capacity of a server. Guards against a key
   that is moved back and forth between equal servers, which only disturbs its
   requests.  */
static void
test_single_hot_key_stays (void **state)
{
  struct bgap_granter *granter = active_granter (200, 200);
  struct bgap_assignment proposal = { 0 };
  uint32_t grants;
  (void)state;
  take_actions (granter, &proposal, &grants);
  count_requests (granter, 1000, 1000, 200);
  bgap_granter_tick (granter, 900);
  if (take_actions (granter, &proposal, &grants))
    assert_false (bgap_assignment_find (&proposal, 1000)->moving);
  bgap_assignment_shutdown (&proposal);
  bgap_granter_shutdown (granter);
}

/* The same with a server that is twice as fast. Guards against a hot key that
   stays on a slow server.  */
static void
test_single_hot_key_moves_to_a_faster_server (void **state)
{
  struct bgap_granter *granter = active_granter (400, 200);
  struct bgap_assignment proposal = { 0 };
  uint32_t grants;
  (void)state;
  take_actions (granter, &proposal, &grants);
  count_requests (granter, 1000, 1000, 200);
  bgap_granter_tick (granter, 900);
  assert_true (take_actions (granter, &proposal, &grants));
  assert_true (bgap_assignment_find (&proposal, 1000)->moving);
  bgap_assignment_shutdown (&proposal);
  bgap_granter_shutdown (granter);
}

/* Guards against moves when the servers have spare capacity for the load.  */
static void
test_idle_servers_keep_their_keys (void **state)
{
  struct bgap_granter *granter = active_granter (5, 5);
  struct bgap_assignment proposal = { 0 };
  uint32_t grants;
  (void)state;
  take_actions (granter, &proposal, &grants);
  count_requests (granter, 1000, 1199, 1);
  bgap_granter_tick (granter, 900);
  assert_false (take_actions (granter, &proposal, &grants));
  bgap_assignment_shutdown (&proposal);
  bgap_granter_shutdown (granter);
}

/* Number of keys that the proposal takes from a server.  */
static uint32_t
moving_keys (const struct bgap_assignment *proposal, const char *server)
{
  uint32_t moving = 0;
  for (uint32_t i = 0; i < proposal->count; i++)
    if (proposal->ranges[i].moving
        && strcmp (proposal->ranges[i].server, server) == 0)
      moving += proposal->ranges[i].last - proposal->ranges[i].first + 1;
  return moving;
}

/* Load on a single key whose server has no other, and a new server. Guards
   against a new server that gets no keys because the most loaded one has none
   to give.  */
static void
add_server_beside_hot_key (double latency_ms)
{
  struct bgap_granter *granter = granter_new ();
  struct bgap_assignment own = assignment_of ("n0", INCARNATION, 3);
  struct bgap_assignment proposal = { 0 };
  uint32_t grants;
  set_holder (&own, 0, BGAP_KEY_COUNT - 1, "s1");
  set_holder (&own, 1000, 1000, "s0");
  add_server (granter, 100, "s0", 200);
  add_server (granter, 100, "s1", 200);
  add_server (granter, 100, "s2", latency_ms);
  bgap_granter_on_loaded (granter, 100);
  bgap_granter_on_assignment (granter, 100, &own);
  bgap_granter_on_view (granter, 100, 95);
  bgap_granter_tick (granter, 110);
  take_actions (granter, &proposal, &grants);
  count_requests (granter, 1000, 1000, 400);
  bgap_granter_tick (granter, 900);
  assert_true (take_actions (granter, &proposal, &grants));
  assert_int_equal (moving_keys (&proposal, "s0"), 0);
  uint32_t moving = moving_keys (&proposal, "s1");
  assert_true (moving >= BGAP_KEY_COUNT / 5);
  assert_true (moving <= BGAP_KEY_COUNT / 2 + 1);
  bgap_assignment_shutdown (&own);
  bgap_assignment_shutdown (&proposal);
  bgap_granter_shutdown (granter);
}

/* The new server may be as fast as the others, or slower, so that another
   server is further below its share.  */
static void
test_server_that_joins_beside_a_hot_key (void **state)
{
  (void)state;
  add_server_beside_hot_key (200);
  add_server_beside_hot_key (400);
}

/* Carries out the actions: appends are read back, and only "s1" answers
   grants. Returns whether a grant was sent to it.  */
static bool
run_with_unresponsive_s0 (struct bgap_granter *granter, int64_t now_ms)
{
  struct bgap_granter_action action;
  bool granted = false;
  while (bgap_granter_next_action (granter, &action))
    {
      struct bgap_assignment read = { 0 };
      bool is_s1 = strcmp (action.server, "s1") == 0;
      if (action.kind != BGAP_GRANTER_APPEND)
        {
          granted = granted || (is_s1 && action.kind == BGAP_GRANTER_GRANT);
          bgap_granter_on_reply (granter, now_ms, action.call,
                                 is_s1 ? BGAP_GRANTER_DONE : BGAP_GRANTER_LOST,
                                 "");
          continue;
        }
      assert_int_equal (
          bgap_assignment_decode (&read, action.bytes, action.size, NULL),
          BGAP_OK);
      bgap_granter_on_append (granter, now_ms, action.call,
                              BGAP_GRANTER_APPENDED);
      bgap_granter_on_assignment (granter, now_ms, &read);
      bgap_assignment_shutdown (&read);
    }
  return granted;
}

/* Runs a granter that takes over @record and steps down at once; its last
   record is stored in @last.  */
static void
take_over_and_step_down (const struct bgap_assignment *record,
                         struct bgap_assignment *last)
{
  struct bgap_granter *granter = NULL;
  uint32_t grants;
  assert_int_equal (bgap_granter_setup (
                        &granter,
                        &(struct bgap_granter_desc){
                            .instance = "n1", .incarnation = INCARNATION + 1 },
                        NULL),
                    BGAP_OK);
  add_server (granter, 100, "s0", 0);
  bgap_granter_on_assignment (granter, 100, record);
  bgap_granter_on_loaded (granter, 100);
  bgap_granter_set_successor (granter, 100, true, true);
  bgap_granter_tick (granter, 200);
  assert_true (take_actions (granter, last, &grants));
  bgap_granter_on_assignment (granter, 210, last);
  bgap_granter_step_down (granter, 300);
  bgap_granter_tick (granter, 300);
  assert_true (take_actions (granter, last, &grants));
  assert_true (last->released);
  bgap_granter_shutdown (granter);
}

/* Guards against two holders: a partitioned granter goes on granting, the next
   one steps down in order, and the third one concludes that no leases are
   left.  */
static void
test_grants_of_a_granter_before_the_last_count (void **state)
{
  struct bgap_granter *granter = granter_new ();
  struct bgap_assignment partitioned
      = assignment_of ("n9", INCARNATION + 9, 3);
  struct bgap_assignment last = { 0 };
  (void)state;
  set_holder (&partitioned, 0, BGAP_KEY_COUNT - 1, "s0");
  take_over_and_step_down (&partitioned, &last);
  add_server (granter, 310, "s0", 0);
  add_server (granter, 310, "s1", 0);
  bgap_granter_on_assignment (granter, 310, &last);
  bgap_granter_on_loaded (granter, 310);
  bgap_granter_set_successor (granter, 310, true, false);
  int64_t granted_ms = 0;
  for (int64_t now_ms = 400; now_ms < 20000 && granted_ms == 0; now_ms += 50)
    {
      bgap_granter_on_view (granter, now_ms, now_ms - 5);
      bgap_granter_tick (granter, now_ms);
      if (run_with_unresponsive_s0 (granter, now_ms))
        granted_ms = now_ms;
    }
  /* The partitioned one may grant for 9.5 s after the takeover, for 2 s
     each.  */
  assert_in_range (granted_ms, 200 + 9500 + 2000, 16000);
  bgap_assignment_shutdown (&partitioned);
  bgap_assignment_shutdown (&last);
  bgap_granter_shutdown (granter);
}

/* Maximum time for a grant on a machine with a tenth of a core: 0.43 ms of
   processor time.  */
#define SLOW_GRANT_MS 4.3
#define MANY_SERVERS 160u

/**
 * struct slow_machine - a machine that runs one grant after the other
 * @free_ms: when it has run all grants that it was given
 * @lost: number of grants that were answered too late
 * @answered: number of grants of each server that were answered in time
 */
struct slow_machine
{
  double free_ms;
  uint32_t lost;
  uint32_t answered[MANY_SERVERS];
};

static void
run_slow_machine (struct bgap_granter *granter, struct slow_machine *machine,
                  int64_t now_ms, int64_t timeout_ms)
{
  struct bgap_granter_action action;
  while (bgap_granter_next_action (granter, &action))
    {
      if (action.kind != BGAP_GRANTER_GRANT)
        continue;
      double start_ms = machine->free_ms > (double)now_ms ? machine->free_ms
                                                          : (double)now_ms;
      machine->free_ms = start_ms + SLOW_GRANT_MS;
      bool is_late = machine->free_ms - (double)now_ms > (double)timeout_ms;
      machine->lost += is_late;
      if (!is_late)
        machine
            ->answered[(action.first + 1) * MANY_SERVERS / BGAP_KEY_COUNT]++;
      bgap_granter_on_reply (granter, now_ms, action.call,
                             is_late ? BGAP_GRANTER_LOST : BGAP_GRANTER_DONE,
                             "");
    }
}

/* Guards against a granter that sends more grants than its machine can handle:
   the answers are late, live servers count as unresponsive, and their keys
   pile up on the few that answered in time.  */
static void
test_many_ranges_do_not_overload_a_small_machine (void **state)
{
  struct bgap_granter *granter = granter_new ();
  struct bgap_assignment own = assignment_of ("n0", INCARNATION, 3);
  struct slow_machine machine = { 0 };
  (void)state;
  for (uint32_t i = 0; i < MANY_SERVERS; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "s%u", i);
      set_holder (&own, i * BGAP_KEY_COUNT / MANY_SERVERS,
                  (i + 1) * BGAP_KEY_COUNT / MANY_SERVERS - 1, id);
      add_server (granter, 100, id, 0);
    }
  bgap_granter_on_loaded (granter, 100);
  bgap_granter_on_assignment (granter, 100, &own);
  for (int64_t now_ms = 110; now_ms < 12110; now_ms += 10)
    {
      bgap_granter_on_view (granter, now_ms, now_ms - 5);
      bgap_granter_tick (granter, now_ms);
      run_slow_machine (granter, &machine, now_ms, 400);
    }
  assert_int_equal (machine.lost, 0);
  /* 12 s with leases of less than 4 s: at least three grants.  */
  for (uint32_t i = 0; i < MANY_SERVERS; i++)
    assert_true (machine.answered[i] >= 3);
  bgap_assignment_shutdown (&own);
  bgap_granter_shutdown (granter);
}

/* Guards against an assignment that changes when it is encoded and
   decoded.  */
static void
test_assignment_text (void **state)
{
  struct bgap_assignment written = assignment_of ("n0", 0xabcdef, 9);
  struct bgap_assignment read = { 0 };
  struct bgap_buffer text = { 0 };
  struct bgap_error err = { 0 };
  (void)state;
  set_holder (&written, 10, 20, "s0");
  set_holder (&written, 15, 30, "s1");
  written.timeline = 3;
  written.lease_ms = 4321;
  written.unconfirmed_ms = 1234;
  written.ranges[1].unconfirmed = true;
  written.ranges[2].moving = true;
  assert_int_equal (bgap_assignment_encode (&written, &text), BGAP_OK);
  assert_int_equal (bgap_assignment_decode (&read, text.data, text.size, &err),
                    BGAP_OK);
  assert_int_equal (read.count, 4);
  assert_int_equal (read.incarnation, 0xabcdef);
  assert_string_equal (bgap_assignment_find (&read, 14)->server, "s0");
  assert_string_equal (bgap_assignment_find (&read, 15)->server, "s1");
  assert_string_equal (bgap_assignment_find (&read, 31)->server, "");
  assert_int_equal (read.timeline, 3);
  assert_int_equal (read.lease_ms, 4321);
  assert_int_equal (read.unconfirmed_ms, 1234);
  assert_true (read.ranges[1].unconfirmed && !read.ranges[1].moving);
  assert_true (read.ranges[2].moving && !read.ranges[2].unconfirmed);
  text.data[text.size - 3] = '9';
  bgap_assignment_decode (&read, text.data, text.size - 5, &err);
  assert_int_equal (err.status, BGAP_ERR_PROTOCOL);
  bgap_buffer_shutdown (&text);
  bgap_assignment_shutdown (&written);
  bgap_assignment_shutdown (&read);
}

/* Guards against records of an earlier version that are refused because they
   do not state a timeline.  */
static void
test_assignment_of_an_earlier_version (void **state)
{
  static const char text[]
      = "{\"schema\":2,\"granter\":\"n0\",\"life\":\"0000000000000007\","
        "\"released\":false,\"foreign_ms\":0,\"fence\":4,"
        "\"ranges\":[[0,65535,\"s0\",5,4,1]]}";
  struct bgap_assignment read = { 0 };
  struct bgap_error err = { 0 };
  (void)state;
  assert_int_equal (
      bgap_assignment_decode (&read, text, sizeof text - 1, &err), BGAP_OK);
  assert_int_equal (read.timeline, 0);
  assert_int_equal (read.lease_ms, 0);
  assert_true (read.ranges[0].moving);
  bgap_assignment_shutdown (&read);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_assignment_text),
    cmocka_unit_test (test_assignment_of_an_earlier_version),
    cmocka_unit_test (test_restarted_granter_takes_over),
    cmocka_unit_test (test_grants_of_a_granter_before_the_last_count),
    cmocka_unit_test (test_many_ranges_do_not_overload_a_small_machine),
    cmocka_unit_test (test_hot_keys_are_spread),
    cmocka_unit_test (test_single_hot_key_stays),
    cmocka_unit_test (test_single_hot_key_moves_to_a_faster_server),
    cmocka_unit_test (test_server_that_joins_beside_a_hot_key),
    cmocka_unit_test (test_idle_servers_keep_their_keys),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
