#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "banyangap/store/relay_codec.h"
#include "banyangap/store/timeline_guard.h"

/**
 * struct fixture - a guard before a store whose calls the test answers
 * @read, @append, @join: the call in progress, its callback NULL if there is
 *   none
 * @restored: timeline of the last report, 0 for none since it was cleared
 * @page, @appended, @joined: outcome of the last call
 */
struct fixture
{
  struct bgap_store_ops store;
  struct bgap_timeline_guard *guard;
  struct bgap_store_read read;
  struct bgap_store_append append;
  struct bgap_store_join join;
  uint64_t restored;
  enum bgap_store_outcome page;
  enum bgap_store_outcome appended;
  enum bgap_store_outcome joined;
};

static enum bgap_status
on_read (void *context, const struct bgap_store_read *call)
{
  ((struct fixture *)context)->read = *call;
  return BGAP_OK;
}

static enum bgap_status
on_append (void *context, const struct bgap_store_append *call)
{
  ((struct fixture *)context)->append = *call;
  return BGAP_OK;
}

static enum bgap_status
on_join (void *context, const struct bgap_store_join *call)
{
  ((struct fixture *)context)->join = *call;
  return BGAP_OK;
}

static void
on_restored (void *context, uint64_t timeline, uint64_t previous)
{
  struct fixture *f = context;
  assert_true (timeline > previous);
  f->restored = timeline;
}

static void
on_page (void *user, const struct bgap_store_page *page)
{
  ((struct fixture *)user)->page = page->outcome;
}

static void
on_appended (void *user, const struct bgap_store_appended *result)
{
  ((struct fixture *)user)->appended = result->outcome;
}

static void
on_joined (void *user, const struct bgap_store_joined *result)
{
  ((struct fixture *)user)->joined = result->outcome;
}

static void
setup (struct fixture *f)
{
  *f = (struct fixture){
    .store
    = { .read = on_read, .append = on_append, .join = on_join, .context = f }
  };
  assert_int_equal (
      bgap_timeline_guard_setup (
          &f->guard,
          &(struct bgap_timeline_guard_desc){
              .store = &f->store, .restored = on_restored, .context = f },
          NULL),
      BGAP_OK);
}

static void
send_read (struct fixture *f)
{
  const struct bgap_store_ops *ops = bgap_timeline_guard_ops (f->guard);
  assert_int_equal (ops->read (ops->context,
                               &(struct bgap_store_read){
                                   .topic = "t", .done = on_page, .user = f }),
                    BGAP_OK);
}

static void
answer_read (struct fixture *f, uint64_t timeline)
{
  f->read.done (f->read.user,
                &(struct bgap_store_page){ .outcome = BGAP_STORE_OK,
                                           .timeline = timeline });
}

static void
send_append (struct fixture *f)
{
  const struct bgap_store_ops *ops = bgap_timeline_guard_ops (f->guard);
  assert_int_equal (
      ops->append (ops->context,
                   &(struct bgap_store_append){
                       .topic = "t", .done = on_appended, .user = f }),
      BGAP_OK);
}

static void
answer_append (struct fixture *f, enum bgap_store_outcome outcome,
               uint64_t timeline)
{
  f->append.done (f->append.user,
                  &(struct bgap_store_appended){ .outcome = outcome,
                                                 .timeline = timeline });
}

/* Guards against a restore that is not noticed, and against one that is seen
   where there was none: the first answer and those without a timeline.  */
static void
test_a_higher_timeline_is_reported_once (void **state)
{
  (void)state;
  struct fixture f;
  setup (&f);
  send_read (&f);
  answer_read (&f, 4);
  assert_int_equal (f.page, BGAP_STORE_OK);
  assert_int_equal (f.restored, 0);
  send_read (&f);
  answer_read (&f, 0);
  assert_int_equal (f.restored, 0);
  send_append (&f);
  answer_append (&f, BGAP_STORE_CONFLICT, 5);
  assert_int_equal (f.restored, 5);
  assert_int_equal (f.appended, BGAP_STORE_CONFLICT);
  f.restored = 0;
  send_read (&f);
  answer_read (&f, 5);
  assert_int_equal (f.restored, 0);
  assert_int_equal (f.page, BGAP_STORE_OK);
  bgap_timeline_guard_shutdown (f.guard);
}

/* Guards against records of a timeline that is over, and against those of the
   new one at the offsets of the former.  */
