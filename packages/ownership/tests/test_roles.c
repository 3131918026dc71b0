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
 * One engine, "a", with peers, servers and a log that the test simulates. The
 * tests check the order of steps on which safety depends; random simulation
 * rarely produces the timing at which a wrong order has an effect.
 */

#define SERVICE "s"
#define INCARNATION 7

static struct bgap_engine *engine;
static int64_t now_ms;

/* Contents of the actions that were taken from the engine.  */
static struct
{
  uint64_t check_nonce;
  uint64_t replayed_nonce;
  uint32_t renewals;
  int64_t clock_echo_ms;
  char append[8192];
  uint32_t appends;
} taken;

static void
_parse_peer_message (const struct bgap_engine_action *action)
{
  struct bgap_message message;
  struct bgap_error err = { 0 };
  assert_int_equal (bgap_message_decode (action->bytes.data,
                                         action->bytes.size, &message, &err),
                    BGAP_OK);
  if (message.kind == BGAP_MESSAGE_WITNESS_CHECK)
    taken.check_nonce = message.nonce;
  if (message.kind == BGAP_MESSAGE_APPLIED_QUERY)
    taken.replayed_nonce = message.nonce;
  bgap_message_shutdown (&message);
}

static void
_parse_renew (const struct bgap_engine_action *action)
{
  struct bgap_renewal renew;
  struct bgap_error err = { 0 };
  assert_int_equal (bgap_renewal_parse (action->bytes.data, action->bytes.size,
                                        &renew, &err),
                    BGAP_OK);
  taken.renewals++;
  taken.clock_echo_ms = renew.clock_echo_ms;
  bgap_renewal_shutdown (&renew);
}

static void
_take_actions (void)
{
  struct bgap_engine_action action;
  while (bgap_engine_next_action (engine, &action))
    if (action.kind == BGAP_ACTION_SEND_PEER)
      _parse_peer_message (&action);
    else if (action.kind == BGAP_ACTION_RENEW)
      _parse_renew (&action);
    else if (action.kind == BGAP_ACTION_APPEND)
      {
        assert_true (action.bytes.size < sizeof taken.append);
        memcpy (taken.append, action.bytes.data, action.bytes.size + 1);
        taken.appends++;
      }
}

static void
_tick (int64_t ms)
{
  now_ms += ms;
  bgap_engine_tick (engine, now_ms);
  _take_actions ();
}

static void
_receive (const char *from, struct bgap_message message)
{
  struct bgap_buffer bytes = { 0 };
  assert_int_equal (bgap_message_encode (&message, &bytes), BGAP_OK);
  assert_int_equal (bgap_engine_on_peer_message (engine, from, bytes.data,
                                                 bytes.size, now_ms),
                    BGAP_OK);
  bgap_buffer_shutdown (&bytes);
  _take_actions ();
}

/* Heartbeats of both peers, which never propose as they report that the log is
   unavailable.  */
static void
_receive_heartbeats (void)
{
  struct bgap_message message = { .kind = BGAP_MESSAGE_HEARTBEAT,
                                  .caught_up = true,
                                  .log_down = true };
  _receive ("b", message);
  _receive ("c", message);
}

static void
_read_record (const char *text)
{
  static uint64_t offset;
  offset = bgap_replica_applied (bgap_engine_replica (engine)) + 1;
  bgap_engine_on_record (engine, offset, text, strlen (text), now_ms);
  _take_actions ();
}

static void
_server_reply (int64_t clock_ms, uint64_t basis)
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
  _take_actions ();
}

static void
_check_reply (const char *from, uint64_t basis, uint64_t witness_basis,
              bool caught_up)
{
  struct bgap_message_scope scope = { .name = SERVICE, .basis = basis };
  struct bgap_message reply = { .kind = BGAP_MESSAGE_WITNESS_REPLY,
                                .nonce = taken.check_nonce,
                                .witness_basis = witness_basis,
                                .caught_up = caught_up,
                                .scopes = &scope,
                                .scope_count = 1 };
  _receive (from, reply);
}

static void
_replayed_reply (const char *from, uint64_t incarnation, uint64_t applied)
{
  struct bgap_message reply = { .kind = BGAP_MESSAGE_APPLIED_REPLY,
                                .nonce = taken.replayed_nonce,
                                .incarnation = incarnation,
                                .applied = applied,
                                .caught_up = true };
  _receive (from, reply);
}

