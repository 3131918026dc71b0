#include "banyangap/routing/balancer.h"
#include "fixture.h"

#define PER_S 7.0
#define COLD_MS 3000
#define SLOTS 8

static const struct bgap_service_desc keyed_service = {
  .name = "s",
  .keyed = true,
  .shared_slots = true,
  .queue_per_server = SLOTS,
  .policy = &bgap_balancer_shared,
};

/* Adds a server of a service that limits the requests of cold ones.  */
static struct bgap_server_id
add_limited (struct fixture *f, const char *name)
{
  struct bgap_server_id id;
  const struct bgap_server_desc desc = {
    .name = name,
    .zone = "z1",
    .slots = SLOTS,
    .connections = SLOTS,
    .entry_hosts_max = 1,
    .already_running = true,
    .cold_per_s = PER_S,
  };
  assert_int_equal (bgap_router_set_server (&f->router, f->now_ms, f->service,
                                            &desc, &id, NULL),
                    BGAP_OK);
  bgap_router_server_alive (&f->router, f->now_ms, id, 1);
  return id;
}

/* Lets the view of the registrations become too old.  */
static void
make_view_old (struct fixture *f)
{
  bgap_router_set_view_time (&f->router, f->now_ms);
  f->now_ms += BGAP_WARM_VIEW_MS;
}

/* Sets up a service without keys, with one server of which nothing has been
   heard for too long.  */
static struct bgap_server_id
setup_old_view (struct fixture *f)
{
  fixture_setup (f, &fixture_shared_service);
  struct bgap_server_id server = add_limited (f, "a");
  make_view_old (f);
  return server;
}

static struct bgap_server_id
expect_health_check (struct fixture *f)
{
  return fixture_expect (f, BGAP_ROUTER_ACTION_CHECK_SERVER).server;
}

static void
expect_dispatch (struct fixture *f, struct bgap_server_id server)
{
  struct bgap_router_action d
      = fixture_expect (f, BGAP_ROUTER_ACTION_DISPATCH);
  assert_int_equal (d.server.id, server.id);
}

static void
report (struct fixture *f, struct bgap_server_id server,
        enum bgap_warm_check_result result)
{
  bgap_router_server_checked (&f->router, f->now_ms, server, result);
}

/* Guards against requests to a server of which nothing has been heard for
   long, and against checks of one of which something has.  */
static void
test_old_view_needs_a_check (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &fixture_shared_service);
  struct bgap_server_id a = add_limited (&f, "a");
  bgap_router_set_view_time (&f.router, f.now_ms);
  f.now_ms += BGAP_WARM_VIEW_MS - 1;
  fixture_request (&f, NULL);
  expect_dispatch (&f, a);
  f.now_ms++;
  fixture_request (&f, NULL);
  assert_int_equal (expect_health_check (&f).id, a.id);
  fixture_expect_none (&f);
  report (&f, a, BGAP_WARM_CHECK_WARM);
  expect_dispatch (&f, a);
  fixture_expect_none (&f);
  fixture_shutdown (&f);
}

/* Guards against a check that covers more requests, or a longer time, than all
   instances together may send to a server that has just turned cold.  */
static void
test_check_covers_few_requests_for_a_short_time (void **state)
{
  (void)state;
  struct fixture f;
  struct bgap_server_id a = setup_old_view (&f);
  for (uint32_t i = 0; i < BGAP_WARM_CHECK_REQUESTS + 1; i++)
    fixture_request (&f, NULL);
  expect_health_check (&f);
  report (&f, a, BGAP_WARM_CHECK_WARM);
  for (uint32_t i = 0; i < BGAP_WARM_CHECK_REQUESTS; i++)
    expect_dispatch (&f, a);
  expect_health_check (&f);
  fixture_expect_none (&f);
  report (&f, a, BGAP_WARM_CHECK_WARM);
  expect_dispatch (&f, a);
  f.now_ms += BGAP_WARM_CHECK_VALID_MS;
  fixture_request (&f, NULL);
  expect_health_check (&f);
  fixture_expect_none (&f);
  fixture_shutdown (&f);
}

