#ifndef BANYANGAP_OWNERSHIP_MESSAGE_H
#define BANYANGAP_OWNERSHIP_MESSAGE_H

/*
 * Messages between the engines of one cell, in MessagePack:
 * [kind, schema, fields...].
 *
 *   struct bgap_message message;
 *   if (bgap_message_parse (bytes, size, &message, &err) == BGAP_OK)
 *     bgap_message_shutdown (&message);
 *
 * The sender's name comes from the transport.
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"
#include "banyangap/ownership/entry.h"

/* Largest message in bytes.  */
#define BGAP_MESSAGE_MAX 1048576

/* Records in one BGAP_MESSAGE_RECORDS.  */
#define BGAP_MESSAGE_RECORDS_MAX 64

/* Servers in one BGAP_MESSAGE_SERVERS.  */
#define BGAP_MESSAGE_SERVERS_MAX 256

enum bgap_message_kind
{
  BGAP_MESSAGE_HEARTBEAT = 1,
  BGAP_MESSAGE_SERVERS,        /* what a renewer knows of its servers */
  BGAP_MESSAGE_CHECK,          /* witness check before renewals */
  BGAP_MESSAGE_CHECK_REPLY,    /* newest offsets the witness has seen */
  BGAP_MESSAGE_REPLAYED,       /* query of the applied offset */
  BGAP_MESSAGE_REPLAYED_REPLY, /* the applied offset */
  BGAP_MESSAGE_FETCH,          /* request for records from an offset */
  BGAP_MESSAGE_RECORDS,        /* records in offset order */
  BGAP_MESSAGE_SNAPSHOT,       /* a chunk of the sender's state */
  BGAP_MESSAGE_LOAD,           /* requests counted per entry */
  BGAP_MESSAGE_HELLO,          /* to an instance that holds leases */
  BGAP_MESSAGE_RENEW,          /* to an instance that holds leases */
  BGAP_MESSAGE_RENEW_REPLY,    /* from an instance that holds leases */
  BGAP_MESSAGE_KIND_COUNT
};

/**
 * struct bgap_message_scope - a scope and its newest accepted offset
 */
struct bgap_message_scope
{
  char name[BGAP_NAME_SIZE];
  uint64_t basis;
};

/**
 * struct bgap_message_server - a renewer's view of one server
 * @incarnation: last one seen, 0 if the server never answered
 * @acked: newest basis the server has adopted under @incarnation
 * @age_ms: since its last answer, -1 if it never answered
 */
struct bgap_message_server
{
  char name[BGAP_NAME_SIZE];
  uint64_t incarnation;
  uint64_t acked;
  int64_t age_ms;
  bool draining;
  uint32_t in_flight;
  uint32_t slots;
  uint32_t queued;
};

/**
 * struct bgap_message_load - requests of one entry; @key is empty for a slice
 */
struct bgap_message_load
{
  uint32_t slice;
  struct bgap_bytes key;
  uint32_t requests;
};

/**
 * struct bgap_message - a message; which fields are used depends on @kind
 * @nonce: identifies a query; its reply repeats it
 * @incarnation: of the sender (heartbeat and replies)
 * @applied: offset the sender has applied, or start of a fetch
 * @caught_up: the sender counts as a witness
 * @stopped: the sender met a record of a higher schema
 * @leaving: the sender is shutting down
 * @log_down: the sender cannot reach the log
 * @witness_basis: offset of the newest accepted witness set
 * @in_force: newest witness set that the sender knows to be in force
 * @config: version of the sender's configuration (heartbeat)
 * @service: of the loads
 * @snapshot_id, @part, @parts: of a snapshot chunk, which is the only item of
 *   @records
 */
struct bgap_message
{
  enum bgap_message_kind kind;
  uint64_t nonce;
  uint64_t incarnation;
  uint64_t applied;
  uint64_t witness_basis;
  uint64_t in_force;
  uint64_t config;
  bool caught_up;
  bool stopped;
  bool leaving;
  bool log_down;
  char service[BGAP_NAME_SIZE];
  uint64_t snapshot_id;
  uint32_t part;
  uint32_t parts;
  struct bgap_message_scope *scopes;
  uint32_t scope_count;
  struct bgap_message_server *servers;
  uint32_t server_count;
  struct bgap_message_load *loads;
  uint32_t load_count;
  struct bgap_bytes *records;
  uint32_t record_count;
  void *memory;
};

/**
 * bgap_message_parse() - read a message; it points into @bytes, which must
 * outlive it
 *
 * Return: BGAP_OK, BGAP_ERR_PROTOCOL or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_message_parse (const void *bytes, size_t size,
                                     struct bgap_message *message,
                                     struct bgap_error *err);

/**
 * bgap_message_print() - append a message
 */
enum bgap_status bgap_message_print (const struct bgap_message *message,
                                     struct bgap_buffer *out);

/**
 * bgap_message_shutdown() - free what bgap_message_parse() allocated
 */
void bgap_message_shutdown (struct bgap_message *message);

#endif
