#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "banyangap/ownership/holder.h"
#include "banyangap/ownership/message.h"

#define SCOPE "hoejmosen/mosearkiv"
#define SERVICE "mosearkiv"
#define INCARNATION 77

static struct bgap_holder *holder;

static int
_setup (void **state)
{
  (void)state;
  return bgap_holder_setup (
      &holder, &(struct bgap_holder_desc){ .incarnation = INCARNATION });
}

static int
_teardown (void **state)
{
  (void)state;
  bgap_holder_shutdown (holder);
  return 0;
}

/* Sends a renewal to the holder and returns its reply. The renewal is complete
   unless @items is NULL.  */
static struct bgap_renewal_reply
_renew (uint64_t basis, uint64_t incarnation, int64_t echo_ms, int64_t now_ms,
        struct bgap_renewal_item *items, uint32_t count)
{
  struct bgap_renewal renew = { .scope = SCOPE,
                                .basis = basis,
                                .incarnation = incarnation,
                                .clock_echo_ms = echo_ms,
                                .lease_ms = BGAP_LEASE_MS,
                                .slice_count = 1,
                                .complete = items != NULL,
                                .items = items,
                                .item_count = count };
  struct bgap_buffer text = { 0 };
  struct bgap_buffer reply_text = { 0 };
  struct bgap_error err = { 0 };
  struct bgap_renewal_reply reply;
  assert_int_equal (bgap_renewal_print (&renew, &text), BGAP_OK);
  assert_int_equal (bgap_holder_on_renew (holder, text.data, text.size, now_ms,
                                          &reply_text, &err),
                    BGAP_OK);
  assert_int_equal (bgap_renewal_reply_parse (reply_text.data, reply_text.size,
                                              &reply, &err),
                    BGAP_OK);
  bgap_buffer_shutdown (&text);
  bgap_buffer_shutdown (&reply_text);
  return reply;
}

static enum bgap_holder_verdict
_check (const char *key, uint64_t token, int64_t now_ms)
{
  return bgap_holder_check (holder, SERVICE, key, strlen (key), token, now_ms);
}

/* Guards against a lease that starts when the renewal arrives, so that a
   delayed renewal extends it, and against a renewal that shortens it.  */
static void
test_lease_starts_at_the_echoed_clock (void **state)
{
  (void)state;
  struct bgap_renewal_item item = { .count = 1, .token = 5 };
  assert_int_equal (_check ("k", 5, 1000), BGAP_HOLDER_NO_LEASE);
  assert_true (_renew (5, INCARNATION, 1000, 1700, &item, 1).accepted);
  assert_int_equal (_check ("k", 5, 1799), BGAP_HOLDER_OK);
  assert_int_equal (_check ("k", 5, 1800), BGAP_HOLDER_NO_LEASE);
  assert_int_equal (_check ("k", 4, 1799), BGAP_HOLDER_TOKEN_MISMATCH);
  assert_true (_renew (5, INCARNATION, 900, 1750, NULL, 0).accepted);
  assert_int_equal (bgap_holder_lease_end (holder, SERVICE), 1800);
}

/* Guards against accepting a renewal from a renewer with an older basis, for
   an earlier incarnation, without the entries of a new basis, or with a clock
   value that this holder never reported.  */
static void
test_refused_renewals (void **state)
{
  (void)state;
  struct bgap_renewal_item item = { .count = 1, .token = 5 };
  assert_false (_renew (5, INCARNATION, 1000, 1000, NULL, 0).accepted);
  assert_true (_renew (5, INCARNATION, 1000, 1000, &item, 1).accepted);
  struct bgap_renewal_reply reply
      = _renew (4, INCARNATION, 1500, 1500, &item, 1);
  assert_false (reply.accepted);
  assert_int_equal (reply.newest_basis, 5);
  assert_false (_renew (5, INCARNATION + 1, 1500, 1500, &item, 1).accepted);
  assert_false (_renew (6, INCARNATION, 1500, 1500, NULL, 0).accepted);
  assert_false (_renew (5, INCARNATION, 1501, 1500, &item, 1).accepted);
  assert_int_equal (bgap_holder_lease_end (holder, SERVICE), 1800);
  assert_true (_renew (6, INCARNATION, 1500, 1500, &item, 0).accepted);
  assert_int_equal (_check ("k", 5, 1501), BGAP_HOLDER_NOT_HELD);
}

