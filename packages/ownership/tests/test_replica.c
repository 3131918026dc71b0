#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "banyangap/ownership/replica.h"
#include "banyangap/ownership/snapshot.h"

#define WITNESSES                                                             \
  "{\"schema\":1,\"type\":\"witnesses\",\"based_on\":0,"                      \
  "\"members\":[\"a\",\"b\",\"c\"]}"

static struct bgap_replica *replica;

static int
_setup (void **state)
{
  (void)state;
  return bgap_replica_setup (&replica, &(struct bgap_replica_desc){ 0 });
}

static int
_teardown (void **state)
{
  (void)state;
  bgap_replica_shutdown (replica);
  return 0;
}

static enum bgap_record_verdict
_apply (const char *text)
{
  enum bgap_record_verdict verdict = BGAP_IGNORED;
  struct bgap_error err = { 0 };
  uint64_t offset = bgap_replica_applied (replica) + 1;
  assert_int_equal (bgap_replica_apply (replica, offset, text, strlen (text),
                                        &verdict, &err),
                    BGAP_OK);
  return verdict;
}

/* Prints the record and applies the text, so that both the printer and the
   parser are tested.  */
static enum bgap_record_verdict
_apply_record (const struct bgap_record *record)
{
  struct bgap_buffer text = { 0 };
  assert_int_equal (bgap_record_print (record, &text), BGAP_OK);
  enum bgap_record_verdict verdict = _apply (text.data);
  bgap_buffer_shutdown (&text);
  return verdict;
}

static struct bgap_record_item
_item (uint32_t first, uint32_t count, const char *key, const char *holder,
       uint64_t incarnation)
{
  struct bgap_record_item item = { .first = first,
                                   .count = count,
                                   .key = (unsigned char *)key,
                                   .key_size = key ? strlen (key) : 0,
                                   .incarnation = incarnation };
  memcpy (item.holder, holder, strlen (holder) + 1);
  return item;
}

static enum bgap_record_verdict
_items (enum bgap_record_type type, uint64_t based_on,
        struct bgap_record_item item)
{
  struct bgap_record record = { .type = type,
                                .scope = "listing",
                                .based_on = based_on,
                                .slices = 16,
                                .items = &item,
                                .item_count = 1 };
  return _apply_record (&record);
}

static enum bgap_record_verdict
_grant (uint64_t based_on, uint32_t first, uint32_t count, const char *server)
{
  return _items (BGAP_RECORD_GRANT, based_on,
                 _item (first, count, NULL, server, 7));
}

static enum bgap_record_verdict
_revoke (uint64_t based_on, uint32_t first, uint32_t count, const char *key)
{
  return _items (BGAP_RECORD_REVOKE, based_on,
                 _item (first, count, key, "", 0));
}

static enum bgap_record_verdict
_key_record (enum bgap_record_type type, uint64_t based_on, const char *key)
{
  struct bgap_record record = { .type = type,
                                .scope = "listing",
                                .based_on = based_on,
                                .key = (unsigned char *)key,
                                .key_size = strlen (key) };
  return _apply_record (&record);
}

static const struct bgap_scope *
_scope (void)
{
  return bgap_replica_scope (replica, "listing");
}

/* Guards against accepting the records of two proposers that both grant from
   the same state.  */
static void
test_second_record_on_same_base_is_rejected (void **state)
{
  (void)state;
  assert_int_equal (_grant (0, 0, 16, "s1"), BGAP_REJECTED);
  assert_int_equal (_apply (WITNESSES), BGAP_ACCEPTED);
  assert_int_equal (_grant (0, 0, 8, "s1"), BGAP_ACCEPTED);
  assert_int_equal (_grant (0, 8, 8, "s2"), BGAP_REJECTED);
  assert_int_equal (_grant (3, 8, 8, "s2"), BGAP_ACCEPTED);
  assert_int_equal (_scope ()->basis, 5);
  assert_int_equal (_scope ()->slices[0].token, 3);
  assert_int_equal (_scope ()->slices[8].token, 5);
}

