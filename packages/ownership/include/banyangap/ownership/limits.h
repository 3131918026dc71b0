#ifndef BANYANGAP_OWNERSHIP_LIMITS_H
#define BANYANGAP_OWNERSHIP_LIMITS_H

/*
 * Limits and durations that must be equal on every instance of every cell.
 *
 * Limits that decide whether a record is accepted are constants, not options,
 * because instances with different limits would accept different records. The
 * lease duration is a constant because a proposer must wait until every lease
 * that any renewer may have granted has expired.
 */

/* Highest record schema version that this release supports.  */
#define BGAP_RECORD_SCHEMA 1

/* Size of a name (cell, service, server, instance) in bytes, with its
   terminating zero.  */
#define BGAP_NAME_SIZE 64

/* Maximum size in bytes of a key that can be split from its slice.  */
#define BGAP_KEY_MAX 512

/* Maximum size of a record in bytes. The largest record is a snapshot part:
   48 KiB of state in hexadecimal (96 KiB) and its JSON members, with a margin.
 */
#define BGAP_RECORD_MAX 131072

/* Maximum number of items in a grant, revoke or release record.  */
#define BGAP_RECORD_ITEMS_MAX 4096

/* Maximum number of members of a witness set.  */
#define BGAP_WITNESSES_MAX 7

/* Maximum number of services (scopes) per cell.  */
#define BGAP_SCOPES_MAX 64

/* Maximum number of slices per service; the number is a power of two.  */
#define BGAP_SLICES_MAX 65536

/* Maximum number of key entries per service.  */
#define BGAP_KEYS_MAX 1024

/* Maximum number of distinct holders (servers or instances) that the entries
   of a cell refer to.  */
#define BGAP_HOLDERS_MAX 4096

/* Duration of a lease, measured on the server's clock.  */
#define BGAP_LEASE_MS 800

/* How long a proposer waits for a lease to expire: the lease duration plus 1 %
   clock drift, rounded up. 800 ms on the slowest server's clock are at most
   808 ms on the proposer's clock; both clocks are read in whole
   milliseconds.  */
#define BGAP_LEASE_WAIT_MS 810

#endif
