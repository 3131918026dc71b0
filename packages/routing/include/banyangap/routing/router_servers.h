#ifndef BANYANGAP_ROUTING_ROUTER_SERVERS_H
#define BANYANGAP_ROUTING_ROUTER_SERVERS_H

/*
 * Servers of a router and what is reported of them; included by router.h.
 *
 *   struct bgap_server_id server;
 *   bgap_router_set_server (&router, now_ms, service,
 *     &(struct bgap_server_desc){ .name = "v1", .zone = "aamosen",
 *                                 .slots = 4, .connections = 110 },
 *     &server, &err);
 *   bgap_router_server_load (&router, now_ms, server, &load);
 *   bgap_router_server_pause (&router, now_ms, server, 2000);
 *   bgap_router_remove_server (&router, now_ms, server);
 *
 * After every call that takes now_ms the caller must take all pending actions,
 * see router.h. Reports with a stale handle are ignored.
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/status.h"
#include "banyangap/routing/server.h"
#include "banyangap/routing/types.h"

struct bgap_router;

/**
 * bgap_router_set_server() - add a server or change its options
 * @id: handle, the same for the same service and name
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID, BGAP_ERR_NOT_FOUND (service) or
 * BGAP_ERR_FULL.
 */
enum bgap_status bgap_router_set_server (struct bgap_router *router,
                                         int64_t now_ms,
                                         struct bgap_service_id service_id,
                                         const struct bgap_server_desc *desc,
                                         struct bgap_server_id *id,
                                         struct bgap_error *err);

/**
 * bgap_router_remove_server() - remove a server; it gets no more requests
 *
 * Attempts in flight on it run to their end, and the handle becomes stale when
 * the last one has ended. A server that is added again before that keeps its
 * handle, and these attempts still use its slots. A stale handle is ignored.
 */
void bgap_router_remove_server (struct bgap_router *router, int64_t now_ms,
                                struct bgap_server_id server_id);

/**
 * bgap_router_find_server() - find a server of a service by name
 *
 * Return: its handle, or { 0 } if there is none.
 */
struct bgap_server_id
bgap_router_find_server (const struct bgap_router *router,
                         struct bgap_service_id service_id, const char *name);

/**
 * bgap_router_holder_usable() - whether a server may get requests for the keys
 * that it holds
 */
bool bgap_router_holder_usable (const struct bgap_router *router,
                                int64_t now_ms, struct bgap_service_id service,
                                struct bgap_server_id holder);

/**
 * bgap_router_server_load() - apply the load report of a server (hello or
 * renew)
 */
void bgap_router_server_load (struct bgap_router *router, int64_t now_ms,
                              struct bgap_server_id server_id,
                              const struct bgap_server_load *load);

/**
 * bgap_router_server_rate_limit() - apply the rate limit that a server stated
 * in an answer
 * @per_s: requests per second that it accepts from all instances together; 0
 *   if it stated none. See bgap_rate_limit_clamp() for stated values.
 */
void bgap_router_server_rate_limit (struct bgap_router *router, int64_t now_ms,
                                    struct bgap_server_id server_id,
                                    double per_s);

/**
 * bgap_router_server_cold() - set or end the warm-up of a server, as
 * bgap_router_set_server() does
 * @per_s: rate of permits for requests to it, see bgap_cold_limit_rate()
 * @left_ms: time until it is warm, 0 if it is
 */
void bgap_router_server_cold (struct bgap_router *router, int64_t now_ms,
                              struct bgap_server_id server_id, double per_s,
                              int64_t left_ms);

/**
 * bgap_router_set_view_time() - the registrations of all servers, and how long
 * they are cold, are known as of @read_ms
 *
 * Once this has been called, servers of services that limit the requests of
 * cold servers count as warm only while it is repeated, or after a check; see
 * warm_check.h.
 */
void bgap_router_set_view_time (struct bgap_router *router, int64_t read_ms);

/**
 * bgap_router_server_checked() - response to the action CHECK_SERVER
 * @result: report COLD after bgap_router_server_cold()
 */
void bgap_router_server_checked (struct bgap_router *router, int64_t now_ms,
                                 struct bgap_server_id server_id,
                                 enum bgap_warm_check_result result);

/**
 * bgap_router_server_pause() - send nothing to a server for @pause_ms, as it
 * has asked with a refusal; at most BGAP_SERVER_PAUSE_MAX_MS
 */
void bgap_router_server_pause (struct bgap_router *router, int64_t now_ms,
                               struct bgap_server_id server_id,
                               int64_t pause_ms);

/**
 * bgap_router_server_drain() - set or clear one of the drain signals of a
 * server
 */
void bgap_router_server_drain (struct bgap_router *router, int64_t now_ms,
                               struct bgap_server_id server_id,
                               enum bgap_drain_signal signal, bool on);

/**
 * bgap_router_server_evacuate() - set or clear the signal BGAP_DRAIN_ZONE of a
 * server, whose zone is evacuated
 * @grace_ms: time from now on for which it still gets requests for its keys
 *
 * While all servers of a service that could be used are evacuated, its
 * requests are refused at once.
 */
void bgap_router_server_evacuate (struct bgap_router *router, int64_t now_ms,
                                  struct bgap_server_id server_id, bool on,
                                  int64_t grace_ms);

/**
 * bgap_router_server_lost() - report that a server has crashed or is
 * unreachable
 *
 * The fingerprints in flight on it become suspects. Attempts that have not
 * ended are cancelled and treated as BROKEN.
 */
void bgap_router_server_lost (struct bgap_router *router, int64_t now_ms,
                              struct bgap_server_id server_id);

/**
 * bgap_router_server_expired() - report that the registration of a server has
 * expired or was removed; before bgap_router_remove_server()
 *
 * Unless the server drains, attempts that broke on it shortly before are taken
 * for signs of a crash. Those in flight run on.
 */
void bgap_router_server_expired (struct bgap_router *router, int64_t now_ms,
                                 struct bgap_server_id server_id);

/**
 * bgap_router_server_alive() - report that a server responds
 * @incarnation: of its process; a change means that the server restarted: slow
 *   start applies, and its earlier failures are cleared
 */
void bgap_router_server_alive (struct bgap_router *router, int64_t now_ms,
                               struct bgap_server_id server_id,
                               uint64_t incarnation);

/**
 * bgap_router_server_status() - snapshot of a server
 *
 * Return: BGAP_OK or BGAP_ERR_NOT_FOUND.
 */
enum bgap_status bgap_router_server_status (const struct bgap_router *router,
                                            int64_t now_ms,
                                            struct bgap_server_id server_id,
                                            struct bgap_server_status *status);

#endif
