#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/routing/idempotency.h"

#define WALL_MS INT64_C (1700000000000)
#define WINDOW_MS 3600000
#define LOG_MAX 32

/* The stream that all tables of a test replay.  */
struct stream
{
  char *records[LOG_MAX];
  size_t count;
};

static struct stream stream;
static int64_t now_ms;

static int
stream_reset (void **state)
{
  (void)state;
  for (size_t i = 0; i < stream.count; i++)
    free (stream.records[i]);
  stream.count = 0;
  now_ms = 1000;
  return 0;
}

static void
stream_append (const void *bytes, size_t size)
{
  assert_true (stream.count < LOG_MAX);
  char *copy = malloc (size + 1);
  memcpy (copy, bytes, size);
  copy[size] = '\0';
  stream.records[stream.count++] = copy;
}

static void
stream_read (struct bgap_idempotency *table)
{
  uint64_t offset;
  while ((offset = bgap_idempotency_applied_offset (table) + 1)
         <= stream.count)
    assert_int_equal (
        bgap_idempotency_on_record (table, now_ms, WALL_MS + now_ms, offset,
                                    stream.records[offset - 1],
                                    strlen (stream.records[offset - 1]), NULL),
        BGAP_OK);
}

/* Appends a record if one is due. With @lost_response the record is written,
   but the append is reported as failed.  */
static bool
flush (struct bgap_idempotency *table, bool lost_response)
{
  now_ms += 200;
  struct bgap_idempotency_append append;
  if (!bgap_idempotency_next_append (table, now_ms, &append))
    return false;
  stream_append (append.bytes, append.size);
  bgap_idempotency_on_append_done (table, now_ms, append.id, !lost_response);
  return true;
}

static struct bgap_idempotency
open_table (const char *instance, uint64_t incarnation)
{
  struct bgap_idempotency table;
  const struct bgap_idempotency_desc desc
      = { .instance = instance, .incarnation = incarnation, .keys_max = 4 };
  assert_int_equal (bgap_idempotency_setup (&table, &desc, NULL), BGAP_OK);
  bgap_idempotency_on_stream_end (&table, stream.count + 1);
  stream_read (&table);
  assert_true (bgap_idempotency_ready (&table));
  return table;
}

static enum bgap_idempotency_begin_result
begin_at (struct bgap_idempotency *table, int64_t key_ms, uint64_t digest,
          uint32_t request)
{
  char key[64];
  snprintf (key, sizeof key, "%08" PRIx64 "-%04" PRIx64 "-7000-8000-%012x",
            (uint64_t)key_ms >> 16, (uint64_t)key_ms & 0xffff, 1u);
  struct bgap_idempotency_answer answer;
  return bgap_idempotency_begin (table, now_ms, WALL_MS + now_ms, key,
                                 strlen (key), digest, request, &answer);
}

static enum bgap_idempotency_begin_result
begin (struct bgap_idempotency *table, uint32_t request)
{
  return begin_at (table, WALL_MS, 7, request);
}

static void
expect_event (struct bgap_idempotency *table,
              enum bgap_idempotency_event_kind kind, uint32_t request)
{
  struct bgap_idempotency_event event;
  assert_true (bgap_idempotency_next_event (table, &event));
  assert_int_equal (event.kind, kind);
  assert_int_equal (event.request, request);
}

static void
expect_no_event (struct bgap_idempotency *table)
{
  struct bgap_idempotency_event event;
  assert_false (bgap_idempotency_next_event (table, &event));
}

static void
finish (struct bgap_idempotency *table, uint32_t request,
        enum bgap_outcome outcome)
{
  const struct bgap_idempotency_answer answer
      = { .outcome = outcome,
          .http_status = 201,
          .body = "done",
          .body_size = 4,
          .content_type = "text/plain" };
  bgap_idempotency_finish (table, now_ms, request, &answer);
}

/* Guards against two instances that run the same key, and against an instance
   that lost the key but does not get the stored answer.  */
