#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <string.h>

#include "banyangap/ownership/home.h"

#define SLICES 4096

/* Guards against an assignment that ignores the weights of the cells, or that
   depends on the order in which the cells are listed.  */
static void
test_slices_are_proportional_to_weights (void **state)
{
  (void)state;
  const struct bgap_home_cell cells[] = { { "a", 10 }, { "b", 30 } };
  const struct bgap_home_cell reversed[] = { { "b", 30 }, { "a", 10 } };
  uint32_t count_a = 0;
  for (uint32_t slice = 0; slice < SLICES; slice++)
    {
      uint32_t index = bgap_home_of_slice ("s", slice, cells, 2);
      assert_string_equal (
          cells[index].name,
          reversed[bgap_home_of_slice ("s", slice, reversed, 2)].name);
      count_a += index == 0;
    }
  assert_in_range (count_a, SLICES / 4 - SLICES / 20,
                   SLICES / 4 + SLICES / 20);
}

/* Guards against slices that move between the existing cells when a cell is
   added.  */
static void
test_new_cell_moves_slices_only_to_itself (void **state)
{
  (void)state;
  const struct bgap_home_cell cells[]
      = { { "a", 10 }, { "b", 10 }, { "c", 10 } };
  for (uint32_t slice = 0; slice < SLICES; slice++)
    {
      uint32_t before = bgap_home_of_slice ("s", slice, cells, 2);
      uint32_t after = bgap_home_of_slice ("s", slice, cells, 3);
      assert_true (after == before || after == 2);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_slices_are_proportional_to_weights),
    cmocka_unit_test (test_new_cell_moves_slices_only_to_itself),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
