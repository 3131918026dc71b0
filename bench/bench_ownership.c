/*
 * Measures the cost of ownership per instance, and the phases of the recovery
 * from a loss, in the simulated cell of packages/ownership/tests/fuzz.
 *
 *   build/bench/bench_ownership
 *
 * CPU time covers the calls into the engine. Bytes are the bodies of the
 * messages that an instance sends to peers, servers and the log. Both are
 * means over the instances. Slopes are least-squares fits over three sizes.
 */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "oracle.h"
#include "world.h"

#define SETTLE_MS 6000
#define MEASURE_MS 20000
#define SIZE_COUNT 3
#define SEED_COUNT 20
#define RECOVERY_LIMIT_MS 5000
#define POLL_INTERVAL_MS 5

struct bgap_cost
{
  double size;
  double cpu_us_per_s;
  double bytes_per_s;
  double memory_bytes;
};

static struct bgap_world *
_bgap_bench_start_world (uint32_t slices, uint32_t servers, uint32_t instances)
{
  struct bgap_world *w = bgap_world_setup (&(struct bgap_world_desc){
      .seed = 1,
      .slices = slices,
      .servers = servers,
      .instances = instances,
      .witnesses = instances >= 5 ? 5 : 3,
      .measure = true,
  });
  bgap_world_run_ms (w, SETTLE_MS);
  for (uint32_t i = 0; i < instances; i++)
    {
      w->instances[i].engine_ns = 0;
      w->instances[i].sent_bytes = 0;
    }
  w->appends = 0;
  return w;
}

/* Includes blocks that malloc maps separately.  */
static size_t
_bgap_bench_allocated_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();
  return info.uordblks + info.hblkhd;
}

/* Measures the memory of an engine that only replays the log, which is what
   every instance keeps per cell.  */
static double
_bgap_bench_replica_memory (const struct bgap_world *w)
{
  struct bgap_engine *engine = NULL;
  struct bgap_error err;
  const struct bgap_engine_desc desc = {
    .cell = "c",
    .self = "reader",
    .zone = "z0",
    .incarnation = 1,
    .now_ms = 1,
  };
  size_t before = _bgap_bench_allocated_bytes ();
  if (bgap_engine_setup (&engine, &desc, &err) != BGAP_OK)
    exit (1);
  for (uint64_t i = 0; i < w->log.count; i++)
    bgap_engine_on_record (engine, i + 1, w->log.records[i].bytes,
                           w->log.records[i].size, 1);
  size_t after = _bgap_bench_allocated_bytes ();
  bgap_engine_shutdown (engine);
  return (double)(after - before);
}

static struct bgap_cost
_bgap_bench_collect_cost (struct bgap_world *w, double size)
{
  struct bgap_cost cost
      = { .size = size, .memory_bytes = _bgap_bench_replica_memory (w) };
  double seconds = MEASURE_MS / 1000.0 * w->desc.instances;
  for (uint32_t i = 0; i < w->desc.instances; i++)
    {
      cost.cpu_us_per_s += (double)w->instances[i].engine_ns / 1000 / seconds;
      cost.bytes_per_s += (double)w->instances[i].sent_bytes / seconds;
    }
  bgap_world_shutdown (w);
  return cost;
}

static struct bgap_cost
_bgap_bench_measure_steady (uint32_t slices, uint32_t servers,
                            uint32_t instances, double size)
{
  struct bgap_world *w = _bgap_bench_start_world (slices, servers, instances);
  bgap_world_run_ms (w, MEASURE_MS);
  return _bgap_bench_collect_cost (w, size);
}

/* Drains servers one after another. The size of the result is the number of
   records that were appended.  */
static struct bgap_cost
_bgap_bench_measure_changes (uint32_t drains)
{
  struct bgap_world *w = _bgap_bench_start_world (1024, 8, 6);
  for (uint32_t i = 0; i < drains; i++)
    {
      bgap_world_drain_server (w, i % 8, true);
      bgap_world_run_ms (w, MEASURE_MS / drains / 2);
      bgap_world_drain_server (w, i % 8, false);
      bgap_world_run_ms (w, MEASURE_MS / drains / 2);
    }
  if (drains == 0)
    bgap_world_run_ms (w, MEASURE_MS);
  return _bgap_bench_collect_cost (w, w->appends);
}

static double
_bgap_bench_slope (const struct bgap_cost *costs, size_t offset)
{
  double n = SIZE_COUNT;
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  for (int i = 0; i < SIZE_COUNT; i++)
    {
      double x = costs[i].size;
      double y = 0;
      memcpy (&y, (const char *)&costs[i] + offset, sizeof y);
      sx += x;
      sy += y;
      sxx += x * x;
      sxy += x * y;
    }
  return (n * sxy - sx * sy) / (n * sxx - sx * sx);
}

static void
_bgap_bench_print (const char *name, const struct bgap_cost *costs)
{
  for (int i = 0; i < SIZE_COUNT; i++)
    printf ("%-10s %8.0f %12.1f %12.0f %12.0f\n", name, costs[i].size,
            costs[i].cpu_us_per_s, costs[i].bytes_per_s,
            costs[i].memory_bytes);
  printf (
      "%-10s %8s %12.3f %12.2f %12.2f\n", name, "slope",
      _bgap_bench_slope (costs, offsetof (struct bgap_cost, cpu_us_per_s)),
      _bgap_bench_slope (costs, offsetof (struct bgap_cost, bytes_per_s)),
      _bgap_bench_slope (costs, offsetof (struct bgap_cost, memory_bytes)));
}

