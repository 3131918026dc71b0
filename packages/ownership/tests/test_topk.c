#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "banyangap/base/hash.h"
#include "banyangap/base/random.h"
#include "banyangap/ownership/topk.h"

static void
_bgap_add (struct bgap_topk *topk, int64_t now_ms, uint64_t number,
           uint32_t requests)
{
  uint64_t hash = bgap_hash64 (&number, sizeof number);
  bgap_topk_add (topk, now_ms, hash, &number, sizeof number, requests);
}

/* Guards against frequent keys that are evicted by many infrequent ones.  */
static void
test_frequent_keys_survive (void **state)
{
  (void)state;
  struct bgap_topk topk;
  assert_int_equal (
      bgap_topk_setup (&topk, &(struct bgap_topk_desc){ .capacity = 16 }),
      BGAP_OK);
  struct bgap_random random = { .state = 1 };
  uint32_t hot_requests[4] = { 0 };
  for (int i = 0; i < 20000; i++)
    {
      uint64_t key = bgap_random_below (&random, 10);
      if (key >= 4)
        key = 1000 + bgap_random_below (&random, 100000);
      else
        hot_requests[key]++;
      _bgap_add (&topk, 1, key, 1);
    }
  const struct bgap_topk_item *items = NULL;
  assert_int_equal (bgap_topk_items (&topk, 1, &items), 16);
  for (int i = 0; i < 4; i++)
    {
      uint64_t key = 0;
      assert_int_equal (items[i].key_size, sizeof key);
      memcpy (&key, items[i].key, sizeof key);
      assert_true (key < 4);
      uint64_t exact = (uint64_t)hot_requests[key] * BGAP_TOPK_UNIT;
      assert_true (items[i].weight >= exact);
      assert_true (items[i].weight - items[i].error <= exact);
    }
  assert_true (topk.total == (uint64_t)20000 * BGAP_TOPK_UNIT);
  bgap_topk_shutdown (&topk);
}

/* Guards against keys that keep their weight after their requests stop.  */
static void
test_weights_decay (void **state)
{
  (void)state;
  struct bgap_topk topk;
  const struct bgap_topk_desc desc = { .capacity = 4, .half_life_ms = 1000 };
  assert_int_equal (bgap_topk_setup (&topk, &desc), BGAP_OK);
  _bgap_add (&topk, 5000, 1, 8);
  _bgap_add (&topk, 7000, 2, 4);
  const struct bgap_topk_item *items = NULL;
  assert_int_equal (bgap_topk_items (&topk, 7000, &items), 2);
  assert_true (items[0].weight == 4 * BGAP_TOPK_UNIT);
  assert_true (items[1].weight == 2 * BGAP_TOPK_UNIT);
  assert_int_equal (bgap_topk_items (&topk, 6000, &items), 2);
  assert_true (items[0].weight == 4 * BGAP_TOPK_UNIT);
  assert_int_equal (bgap_topk_items (&topk, 7000 + 100000, &items), 0);
  assert_true (topk.total == 0);
  bgap_topk_shutdown (&topk);
}

/* Guards against reads or writes beyond the 64 bytes stored of a key.  */
static void
test_long_and_empty_keys (void **state)
{
  (void)state;
  struct bgap_topk topk;
  assert_int_equal (bgap_topk_setup (&topk, &(struct bgap_topk_desc){ 0 }),
                    BGAP_OK);
  assert_int_equal (topk.capacity, 128);
  char key[200];
  memset (key, 'x', sizeof key);
  bgap_topk_add (&topk, 1, 7, key, sizeof key, 3);
  bgap_topk_add (&topk, 1, 8, NULL, 0, 2);
  bgap_topk_add (&topk, 1, 9, key, 5, 0);
  const struct bgap_topk_item *items = NULL;
  assert_int_equal (bgap_topk_items (&topk, 1, &items), 2);
  assert_int_equal (items[0].key_size, sizeof key);
  assert_memory_equal (items[0].key, key, BGAP_TOPK_KEY_SIZE);
  assert_int_equal (items[1].key_size, 0);
  bgap_topk_shutdown (&topk);
  const struct bgap_topk_desc bad = { .half_life_ms = -1 };
  assert_int_equal (bgap_topk_setup (&topk, &bad), BGAP_ERR_INVALID);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_frequent_keys_survive),
    cmocka_unit_test (test_weights_decay),
    cmocka_unit_test (test_long_and_empty_keys),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
