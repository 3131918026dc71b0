#ifndef BANYANGAP_RESOURCE_CONFIG_STATE_H
#define BANYANGAP_RESOURCE_CONFIG_STATE_H

/*
 * State of the replay: one entry per owner and the snapshots in assembly.
 */

#include "banyangap/resource/config.h"

/* Accepted changes remembered per owner, for messages about stale ones.  */
#define BGAP_CONFIG_CHANGES 16

/* Bytes of the description of a change; longer ones are cut.  */
#define BGAP_CONFIG_CHANGE_SIZE 2048

/* Keyed services that an owner may have had.  */
#define BGAP_CONFIG_SLICES_MAX 1024

/**
 * struct bgap_config_slices - number of slices of a keyed service
 *
 * It is kept when the service is removed: grants in the ownership streams
 * name slices by number, so a service that comes back must divide its keys in
 * the same way.
 */
struct bgap_config_slices
{
  char service[BGAP_RESOURCE_NAME_SIZE];
  uint32_t slices;
};

/**
 * struct bgap_config_change - an accepted change
 * @previous: version that it replaced
 */
struct bgap_config_change
{
  int64_t version;
  int64_t previous;
  char operator[BGAP_RESOURCE_NAME_SIZE];
  char *text;
};

/**
 * struct bgap_config_owner - accepted configuration of an owner
 * @encoded_size: bytes of the owner in a snapshot, at most
 * @changes: oldest first
 */
struct bgap_config_owner
{
  char name[BGAP_RESOURCE_NAME_SIZE];
  char operator[BGAP_RESOURCE_NAME_SIZE];
  int64_t version;
  char *documents;
  size_t encoded_size;
  struct bgap_config_slices *slices;
  uint32_t slices_count;
  struct bgap_config_change changes[BGAP_CONFIG_CHANGES];
  uint32_t change_count;
};

/**
 * struct bgap_config_assembly - a snapshot of which parts were seen
 * @id: "" for a free slot
 * @last: offset of the newest part
 */
struct bgap_config_assembly
{
  char id[BGAP_RESOURCE_NAME_SIZE];
  int64_t as_of;
  int64_t last;
  uint32_t parts;
  uint32_t next;
  struct bgap_buffer data;
};

/* config_owner.c */

/**
 * bgap_config_find() - entry of an owner, NULL if there is none
 */
struct bgap_config_owner *bgap_config_find (const struct bgap_config *config,
                                            const char *owner);

/**
 * bgap_config_owner_free() - free what an entry owns
 */
void bgap_config_owner_free (struct bgap_config_owner *owner);

/**
 * bgap_config_owners_free() - free an array of entries
 */
void bgap_config_owners_free (struct bgap_config_owner *owners,
                              uint32_t count);

/**
 * bgap_config_remember() - append to the changes of an owner
 */
enum bgap_status
bgap_config_remember (struct bgap_config_owner *owner,
                      const struct bgap_config_change *change);

/**
 * bgap_config_encoded_size() - bytes of an owner in a snapshot, at most
 */
size_t bgap_config_encoded_size (const char *documents, uint32_t services);

/* config_load.c */

/**
 * bgap_config_load() - parse one owner's documents into a set
 * @known: slices of the owner's services so far
 *
 * Adds findings for documents of other owners and for changed numbers of
 * slices, and fills numbers of slices that are left out and known.
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_config_load (struct bgap_resource_set *set,
                                   const char *owner, const char *documents,
                                   const struct bgap_config_slices *known,
                                   uint32_t known_count,
                                   struct bgap_findings *findings);

/**
 * bgap_config_merge_slices() - add the services of a resolved set to @known
 * @out: gets a new array ordered by name
 *
 * Return: BGAP_OK, BGAP_ERR_FULL or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_config_merge_slices (
    const struct bgap_resource_set *set, const char *owner,
    const struct bgap_config_slices *known, uint32_t known_count,
    struct bgap_config_slices **out, uint32_t *out_count);

/* config_evaluate.c */

/**
 * struct bgap_config_candidate - result of an accepted change
 */
struct bgap_config_candidate
{
  struct bgap_resource_set set;
  struct bgap_config_slices *slices;
  uint32_t slices_count;
  size_t encoded_size;
};

/**
 * bgap_config_evaluate() - effect of a change; the state does not change
 * @event: owner, operator, based_on and offset are set by the caller
 * @candidate: zeroed; filled if the result is BGAP_CONFIG_ACCEPTED
 */
enum bgap_status
bgap_config_evaluate (const struct bgap_config *config, const char *documents,
                      struct bgap_config_event *event,
                      struct bgap_config_candidate *candidate);

/**
 * bgap_config_candidate_free() - free what was not taken over
 */
void bgap_config_candidate_free (struct bgap_config_candidate *candidate);

/* config_commit.c */

/**
 * bgap_config_commit() - put an accepted change in force
 *
 * Return: BGAP_OK, or BGAP_ERR_NO_MEMORY with the state unchanged.
 */
enum bgap_status bgap_config_commit (struct bgap_config *config,
                                     const char *documents,
                                     const struct bgap_config_event *event,
                                     struct bgap_config_candidate *candidate);

/* config_assembly.c */

/**
 * bgap_config_part() - handle a snapshot record at @offset
 */
enum bgap_status bgap_config_part (struct bgap_config *config, int64_t offset,
                                   const json_t *record,
                                   enum bgap_config_result *result);

/**
 * bgap_config_reset_assemblies() - forget all parts
 */
void bgap_config_reset_assemblies (struct bgap_config *config);

/* config_cells.c */

/**
 * bgap_config_check_cells() - refuse a change of the cells of a keyed service
 *
 * The home cell of a slice follows from the cells. If it changed, an instance
 * with the older configuration and one with the newer could grant the slice in
 * two cells at once.
 */
void bgap_config_check_cells (const struct bgap_config *config,
                              const struct bgap_config_candidate *candidate,
                              struct bgap_config_event *event);

#endif
