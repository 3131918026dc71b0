#ifndef BANYANGAP_OWNERSHIP_SCHEDULE_H
#define BANYANGAP_OWNERSHIP_SCHEDULE_H

/*
 * Decodes the fuzzer's input into a simulated cell and a schedule of faults,
 * and runs it.
 *
 * The first 8 bytes select the properties of the cell; each further 4 bytes
 * are an operation, its two arguments and the time until the next operation.
 * See schedule.c for their meanings.
 */

#include <stddef.h>
#include <stdint.h>

#include "world.h"

/**
 * bgap_schedule_run() - run a schedule; aborts on a violation of an invariant
 * @trace: called with one line per event; may be NULL
 */
void bgap_schedule_run (const uint8_t *bytes, size_t size,
                        void (*trace) (void *context, const char *line));

#endif
