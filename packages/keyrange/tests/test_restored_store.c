#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "fixture.h"
#include "world.h"

/* Duration of a run and number of runs; BGAP_WORLD_RUNS sets another number,
   BGAP_WORLD_SEED another first seed.  */
#define RUN_MS 60000
#define RUNS 120

/* Time after the return of the store within which every key is served; without
   the granter, servers first have to register again, for 2 s.  */
#define SERVED_WITHIN_MS 2000
#define SERVED_WITHOUT_GRANTER_WITHIN_MS 4000

static uint64_t
setting (const char *name, uint64_t preset)
{
  const char *text = getenv (name);
  return text != NULL ? strtoull (text, NULL, 10) : preset;
}

/* Guards against two holders of a key, and against fencing tokens that are
   given out again, when the store comes back from a copy that is some seconds
   old, at any moment, also twice, beside lost, paused and cut instances, lost
   servers and calls that arrive late.  */
static void
test_random_faults_and_restores (void **state)
{
  uint64_t runs = setting ("BGAP_WORLD_RUNS", RUNS);
  uint64_t seed = setting ("BGAP_WORLD_SEED", 1);
  struct world_totals sum = { 0 };
  (void)state;
  for (uint64_t i = 0; i < runs; i++)
    {
      struct world *world = world_new (
          &(struct world_desc){ .seed = seed + i, .restores = true });
      if (!world_run (world, RUN_MS))
        fail_msg ("seed %llu: %s", (unsigned long long)(seed + i),
                  world_violation (world));
      struct world_totals totals = world_totals (world);
      sum.restores += totals.restores;
      sum.moves += totals.moves;
      sum.held_ms += totals.held_ms;
      sum.all_ms += totals.all_ms;
      world_free (world);
    }
  printf ("%llu runs: %llu restores, %llu moves, keys held %.1f %% of the "
          "time\n",
          (unsigned long long)runs, (unsigned long long)sum.restores,
          (unsigned long long)sum.moves,
          100.0 * (double)sum.held_ms / (double)sum.all_ms);
  assert_true (sum.moves > runs && sum.restores > runs);
}

/* Guards against what had failed: a refusal of an earlier proposal taken for
   that of the one on its way (7236); the leases of a granter forgotten that
   was refused between writing its assignment again and reading it (8733); a
   proposal for the earlier timeline believed that was appended after the
   restore (26409); a token given out again by an instance that starts when a
   late record of an earlier timeline hides the newest one (38164).  */
static void
test_seeds_that_failed (void **state)
{
  static const uint64_t seeds[] = { 7236, 8733, 26409, 38164 };
  (void)state;
  for (size_t i = 0; i < sizeof seeds / sizeof *seeds; i++)
    {
      struct world *world = world_new (
          &(struct world_desc){ .seed = seeds[i], .restores = true });
      if (!world_run (world, RUN_MS))
        fail_msg ("seed %llu: %s", (unsigned long long)seeds[i],
                  world_violation (world));
      world_free (world);
    }
}

/* A calm world at 11 s, in which the keys of one server have moved since 8 s.
 */
static struct world *
world_with_moved_keys (uint64_t seed)
{
  struct world *world
      = world_new (&(struct world_desc){ .seed = seed, .no_faults = true });
  assert_true (world_run (world, 8000));
  world_drain_server (world, world_busiest (world));
  assert_true (world_run (world, 11000));
  return world;
}

/* Guards against moves that are undone because the record of the copy is taken
   for the assignment in force: the keys then have the former holder and the
   new one.  */
static void
test_moves_since_the_copy_stay (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      struct world *world = world_with_moved_keys (seed);
      assert_true (world_all_held (world));
      world_restore_store (world, 4000, 1000);
      for (int64_t at_ms = 12000; at_ms <= 20000; at_ms += 100)
        {
          if (!world_run (world, at_ms))
            fail_msg ("seed %llu: %s", (unsigned long long)seed,
                      world_violation (world));
          if (at_ms >= 12000 + SERVED_WITHIN_MS)
            assert_true (world_all_held (world));
        }
      world_free (world);
    }
}

/* The granter ends while the store is restored, so that nobody knows the
   records that are lost. Guards against keys that are served by nobody until
   all leases have ended that it can have granted, although all servers can
   be asked to release them.  */
