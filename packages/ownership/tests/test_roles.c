#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "banyangap/ownership/engine.h"
#include "banyangap/ownership/lease.h"
#include "banyangap/ownership/message.h"

/*
 * One engine, "a", whose peers, server and log are played by the test. These
 * tests pin the order of steps that safety depends on; the simulation rarely
 * meets the timing at which a wrong order shows.
 */

#define SERVICE "s"
#define INCARNATION 7

static struct bgap_engine *engine;
static int64_t now_ms;

/* What the last drained actions contained.  */
static struct
{
  uint64_t check_nonce;
  uint64_t replayed_nonce;
  uint32_t renewals;
  int64_t clock_echo_ms;
  char append[8192];
  uint32_t appends;
} seen;

static void
_note_peer (const struct bgap_engine_action *action)
{
  struct bgap_message message;
  struct bgap_error err = { 0 };
  assert_int_equal (bgap_message_decode (action->bytes.data,
                                         action->bytes.size, &message, &err),
                    BGAP_OK);
  if (message.kind == BGAP_MESSAGE_WITNESS_CHECK)
    seen.check_nonce = message.nonce;
  if (message.kind == BGAP_MESSAGE_APPLIED_QUERY)
    seen.replayed_nonce = message.nonce;
  bgap_message_shutdown (&message);
}

static void
_note_renew (const struct bgap_engine_action *action)
{
  struct bgap_renewal renew;
  struct bgap_error err = { 0 };
  assert_int_equal (bgap_renewal_parse (action->bytes.data, action->bytes.size,
                                        &renew, &err),
                    BGAP_OK);
  seen.renewals++;
  seen.clock_echo_ms = renew.clock_echo_ms;
  bgap_renewal_shutdown (&renew);
}

static void
_drain (void)
{
  struct bgap_engine_action action;
  while (bgap_engine_next_action (engine, &action))
    if (action.kind == BGAP_ACTION_SEND_PEER)
      _note_peer (&action);
    else if (action.kind == BGAP_ACTION_RENEW)
      _note_renew (&action);
    else if (action.kind == BGAP_ACTION_APPEND)
      {
        assert_true (action.bytes.size < sizeof seen.append);
        memcpy (seen.append, action.bytes.data, action.bytes.size + 1);
        seen.appends++;
      }
}

static void
_tick (int64_t ms)
{
  now_ms += ms;
  bgap_engine_tick (engine, now_ms);
  _drain ();
}

static void
_peer (const char *from, struct bgap_message message)
{
  struct bgap_buffer bytes = { 0 };
  assert_int_equal (bgap_message_encode (&message, &bytes), BGAP_OK);
  assert_int_equal (
      bgap_engine_on_peer (engine, from, bytes.data, bytes.size, now_ms),
      BGAP_OK);
  bgap_buffer_shutdown (&bytes);
  _drain ();
}

/* Both peers say that they live, but they never propose.  */
static void
_heartbeats (void)
{
  struct bgap_message message = { .kind = BGAP_MESSAGE_HEARTBEAT,
                                  .caught_up = true,
                                  .log_down = true };
  _peer ("b", message);
  _peer ("c", message);
}

static void
_record (const char *text)
{
  static uint64_t offset;
  offset = bgap_replica_applied (bgap_engine_replica (engine)) + 1;
  bgap_engine_on_record (engine, offset, text, strlen (text), now_ms);
  _drain ();
}

static void
_server (int64_t clock_ms, uint64_t basis)
{
  struct bgap_renewal_reply reply = { .scope = "cell/" SERVICE,
                                      .incarnation = INCARNATION,
                                      .clock_ms = clock_ms,
                                      .newest_basis = basis,
                                      .accepted = true,
                                      .slots = 4 };
  struct bgap_buffer text = { 0 };
  bgap_renewal_reply_print (&reply, &text);
  assert_int_equal (
      bgap_engine_on_server_reply (engine, "s1", text.data, text.size, now_ms),
      BGAP_OK);
  bgap_buffer_shutdown (&text);
  _drain ();
}

