#ifndef BANYANGAP_OWNERSHIP_SCHEDULE_H
#define BANYANGAP_OWNERSHIP_SCHEDULE_H

/*
 * Decodes bytes into a world and a schedule of faults, and runs it.
 *
 * The first 8 bytes select the world; each further 4 bytes are an operation,
 * its two arguments and the time until the next one. See schedule.c.
 */

#include <stddef.h>
#include <stdint.h>

#include "world.h"

/**
 * bgap_schedule_run() - run the schedule; aborts on a violation
 * @trace: NULL, or called with one line per event
 */
void bgap_schedule_run (const uint8_t *bytes, size_t size,
                        void (*trace) (void *context, const char *line));

#endif
