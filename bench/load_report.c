#include "load_report.h"

#include <stdio.h>
#include <stdlib.h>

const char *const load_outcome_names[LOAD_OUTCOME_COUNT]
    = { "answered", "not-run", "unknown", "missing" };

static int
_bgap_load_compare_latencies (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;
  return (x > y) - (x < y);
}

static double
_bgap_load_quantile_ms (const struct load_report *report, double quantile)
{
  if (report->complete == 0)
    return 0;
  uint64_t rank = (uint64_t)(quantile * (double)(report->complete - 1));
  return report->latencies_us[rank] / 1000.0;
}

void
load_report_print (struct load_report *report, double seconds)
{
  qsort (report->latencies_us, report->complete, sizeof *report->latencies_us,
         _bgap_load_compare_latencies);
  printf ("%-24s %.2f\n", "seconds until the last", seconds);
  printf ("%-24s %llu\n", "complete answers",
          (unsigned long long)report->complete);
  printf ("%-24s %.0f\n", "goodput (2xx/s)",
          (double)report->successes / seconds);
  printf ("%-24s %.2f\n", "50 in 100 (ms)",
          _bgap_load_quantile_ms (report, 0.5));
  printf ("%-24s %.2f\n", "99 in 100 (ms)",
          _bgap_load_quantile_ms (report, 0.99));
  printf ("%-24s %.2f\n", "99.9 in 100 (ms)",
          _bgap_load_quantile_ms (report, 0.999));
  printf ("%-24s %.2f\n", "largest (ms)", _bgap_load_quantile_ms (report, 1));
  for (int i = 0; i < 600; i++)
    if (report->statuses[i] > 0)
      printf ("status %-17d %llu\n", i,
              (unsigned long long)report->statuses[i]);
  for (int i = 0; i < LOAD_OUTCOME_COUNT; i++)
    if (report->outcomes[i] > 0)
      printf ("outcome %-16s %llu\n", load_outcome_names[i],
              (unsigned long long)report->outcomes[i]);
  for (int i = 0; i < BGAP_FAILURE_COUNT; i++)
    if (report->failures[i] > 0)
      printf ("failure %-16s %llu\n",
              bgap_failure_name ((enum bgap_failure_kind)i),
              (unsigned long long)report->failures[i]);
  printf ("%-24s %llu\n", "refused by the target",
          (unsigned long long)report->refusals);
  printf ("%-24s %llu\n", "dropped by the client",
          (unsigned long long)report->dropped);
}
