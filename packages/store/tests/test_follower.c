#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "scripted_store.h"

/* Guards against missing a record that was appended after the store had read
   the records of a page and before it read the end offset.  */
static void
test_reads_from_last_loaded_record (void **state)
{
  (void)state;
  struct scripted_store fake = {
    .answers = { { .records = { { .offset = 0, .key = "config" } },
                   .count = 1,
                   .end = 2 },
                 { .records = { { .offset = 1, .key = "config" } },
                   .count = 1,
                   .end = 2 } },
    .answer_count = 2,
  };
  scripted_store_follow (&fake);
  assert_int_equal (fake.read_from[0], 1);
  assert_int_equal (fake.seen_count, 2);
  assert_int_equal (fake.read_from[1], 2);
}

/* Guards against endless loads when the store no longer has the records
   between the newest one of the load and the end.  */
static void
test_history_truncated_after_load (void **state)
{
  (void)state;
  struct scripted_store fake = {
    .answers
    = { { .records = { { .offset = 3, .key = "a" } }, .count = 1, .end = 9 },
        { .outcome = BGAP_STORE_TRUNCATED },
        { .outcome = BGAP_STORE_OK, .end = 9 } },
    .answer_count = 3,
  };
  scripted_store_follow (&fake);
  assert_int_equal (fake.loads, 1);
  assert_int_equal (fake.read_from[0], 4);
  assert_int_equal (fake.read_from[1], 9);
}

/* Guards against missing records that the store has truncated before they were
   read.  */
static void
test_reloads_when_truncated (void **state)
{
  (void)state;
  struct scripted_store fake = {
    .answers
    = { { .records = { { .offset = 0, .key = "a" } }, .count = 1, .end = 1 },
        { .outcome = BGAP_STORE_OK, .end = 1 },
        { .outcome = BGAP_STORE_TRUNCATED },
        { .records = { { .offset = 7, .key = "a" } }, .count = 1, .end = 8 } },
    .answer_count = 4,
  };
  scripted_store_follow (&fake);
  assert_int_equal (fake.loads, 2);
  assert_int_equal (fake.loaded, 2);
  assert_int_equal (fake.seen[1], 7);
}

/* Guards against missing a record that a waiting read does not return, because
   it was appended while the store accepted the read.  */
static void
test_probe_finds_missed_record (void **state)
{
  (void)state;
  struct scripted_store fake = {
    .answers
    = { { .records = { { .offset = 0, .key = "a" } }, .count = 1, .end = 1 },
        { .never = true },
        { .records = { { .offset = 1, .key = "a" } }, .count = 1, .end = 2 } },
    .answer_count = 3,
  };
  scripted_store_finish (&fake, scripted_store_start (&fake, 5000));
  assert_int_equal (fake.seen_count, 2);
  assert_int_equal (fake.read_from[2], 2);
}

/* Guards against a record that is in force only when the wait of a read has
   ended: the store does not always answer a waiting read when a record is
   appended, and 16 subscribers depend on the read of their relay.  */
static void
test_waiting_read_that_is_not_answered (void **state)
{
  (void)state;
  struct scripted_store fake = {
    .answers
    = { { .records = { { .offset = 0, .key = "a" } }, .count = 1, .end = 1 },
        { .never = true },
        { .end = 1 },
        { .records = { { .offset = 1, .key = "a" } }, .count = 1, .end = 2 },
        { .never = true } },
    .answer_count = 5,
  };
  struct bgap_follower *follower = scripted_store_start (&fake, 8000);
  const struct timeval end = { .tv_sec = 1, .tv_usec = 800000 };
  event_base_loopexit (fake.base, &end);
  scripted_store_finish (&fake, follower);
  assert_int_equal (fake.seen_count, 2);
}

/* Guards against reading the whole history after a network outage of some
   seconds in a topic of large records. On a slow link this takes longer than
   the time-out of a call, and all instances that were cut off together request
   more than the store can send.  */
static void
test_follower_far_behind_reloads (void **state)
{
  (void)state;
  struct scripted_store fake = {
    .answers
    = { { .records = { { .offset = 0, .key = "a" } }, .count = 1, .end = 1 },
        { .records = { { .offset = 1, .key = "a" } }, .count = 1, .end = 90 },
        { .records = { { .offset = 89, .key = "a" } }, .count = 1, .end = 90 },
        { .never = true } },
    .answer_count = 4,
  };
  struct bgap_follower *follower = scripted_store_start (&fake, 0);
  const struct timeval end = { .tv_usec = 50000 };
  event_base_loopexit (fake.base, &end);
  scripted_store_finish (&fake, follower);
  assert_int_equal (fake.loads, 2);
  assert_int_equal (fake.read_from[1], 90);
  assert_int_equal (fake.seen_count, 3);
}

