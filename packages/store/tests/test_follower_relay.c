#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "banyangap/base/clock.h"
#include "scripted_store.h"

struct relaying
{
  struct scripted_store *fake;
  struct bgap_follower *follower;
};

static const struct answer one_record
    = { .records = { { .offset = 0, .key = "a" } }, .count = 1, .end = 1 };

static int64_t
time_ms (void)
{
  const struct bgap_clock *clock = bgap_clock_system ();
  return clock->now_ms (clock->context);
}

static void
on_relay_page (evutil_socket_t fd, short events, void *context)
{
  const struct relaying *relaying = context;
  const struct bgap_store_record record = { .offset = 1, .key = "a" };
  (void)fd;
  (void)events;
  bgap_follower_on_relay_page (
      relaying->follower, &(struct bgap_relay_page){ .from = 1,
                                                     .next = 4,
                                                     .sent_ms = time_ms (),
                                                     .records = &record,
                                                     .count = 1 });
}

/* Guards against reads by a subscriber that gets records from its relay, and
   against a subscriber that does not read when the relay stops.  */
static void
test_relay_replaces_reads (void **state)
{
  (void)state;
  struct scripted_store fake = {
    .answers = { one_record, { .never = true } },
    .answer_count = 2,
  };
  struct bgap_follower *follower = scripted_store_start (&fake, 0);
  struct relaying relaying = { &fake, follower };
  const struct timeval soon = { .tv_usec = 20000 };
  bgap_follower_set_relayed (follower, true, 0);
  event_base_once (fake.base, -1, EV_TIMEOUT, on_relay_page, &relaying, &soon);
  scripted_store_finish (&fake, follower);
  assert_int_equal (fake.seen_count, 2);
  assert_int_equal (fake.reads, 2);
  assert_int_equal (fake.read_from[1], 4);
}

static void
on_old_page (evutil_socket_t fd, short events, void *context)
{
  const struct relaying *relaying = context;
  (void)fd;
  (void)events;
  bgap_follower_on_relay_page (
      relaying->follower,
      &(struct bgap_relay_page){
          .from = 1, .next = 1, .sent_ms = time_ms () - 60 });
}

/* Guards against a relay time-out that counts from the arrival of a page whose
   read was sent long before. With a slow relay, the subscriber then learned
   too late that a server was leaving.  */
static void
test_relay_timeout_counts_from_read (void **state)
{
  (void)state;
  struct scripted_store fake = {
    .answers = { one_record, { .never = true }, { .never = true } },
    .answer_count = 3,
  };
  struct bgap_follower *follower = scripted_store_start (&fake, 0);
  struct relaying relaying = { &fake, follower };
  const struct timeval soon = { .tv_usec = 20000 };
  const struct timeval end = { .tv_usec = 90000 };
  bgap_follower_set_relayed (follower, true, 0);
  event_base_once (fake.base, -1, EV_TIMEOUT, on_old_page, &relaying, &soon);
  event_base_loopexit (fake.base, &end);
  scripted_store_finish (&fake, follower);
  assert_int_equal (fake.reads, 2);
}

static void
on_aged_page (evutil_socket_t fd, short events, void *context)
{
  const struct relaying *relaying = context;
  (void)fd;
  (void)events;
  bgap_follower_on_relay_page (
      relaying->follower,
      &(struct bgap_relay_page){
          .from = 1, .next = 1, .sent_ms = time_ms () - 5000 });
}

/* Guards against a relay whose own reads get no answers and whose messages
   still postpone the reads of its subscribers.  */
static void
test_relay_without_a_view_does_not_postpone_reads (void **state)
{
  (void)state;
  struct scripted_store fake = {
    .answers = { one_record, { .never = true } },
    .answer_count = 2,
  };
  struct bgap_follower *follower = scripted_store_start (&fake, 8000);
  struct relaying relaying = { &fake, follower };
  const struct timeval interval = { .tv_usec = 20000 };
  const struct timeval end = { .tv_usec = 300000 };
  bgap_follower_set_relayed (follower, true, 0);
  struct event *pages
      = event_new (fake.base, -1, EV_PERSIST, on_aged_page, &relaying);
  event_add (pages, &interval);
  event_base_loopexit (fake.base, &end);
  event_base_dispatch (fake.base);
  event_free (pages);
  assert_int_equal (bgap_follower_counts (follower).reads_abandoned, 0);
  bgap_follower_shutdown (follower);
  event_base_free (fake.base);
}

static void
on_gap (evutil_socket_t fd, short events, void *context)
{
  const struct relaying *relaying = context;
  (void)fd;
  (void)events;
  bgap_follower_on_relay_page (
      relaying->follower, &(struct bgap_relay_page){ .from = 2, .next = 2 });
}

/* Guards against missing a record that the relay did not forward, because an
   earlier read still waits.  */
