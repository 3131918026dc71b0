#ifndef BANYANGAP_BENCH_LOAD_REPORT_H
#define BANYANGAP_BENCH_LOAD_REPORT_H

/* Figures of bench_load.  */

#include <stdint.h>

#include "banyangap/gateway/backend.h"

/* Values of Bgap-Outcome.  */
enum load_outcome
{
  LOAD_OUTCOME_ANSWERED,
  LOAD_OUTCOME_NOT_RUN,
  LOAD_OUTCOME_UNKNOWN,
  LOAD_OUTCOME_MISSING,
  LOAD_OUTCOME_COUNT
};

extern const char *const load_outcome_names[LOAD_OUTCOME_COUNT];

/* Latencies have room for all requests of the run.  */
struct load_report
{
  uint64_t complete;
  uint64_t good;
  uint64_t dropped;
  uint64_t refusals;
  uint32_t *latencies_us;
  uint64_t statuses[600];
  uint64_t outcomes[LOAD_OUTCOME_COUNT];
  uint64_t failures[BGAP_FAILURE_COUNT];
};

/* Sorts the latencies and prints a table.  */
void load_report_print (struct load_report *report, double seconds);

#endif
