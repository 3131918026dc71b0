#include "edge_metrics.h"

#include <inttypes.h>

/* Upper bounds of the buckets in milliseconds. They cover latency objectives
   and deadlines of services from tens of milliseconds to ten seconds.  */
static const int64_t bucket_bounds_ms[BGAP_EDGE_BUCKETS - 1]
    = { 5, 10, 25, 50, 100, 200, 400, 800, 1500, 3000, 6000, 12000 };

void
bgap_edge_observe (struct bgap_edge_metrics *metrics,
                   enum bgap_outcome outcome, int64_t ms)
{
  struct bgap_edge_histogram *histogram = &metrics->by_outcome[outcome];
  int bucket = 0;
  while (bucket < BGAP_EDGE_BUCKETS - 1 && ms > bucket_bounds_ms[bucket])
    bucket++;
  histogram->counts[bucket]++;
  histogram->total++;
  histogram->sum_ms += (uint64_t)(ms > 0 ? ms : 0);
}

static enum bgap_status
_bgap_edge_print_histogram (const struct bgap_edge_histogram *histogram,
                            const char *service, const char *outcome,
                            struct bgap_buffer *out)
{
  uint64_t sum = 0;
  enum bgap_status status = BGAP_OK;
  for (int i = 0; i < BGAP_EDGE_BUCKETS - 1 && status == BGAP_OK; i++)
    {
      sum += histogram->counts[i];
      status = bgap_buffer_printf (
          out,
          "bgap_request_seconds_bucket{service=\"%s\",outcome=\"%s\","
          "le=\"%g\"} %" PRIu64 "\n",
          service, outcome, (double)bucket_bounds_ms[i] / 1000, sum);
    }
  if (status == BGAP_OK)
    status = bgap_buffer_printf (
        out,
        "bgap_request_seconds_bucket{service=\"%s\",outcome=\"%s\","
        "le=\"+Inf\"} %" PRIu64 "\n"
        "bgap_request_seconds_sum{service=\"%s\",outcome=\"%s\"} %g\n"
        "bgap_request_seconds_count{service=\"%s\",outcome=\"%s\"} %" PRIu64
        "\n",
        service, outcome, histogram->total, service, outcome,
        (double)histogram->sum_ms / 1000, service, outcome, histogram->total);
  return status;
}

enum bgap_status
bgap_edge_print_metrics (const struct bgap_edge_metrics *metrics,
                         const char *service, struct bgap_buffer *out)
{
  enum bgap_status status = BGAP_OK;
  for (int i = 0; i < BGAP_OUTCOME_COUNT && status == BGAP_OK; i++)
    if (metrics->by_outcome[i].total > 0)
      status = _bgap_edge_print_histogram (&metrics->by_outcome[i], service,
                                           bgap_outcome_name (i), out);
  return status;
}