static void
test_one_of_two_instances_runs (void **state)
{
  (void)state;
  struct bgap_idempotency a = open_table ("a", 1);
  struct bgap_idempotency b = open_table ("b", 2);
  assert_int_equal (begin (&a, 10), BGAP_IDEMPOTENCY_WAITING);
  assert_int_equal (begin (&b, 20), BGAP_IDEMPOTENCY_WAITING);
  flush (&b, false);
  flush (&a, false);
  stream_read (&a);
  stream_read (&b);
  expect_event (&b, BGAP_IDEMPOTENCY_EVENT_WON, 20);
  expect_no_event (&a);
  finish (&b, 20, BGAP_OUTCOME_ANSWERED);
  flush (&b, true); /* written, but reported as failed: written again */
  assert_true (flush (&b, false));
  stream_read (&a);
  struct bgap_idempotency_event event;
  assert_true (bgap_idempotency_next_event (&a, &event));
  assert_int_equal (event.kind, BGAP_IDEMPOTENCY_EVENT_STORED);
  assert_int_equal (event.answer.http_status, 201);
  assert_memory_equal (event.answer.body, "done", 4);
  assert_int_equal (begin (&a, 11), BGAP_IDEMPOTENCY_STORED);
  assert_int_equal (begin_at (&a, WALL_MS, 8, 12),
                    BGAP_IDEMPOTENCY_DIGEST_MISMATCH);
  stream_read (&b);
  assert_int_equal (bgap_idempotency_counts (&b).to_append, 0);
  bgap_idempotency_shutdown (&a);
  bgap_idempotency_shutdown (&b);
}

/* Guards against an abandoned intent that is recorded late and blocks its key,
   or runs although its caller got the outcome "not run".  */
static void
test_abandoned_intent_gets_not_run (void **state)
{
  (void)state;
  struct bgap_idempotency a = open_table ("a", 1);
  struct bgap_idempotency b = open_table ("b", 2);
  assert_int_equal (begin (&a, 10), BGAP_IDEMPOTENCY_WAITING);
  flush (&a, true);
  assert_int_equal (bgap_idempotency_cancel (&a, 10),
                    BGAP_IDEMPOTENCY_WAIT_INTENT);
  assert_int_equal (begin (&b, 20), BGAP_IDEMPOTENCY_WAITING);
  flush (&b, false);
  stream_read (&b);
  expect_no_event (&b);
  stream_read (&a);
  expect_no_event (&a);
  assert_true (flush (&a, false));
  stream_read (&b);
  assert_true (flush (&b, false));
  stream_read (&b);
  expect_event (&b, BGAP_IDEMPOTENCY_EVENT_WON, 20);
  bgap_idempotency_shutdown (&a);
  bgap_idempotency_shutdown (&b);
}

/* Guards against repeated records: the intent and the outcome "not run" of an
   abandoned attempt are both written twice. The second outcome must not
   release the key while a later attempt of the same instance runs.  */
static void
test_repeated_outcome_keeps_key (void **state)
{
  (void)state;
  struct bgap_idempotency a = open_table ("a", 1);
  struct bgap_idempotency b = open_table ("b", 2);
  assert_int_equal (begin (&a, 10), BGAP_IDEMPOTENCY_WAITING);
  flush (&a, true);
  bgap_idempotency_cancel (&a, 10);
  assert_int_equal (begin (&a, 11), BGAP_IDEMPOTENCY_WAITING);
  stream_read (&a);
  /* The abandoned attempt has won; it gets the outcome "not run".  */
  expect_no_event (&a);
  flush (&a, true);
  stream_append (stream.records[0], strlen (stream.records[0]));
  stream_append (stream.records[1], strlen (stream.records[1]));
  for (int i = 0; i < 8; i++)
    {
      stream_read (&a);
      flush (&a, false);
    }
  expect_event (&a, BGAP_IDEMPOTENCY_EVENT_WON, 11);
  stream_append (stream.records[1], strlen (stream.records[1]));
  stream_read (&a);
  assert_int_equal (begin (&b, 20), BGAP_IDEMPOTENCY_WAITING);
  flush (&b, false);
  stream_read (&b);
  expect_no_event (&b);
  bgap_idempotency_shutdown (&a);
  bgap_idempotency_shutdown (&b);
}

