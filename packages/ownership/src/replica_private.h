#ifndef BGAP_OWNERSHIP_REPLICA_PRIVATE_H
#define BGAP_OWNERSHIP_REPLICA_PRIVATE_H

/*
 * State of a replica, shared by replay, saving and loading.
 */

#include "banyangap/ownership/replica.h"

/* Names allocated at a time: a node replays many cells, most of which have few
   holders.  */
#define BGAP_HOLDERS_CHUNK 64

/**
 * struct bgap_replica_state - everything that a snapshot contains
 * @applied: offset of the last applied record
 * @witnesses: newest accepted set
 * @previous: the set it replaced
 * @forced: offset of the newest forced set
 * @holders: @holder_count names in chunks, so that their addresses last;
 *   unused places are empty
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
 * bgap_replica_state_name() - place of holder @index, which must exist
 */
char *bgap_replica_state_name (const struct bgap_replica_state *state,
                               uint32_t index);

/**
 * bgap_replica_state_grow() - make places for @count holders
 */
enum bgap_status bgap_replica_state_grow (struct bgap_replica_state *state,
                                          uint32_t count);

void bgap_replica_state_shutdown (struct bgap_replica_state *state);

/**
 * bgap_replica_state_add_scope() - new empty scope, NULL without memory
 */
struct bgap_scope *
bgap_replica_state_add_scope (struct bgap_replica_state *state,
                              const char *name);

/**
 * bgap_replica_state_reserve() - make room for @count new holder names
 *
 * Names that no entry refers to are dropped when the table is full.
 *
 * Return: BGAP_OK, BGAP_ERR_FULL or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_replica_state_reserve (struct bgap_replica_state *state,
                                             uint32_t count);

/**
 * bgap_replica_state_holder() - index of a name, which is added if it is new
 *
 * Return: the index, or -1 if the table is full.
 */
int32_t bgap_replica_state_holder (struct bgap_replica_state *state,
                                   const char *name);

/**
 * bgap_scope_key_position() - index of a key, or where to insert it
 * @found: whether it exists
 */
uint32_t bgap_scope_key_position (const struct bgap_scope *scope,
                                  const void *key, size_t size, uint64_t hash,
                                  bool *found);

/**
 * bgap_scope_key_insert() - add a key entry at @position
 */
enum bgap_status bgap_scope_key_insert (struct bgap_scope *scope,
                                        uint32_t position, const void *key,
                                        size_t size, uint64_t hash,
                                        const struct bgap_holding *holding);

void bgap_scope_key_remove (struct bgap_scope *scope, uint32_t position);

/**
 * bgap_replica_rule() - apply a parsed record to the state by its rule
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY, after which the state is unusable.
 */
enum bgap_status bgap_replica_rule (struct bgap_replica_state *state,
                                    uint64_t offset,
                                    const struct bgap_record *record,
                                    enum bgap_verdict *verdict);

#endif
