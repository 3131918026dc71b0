#ifndef BANYANGAP_OWNERSHIP_MESSAGE_H
#define BANYANGAP_OWNERSHIP_MESSAGE_H

/*
 * Messages between the engines of one cell, encoded as a MessagePack array:
 * [kind, schema, fields...].
 *
 *   struct bgap_message message;
 *   if (bgap_message_decode (bytes, size, &message, &err) == BGAP_OK)
 *     bgap_message_shutdown (&message);
 *
 * A message does not contain the sender's name; the transport provides it.
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"
#include "banyangap/ownership/entry.h"

/* Maximum size of a message in bytes.  */
#define BGAP_MESSAGE_MAX 1048576

/* Maximum number of records in a BGAP_MESSAGE_RECORDS.  */
#define BGAP_MESSAGE_RECORDS_MAX 64

/* Maximum number of servers in a BGAP_MESSAGE_SERVERS.  */
#define BGAP_MESSAGE_SERVERS_MAX 256

enum bgap_message_kind
{
  BGAP_MESSAGE_HEARTBEAT = 1,
  BGAP_MESSAGE_SERVERS,       /* a renewer's view of its servers */
  BGAP_MESSAGE_WITNESS_CHECK, /* query to a witness before renewals */
  BGAP_MESSAGE_WITNESS_REPLY, /* newest offsets that the witness has */
  BGAP_MESSAGE_APPLIED_QUERY, /* query of the applied offset */
  BGAP_MESSAGE_APPLIED_REPLY, /* the applied offset */
  BGAP_MESSAGE_FETCH,         /* request for records from an offset on */
  BGAP_MESSAGE_RECORDS,       /* records in offset order */
  BGAP_MESSAGE_SNAPSHOT,      /* a part of the sender's state */
  BGAP_MESSAGE_LOAD,          /* number of requests per entry */
  BGAP_MESSAGE_HELLO,         /* to an instance that is a holder */
  BGAP_MESSAGE_RENEW,         /* to an instance that is a holder */
  BGAP_MESSAGE_RENEW_REPLY,   /* from an instance that is a holder */
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
 * @incarnation: last one seen, 0 if the server never replied
 * @acked: newest basis that the server has acknowledged under @incarnation
 * @age_ms: time since its last reply, -1 if it never replied
 * @draining: the server drains
 * @in_flight: number of running requests
 * @slots: number of requests that the server can run at once
 * @queued: number of waiting requests
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
 * struct bgap_message_load - load of one entry
 * @key: the key, empty if the entry is a slice
 * @requests: number of requests since the last load message
 */
struct bgap_message_load
{
  uint32_t slice;
  struct bgap_bytes key;
  uint32_t requests;
};

/**
 * struct bgap_message - a message; the fields in use depend on @kind
 * @nonce: identifies a query; the reply contains the same value
 * @incarnation: of the sender (heartbeat and replies)
 * @applied: offset that the sender has applied, or first offset of a fetch
 * @caught_up: the sender counts as a witness
 * @stopped: the sender's replica has stopped, for example at a record with a
 *   newer schema
 * @leaving: the sender is shutting down
 * @log_down: the sender cannot reach the log
 * @witness_basis: offset of the newest accepted witness set
 * @in_force: newest witness set that the sender knows to be in force
 * @config: version of the sender's configuration (heartbeat)
 * @service: service that @loads belong to
 * @snapshot_id, @part, @parts: of a snapshot part, whose bytes are the only
 *   item of @records
 * @memory: private; allocated by bgap_message_decode()
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
 * bgap_message_decode() - decode a message
 *
 * The message points into @bytes, which must outlive it.
 *
 * Return: BGAP_OK, BGAP_ERR_PROTOCOL or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_message_decode (const void *bytes, size_t size,
                                      struct bgap_message *message,
                                      struct bgap_error *err);

/**
 * bgap_message_encode() - append a message in its encoded form
 *
 * Return: BGAP_OK, or BGAP_ERR_INVALID if it exceeds BGAP_MESSAGE_MAX.
 */
enum bgap_status bgap_message_encode (const struct bgap_message *message,
                                      struct bgap_buffer *out);

/**
 * bgap_message_shutdown() - free what bgap_message_decode() allocated
 */
void bgap_message_shutdown (struct bgap_message *message);

#endif
