#ifndef BANYANGAP_KEYRANGE_ASSIGNMENT_H
#define BANYANGAP_KEYRANGE_ASSIGNMENT_H

/*
 * Assignment of the keys of a service to backend servers, as recorded in the
 * store.
 *
 *   struct bgap_assignment assignment = { 0 };
 *   bgap_assignment_setup (&assignment);
 *   bgap_assignment_set (&assignment, 0, 4095, &(struct bgap_key_range){
 *     .server = "i-7f3a91c2", .token = 12 });
 *   const struct bgap_key_range *range
 *     = bgap_assignment_find (&assignment, 4000);
 *   bgap_assignment_shutdown (&assignment);
 *
 * The ranges are sorted and cover all keys without gaps.
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"

/* Number of keys of a service; keys are numbered from 0.  */
#define BGAP_KEY_COUNT 65536u

/* Size of the name of a server or an instance, terminating zero included.  */
#define BGAP_KEYRANGE_NAME_SIZE 64

/* Maximum number of ranges in an assignment.  */
#define BGAP_KEY_RANGES_MAX 4096u

/**
 * struct bgap_key_range - consecutive keys with the same holder
 * @first, @last: inclusive
 * @server: holder, "" if the keys are unassigned
 * @started_ms: start time of the holder's process, 0 if unknown
 * @token: fencing token, which rises with each change of the holder
 * @moving: @server is being asked to release the keys; requests wait
 * @unconfirmed: another server than @server may have a lease on the keys, see
 *   unconfirmed_ms of the assignment
 */
struct bgap_key_range
{
  uint32_t first;
  uint32_t last;
  char server[BGAP_KEYRANGE_NAME_SIZE];
  int64_t started_ms;
  uint64_t token;
  bool moving;
  bool unconfirmed;
};

/**
 * struct bgap_assignment - assignment of all keys of a service
 * @granter: instance that may grant the keys, "" if there is none
 * @incarnation: of the granter
 * @released: the granter has stepped down and sends no more grants
 * @former_leases_ms: if @released, how long after this record leases of
 *   earlier granters can still be valid, 0 if none are
 * @lease_ms: longest lease that is in force, or can be granted before the next
 *   record; 0 if its author did not say
 * @unconfirmed_ms: how long after this record other servers can have leases on
 *   the ranges that are unconfirmed
 * @token: highest fencing token in use
 * @timeline: timeline of the store for which the record was made, 0 if its
 *   author did not say; in a later timeline it names nobody who may grant
 */
struct bgap_assignment
{
  uint64_t timeline;
  char granter[BGAP_KEYRANGE_NAME_SIZE];
  uint64_t incarnation;
  bool released;
  int64_t former_leases_ms;
  int64_t lease_ms;
  int64_t unconfirmed_ms;
  uint64_t token;
  struct bgap_key_range *ranges;
  uint32_t count;
  uint32_t capacity;
};

/**
 * bgap_assignment_setup() - create an assignment whose only range is
 * unassigned
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_assignment_setup (struct bgap_assignment *assignment);

/**
 * bgap_assignment_shutdown() - free the memory; a zeroed assignment is allowed
 */
void bgap_assignment_shutdown (struct bgap_assignment *assignment);

/**
 * bgap_assignment_copy() - replace @to by a copy of @from
 *
 * Return: BGAP_OK, or BGAP_ERR_NO_MEMORY, which leaves @to unchanged.
 */
enum bgap_status bgap_assignment_copy (struct bgap_assignment *to,
                                       const struct bgap_assignment *from);

/**
 * bgap_assignment_find() - range that contains a key
 *
 * Return: NULL if the assignment is zeroed or the key is out of bounds.
 */
const struct bgap_key_range *
bgap_assignment_find (const struct bgap_assignment *assignment, uint32_t key);

/**
 * bgap_assignment_set() - replace the value of a run of keys
 * @first, @last: inclusive
 * @value: its own @first and @last are ignored
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID, BGAP_ERR_FULL or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_assignment_set (struct bgap_assignment *assignment,
                                      uint32_t first, uint32_t last,
                                      const struct bgap_key_range *value);

/**
 * bgap_assignment_encode() - append the assignment as JSON
 */
enum bgap_status
bgap_assignment_encode (const struct bgap_assignment *assignment,
                        struct bgap_buffer *out);

/**
 * bgap_assignment_decode() - parse an assignment from JSON
 * @assignment: replaced on success
 *
 * Return: BGAP_OK, BGAP_ERR_PROTOCOL with the reason in @err, or
 * BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_assignment_decode (struct bgap_assignment *assignment,
                                         const void *bytes, size_t size,
                                         struct bgap_error *err);

#endif