/* Guards against a restarted instance that runs an intent of its previous
   process, or gives it the outcome "not run", although it may have run.  */
static void
test_restart_does_not_take_over_intent (void **state)
{
  (void)state;
  struct bgap_idempotency a = open_table ("a", 1);
  assert_int_equal (begin (&a, 10), BGAP_IDEMPOTENCY_WAITING);
  flush (&a, false);
  stream_read (&a);
  expect_event (&a, BGAP_IDEMPOTENCY_EVENT_WON, 10);
  bgap_idempotency_shutdown (&a);
  struct bgap_idempotency next = open_table ("a", 3);
  struct bgap_idempotency b = open_table ("b", 2);
  assert_false (flush (&next, false));
  assert_int_equal (begin (&next, 11), BGAP_IDEMPOTENCY_WAITING);
  assert_false (flush (&next, false));
  assert_int_equal (bgap_idempotency_cancel (&next, 11),
                    BGAP_IDEMPOTENCY_WAIT_OUTCOME);
  assert_int_equal (begin (&b, 20), BGAP_IDEMPOTENCY_WAITING);
  bgap_idempotency_on_instance_lost (&b, "a");
  expect_event (&b, BGAP_IDEMPOTENCY_EVENT_INSTANCE_LOST, 20);
  bgap_idempotency_shutdown (&next);
  bgap_idempotency_shutdown (&b);
}

/* Guards against accepting keys outside the window, requests before the replay
   is complete, and an intent that is read back after its key has expired.  */
static void
test_key_outside_window_is_refused (void **state)
{
  (void)state;
  struct bgap_idempotency a = { 0 };
  const struct bgap_idempotency_desc desc
      = { .instance = "a", .incarnation = 1 };
  assert_int_equal (bgap_idempotency_setup (&a, &desc, NULL), BGAP_OK);
  assert_int_equal (begin (&a, 1), BGAP_IDEMPOTENCY_NOT_READY);
  bgap_idempotency_on_stream_end (&a, 1);
  int64_t wall_ms = WALL_MS + now_ms;
  assert_int_equal (begin_at (&a, wall_ms - WINDOW_MS - 1, 7, 2),
                    BGAP_IDEMPOTENCY_KEY_EXPIRED);
  assert_int_equal (begin_at (&a, wall_ms + 60001, 7, 3),
                    BGAP_IDEMPOTENCY_KEY_FUTURE);
  struct bgap_idempotency_answer answer;
  const char version_4[] = "018bcfe5-6800-4000-8000-000000000001";
  assert_int_equal (bgap_idempotency_begin (&a, now_ms, wall_ms, version_4,
                                            strlen (version_4), 7, 4, &answer),
                    BGAP_IDEMPOTENCY_KEY_INVALID);
  assert_int_equal (begin_at (&a, wall_ms - WINDOW_MS, 7, 5),
                    BGAP_IDEMPOTENCY_WAITING);
  flush (&a, false);
  stream_read (&a);
  expect_event (&a, BGAP_IDEMPOTENCY_EVENT_EXPIRED, 5);
  bgap_idempotency_shutdown (&a);
}

/* Guards against running a key again after records were missed because the
   table was full or offsets had a gap.  */
static void
test_incomplete_history_refuses_keys (void **state)
{
  (void)state;
  struct bgap_idempotency a = open_table ("a", 1);
  struct bgap_idempotency b = open_table ("b", 2);
  for (uint32_t i = 0; i < 4; i++)
    assert_int_equal (begin_at (&a, WALL_MS + i, 7, i + 1),
                      BGAP_IDEMPOTENCY_WAITING);
  assert_int_equal (begin_at (&a, WALL_MS + 4, 7, 9), BGAP_IDEMPOTENCY_FULL);
  assert_int_equal (begin_at (&b, WALL_MS + 5, 7, 1),
                    BGAP_IDEMPOTENCY_WAITING);
  flush (&b, false);
  stream_read (&a);
  for (uint32_t i = 0; i < 4; i++)
    bgap_idempotency_cancel (&a, i + 1);
  assert_int_equal (bgap_idempotency_counts (&a).keys, 0);
  assert_int_equal (begin_at (&a, WALL_MS + 5, 7, 1), BGAP_IDEMPOTENCY_FULL);
  assert_int_equal (begin_at (&a, WALL_MS + 6, 7, 2),
                    BGAP_IDEMPOTENCY_WAITING);
  /* A gap between offsets.  */
  assert_int_equal (bgap_idempotency_on_record (
                        &b, now_ms, WALL_MS + now_ms, 5, stream.records[0],
                        strlen (stream.records[0]), NULL),
                    BGAP_OK);
  assert_int_equal (begin_at (&b, WALL_MS + 7, 7, 3), BGAP_IDEMPOTENCY_FULL);
  bgap_idempotency_shutdown (&a);
  bgap_idempotency_shutdown (&b);
}