static void
test_gap_in_relayed_records_is_read (void **state)
{
  (void)state;
  struct scripted_store fake = {
    .answers
    = { one_record,
        { .never = true },
        { .records = { { .offset = 1, .key = "a" } }, .count = 1, .end = 2 } },
    .answer_count = 3,
  };
  struct bgap_follower *follower = scripted_store_start (&fake, 30);
  struct relaying relaying = { &fake, follower };
  const struct timeval soon = { .tv_usec = 20000 };
  bgap_follower_set_relayed (follower, true, 0);
  event_base_once (fake.base, -1, EV_TIMEOUT, on_gap, &relaying, &soon);
  scripted_store_finish (&fake, follower);
  assert_int_equal (fake.seen_count, 2);
  assert_int_equal (fake.read_from[1], 1);
}

/* Guards against one call per record by each subscriber in a zone that is cut
   off from its relay, in a topic with many records per second.  */
static void
test_reads_without_relay_are_rate_limited (void **state)
{
  (void)state;
  struct scripted_store fake = {
    .answers
    = { one_record,
        { .records = { { .offset = 1, .key = "a" } }, .count = 1, .end = 2 },
        { .records = { { .offset = 2, .key = "a" } }, .count = 1, .end = 3 },
        { .records = { { .offset = 3, .key = "a" } }, .count = 1, .end = 4 },
        { .never = true } },
    .answer_count = 5,
  };
  struct bgap_follower *follower = scripted_store_start (&fake, 0);
  const struct timeval end = { .tv_usec = 100000 };
  bgap_follower_set_relayed (follower, true, 60);
  event_base_loopexit (fake.base, &end);
  scripted_store_finish (&fake, follower);
  assert_int_equal (fake.reads, 2);
}

static void
on_impossible_page (evutil_socket_t fd, short events, void *context)
{
  const struct relaying *relaying = context;
  (void)fd;
  (void)events;
  bgap_follower_on_relay_page (
      relaying->follower, &(struct bgap_relay_page){ .from = 9, .next = 9 });
}

static void
on_confirming_page (evutil_socket_t fd, short events, void *context)
{
  const struct relaying *relaying = context;
  (void)fd;
  (void)events;
  bgap_follower_on_relay_page (
      relaying->follower, &(struct bgap_relay_page){
                              .from = 1, .next = 1, .sent_ms = time_ms () });
}

/* A message names an offset that the store has not reached, as one of a relay
   that does not know yet that the store was restored. Guards against a
   subscriber that reads the store itself until the wait of its read ends,
   although a probe has shown that it misses nothing.  */
static void
test_probe_closes_a_gap_beyond_the_end (void **state)
{
  (void)state;
  struct scripted_store fake = {
    .answers = { one_record, { .never = true }, { .end = 1 } },
    .answer_count = 3,
  };
  struct bgap_follower *follower = scripted_store_start (&fake, 8000);
  struct relaying relaying = { &fake, follower };
  const struct timeval soon = { .tv_usec = 20000 };
  const struct timeval later = { .tv_usec = 150000 };
  const struct timeval end = { .tv_usec = 250000 };
  bgap_follower_set_relayed (follower, true, 0);
  event_base_once (fake.base, -1, EV_TIMEOUT, on_impossible_page, &relaying,
                   &soon);
  event_base_once (fake.base, -1, EV_TIMEOUT, on_confirming_page, &relaying,
                   &later);
  event_base_loopexit (fake.base, &end);
  event_base_dispatch (fake.base);
  /* The relay replaces the read that waits.  */
  assert_int_equal (bgap_follower_counts (follower).reads_abandoned, 1);
  bgap_follower_shutdown (follower);
  event_base_free (fake.base);
}

/* Guards against heartbeats of a relay that name the end of the earlier
   timeline: its subscribers take them for records that they miss.  */
static void
test_restored_follower_has_no_position (void **state)
{
  (void)state;
  struct scripted_store fake = {
    .answers = { one_record, { .never = true } },
    .answer_count = 2,
  };
  struct bgap_follower *follower = scripted_store_start (&fake, 0);
  const struct timeval end = { .tv_usec = 20000 };
  event_base_loopexit (fake.base, &end);
  event_base_dispatch (fake.base);
  assert_int_equal (bgap_follower_next_offset (follower), 1);
  bgap_follower_restored (follower);
  assert_int_equal (bgap_follower_next_offset (follower), 0);
  bgap_follower_shutdown (follower);
  event_base_free (fake.base);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_relay_replaces_reads),
    cmocka_unit_test (test_relay_timeout_counts_from_read),
    cmocka_unit_test (test_relay_without_a_view_does_not_postpone_reads),
    cmocka_unit_test (test_gap_in_relayed_records_is_read),
    cmocka_unit_test (test_reads_without_relay_are_rate_limited),
    cmocka_unit_test (test_probe_closes_a_gap_beyond_the_end),
    cmocka_unit_test (test_restored_follower_has_no_position),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
