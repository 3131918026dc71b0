#ifndef BANYANGAP_KEYRANGE_ASSIGNMENT_H
#define BANYANGAP_KEYRANGE_ASSIGNMENT_H

/*
 * Which server holds which keys of a service, as recorded in the store.
 *
 *   struct bgap_assignment assignment = { 0 };
 *   bgap_assignment_setup (&assignment);
 *   bgap_assignment_set (&assignment, 0, 4095, &(struct bgap_key_range){
 *     .server = "i-7f3a91c2", .fence = 12 });
 *   const struct bgap_key_range *range
 *     = bgap_assignment_find (&assignment, 4000);
 *   bgap_assignment_shutdown (&assignment);
 *
 * The ranges cover all keys in order, without gaps.
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"

/* Number of keys of a service; a key is a number below it.  */
#define BGAP_KEY_COUNT 65536u

/* Size of the name of a server or an instance, terminating zero included.  */
#define BGAP_KEYRANGE_NAME_SIZE 64

/* Most ranges of one assignment.  */
#define BGAP_KEY_RANGES_MAX 4096u

/**
 * struct bgap_key_range - keys with the same holder
 * @first, @last: both inclusive
 * @server: holder, "" if nobody holds the keys
 * @started_ms: start of the process that holds them, 0 if it is not known
 * @token: number that rises with each change of the holder
 * @moving: the keys are being taken from @server; requests wait
 */
struct bgap_key_range
{
  uint32_t first;
  uint32_t last;
  char server[BGAP_KEYRANGE_NAME_SIZE];
  int64_t started_ms;
  uint64_t token;
  bool moving;
};

/**
 * struct bgap_assignment - the assignment of a service
 * @granter: instance that may grant the keys, "" if there is none
 * @incarnation: number that the granter drew at its start
 * @released: the granter has stopped and sends no more grants
 * @former_leases_ms: if @released, how long after this record grants of
 * earlier granters can still hold keys, 0 for not at all
 * @token: highest fence number in use
 */
struct bgap_assignment
{
  char granter[BGAP_KEYRANGE_NAME_SIZE];
  uint64_t incarnation;
  bool released;
  int64_t former_leases_ms;
  uint64_t token;
  struct bgap_key_range *ranges;
  uint32_t count;
  uint32_t capacity;
};

/**
 * bgap_assignment_setup() - one range that nobody holds
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_assignment_setup (struct bgap_assignment *assignment);

/**
 * bgap_assignment_shutdown() - free the memory; allowed on a zeroed one
 */
void bgap_assignment_shutdown (struct bgap_assignment *assignment);

/**
 * bgap_assignment_copy() - make @to equal to @from
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY, which leaves @to unchanged.
 */
enum bgap_status bgap_assignment_copy (struct bgap_assignment *to,
                                       const struct bgap_assignment *from);

/**
 * bgap_assignment_find() - range of a key, NULL without an assignment
 */
const struct bgap_key_range *
bgap_assignment_find (const struct bgap_assignment *assignment, uint32_t key);

/**
 * bgap_assignment_set() - replace what is recorded for some keys
 * @first, @last: both inclusive
 * @value: all but its keys is used
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID, BGAP_ERR_FULL or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_assignment_set (struct bgap_assignment *assignment,
                                      uint32_t first, uint32_t last,
                                      const struct bgap_key_range *value);

/**
 * bgap_assignment_encode() - append it as JSON text
 */
enum bgap_status
bgap_assignment_encode (const struct bgap_assignment *assignment,
                        struct bgap_buffer *out);

/**
 * bgap_assignment_decode() - read JSON text
 * @assignment: is replaced on success
 *
 * Return: BGAP_OK, BGAP_ERR_PROTOCOL with the reason in @err, or
 * BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_assignment_decode (struct bgap_assignment *assignment,
                                         const void *bytes, size_t size,
                                         struct bgap_error *err);

#endif
