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
#include "banyangap/ownership/engine_types.h"
#include "banyangap/ownership/holder.h"

struct bgap_engine;

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
 * bgap_engine_clear() - whether this cell has given up a slice for good
 *
 * It has if a record of @config or a later configuration was accepted, and
 * nobody holds the slice or a key of it, or may still have a lease for it.
 */
bool bgap_engine_clear (const struct bgap_engine *engine, const char *service,
                        uint32_t slice, uint64_t config);

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
 * bgap_engine_begin() - check a request to a server that does not check grants
 * and note that it runs; this instance holds the lease
 * @request: handle for bgap_engine_end()
 *
 * The caller sends the request with a deadline of at most the engine's
 * deadline_max_ms, and gives up the connection after it.
 */
enum bgap_holder_verdict
bgap_engine_begin (struct bgap_engine *engine, const char *server,
                   const char *service, const void *key, size_t key_size,
                   uint64_t token, int64_t now_ms, uint32_t *request);

/**
 * bgap_engine_end() - a request begun with bgap_engine_begin() has ended
 */
void bgap_engine_end (struct bgap_engine *engine, const char *server,
                      uint32_t request);

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
