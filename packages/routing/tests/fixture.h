#ifndef BANYANGAP_ROUTING_TESTS_FIXTURE_H
#define BANYANGAP_ROUTING_TESTS_FIXTURE_H

/*
 * A router with one service and helpers that take its actions.
 *
 *   struct fixture f;
 *   fixture_setup (&f, &(struct bgap_service_desc){ .name = "s" });
 *   struct bgap_server_id a = fixture_server (&f, "a", "z1", 2);
 *   struct bgap_request_id r = fixture_request (&f, NULL);
 *   struct bgap_router_action d = fixture_expect (&f,
 * BGAP_ROUTER_ACTION_DISPATCH); fixture_result (&f, d.attempt,
 * BGAP_RESULT_COMPLETE); fixture_expect_finish (&f, r, BGAP_OUTCOME_ANSWERED,
 * 200); fixture_shutdown (&f);
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "banyangap/routing/router.h"

#define FIXTURE_WALL_MS INT64_C (1700000000000)

struct fixture
{
  struct bgap_router router;
  struct bgap_service_id service;
  int64_t now_ms;
};

void fixture_setup (struct fixture *f, const struct bgap_service_desc *desc);
void fixture_shutdown (struct fixture *f);
struct bgap_server_id fixture_server (struct fixture *f, const char *name,
                                      const char *zone, uint32_t slots);

/* A request to the service with the options of @desc, which may be NULL for an
   idempotent one.  */
struct bgap_request_id fixture_request (struct fixture *f,
                                        const struct bgap_request_desc *desc);

/* Advances the time and ticks.  */
void fixture_wait (struct fixture *f, int64_t ms);

/* The next action other than SEND_PEER, which must be of this kind.  */
struct bgap_router_action fixture_expect (struct fixture *f,
                                          enum bgap_router_action_kind kind);
void fixture_expect_none (struct fixture *f);
void fixture_expect_finish (struct fixture *f, struct bgap_request_id request,
                            enum bgap_outcome outcome, int http_status);
void fixture_result (struct fixture *f, struct bgap_attempt_id attempt,
                     enum bgap_result_kind kind);

#endif
