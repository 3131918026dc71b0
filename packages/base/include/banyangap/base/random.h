#ifndef BANYANGAP_BASE_RANDOM_H
#define BANYANGAP_BASE_RANDOM_H

/*
 * Seeded pseudo-random number generator (SplitMix64). Not cryptographically
 * secure.
 *
 *   struct bgap_random random = { .state = bgap_random_seed () };
 *   uint64_t die = bgap_random_below (&random, 6) + 1;
 */

#include <stdint.h>

/**
 * struct bgap_random - generator state; any value is a valid seed
 */
struct bgap_random
{
  uint64_t state;
};

/**
 * bgap_random_seed() - seed from the operating system, or from the wall clock
 * if that fails
 */
uint64_t bgap_random_seed (void);

/**
 * bgap_random_next() - next 64 random bits
 */
uint64_t bgap_random_next (struct bgap_random *random);

/**
 * bgap_random_below() - uniform value in [0, @bound); 0 if @bound is 0
 */
uint64_t bgap_random_below (struct bgap_random *random, uint64_t bound);

#endif
