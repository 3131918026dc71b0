#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "banyangap/base/random.h"
#include "banyangap/store/relay_codec.h"

/* An assignment of a service with some dozens of ranges.  */
#define VALUE_SIZE 4000

struct pair
{
  struct bgap_relay_history *sender;
  struct bgap_relay_history *receiver;
  char value[VALUE_SIZE];
  struct bgap_random random;
};

static void
pair_setup (struct pair *pair)
{
  *pair = (struct pair){ .random = { 7 } };
  assert_int_equal (bgap_relay_history_setup (&pair->sender), BGAP_OK);
  assert_int_equal (bgap_relay_history_setup (&pair->receiver), BGAP_OK);
  for (size_t i = 0; i < VALUE_SIZE; i++)
    pair->value[i] = (char)bgap_random_next (&pair->random);
}

static void
pair_shutdown (struct pair *pair)
{
  bgap_relay_history_shutdown (pair->sender);
  bgap_relay_history_shutdown (pair->receiver);
}

/* Another server for some keys.  */
static void
change (struct pair *pair)
{
  size_t at = bgap_random_below (&pair->random, VALUE_SIZE - 16);
  for (size_t i = 0; i < 16; i++)
    pair->value[at + i] = (char)bgap_random_next (&pair->random);
}

static struct bgap_store_record
record_at (const struct pair *pair, uint64_t offset)
{
  return (struct bgap_store_record){ .offset = offset,
                                     .key = "keys/archive",
                                     .value = pair->value,
                                     .size = VALUE_SIZE };
}

static void
encode (struct pair *pair, uint64_t offset, struct bgap_buffer *out)
{
  const struct bgap_store_record record = record_at (pair, offset);
  assert_int_equal (
      bgap_relay_encode (pair->sender, 2,
                         &(struct bgap_relay_page){ .from = offset,
                                                    .next = offset + 1,
                                                    .records = &record,
                                                    .count = 1 },
                         30, out),
      BGAP_OK);
}

static void
assert_arrives (struct pair *pair, const struct bgap_buffer *bytes,
                uint64_t offset)
{
  struct bgap_relay_message message;
  assert_int_equal (bgap_relay_message_topic (bytes->data, bytes->size), 2);
  assert_int_equal (
      bgap_relay_decode (pair->receiver, bytes->data, bytes->size, &message),
      BGAP_OK);
  assert_int_equal (message.page.next, offset + 1);
  assert_int_equal (message.age_ms, 30);
  assert_int_equal (message.page.count, 1);
  assert_int_equal (message.records[0].offset, offset);
  assert_string_equal (message.records[0].key, "keys/archive");
  assert_int_equal (message.records[0].size, VALUE_SIZE);
  assert_memory_equal (message.records[0].value, pair->value, VALUE_SIZE);
  bgap_relay_message_shutdown (&message);
}

/* Moves of keys, each a change of a few bytes. Guards against copies of whole
   assignments: they were two fifths of the bytes between zones.  */
static void
test_small_changes_are_small (void **state)
{
  struct pair pair;
  (void)state;
  pair_setup (&pair);
  for (uint64_t offset = 5; offset < 40; offset++)
    {
      struct bgap_buffer bytes = { 0 };
      change (&pair);
      encode (&pair, offset, &bytes);
      assert_arrives (&pair, &bytes, offset);
      if (offset > 5)
        assert_true (bytes.size < VALUE_SIZE / 10);
      bgap_buffer_shutdown (&bytes);
    }
  pair_shutdown (&pair);
}

/* Guards against a value that is restored from another record than the one it
   was compared with, after a message was lost.  */
static void
test_a_lost_message_is_noticed (void **state)
{
  struct pair pair;
  struct bgap_relay_message message;
  struct bgap_buffer first = { 0 };
  struct bgap_buffer lost = { 0 };
  struct bgap_buffer third = { 0 };
  struct bgap_buffer fourth = { 0 };
  (void)state;
  pair_setup (&pair);
  encode (&pair, 5, &first);
  assert_arrives (&pair, &first, 5);
  change (&pair);
  encode (&pair, 6, &lost);
  change (&pair);
  encode (&pair, 7, &third);
  assert_int_equal (
      bgap_relay_decode (pair.receiver, third.data, third.size, &message),
      BGAP_ERR_STALE);
  bgap_relay_message_shutdown (&message);
  /* The receiver reads the record from the store.  */
  const struct bgap_store_record read = record_at (&pair, 7);
  bgap_relay_history_add (pair.receiver, &read, 1);
  assert_arrives (&pair, &third, 7);
  change (&pair);
  encode (&pair, 8, &fourth);
  assert_arrives (&pair, &fourth, 8);
  bgap_buffer_shutdown (&first);
  bgap_buffer_shutdown (&lost);
  bgap_buffer_shutdown (&third);
  bgap_buffer_shutdown (&fourth);
  pair_shutdown (&pair);
}

