#ifndef BANYANGAP_OWNERSHIP_ENGINE_H
#define BANYANGAP_OWNERSHIP_ENGINE_H

/*
 * One instance's roles in one cell: log reader, renewer, witness and proposer.
 * The engine does no I/O; the caller executes its actions and reports the
 * results to it.
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
 * Every call that takes now_ms may queue actions, so the caller takes all of
 * them after each such call. None has to succeed: the engine repeats those
 * that are lost.
 *
 * now_ms must be read from CLOCK_BOOTTIME after the event that is reported. A
 * time cached by an event loop is allowed only if the cache is updated in each
 * iteration: the wait for a lease to end starts at the first call with a later
 * time than that of the confirming call.
 *
 * An engine whose @self is not among the members only replays the log, so that
 * keys of other cells can be looked up.
 *
 * An instance name and its address must belong to one process at a time.
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
 * bgap_engine_set_members() - set the instances of the cell, including this
 * one
 *
 * Return: BGAP_OK; BGAP_ERR_FULL or BGAP_ERR_INVALID, which leave the engine
 * unchanged. The same holds for the two functions below, which may also return
 * BGAP_ERR_NO_MEMORY.
 */
enum bgap_status
bgap_engine_set_members (struct bgap_engine *engine,
                         const struct bgap_engine_member *members,
                         uint32_t count, int64_t now_ms);

/**
 * bgap_engine_set_servers() - set the backend servers of the cell
 */
enum bgap_status
bgap_engine_set_servers (struct bgap_engine *engine,
                         const struct bgap_engine_server *servers,
                         uint32_t count, int64_t now_ms);

/**
 * bgap_engine_set_services() - set the keyed services of the cell
 */
enum bgap_status
bgap_engine_set_services (struct bgap_engine *engine,
                          const struct bgap_engine_service *services,
                          uint32_t count, int64_t now_ms);

/**
 * bgap_engine_set_config() - set the configuration version that heartbeats
 * report
 */
void bgap_engine_set_config (struct bgap_engine *engine, uint64_t version);

/**
 * bgap_engine_tick() - run the periodic work that is due; call at least every
 * 20 ms
 */
void bgap_engine_tick (struct bgap_engine *engine, int64_t now_ms);

/**
 * bgap_engine_leave() - announce that this instance is shutting down and give
 * up its roles
 */
void bgap_engine_leave (struct bgap_engine *engine, int64_t now_ms);

/**
 * bgap_engine_may_exit() - whether the process may exit after
 * bgap_engine_leave(): other instances have taken over its roles, or have had
 * time to
 */
bool bgap_engine_may_exit (const struct bgap_engine *engine);

/**
 * bgap_engine_on_record() - report a record read from the log
 *
 * Records that were already applied are ignored.
 */
void bgap_engine_on_record (struct bgap_engine *engine, uint64_t offset,
                            const void *bytes, size_t size, int64_t now_ms);

/**
 * bgap_engine_on_read_done() - report the end of a BGAP_ACTION_READ_LOG
 * @status: BGAP_OK after all its records were reported; BGAP_ERR_STALE if the
 *   log no longer has the requested offset; otherwise any error
 * @first: oldest offset in the log, or 0 if unknown
 * @end: offset that the next record will get, or 0 if unknown
 *
 * The engine queues the next read immediately, or after a pause if this one
 * failed. A read may wait for records for up to about 10 s.
 */
void bgap_engine_on_read_done (struct bgap_engine *engine,
                               enum bgap_status status, uint64_t first,
                               uint64_t end, int64_t now_ms);

/**
 * bgap_engine_on_log_end() - report the result of a BGAP_ACTION_READ_END
 * @status: BGAP_OK, or an error, after which the engine repeats the query
 * @end: offset that the next record will get
 */
void bgap_engine_on_log_end (struct bgap_engine *engine,
                             enum bgap_status status, uint64_t end,
                             int64_t now_ms);

/**
 * bgap_engine_on_append_done() - report the result of a BGAP_ACTION_APPEND
 *
 * The result is only a hint: a record takes effect when it is read from the
 * log. After an error the engine appends again sooner.
 */
void bgap_engine_on_append_done (struct bgap_engine *engine, uint64_t id,
                                 enum bgap_status status, int64_t now_ms);

/**
 * bgap_engine_on_peer_message() - process a message from the instance @from
 *
 * Return: BGAP_OK, or BGAP_ERR_PROTOCOL for a malformed message, which is
 * ignored.
 */
