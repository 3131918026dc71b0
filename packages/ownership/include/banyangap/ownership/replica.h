#ifndef BANYANGAP_OWNERSHIP_REPLICA_H
#define BANYANGAP_OWNERSHIP_REPLICA_H

/*
 * Replicated state machine of one cell's ownership stream. All replicas that
 * have applied the same offset are in the same state.
 *
 *   struct bgap_replica *replica;
 *   bgap_replica_setup (&replica, &(struct bgap_replica_desc){ 0 });
 *   enum bgap_record_verdict verdict;
 *   bgap_replica_apply (replica, 1, text, size, &verdict, &err);
 *   const struct bgap_scope *scope = bgap_replica_scope (replica, "listing");
 *   const struct bgap_holding *holding
 *       = bgap_scope_find (scope, key, key_size);
 *   bgap_replica_shutdown (replica);
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"
#include "banyangap/ownership/entry.h"
#include "banyangap/ownership/record.h"

/**
 * enum bgap_record_verdict - effect of a record
 */
enum bgap_record_verdict
{
  BGAP_ACCEPTED,
  BGAP_REJECTED,  /* stale base, or a precondition is not met: no effect */
  BGAP_MALFORMED, /* cannot be parsed: no effect */
  BGAP_IGNORED    /* snapshot or unknown type: no effect on the state */
};

/**
 * struct bgap_witness_set - a witness set
 * @offset: offset of its record, 0 if there is no set yet
 * @count: number of @members
 * @forced: the record was forced
 */
struct bgap_witness_set
{
  uint64_t offset;
  uint32_t count;
  bool forced;
  char members[BGAP_WITNESSES_MAX][BGAP_NAME_SIZE];
};

/**
 * struct bgap_key_entry - a key that was split from its slice
 * @hash: XXH3 of the key
 * @slice: slice that the key belongs to by its hash
 * @size: size of @bytes
 * @bytes: the key
 */
struct bgap_key_entry
{
  struct bgap_holding holding;
  uint64_t hash;
  uint32_t slice;
  uint16_t size;
  unsigned char *bytes;
};

/**
 * struct bgap_scope - state of one service in the cell; read-only
 * @basis: newest accepted offset of the scope
 * @config: newest configuration version of an accepted record; records of an
 *   older version are rejected
 * @slice_count: number of slices, fixed by the first accepted grant or
 * release; 0 before
 * @slices: ownership state of each slice
 * @keys: @key_count key entries, sorted by hash, then size, then bytes
 */
struct bgap_scope
{
  char name[BGAP_NAME_SIZE];
  uint64_t basis;
  uint64_t config;
  uint32_t slice_count;
  struct bgap_holding *slices;
  struct bgap_key_entry *keys;
  uint32_t key_count;
  uint32_t key_capacity;
};

/**
 * struct bgap_replica_desc - options; currently none
 */
struct bgap_replica_desc
{
  uint32_t reserved;
};

struct bgap_replica;

/**
 * bgap_replica_setup() - create an empty replica at offset 0
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_replica_setup (struct bgap_replica **replica,
                                     const struct bgap_replica_desc *desc);

/**
 * bgap_replica_shutdown() - free the replica; NULL is allowed
 */
void bgap_replica_shutdown (struct bgap_replica *replica);

/**
 * bgap_replica_apply() - apply the record at @offset
 * @verdict: effect of the record; set on BGAP_OK
 *
 * Return: BGAP_OK; BGAP_ERR_STALE if @offset has already been applied;
 * BGAP_ERR_INVALID if @offset is not the next one; BGAP_ERR_UNAVAILABLE if the
 * replica has stopped because a record has a newer schema or memory ran out.
 * A stopped replica applies no further records.
 */
enum bgap_status bgap_replica_apply (struct bgap_replica *replica,
                                     uint64_t offset, const void *bytes,
                                     size_t size,
                                     enum bgap_record_verdict *verdict,
                                     struct bgap_error *err);

/**
 * bgap_replica_applied() - offset of the last applied record
 */
uint64_t bgap_replica_applied (const struct bgap_replica *replica);

/**
 * bgap_replica_stopped() - whether the replica has stopped at a record that it
 * cannot apply
 */
bool bgap_replica_stopped (const struct bgap_replica *replica);

/**
 * bgap_replica_scope() - state of a service, or NULL
 */
const struct bgap_scope *
bgap_replica_scope (const struct bgap_replica *replica, const char *service);

/**
 * bgap_replica_scope_at() - scope with index @index, or NULL past the end
 */
const struct bgap_scope *
bgap_replica_scope_at (const struct bgap_replica *replica, uint32_t index);

/**
 * bgap_replica_holder_name() - name of a holder; valid as long as the replica
 */
const char *bgap_replica_holder_name (const struct bgap_replica *replica,
                                      uint16_t holder);

/**
 * bgap_replica_holder_find() - find the index of a holder by name
 *
 * Return: the index, or -1 if the replica does not know the name.
 */
int32_t bgap_replica_holder_find (const struct bgap_replica *replica,
                                  const char *name);

/**
 * bgap_replica_witnesses() - newest accepted witness set
 */
const struct bgap_witness_set *
bgap_replica_witnesses (const struct bgap_replica *replica);

/**
 * bgap_replica_witnesses_previous() - witness set that the newest one replaced
 *
 * Its offset is 0 if there is none, or if the newest set was forced. One
 * previous set is enough: a proposer changes the set only after it has seen
 * the last change in force.
 */
const struct bgap_witness_set *
bgap_replica_witnesses_previous (const struct bgap_replica *replica);

/**
 * bgap_replica_forced() - offset of the newest forced witness set, or 0
 */
uint64_t bgap_replica_forced (const struct bgap_replica *replica);

/**
 * bgap_scope_find() - look up the ownership state of a key
 *
 * Return: that of the key's own entry if the key was split, else that of its
 * slice; NULL if the scope has no slices.
 */
const struct bgap_holding *bgap_scope_find (const struct bgap_scope *scope,
                                            const void *key, size_t size);

/**
 * bgap_scope_find_key() - look up a key entry; NULL if the key was not split
 */
const struct bgap_key_entry *
bgap_scope_find_key (const struct bgap_scope *scope, const void *key,
                     size_t size);

/**
 * bgap_replica_save() - append the serialised state
 *
 * The encoding is deterministic: equal states give equal bytes.
 */
enum bgap_status bgap_replica_save (const struct bgap_replica *replica,
                                    struct bgap_buffer *out);

/**
 * bgap_replica_load() - replace the state by a serialised one
 *
 * Return: BGAP_OK; BGAP_ERR_STALE if the saved state is older than the current
 * one, BGAP_ERR_PROTOCOL if it is malformed, BGAP_ERR_NO_MEMORY. On an error
 * the replica is unchanged.
 */
enum bgap_status bgap_replica_load (struct bgap_replica *replica,
                                    const void *bytes, size_t size,
                                    struct bgap_error *err);

#endif
