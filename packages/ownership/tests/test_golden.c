/*
 * Runs scripted scenarios in virtual time and compares their traces, one line
 * per event, with golden/NAME.txt. BGAP_GOLDEN_UPDATE=1 writes the files
 * instead.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/buffer.h"
#include "oracle.h"
#include "world.h"

#define START_MS 4000
#define HOUR_MS 3600000

static struct bgap_buffer text;

static void
_bgap_golden_line (void *context, const char *line)
{
  (void)context;
  bgap_buffer_printf (&text, "%s\n", line);
}

static struct bgap_world *
_bgap_golden_setup (struct bgap_world_desc desc)
{
  text.size = 0;
  desc.check = true;
  desc.trace = _bgap_golden_line;
  struct bgap_world *w = bgap_world_setup (&desc);
  bgap_world_run_ms (w, START_MS);
  return w;
}

static void
_bgap_golden_compare (struct bgap_world *w, const char *name)
{
  bgap_world_shutdown (w);
  char path[64];
  snprintf (path, sizeof path, "golden/%s.txt", name);
  const char *update = getenv ("BGAP_GOLDEN_UPDATE");
  FILE *file = fopen (path, update ? "w" : "r");
  assert_non_null (file);
  if (update)
    fwrite (text.data, 1, text.size, file);
  else
    {
      struct bgap_buffer expected = { 0 };
      char chunk[4096];
      for (size_t size = fread (chunk, 1, sizeof chunk, file); size > 0;
           size = fread (chunk, 1, sizeof chunk, file))
        bgap_buffer_append (&expected, chunk, size);
      bgap_buffer_append (&expected, "", 0);
      assert_string_equal (text.data, expected.data);
      bgap_buffer_shutdown (&expected);
    }
  fclose (file);
  bgap_buffer_shutdown (&text);
}

/* Guards against an unintended change in how entries of a lost server move. */
static void
test_server_lost (void **state)
{
  (void)state;
  struct bgap_world *w
      = _bgap_golden_setup ((struct bgap_world_desc){ .seed = 1 });
  bgap_world_crash_server (w, 0, 5000);
  bgap_world_run_ms (w, 8000);
  _bgap_golden_compare (w, "server-lost");
}

/* Guards against a zone that stops serving its own keys when it is partitioned
   from the platform and the other zones.  */
static void
test_zone_partitioned_policy_zone (void **state)
{
  (void)state;
  struct bgap_world *w
      = _bgap_golden_setup ((struct bgap_world_desc){ .seed = 2 });
  bgap_world_trace (w, "the zone is cut from the platform");
  bgap_world_partition (w, 31, 7, false, true, true);
  bgap_world_run_ms (w, 10000);
  bgap_world_trace (w, "the zone is connected again");
  bgap_world_heal (w);
  bgap_world_run_ms (w, 3000);
  _bgap_golden_compare (w, "zone-cut-policy-zone");
}

/* Guards against a partitioned zone that serves keys after their leases have
   ended, and against keys that do not move to the other zones.  */
static void
test_zone_partitioned_policy_region (void **state)
{
  (void)state;
  struct bgap_world *w = _bgap_golden_setup (
      (struct bgap_world_desc){ .seed = 3,
                                .instances = 6,
                                .zones = 3,
                                .policy = BGAP_WITNESSES_REGION });
  bgap_world_trace (w, "zone z0 is cut");
  bgap_world_partition (w, 9, 1, false, true, true);
  bgap_world_run_ms (w, 6000);
  bgap_world_trace (w, "zone z0 is connected again");
  bgap_world_heal (w);
  bgap_world_run_ms (w, 4000);
  _bgap_golden_compare (w, "zone-cut-policy-region");
}

/* Guards against granted keys that lose their holder during a long outage of
   the log, and against keys of a lost server that move while the log is
   unavailable.  */
static void
test_log_outage_of_an_hour (void **state)
{
  (void)state;
  struct bgap_world *w = _bgap_golden_setup (
      (struct bgap_world_desc){ .seed = 4, .instances = 3, .servers = 2 });
  bgap_world_log_down (w, HOUR_MS);
  bgap_world_run_ms (w, HOUR_MS - 2000);
  bgap_world_crash_server (w, 1, -1);
  bgap_world_run_ms (w, 6000);
  _bgap_golden_compare (w, "log-out-for-an-hour");
}

/* Guards against keys that lose their holder while every entry host is
   replaced, one after the other.  */
static void
test_rolling_replacement (void **state)
{
  (void)state;
  struct bgap_world *w
      = _bgap_golden_setup ((struct bgap_world_desc){ .seed = 5 });
  for (uint32_t i = 0; i < w->desc.instances; i++)
    {
      bgap_world_leave_instance (w, i);
      for (int step = 0;
           step < 20 && !bgap_engine_may_exit (w->instances[i].engine); step++)
        bgap_world_run_ms (w, 100);
      bgap_world_crash_instance (w, i, 2000);
      bgap_world_run_ms (w, 5000);
    }
  _bgap_golden_compare (w, "rolling-replacement");
}

/* Appends a witness set based on the record at @based_on, as an operator does.
 */
static void
_bgap_golden_append_witnesses (struct bgap_world *w, uint64_t based_on,
                               const char *members, bool forced)
{
  char record[256];
  int size
      = snprintf (record, sizeof record,
                  "{\"schema\":1,\"type\":\"witnesses\",\"based_on\":%llu,"
                  "\"in_force\":%llu,\"members\":[%s]%s}",
                  (unsigned long long)based_on, (unsigned long long)based_on,
                  members, forced ? ",\"forced\":true" : "");
  bgap_world_append (w, record, (size_t)size);
}

/* Guards against two witness sets that are both in force after two operators
   changed the set at the same time.  */
static void
test_concurrent_operator_changes (void **state)
{
  (void)state;
  struct bgap_world *w
      = _bgap_golden_setup ((struct bgap_world_desc){ .seed = 6 });
  uint32_t members = 0;
  uint64_t based_on = bgap_oracle_witnesses (w->oracle, &members);
  char kept[32] = "";
  uint32_t dropped = 0;
  for (uint32_t i = 0; i < w->desc.instances; i++)
    if ((members >> i & 1) && dropped == 0)
      dropped = i + 1;
    else if (members >> i & 1)
      snprintf (kept + strlen (kept), sizeof kept - strlen (kept), "\"e%u\",",
                i);
  char first[64];
  char second[64];
  uint32_t others = ~members & 31;
  uint32_t low = (uint32_t)__builtin_ctz (others);
  uint32_t high = (uint32_t)__builtin_ctz (others & (others - 1));
  snprintf (first, sizeof first, "%s\"e%u\"", kept, low);
  snprintf (second, sizeof second, "%s\"e%u\"", kept, high);
  bgap_world_trace (w, "two operators replace a witness");
  _bgap_golden_append_witnesses (w, based_on, first, false);
  _bgap_golden_append_witnesses (w, based_on, second, false);
  bgap_world_run_ms (w, 1000);
  bgap_world_crash_server (w, 2, -1);
  bgap_world_run_ms (w, 3000);
  _bgap_golden_compare (w, "operators-race");
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_server_lost),
    cmocka_unit_test (test_zone_partitioned_policy_zone),
    cmocka_unit_test (test_zone_partitioned_policy_region),
    cmocka_unit_test (test_log_outage_of_an_hour),
    cmocka_unit_test (test_rolling_replacement),
    cmocka_unit_test (test_concurrent_operator_changes),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