/* Guards against running a key again after the clock has jumped forward and
   back: the key has expired and must not be taken for a new one, and neither
   must a key whose record was read during the jump.  */
static void
test_clock_jump_does_not_run_key_again (void **state)
{
  (void)state;
  struct bgap_idempotency a = open_table ("a", 1);
  struct bgap_idempotency b = open_table ("b", 2);
  assert_int_equal (begin (&a, 10), BGAP_IDEMPOTENCY_WAITING);
  flush (&a, false);
  stream_read (&a);
  expect_event (&a, BGAP_IDEMPOTENCY_EVENT_WON, 10);
  finish (&a, 10, BGAP_OUTCOME_ANSWERED);
  int64_t ahead_ms = WALL_MS + now_ms + 3 * (int64_t)WINDOW_MS;
  bgap_idempotency_tick (&a, now_ms, ahead_ms);
  assert_int_equal (bgap_idempotency_counts (&a).keys, 0);
  assert_int_equal (begin (&a, 11), BGAP_IDEMPOTENCY_FULL);
  assert_int_equal (
      bgap_idempotency_on_record (&b, now_ms, ahead_ms, 1, stream.records[0],
                                  strlen (stream.records[0]), NULL),
      BGAP_OK);
  assert_int_equal (begin (&b, 20), BGAP_IDEMPOTENCY_FULL);
  bgap_idempotency_shutdown (&a);
  bgap_idempotency_shutdown (&b);
}

/* Guards against more than one append in flight, and against an append for
   every request.  */
static void
test_group_commit (void **state)
{
  (void)state;
  struct bgap_idempotency a = open_table ("a", 1);
  struct bgap_idempotency_append append;
  begin_at (&a, WALL_MS, 7, 1);
  assert_true (bgap_idempotency_next_append (&a, 1000, &append));
  begin_at (&a, WALL_MS + 1, 7, 2);
  begin_at (&a, WALL_MS + 2, 7, 3);
  assert_false (bgap_idempotency_next_append (&a, 1100, &append));
  bgap_idempotency_on_append_done (&a, 1005, append.id, true);
  assert_false (bgap_idempotency_next_append (&a, 1019, &append));
  assert_true (bgap_idempotency_next_append (&a, 1020, &append));
  struct bgap_idempotency_record record;
  assert_int_equal (
      bgap_idempotency_record_parse (&record, append.bytes, append.size, NULL),
      BGAP_OK);
  assert_int_equal (json_array_size (record.items), 2);
  bgap_idempotency_record_shutdown (&record);
  bgap_idempotency_shutdown (&a);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup (test_one_of_two_instances_runs, stream_reset),
    cmocka_unit_test_setup (test_abandoned_intent_gets_not_run, stream_reset),
    cmocka_unit_test_setup (test_repeated_outcome_keeps_key, stream_reset),
    cmocka_unit_test_setup (test_restart_does_not_take_over_intent,
                            stream_reset),
    cmocka_unit_test_setup (test_key_outside_window_is_refused, stream_reset),
    cmocka_unit_test_setup (test_incomplete_history_refuses_keys,
                            stream_reset),
    cmocka_unit_test_setup (test_clock_jump_does_not_run_key_again,
                            stream_reset),
    cmocka_unit_test_setup (test_group_commit, stream_reset),
  };
  return cmocka_run_group_tests (tests, NULL, stream_reset);
}
