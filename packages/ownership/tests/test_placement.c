#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "banyangap/ownership/placement.h"

#define SERVERS 4
#define SLICES 64
#define REPORT_MS 1000
#define MAX_CHANGES 256

/* Four servers with 16 slices each. _bgap_make_heavy() raises the load of the
   first four slices of server 0.  */
struct bgap_fixture
{
  struct bgap_placement placement;
  struct bgap_placement_input_entry entries[SLICES + 2];
  struct bgap_placement_input_server servers[SERVERS];
  struct bgap_placement_input input;
  struct bgap_placement_change changes[MAX_CHANGES];
  uint32_t count;
};

static void
_bgap_fixture_setup (struct bgap_fixture *f,
                     const struct bgap_placement_desc *desc)
{
  *f = (struct bgap_fixture){ .input = { .entry_count = SLICES,
                                         .server_count = SERVERS,
                                         .now_ms = 1000000 } };
  f->input.entries = f->entries;
  f->input.servers = f->servers;
  assert_int_equal (bgap_placement_setup (&f->placement, desc), BGAP_OK);
  for (uint32_t i = 0; i < SERVERS; i++)
    f->servers[i]
        = (struct bgap_placement_input_server){ .slots = 4, .live = true };
  for (uint32_t i = 0; i < SLICES; i++)
    f->entries[i]
        = (struct bgap_placement_input_entry){ .load = 1,
                                               .holder = i % SERVERS };
}

static void
_bgap_make_heavy (struct bgap_fixture *f)
{
  for (uint32_t i = 0; i < 4 * SERVERS; i += SERVERS)
    f->entries[i].load = 8;
}

static void
_bgap_plan (struct bgap_fixture *f, uint32_t capacity)
{
  f->count
      = bgap_placement_plan (&f->placement, &f->input, f->changes, capacity);
  f->input.now_ms += REPORT_MS;
}

static void
_bgap_apply (struct bgap_fixture *f)
{
  for (uint32_t i = 0; i < f->count; i++)
    if (f->changes[i].action == BGAP_PLACEMENT_MOVE)
      f->entries[f->changes[i].entry].holder = f->changes[i].server;
}

/* Guards against moves for an imbalance that lasts only one or two reports,
   and against a persistent imbalance that is never corrected.  */
static void
test_imbalance_must_persist (void **state)
{
  (void)state;
  struct bgap_fixture f;
  _bgap_fixture_setup (&f, &(struct bgap_placement_desc){ 0 });
  _bgap_make_heavy (&f);
  _bgap_plan (&f, MAX_CHANGES);
  assert_int_equal (f.count, 0);
  _bgap_plan (&f, MAX_CHANGES);
  assert_int_equal (f.count, 0);
  for (uint32_t i = 0; i < 4 * SERVERS; i += SERVERS)
    f.entries[i].load = 1;
  _bgap_plan (&f, MAX_CHANGES);
  assert_int_equal (f.count, 0);
  _bgap_make_heavy (&f);
  _bgap_plan (&f, MAX_CHANGES);
  _bgap_plan (&f, MAX_CHANGES);
  assert_int_equal (f.count, 0);
  _bgap_plan (&f, MAX_CHANGES);
  assert_int_equal (f.count, 3);
  uint32_t targets = 0;
  for (uint32_t i = 0; i < f.count; i++)
    {
      assert_int_equal (f.entries[f.changes[i].entry].holder, 0);
      assert_true (f.entries[f.changes[i].entry].load == 8);
      targets |= 1u << f.changes[i].server;
    }
  assert_int_equal (targets, 14);
  _bgap_apply (&f);
  /* Server 0 now has a load of 20; the mean is 23. It gets slices as long as
     the gain exceeds the cost, until the load is balanced.  */
  uint32_t later_moves = 0;
  for (int i = 0; i < 10; i++)
    {
      _bgap_plan (&f, MAX_CHANGES);
      _bgap_apply (&f);
      later_moves += f.count;
    }
  assert_in_range (later_moves, 1, 3);
  assert_int_equal (f.count, 0);
  double loads[SERVERS] = { 0 };
  for (uint32_t i = 0; i < SLICES; i++)
    loads[f.entries[i].holder] += f.entries[i].load;
  for (uint32_t i = 0; i < SERVERS; i++)
    assert_true (loads[i] >= 22 && loads[i] <= 24);
  bgap_placement_shutdown (&f.placement);
}

