#ifndef BANYANGAP_OWNERSHIP_ENGINE_TYPES_H
#define BANYANGAP_OWNERSHIP_ENGINE_TYPES_H

/*
 * Input and output types of an engine; see engine.h.
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/ownership/entry.h"
#include "banyangap/ownership/placement_ops.h"
#include "banyangap/ownership/replica.h"

/* Maximum number of members, servers and services of one cell.  */
#define BGAP_ENGINE_MEMBERS_MAX 64
#define BGAP_ENGINE_SERVERS_MAX 256
#define BGAP_ENGINE_SERVICES_MAX BGAP_SCOPES_MAX

/**
 * enum bgap_witness_policy - how witnesses are chosen from the members
 */
enum bgap_witness_policy
{
  BGAP_WITNESSES_ZONE,  /* members of the cell's one zone */
  BGAP_WITNESSES_REGION /* spread over the zones of the cell */
};

/**
 * struct bgap_engine_desc - options; strings are copied
 * @cell: name of the cell, required
 * @self: name of this instance, required
 * @zone: zone of this instance, required
 * @incarnation: random number drawn at process start, non-zero, required
 * @now_ms: current time
 * @policy: how witnesses are chosen
 * @witnesses: size of the witness set, 3, 5 or 7; 0 means 5, or the largest
 *   odd number of members if that is less
 * @placement: placement policy; NULL means bgap_placement_even()
 * @deadline_max_ms: maximum deadline of requests to unfenced servers, which do
 *   not check grants; 0 means 30000. It must be equal on all instances.
 * @witness_timeout_ms: a witness that has sent no heartbeat for this long is
 *   replaced; 0 means 10000
 * @startup_delay_ms: time after setup before an instance proposes the first
 *   witness set, so that the members can exchange heartbeats first, and the
 *   longest wait for servers before the first grant; 0 means 1000
 * @snapshot_records: accepted or rejected records between two snapshots; 0
 *   means 10000
 * @snapshot_ms: time between two snapshots, a quarter of the log's retention;
 *   0 means 15 minutes
 * @actions: maximum number of queued actions; 0 means 4096
 * @action_bytes: maximum size of the data of queued actions; 0 means 4 MiB
 * @record_cache_bytes: maximum size of the recent records kept for peers; 0
 *   means 1 MiB
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
  uint32_t witness_timeout_ms;
  uint32_t startup_delay_ms;
  uint32_t snapshot_records;
  uint32_t snapshot_ms;
  uint32_t actions;
  uint32_t action_bytes;
  uint32_t record_cache_bytes;
};

/**
 * struct bgap_engine_member - an instance of the cell, from the host list
 * @leaving: marked as leaving in the host list
 */
struct bgap_engine_member
{
  const char *name;
  const char *zone;
  bool leaving;
};

/**
 * struct bgap_engine_server - a backend server of the cell
 * @slots: configured number of slots
 * @unfenced: it does not check grants, so an instance holds its lease
 * @leaving: marked as draining in the host list or the configuration
 */
struct bgap_engine_server
{
  const char *name;
  const char *zone;
  const char *service;
  uint32_t slots;
  bool unfenced;
  bool leaving;
};

/**
 * struct bgap_engine_service - a keyed service of the cell
 * @slices: number of slices, a power of two; the first accepted grant fixes it
 * @home: one byte per slice, non-zero if the slice is assigned to this cell;
 *   NULL means that all are
 * @config: version of the configuration that divided the service among cells,
 *   0 if all of it is assigned to this cell. It must increase with every
 *   change of @home.
 * @released_elsewhere: whether no other cell can grant the slice or may still
 *   have a lease for it: bgap_engine_slice_released() of the engines of all
 *   other cells that the service is or was assigned to; NULL if there are none
 * @context: passed to @released_elsewhere
 */
struct bgap_engine_service
{
  const char *name;
  uint32_t slices;
  const unsigned char *home;
  uint64_t config;
  bool (*released_elsewhere) (void *context, const char *service,
                              uint32_t slice, uint64_t config);
  void *context;
};

enum bgap_engine_action_kind
{
  BGAP_ACTION_APPEND,    /* append @bytes to the cell's log */
  BGAP_ACTION_READ_LOG,  /* read the log from offset @from */
  BGAP_ACTION_READ_END,  /* query the end offset of the log */
  BGAP_ACTION_SEND_PEER, /* send @bytes to the instance @target */
  BGAP_ACTION_HELLO,     /* POST /.bgap/hello with @bytes to @target */
  BGAP_ACTION_RENEW,     /* POST /.bgap/renew with @bytes to @target */
  BGAP_ACTION_LOG        /* write @bytes as a log line of the process */
};

/**
 * struct bgap_engine_action - an I/O operation for the caller to execute
 * @id: to pass to bgap_engine_on_append_done() (BGAP_ACTION_APPEND)
 * @target: name of the instance or server
 * @bytes: data, zero-terminated; valid until the next call for this engine
 * @from: offset (BGAP_ACTION_READ_LOG)
 * @warning: log at level warning instead of info (BGAP_ACTION_LOG)
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
 * struct bgap_engine_route - result of a lookup: the holder of a key
 * @server: name of the backend server, valid until the next call that takes
 *   now_ms
 * @via: NULL, or the instance that holds the lease of an unfenced server;
 *   requests must go through it
 * @incarnation: of the holder
 * @slice: slice of the key
 * @token: fencing token
 * @entry: index of the entry, for bgap_engine_count_request()
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