/* Guards against requests to a server that states that it is cold, and against
   checks of it: it needs permits.  */
static void
test_cold_server_needs_permits (void **state)
{
  (void)state;
  struct fixture f;
  struct bgap_server_id a = setup_old_view (&f);
  fixture_request (&f, NULL);
  expect_health_check (&f);
  bgap_router_server_cold (&f.router, f.now_ms, a, PER_S, COLD_MS);
  report (&f, a, BGAP_WARM_CHECK_COLD);
  fixture_expect_none (&f);
  fixture_shutdown (&f);
}

/* Guards against a server that is asked again at once when a check has failed,
   and against one that is not asked again.  */
static void
test_failed_check_is_repeated_later (void **state)
{
  (void)state;
  struct fixture f;
  struct bgap_server_id a = setup_old_view (&f);
  fixture_request (&f, NULL);
  expect_health_check (&f);
  report (&f, a, BGAP_WARM_CHECK_FAILED);
  fixture_wait (&f, BGAP_WARM_CHECK_RETRY_MS - 1);
  fixture_expect_none (&f);
  fixture_wait (&f, 1);
  expect_health_check (&f);
  fixture_expect_none (&f);
  fixture_shutdown (&f);
}

/* Guards against requests that wait for a check although the registrations
   have been read again.  */
static void
test_view_that_is_read_again_ends_the_wait (void **state)
{
  (void)state;
  struct fixture f;
  struct bgap_server_id a = setup_old_view (&f);
  fixture_request (&f, NULL);
  expect_health_check (&f);
  bgap_router_set_view_time (&f.router, f.now_ms);
  fixture_wait (&f, 1);
  expect_dispatch (&f, a);
  report (&f, a, BGAP_WARM_CHECK_FAILED);
  fixture_request (&f, NULL);
  expect_dispatch (&f, a);
  fixture_shutdown (&f);
}

/* Guards against what a former process of a server has answered.  */
static void
test_check_ends_with_the_process (void **state)
{
  (void)state;
  struct fixture f;
  struct bgap_server_id a = setup_old_view (&f);
  struct bgap_request_id first
      = fixture_request (&f, &(struct bgap_request_desc){ 0 });
  expect_health_check (&f);
  report (&f, a, BGAP_WARM_CHECK_WARM);
  expect_dispatch (&f, a);
  bgap_router_server_alive (&f.router, f.now_ms, a, 2);
  fixture_expect (&f, BGAP_ROUTER_ACTION_CANCEL_ATTEMPT);
  fixture_expect_finish (&f, first, BGAP_OUTCOME_UNKNOWN, 502);
  fixture_request (&f, NULL);
  expect_health_check (&f);
  fixture_expect_none (&f);
  fixture_shutdown (&f);
}

/* Guards against two checks of one server at a time after its process has
   changed, and against the answer to the former process's check.  */
static void
test_running_check_of_a_former_process_does_not_count (void **state)
{
  (void)state;
  struct fixture f;
  struct bgap_server_id a = setup_old_view (&f);
  fixture_request (&f, NULL);
  expect_health_check (&f);
  bgap_router_server_alive (&f.router, f.now_ms, a, 2);
  fixture_request (&f, NULL);
  fixture_expect_none (&f);
  report (&f, a, BGAP_WARM_CHECK_WARM);
  expect_health_check (&f);
  fixture_expect_none (&f);
  report (&f, a, BGAP_WARM_CHECK_WARM);
  expect_dispatch (&f, a);
  expect_dispatch (&f, a);
  fixture_shutdown (&f);
}

/* Guards against a server that is never checked again, since it was removed
   while a check ran: its handle stays while an attempt runs.  */
static void
test_server_that_is_added_again_is_checked (void **state)
{
  (void)state;
  struct fixture f;
  struct bgap_server_id a = setup_old_view (&f);
  fixture_request (&f, NULL);
  expect_health_check (&f);
  report (&f, a, BGAP_WARM_CHECK_WARM);
  expect_dispatch (&f, a);
  f.now_ms += BGAP_WARM_CHECK_VALID_MS;
  fixture_request (&f, NULL);
  expect_health_check (&f);
  bgap_router_remove_server (&f.router, f.now_ms, a);
  assert_int_equal (add_limited (&f, "a").id, a.id);
  expect_health_check (&f);
  report (&f, a, BGAP_WARM_CHECK_WARM);
  expect_dispatch (&f, a);
  fixture_shutdown (&f);
}

