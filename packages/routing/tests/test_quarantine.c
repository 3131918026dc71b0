#include "banyangap/base/hash.h"
#include "banyangap/routing/message.h"
#include "fixture.h"

/* Time from the start of a quarantine to its first trial.  */
#define TRIAL_MS 15000

/* Time from a broken attempt to the report of the crash, at most.  */
#define CRASH_WINDOW_MS 3000

static const struct bgap_service_desc plain = { .name = "s" };
static const struct bgap_request_desc crashing
    = { .fingerprint = 66, .idempotent = true };
static const struct bgap_request_desc harmless
    = { .fingerprint = 77, .idempotent = true };

struct servers
{
  struct bgap_server_id a;
  struct bgap_server_id b;
  struct bgap_server_id c;
};

static struct servers
add_servers (struct fixture *f)
{
  fixture_setup (f, &plain);
  struct servers servers = { .a = fixture_server (f, "a", "z1", 4),
                             .b = fixture_server (f, "b", "z1", 4),
                             .c = fixture_server (f, "c", "z1", 4) };
  bgap_router_server_alive (&f->router, f->now_ms, servers.a, 1);
  bgap_router_server_alive (&f->router, f->now_ms, servers.b, 1);
  bgap_router_server_alive (&f->router, f->now_ms, servers.c, 1);
  return servers;
}

/* Sends a request and returns its attempt.  */
static struct bgap_router_action
send_request (struct fixture *f, const struct bgap_request_desc *desc)
{
  fixture_request (f, desc);
  return fixture_expect (f, BGAP_ROUTER_ACTION_DISPATCH);
}

