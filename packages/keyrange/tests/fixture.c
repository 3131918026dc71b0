#include "fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

struct bgap_granter *
granter_new (void)
{
  struct bgap_granter *granter = NULL;
  struct bgap_error err = { 0 };
  assert_int_equal (
      bgap_granter_setup (&granter,
                          &(struct bgap_granter_desc){
                              .instance = "n0", .incarnation = INCARNATION },
                          &err),
      BGAP_OK);
  return granter;
}

void
add_server (struct bgap_granter *granter, int64_t now_ms, const char *id,
            double latency_ms)
{
  struct bgap_granter_server server = {
    .started_ms = 5, .sequence = 1, .slots = 4, .latency_ms = latency_ms
  };
  snprintf (server.id, sizeof server.id, "%s", id);
  bgap_granter_set_server (granter, now_ms, &server);
}

struct bgap_assignment
assignment_of (const char *instance, uint64_t incarnation, uint64_t token)
{
  struct bgap_assignment assignment;
  assert_int_equal (bgap_assignment_setup (&assignment), BGAP_OK);
  snprintf (assignment.granter, sizeof assignment.granter, "%s", instance);
  assignment.incarnation = incarnation;
  assignment.token = token;
  assignment.lease_ms = LEASE_MS;
  return assignment;
}

void
set_holder (struct bgap_assignment *assignment, uint32_t first, uint32_t last,
            const char *server)
{
  struct bgap_key_range range
      = { .started_ms = 5, .token = assignment->token };
  snprintf (range.server, sizeof range.server, "%s", server);
  assert_int_equal (bgap_assignment_set (assignment, first, last, &range),
                    BGAP_OK);
}

/* Takes all pending actions. Stores a proposal in @proposal and the number of
   grants in @grants. Returns whether there was a proposal.  */
bool
take_actions (struct bgap_granter *granter, struct bgap_assignment *proposal,
              uint32_t *grants)
{
  struct bgap_granter_action action;
  bool proposed = false;
  *grants = 0;
  while (bgap_granter_next_action (granter, &action))
    {
      *grants += action.kind == BGAP_GRANTER_GRANT;
      if (action.kind != BGAP_GRANTER_APPEND)
        continue;
      proposed = true;
      assert_int_equal (
          bgap_assignment_decode (proposal, action.bytes, action.size, NULL),
          BGAP_OK);
    }
  return proposed;
}

void
append_record (struct bgap_granter *granter, int64_t now_ms,
               const struct bgap_granter_action *action)
{
  struct bgap_assignment record = { 0 };
  assert_int_equal (
      bgap_assignment_decode (&record, action->bytes, action->size, NULL),
      BGAP_OK);
  bgap_granter_on_assignment (granter, now_ms, &record);
  bgap_assignment_shutdown (&record);
}