/* Guards against requests for keys at a holder of which nothing has been heard
   for long.  */
static void
test_holder_of_keys_is_checked (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &keyed_service);
  struct bgap_server_id a = add_limited (&f, "a");
  add_limited (&f, "b");
  make_view_old (&f);
  fixture_request (&f, &(struct bgap_request_desc){
                           .idempotent = true, .holder = a, .token = 1 });
  assert_int_equal (expect_health_check (&f).id, a.id);
  fixture_expect_none (&f);
  report (&f, a, BGAP_WARM_CHECK_WARM);
  expect_dispatch (&f, a);
  fixture_shutdown (&f);
}

/* Guards against checks of a busy holder, whose answers would be too old when
   it has a slot.  */
static void
test_busy_holder_is_not_checked (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &keyed_service);
  struct bgap_server_id a = add_limited (&f, "a");
  const struct bgap_request_desc desc
      = { .idempotent = true, .holder = a, .token = 1, .deadline_ms = 60000 };
  bgap_router_set_view_time (&f.router, f.now_ms);
  for (int i = 0; i < SLOTS; i++)
    {
      fixture_request (&f, &desc);
      expect_dispatch (&f, a);
    }
  f.now_ms += BGAP_WARM_VIEW_MS;
  fixture_request (&f, &desc);
  fixture_wait (&f, 1);
  fixture_expect_none (&f);
  fixture_shutdown (&f);
}

/* Guards against requests for keys at a holder in an evacuated zone, which may
   have turned cold since the registrations were read: its keys still move.  */
static void
test_holder_in_an_evacuated_zone_is_checked (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &keyed_service);
  struct bgap_server_id a = add_limited (&f, "a");
  add_limited (&f, "b");
  bgap_router_set_view_time (&f.router, f.now_ms);
  bgap_router_server_evacuate (&f.router, f.now_ms, a, true, 2500);
  fixture_request (&f, &(struct bgap_request_desc){
                           .idempotent = true, .holder = a, .token = 1 });
  assert_int_equal (expect_health_check (&f).id, a.id);
  fixture_expect_none (&f);
  report (&f, a, BGAP_WARM_CHECK_WARM);
  expect_dispatch (&f, a);
  bgap_router_server_evacuate (&f.router, f.now_ms, a, false, 0);
  fixture_request (&f, &(struct bgap_request_desc){
                           .idempotent = true, .holder = a, .token = 1 });
  expect_dispatch (&f, a);
  fixture_shutdown (&f);
}

/* Guards against checks of servers whose service does not limit the requests
   of cold ones.  */
static void
test_service_without_a_limit_is_not_checked (void **state)
{
  (void)state;
  struct fixture f;
  fixture_setup (&f, &fixture_shared_service);
  struct bgap_server_id a = fixture_server (&f, "a", "z1", SLOTS);
  make_view_old (&f);
  fixture_request (&f, NULL);
  expect_dispatch (&f, a);
  fixture_shutdown (&f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_old_view_needs_a_check),
    cmocka_unit_test (test_check_covers_few_requests_for_a_short_time),
    cmocka_unit_test (test_cold_server_needs_permits),
    cmocka_unit_test (test_failed_check_is_repeated_later),
    cmocka_unit_test (test_view_that_is_read_again_ends_the_wait),
    cmocka_unit_test (test_check_ends_with_the_process),
    cmocka_unit_test (test_running_check_of_a_former_process_does_not_count),
    cmocka_unit_test (test_server_that_is_added_again_is_checked),
    cmocka_unit_test (test_holder_of_keys_is_checked),
    cmocka_unit_test (test_busy_holder_is_not_checked),
    cmocka_unit_test (test_holder_in_an_evacuated_zone_is_checked),
    cmocka_unit_test (test_service_without_a_limit_is_not_checked),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