/* Guards against a grant that takes an entry from its holder, in whole or in
   part, and against a record that refers to entries that do not exist.  */
static void
test_grant_requires_free_entries (void **state)
{
  (void)state;
  _apply (WITNESSES);
  assert_int_equal (_grant (0, 0, 8, "s1"), BGAP_ACCEPTED);
  assert_int_equal (_grant (2, 7, 2, "s2"), BGAP_REJECTED);
  assert_false (bgap_holding_has_holder (&_scope ()->slices[8]));
  assert_int_equal (_grant (2, 8, 9, "s2"), BGAP_REJECTED);
  assert_int_equal (
      _items (BGAP_RECORD_GRANT, 2, _item (0, 0, "hot", "s2", 7)),
      BGAP_REJECTED);
  assert_int_equal (_revoke (2, 0, 9, NULL), BGAP_REJECTED);
  assert_int_equal (_revoke (2, 0, 8, NULL), BGAP_ACCEPTED);
  const struct bgap_holding *freed = &_scope ()->slices[3];
  assert_false (bgap_holding_has_holder (freed));
  assert_int_equal (freed->incarnation, 7);
  assert_int_equal (freed->revoked, bgap_replica_applied (replica));
  assert_string_equal (bgap_replica_holder_name (replica, freed->holder),
                       "s1");
}

/* Guards against a second number of slices for one service.  */
static void
test_slice_count_is_fixed (void **state)
{
  (void)state;
  _apply (WITNESSES);
  assert_int_equal (_grant (0, 0, 16, "s1"), BGAP_ACCEPTED);
  assert_int_equal (_revoke (2, 0, 16, NULL), BGAP_ACCEPTED);
  struct bgap_record_item item = _item (0, 32, NULL, "s2", 1);
  struct bgap_record record = { .type = BGAP_RECORD_GRANT,
                                .scope = "listing",
                                .based_on = 3,
                                .slices = 32,
                                .items = &item,
                                .item_count = 1 };
  assert_int_equal (_apply_record (&record), BGAP_REJECTED);
}

/* Guards against a split key with two holders, and against a merge that
   discards a holder.  */
static void
test_split_and_merge (void **state)
{
  (void)state;
  _apply (WITNESSES);
  _grant (0, 0, 16, "s1");
  assert_int_equal (_key_record (BGAP_RECORD_SPLIT, 2, "hot"), BGAP_ACCEPTED);
  assert_int_equal (bgap_scope_find (_scope (), "hot", 3)->token, 2);
  assert_int_equal (_key_record (BGAP_RECORD_SPLIT, 3, "hot"), BGAP_REJECTED);
  assert_int_equal (_revoke (3, 0, 0, "hot"), BGAP_ACCEPTED);
  assert_false (
      bgap_holding_has_holder (bgap_scope_find (_scope (), "hot", 3)));
  uint64_t basis = _scope ()->basis;
  assert_int_equal (_key_record (BGAP_RECORD_MERGE, basis, "hot"),
                    BGAP_REJECTED);
  assert_int_equal (
      _items (BGAP_RECORD_GRANT, basis, _item (0, 0, "hot", "s2", 9)),
      BGAP_ACCEPTED);
  basis = _scope ()->basis;
  assert_int_equal (_key_record (BGAP_RECORD_MERGE, basis, "hot"),
                    BGAP_REJECTED);
  assert_int_equal (_revoke (basis, 0, 0, "hot"), BGAP_ACCEPTED);
  assert_int_equal (_items (BGAP_RECORD_GRANT, _scope ()->basis,
                            _item (0, 0, "hot", "s1", 7)),
                    BGAP_ACCEPTED);
  assert_int_equal (_key_record (BGAP_RECORD_MERGE, _scope ()->basis, "hot"),
                    BGAP_ACCEPTED);
  assert_int_equal (_scope ()->key_count, 0);
}

/* Guards against a merge that discards the previous holder of a revoked key:
   its lease would not be waited for.  */