static void
test_granter_lost_with_its_records (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      struct world *world = world_with_moved_keys (seed);
      int granter = world_granter (world);
      world_restore_store (world, 4000, 1000);
      world_restart_instance (world, granter);
      for (int64_t at_ms = 12000; at_ms <= 40000; at_ms += 100)
        {
          if (!world_run (world, at_ms))
            fail_msg ("seed %llu: %s", (unsigned long long)seed,
                      world_violation (world));
          if (at_ms >= 12000 + SERVED_WITHOUT_GRANTER_WITHIN_MS)
            assert_true (world_all_held (world));
        }
      world_free (world);
    }
}

/* Guards against a granter that was cut off and lost its office, and that
   takes the view of a restored store, which lacks the record of its successor,
   for a sign that it still has it.  */
static void
test_former_granter_of_a_lost_record_is_silent (void **state)
{
  (void)state;
  struct world *world
      = world_new (&(struct world_desc){ .seed = 5, .no_faults = true });
  assert_true (world_run (world, 6000));
  int former = world_granter (world);
  int server = world_busiest (world);
  assert_true (former >= 0);
  /* It reaches this server only, and its successor all others.  */
  for (int i = 0; i < WORLD_INSTANCES; i++)
    if (i != former)
      world_cut_server (world, i, server, 30000);
  for (int s = 0; s < WORLD_SERVERS; s++)
    if (s != server)
      world_cut_server (world, former, s, 30000);
  world_cut_store (world, former, 13200);
  assert_true (world_run (world, 19000));
  /* Its successor has moved the keys.  */
  assert_true (world_all_held (world));
  assert_int_not_equal (world_busiest (world), server);
  for (int i = 0; i < WORLD_INSTANCES; i++)
    if (i != former)
      world_cut_store (world, i, 3000);
  world_restore_store (world, 14000, 300);
  if (!world_run (world, 40000))
    fail_msg ("%s", world_violation (world));
  world_free (world);
}

/* The granter in office proposes a move and gets no response; after a restore
   the condition of the append holds again, and the record is appended. Guards
   against a granter that acts on it: in the earlier timeline the append would
   have been refused, since another instance had taken over.  */
static void
test_own_record_of_an_earlier_timeline_has_no_effect (void **state)
{
  struct bgap_granter *granter = granter_new ();
  struct bgap_assignment known = assignment_of ("n0", INCARNATION, 3);
  struct bgap_assignment late = assignment_of ("n0", INCARNATION, 4);
  (void)state;
  known.timeline = late.timeline = 1;
  set_holder (&known, 0, BGAP_KEY_COUNT - 1, "s0");
  set_holder (&late, 0, BGAP_KEY_COUNT - 1, "s1");
  add_server (granter, 100, "s0", 0);
  add_server (granter, 100, "s1", 0);
  bgap_granter_on_timeline (granter, 100, 1);
  bgap_granter_on_loaded (granter, 100);
  assert_true (bgap_granter_on_assignment (granter, 100, &known));
  bgap_granter_on_timeline (granter, 500, 2);
  assert_false (bgap_granter_on_assignment (granter, 510, &late));
  assert_true (bgap_granter_is_active (granter));
  assert_string_equal (bgap_granter_holder (granter, 520, 0)->server, "s0");
  bgap_assignment_shutdown (&known);
  bgap_assignment_shutdown (&late);
  bgap_granter_shutdown (granter);
}

/* The token of the record by which an instance takes over that starts after a
   restore, when the newest record is one of the earlier timeline and the next
   one is appended at @offset.  */
static uint64_t
takeover_token (uint64_t offset)
{
  struct bgap_granter *granter = granter_new ();
  struct bgap_assignment past = assignment_of ("n1", INCARNATION + 1, 3);
  struct bgap_assignment proposal = { 0 };
  bool proposed = false;
  uint32_t grants;
  past.timeline = 1;
  set_holder (&past, 0, BGAP_KEY_COUNT - 1, "s0");
  add_server (granter, 100, "s0", 0);
  bgap_granter_on_timeline (granter, 100, 2);
  bgap_granter_set_next_offset (granter, offset);
  bgap_granter_on_assignment (granter, 100, &past);
  bgap_granter_on_loaded (granter, 100);
  bgap_granter_set_successor (granter, 100, true, true);
  for (int64_t now_ms = 110; !proposed && now_ms < 20000; now_ms += 100)
    {
      bgap_granter_on_view (granter, now_ms, now_ms - 1);
      bgap_granter_tick (granter, now_ms);
      proposed = take_actions (granter, &proposal, &grants);
    }
  assert_true (proposed);
  uint64_t token = proposal.token;
  bgap_assignment_shutdown (&past);
  bgap_assignment_shutdown (&proposal);
  bgap_granter_shutdown (granter);
  return token;
}

