#ifndef BANYANGAP_RESOURCE_VALIDATE_H
#define BANYANGAP_RESOURCE_VALIDATE_H

#include "banyangap/resource/set.h"

/**
 * bgap_validate_servers() - names, addresses, zones and quotas of the servers;
 * a part of bgap_resource_validate()
 *
 * Return: BGAP_OK, also with findings, or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_validate_servers (const struct bgap_resource_set *set,
                                        struct bgap_findings *findings);

/**
 * bgap_validate_is_incomplete() - whether documents were left out, so that a
 * missing resource is not a finding
 */
bool bgap_validate_is_incomplete (const struct bgap_resource_set *set);

#endif
