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

/* Size of the assignment of a service with some dozens of key ranges.  */
#define VALUE_SIZE 4000

/* Size of a message without records.  */
#define HEADER_SIZE 29u

/**
 * struct pair - both ends of a relay connection
 */
struct pair
{
  struct bgap_relay_history *relay;
  struct bgap_relay_history *subscriber;
  char value[VALUE_SIZE];
  struct bgap_random random;
};

static void
pair_setup (struct pair *pair)
{
  *pair = (struct pair){ .random = { 7 } };
  assert_int_equal (bgap_relay_history_setup (&pair->relay), BGAP_OK);
  assert_int_equal (bgap_relay_history_setup (&pair->subscriber), BGAP_OK);
  for (size_t i = 0; i < VALUE_SIZE; i++)
    pair->value[i] = (char)bgap_random_next (&pair->random);
}

static void
pair_shutdown (struct pair *pair)
{
  bgap_relay_history_shutdown (pair->relay);
  bgap_relay_history_shutdown (pair->subscriber);
}

/* Changes a few bytes of the value, as a move of some keys to another server
   does.  */
static void
change_value (struct pair *pair)
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
      bgap_relay_encode (pair->relay, 2,
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
  assert_int_equal (bgap_relay_decode (pair->subscriber, bytes->data,
                                       bytes->size, &message, NULL),
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

/* Guards against sending whole assignments when a move of keys changes only a
   few bytes of them: they were two fifths of the traffic between zones.  */
static void
test_small_changes_give_small_messages (void **state)
{
  struct pair pair;
  (void)state;
  pair_setup (&pair);
  for (uint64_t offset = 5; offset < 40; offset++)
    {
      struct bgap_buffer bytes = { 0 };
      change_value (&pair);
      encode (&pair, offset, &bytes);
      assert_arrives (&pair, &bytes, offset);
      if (offset > 5)
        assert_true (bytes.size < VALUE_SIZE / 10);
      bgap_buffer_shutdown (&bytes);
    }
  pair_shutdown (&pair);
}

/* Guards against decoding a delta with the wrong base record after a message
   was lost.  */
static void
test_lost_message_is_detected (void **state)
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
  change_value (&pair);
  encode (&pair, 6, &lost);
  change_value (&pair);
  encode (&pair, 7, &third);
  assert_int_equal (bgap_relay_decode (pair.subscriber, third.data, third.size,
                                       &message, NULL),
                    BGAP_ERR_STALE);
  bgap_relay_message_shutdown (&message);
  /* The subscriber reads the record from the store.  */
  const struct bgap_store_record read = record_at (&pair, 7);
  bgap_relay_history_add (pair.subscriber, &read, 1);
  assert_arrives (&pair, &third, 7);
  change_value (&pair);
  encode (&pair, 8, &fourth);
  assert_arrives (&pair, &fourth, 8);
  bgap_buffer_shutdown (&first);
  bgap_buffer_shutdown (&lost);
  bgap_buffer_shutdown (&third);
  bgap_buffer_shutdown (&fourth);
  pair_shutdown (&pair);
}

/* Guards against a value that nobody has written, decoded from a delta with
   another record of the same offset and size as its base.  */
static void
test_delta_of_another_base_is_refused (void **state)
{
  struct pair pair;
  struct bgap_relay_message message;
  struct bgap_buffer first = { 0 };
  struct bgap_buffer second = { 0 };
  struct bgap_store_record other;
  char changed[VALUE_SIZE];
  (void)state;
  pair_setup (&pair);
  encode (&pair, 5, &first);
  memcpy (changed, pair.value, VALUE_SIZE);
  memset (changed + VALUE_SIZE / 2, 'x', 16);
  other = record_at (&pair, 5);
  other.value = changed;
  bgap_relay_history_add (pair.subscriber, &other, 1);
  pair.value[0]++;
  encode (&pair, 6, &second);
  assert_int_equal (bgap_relay_decode (pair.subscriber, second.data,
                                       second.size, &message, NULL),
                    BGAP_ERR_PROTOCOL);
  bgap_relay_message_shutdown (&message);
  bgap_buffer_shutdown (&first);
  bgap_buffer_shutdown (&second);
  pair_shutdown (&pair);
}

/* Guards against reporting an older record of a key after a newer one.  */
static void
test_old_record_is_skipped (void **state)
{
  struct pair pair;
  struct bgap_relay_message message;
  struct bgap_buffer old = { 0 };
  (void)state;
  pair_setup (&pair);
  encode (&pair, 5, &old);
  const struct bgap_store_record read = record_at (&pair, 9);
  bgap_relay_history_add (pair.subscriber, &read, 1);
  assert_int_equal (
      bgap_relay_decode (pair.subscriber, old.data, old.size, &message, NULL),
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
          pair.relay, 0,
          &(struct bgap_relay_page){
              .from = 1, .next = 9, .records = records, .count = 2 },
          0, &bytes),
      BGAP_OK);
  assert_int_equal (bgap_relay_decode (pair.subscriber, bytes.data, bytes.size,
                                       &message, NULL),
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

/* Guards against reads and writes outside of the message, for truncated
   messages of every length and messages with corrupted bytes.  */
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
  change_value (&pair);
  encode (&pair, 6, &second);
  assert_int_equal (bgap_relay_message_topic (second.data, 3), -1);
  assert_true (second.size > 0);
  for (size_t size = 0; size < second.size; size++)
    {
      enum bgap_status status = bgap_relay_decode (
          pair.subscriber, second.data, size, &message, NULL);
      /* What ends after the header is a message without records.  */
      assert_int_equal (status,
                        size == HEADER_SIZE ? BGAP_OK : BGAP_ERR_PROTOCOL);
      assert_int_equal (message.page.count, 0);
      bgap_relay_message_shutdown (&message);
    }
  for (int i = 0; i < 3000; i++)
    {
      char *copy = malloc (second.size + 1);
      assert_non_null (copy);
      memcpy (copy, second.data, second.size);
      copy[bgap_random_below (&pair.random, second.size)]
          = (char)bgap_random_next (&pair.random);
      (void)bgap_relay_decode (pair.subscriber, copy, second.size, &message,
                               NULL);
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
    cmocka_unit_test (test_small_changes_give_small_messages),
    cmocka_unit_test (test_lost_message_is_detected),
    cmocka_unit_test (test_delta_of_another_base_is_refused),
    cmocka_unit_test (test_old_record_is_skipped),
    cmocka_unit_test (test_short_and_removed_records),
    cmocka_unit_test (test_malformed_messages),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
