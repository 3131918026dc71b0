#ifndef BANYANGAP_ROUTING_TESTS_FIXTURE_H
#define BANYANGAP_ROUTING_TESTS_FIXTURE_H

/*
 * Test fixture: a router with one service, and helpers that add servers, send
 * requests, report results and check the actions of the router.
 *
 *   struct fixture f;
 *   fixture_setup (&f, &(struct bgap_service_desc){ .name = "s" });
 *   fixture_server (&f, "a", "z1", 2);
 *   struct bgap_request_id r = fixture_request (&f, NULL);
 *   struct bgap_router_action d
 *       = fixture_expect (&f, BGAP_ROUTER_ACTION_DISPATCH);
 *   fixture_result (&f, d.attempt, BGAP_RESULT_COMPLETE);
 *   fixture_expect_finish (&f, r, BGAP_OUTCOME_ANSWERED, 200);
 *   fixture_shutdown (&f);
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

/* A service without keys whose servers' slots other instances use, too.  */
extern const struct bgap_service_desc fixture_shared_service;

void fixture_setup (struct fixture *f, const struct bgap_service_desc *desc);
void fixture_shutdown (struct fixture *f);

/* Adds a server that is already running.  */
struct bgap_server_id fixture_server (struct fixture *f, const char *name,
                                      const char *zone, uint32_t slots);

/* Sends a request with the options of @desc to the service; NULL for an
   idempotent request without options.  */
struct bgap_request_id fixture_request (struct fixture *f,
                                        const struct bgap_request_desc *desc);

/* Advances the time and calls bgap_router_tick once.  */
void fixture_wait (struct fixture *f, int64_t ms);

/* Takes the next action, which must be of this kind; skips SEND_PEER unless it
   is the kind.  */
struct bgap_router_action fixture_expect (struct fixture *f,
                                          enum bgap_router_action_kind kind);

/* Checks that no action other than SEND_PEER is pending.  */
void fixture_expect_none (struct fixture *f);

void fixture_expect_finish (struct fixture *f, struct bgap_request_id request,
                            enum bgap_outcome outcome, int http_status);

/* Checks that the request ends as not run, and that nothing else happens.  */
void fixture_expect_refused (struct fixture *f,
                             struct bgap_request_id request);

/* Adds a server, or sets one anew, whose process lives. Checks that no request
   is sent meanwhile.  */
void fixture_add_unused (struct fixture *f,
                         const struct bgap_server_desc *desc,
                         uint64_t process);

/* Reports an event of an attempt, with status 200 and a short body.  */
void fixture_result (struct fixture *f, struct bgap_attempt_id attempt,
                     enum bgap_result_kind kind);

#endif