/* Guards against a server that serves a split key under the token of its slice
   after the key has moved to another server.  */
static void
test_keys_split_from_a_held_slice (void **state)
{
  (void)state;
  struct bgap_renewal_item items[]
      = { { .count = 1, .token = 5 },
          { .key = (unsigned char *)"gone", .key_size = 4 },
          { .key = (unsigned char *)"own", .key_size = 3, .token = 8 } };
  assert_true (_renew (9, INCARNATION, 1000, 1000, items, 3).accepted);
  assert_int_equal (_check ("k", 5, 1001), BGAP_HOLDER_OK);
  assert_int_equal (_check ("gone", 5, 1001), BGAP_HOLDER_NOT_HELD);
  assert_int_equal (_check ("own", 5, 1001), BGAP_HOLDER_TOKEN_MISMATCH);
  assert_int_equal (_check ("own", 8, 1001), BGAP_HOLDER_OK);
}

/* Guards against acknowledging a new basis while a request of a lost entry is
   in flight: the next holder could run a request of the same key at the same
   time.  */
static void
test_acknowledgement_waits_for_requests_in_flight (void **state)
{
  (void)state;
  uint32_t first;
  uint32_t second;
  struct bgap_renewal_item item = { .count = 1, .token = 5 };
  assert_int_equal (_renew (5, INCARNATION, 1000, 1000, &item, 1).newest_basis,
                    5);
  assert_int_equal (
      bgap_holder_begin (holder, SERVICE, "k", 1, 4, 1001, &first),
      BGAP_HOLDER_TOKEN_MISMATCH);
  assert_int_equal (
      bgap_holder_begin (holder, SERVICE, "k", 1, 5, 1001, &first),
      BGAP_HOLDER_OK);
  assert_int_equal (
      bgap_holder_begin (holder, SERVICE, "l", 1, 5, 1001, &second),
      BGAP_HOLDER_OK);
  assert_int_equal (_renew (6, INCARNATION, 1001, 1001, &item, 1).newest_basis,
                    6);
  struct bgap_renewal_reply reply
      = _renew (7, INCARNATION, 1002, 1002, &item, 0);
  assert_true (reply.accepted);
  assert_int_equal (reply.newest_basis, 6);
  assert_int_equal (_check ("k", 5, 1003), BGAP_HOLDER_NOT_HELD);
  bgap_holder_end (holder, first);
  bgap_holder_end (holder, first);
  assert_int_equal (_renew (7, INCARNATION, 1003, 1003, NULL, 0).newest_basis,
                    6);
  bgap_holder_end (holder, second);
  assert_int_equal (_renew (7, INCARNATION, 1004, 1004, NULL, 0).newest_basis,
                    7);
}

