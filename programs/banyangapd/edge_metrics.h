#ifndef BGAPD_EDGE_METRICS_H
#define BGAPD_EDGE_METRICS_H

/*
 * Histograms of request latency, by outcome.
 */

#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/routing/types.h"

/* Number of buckets, including the one without an upper bound.  */
#define BGAP_EDGE_BUCKETS 13

/**
 * struct bgap_edge_histogram - latency histogram
 * @counts: requests by bucket, not cumulative
 */
struct bgap_edge_histogram
{
  uint64_t counts[BGAP_EDGE_BUCKETS];
  uint64_t total;
  uint64_t sum_ms;
};

/**
 * struct bgap_edge_metrics - latency histograms of a service
 */
struct bgap_edge_metrics
{
  struct bgap_edge_histogram by_outcome[BGAP_OUTCOME_COUNT];
};

/**
 * bgap_edge_observe() - record a request that ended after @ms milliseconds
 */
void bgap_edge_observe (struct bgap_edge_metrics *metrics,
                        enum bgap_outcome outcome, int64_t ms);

/**
 * bgap_edge_print_metrics() - append the histograms to @out in the Prometheus
 * text exposition format
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status
bgap_edge_print_metrics (const struct bgap_edge_metrics *metrics,
                         const char *service, struct bgap_buffer *out);

#endif
