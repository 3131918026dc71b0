#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/counters.h"
#include "banyangap/base/hash.h"
#include "banyangap/base/json.h"
#include "banyangap/base/pool.h"
#include "banyangap/base/random.h"

/* Guards against a handle of a freed item that resolves to the item allocated
   in its slot afterwards.  */
static void
test_pool_rejects_stale_handles (void **state)
{
  (void)state;
  struct bgap_pool pool;
  const struct bgap_pool_desc desc = { .item_size = 8, .capacity = 2 };
  assert_int_equal (bgap_pool_setup (&pool, &desc), BGAP_OK);
  uint32_t a = bgap_pool_alloc (&pool);
  uint32_t b = bgap_pool_alloc (&pool);
  assert_int_equal (bgap_pool_alloc (&pool), BGAP_INVALID_ID);
  bgap_pool_free (&pool, a);
  uint32_t c = bgap_pool_alloc (&pool);
  assert_int_not_equal (a, c);
  assert_null (bgap_pool_get (&pool, a));
  assert_non_null (bgap_pool_get (&pool, c));
  bgap_pool_free (&pool, a);
  assert_int_equal (pool.used, 2);
  uint32_t first = bgap_pool_next (&pool, BGAP_INVALID_ID);
  uint32_t second = bgap_pool_next (&pool, first);
  assert_true ((first == b && second == c) || (first == c && second == b));
  assert_int_equal (bgap_pool_next (&pool, second), BGAP_INVALID_ID);
  bgap_pool_shutdown (&pool);
}

/* Guards against counters that change their address when more are added, and
   against increments that are lost when the registry is full.  */
static void
test_counters_keep_their_address (void **state)
{
  (void)state;
  struct bgap_counters counters;
  const struct bgap_counters_desc desc = { .capacity = 2 };
  assert_int_equal (bgap_counters_setup (&counters, &desc), BGAP_OK);
  uint64_t *a = bgap_counters_get (&counters, "a_total", "");
  uint64_t *b = bgap_counters_get (&counters, "a_total", "x=\"1\"");
  assert_ptr_not_equal (a, b);
  assert_ptr_equal (a, bgap_counters_get (&counters, "a_total", ""));
  *a = 7;
  ++*bgap_counters_get (&counters, "c_total", "");
  struct bgap_buffer out = { 0 };
  assert_int_equal (bgap_counters_print (&counters, &out), BGAP_OK);
  assert_string_equal (out.data, "a_total 7\na_total{x=\"1\"} 0\n"
                                 "bgap_counters_overflow_total 1\n");
  bgap_buffer_shutdown (&out);
  bgap_counters_shutdown (&counters);
}

/* Guards against rendezvous hashing that moves keys of other nodes when one
   node is removed.  */
static void
test_rendezvous_moves_only_keys_of_the_removed_node (void **state)
{
  (void)state;
  const char *names[] = { "a", "b", "c", "d" };
  for (uint64_t key = 0; key < 1000; key++)
    {
      int best = 0;
      int best_without_d = 0;
      for (int i = 1; i < 4; i++)
        {
          uint64_t weight = bgap_rendezvous_weight (key, names[i]);
          if (weight > bgap_rendezvous_weight (key, names[best]))
            best = i;
          if (i < 3
              && weight > bgap_rendezvous_weight (key, names[best_without_d]))
            best_without_d = i;
        }
      if (best != 3)
        assert_int_equal (best, best_without_d);
    }
}

/* Guards against a member of the wrong type that is returned as a value.  */
static void
test_json_reports_wrong_types (void **state)
{
  (void)state;
  struct bgap_error err = { 0 };
  json_t *object = NULL;
  assert_int_equal (bgap_json_parse ("[1]", 3, &object, &err),
                    BGAP_ERR_PROTOCOL);
  assert_int_equal (bgap_json_parse ("{\"a\":\"x\"}", 9, &object, &err),
                    BGAP_OK);
  int64_t number = 0;
  const char *text = NULL;
  assert_int_equal (bgap_json_int (object, "a", &number, &err),
                    BGAP_ERR_PROTOCOL);
  assert_non_null (strstr (err.message, "\"a\""));
  assert_int_equal (bgap_json_string (object, "a", &text, &err), BGAP_OK);
  assert_string_equal (text, "x");
  json_decref (object);
}

/* Guards against values outside the range and values that never occur.  */
static void
test_random_below_stays_in_range (void **state)
{
  (void)state;
  struct bgap_random random = { .state = 1 };
  unsigned seen = 0;
  for (int i = 0; i < 1000; i++)
    {
      uint64_t value = bgap_random_below (&random, 6);
      assert_true (value < 6);
      seen |= 1u << value;
    }
  assert_int_equal (seen, 0x3f);
  assert_int_equal (bgap_random_below (&random, 0), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_pool_rejects_stale_handles),
    cmocka_unit_test (test_counters_keep_their_address),
    cmocka_unit_test (test_rendezvous_moves_only_keys_of_the_removed_node),
    cmocka_unit_test (test_json_reports_wrong_types),
    cmocka_unit_test (test_random_below_stays_in_range),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
