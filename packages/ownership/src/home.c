#include "banyangap/ownership/home.h"

#include <math.h>
#include <string.h>

#include "banyangap/base/hash.h"

/* Weighted rendezvous hashing: the score is -weight / ln (u) with u uniform in
   (0, 1). Each cell gets slices in proportion to its weight, and a change of
   one cell's weight moves slices only to or from that cell.  */
static double
_bgap_home_score (uint64_t key, const struct bgap_home_cell *cell)
{
  uint64_t hash = bgap_rendezvous_weight (key, cell->name);
  double u = ((double)(hash >> 11) + 0.5) / (double)(UINT64_C (1) << 53);
  double weight = cell->weight > 0 ? cell->weight : 1;
  return -weight / log (u);
}

uint32_t
bgap_home_of_slice (const char *service, uint32_t slice,
                    const struct bgap_home_cell *cells, uint32_t count)
{
  uint64_t key = bgap_hash64 (service, strlen (service))
                 ^ bgap_hash64 (&slice, sizeof slice);
  uint32_t best = 0;
  double best_score = _bgap_home_score (key, &cells[0]);
  for (uint32_t i = 1; i < count; i++)
    {
      double score = _bgap_home_score (key, &cells[i]);
      if (score > best_score)
        {
          best = i;
          best_score = score;
        }
    }
  return best;
}
