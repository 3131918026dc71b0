#include <string.h>

#include "banyangap/base/hash.h"
#include "banyangap/routing/message.h"
#include "banyangap/routing/server.h"
#include "fixture.h"

static const struct bgap_service_desc plain = { .name = "s" };

static struct bgap_server_status
status_of (struct fixture *f, struct bgap_server_id id)
{
  struct bgap_server_status status = { 0 };
  assert_int_equal (
      bgap_router_server_status (&f->router, f->now_ms, id, &status), BGAP_OK);
  return status;
}

/* Guards against dispatching requests to a draining server, for each of the
   drain signals, and against clearing one signal by clearing another.  */
static void
test_drain_signals (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &plain);
  struct bgap_server_id a = fixture_server (&f, "a", "z1", 4);
  struct bgap_server_id b = fixture_server (&f, "b", "z2", 4);
  for (int signal = 0; signal < BGAP_DRAIN_COUNT; signal++)
    {
      bgap_router_server_drain (&f.router, f.now_ms, a,
                                (enum bgap_drain_signal)signal, true);
      bgap_router_server_drain (
          &f.router, f.now_ms, a,
          (enum bgap_drain_signal) ((signal + 1) % BGAP_DRAIN_COUNT), false);
      fixture_request (&f, NULL);
      struct bgap_router_action d
          = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
      assert_int_equal (d.server.id, b.id);
      bgap_router_server_drain (&f.router, f.now_ms, a,
                                (enum bgap_drain_signal)signal, false);
    }
  fixture_request (&f, NULL);
  assert_int_equal (fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH).server.id,
                    a.id);
  fixture_shutdown (&f);
}

/* Guards against a failing server that is not ejected, and against ejection of
   more than half of the servers.  */
static void
test_at_most_half_of_servers_ejected (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &plain);
  struct bgap_server_id servers[3];
  for (int i = 0; i < 3; i++)
    servers[i]
        = fixture_server (&f, (const char *[]){ "a", "b", "c" }[i], "z1", 1);
  struct bgap_router_action action;
  for (int i = 0; i < 300; i++)
    {
      fixture_request (&f, &(struct bgap_request_desc){ 0 });
      while (bgap_router_next_action (&f.router, &action))
        if (action.kind == BGAP_ROUTER_ACTION_DISPATCH)
          fixture_result (&f, action.attempt, BGAP_RESULT_BROKEN);
    }
  int ejected = 0;
  for (int i = 0; i < 3; i++)
    ejected += status_of (&f, servers[i]).ejected;
  assert_int_equal (ejected, 1);
  fixture_wait (&f, 30000);
  for (int i = 0; i < 3; i++)
    assert_false (status_of (&f, servers[i]).ejected);
  fixture_shutdown (&f);
}

/* Guards against a new server process that gets its full limit at once.  */
static void
test_slow_start (void **state)
{
  (void)state;
  struct bgap_server server;
  const struct bgap_server_desc desc
      = { .name = "a", .zone = "z", .slots = 8, .connections = 120 };
  bgap_server_setup (&server, 0, &desc);
  assert_int_equal (bgap_server_limit (&server, 0), 1);
  assert_int_equal (bgap_server_limit (&server, 5000), 4);
  assert_int_equal (bgap_server_limit (&server, 10000), 8);
  assert_false (bgap_server_on_alive (&server, 20000, 1));
  assert_int_equal (bgap_server_limit (&server, 20000), 8);
  assert_true (bgap_server_on_alive (&server, 20000, 2));
  assert_int_equal (bgap_server_limit (&server, 20000), 1);
}

/* Guards against a limit above the connection quota of the instance, and
   against a load report that does not lose weight with its age.  */
static void
test_quota_and_load (void **state)
{
  (void)state;
  struct bgap_server server;
  const struct bgap_server_desc desc = { .name = "a",
                                         .zone = "z",
                                         .slots = 8,
                                         .connections = 36,
                                         .already_running = true };
  bgap_server_setup (&server, 0, &desc);
  assert_int_equal (bgap_server_limit (&server, 0), 3);
  const struct bgap_server_load load = { .in_flight = 8, .slots = 8 };
  bgap_server_on_load (&server, 0, &load);
  assert_int_equal (bgap_server_load (&server, 0), 100);
  assert_int_equal (bgap_server_load (&server, 2000), 50);
  assert_int_equal (bgap_server_load (&server, 60000), 0);
}

/* Load: 81 instances, each of which sends the holder of a key a request every
   few seconds, so that no response tells it that the server is free again.
   Guards against requests that wait until their deadline for a server that was
   full in the last report.  */
static void
test_report_of_a_full_server_expires (void **state)
{
  (void)state;
  struct bgap_server server;
  const struct bgap_server_desc desc = { .name = "a",
                                         .zone = "z",
                                         .slots = 2,
                                         .connections = 4,
                                         .entry_hosts_max = 1,
                                         .instances = 81,
                                         .already_running = true };
  const struct bgap_server_load full = { .in_flight = 2, .queued = 6 };
  bgap_server_setup (&server, 0, &desc);
  server.shared = true;
  server.queue_allowance = 4;
  bgap_server_on_latency (&server, 150, true);
  bgap_server_on_load (&server, 0, &full);
  assert_true (bgap_server_busy (&server, 500));
  assert_false (bgap_server_busy (&server, 700));
}

/* Guards against a crash of the decoder, or a partial effect, caused by a
   truncated message or an array header that declares 4 billion items.  */
static void
test_malformed_messages (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &plain);
  struct bgap_buffer message = { 0 };
  const struct bgap_routing_suspicion item = {
    .fingerprint = 5, .kind = BGAP_SUSPICION_QUARANTINED, .remaining_ms = 9
  };
  bgap_routing_encode_suspicions (&message, &item, 1);
  for (size_t size = 0; size < message.size; size++)
    assert_int_equal (bgap_router_on_peer (&f.router, 0, "p",
                                           BGAP_ROUTING_MESSAGE_SUSPICIONS,
                                           message.data, size, NULL),
                      BGAP_ERR_PROTOCOL);
  static const char array[] = "\x01\xdd\xff\xff\xff\xff";
  assert_int_equal (bgap_router_on_peer (&f.router, 0, "p",
                                         BGAP_ROUTING_MESSAGE_LOADS, array,
                                         sizeof array - 1, NULL),
                    BGAP_ERR_PROTOCOL);
  fixture_request (&f, &(struct bgap_request_desc){ .fingerprint = 5 });
  assert_int_equal (fixture_expect (&f, BGAP_ROUTER_ACTION_FINISH).http_status,
                    503);
  bgap_buffer_shutdown (&message);
  fixture_shutdown (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_drain_signals),
    cmocka_unit_test (test_at_most_half_of_servers_ejected),
    cmocka_unit_test (test_slow_start),
    cmocka_unit_test (test_quota_and_load),
    cmocka_unit_test (test_report_of_a_full_server_expires),
    cmocka_unit_test (test_malformed_messages),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
