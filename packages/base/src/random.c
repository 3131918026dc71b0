#include "banyangap/base/random.h"

#include <sys/random.h>
#include <time.h>

uint64_t
bgap_random_seed (void)
{
  uint64_t seed = 0;
  if (getrandom (&seed, sizeof seed, 0) == sizeof seed)
    return seed;
  struct timespec ts = { 0 };
  clock_gettime (CLOCK_REALTIME, &ts);
  return (uint64_t)ts.tv_sec * 1000000000u + (uint64_t)ts.tv_nsec;
}

uint64_t
bgap_random_next (struct bgap_random *random)
{
  uint64_t z = random->state += 0x9e3779b97f4a7c15u;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return z ^ (z >> 31);
}

uint64_t
bgap_random_below (struct bgap_random *random, uint64_t bound)
{
  if (bound == 0)
    return 0;
  return (uint64_t)(((unsigned __int128)bgap_random_next (random) * bound)
                    >> 64);
}
