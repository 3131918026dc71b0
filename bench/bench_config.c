/*
 * Measures what the configuration costs per change and per resource, for three
 * sizes of the deployment: the time to apply a change of one owner and to
 * install a snapshot, the heap memory of the replayed configuration, and the
 * peak RSS of the process, which includes the documents that the benchmark
 * generates. The last line gives the slopes between the smallest and the
 * largest size.
 *
 *   bench_config [servers_small servers_medium servers_large]
 *   bench_config text    memory to reject the document with the most values
 */

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>

#include "banyangap/resource/config.h"

#define SIZE_COUNT 3

/* Average of the two deployments.  */
#define SERVERS_PER_SERVICE 10

#define SERVICES_PER_OWNER 20

/* Changes per measurement, of which the median is printed.  */
#define CHANGE_COUNT 21

struct result
{
  unsigned servers;
  unsigned resources;
  unsigned owners;
  double change_ms;
  double install_ms;
  double snapshot_kb;
  double memory_kb;
  double peak_kb;
};

static void
_fail (const char *action)
{
  fprintf (stderr, "bench_config: cannot %s\n", action);
  exit (EXIT_FAILURE);
}

static double
_now_ms (void)
{
  struct timespec ts = { 0 };
  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6;
}

static double
_heap_kb (void)
{
  const struct mallinfo2 info = mallinfo2 ();
  return (double)(info.uordblks + info.hblkhd) / 1024;
}

static double
_peak_kb (void)
{
  struct rusage usage = { 0 };
  getrusage (RUSAGE_SELF, &usage);
  return (double)usage.ru_maxrss;
}

static void
_print_documents (struct bgap_buffer *out, unsigned owner, unsigned services,
                  unsigned deadline_ms)
{
  bgap_buffer_printf (out,
                      "kind: owner\nname: o%u\nowner: o%u\n---\n"
                      "kind: zone\nname: z\nowner: o%u\nregion: r\n---\n"
                      "kind: ownership_policy\nname: p\nowner: o%u\n"
                      "witnesses: region\n",
                      owner, owner, owner, owner);
  for (unsigned i = 0; i < services; i++)
    {
      bgap_buffer_printf (out,
                          "---\nkind: service\nname: s%u\nowner: o%u\n"
                          "keyed: true\nrepeat: idempotent\n"
                          "ownership_policy: p\ndeadline_ms: %u\n---\n"
                          "kind: backend_servers\nname: s%u\nowner: o%u\n"
                          "service: s%u\nservers:\n",
                          i, owner, deadline_ms, i, owner, i);
      for (unsigned j = 0; j < SERVERS_PER_SERVICE; j++)
        bgap_buffer_printf (out,
                            "  - name: o%u-s%u-%u\n    zone: z\n"
                            "    address: 10.%u.%u.%u:8080\n    slots: 4\n"
                            "    connections: 110\n"
                            "    checks_grants: true\n",
                            owner, i, j, owner, i, j);
    }
}

/* Applies one change to the documents of an owner.

   Return: the time in ms to apply the record, without encoding it.  */
static double
_apply_change (struct bgap_config *config, unsigned owner, unsigned services,
               unsigned deadline_ms)
{
  char name[16];
  struct bgap_buffer documents = { 0 };
  struct bgap_buffer record = { 0 };
  struct bgap_config_event event = { 0 };
  snprintf (name, sizeof name, "o%u", owner);
  _print_documents (&documents, owner, services, deadline_ms);
  if (bgap_config_encode (name, bgap_config_version (config, name),
                          documents.data, "bench", &record)
      != BGAP_OK)
    _fail ("encode the change");
  const double start_ms = _now_ms ();
  if (bgap_config_apply (config, bgap_config_next (config), record.data,
                         record.size, &event)
          != BGAP_OK
      || event.result != BGAP_CONFIG_ACCEPTED)
    _fail ("apply the change");
  const double taken_ms = _now_ms () - start_ms;
  bgap_config_event_shutdown (&event);
  bgap_buffer_shutdown (&documents);
  bgap_buffer_shutdown (&record);
  return taken_ms;
}

static int
_compare_doubles (const void *a, const void *b)
{
  const double left = *(const double *)a;
  const double right = *(const double *)b;
  return left < right ? -1 : left > right;
}

static void
_measure_install (const struct bgap_config *config, struct result *result)
{
  struct bgap_buffer data = { 0 };
  struct bgap_config installed;
  const struct bgap_config_desc desc = { 0 };
  if (bgap_config_snapshot_data (config, &data) != BGAP_OK
      || bgap_config_setup (&installed, &desc) != BGAP_OK)
    _fail ("take a snapshot");
  const double start_ms = _now_ms ();
  if (bgap_config_install (&installed, data.data, data.size, NULL) != BGAP_OK)
    _fail ("install the snapshot");
  result->install_ms = _now_ms () - start_ms;
  result->snapshot_kb = (double)data.size / 1024;
  bgap_config_shutdown (&installed);
  bgap_buffer_shutdown (&data);
}