static void
expect_sent (struct fixture *f, const struct bgap_request_desc *desc)
{
  struct bgap_router_action d = send_request (f, desc);
  fixture_result (f, d.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect (f, BGAP_ROUTER_ACTION_FINISH);
}

static void
expect_refused (struct fixture *f, const struct bgap_request_desc *desc)
{
  struct bgap_request_id r = fixture_request (f, desc);
  fixture_expect_finish (f, r, BGAP_OUTCOME_NOT_RUN, 422);
}

static void
restart (struct fixture *f, struct bgap_server_id server, uint64_t incarnation)
{
  bgap_router_server_alive (&f->router, f->now_ms, server, incarnation);
}

static void
on_peer (struct fixture *f, const struct bgap_routing_suspicion *item)
{
  struct bgap_buffer message = { 0 };
  assert_int_equal (bgap_routing_encode_suspicions (&message, item, 1),
                    BGAP_OK);
  assert_int_equal (bgap_router_on_peer (&f->router, f->now_ms, "entry-2",
                                         BGAP_ROUTING_MESSAGE_SUSPICIONS,
                                         message.data, message.size, NULL),
                    BGAP_OK);
  bgap_buffer_shutdown (&message);
}

static void
on_stored (struct fixture *f, const struct bgap_routing_suspicion *item)
{
  struct bgap_buffer message = { 0 };
  assert_int_equal (bgap_routing_encode_suspicions (&message, item, 1),
                    BGAP_OK);
  assert_int_equal (bgap_router_on_stored (&f->router, f->now_ms,
                                           BGAP_ROUTING_MESSAGE_SUSPICIONS,
                                           message.data, message.size, NULL),
                    BGAP_OK);
  bgap_buffer_shutdown (&message);
}

static void
expect_told (struct fixture *f, enum bgap_suspicion_kind kind)
{
  struct bgap_routing_suspicion item;
  size_t count = 1;
  struct bgap_router_action action;
  do
    action = fixture_expect (f, BGAP_ROUTER_ACTION_SEND_PEER);
  while (action.peer_kind != BGAP_ROUTING_MESSAGE_SUSPICIONS);
  assert_int_equal (bgap_routing_decode_suspicions (action.bytes, action.size,
                                                    &item, &count, NULL),
                    BGAP_OK);
  assert_int_equal (count, 1);
  assert_int_equal (item.kind, kind);
}

/* An attempt breaks, the request is sent again, and that attempt breaks.  */
static void
break_twice (struct fixture *f, struct bgap_server_id servers[2])
{
  struct bgap_router_action d = send_request (f, &crashing);
  servers[0] = d.server;
  fixture_wait (f, 5);
  fixture_result (f, d.attempt, BGAP_RESULT_BROKEN);
  d = fixture_expect (f, BGAP_ROUTER_ACTION_DISPATCH);
  servers[1] = d.server;
  fixture_wait (f, 5);
  fixture_result (f, d.attempt, BGAP_RESULT_BROKEN);
  fixture_expect (f, BGAP_ROUTER_ACTION_FINISH);
}

static void
quarantine (struct fixture *f)
{
  struct bgap_server_id servers[2];
  break_twice (f, servers);
  fixture_wait (f, 500);
  bgap_router_server_lost (&f->router, f->now_ms, servers[0]);
  bgap_router_server_lost (&f->router, f->now_ms, servers[1]);
  expect_told (f, BGAP_SUSPICION_SUSPECT);
  expect_told (f, BGAP_SUSPICION_QUARANTINED);
  restart (f, servers[0], 2);
  restart (f, servers[1], 2);
}

/* Two servers that have requests with the same fingerprint crash together.
   Guards against a quarantine without an order of events: neither attempt was
   sent after the other server had crashed.  */
static void
test_servers_that_crash_together (void **state)
{
  (void)state;
  struct fixture f;
  struct servers servers = add_servers (&f);
  for (int i = 0; i < 3; i++)
    send_request (&f, &harmless);
  fixture_wait (&f, 100);
  bgap_router_server_lost (&f.router, f.now_ms, servers.a);
  bgap_router_server_lost (&f.router, f.now_ms, servers.b);
  struct bgap_router_action action;
  while (bgap_router_next_action (&f.router, &action))
    assert_int_not_equal (action.reason, BGAP_REASON_QUARANTINED);
  fixture_wait (&f, 1000);
  expect_sent (&f, &harmless);
  fixture_shutdown (&f);
}

/* Two servers crash together, and both restarts are read in one page. Guards
   against a quarantine of requests that were answered since the attempts
   broke.  */
static void
test_answers_before_restarts_are_read (void **state)
{
  (void)state;
  struct fixture f;
  struct servers servers = add_servers (&f);
  struct bgap_server_id broken[2];
  break_twice (&f, broken);
  fixture_wait (&f, 1000);
  expect_sent (&f, &crashing);
  restart (&f, servers.a, 2);
  restart (&f, servers.b, 2);
  restart (&f, servers.c, 2);
  expect_sent (&f, &crashing);
  fixture_shutdown (&f);
}

/* Guards against a quarantine of a request that a server answered with an
   error: it has run it and has not crashed.  */
static void
test_error_is_an_answer (void **state)
{
  (void)state;
  struct fixture f;
  add_servers (&f);
  struct bgap_server_id broken[2];
  break_twice (&f, broken);
  const struct bgap_request_desc once
      = { .fingerprint = 66, .idempotent = true, .attempts_max = 1 };
  struct bgap_router_action d = send_request (&f, &once);
  fixture_result (&f, d.attempt, BGAP_RESULT_FAILED);
  fixture_expect (&f, BGAP_ROUTER_ACTION_FINISH);
  bgap_router_server_lost (&f.router, f.now_ms, broken[0]);
  bgap_router_server_lost (&f.router, f.now_ms, broken[1]);
  expect_sent (&f, &crashing);
  fixture_shutdown (&f);
}

/* Guards against connections that broke on a live server and are taken for
   its crash.  */
static void
test_reset_connection_is_no_crash (void **state)
{
  (void)state;
  struct fixture f;
  add_servers (&f);
  struct bgap_server_id broken[2];
  break_twice (&f, broken);
  bgap_router_server_lost (&f.router, f.now_ms, broken[1]);
  expect_sent (&f, &crashing);
  fixture_shutdown (&f);
}

/* Guards against one crash that is counted twice, because the request was sent
   to the same server again before its end was known.  */
static void
test_one_crash_is_no_proof (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &plain);
  struct bgap_server_id a = fixture_server (&f, "a", "z1", 4);
  struct bgap_server_id broken[2];
  break_twice (&f, broken);
  bgap_router_server_lost (&f.router, f.now_ms, a);
  bgap_router_server_alive (&f.router, f.now_ms, a, 1);
  expect_sent (&f, &crashing);
  fixture_shutdown (&f);
}

/* Guards against attempts on a restarted server that are taken for evidence:
   they may have been sent to its new process.  */
static void
test_attempts_at_the_new_process (void **state)
{
  (void)state;
  struct fixture f;
  add_servers (&f);
  for (int i = 0; i < 2; i++)
    {
      struct bgap_router_action d = send_request (&f, &harmless);
      fixture_wait (&f, 100);
      restart (&f, d.server, 2);
      fixture_expect (&f, BGAP_ROUTER_ACTION_CANCEL_ATTEMPT);
      d = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
      fixture_wait (&f, 100);
      restart (&f, d.server, 3);
      fixture_expect (&f, BGAP_ROUTER_ACTION_CANCEL_ATTEMPT);
      fixture_expect (&f, BGAP_ROUTER_ACTION_FINISH);
    }
  expect_sent (&f, &harmless);
  fixture_shutdown (&f);
}

