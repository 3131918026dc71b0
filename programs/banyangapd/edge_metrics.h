#ifndef BGAPD_EDGE_METRICS_H
#define BGAPD_EDGE_METRICS_H

/*
 * Histograms of the times of answers, by outcome.
 */

#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/routing/types.h"

/* Bounds of the buckets, and one for what is above.  */
#define BGAP_EDGE_BUCKETS 13

/**
 * struct bgap_edge_histogram - a histogram of milliseconds
 */
struct bgap_edge_histogram
{
  uint64_t counts[BGAP_EDGE_BUCKETS];
  uint64_t total;
  uint64_t sum_ms;
};

/**
 * struct bgap_edge_metrics - of a service
 */
struct bgap_edge_metrics
{
  struct bgap_edge_histogram by_outcome[BGAP_OUTCOME_COUNT];
};

/**
 * bgap_edge_observe() - a request ended after @ms
 */
void bgap_edge_observe (struct bgap_edge_metrics *metrics,
                        enum bgap_outcome outcome, int64_t ms);

/**
 * bgap_edge_print_metrics() - append them in the text exposition format
 */
enum bgap_status
bgap_edge_print_metrics (const struct bgap_edge_metrics *metrics,
                         const char *service, struct bgap_buffer *out);

#endif