static void
test_merge_requires_holders (void **state)
{
  (void)state;
  _apply (WITNESSES);
  _grant (0, 0, 16, "s1");
  _key_record (BGAP_RECORD_SPLIT, 2, "hot");
  _revoke (3, 0, 0, "hot");
  _revoke (4, 0, 16, NULL);
  assert_int_equal (_key_record (BGAP_RECORD_MERGE, 5, "hot"), BGAP_REJECTED);
}

/* Guards against a proposer with an older configuration that grants a slice
   which has been released to another cell.  */
static void
test_older_configurations_are_rejected_after_release (void **state)
{
  (void)state;
  _apply (WITNESSES);
  struct bgap_record_item item = _item (0, 16, NULL, "s1", 7);
  struct bgap_record record = { .type = BGAP_RECORD_GRANT,
                                .scope = "listing",
                                .slices = 16,
                                .config = 5,
                                .items = &item,
                                .item_count = 1 };
  assert_int_equal (_apply_record (&record), BGAP_ACCEPTED);
  record.type = BGAP_RECORD_RELEASE;
  record.based_on = 2;
  record.config = 6;
  item = _item (0, 8, NULL, "", 0);
  assert_int_equal (_apply_record (&record), BGAP_REJECTED);
  record.type = BGAP_RECORD_REVOKE;
  assert_int_equal (_apply_record (&record), BGAP_ACCEPTED);
  assert_int_equal (_scope ()->config, 6);
  record.type = BGAP_RECORD_RELEASE;
  record.based_on = _scope ()->basis;
  assert_int_equal (_apply_record (&record), BGAP_ACCEPTED);
  assert_int_equal (_scope ()->slices[0].revoked, 0);
  record.type = BGAP_RECORD_GRANT;
  record.based_on = _scope ()->basis;
  record.config = 5;
  item = _item (0, 8, NULL, "s1", 7);
  assert_int_equal (_apply_record (&record), BGAP_REJECTED);
  record.config = 7;
  assert_int_equal (_apply_record (&record), BGAP_ACCEPTED);
}

static enum bgap_record_verdict
_witnesses (uint64_t based_on, const char *members, const char *forced)
{
  char text[200];
  snprintf (text, sizeof text,
            "{\"schema\":1,\"type\":\"witnesses\",\"based_on\":%u,"
            "\"in_force\":%u,\"members\":[%s]%s}",
            (unsigned)based_on, (unsigned)based_on, members, forced);
  return _apply (text);
}

/* Guards against consecutive witness sets whose majorities do not
   intersect.  */
static void
test_witness_sets_change_by_one_member (void **state)
{
  (void)state;
  assert_int_equal (_apply (WITNESSES), BGAP_ACCEPTED);
  assert_int_equal (_witnesses (0, "\"a\",\"b\",\"d\"", ""), BGAP_REJECTED);
  assert_int_equal (_witnesses (1, "\"a\",\"d\",\"e\"", ""), BGAP_REJECTED);
  assert_int_equal (_witnesses (1, "\"a\",\"b\",\"c\"", ""), BGAP_REJECTED);
  assert_int_equal (_witnesses (1, "\"a\",\"b\",\"b\"", ""), BGAP_MALFORMED);
  assert_int_equal (_witnesses (1, "\"a\",\"b\",\"d\"", ""), BGAP_ACCEPTED);
  assert_int_equal (bgap_replica_witnesses_previous (replica)->offset, 1);
  uint64_t newest = bgap_replica_applied (replica);
  assert_int_equal (
      _witnesses (newest, "\"x\",\"y\",\"z\"", ",\"forced\":true"),
      BGAP_ACCEPTED);
  assert_int_equal (bgap_replica_witnesses_previous (replica)->offset, 0);
  assert_int_equal (bgap_replica_forced (replica), newest + 1);
}

/* Guards against instances of two releases that disagree on the state, and
   against skipping or repeating records.  */