/* Sets up engine "a" of the members a, b and c; server s1 holds both slices
   with token 2.  */
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
  memset (&taken, 0, sizeof taken);
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
  _read_record ("{\"schema\":1,\"type\":\"witnesses\",\"based_on\":0,"
                "\"members\":[\"a\",\"b\",\"c\"]}");
  _read_record (
      "{\"schema\":1,\"type\":\"grant\",\"scope\":\"s\",\"based_on\":0,"
      "\"slices\":2,\"items\":[{\"first\":0,\"count\":2,"
      "\"server\":\"s1\",\"incarnation\":\"0000000000000007\"}]}");
  bgap_engine_on_log_end (engine, BGAP_OK, 3, now_ms);
  for (int i = 0; i < 5; i++)
    {
      _tick (100);
      _receive_heartbeats ();
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

/* Guards against a lease that starts at a clock value which the server sent
   after a witness was queried.  */
static void
test_clock_value_is_older_than_check (void **state)
{
  (void)state;
  _server_reply (5000, 2);
  _tick (250);
  assert_int_equal (taken.renewals, 0);
  _server_reply (5300, 2);
  _check_reply ("b", 2, 1, true);
  assert_int_equal (taken.renewals, 1);
  assert_int_equal (taken.clock_echo_ms, 5000);
}

/* Guards against a renewal that counts the answer of a witness that has
   restarted, that knows a newer record or witness set, or that answers another
   check.  */
static void
test_answers_not_counted (void **state)
{
  (void)state;
  _server_reply (5000, 2);
  _tick (250);
  _check_reply ("b", 2, 1, false);
  _check_reply ("b", 3, 1, true);
  _check_reply ("b", 2, 3, true);
  uint64_t nonce = taken.check_nonce;
  taken.check_nonce = nonce + 1;
  _check_reply ("b", 2, 1, true);
  assert_int_equal (taken.renewals, 0);
  taken.check_nonce = nonce;
  _check_reply ("b", 2, 1, true);
  assert_int_equal (taken.renewals, 1);
}

/* Lets s1 stop replying and s2 reply; returns after the revoke was read.  */
static void
_lose_server (void)
{
  struct bgap_renewal_reply other
      = { .incarnation = 9, .clock_ms = 1, .slots = 4 };
  struct bgap_buffer text = { 0 };
  bgap_renewal_reply_print (&other, &text);
  _server_reply (5000, 2);
  for (int i = 0; i < 12; i++)
    {
      _tick (50);
      _receive_heartbeats ();
      bgap_engine_on_server_reply (engine, "s2", text.data, text.size, now_ms);
      _take_actions ();
    }
  bgap_buffer_shutdown (&text);
  assert_true (bgap_engine_is_proposer (engine));
  assert_non_null (strstr (taken.append, "\"revoke\""));
  _read_record (taken.append);
  taken.appends = 0;
}

/* Advances time by @ms while the peers and s2 are live.  */
static void
_advance (int64_t ms)
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
        _receive_heartbeats ();
    }
  bgap_buffer_shutdown (&text);
}

/* Guards against counting a witness that has restarted and lost its state
   between its answer and the completion of the majority.  */
static void
test_restarted_witness_does_not_confirm (void **state)
{
  (void)state;
  _lose_server ();
  _replayed_reply ("b", 21, 3);
  _replayed_reply ("b", 22, 3);
  _advance (300);
  assert_int_equal (taken.appends, 0);
  /* A single round never confirms.  */
  _advance (1000);
  assert_int_equal (taken.appends, 0);
  _replayed_reply ("b", 22, 3);
  _replayed_reply ("b", 22, 3);
  _advance (800);
  assert_int_equal (taken.appends, 0);
  _advance (100);
  assert_true (taken.appends > 0);
  assert_non_null (strstr (taken.append, "\"grant\""));
}

/* Guards against a lease wait that starts at a time read before the process
   was paused, while the confirmation was processed after the pause.  */
static void
test_wait_starts_after_confirming_call (void **state)
{
  (void)state;
  _lose_server ();
  _replayed_reply ("b", 21, 3);
  _replayed_reply ("b", 21, 3);
  now_ms += 5000;
  _receive_heartbeats ();
  _receive_heartbeats ();
  _advance (800);
  assert_int_equal (taken.appends, 0);
  _advance (200);
  assert_true (taken.appends > 0);
}

/* Guards against a lease wait although the server has acknowledged the revoke.
 */
static void
test_acknowledgement_replaces_wait (void **state)
{
  (void)state;
  _lose_server ();
  _server_reply (6000, 3);
  _advance (20);
  assert_true (taken.appends > 0);
  assert_non_null (strstr (taken.append, "\"grant\""));
}

/* Guards against crashes on malformed messages and records.  */
static void
test_malformed_input (void **state)
{
  (void)state;
  static const unsigned char bytes[] = { 0x91, 0xc1, 0xff, 0x00, 0xdd };
  for (size_t size = 0; size <= sizeof bytes; size++)
    {
      assert_int_equal (
          bgap_engine_on_peer_message (engine, "b", bytes, size, now_ms),
          BGAP_ERR_PROTOCOL);
      assert_int_equal (
          bgap_engine_on_server_reply (engine, "s1", bytes, size, now_ms),
          BGAP_ERR_PROTOCOL);
    }
  _read_record ("\xff\xfe");
  _read_record ("{\"schema\":1,\"type\":\"revoke\",\"scope\":\"s\","
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
    TEST (test_clock_value_is_older_than_check),
    TEST (test_answers_not_counted),
    TEST (test_restarted_witness_does_not_confirm),
    TEST (test_wait_starts_after_confirming_call),
    TEST (test_acknowledgement_replaces_wait),
    TEST (test_malformed_input),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