/* Guards against crashes and state changes on malformed input.  */
static void
test_malformed_renewals (void **state)
{
  (void)state;
  static const char *const texts[] = {
    "",
    "[]",
    "{}",
    "{\"scope\":\"a/b\",\"basis\":1,\"incarnation\":\"000000000000004d\","
    "\"clock_echo_ms\":1,\"lease_ms\":801,\"slice_count\":1,\"slices\":[]}",
    "{\"scope\":\"a/b\",\"basis\":1,\"incarnation\":\"000000000000004d\","
    "\"clock_echo_ms\":1,\"lease_ms\":800,\"slice_count\":4,"
    "\"slices\":[{\"first\":3,\"count\":2,\"token\":1}]}",
    "{\"scope\":\"a/b\",\"basis\":1,\"incarnation\":\"000000000000004d\","
    "\"clock_echo_ms\":1,\"lease_ms\":800,\"slice_count\":3,\"slices\":[]}",
    "{\"scope\":\"a/b\",\"basis\":1,\"incarnation\":\"000000000000004d\","
    "\"clock_echo_ms\":1,\"lease_ms\":800,\"slice_count\":1,"
    "\"slices\":[{\"key\":\"00\",\"token\":1},{\"key\":\"00\",\"token\":2}]}",
  };
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      struct bgap_buffer reply = { 0 };
      struct bgap_error err = { 0 };
      assert_int_equal (bgap_holder_on_renew (holder, texts[i],
                                              strlen (texts[i]), 10, &reply,
                                              &err),
                        BGAP_ERR_PROTOCOL);
      assert_int_equal (reply.size, 0);
      bgap_buffer_shutdown (&reply);
    }
  assert_int_equal (bgap_holder_lease_end (holder, "b"), 0);
}

/* Guards against fields that are lost between instances, and against accepting
   truncated messages and lengths that exceed the input.  */
static void
test_message_round_trip (void **state)
{
  (void)state;
  struct bgap_message_scope scope = { .name = SERVICE, .basis = 12 };
  struct bgap_message_server server
      = { .name = "s1", .incarnation = UINT64_MAX, .acked = 11, .age_ms = -1 };
  struct bgap_message_load load = { .slice = 3, .requests = 9 };
  struct bgap_bytes record = { "text", 4 };
  struct bgap_message message = { .kind = BGAP_MESSAGE_WITNESS_REPLY,
                                  .nonce = 42,
                                  .applied = 13,
                                  .witness_basis = 2,
                                  .caught_up = true,
                                  .scopes = &scope,
                                  .scope_count = 1,
                                  .servers = &server,
                                  .server_count = 1,
                                  .loads = &load,
                                  .load_count = 1,
                                  .records = &record,
                                  .record_count = 1 };
  struct bgap_buffer bytes = { 0 };
  struct bgap_message copy;
  struct bgap_error err = { 0 };
  assert_int_equal (bgap_message_encode (&message, &bytes), BGAP_OK);
  for (size_t size = 0; size < bytes.size; size++)
    assert_int_equal (bgap_message_decode (bytes.data, size, &copy, &err),
                      BGAP_ERR_PROTOCOL);
  assert_int_equal (bgap_message_decode (bytes.data, bytes.size, &copy, &err),
                    BGAP_OK);
  assert_int_equal (copy.nonce, 42);
  assert_true (copy.caught_up);
  assert_false (copy.stopped);
  assert_int_equal (copy.scopes[0].basis, 12);
  assert_true (copy.servers[0].incarnation == UINT64_MAX);
  assert_int_equal (copy.servers[0].age_ms, -1);
  assert_int_equal (copy.loads[0].requests, 9);
  assert_memory_equal (copy.records[0].data, "text", 4);
  bgap_message_shutdown (&copy);
  bgap_buffer_shutdown (&bytes);
  static const unsigned char huge[] = { 0xdd, 0xff, 0xff, 0xff, 0xff, 1 };
  assert_int_equal (bgap_message_decode (huge, sizeof huge, &copy, &err),
                    BGAP_ERR_PROTOCOL);
}

int
main (void)
{
#define TEST(name) cmocka_unit_test_setup_teardown (name, _setup, _teardown)
  const struct CMUnitTest tests[] = {
    TEST (test_lease_starts_at_the_echoed_clock),
    TEST (test_refused_renewals),
    TEST (test_keys_split_from_a_held_slice),
    TEST (test_acknowledgement_waits_for_requests_in_flight),
    TEST (test_malformed_renewals),
    TEST (test_message_round_trip),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
