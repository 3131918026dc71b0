#ifndef BANYANGAP_OWNERSHIP_ENGINE_TYPES_H
#define BANYANGAP_OWNERSHIP_ENGINE_TYPES_H

/*
 * What an engine takes and yields; see engine.h.
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/ownership/entry.h"
#include "banyangap/ownership/placement_ops.h"
#include "banyangap/ownership/replica.h"

/* Members, servers and services of one cell.  */
#define BGAP_ENGINE_MEMBERS_MAX 64
#define BGAP_ENGINE_SERVERS_MAX 256
#define BGAP_ENGINE_SERVICES_MAX BGAP_SCOPES_MAX

/**
 * enum bgap_witness_policy - where witnesses come from
 */
enum bgap_witness_policy
{
  BGAP_WITNESSES_ZONE,  /* members of the cell's one zone */
  BGAP_WITNESSES_REGION /* spread over the zones of the cell */
};

/**
 * struct bgap_engine_desc - options; names are copied
 * @cell: name of the cell, required
 * @self: name of this instance, required
 * @zone: zone of this instance, required
 * @incarnation: random, drawn at process start, required
 * @now_ms: time of the setup
 * @policy: where witnesses come from
 * @witnesses: size of the witness set, 3, 5 or 7; 0 means 5, or the largest
 *   odd number of members if that is less
 * @placement: NULL means bgap_placement_even()
 * @deadline_max_ms: longest deadline of requests to servers that do not check
 *   grants; 0 means 30000. It must be equal on all instances.
 * @member_gone_ms: a witness that was silent this long is replaced; 0 means
 *   10000
 * @form_ms: time after setup before an instance proposes the first witness
 *   set, so that the members have seen each other; 0 means 1000
 * @snapshot_records: accepted or rejected records between two snapshots; 0
 *   means 10000
 * @snapshot_ms: time between two snapshots, a quarter of the retention; 0
 *   means 15 minutes
 * @actions: length of the action queue; 0 means 4096
 * @action_bytes: bytes held by the action queue; 0 means 4 MiB
 * @recent_bytes: bytes of recent records kept for peers; 0 means 1 MiB
 */
struct bgap_engine_desc
{
  const char *cell;
  const char *self;
  const char *zone;
  uint64_t incarnation;
  int64_t now_ms;
  enum bgap_witness_policy policy;
  uint32_t witnesses;
  const struct bgap_placement_ops *placement;
  uint32_t deadline_max_ms;
  uint32_t member_gone_ms;
  uint32_t form_ms;
  uint32_t snapshot_records;
  uint32_t snapshot_ms;
  uint32_t actions;
  uint32_t action_bytes;
  uint32_t recent_bytes;
};

/**
 * struct bgap_engine_member - an instance of the cell, from the host list
 * @leaving: the host list says that it is leaving
 */
struct bgap_engine_member
{
  const char *name;
  const char *zone;
  bool leaving;
};

/**
 * struct bgap_engine_server - a backend server of the cell
 * @slots: from the configuration
 * @trusting: it does not check grants; an instance holds its lease
 * @leaving: it drains, according to the host list or the configuration
 */
struct bgap_engine_server
{
  const char *name;
  const char *zone;
  const char *service;
  uint32_t slots;
  bool trusting;
  bool leaving;
};

/**
 * struct bgap_engine_service - a keyed service of the cell
 * @slices: number of slices, a power of two; the first accepted grant fixes it
 * @home: one byte per slice, non-zero if the slice is at home in this cell;
 *   NULL means that all are
 * @config: version of the configuration that divided the service among cells,
 *   0 if this cell has all of it. It must rise with every change of @home.
 * @clear: whether no other cell can grant the slice, or has a lease for it:
 *   bgap_engine_clear() of the engines of all other cells that the service
 *   has or had; NULL if there are none
 * @context: passed to @clear
 */
struct bgap_engine_service
{
  const char *name;
  uint32_t slices;
  const unsigned char *home;
  uint64_t config;
  bool (*clear) (void *context, const char *service, uint32_t slice,
                 uint64_t config);
  void *context;
};

enum bgap_engine_action_kind
{
  BGAP_ACTION_APPEND,    /* append @bytes to the cell's stream */
  BGAP_ACTION_READ_LOG,  /* read the stream from offset @from */
  BGAP_ACTION_READ_END,  /* ask for the end of the stream */
  BGAP_ACTION_SEND_PEER, /* send @bytes to the instance @target */
  BGAP_ACTION_HELLO,     /* POST /.bgap/hello with @bytes to @target */
  BGAP_ACTION_RENEW,     /* POST /.bgap/renew with @bytes to @target */
  BGAP_ACTION_LOG        /* log the text @bytes */
};

/**
 * struct bgap_engine_action - something for the caller to do
 * @id: passed back with the result of an append
 * @target: name of the instance or server
 * @bytes: body; zero-terminated; valid until the next call
 * @from: offset (BGAP_ACTION_READ_LOG)
 * @warning: level of a log line
 */
struct bgap_engine_action
{
  enum bgap_engine_action_kind kind;
  uint64_t id;
  const char *target;
  struct bgap_bytes bytes;
  uint64_t from;
  bool warning;
};

/**
 * struct bgap_engine_route - where a key is served
 * @server: name of the backend server, valid until the next call that takes
 *   now_ms
 * @via: NULL, or the instance that holds the lease for a server that does not
 *   check grants; requests must go through it
 * @incarnation: of the holder
 * @slice: slice of the key
 * @token: fencing token
 * @entry: for bgap_engine_count()
 */
struct bgap_engine_route
{
  const char *server;
  const char *via;
  uint64_t incarnation;
  uint32_t slice;
  uint64_t token;
  uint32_t entry;
};

#endif
