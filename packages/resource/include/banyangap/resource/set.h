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

/* Slices per server in the default number of slices.  */
#define BGAP_RESOURCE_SLICES_PER_SERVER 64u
#define BGAP_RESOURCE_SLICES_MAX 65536u

/* Default queue limit: queued requests per slot of the service.  */
#define BGAP_RESOURCE_QUEUED_PER_SLOT 4u

/**
 * struct bgap_resource_set_desc - limits; 0 means the default
 * @text_max: size in bytes of one text; default 1 MiB
 * @documents_max: documents in the set; default 4096
 * @nodes_max: YAML nodes in one text; default 65536
 * @servers_max: backend servers in the set; default 16384
 */
struct bgap_resource_set_desc
{
  size_t text_max;
  uint32_t documents_max;
  uint32_t nodes_max;
  uint32_t servers_max;
};

struct bgap_resource_positions;

/**
 * struct bgap_resource_set - resources by kind; the arrays are read-only
 * @positions: positions of the fields in their texts; private
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
  struct bgap_resource_positions *positions;
};

/**
 * bgap_resource_set_setup() - initialise an empty set
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status
bgap_resource_set_setup (struct bgap_resource_set *set,
                         const struct bgap_resource_set_desc *desc);

/**
 * bgap_resource_set_shutdown() - free the set; a zeroed one is allowed
 */
void bgap_resource_set_shutdown (struct bgap_resource_set *set);

/**
 * bgap_resource_parse() - add the documents of a YAML text to the set
 * @file: name of the text in findings
 *
 * A document whose kind, name or owner cannot be read is not added. A set
 * with findings can only be validated further, not used.
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID if findings were added, or
 * BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_resource_parse (struct bgap_resource_set *set,
                                      const char *text, size_t size,
                                      const char *file,
                                      struct bgap_findings *findings);

/**
 * bgap_resource_validate() - check references, duplicate names and addresses,
 * and combinations of fields
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID if findings were added, or
 * BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_resource_validate (const struct bgap_resource_set *set,
                                         struct bgap_findings *findings);

/**
 * bgap_resource_resolve() - fill in the defaults of services that depend on
 * other resources or fields (slices, queue_limit, repeat_window_s)
 *
 * The set must be valid.
 */
void bgap_resource_resolve (struct bgap_resource_set *set);

/**
 * bgap_resource_copy() - add copies of the resources of @owner to @set
 * @owner: NULL means all owners
 *
 * The positions of fields are not copied.
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_resource_copy (struct bgap_resource_set *set,
                                     const struct bgap_resource_set *from,
                                     const char *owner);

/**
 * bgap_resource_free_positions() - free the positions of fields, which only
 * parsing and validation need
 */
void bgap_resource_free_positions (struct bgap_resource_set *set);

/**
 * bgap_resource_diff() - append one line per difference, such as
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
 * bgap_resource_count_servers() - number of servers of a service
 * @slots: may be NULL; gets the sum of the servers' slots
 */
uint32_t bgap_resource_count_servers (const struct bgap_resource_set *set,
                                      const char *owner, const char *service,
                                      uint64_t *slots);

#endif
