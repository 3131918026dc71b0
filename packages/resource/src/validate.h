#ifndef BANYANGAP_RESOURCE_VALIDATE_H
#define BANYANGAP_RESOURCE_VALIDATE_H

#include "banyangap/resource/set.h"

/**
 * bgap_validate_servers() - check names, addresses, zones and connections of
 * the servers; called by bgap_resource_validate()
 *
 * Return: BGAP_OK, also with findings, or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_validate_servers (const struct bgap_resource_set *set,
                                        struct bgap_findings *findings);

/**
 * bgap_validate_is_incomplete() - whether documents were left out because of
 * findings, so a reference to a missing resource is not reported
 */
bool bgap_validate_is_incomplete (const struct bgap_resource_set *set);

#endif
