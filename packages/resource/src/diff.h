#ifndef BANYANGAP_RESOURCE_DIFF_H
#define BANYANGAP_RESOURCE_DIFF_H

#include "banyangap/resource/set.h"

/**
 * bgap_diff_owner() - bgap_resource_diff() of the resources of one owner
 * @owner: NULL means all owners
 */
enum bgap_status bgap_diff_owner (const struct bgap_resource_set *before,
                                  const struct bgap_resource_set *after,
                                  const char *owner, struct bgap_buffer *out);

#endif