static void
test_schema_and_order (void **state)
{
  (void)state;
  enum bgap_record_verdict verdict;
  struct bgap_error err = { 0 };
  assert_int_equal (_apply ("{\"schema\":1,\"type\":\"later\"}"),
                    BGAP_IGNORED);
  assert_int_equal (_apply ("{\"schema\":1,\"type\":\"grant\"}"),
                    BGAP_MALFORMED);
  assert_int_equal (_apply ("nonsense"), BGAP_MALFORMED);
  assert_int_equal (bgap_replica_apply (replica, 3, WITNESSES,
                                        strlen (WITNESSES), &verdict, &err),
                    BGAP_ERR_STALE);
  assert_int_equal (bgap_replica_apply (replica, 5, WITNESSES,
                                        strlen (WITNESSES), &verdict, &err),
                    BGAP_ERR_INVALID);
  const char *newer = "{\"schema\":2,\"type\":\"grant\"}";
  assert_int_equal (
      bgap_replica_apply (replica, 4, newer, strlen (newer), &verdict, &err),
      BGAP_ERR_UNAVAILABLE);
  assert_true (bgap_replica_stopped (replica));
  assert_int_equal (bgap_replica_apply (replica, 4, WITNESSES,
                                        strlen (WITNESSES), &verdict, &err),
                    BGAP_ERR_UNAVAILABLE);
}

/* Guards against snapshots that lose state, that are accepted although they
   are truncated or damaged, or that set a replica back to an older offset.  */
static void
test_snapshot_round_trip (void **state)
{
  (void)state;
  _apply (WITNESSES);
  _grant (0, 0, 8, "s1");
  _key_record (BGAP_RECORD_SPLIT, 2, "hot");
  _revoke (3, 0, 4, NULL);
  struct bgap_buffer saved = { 0 };
  assert_int_equal (bgap_replica_save (replica, &saved), BGAP_OK);
  struct bgap_buffer text = { 0 };
  assert_int_equal (bgap_snapshot_print (9, 4, &saved, 0, &text), BGAP_OK);
  struct bgap_record record;
  struct bgap_error err = { 0 };
  assert_int_equal (bgap_record_parse (text.data, text.size, &record, &err),
                    BGAP_OK);
  struct bgap_snapshot snapshot = { 0 };
  record.snapshot.checksum ^= 1;
  assert_int_equal (bgap_snapshot_add (&snapshot, &record, &err),
                    BGAP_ERR_PROTOCOL);
  record.snapshot.checksum ^= 1;
  assert_int_equal (bgap_snapshot_add (&snapshot, &record, &err), BGAP_OK);
  assert_true (bgap_snapshot_complete (&snapshot));
  struct bgap_replica *copy;
  bgap_replica_setup (&copy, &(struct bgap_replica_desc){ 0 });
  for (size_t size = 0; size < snapshot.size; size++)
    assert_int_not_equal (bgap_replica_load (copy, snapshot.data, size, &err),
                          BGAP_OK);
  assert_int_equal (
      bgap_replica_load (copy, snapshot.data, snapshot.size, &err), BGAP_OK);
  struct bgap_buffer again = { 0 };
  assert_int_equal (bgap_replica_save (copy, &again), BGAP_OK);
  assert_int_equal (again.size, saved.size);
  assert_memory_equal (again.data, saved.data, saved.size);
  _revoke (4, 4, 4, NULL);
  assert_int_equal (
      bgap_replica_load (replica, snapshot.data, snapshot.size, &err),
      BGAP_ERR_STALE);
  bgap_record_shutdown (&record);
  bgap_snapshot_shutdown (&snapshot);
  bgap_buffer_shutdown (&text);
  bgap_buffer_shutdown (&saved);
  bgap_buffer_shutdown (&again);
  bgap_replica_shutdown (copy);
}

int
main (void)
{
#define TEST(name) cmocka_unit_test_setup_teardown (name, _setup, _teardown)
  const struct CMUnitTest tests[] = {
    TEST (test_second_record_on_same_base_is_rejected),
    TEST (test_grant_requires_free_entries),
    TEST (test_slice_count_is_fixed),
    TEST (test_split_and_merge),
    TEST (test_merge_requires_holders),
    TEST (test_older_configurations_are_rejected_after_release),
    TEST (test_witness_sets_change_by_one_member),
    TEST (test_schema_and_order),
    TEST (test_snapshot_round_trip),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