static void
_check_reply (const char *from, uint64_t basis, uint64_t witness_basis,
              bool caught_up)
{
  struct bgap_message_scope scope = { .name = SERVICE, .basis = basis };
  struct bgap_message reply = { .kind = BGAP_MESSAGE_WITNESS_REPLY,
                                .nonce = seen.check_nonce,
                                .witness_basis = witness_basis,
                                .caught_up = caught_up,
                                .scopes = &scope,
                                .scope_count = 1 };
  _peer (from, reply);
}

static void
_replayed (const char *from, uint64_t incarnation, uint64_t applied)
{
  struct bgap_message reply = { .kind = BGAP_MESSAGE_APPLIED_REPLY,
                                .nonce = seen.replayed_nonce,
                                .incarnation = incarnation,
                                .applied = applied,
                                .caught_up = true };
  _peer (from, reply);
}

/* Engine "a" of a, b and c, with one server that holds both slices under
   token 2.  */
static int
_setup (void **state)
{
  (void)state;
  static const struct bgap_engine_member members[]
      = { { "a", "z", false }, { "b", "z", false }, { "c", "z", false } };
  static const struct bgap_engine_server servers[]
      = { { .name = "s1", .zone = "z", .service = SERVICE, .slots = 4 },
          { .name = "s2", .zone = "z", .service = SERVICE, .slots = 4 } };
  static const struct bgap_engine_service service
      = { .name = SERVICE, .slices = 2 };
  struct bgap_error err = { 0 };
  now_ms = 1000;
  memset (&seen, 0, sizeof seen);
  bgap_engine_setup (&engine,
                     &(struct bgap_engine_desc){ .cell = "cell",
                                                 .self = "a",
                                                 .zone = "z",
                                                 .incarnation = 1,
                                                 .now_ms = now_ms },
                     &err);
  bgap_engine_set_members (engine, members, 3, now_ms);
  bgap_engine_set_servers (engine, servers, 2, now_ms);
  bgap_engine_set_services (engine, &service, 1, now_ms);
  _record ("{\"schema\":1,\"type\":\"witnesses\",\"based_on\":0,"
           "\"members\":[\"a\",\"b\",\"c\"]}");
  _record ("{\"schema\":1,\"type\":\"grant\",\"scope\":\"s\",\"based_on\":0,"
           "\"slices\":2,\"items\":[{\"first\":0,\"count\":2,"
           "\"server\":\"s1\",\"incarnation\":\"0000000000000007\"}]}");
  bgap_engine_on_log_end (engine, BGAP_OK, 3, now_ms);
  for (int i = 0; i < 5; i++)
    {
      _tick (100);
      _heartbeats ();
    }
  return 0;
}

static int
_teardown (void **state)
{
  (void)state;
  bgap_engine_shutdown (engine);
  return 0;
}

/* Guards against a lease that counts from a clock value which the server gave
   after a witness was asked.  */
static void
test_clock_value_is_older_than_the_check (void **state)
{
  (void)state;
  _server (5000, 2);
  _tick (250);
  assert_int_equal (seen.renewals, 0);
  _server (5300, 2);
  _check_reply ("b", 2, 1, true);
  assert_int_equal (seen.renewals, 1);
  assert_int_equal (seen.clock_echo_ms, 5000);
}

/* Guards against a renewal on the word of a witness that has restarted, that
   knows a newer record or witness set, or that answered an earlier check.  */
static void
test_answers_that_do_not_count (void **state)
{
  (void)state;
  _server (5000, 2);
  _tick (250);
  _check_reply ("b", 2, 1, false);
  _check_reply ("b", 3, 1, true);
  _check_reply ("b", 2, 3, true);
  uint64_t nonce = seen.check_nonce;
  seen.check_nonce = nonce + 1;
  _check_reply ("b", 2, 1, true);
  assert_int_equal (seen.renewals, 0);
  seen.check_nonce = nonce;
  _check_reply ("b", 2, 1, true);
  assert_int_equal (seen.renewals, 1);
}

