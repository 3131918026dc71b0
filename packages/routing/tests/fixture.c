#include "fixture.h"

#include "banyangap/routing/balancer.h"

const struct bgap_service_desc fixture_shared_service = {
  .name = "s",
  .shared_slots = true,
  .queue_per_server = 2,
  .charge_refusals = true,
  .retry_burst = 3,
  .policy = &bgap_balancer_shared,
};

void
fixture_setup (struct fixture *f, const struct bgap_service_desc *desc)
{
  *f = (struct fixture){ .now_ms = 1000 };
  const struct bgap_router_desc router
      = { .instance = "entry-1", .zone = "z1", .seed = 7 };
  assert_int_equal (bgap_router_setup (&f->router, &router, NULL), BGAP_OK);
  assert_int_equal (
      bgap_router_set_service (&f->router, f->now_ms, desc, &f->service, NULL),
      BGAP_OK);
}

void
fixture_shutdown (struct fixture *f)
{
  bgap_router_shutdown (&f->router);
}

struct bgap_server_id
fixture_server (struct fixture *f, const char *name, const char *zone,
                uint32_t slots)
{
  struct bgap_server_id id;
  const struct bgap_server_desc desc = { .name = name,
                                         .zone = zone,
                                         .slots = slots,
                                         .connections = 120,
                                         .already_running = true };
  assert_int_equal (bgap_router_set_server (&f->router, f->now_ms, f->service,
                                            &desc, &id, NULL),
                    BGAP_OK);
  return id;
}

struct bgap_request_id
fixture_request (struct fixture *f, const struct bgap_request_desc *desc)
{
  struct bgap_request_desc request = { .idempotent = true };
  if (desc != NULL)
    request = *desc;
  request.service = f->service;
  request.wall_ms = FIXTURE_WALL_MS + f->now_ms;
  return bgap_router_request (&f->router, f->now_ms, &request);
}

void
fixture_wait (struct fixture *f, int64_t ms)
{
  f->now_ms += ms;
  bgap_router_tick (&f->router, f->now_ms, FIXTURE_WALL_MS + f->now_ms);
}

struct bgap_router_action
fixture_expect (struct fixture *f, enum bgap_router_action_kind kind)
{
  struct bgap_router_action action = { 0 };
  do
    assert_true (bgap_router_next_action (&f->router, &action));
  while (action.kind == BGAP_ROUTER_ACTION_SEND_PEER && kind != action.kind);
  assert_int_equal (action.kind, kind);
  return action;
}

void
fixture_expect_none (struct fixture *f)
{
  struct bgap_router_action action;
  while (bgap_router_next_action (&f->router, &action))
    assert_int_equal (action.kind, BGAP_ROUTER_ACTION_SEND_PEER);
}

void
fixture_expect_finish (struct fixture *f, struct bgap_request_id request,
                       enum bgap_outcome outcome, int http_status)
{
  struct bgap_router_action action
      = fixture_expect (f, BGAP_ROUTER_ACTION_FINISH);
  assert_int_equal (action.request.id, request.id);
  assert_string_equal (bgap_outcome_name (action.outcome),
                       bgap_outcome_name (outcome));
  assert_int_equal (action.http_status, http_status);
}

void
fixture_expect_refused (struct fixture *f, struct bgap_request_id request)
{
  fixture_expect_finish (f, request, BGAP_OUTCOME_NOT_RUN, 503);
  fixture_expect_none (f);
}

void
fixture_add_unused (struct fixture *f, const struct bgap_server_desc *desc,
                    uint64_t process)
{
  struct bgap_server_id id;
  struct bgap_router_action action;
  assert_int_equal (bgap_router_set_server (&f->router, f->now_ms, f->service,
                                            desc, &id, NULL),
                    BGAP_OK);
  bgap_router_server_alive (&f->router, f->now_ms, id, process);
  while (bgap_router_next_action (&f->router, &action))
    assert_int_not_equal (action.kind, BGAP_ROUTER_ACTION_DISPATCH);
}

void
fixture_result (struct fixture *f, struct bgap_attempt_id attempt,
                enum bgap_result_kind kind)
{
  const struct bgap_attempt_result result
      = { .kind = kind, .http_status = 200, .body = "ok", .body_size = 2 };
  bgap_router_on_attempt (&f->router, f->now_ms, attempt, &result);
}