/* Guards against an older record that comes after a newer one.  */
static void
test_an_old_record_is_left_out (void **state)
{
  struct pair pair;
  struct bgap_relay_message message;
  struct bgap_buffer old = { 0 };
  (void)state;
  pair_setup (&pair);
  encode (&pair, 5, &old);
  const struct bgap_store_record read = record_at (&pair, 9);
  bgap_relay_history_add (pair.receiver, &read, 1);
  assert_int_equal (
      bgap_relay_decode (pair.receiver, old.data, old.size, &message),
      BGAP_OK);
  assert_int_equal (message.page.count, 0);
  assert_int_equal (message.page.next, 6);
  bgap_relay_message_shutdown (&message);
  bgap_buffer_shutdown (&old);
  pair_shutdown (&pair);
}

static void
test_short_and_removed_records (void **state)
{
  struct pair pair;
  struct bgap_relay_message message;
  struct bgap_buffer bytes = { 0 };
  const struct bgap_store_record records[] = {
    { .offset = 1, .key = "news/edge-1", .value = "abc", .size = 3 },
    { .offset = 3, .key = "keys/archive", .removed = true },
  };
  (void)state;
  pair_setup (&pair);
  assert_int_equal (
      bgap_relay_encode (
          pair.sender, 0,
          &(struct bgap_relay_page){
              .from = 1, .next = 9, .records = records, .count = 2 },
          0, &bytes),
      BGAP_OK);
  assert_int_equal (
      bgap_relay_decode (pair.receiver, bytes.data, bytes.size, &message),
      BGAP_OK);
  assert_int_equal (message.page.from, 1);
  assert_int_equal (message.page.next, 9);
  assert_int_equal (message.page.count, 2);
  assert_memory_equal (message.records[0].value, "abc", 3);
  assert_true (message.records[1].removed);
  bgap_relay_message_shutdown (&message);
  bgap_buffer_shutdown (&bytes);
  pair_shutdown (&pair);
}

/* Guards against reads and writes outside the message: every length of it, and
   bytes that were changed on the way.  */
static void
test_malformed_messages (void **state)
{
  struct pair pair;
  struct bgap_buffer first = { 0 };
  struct bgap_buffer second = { 0 };
  struct bgap_relay_message message;
  (void)state;
  pair_setup (&pair);
  encode (&pair, 5, &first);
  assert_arrives (&pair, &first, 5);
  change (&pair);
  encode (&pair, 6, &second);
  assert_int_equal (bgap_relay_message_topic (second.data, 3), -1);
  assert_true (second.size > 0);
  for (size_t size = 0; size < second.size; size++)
    {
      enum bgap_status status
          = bgap_relay_decode (pair.receiver, second.data, size, &message);
      if (size > 0 && size != 21)
        assert_int_equal (status, BGAP_ERR_PROTOCOL);
      bgap_relay_message_shutdown (&message);
    }
  for (int i = 0; i < 3000; i++)
    {
      char *copy = malloc (second.size + 1);
      assert_non_null (copy);
      memcpy (copy, second.data, second.size);
      copy[bgap_random_below (&pair.random, second.size)]
          = (char)bgap_random_next (&pair.random);
      (void)bgap_relay_decode (pair.receiver, copy, second.size, &message);
      bgap_relay_message_shutdown (&message);
      free (copy);
    }
  bgap_buffer_shutdown (&first);
  bgap_buffer_shutdown (&second);
  pair_shutdown (&pair);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_small_changes_are_small),
    cmocka_unit_test (test_a_lost_message_is_noticed),
    cmocka_unit_test (test_an_old_record_is_left_out),
    cmocka_unit_test (test_short_and_removed_records),
    cmocka_unit_test (test_malformed_messages),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
