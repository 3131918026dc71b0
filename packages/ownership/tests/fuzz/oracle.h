#ifndef BANYANGAP_OWNERSHIP_ORACLE_H
#define BANYANGAP_OWNERSHIP_ORACLE_H

/*
 * Checks the invariants of ownership in true time. It replays the log by its
 * own implementation of the page's rules, which shares no code with the
 * package, and asks the processes only what they believe.
 *
 * A violation prints a line that starts with "violation:" and aborts.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct bgap_oracle;
struct bgap_world;

struct bgap_oracle *bgap_oracle_setup (struct bgap_world *w);

void bgap_oracle_shutdown (struct bgap_oracle *o);

/**
 * bgap_oracle_on_append() - the log holds a new record
 */
void bgap_oracle_on_append (struct bgap_oracle *o, uint64_t offset,
                            const char *bytes, size_t size);

/**
 * bgap_oracle_check_engine() - the replica of an instance equals the oracle's
 * state at its offset and never goes back
 */
void bgap_oracle_check_engine (struct bgap_oracle *o, uint32_t instance);

/**
 * bgap_oracle_check_beliefs() - at most one process holds each entry, it is
 * the one that the log names, and its token only rises
 */
void bgap_oracle_check_beliefs (struct bgap_oracle *o);

/**
 * bgap_oracle_after_event() - report changes of who serves, when tracing
 */
void bgap_oracle_after_event (struct bgap_oracle *o);

/**
 * bgap_oracle_served() - number of slices, over all services, that a process
 * with an address holds and that some running instance routes to it
 */
uint32_t bgap_oracle_served (struct bgap_oracle *o);

/**
 * bgap_oracle_witnesses() - newest accepted witness set
 * @members: gets bits of instance numbers
 *
 * Return: its offset, 0 if there is none.
 */
uint64_t bgap_oracle_witnesses (const struct bgap_oracle *o,
                                uint32_t *members);

#endif
