#ifndef BANYANGAP_ROUTING_TESTS_COLD_RESTARTS_H
#define BANYANGAP_ROUTING_TESTS_COLD_RESTARTS_H

/*
 * A fleet whose servers crash again and again and are cold when they are back.
 *
 *   assert_in_range (cold_restarts_most (81), 0, COLD_RESTARTS_BOUND);
 */

#include <stdint.h>

/* What a cold server tolerates: 4 requests a second, times 1.5, and 8.  */
#define COLD_RESTARTS_BOUND 14u

/* Crashes every third of 90 servers five times, for half a second each.
   Returns the most requests that one of them gets in a second while it is
   cold, and prints it.  */
uint32_t cold_restarts_most (uint32_t instances);

#endif
