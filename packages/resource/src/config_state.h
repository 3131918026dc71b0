#ifndef BANYANGAP_RESOURCE_CONFIG_STATE_H
#define BANYANGAP_RESOURCE_CONFIG_STATE_H

/*
 * State of the replay: one entry per owner, and the snapshots that are being
 * assembled.
 */

#include "banyangap/resource/config.h"

/* Accepted changes kept per owner; they are reported for stale changes.  */
#define BGAP_CONFIG_CHANGES_MAX 16

/* Size of the description of a change; longer ones are truncated.  */
#define BGAP_CONFIG_CHANGE_SIZE 2048

/* Keyed services per owner, including removed ones.  */
#define BGAP_CONFIG_SLICES_MAX 1024

/**
 * struct bgap_config_slices - number of slices of a keyed service
 *
 * The number is kept when the service is removed: grants in the ownership
 * streams refer to slices by number, so a service that is added again must
 * divide its keys in the same way.
 */
struct bgap_config_slices
{
  char service[BGAP_RESOURCE_NAME_SIZE];
  uint32_t slices;
};

/**
 * struct bgap_config_change - an accepted change
 * @previous: version that it replaced
 * @text: description, as lines of bgap_resource_diff()
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
 * @encoded_size: upper bound of the owner's bytes in a snapshot
 * @slices: of all keyed services that the owner has or had, by name
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
  struct bgap_config_change changes[BGAP_CONFIG_CHANGES_MAX];
  uint32_t change_count;
};

/**
 * struct bgap_config_assembly - a snapshot of which some parts were read
 * @id: "" if the entry is free
 * @last_offset: offset of the newest part
 * @parts: number of parts of the snapshot
 * @next_part: index of the next part
 */
struct bgap_config_assembly
{
  char id[BGAP_RESOURCE_NAME_SIZE];
  int64_t as_of;
  int64_t last_offset;
  uint32_t parts;
  uint32_t next_part;
  struct bgap_buffer data;
};

/* config_owner.c */

/**
 * bgap_config_find_owner() - entry of an owner, NULL if there is none
 */
struct bgap_config_owner *
bgap_config_find_owner (const struct bgap_config *config, const char *owner);

/**
 * bgap_config_owner_free() - free the memory that an entry owns
 */
void bgap_config_owner_free (struct bgap_config_owner *owner);

/**
 * bgap_config_owners_free() - free an array of entries
 */
void bgap_config_owners_free (struct bgap_config_owner *owners,
                              uint32_t count);

/**
 * bgap_config_add_change() - append to the changes of an owner; the oldest one
 * is dropped if there are BGAP_CONFIG_CHANGES_MAX
 */
enum bgap_status
bgap_config_add_change (struct bgap_config_owner *owner,
                        const struct bgap_config_change *change);

/**
 * bgap_config_encoded_size() - upper bound of an owner's bytes in a snapshot
 */
size_t bgap_config_encoded_size (const char *documents, uint32_t services);

/* config_load.c */

/**
 * bgap_config_load() - parse one owner's documents into a set
 * @known: numbers of slices of the owner's present and former services
 *
 * Adds findings for resources of other owners, a missing owner resource and
 * changed numbers of slices. Where a service states no number of slices, the
 * known one is filled in.
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
 * @out: gets a new array, sorted by name
 *
 * Return: BGAP_OK, BGAP_ERR_FULL or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_config_merge_slices (
    const struct bgap_resource_set *set, const char *owner,
    const struct bgap_config_slices *known, uint32_t known_count,
    struct bgap_config_slices **out, uint32_t *out_count);

/* config_evaluate.c */

/**
 * struct bgap_config_update - state that an accepted change leads to
 */
struct bgap_config_update
{
  struct bgap_resource_set set;
  struct bgap_config_slices *slices;
  uint32_t slices_count;
  size_t encoded_size;
};

/**
 * bgap_config_evaluate() - evaluate a change without changing the state
 * @event: owner, operator, based_on and offset are set by the caller
 * @update: zeroed by the caller; filled if the result is BGAP_CONFIG_ACCEPTED
 */
enum bgap_status bgap_config_evaluate (const struct bgap_config *config,
                                       const char *documents,
                                       struct bgap_config_event *event,
                                       struct bgap_config_update *update);

/**
 * bgap_config_update_free() - free what bgap_config_commit() did not take
 */
void bgap_config_update_free (struct bgap_config_update *update);

/* config_commit.c */

/**
 * bgap_config_commit() - apply an accepted change to the state; takes the
 * memory of @update
 *
 * Return: BGAP_OK, or BGAP_ERR_NO_MEMORY with the state unchanged.
 */
enum bgap_status bgap_config_commit (struct bgap_config *config,
                                     const char *documents,
                                     const struct bgap_config_event *event,
                                     struct bgap_config_update *update);

/* config_assembly.c */

/**
 * bgap_config_apply_part() - apply the snapshot record at @offset
 */
enum bgap_status bgap_config_apply_part (struct bgap_config *config,
                                         int64_t offset, const json_t *record,
                                         enum bgap_config_result *result);

/**
 * bgap_config_reset_assemblies() - discard all parts
 */
void bgap_config_reset_assemblies (struct bgap_config *config);

/* config_cells.c */

/**
 * bgap_config_check_cells() - add a finding if a change alters the cells of a
 * keyed service
 *
 * The home cell of a slice is derived from the service's cells. If the cells
 * changed, an instance with the older configuration and one with the newer
 * could grant the slice in two cells at the same time.
 */
void bgap_config_check_cells (const struct bgap_config *config,
                              const struct bgap_config_update *update,
                              struct bgap_config_event *event);

#endif
