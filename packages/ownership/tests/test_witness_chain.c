/*
 * Two consecutive changes of the witness set by operators, the second before
 * the first is in force. The oracle aborts if a key has two holders.
 */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>

#include "oracle.h"
#include "world.h"

#define START_MS 3000
#define RUN_MS 4000
#define INSTANCES 5
#define SET_SIZE 3

static void
_bgap_append_witnesses (struct bgap_world *w, uint64_t based_on,
                        uint64_t in_force, const uint32_t members[SET_SIZE])
{
  char record[200];
  int size
      = snprintf (record, sizeof record,
                  "{\"schema\":1,\"type\":\"witnesses\",\"based_on\":%llu,"
                  "\"in_force\":%llu,\"members\":[\"e%u\",\"e%u\",\"e%u\"]}",
                  (unsigned long long)based_on, (unsigned long long)in_force,
                  members[0], members[1], members[2]);
  bgap_world_append (w, record, (size_t)size);
}

/* Guards against a renewer that has a majority of the first set while a
   proposer has one of the second and the third: {1,2,3} and {1,2,4} differ by
   one member, and so do {1,2,4} and {1,5,4}, but {2,3} and {1,4} are
   majorities of the first and the last set that do not intersect.  */
static void
test_set_changed_before_it_is_in_force (void **state)
{
  (void)state;
  for (uint32_t server = 0; server < 3; server++)
    {
      struct bgap_world *w
          = bgap_world_setup (&(struct bgap_world_desc){ .check = true });
      bgap_world_run_ms (w, START_MS);
      uint32_t set = 0;
      uint64_t based_on = bgap_oracle_witnesses (w->oracle, &set);
      uint32_t in[INSTANCES] = { 0 };
      uint32_t out[INSTANCES] = { 0 };
      uint32_t in_count = 0;
      uint32_t out_count = 0;
      for (uint32_t i = 0; i < INSTANCES; i++)
        if (set >> i & 1)
          in[in_count++] = i;
        else
          out[out_count++] = i;
      assert_int_equal (in_count, SET_SIZE);
      bgap_world_partition (w, 1u << in[1] | 1u << in[2], 1u << server, false,
                            true, true);
      const uint32_t second[SET_SIZE] = { in[0], in[1], out[0] };
      const uint32_t third[SET_SIZE] = { in[0], out[1], out[0] };
      _bgap_append_witnesses (w, based_on, based_on, second);
      _bgap_append_witnesses (w, w->log.count, based_on, third);
      bgap_world_run_ms (w, RUN_MS);
      bgap_world_shutdown (w);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_set_changed_before_it_is_in_force),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
