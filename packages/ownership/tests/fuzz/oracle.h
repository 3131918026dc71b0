#ifndef BANYANGAP_OWNERSHIP_ORACLE_H
#define BANYANGAP_OWNERSHIP_ORACLE_H

/*
 * Checks the ownership invariants of a simulated cell against true time, that
 * is, the simulation's clock. It applies each record of the log to a model of
 * its own (oracle_model.h) and compares the replicas and the leases of all
 * processes with it. The processes are only asked which keys they would serve.
 *
 * On a violation it prints a line that starts with "violation:" and aborts.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct bgap_oracle;
struct bgap_world;

struct bgap_oracle *bgap_oracle_setup (struct bgap_world *w);

void bgap_oracle_shutdown (struct bgap_oracle *o);

/**
 * bgap_oracle_on_append() - apply a record that was appended to the log, and
 * check all leases
 */
void bgap_oracle_on_append (struct bgap_oracle *o, uint64_t offset,
                            const char *bytes, size_t size);

/**
 * bgap_oracle_check_replica() - check that the replica of an instance equals
 * the model at the same offset and that its offset never decreases
 */
void bgap_oracle_check_replica (struct bgap_oracle *o, uint32_t instance);

/**
 * bgap_oracle_check_leases() - check that at most one process holds the lease
 * of each entry, that the log names this process as holder, and that a new
 * process never has a lower token than its predecessor
 */
void bgap_oracle_check_leases (struct bgap_oracle *o);

/**
 * bgap_oracle_trace_holders() - if tracing is enabled, report slices whose
 * holder has changed since the last call
 */
void bgap_oracle_trace_holders (struct bgap_oracle *o);

/**
 * bgap_oracle_count_served() - number of slices, over all services, that are
 * held by a process with an address and that some running instance routes to
 * it
 */
uint32_t bgap_oracle_count_served (struct bgap_oracle *o);

/**
 * bgap_oracle_witnesses() - newest accepted witness set
 * @members: set to the bit set of its instances
 *
 * Return: its offset, or 0 if there is none.
 */
uint64_t bgap_oracle_witnesses (const struct bgap_oracle *o,
                                uint32_t *members);

#endif
