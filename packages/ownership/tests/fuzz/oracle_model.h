#ifndef BANYANGAP_OWNERSHIP_ORACLE_MODEL_H
#define BANYANGAP_OWNERSHIP_ORACLE_MODEL_H

/*
 * The page's rules for ownership records, written a second time.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BGAP_MODEL_NAME 64
#define BGAP_MODEL_KEYS 32
#define BGAP_MODEL_SCOPES 2
#define BGAP_MODEL_SLICES 4096
#define BGAP_MODEL_MEMBERS 7

/* Longest key in hexadecimal digits, with a terminating zero.  */
#define BGAP_MODEL_KEY_HEX 64

/**
 * struct bgap_model_entry - a slice or key
 * @token: 0 if nobody holds it
 * @revoked: offset of the revoke, 0 if it was never held or is held
 * @holder: present or last holder
 */
struct bgap_model_entry
{
  uint64_t token;
  uint64_t revoked;
  uint64_t incarnation;
  char holder[BGAP_MODEL_NAME];
};

struct bgap_model_key
{
  char hex[BGAP_MODEL_KEY_HEX];
  struct bgap_model_entry entry;
};

struct bgap_model_scope
{
  char name[BGAP_MODEL_NAME];
  uint64_t basis;
  uint32_t slice_count;
  struct bgap_model_entry *slices;
  struct bgap_model_key keys[BGAP_MODEL_KEYS];
  uint32_t key_count;
};

/**
 * struct bgap_model - state after the newest record
 * @fingerprints: of the state after each offset
 */
struct bgap_model
{
  struct bgap_model_scope scopes[BGAP_MODEL_SCOPES];
  uint64_t witnesses;
  char members[BGAP_MODEL_MEMBERS][BGAP_MODEL_NAME];
  uint32_t member_count;
  uint64_t *fingerprints;
  uint64_t count;
  uint64_t capacity;
};

void bgap_model_shutdown (struct bgap_model *m);

/**
 * bgap_model_apply() - apply the next record
 * @summary: gets a short description of the record
 *
 * Return: whether it had an effect.
 */
bool bgap_model_apply (struct bgap_model *m, const char *bytes, size_t size,
                       char *summary, size_t summary_size);

/**
 * bgap_model_find() - entry that decides about a key, or NULL
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
 * bgap_model_fingerprint_replica() - fingerprint of a replica's state, equal
 * to that of an equal model
 */
uint64_t bgap_model_fingerprint_replica (const struct bgap_replica *replica);

/**
 * bgap_model_slice_of_hex() - slice of a key
 */
uint32_t bgap_model_slice_of_hex (const char *hex, uint32_t slice_count);

#endif