static void
test_reads_across_a_restore_are_refused (void **state)
{
  (void)state;
  struct fixture f;
  setup (&f);
  send_read (&f);
  answer_read (&f, 1);
  send_read (&f);
  answer_read (&f, 2);
  assert_int_equal (f.restored, 2);
  assert_int_equal (f.page, BGAP_STORE_REFUSED);
  send_read (&f);
  bgap_timeline_guard_learn (f.guard, 3);
  assert_int_equal (f.restored, 3);
  answer_read (&f, 2);
  assert_int_equal (f.page, BGAP_STORE_REFUSED);
  send_read (&f);
  answer_read (&f, 3);
  assert_int_equal (f.page, BGAP_STORE_OK);
  bgap_timeline_guard_shutdown (f.guard);
}

/* Guards against an append whose condition named an offset of the former
   timeline, and which counts as the record that was meant.  */
static void
test_appends_across_a_restore_are_unknown (void **state)
{
  (void)state;
  struct fixture f;
  setup (&f);
  send_append (&f);
  answer_append (&f, BGAP_STORE_OK, 1);
  assert_int_equal (f.appended, BGAP_STORE_OK);
  send_append (&f);
  answer_append (&f, BGAP_STORE_OK, 2);
  assert_int_equal (f.appended, BGAP_STORE_UNKNOWN);
  send_append (&f);
  bgap_timeline_guard_learn (f.guard, 3);
  answer_append (&f, BGAP_STORE_OK, 2);
  assert_int_equal (f.appended, BGAP_STORE_UNKNOWN);
  send_append (&f);
  answer_append (&f, BGAP_STORE_OK, 3);
  assert_int_equal (f.appended, BGAP_STORE_OK);
  bgap_timeline_guard_shutdown (f.guard);
}

/* Guards against a generation of a group that is over.  */
static void
test_joins_of_a_former_timeline_are_refused (void **state)
{
  (void)state;
  struct fixture f;
  setup (&f);
  const struct bgap_store_ops *ops = bgap_timeline_guard_ops (f.guard);
  const struct bgap_store_join call
      = { .group = "g", .member = "m", .done = on_joined, .user = &f };
  bgap_timeline_guard_learn (f.guard, 2);
  assert_int_equal (ops->join (ops->context, &call), BGAP_OK);
  f.join.done (f.join.user, &(struct bgap_store_joined){
                                .outcome = BGAP_STORE_OK, .timeline = 1 });
  assert_int_equal (f.joined, BGAP_STORE_REFUSED);
  assert_int_equal (ops->join (ops->context, &call), BGAP_OK);
  f.join.done (f.join.user, &(struct bgap_store_joined){
                                .outcome = BGAP_STORE_OK, .timeline = 3 });
  assert_int_equal (f.joined, BGAP_STORE_OK);
  assert_int_equal (f.restored, 3);
  bgap_timeline_guard_shutdown (f.guard);
}

/* Guards against a relayed record of the new timeline that is taken for the
   one of the same offset in the former: the history has to be forgotten.  */
static void
test_relayed_records_of_a_former_timeline_are_forgotten (void **state)
{
  (void)state;
  static char former[2 * BGAP_RELAY_DELTA_SIZE_MIN];
  static char other[2 * BGAP_RELAY_DELTA_SIZE_MIN];
  struct bgap_relay_history *relay;
  struct bgap_relay_history *subscriber;
  struct bgap_buffer bytes = { 0 };
  struct bgap_relay_message message;
  memset (former, 'a', sizeof former);
  memset (other, 'b', sizeof other);
  struct bgap_store_record record
      = { .offset = 7, .key = "k", .value = former, .size = sizeof former };
  assert_int_equal (bgap_relay_history_setup (&relay), BGAP_OK);
  assert_int_equal (bgap_relay_history_setup (&subscriber), BGAP_OK);
  bgap_relay_history_add (subscriber, &record, 1);
  bgap_relay_history_clear (subscriber);
  record.value = other;
  const struct bgap_relay_page page = {
    .timeline = 2, .from = 7, .next = 8, .records = &record, .count = 1
  };
  assert_int_equal (bgap_relay_encode (relay, 0, &page, 0, &bytes), BGAP_OK);
  assert_int_equal (bgap_relay_message_timeline (bytes.data, bytes.size), 2);
  assert_int_equal (
      bgap_relay_decode (subscriber, bytes.data, bytes.size, &message, NULL),
      BGAP_OK);
  assert_int_equal (message.page.timeline, 2);
  assert_memory_equal (message.records[0].value, other, sizeof other);
  bgap_relay_message_shutdown (&message);
  bgap_buffer_shutdown (&bytes);
  bgap_relay_history_shutdown (relay);
  bgap_relay_history_shutdown (subscriber);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_a_higher_timeline_is_reported_once),
    cmocka_unit_test (test_reads_across_a_restore_are_refused),
    cmocka_unit_test (test_appends_across_a_restore_are_unknown),
    cmocka_unit_test (test_joins_of_a_former_timeline_are_refused),
    cmocka_unit_test (test_relayed_records_of_a_former_timeline_are_forgotten),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
