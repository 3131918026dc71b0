#ifndef BGAP_OWNERSHIP_REPLICA_PRIVATE_H
#define BGAP_OWNERSHIP_REPLICA_PRIVATE_H

/*
 * Internal state of a replica, shared by the code that applies records and the
 * code that saves and loads the state.
 */

#include "banyangap/ownership/replica.h"

/* Holder names are allocated in chunks of this many: an instance replays many
   cells, and most of them have few holders.  */
#define BGAP_HOLDERS_CHUNK 64

/**
 * struct bgap_replica_state - everything that a snapshot contains
 * @applied: offset of the last applied record
 * @witnesses: newest accepted witness set
 * @previous: the set that @witnesses replaced
 * @forced: offset of the newest forced set
 * @holders: @holder_count names, allocated in chunks so that their addresses
 *   stay valid; the names of unused indexes are empty
 */
struct bgap_replica_state
{
  uint64_t applied;
  struct bgap_witness_set witnesses;
  struct bgap_witness_set previous;
  uint64_t forced;
  char (*holders[BGAP_HOLDERS_MAX / BGAP_HOLDERS_CHUNK])[BGAP_NAME_SIZE];
  uint32_t holder_count;
  struct bgap_scope *scopes[BGAP_SCOPES_MAX];
  uint32_t scope_count;
};

struct bgap_replica
{
  struct bgap_replica_state state;
  bool stopped;
};

/**
 * bgap_replica_state_holder_name() - name buffer of holder @index, which must
 * be allocated
 */
char *bgap_replica_state_holder_name (const struct bgap_replica_state *state,
                                      uint32_t index);

/**
 * bgap_replica_state_alloc_holders() - allocate the names of the first @count
 * holders
 */
enum bgap_status
bgap_replica_state_alloc_holders (struct bgap_replica_state *state,
                                  uint32_t count);

void bgap_replica_state_shutdown (struct bgap_replica_state *state);

/**
 * bgap_replica_state_add_scope() - add an empty scope; NULL if out of memory
 */
struct bgap_scope *
bgap_replica_state_add_scope (struct bgap_replica_state *state,
                              const char *name);

/**
 * bgap_replica_state_reserve_holders() - reserve space for @count new holder
 * names
 *
 * If the table is full, names that no entry refers to are dropped.
 *
 * Return: BGAP_OK, BGAP_ERR_FULL or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status
bgap_replica_state_reserve_holders (struct bgap_replica_state *state,
                                    uint32_t count);

/**
 * bgap_replica_state_intern_holder() - index of a holder name, added if new
 *
 * Return: the index, or -1 if the table is full.
 */
int32_t bgap_replica_state_intern_holder (struct bgap_replica_state *state,
                                          const char *name);

/**
 * bgap_scope_key_position() - find the index of a key entry, or the index at
 * which to insert it
 * @found: set to whether the entry exists
 */
uint32_t bgap_scope_key_position (const struct bgap_scope *scope,
                                  const void *key, size_t size, uint64_t hash,
                                  bool *found);

/**
 * bgap_scope_key_insert() - insert a key entry at @position
 */
enum bgap_status bgap_scope_key_insert (struct bgap_scope *scope,
                                        uint32_t position, const void *key,
                                        size_t size, uint64_t hash,
                                        const struct bgap_holding *holding);

void bgap_scope_key_remove (struct bgap_scope *scope, uint32_t position);

/**
 * bgap_replica_apply_record() - apply a parsed record to the state
 *
 * Return: BGAP_OK, or BGAP_ERR_NO_MEMORY, after which the state is unusable.
 */
enum bgap_status bgap_replica_apply_record (struct bgap_replica_state *state,
                                            uint64_t offset,
                                            const struct bgap_record *record,
                                            enum bgap_record_verdict *verdict);

#endif