static void
on_return (evutil_socket_t fd, short events, void *follower)
{
  (void)fd;
  (void)events;
  bgap_follower_retry (follower);
}

/* Guards against waiting for the back-off, up to its maximum, before reading
   from a store that has recovered.  */
static void
test_reads_immediately_when_store_recovers (void **state)
{
  (void)state;
  struct scripted_store fake = {
    .answers
    = { { .records = { { .offset = 0, .key = "a" } }, .count = 1, .end = 1 },
        { .outcome = BGAP_STORE_REFUSED, .end = 1 },
        { .never = true } },
    .answer_count = 3,
  };
  struct bgap_follower *follower = scripted_store_start (&fake, 0);
  const struct timeval back = { .tv_usec = 15000 };
  const struct timeval end = { .tv_usec = 40000 };
  event_base_once (fake.base, -1, EV_TIMEOUT, on_return, follower, &back);
  event_base_loopexit (fake.base, &end);
  scripted_store_finish (&fake, follower);
  assert_int_equal (fake.reads, 2);
}

/**
 * struct appending - appends a record every 10 ms
 */
struct appending
{
  struct scripted_store *fake;
  struct bgap_follower *follower;
  uint64_t offset;
  struct event *timer;
};

static void
on_append (evutil_socket_t fd, short events, void *context)
{
  struct appending *appending = context;
  const struct bgap_store_record record
      = { .offset = appending->offset, .key = "a" };
  (void)fd;
  (void)events;
  bgap_follower_appended (appending->follower, &record);
  if (++appending->offset == 40)
    event_base_loopbreak (appending->fake->base);
}

/* Guards against postponing reads for as long as this instance appends
   records, and against reporting its own records twice or not at all.  */
static void
test_own_records_do_not_postpone_reads (void **state)
{
  (void)state;
  struct scripted_store fake = {
    .answers
    = { { .records = { { .offset = 0, .key = "a" } }, .count = 1, .end = 1 },
        { .end = 1 },
        { .end = 1 },
        { .end = 1 },
        { .end = 1 },
        { .never = true } },
    .answer_count = 6,
  };
  struct bgap_follower *follower = scripted_store_start (&fake, 0);
  struct appending appending
      = { .fake = &fake, .follower = follower, .offset = 1 };
  const struct timeval interval = { .tv_usec = 10000 };
  bgap_follower_set_pace (follower, 1, 50);
  appending.timer
      = event_new (fake.base, -1, EV_PERSIST, on_append, &appending);
  event_add (appending.timer, &interval);
  event_base_dispatch (fake.base);
  event_free (appending.timer);
  assert_true (fake.reads >= 4);
  assert_true (fake.seen_count >= 10);
  for (size_t i = 0; i < fake.seen_count && i < 16; i++)
    assert_int_equal (fake.seen[i], i);
  bgap_follower_shutdown (follower);
  event_base_free (fake.base);
}

/* Guards against a view that counts as recent although most records are
   missing: a page ended before the end of the topic, and the store is away
   before the newest records are loaded.  */
static void
test_part_of_the_records_is_no_view (void **state)
{
  (void)state;
  struct scripted_store fake = {
    .answers
    = { { .records = { { .offset = 9, .key = "a" } }, .count = 1, .end = 10 },
        { .records = { { .offset = 10, .key = "a" } },
          .count = 1,
          .end = 50000 },
        { .outcome = BGAP_STORE_REFUSED } },
    .answer_count = 3,
  };
  scripted_store_follow (&fake);
  assert_int_equal (fake.seen_count, 2);
  assert_int_equal (fake.synced, 1);
  assert_int_equal (fake.seen_when_synced, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_reads_from_last_loaded_record),
    cmocka_unit_test (test_history_truncated_after_load),
    cmocka_unit_test (test_reloads_when_truncated),
    cmocka_unit_test (test_probe_finds_missed_record),
    cmocka_unit_test (test_waiting_read_that_is_not_answered),
    cmocka_unit_test (test_follower_far_behind_reloads),
    cmocka_unit_test (test_part_of_the_records_is_no_view),
    cmocka_unit_test (test_reads_immediately_when_store_recovers),
    cmocka_unit_test (test_own_records_do_not_postpone_reads),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
