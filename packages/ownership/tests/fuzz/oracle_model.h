#ifndef BANYANGAP_OWNERSHIP_ORACLE_MODEL_H
#define BANYANGAP_OWNERSHIP_ORACLE_MODEL_H

/*
 * Second implementation of the rules by which ownership records take effect
 * (docs/design.md). It shares no code with the package, so that a fault in one
 * of the two shows as a difference.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BGAP_MODEL_NAME_SIZE 64
#define BGAP_MODEL_KEYS 32
#define BGAP_MODEL_SCOPES 2
#define BGAP_MODEL_SLICES 4096
#define BGAP_MODEL_MEMBERS 7

/* Size of a buffer for a key in hexadecimal digits and a terminating zero.  */
#define BGAP_MODEL_KEY_HEX_SIZE 64

/**
 * struct bgap_model_entry - who holds a slice or key
 * @token: offset of the grant, 0 if it has no holder
 * @revoked: offset of the revoke, 0 if it has a holder or never had one
 * @incarnation: of @holder
 * @holder: current or last holder
 */
struct bgap_model_entry
{
  uint64_t token;
  uint64_t revoked;
  uint64_t incarnation;
  char holder[BGAP_MODEL_NAME_SIZE];
};

struct bgap_model_key
{
  char hex[BGAP_MODEL_KEY_HEX_SIZE];
  struct bgap_model_entry entry;
};

struct bgap_model_scope
{
  char name[BGAP_MODEL_NAME_SIZE];
  uint64_t basis;
  uint32_t slice_count;
  struct bgap_model_entry *slices;
  struct bgap_model_key keys[BGAP_MODEL_KEYS];
  uint32_t key_count;
};

/**
 * struct bgap_model - state after the newest record
 * @witnesses: offset of the witness set, 0 if there is none
 * @members: names of the witnesses
 * @fingerprints: fingerprint of the state after each offset
 * @count: number of records applied, which is the newest offset
 */
struct bgap_model
{
  struct bgap_model_scope scopes[BGAP_MODEL_SCOPES];
  uint64_t witnesses;
  char members[BGAP_MODEL_MEMBERS][BGAP_MODEL_NAME_SIZE];
  uint32_t member_count;
  uint64_t *fingerprints;
  uint64_t count;
  uint64_t capacity;
};

void bgap_model_shutdown (struct bgap_model *m);

/**
 * bgap_model_apply() - apply the next record
 * @summary: set to a short description of the record
 *
 * Return: whether it had an effect.
 */
bool bgap_model_apply (struct bgap_model *m, const char *bytes, size_t size,
                       char *summary, size_t summary_size);

/**
 * bgap_model_find() - entry that a key belongs to, or NULL
 */
const struct bgap_model_entry *bgap_model_find (const struct bgap_model *m,
                                                const char *service,
                                                const char *hex,
                                                uint32_t slice);

/**
 * bgap_model_fingerprint() - fingerprint of the newest state
 */
uint64_t bgap_model_fingerprint (const struct bgap_model *m);

struct bgap_replica;

/**
 * bgap_model_fingerprint_replica() - fingerprint of a replica's state; a
 * model in the same state has the same fingerprint
 */
uint64_t bgap_model_fingerprint_replica (const struct bgap_replica *replica);

/**
 * bgap_model_slice_of_hex() - slice of a key given in hexadecimal digits
 */
uint32_t bgap_model_slice_of_hex (const char *hex, uint32_t slice_count);

#endif
