#ifndef BANYANGAP_OWNERSHIP_PLACEMENT_KEYS_H
#define BANYANGAP_OWNERSHIP_PLACEMENT_KEYS_H

#include "placement_private.h"

/* Plans splits of hot keys and merges of keys that are no longer hot.  */
void _bgap_placement_plan_keys (struct bgap_placement_plan_state *plan);

#endif