/* Guards against moves whose gain is less than their cost.  */
static void
test_cost_prevents_small_moves (void **state)
{
  (void)state;
  struct bgap_fixture f;
  _bgap_fixture_setup (
      &f, &(struct bgap_placement_desc){ .weights = { .churn = 1000 } });
  _bgap_make_heavy (&f);
  for (int i = 0; i < 10; i++)
    {
      _bgap_plan (&f, MAX_CHANGES);
      assert_int_equal (f.count, 0);
    }
  bgap_placement_shutdown (&f.placement);
}

/* Guards against more moves within 60 s than the budget permits.  */
static void
test_budget_bounds_moves (void **state)
{
  (void)state;
  struct bgap_fixture f;
  _bgap_fixture_setup (&f,
                       &(struct bgap_placement_desc){ .moves_per_minute = 2 });
  _bgap_make_heavy (&f);
  uint32_t moves = 0;
  for (int i = 0; i < 62; i++)
    {
      _bgap_plan (&f, MAX_CHANGES);
      moves += f.count;
    }
  assert_int_equal (moves, 2);
  _bgap_plan (&f, MAX_CHANGES);
  assert_int_equal (f.count, 2);
  bgap_placement_shutdown (&f.placement);
}

/* Guards against entries of a lost or draining server that wait for the budget
   or for three reports, and against placing entries on such a server.  */
static void
test_entries_of_lost_and_draining_servers_move (void **state)
{
  (void)state;
  struct bgap_fixture f;
  _bgap_fixture_setup (&f,
                       &(struct bgap_placement_desc){ .moves_per_minute = 1 });
  f.servers[1].live = false;
  f.servers[2].draining = true;
  f.entries[0].holder = BGAP_PLACEMENT_NO_HOLDER;
  f.entries[1].moving = true;
  _bgap_plan (&f, 10);
  assert_int_equal (f.count, 10);
  _bgap_apply (&f);
  _bgap_plan (&f, MAX_CHANGES);
  assert_int_equal (f.count, 2 * SLICES / SERVERS + 1 - 1 - 10);
  _bgap_apply (&f);
  uint32_t held[SERVERS] = { 0 };
  for (uint32_t i = 0; i < SLICES; i++)
    held[f.entries[i].holder]++;
  assert_int_equal (held[1], 1);
  assert_int_equal (held[2], 0);
  assert_true (held[0] >= 31 && held[3] >= 31);
  for (uint32_t i = 0; i < SERVERS; i++)
    f.servers[i].live = false;
  _bgap_plan (&f, MAX_CHANGES);
  assert_int_equal (f.count, 0);
  bgap_placement_shutdown (&f.placement);
}

/* Guards against a policy "never" that does not place the entries of a lost
   server, or that moves entries to balance the load.  */
static void
test_never_places_only_lost_entries (void **state)
{
  (void)state;
  struct bgap_fixture f;
  _bgap_fixture_setup (
      &f, &(struct bgap_placement_desc){ .policy = &bgap_placement_never });
  _bgap_make_heavy (&f);
  for (int i = 0; i < 5; i++)
    {
      _bgap_plan (&f, MAX_CHANGES);
      assert_int_equal (f.count, 0);
    }
  f.servers[3].live = false;
  _bgap_plan (&f, MAX_CHANGES);
  assert_int_equal (f.count, SLICES / SERVERS);
  bgap_placement_shutdown (&f.placement);
}

/* Guards against a greedy policy that does not terminate or does not balance
   the load.  */
static void
test_greedy_balances_in_one_plan (void **state)
{
  (void)state;
  struct bgap_fixture f;
  _bgap_fixture_setup (
      &f, &(struct bgap_placement_desc){ .policy = &bgap_placement_greedy });
  _bgap_make_heavy (&f);
  _bgap_plan (&f, MAX_CHANGES);
  assert_true (f.count >= 3);
  _bgap_apply (&f);
  double loads[SERVERS] = { 0 };
  for (uint32_t i = 0; i < SLICES; i++)
    loads[f.entries[i].holder] += f.entries[i].load;
  for (uint32_t i = 0; i < SERVERS; i++)
    assert_true (loads[i] == 23);
  bgap_placement_shutdown (&f.placement);
}

/* Guards against a server in slow start that gets a full share of the entries
   without a holder.  */
