#ifndef BANYANGAP_BENCH_LOAD_REPORT_H
#define BANYANGAP_BENCH_LOAD_REPORT_H

/* Results of a run of bench_load.  */

#include <stdint.h>

#include "banyangap/gateway/backend.h"

/* Values of the header Bgap-Outcome; MISSING if it is absent or unknown.  */
enum load_outcome
{
  LOAD_OUTCOME_ANSWERED,
  LOAD_OUTCOME_NOT_RUN,
  LOAD_OUTCOME_UNKNOWN,
  LOAD_OUTCOME_MISSING,
  LOAD_OUTCOME_COUNT
};

extern const char *const load_outcome_names[LOAD_OUTCOME_COUNT];

/**
 * struct load_report - counts and latencies of a run
 * @complete: requests whose whole answer arrived
 * @successes: complete answers with a status of 2xx
 * @dropped: requests that the load generator did not send
 * @refusals: requests that the target refused
 * @latencies_us: latencies of the complete requests; must hold all requests of
 * the run
 * @statuses: complete answers by HTTP status
 * @outcomes: answers by enum load_outcome
 * @failures: failed attempts by enum bgap_failure_kind
 */
struct load_report
{
  uint64_t complete;
  uint64_t successes;
  uint64_t dropped;
  uint64_t refusals;
  uint32_t *latencies_us;
  uint64_t statuses[600];
  uint64_t outcomes[LOAD_OUTCOME_COUNT];
  uint64_t failures[BGAP_FAILURE_COUNT];
};

/**
 * load_report_print() - sort the latencies and print the results
 * @seconds: duration of the run
 */
void load_report_print (struct load_report *report, double seconds);

#endif
