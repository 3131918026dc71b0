#ifndef BANYANGAP_OWNERSHIP_ENGINE_H
#define BANYANGAP_OWNERSHIP_ENGINE_H

/*
 * One instance's roles in one cell: reader, renewer, witness and proposer.
 * The engine does no I/O; the caller executes its actions and feeds it the
 * results.
 *
 *   struct bgap_engine *engine;
 *   bgap_engine_setup (&engine, &(struct bgap_engine_desc){
 *     .cell = "hoejmosen", .self = "entry-1", .zone = "hoejmosen",
 *     .incarnation = bgap_random_seed (), .now_ms = now_ms }, &err);
 *   bgap_engine_set_members (engine, members, member_count, now_ms);
 *   bgap_engine_set_services (engine, services, service_count, now_ms);
 *   bgap_engine_set_servers (engine, servers, server_count, now_ms);
 *   for (;;)
 *     {
 *       bgap_engine_tick (engine, now_ms);     // at least every 20 ms
 *       struct bgap_engine_action action;
 *       while (bgap_engine_next_action (engine, &action))
 *         execute (&action);
 *     }
 *   bgap_engine_shutdown (engine);
 *
 * Actions may be yielded after every call that takes now_ms, so the caller
 * drains them after each. None has to succeed: the engine repeats what is
 * lost.
 *
 * now_ms must be read from CLOCK_BOOTTIME after the event that is reported. A
 * time cached by an event loop is allowed only if the cache is renewed in each
 * iteration: the engine starts waits at the first call with a later time.
 *
 * An engine whose @self is not among the members only replays the stream, so
 * that keys of other cells can be looked up.
 *
 * An instance name and its address belong to one process at a time.
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"
#include "banyangap/ownership/entry.h"
#include "banyangap/ownership/holder.h"
#include "banyangap/ownership/placement_ops.h"
#include "banyangap/ownership/replica.h"

/* Members, servers and services of one cell.  */
#define BGAP_ENGINE_MEMBERS_MAX 64
#define BGAP_ENGINE_SERVERS_MAX 256
#define BGAP_ENGINE_SERVICES_MAX BGAP_SCOPES_MAX

struct bgap_engine;

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
 */
