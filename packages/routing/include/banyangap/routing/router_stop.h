#ifndef BANYANGAP_ROUTING_ROUTER_STOP_H
#define BANYANGAP_ROUTING_ROUTER_STOP_H

/*
 * Graceful stop of a router:
 *
 *   bgap_router_begin_stop (&router, &(struct bgap_router_stop){
 *                                        .accept_until_ms = accept_until_ms,
 *                                        .wait_until_ms = wait_until_ms,
 *                                        .end_ms = end_ms });
 *   ...
 *   bgap_router_refuse_waiting (&router, now_ms);
 *   ...
 *   bgap_router_abort_attempts (&router, now_ms);
 *
 * From its begin on, each request is judged by the time of its call, so that a
 * timer of the owner that is late does not widen a limit. The later calls end
 * the requests that are open then; each emits actions that the owner carries
 * out, as after any other event.
 */

#include "banyangap/routing/router.h"

/**
 * struct bgap_router_stop - limits of a graceful stop, all in the time of
 * now_ms; 0 means none
 * @accept_until_ms: from then on new requests are refused
 * @wait_until_ms: from then on a request that would wait for a server is
 *   refused
 * @end_ms: when attempts will be aborted. A request that the recent answers
 *   let expect later is refused at once, while another instance can still
 *   serve it.
 */
struct bgap_router_stop
{
  int64_t accept_until_ms;
  int64_t wait_until_ms;
  int64_t end_ms;
};

/**
 * bgap_router_begin_stop() - set the limits of a graceful stop
 *
 * Requests that are refused end with outcome NOT_RUN, or UNKNOWN if an attempt
 * may have run.
 */
void bgap_router_begin_stop (struct bgap_router *router,
                             const struct bgap_router_stop *stop);

/**
 * bgap_router_stop_accepting() - refuse new requests from now on
 *
 * They end with outcome NOT_RUN. First step of a shutdown.
 */
void bgap_router_stop_accepting (struct bgap_router *router);

/**
 * bgap_router_refuse_waiting() - end the requests that are not at a server
 *
 * For a process that stops before a server could answer them. They end with
 * outcome NOT_RUN, or UNKNOWN if an attempt may have run.
 */
void bgap_router_refuse_waiting (struct bgap_router *router, int64_t now_ms);

/**
 * bgap_router_abort_attempts() - end the requests that are at a server
 *
 * For a process that stops now: their callers would otherwise get no answer.
 * They end with outcome UNKNOWN, since they may have run. A request whose
 * response has begun goes on: nothing else can be answered in its place.
 */
void bgap_router_abort_attempts (struct bgap_router *router, int64_t now_ms);

/**
 * bgap_router_idle() - whether no request, action or append is pending
 */
bool bgap_router_idle (const struct bgap_router *router);

#endif