/* Another instance reports a crash under requests with the same fingerprint.
   Guards against a quarantine from two reports of which neither instance saw
   an order.  */
static void
test_crashes_seen_by_two_instances (void **state)
{
  (void)state;
  struct fixture f;
  add_servers (&f);
  struct bgap_router_action d = send_request (&f, &harmless);
  fixture_wait (&f, 100);
  on_peer (&f, &(struct bgap_routing_suspicion){
                   .fingerprint = 77, .server = bgap_hash64 ("x", 1) });
  on_peer (&f, &(struct bgap_routing_suspicion){
                   .fingerprint = 77, .server = bgap_hash64 ("y", 1) });
  bgap_router_server_lost (&f.router, f.now_ms, d.server);
  fixture_expect (&f, BGAP_ROUTER_ACTION_CANCEL_ATTEMPT);
  d = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  fixture_result (&f, d.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect (&f, BGAP_ROUTER_ACTION_FINISH);
  expect_sent (&f, &harmless);
  fixture_shutdown (&f);
}

/* Guards against a request that crashes one server after another: after a
   crash it was sent again and another server crashed. A harmless request of
   the same servers is still sent.  */
static void
test_crashing_request_is_refused (void **state)
{
  (void)state;
  struct fixture f;
  add_servers (&f);
  quarantine (&f);
  expect_refused (&f, &crashing);
  expect_sent (&f, &harmless);
  fixture_shutdown (&f);
}

/* The same, with the first crash seen by another instance.  */
static void
test_crashing_request_of_two_instances (void **state)
{
  (void)state;
  struct fixture f;
  add_servers (&f);
  on_peer (&f, &(struct bgap_routing_suspicion){
                   .fingerprint = 66, .server = bgap_hash64 ("x", 1) });
  struct bgap_router_action d = send_request (&f, &crashing);
  fixture_wait (&f, 100);
  bgap_router_server_lost (&f.router, f.now_ms, d.server);
  fixture_expect (&f, BGAP_ROUTER_ACTION_CANCEL_ATTEMPT);
  fixture_expect (&f, BGAP_ROUTER_ACTION_FINISH);
  expect_refused (&f, &crashing);
  fixture_shutdown (&f);
}

/* Guards against a request that crashes one server after another in hours with
   so little traffic that only their expired registrations show the crashes. */
static void
test_expired_registration_after_broken_attempt (void **state)
{
  (void)state;
  struct fixture f;
  add_servers (&f);
  struct bgap_server_id broken[2];
  break_twice (&f, broken);
  fixture_wait (&f, CRASH_WINDOW_MS - 100);
  for (int i = 0; i < 2; i++)
    {
      bgap_router_server_expired (&f.router, f.now_ms, broken[i]);
      bgap_router_remove_server (&f.router, f.now_ms, broken[i]);
    }
  expect_refused (&f, &crashing);
  expect_sent (&f, &harmless);
  fixture_shutdown (&f);
}

/* Guards against servers that leave as planned and are taken for crashed ones,
   and against live ones: a registration can expire while its server cannot
   reach the store.  */
static void
test_expired_registration_alone (void **state)
{
  (void)state;
  struct fixture f;
  struct servers servers = add_servers (&f);
  struct bgap_server_id broken[2];
  break_twice (&f, broken);
  bgap_router_server_drain (&f.router, f.now_ms, broken[0],
                            BGAP_DRAIN_HOST_LIST, true);
  bgap_router_server_expired (&f.router, f.now_ms, broken[0]);
  bgap_router_server_expired (&f.router, f.now_ms, broken[1]);
  expect_sent (&f, &crashing);

  struct bgap_router_action d = send_request (&f, &harmless);
  fixture_wait (&f, 100);
  bgap_router_server_expired (&f.router, f.now_ms, servers.a);
  bgap_router_server_expired (&f.router, f.now_ms, servers.b);
  bgap_router_server_expired (&f.router, f.now_ms, servers.c);
  fixture_result (&f, d.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect (&f, BGAP_ROUTER_ACTION_FINISH);
  expect_sent (&f, &harmless);
  fixture_shutdown (&f);
}

/* Guards against broken connections that are taken for a crash long after.  */
static void
test_late_reports_are_no_evidence (void **state)
{
  (void)state;
  struct fixture f;
  add_servers (&f);
  struct bgap_server_id broken[2];
  break_twice (&f, broken);
  fixture_wait (&f, CRASH_WINDOW_MS + 1);
  bgap_router_server_lost (&f.router, f.now_ms, broken[0]);
  bgap_router_server_lost (&f.router, f.now_ms, broken[1]);
  expect_sent (&f, &crashing);
  fixture_shutdown (&f);
}

/* The same, of a fingerprint that is a suspect already.  */
static void
test_late_reports_about_a_suspect (void **state)
{
  (void)state;
  struct fixture f;
  add_servers (&f);
  struct bgap_server_id broken[2];
  break_twice (&f, broken);
  bgap_router_server_lost (&f.router, f.now_ms, broken[0]);
  fixture_wait (&f, CRASH_WINDOW_MS + 1);
  bgap_router_server_lost (&f.router, f.now_ms, broken[1]);
  expect_sent (&f, &crashing);
  fixture_shutdown (&f);
}

/* Guards against a quarantine that nothing can end: one request at a time is
   sent as a trial, and an answer to it ends the quarantine everywhere.  */
static void
test_answered_trial_ends_quarantine (void **state)
{
  (void)state;
  struct fixture f;
  add_servers (&f);
  quarantine (&f);
  fixture_wait (&f, TRIAL_MS - 1);
  expect_refused (&f, &crashing);
  fixture_wait (&f, 1);
  struct bgap_router_action d = send_request (&f, &crashing);
  expect_told (&f, BGAP_SUSPICION_QUARANTINED);
  expect_refused (&f, &crashing);
  fixture_result (&f, d.attempt, BGAP_RESULT_COMPLETE);
  expect_told (&f, BGAP_SUSPICION_CLEARED);
  fixture_expect (&f, BGAP_ROUTER_ACTION_FINISH);
  expect_sent (&f, &crashing);
  fixture_shutdown (&f);
}

/* Guards against a trial that costs more than one server, and against trials
   at a constant rate.  */
static void
test_trial_that_crashes_a_server (void **state)
{
  (void)state;
  struct fixture f;
  add_servers (&f);
  quarantine (&f);
  fixture_wait (&f, TRIAL_MS);
  struct bgap_router_action d = send_request (&f, &crashing);
  fixture_wait (&f, 5);
  fixture_result (&f, d.attempt, BGAP_RESULT_BROKEN);
  fixture_expect (&f, BGAP_ROUTER_ACTION_FINISH);
  expect_refused (&f, &crashing);
  fixture_wait (&f, TRIAL_MS - 5);
  d = send_request (&f, &crashing);
  fixture_result (&f, d.attempt, BGAP_RESULT_BROKEN);
  fixture_expect (&f, BGAP_ROUTER_ACTION_FINISH);
  fixture_wait (&f, 2 * TRIAL_MS - 1);
  expect_refused (&f, &crashing);
  fixture_shutdown (&f);
}

/* Guards against a trial that is counted although the server refused it.  */
static void
test_trial_that_did_not_run (void **state)
{
  (void)state;
  struct fixture f;
  add_servers (&f);
  quarantine (&f);
  fixture_wait (&f, TRIAL_MS);
  struct bgap_request_id r = fixture_request (&f, &crashing);
  struct bgap_router_action action = { 0 };
  while (action.kind != BGAP_ROUTER_ACTION_FINISH)
    if (!bgap_router_next_action (&f.router, &action))
      fixture_wait (&f, 10);
    else if (action.kind == BGAP_ROUTER_ACTION_DISPATCH)
      fixture_result (&f, action.attempt, BGAP_RESULT_NO_CONNECT);
  assert_int_equal (action.request.id, r.id);
  assert_int_equal (action.outcome, BGAP_OUTCOME_NOT_RUN);
  expect_sent (&f, &crashing);
  fixture_shutdown (&f);
}

/* Guards against all instances sending trials: one of another instance
   postpones the own.  */
static void
test_trial_of_a_peer (void **state)
{
  (void)state;
  struct fixture f;
  add_servers (&f);
  quarantine (&f);
  fixture_wait (&f, TRIAL_MS);
  on_peer (
      &f, &(struct bgap_routing_suspicion){ .fingerprint = 66,
                                            .kind = BGAP_SUSPICION_QUARANTINED,
                                            .remaining_ms = 200000 });
  expect_refused (&f, &crashing);
  on_peer (&f, &(struct bgap_routing_suspicion){
                   .fingerprint = 66, .kind = BGAP_SUSPICION_CLEARED });
  expect_sent (&f, &crashing);
  fixture_shutdown (&f);
}

/* A quarantine that another process has stored may be of any age. Guards
   against one that refuses all requests after a restart, and against one that
   is forgotten by it.  */
static void
test_stored_quarantine_starts_with_a_trial (void **state)
{
  (void)state;
  struct fixture f;
  add_servers (&f);
  const struct bgap_routing_suspicion item
      = { .fingerprint = 66,
          .server = bgap_hash64 ("x", 1),
          .kind = BGAP_SUSPICION_QUARANTINED,
          .remaining_ms = 300000 };
  on_stored (&f, &item);
  struct bgap_router_action d = send_request (&f, &crashing);
  expect_refused (&f, &crashing);
  fixture_result (&f, d.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect (&f, BGAP_ROUTER_ACTION_FINISH);
  expect_sent (&f, &crashing);
  assert_int_equal (bgap_router_on_stored (&f.router, f.now_ms,
                                           BGAP_ROUTING_MESSAGE_LOADS, "", 0,
                                           NULL),
                    BGAP_ERR_PROTOCOL);
  fixture_shutdown (&f);
}

/* Guards against stored suspicions and answers that are taken for new ones: a
   crash of long ago and one crash now prove nothing, and an answer of before
   the crashes does not end a quarantine.  */
static void
test_other_stored_messages_are_ignored (void **state)
{
  (void)state;
  struct fixture f;
  add_servers (&f);
  on_stored (&f, &(struct bgap_routing_suspicion){
                     .fingerprint = 77, .server = bgap_hash64 ("x", 1) });
  struct bgap_router_action d = send_request (&f, &harmless);
  fixture_wait (&f, 100);
  bgap_router_server_lost (&f.router, f.now_ms, d.server);
  fixture_expect (&f, BGAP_ROUTER_ACTION_CANCEL_ATTEMPT);
  d = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
  fixture_result (&f, d.attempt, BGAP_RESULT_COMPLETE);
  fixture_expect (&f, BGAP_ROUTER_ACTION_FINISH);
  bgap_router_server_alive (&f.router, f.now_ms, d.server, 1);

  quarantine (&f);
  on_stored (&f, &(struct bgap_routing_suspicion){
                     .fingerprint = 66, .kind = BGAP_SUSPICION_CLEARED });
  expect_refused (&f, &crashing);
  fixture_shutdown (&f);
}

/* Guards against a quarantine that outlives its time.  */
static void
test_quarantine_expires (void **state)
{
  (void)state;
  struct fixture f;
  add_servers (&f);
  quarantine (&f);
  int64_t since_ms = f.now_ms;
  for (int64_t wait_ms = TRIAL_MS; f.now_ms + wait_ms < since_ms + 300000;
       wait_ms *= 2)
    {
      fixture_wait (&f, wait_ms);
      struct bgap_router_action d = send_request (&f, &crashing);
      fixture_result (&f, d.attempt, BGAP_RESULT_TIMEOUT);
      fixture_expect (&f, BGAP_ROUTER_ACTION_FINISH);
    }
  fixture_wait (&f, since_ms + 299999 - f.now_ms);
  expect_refused (&f, &crashing);
  fixture_wait (&f, 1);
  for (int i = 0; i < 2; i++)
    send_request (&f, &crashing);
  fixture_shutdown (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_servers_that_crash_together),
    cmocka_unit_test (test_answers_before_restarts_are_read),
    cmocka_unit_test (test_error_is_an_answer),
    cmocka_unit_test (test_reset_connection_is_no_crash),
    cmocka_unit_test (test_one_crash_is_no_proof),
    cmocka_unit_test (test_attempts_at_the_new_process),
    cmocka_unit_test (test_crashes_seen_by_two_instances),
    cmocka_unit_test (test_crashing_request_is_refused),
    cmocka_unit_test (test_crashing_request_of_two_instances),
    cmocka_unit_test (test_expired_registration_after_broken_attempt),
    cmocka_unit_test (test_expired_registration_alone),
    cmocka_unit_test (test_late_reports_are_no_evidence),
    cmocka_unit_test (test_late_reports_about_a_suspect),
    cmocka_unit_test (test_answered_trial_ends_quarantine),
    cmocka_unit_test (test_trial_that_crashes_a_server),
    cmocka_unit_test (test_trial_that_did_not_run),
    cmocka_unit_test (test_trial_of_a_peer),
    cmocka_unit_test (test_stored_quarantine_starts_with_a_trial),
    cmocka_unit_test (test_other_stored_messages_are_ignored),
    cmocka_unit_test (test_quarantine_expires),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