static void
test_cold_server_gets_fewer_entries (void **state)
{
  (void)state;
  struct bgap_fixture f;
  _bgap_fixture_setup (&f, &(struct bgap_placement_desc){ 0 });
  for (uint32_t i = 0; i < SLICES; i++)
    f.entries[i].holder = BGAP_PLACEMENT_NO_HOLDER;
  f.servers[2].cold_since_ms = f.input.now_ms;
  _bgap_plan (&f, MAX_CHANGES);
  assert_int_equal (f.count, SLICES);
  _bgap_apply (&f);
  uint32_t held[SERVERS] = { 0 };
  for (uint32_t i = 0; i < SLICES; i++)
    held[f.entries[i].holder]++;
  assert_int_equal (held[2], 4);
  assert_int_equal (held[0], 20);
  bgap_placement_shutdown (&f.placement);
}

/* Guards against hot keys that are not split, are split twice, or are never
   merged when they are no longer hot.  */
static void
test_hot_keys_split_and_merge (void **state)
{
  (void)state;
  struct bgap_fixture f;
  _bgap_fixture_setup (&f, &(struct bgap_placement_desc){ 0 });
  f.input.entry_count = SLICES + 1;
  struct bgap_placement_input_entry *key = &f.entries[SLICES];
  *key = (struct bgap_placement_input_entry){
    .kind = BGAP_PLACEMENT_UNSPLIT_KEY,
    .load = 12,
    .hash = 99,
    .slice = 4,
  };
  f.entries[4].load = 13;
  _bgap_plan (&f, MAX_CHANGES);
  _bgap_plan (&f, MAX_CHANGES);
  assert_int_equal (f.count, 0);
  _bgap_plan (&f, MAX_CHANGES);
  uint32_t splits = 0;
  for (uint32_t i = 0; i < f.count; i++)
    {
      assert_int_not_equal (f.changes[i].entry, 4);
      splits += f.changes[i].action == BGAP_PLACEMENT_SPLIT;
    }
  assert_int_equal (splits, 1);
  key->kind = BGAP_PLACEMENT_KEY;
  key->holder = 1;
  key->load = 0;
  f.entries[4].load = 1;
  for (int i = 0; i < 3; i++)
    _bgap_plan (&f, MAX_CHANGES);
  assert_int_equal (f.count, 1);
  assert_int_equal (f.changes[0].action, BGAP_PLACEMENT_MOVE);
  assert_int_equal (f.changes[0].server, 0);
  key->holder = 0;
  _bgap_plan (&f, MAX_CHANGES);
  assert_int_equal (f.count, 1);
  assert_int_equal (f.changes[0].action, BGAP_PLACEMENT_MERGE);
  assert_int_equal (f.changes[0].entry, SLICES);
  bgap_placement_shutdown (&f.placement);
}

/* Guards against reads outside the arrays on invalid indexes.  */
static void
test_invalid_input_is_ignored (void **state)
{
  (void)state;
  struct bgap_fixture f;
  _bgap_fixture_setup (&f, &(struct bgap_placement_desc){ 0 });
  f.entries[0].holder = 77;
  f.input.entry_count = SLICES + 1;
  f.entries[SLICES] = (struct bgap_placement_input_entry){
    .kind = BGAP_PLACEMENT_UNSPLIT_KEY,
    .load = 50,
    .slice = 1000,
  };
  _bgap_plan (&f, MAX_CHANGES);
  assert_int_equal (f.count, 1);
  assert_int_equal (f.changes[0].entry, 0);
  f.input.server_count = 0;
  f.input.entry_count = 0;
  _bgap_plan (&f, MAX_CHANGES);
  assert_int_equal (f.count, 0);
  bgap_placement_shutdown (&f.placement);
  const struct bgap_placement_desc bad = { .split_share = 1 };
  assert_int_equal (bgap_placement_setup (&f.placement, &bad),
                    BGAP_ERR_INVALID);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_imbalance_must_persist),
    cmocka_unit_test (test_cost_prevents_small_moves),
    cmocka_unit_test (test_budget_bounds_moves),
    cmocka_unit_test (test_entries_of_lost_and_draining_servers_move),
    cmocka_unit_test (test_never_places_only_lost_entries),
    cmocka_unit_test (test_greedy_balances_in_one_plan),
    cmocka_unit_test (test_cold_server_gets_fewer_entries),
    cmocka_unit_test (test_hot_keys_split_and_merge),
    cmocka_unit_test (test_invalid_input_is_ignored),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