/* A record of the earlier timeline is appended after that by which an instance
   has taken over, and hides it from the next one that starts. Guards against a
   token that is given out again.  */
static void
test_token_is_above_that_of_a_hidden_record (void **state)
{
  (void)state;
  assert_true (takeover_token (22) > takeover_token (20));
}

/**
 * struct move - the keys move from "s0" to "s1" while the store is restored
 * @release: call of the release
 * @held_until_ms: end of the lease that "s0" was granted after the restore
 * @granted_ms: when "s1" was first granted the keys
 */
struct move
{
  uint32_t release;
  int64_t held_until_ms;
  int64_t granted_ms;
};

/* Runs the granter once. The first release gets no response; "s0" answers
   grants until @move has the end of its lease, then nothing.  */
static void
run_move (struct bgap_granter *granter, int64_t now_ms, bool was_restored,
          struct move *move)
{
  struct bgap_granter_action action;
  bgap_granter_on_view (granter, now_ms, now_ms - 1);
  bgap_granter_tick (granter, now_ms);
  while (bgap_granter_next_action (granter, &action))
    {
      enum bgap_granter_result result = BGAP_GRANTER_DONE;
      bool is_first_release
          = action.kind == BGAP_GRANTER_RELEASE && move->release == 0;
      if (is_first_release)
        move->release = action.call;
      if (action.kind == BGAP_GRANTER_APPEND)
        {
          append_record (granter, now_ms, &action);
          continue;
        }
      if (strcmp (action.server, "s0") == 0 && move->held_until_ms != 0)
        result = BGAP_GRANTER_LOST;
      else if (strcmp (action.server, "s0") == 0 && was_restored)
        move->held_until_ms = now_ms + action.lease_ms;
      else if (action.kind == BGAP_GRANTER_GRANT
               && strcmp (action.server, "s1") == 0 && move->granted_ms == 0)
        move->granted_ms = now_ms;
      if (!is_first_release)
        bgap_granter_on_reply (granter, now_ms, action.call, result, "");
    }
}

/* The holder of moving keys confirms their release before a restore, and its
   response arrives when it has been granted the keys again. Guards against two
   holders: the response was taken for the end of the later lease.  */
static void
test_earlier_release_does_not_end_a_later_lease (void **state)
{
  struct bgap_granter *granter = granter_new ();
  struct bgap_assignment known = assignment_of ("n0", INCARNATION, 3);
  const struct bgap_granter_server leaving = {
    .id = "s0", .started_ms = 5, .sequence = 2, .slots = 4, .draining = true
  };
  struct move move = { 0 };
  int64_t now_ms = 100;
  (void)state;
  known.timeline = 1;
  set_holder (&known, 0, BGAP_KEY_COUNT - 1, "s0");
  add_server (granter, 100, "s0", 0);
  add_server (granter, 100, "s1", 0);
  bgap_granter_on_timeline (granter, 100, 1);
  bgap_granter_on_loaded (granter, 100);
  bgap_granter_on_assignment (granter, 100, &known);
  run_move (granter, now_ms, false, &move);
  bgap_granter_set_server (granter, now_ms, &leaving);
  for (; move.release == 0 && now_ms < 1000; now_ms += 10)
    run_move (granter, now_ms, false, &move);
  assert_int_not_equal (move.release, 0);
  bgap_granter_on_timeline (granter, now_ms, 2);
  bgap_granter_on_loaded (granter, now_ms);
  for (; move.held_until_ms == 0 && now_ms < 2000; now_ms += 10)
    run_move (granter, now_ms, true, &move);
  assert_int_not_equal (move.held_until_ms, 0);
  bgap_granter_on_reply (granter, now_ms, move.release, BGAP_GRANTER_DONE, "");
  for (; move.granted_ms == 0 && now_ms < 60000; now_ms += 10)
    run_move (granter, now_ms, true, &move);
  assert_true (move.granted_ms >= move.held_until_ms);
  bgap_assignment_shutdown (&known);
  bgap_granter_shutdown (granter);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_moves_since_the_copy_stay),
    cmocka_unit_test (test_granter_lost_with_its_records),
    cmocka_unit_test (test_former_granter_of_a_lost_record_is_silent),
    cmocka_unit_test (test_own_record_of_an_earlier_timeline_has_no_effect),
    cmocka_unit_test (test_token_is_above_that_of_a_hidden_record),
    cmocka_unit_test (test_earlier_release_does_not_end_a_later_lease),
    cmocka_unit_test (test_seeds_that_failed),
    cmocka_unit_test (test_random_faults_and_restores),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