static void
_bgap_bench_measure_costs (void)
{
  struct bgap_cost costs[SIZE_COUNT];
  printf ("%-10s %8s %12s %12s %12s\n", "per", "size", "cpu us/s", "bytes/s",
          "memory");
  for (uint32_t i = 0; i < SIZE_COUNT; i++)
    costs[i] = _bgap_bench_measure_steady (256u << 2 * i, 8, 6, 256u << 2 * i);
  _bgap_bench_print ("slice", costs);
  for (uint32_t i = 0; i < SIZE_COUNT; i++)
    costs[i] = _bgap_bench_measure_steady (1024, 8u << i, 6, 8u << i);
  _bgap_bench_print ("server", costs);
  for (uint32_t i = 0; i < SIZE_COUNT; i++)
    costs[i] = _bgap_bench_measure_steady (1024, 8, 4 + 4 * i, 4 + 4 * i);
  _bgap_bench_print ("instance", costs);
  for (uint32_t i = 0; i < SIZE_COUNT; i++)
    costs[i] = _bgap_bench_measure_changes (2 * i);
  _bgap_bench_print ("change", costs);
}

/* Times of the first effective revoke record after the loss and of the first
   grant record after it, taken from the trace; -1 if there was none yet.  */
static int64_t first_revoke_ms;
static int64_t first_grant_ms;

static void
_bgap_bench_on_trace (void *context, const char *line)
{
  (void)context;
  if (strstr (line, "no effect"))
    return;
  if (strstr (line, ": revoke") && first_revoke_ms < 0)
    first_revoke_ms = strtoll (line, NULL, 10);
  if (strstr (line, ": grant") && first_revoke_ms >= 0 && first_grant_ms < 0)
    first_grant_ms = strtoll (line, NULL, 10);
}

/* Simulated time since the start of the world.  */
static int64_t
_bgap_bench_elapsed_ms (const struct bgap_world *w, int64_t start_us)
{
  return (w->now_us - start_us) / 1000;
}

static bool
_bgap_bench_run_until_served (struct bgap_world *w)
{
  uint32_t slice_count = w->desc.services * w->desc.slices;
  for (int64_t ms = 0; ms <= RECOVERY_LIMIT_MS; ms += POLL_INTERVAL_MS)
    {
      if (bgap_oracle_count_served (w->oracle) == slice_count)
        return true;
      bgap_world_run_ms (w, POLL_INTERVAL_MS);
    }
  return false;
}

static void
_bgap_bench_measure_loss (const char *name, bool crash_server,
                          bool crash_proposer)
{
  int64_t sums_ms[4] = { 0 };
  int64_t worst_ms = 0;
  for (uint64_t seed = 0; seed < SEED_COUNT; seed++)
    {
      struct bgap_world *w = bgap_world_setup (&(struct bgap_world_desc){
          .seed = seed,
          .instances = 6,
          .servers = 6,
          .slices = 64,
          .witnesses = 5,
          .log_latency_us = 25000,
          .jitter_us = 500,
          .clock_ppm = 5000,
          .check = true,
          .trace = _bgap_bench_on_trace,
      });
      int64_t start_us = w->now_us;
      _bgap_bench_run_until_served (w);
      bgap_world_run_ms (w, 1000 + (int64_t)seed * 37);
      _bgap_bench_run_until_served (w);
      first_revoke_ms = first_grant_ms = -1;
      int64_t loss_ms = _bgap_bench_elapsed_ms (w, start_us);
      for (uint32_t i = 0; crash_proposer && i < w->desc.instances; i++)
        if (bgap_engine_is_proposer (w->instances[i].engine))
          {
            bgap_world_crash_instance (w, i, -1);
            break;
          }
      if (crash_server)
        bgap_world_crash_server (w, (uint32_t)seed % w->desc.servers, -1);
      bool served = _bgap_bench_run_until_served (w);
      int64_t total_ms
          = served ? _bgap_bench_elapsed_ms (w, start_us) - loss_ms : -1;
      if (crash_server)
        {
          sums_ms[0] += first_revoke_ms - loss_ms;
          sums_ms[1] += first_grant_ms - first_revoke_ms;
          sums_ms[2] += loss_ms + total_ms - first_grant_ms;
        }
      sums_ms[3] += total_ms;
      worst_ms = total_ms > worst_ms ? total_ms : worst_ms;
      bgap_world_shutdown (w);
    }
  printf ("%-24s %10lld %10lld %10lld %10lld %10lld\n", name,
          (long long)sums_ms[0] / SEED_COUNT,
          (long long)sums_ms[1] / SEED_COUNT,
          (long long)sums_ms[2] / SEED_COUNT,
          (long long)sums_ms[3] / SEED_COUNT, (long long)worst_ms);
}

int
main (void)
{
  _bgap_bench_measure_costs ();
  printf ("\n%-24s %10s %10s %10s %10s %10s\n", "loss (ms, mean of 20)",
          "to revoke", "to grant", "to served", "total", "worst");
  _bgap_bench_measure_loss ("server", true, false);
  _bgap_bench_measure_loss ("proposer", false, true);
  _bgap_bench_measure_loss ("server and proposer", true, true);
  return 0;
}
