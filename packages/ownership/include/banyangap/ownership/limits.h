#ifndef BANYANGAP_OWNERSHIP_LIMITS_H
#define BANYANGAP_OWNERSHIP_LIMITS_H

/*
 * Limits and periods that every instance of every cell must agree on.
 *
 * Limits that decide whether a record is accepted are constants, not options:
 * instances with different limits would accept different records. The lease is
 * a constant for the same reason: a proposer must wait out every lease that
 * any renewer may have given.
 */

/* Highest record schema this release understands.  */
#define BGAP_SCHEMA 1

/* Bytes of a name (cell, service, server, instance), terminating zero
   included.  */
#define BGAP_NAME_SIZE 64

/* Longest key, in bytes, that can become a separate entry.  */
#define BGAP_KEY_MAX 512

/* Largest record in bytes: a snapshot chunk of 48 KiB in
   hexadecimal, with room to spare.  */
#define BGAP_RECORD_MAX 131072

/* Items of one grant or revoke record.  */
#define BGAP_RECORD_ITEMS_MAX 4096

/* Members of one witness set.  */
#define BGAP_WITNESSES_MAX 7

/* Services of one cell.  */
#define BGAP_SCOPES_MAX 64

/* Slices of one service; always a power of two.  */
#define BGAP_SLICES_MAX 65536

/* Separate key entries of one service.  */
#define BGAP_KEYS_MAX 1024

/* Distinct holders (servers or instances) named in one cell's stream.  */
#define BGAP_HOLDERS_MAX 4096

/* Duration of a lease on the server's clock.  */
#define BGAP_LEASE_MS 800

/* One lease plus 1 % clock drift, rounded up: 800 ms on the slowest server's
   clock are at most 808 ms on the proposer's, and both clocks are read in
   whole milliseconds.  */
#define BGAP_WAIT_MS 810

#endif
