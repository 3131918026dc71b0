#ifndef BANYANGAP_OWNERSHIP_REPLICA_H
#define BANYANGAP_OWNERSHIP_REPLICA_H

/*
 * Replay of one cell's ownership stream. All replicas that have applied the
 * same offset are in the same state.
 *
 *   struct bgap_replica *replica;
 *   bgap_replica_setup (&replica, &(struct bgap_replica_desc){ 0 });
 *   enum bgap_verdict verdict;
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
 * enum bgap_verdict - what a record did
 */
enum bgap_verdict
{
  BGAP_ACCEPTED,
  BGAP_REJECTED,  /* stale base, or its rule is not met: no effect */
  BGAP_MALFORMED, /* not a record: no effect */
  BGAP_NEUTRAL    /* snapshot or unknown type: no effect on state */
};

/**
 * struct bgap_witness_set - members of a witness set
 * @offset: of the record, 0 if there is no set yet
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
 * struct bgap_key_entry - a key that is an entry of its own
 * @hash: XXH3 of the key
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
 * struct bgap_scope - state of one service in the cell; read only
 * @basis: newest accepted offset of the scope
 * @config: newest configuration version of an accepted record; records of
 *   older ones have no effect
 * @slice_count: fixed by the first accepted grant; 0 before
 * @slices: @slice_count holdings
 * @keys: @key_count entries, ordered by hash, then bytes
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
 * struct bgap_replica_desc - options; none so far
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
 * @verdict: what the record did; set on BGAP_OK
 *
 * Return: BGAP_OK; BGAP_ERR_STALE if @offset was applied already;
 * BGAP_ERR_INVALID if records between are missing; BGAP_ERR_UNAVAILABLE if the
 * replica has stopped, because the record has a higher schema or memory ran
 * out. A stopped replica applies nothing more.
 */
enum bgap_status bgap_replica_apply (struct bgap_replica *replica,
                                     uint64_t offset, const void *bytes,
                                     size_t size, enum bgap_verdict *verdict,
                                     struct bgap_error *err);

/**
 * bgap_replica_applied() - offset of the last applied record
 */
uint64_t bgap_replica_applied (const struct bgap_replica *replica);

/**
 * bgap_replica_stopped() - whether the replica met a record it cannot apply
 */
bool bgap_replica_stopped (const struct bgap_replica *replica);

/**
 * bgap_replica_scope() - state of a service, or NULL
 */
const struct bgap_scope *
bgap_replica_scope (const struct bgap_replica *replica, const char *service);

/**
 * bgap_replica_scope_at() - scope number @index, or NULL past the end
 */
const struct bgap_scope *
bgap_replica_scope_at (const struct bgap_replica *replica, uint32_t index);

/**
 * bgap_replica_holder_name() - name of a holder, valid as long as the replica
 */
const char *bgap_replica_holder_name (const struct bgap_replica *replica,
                                      uint16_t holder);

/**
 * bgap_replica_holder_find() - index of a holder's name
 *
 * Return: the index, or -1 if no record has named it.
 */
int32_t bgap_replica_holder_find (const struct bgap_replica *replica,
                                  const char *name);

/**
 * bgap_replica_witnesses() - newest accepted witness set
 */
const struct bgap_witness_set *
bgap_replica_witnesses (const struct bgap_replica *replica);

/**
 * bgap_replica_witnesses_previous() - the set it replaced; @offset 0 if none,
 * or if the newest set was forced
 *
 * One previous set is enough: a proposer changes the set only after it has
 * seen the last change in force.
 */
const struct bgap_witness_set *
bgap_replica_witnesses_previous (const struct bgap_replica *replica);

/**
 * bgap_replica_forced() - offset of the newest forced witness set, or 0
 */
uint64_t bgap_replica_forced (const struct bgap_replica *replica);

/**
 * bgap_scope_find() - holding that decides about a key
 *
 * Return: the key's own entry, else its slice; NULL if the scope has none.
 */
const struct bgap_holding *bgap_scope_find (const struct bgap_scope *scope,
                                            const void *key, size_t size);

/**
 * bgap_scope_find_key() - entry of a key, or NULL if it has none of its own
 */
const struct bgap_key_entry *
bgap_scope_find_key (const struct bgap_scope *scope, const void *key,
                     size_t size);

/**
 * bgap_replica_save() - append the whole state in its binary form
 *
 * Equal states give equal bytes.
 */
enum bgap_status bgap_replica_save (const struct bgap_replica *replica,
                                    struct bgap_buffer *out);

/**
 * bgap_replica_load() - replace the state by a saved one
 *
 * Return: BGAP_OK; BGAP_ERR_STALE if the saved state is older than the current
 * one, BGAP_ERR_PROTOCOL if it is malformed, BGAP_ERR_NO_MEMORY. On an error
 * the replica is unchanged.
 */
enum bgap_status bgap_replica_load (struct bgap_replica *replica,
                                    const void *bytes, size_t size,
                                    struct bgap_error *err);

#endif