enum bgap_status bgap_engine_on_peer_message (struct bgap_engine *engine,
                                              const char *from,
                                              const void *bytes, size_t size,
                                              int64_t now_ms);

/**
 * bgap_engine_on_server_reply() - process a reply to a hello or a renewal
 *
 * A failed request need not be reported.
 *
 * Return: BGAP_OK, or BGAP_ERR_PROTOCOL for a malformed reply.
 */
enum bgap_status bgap_engine_on_server_reply (struct bgap_engine *engine,
                                              const char *server,
                                              const void *bytes, size_t size,
                                              int64_t now_ms);

/**
 * bgap_engine_next_action() - take the next action from the queue
 *
 * Return: false if the queue is empty.
 */
bool bgap_engine_next_action (struct bgap_engine *engine,
                              struct bgap_engine_action *action);

/**
 * bgap_engine_lookup() - find the holder of a key
 *
 * Return: BGAP_OK; BGAP_ERR_NOT_FOUND if the log has no grant for the service;
 * BGAP_ERR_UNAVAILABLE if the key has no holder.
 */
enum bgap_status bgap_engine_lookup (const struct bgap_engine *engine,
                                     const char *service, const void *key,
                                     size_t key_size,
                                     struct bgap_engine_route *route);

/**
 * bgap_engine_slice_released() - whether this cell can no longer grant a slice
 * and has no lease for it
 *
 * True if a record with @config or a later configuration version was accepted,
 * and no server holds the slice or a key of it, or may still have a lease for
 * it.
 */
bool bgap_engine_slice_released (const struct bgap_engine *engine,
                                 const char *service, uint32_t slice,
                                 uint64_t config);

/**
 * bgap_engine_count_request() - count a request in the load statistics used by
 * placement
 * @name: name of the service
 */
void bgap_engine_count_request (struct bgap_engine *engine, const char *name,
                                const struct bgap_engine_route *route);

/**
 * bgap_engine_request_split() - request that a key becomes an entry of its own
 *
 * Only the proposer acts on the request.
 *
 * Return: BGAP_OK; BGAP_ERR_NOT_FOUND for an unknown service; BGAP_ERR_INVALID
 * for a key longer than BGAP_KEY_MAX; BGAP_ERR_FULL.
 */
enum bgap_status bgap_engine_request_split (struct bgap_engine *engine,
                                            const char *service,
                                            const void *key, size_t key_size,
                                            int64_t now_ms);

/**
 * bgap_engine_request_merge() - request that a key's entry is merged into its
 * slice; the key first moves to the holder of the slice
 *
 * Return: as bgap_engine_request_split().
 */
enum bgap_status bgap_engine_request_merge (struct bgap_engine *engine,
                                            const char *service,
                                            const void *key, size_t key_size,
                                            int64_t now_ms);

/**
 * bgap_engine_holder() - the holder in this instance for an unfenced server
 *
 * Return: the holder, or NULL if there is none.
 */
const struct bgap_holder *bgap_engine_holder (const struct bgap_engine *engine,
                                              const char *server);

/**
 * bgap_engine_begin_request() - check a request to an unfenced server against
 * the lease that this instance holds for it, and register it as in flight
 * @request: handle for bgap_engine_end_request()
 *
 * The caller must send the request with a deadline of at most the engine's
 * deadline_max_ms, and close the connection when the deadline has passed.
 */
enum bgap_holder_verdict
bgap_engine_begin_request (struct bgap_engine *engine, const char *server,
                           const char *service, const void *key,
                           size_t key_size, uint64_t token, int64_t now_ms,
                           uint32_t *request);

/**
 * bgap_engine_end_request() - report the end of a request registered with
 * bgap_engine_begin_request()
 */
void bgap_engine_end_request (struct bgap_engine *engine, const char *server,
                              uint32_t request);

/**
 * bgap_engine_replica() - the state replayed from the log, read-only
 */
const struct bgap_replica *
bgap_engine_replica (const struct bgap_engine *engine);

/**
 * bgap_engine_is_proposer() - whether this instance considers itself the
 * proposer of the cell
 */
bool bgap_engine_is_proposer (const struct bgap_engine *engine);

/**
 * bgap_engine_member_live() - whether the failure detector of this instance
 * considers the member @name live
 */
bool bgap_engine_member_live (const struct bgap_engine *engine,
                              const char *name);

/**
 * bgap_engine_dump() - append the whole state to @out as JSON
 */
enum bgap_status bgap_engine_dump (const struct bgap_engine *engine,
                                   struct bgap_buffer *out);

#endif
