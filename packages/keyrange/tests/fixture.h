#ifndef BANYANGAP_KEYRANGE_TESTS_FIXTURE_H
#define BANYANGAP_KEYRANGE_TESTS_FIXTURE_H

/*
 * A granter "n0" with servers and records for tests with a known course of
 * events.
 *
 *   struct bgap_granter *granter = granter_new ();
 *   struct bgap_assignment own = assignment_of ("n0", INCARNATION, 3);
 *   set_holder (&own, 0, BGAP_KEY_COUNT - 1, "s0");
 *   add_server (granter, 100, "s0", 0);
 *   bgap_granter_on_assignment (granter, 100, &own);
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/keyrange/granter.h"

/* Of the granter "n0".  */
#define INCARNATION 7

/* Longest lease that is in force by a record.  */
#define LEASE_MS 2000

struct bgap_granter *granter_new (void);

/* Registers a server that runs since 5 ms.  */
void add_server (struct bgap_granter *granter, int64_t now_ms, const char *id,
                 double latency_ms);

struct bgap_assignment assignment_of (const char *instance,
                                      uint64_t incarnation, uint64_t token);

/* Gives keys to such a server under the token of the assignment.  */
void set_holder (struct bgap_assignment *assignment, uint32_t first,
                 uint32_t last, const char *server);

/* Takes all pending actions. Stores a proposal in @proposal and the number of
   grants in @grants. Returns whether there was a proposal.  */
bool take_actions (struct bgap_granter *granter,
                   struct bgap_assignment *proposal, uint32_t *grants);

/* Appends a proposed record to the store; the granter reads it at once.  */
void append_record (struct bgap_granter *granter, int64_t now_ms,
                    const struct bgap_granter_action *action);

#endif