struct bgap_engine_service
{
  const char *name;
  uint32_t slices;
  const unsigned char *home;
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

/**
 * bgap_engine_setup() - create an engine
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_engine_setup (struct bgap_engine **engine,
                                    const struct bgap_engine_desc *desc,
                                    struct bgap_error *err);

/**
 * bgap_engine_shutdown() - free the engine; NULL is allowed
 */
void bgap_engine_shutdown (struct bgap_engine *engine);

/**
 * bgap_engine_set_members() - instances of the cell, this one included
 *
 * Return: BGAP_OK, BGAP_ERR_FULL or BGAP_ERR_INVALID, which leaves the engine
 * unchanged; the same for the two functions below.
 */
enum bgap_status
bgap_engine_set_members (struct bgap_engine *engine,
                         const struct bgap_engine_member *members,
                         uint32_t count, int64_t now_ms);

/**
 * bgap_engine_set_servers() - backend servers of the cell
 */
enum bgap_status
bgap_engine_set_servers (struct bgap_engine *engine,
                         const struct bgap_engine_server *servers,
                         uint32_t count, int64_t now_ms);

/**
 * bgap_engine_set_services() - keyed services of the cell
 */
enum bgap_status
bgap_engine_set_services (struct bgap_engine *engine,
                          const struct bgap_engine_service *services,
                          uint32_t count, int64_t now_ms);

/**
 * bgap_engine_set_config() - configuration version to report in heartbeats
 */
void bgap_engine_set_config (struct bgap_engine *engine, uint64_t version);

/**
 * bgap_engine_tick() - do what is due; call at least every 20 ms
 */
void bgap_engine_tick (struct bgap_engine *engine, int64_t now_ms);

/**
 * bgap_engine_leave() - announce that this instance is shutting down; it gives
 * up its roles
 */
void bgap_engine_leave (struct bgap_engine *engine, int64_t now_ms);

/**
 * bgap_engine_left() - whether no role depends on this instance any more, so
 * that the process may exit
 */
bool bgap_engine_left (const struct bgap_engine *engine);

/**
 * bgap_engine_on_record() - a record read from the log
 *
 * Records that were applied already are ignored.
 */
void bgap_engine_on_record (struct bgap_engine *engine, uint64_t offset,
                            const void *bytes, size_t size, int64_t now_ms);

/**
 * bgap_engine_on_read_done() - a BGAP_ACTION_READ_LOG has ended
 * @status: BGAP_OK after all its records were reported; BGAP_ERR_STALE if the
 *   log no longer has its offset; else any error
 * @first: oldest offset kept, if known, else 0
 * @end: offset that the next record will get, if known, else 0
 *
 * The next read is yielded at once, or after a pause if this one failed. A
 * read may wait for records up to about 10 s.
 */
void bgap_engine_on_read_done (struct bgap_engine *engine,
                               enum bgap_status status, uint64_t first,
                               uint64_t end, int64_t now_ms);

/**
 * bgap_engine_on_log_end() - result of a BGAP_ACTION_READ_END
 * @status: BGAP_OK, or an error, after which the engine asks again
 */
void bgap_engine_on_log_end (struct bgap_engine *engine,
                             enum bgap_status status, uint64_t end,
                             int64_t now_ms);

/**
 * bgap_engine_on_append_done() - result of a BGAP_ACTION_APPEND
 *
 * Only a hint: the engine acts on a record when it reads it.
 */
void bgap_engine_on_append_done (struct bgap_engine *engine, uint64_t id,
                                 enum bgap_status status, int64_t now_ms);

/**
 * bgap_engine_on_peer() - a message from the instance @from
 *
 * Return: BGAP_OK, or BGAP_ERR_PROTOCOL for a malformed message, which is
 * ignored.
 */
enum bgap_status bgap_engine_on_peer (struct bgap_engine *engine,
                                      const char *from, const void *bytes,
                                      size_t size, int64_t now_ms);

/**
 * bgap_engine_on_server_reply() - reply to a hello or a renewal
 *
 * A request that failed needs no call.
 *
 * Return: BGAP_OK, or BGAP_ERR_PROTOCOL for a malformed reply.
 */
enum bgap_status bgap_engine_on_server_reply (struct bgap_engine *engine,
                                              const char *server,
                                              const void *bytes, size_t size,
                                              int64_t now_ms);

/**
 * bgap_engine_next_action() - take the next action
 *
 * Return: false if there is none.
 */
bool bgap_engine_next_action (struct bgap_engine *engine,
                              struct bgap_engine_action *action);

/**
 * bgap_engine_lookup() - where a key is served
 *
 * Return: BGAP_OK; BGAP_ERR_NOT_FOUND if the stream does not name the service;
 * BGAP_ERR_UNAVAILABLE if nobody holds the key.
 */
enum bgap_status bgap_engine_lookup (const struct bgap_engine *engine,
                                     const char *service, const void *key,
                                     size_t key_size,
                                     struct bgap_engine_route *route);

/**
 * bgap_engine_count() - count a request for placement
 * @name: the service
 */
void bgap_engine_count (struct bgap_engine *engine, const char *name,
                        const struct bgap_engine_route *route);

/**
 * bgap_engine_request_split() - ask for a key to become an entry of its own
 *
 * Only the proposer acts on it.
 *
 * Return: BGAP_OK; BGAP_ERR_NOT_FOUND for an unknown service; BGAP_ERR_INVALID
 * for a key longer than BGAP_KEY_MAX; BGAP_ERR_FULL.
 */
enum bgap_status bgap_engine_request_split (struct bgap_engine *engine,
                                            const char *service,
                                            const void *key, size_t key_size,
                                            int64_t now_ms);

/**
 * bgap_engine_request_merge() - ask for a key's entry to be removed; it moves
 * to the holder of its slice first
 *
 * Return: as above.
 */
enum bgap_status bgap_engine_request_merge (struct bgap_engine *engine,
                                            const char *service,
                                            const void *key, size_t key_size,
                                            int64_t now_ms);

/**
 * bgap_engine_holder() - the lease that this instance holds on behalf of a
 * server that does not check grants
 *
 * Return: the holder, or NULL if there is none.
 */
const struct bgap_holder *bgap_engine_holder (const struct bgap_engine *engine,
                                              const char *server);

/**
 * bgap_engine_replica() - the replayed state, read only
 */
const struct bgap_replica *
bgap_engine_replica (const struct bgap_engine *engine);

/**
 * bgap_engine_is_proposer() - whether this instance proposes at present
 */
bool bgap_engine_is_proposer (const struct bgap_engine *engine);

/**
 * bgap_engine_member_live() - whether @name counts as live
 */
bool bgap_engine_member_live (const struct bgap_engine *engine,
                              const char *name);

/**
 * bgap_engine_dump() - append the whole state as JSON
 */
enum bgap_status bgap_engine_dump (const struct bgap_engine *engine,
                                   struct bgap_buffer *out);

#endif