static void
_measure (struct result *result)
{
  const unsigned services = result->servers / SERVERS_PER_SERVICE;
  const struct bgap_config_desc desc = { 0 };
  struct bgap_config config;
  double times_ms[CHANGE_COUNT];
  const double before_kb = _heap_kb ();
  if (bgap_config_setup (&config, &desc) != BGAP_OK)
    _fail ("set up the configuration");
  for (unsigned remaining = services; remaining > 0; result->owners++)
    {
      const unsigned owned
          = remaining < SERVICES_PER_OWNER ? remaining : SERVICES_PER_OWNER;
      _apply_change (&config, result->owners, owned, 1000);
      result->resources += 3 + 2 * owned;
      remaining -= owned;
    }
  const unsigned owned_by_first
      = services < SERVICES_PER_OWNER ? services : SERVICES_PER_OWNER;
  for (unsigned i = 0; i < CHANGE_COUNT; i++)
    times_ms[i] = _apply_change (&config, 0, owned_by_first, 1001 + i);
  qsort (times_ms, CHANGE_COUNT, sizeof *times_ms, _compare_doubles);
  result->change_ms = times_ms[CHANGE_COUNT / 2];
  result->memory_kb = _heap_kb () - before_kb;
  _measure_install (&config, result);
  bgap_config_shutdown (&config);
  result->peak_kb = _peak_kb ();
}

/* Measures the memory and time to reject a document with the most values that
   pass the first check, the limit on nodes.  */
static void
_measure_most_values (void)
{
  struct bgap_resource_set set;
  struct bgap_findings findings = { 0 };
  struct bgap_buffer text = { 0 };
  const struct bgap_resource_set_desc desc = { 0 };
  if (bgap_resource_set_setup (&set, &desc) != BGAP_OK)
    _fail ("set up the configuration");
  bgap_buffer_printf (&text, "kind: zone\nname: [");
  for (unsigned i = 0; i + 5 < set.limits.nodes_max; i++)
    bgap_buffer_append (&text, "a,", 2);
  bgap_buffer_append (&text, "]\n", 2);
  const double before_kb = _peak_kb ();
  const double start_ms = _now_ms ();
  bgap_resource_parse (&set, text.data, text.size, "worst", &findings);
  printf ("text of %u values: %.0f KB, %.2f ms to refuse, peak +%.0f KB\n",
          set.limits.nodes_max, (double)text.size / 1024,
          _now_ms () - start_ms, _peak_kb () - before_kb);
  bgap_findings_shutdown (&findings);
  bgap_buffer_shutdown (&text);
  bgap_resource_set_shutdown (&set);
}

int
main (int argc, char **argv)
{
  struct result results[SIZE_COUNT]
      = { { .servers = 200 }, { .servers = 800 }, { .servers = 3200 } };
  for (int i = 0; i < SIZE_COUNT && i + 1 < argc; i++)
    results[i].servers = (unsigned)strtoul (argv[i + 1], NULL, 10);
  if (argc == 2 && strcmp (argv[1], "text") == 0)
    {
      _measure_most_values ();
      return 0;
    }
  printf ("servers  resources  owners  change_ms  install_ms  snapshot_kb  "
          "memory_kb  peak_rss_kb\n");
  for (int i = 0; i < SIZE_COUNT; i++)
    {
      struct result *r = &results[i];
      _measure (r);
      printf ("%7u  %9u  %6u  %9.2f  %10.2f  %11.1f  %9.1f  %11.0f\n",
              r->servers, r->resources, r->owners, r->change_ms, r->install_ms,
              r->snapshot_kb, r->memory_kb, r->peak_kb);
    }
  const struct result *a = &results[0];
  const struct result *b = &results[SIZE_COUNT - 1];
  const double servers = (double)b->servers - a->servers;
  if (servers <= 0)
    _fail ("compute slopes: the sizes must ascend");
  printf ("slope per server: change %.2f us, install %.2f us, snapshot %.0f "
          "bytes, memory %.0f bytes, peak %.0f bytes\n",
          (b->change_ms - a->change_ms) * 1e3 / servers,
          (b->install_ms - a->install_ms) * 1e3 / servers,
          (b->snapshot_kb - a->snapshot_kb) * 1024 / servers,
          (b->memory_kb - a->memory_kb) * 1024 / servers,
          (b->peak_kb - a->peak_kb) * 1024 / servers);
  return 0;
}