/* Lets server s1 be lost, s2 answer, and returns after the revoke was read. */
static void
_revoke (void)
{
  struct bgap_renewal_reply other
      = { .incarnation = 9, .clock_ms = 1, .slots = 4 };
  struct bgap_buffer text = { 0 };
  bgap_renewal_reply_print (&other, &text);
  _server (5000, 2);
  for (int i = 0; i < 12; i++)
    {
      _tick (50);
      _heartbeats ();
      bgap_engine_on_server_reply (engine, "s2", text.data, text.size, now_ms);
      _drain ();
    }
  bgap_buffer_shutdown (&text);
  assert_true (bgap_engine_is_proposer (engine));
  assert_non_null (strstr (seen.append, "\"revoke\""));
  _record (seen.append);
  seen.appends = 0;
}

/* Keeps the peers and s2 alive for @ms.  */
static void
_pass (int64_t ms)
{
  struct bgap_renewal_reply other
      = { .incarnation = 9, .clock_ms = 1, .slots = 4 };
  struct bgap_buffer text = { 0 };
  bgap_renewal_reply_print (&other, &text);
  for (; ms > 0; ms -= 10)
    {
      bgap_engine_on_server_reply (engine, "s2", text.data, text.size, now_ms);
      _tick (10);
      if (ms % 100 == 0)
        _heartbeats ();
    }
  bgap_buffer_shutdown (&text);
}

/* Guards against a witness that is counted although it has lost its memory
   between its answer and the moment when the majority was complete.  */
static void
test_restarted_witness_does_not_confirm (void **state)
{
  (void)state;
  _revoke ();
  _replayed ("b", 21, 3);
  _replayed ("b", 22, 3);
  _pass (300);
  assert_int_equal (seen.appends, 0);
  /* One round alone never confirms.  */
  _pass (1000);
  assert_int_equal (seen.appends, 0);
  _replayed ("b", 22, 3);
  _replayed ("b", 22, 3);
  _pass (800);
  assert_int_equal (seen.appends, 0);
  _pass (100);
  assert_true (seen.appends > 0);
  assert_non_null (strstr (seen.append, "\"grant\""));
}

/* Guards against a wait that begins at a time which was read before a pause,
   while the confirmation arrived after it.  */
static void
test_wait_begins_after_the_confirming_call (void **state)
{
  (void)state;
  _revoke ();
  _replayed ("b", 21, 3);
  _replayed ("b", 21, 3);
  now_ms += 5000;
  _heartbeats ();
  _heartbeats ();
  _pass (800);
  assert_int_equal (seen.appends, 0);
  _pass (200);
  assert_true (seen.appends > 0);
}

/* Guards against a wait although the server has given up its entries.  */
static void
test_acknowledgement_replaces_the_wait (void **state)
{
  (void)state;
  _revoke ();
  _server (6000, 3);
  _pass (20);
  assert_true (seen.appends > 0);
  assert_non_null (strstr (seen.append, "\"grant\""));
}

/* Guards against crashes on bytes that are no message.  */
static void
test_malformed_input (void **state)
{
  (void)state;
  static const unsigned char bytes[] = { 0x91, 0xc1, 0xff, 0x00, 0xdd };
  for (size_t size = 0; size <= sizeof bytes; size++)
    {
      assert_int_equal (bgap_engine_on_peer (engine, "b", bytes, size, now_ms),
                        BGAP_ERR_PROTOCOL);
      assert_int_equal (
          bgap_engine_on_server_reply (engine, "s1", bytes, size, now_ms),
          BGAP_ERR_PROTOCOL);
    }
  _record ("\xff\xfe");
  _record ("{\"schema\":1,\"type\":\"revoke\",\"scope\":\"s\","
           "\"based_on\":2,\"items\":[]}");
  struct bgap_engine_route route;
  assert_int_equal (bgap_engine_lookup (engine, SERVICE, "\0\xff", 2, &route),
                    BGAP_OK);
  assert_string_equal (route.server, "s1");
}

int
main (void)
{
#define TEST(name) cmocka_unit_test_setup_teardown (name, _setup, _teardown)
  const struct CMUnitTest tests[] = {
    TEST (test_clock_value_is_older_than_the_check),
    TEST (test_answers_that_do_not_count),
    TEST (test_restarted_witness_does_not_confirm),
    TEST (test_wait_begins_after_the_confirming_call),
    TEST (test_acknowledgement_replaces_the_wait),
    TEST (test_malformed_input),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
