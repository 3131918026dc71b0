#ifndef BANYANGAP_RESOURCE_SET_H
#define BANYANGAP_RESOURCE_SET_H

/*
 * A set of resources. Parsing, validation and use are separate steps:
 *
 *   struct bgap_resource_set set;
 *   struct bgap_findings findings = { 0 };
 *   bgap_resource_set_setup (&set, &(struct bgap_resource_set_desc){ 0 });
 *   bgap_resource_parse (&set, text, size, "all.yaml", &findings);
 *   if (bgap_resource_validate (&set, &findings) == BGAP_OK)
 *     bgap_resource_resolve (&set);
 *   for (uint32_t i = 0; i < set.service_count; i++)
 *     use (&set.services[i]);
 *   bgap_resource_set_shutdown (&set);
 */

#include <stddef.h>

#include "banyangap/base/status.h"
#include "banyangap/resource/findings.h"
#include "banyangap/resource/types.h"

/* Number of slices per server from which the default is derived.  */
#define BGAP_RESOURCE_SLICES_PER_SERVER 64u
#define BGAP_RESOURCE_SLICES_MAX 65536u

/* Default queue limit in requests per slot of the service.  */
#define BGAP_RESOURCE_QUEUED_PER_SLOT 4u

/**
 * struct bgap_resource_set_desc - limits; 0 means the default
 * @text_max: bytes of one text; default 1 MiB
 * @documents_max: documents in the set; default 4096
 * @nodes_max: YAML nodes of one text; default 65536
 * @servers_max: backend servers in the set; default 16384
 */
struct bgap_resource_set_desc
{
  size_t text_max;
  uint32_t documents_max;
  uint32_t nodes_max;
  uint32_t servers_max;
};

struct bgap_resource_marks;

/**
 * struct bgap_resource_set - resources by kind; the arrays are read-only
 * @marks: positions of the fields in their texts; private
 */
struct bgap_resource_set
{
  struct bgap_resource_owner *owners;
  struct bgap_resource_zone *zones;
  struct bgap_resource_policy *policies;
  struct bgap_resource_service *services;
  struct bgap_resource_servers *servers;
  uint32_t owner_count;
  uint32_t zone_count;
  uint32_t policy_count;
  uint32_t service_count;
  uint32_t servers_count;
  struct bgap_resource_set_desc limits;
  struct bgap_resource_marks *marks;
};

/**
 * bgap_resource_set_setup() - an empty set
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status
bgap_resource_set_setup (struct bgap_resource_set *set,
                         const struct bgap_resource_set_desc *desc);

/**
 * bgap_resource_set_shutdown() - free the set; allowed on a zeroed one
 */
void bgap_resource_set_shutdown (struct bgap_resource_set *set);

/**
 * bgap_resource_parse() - add the documents of a YAML text to the set
 * @file: name of the text in findings
 *
 * A document whose name or owner cannot be read is not added. A set with
 * findings serves only for further validation.
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID if findings were added, or
 * BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_resource_parse (struct bgap_resource_set *set,
                                      const char *text, size_t size,
                                      const char *file,
                                      struct bgap_findings *findings);

/**
 * bgap_resource_validate() - check references, collisions and combinations
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID if findings were added, or
 * BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_resource_validate (const struct bgap_resource_set *set,
                                         struct bgap_findings *findings);

/**
 * bgap_resource_resolve() - fill the defaults that depend on the servers
 * (slices and queue_limit of services), on a valid set
 */
void bgap_resource_resolve (struct bgap_resource_set *set);

/**
 * bgap_resource_copy() - add copies of the resources of @owner to @set
 * @owner: NULL means all owners
 *
 * Positions are not copied.
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_resource_copy (struct bgap_resource_set *set,
                                     const struct bgap_resource_set *from,
                                     const char *owner);

/**
 * bgap_resource_forget_marks() - free the positions, which only validation
 * needs
 */
void bgap_resource_forget_marks (struct bgap_resource_set *set);

/**
 * bgap_resource_diff() - append one line per difference, as
 * "~ service/vandstand.deadline_ms: 2000 -> 1500"
 *
 * Lines start with + (added), - (removed) or ~ (changed).
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_resource_diff (const struct bgap_resource_set *before,
                                     const struct bgap_resource_set *after,
                                     struct bgap_buffer *out);

/* Lookups by name; NULL if there is no such resource.  */
const struct bgap_resource_owner *
bgap_resource_find_owner (const struct bgap_resource_set *set,
                          const char *name);
const struct bgap_resource_zone *
bgap_resource_find_zone (const struct bgap_resource_set *set,
                         const char *owner, const char *name);
const struct bgap_resource_policy *
bgap_resource_find_policy (const struct bgap_resource_set *set,
                           const char *owner, const char *name);
const struct bgap_resource_service *
bgap_resource_find_service (const struct bgap_resource_set *set,
                            const char *owner, const char *name);

/**
 * bgap_resource_count_servers() - servers and slots of a service
 * @slots: may be NULL; gets the sum of the servers' slots
 */
uint32_t bgap_resource_count_servers (const struct bgap_resource_set *set,
                                      const char *owner, const char *service,
                                      uint64_t *slots);

#endif
