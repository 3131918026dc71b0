#ifndef BANYANGAP_ROUTING_ROUTER_CHECKS_H
#define BANYANGAP_ROUTING_ROUTER_CHECKS_H

/*
 * Checks that decide on a request and change nothing but its @expected_ms, and
 * the age of the response times of the service. bgap_router_route() acts on
 * them, bgap_router_explain() reports them.
 */

#include "router_state.h"

/**
 * bgap_router_wait_ms() - expected wait of a request that enters a queue
 * @holder, @ahead: as for bgap_router_wait_misses_deadline()
 */
double bgap_router_wait_ms (struct bgap_router_service *service,
                            const struct bgap_router_server *holder,
                            int64_t now_ms, uint32_t ahead);

/**
 * struct bgap_router_wait - what a request would find in a queue
 * @reason: why it may not wait
 * @position: its place in the queue, from 1
 */
struct bgap_router_wait
{
  enum bgap_reason reason;
  uint32_t position;
};

/**
 * bgap_router_wait_refuses() - whether a request is refused instead of waiting
 * @holder: server whose queue it is, NULL for the queue of the service
 *
 * The checks of bgap_router_enqueue() without their effect.
 */
bool bgap_router_wait_refuses (const struct bgap_router_state *state,
                               struct bgap_router_service *service,
                               const struct bgap_router_server *holder,
                               int64_t now_ms,
                               struct bgap_router_request *request,
                               struct bgap_router_wait *wait);

/**
 * bgap_router_accepts() - whether a request that comes now is accepted, see
 * struct bgap_router_stop
 */
bool bgap_router_accepts (const struct bgap_router_state *state,
                          int64_t now_ms);

/**
 * bgap_router_may_wait() - whether a request may begin to wait now, see struct
 * bgap_router_stop
 */
bool bgap_router_may_wait (const struct bgap_router_state *state,
                           int64_t now_ms);

/**
 * bgap_router_queue_full() - whether the queue limit leaves no room for a
 * request of this rank: @queue, NULL for none, has too few less urgent ones
 * that it could replace
 */
bool bgap_router_queue_full (const struct bgap_router_service *service,
                             const struct bgap_heap *queue, int64_t rank);

/**
 * bgap_router_init_request() - fill in a request in state NEW
 */
void bgap_router_init_request (struct bgap_router_request *request,
                               int64_t now_ms,
                               const struct bgap_router_service *service,
                               const struct bgap_request_desc *desc);

/**
 * bgap_router_outage_refuses() - whether a request has no more time than its
 * key has had no usable holder
 */
bool bgap_router_outage_refuses (const struct bgap_router_request *request,
                                 int64_t now_ms, int64_t outage_ms);

/**
 * bgap_router_pause_refuses() - whether the pauses of the servers, or of
 * @holder, last too long for a request
 */
bool bgap_router_pause_refuses (struct bgap_router_service *service,
                                int64_t now_ms,
                                struct bgap_router_request *request,
                                const struct bgap_router_server *holder);

/**
 * bgap_router_refuses() - whether a request is refused wherever it would go
 */
bool bgap_router_refuses (const struct bgap_router_state *state,
                          int64_t now_ms,
                          const struct bgap_router_service *service,
                          const struct bgap_router_request *request,
                          enum bgap_reason *reason);

/**
 * bgap_router_is_late() - whether a server is not expected to answer a request
 * in time, or before the process ends
 * @server: NULL for any server, all of which are full
 */
bool bgap_router_is_late (const struct bgap_router_state *state,
                          int64_t now_ms, struct bgap_router_service *service,
                          struct bgap_router_request *request,
                          const struct bgap_router_server *server,
                          enum bgap_reason *reason);

/**
 * bgap_router_choose() - select a server for a request without a key, or NULL
 */
struct bgap_router_server *
bgap_router_choose (const struct bgap_router_state *state, int64_t now_ms,
                    const struct bgap_router_service *service,
                    const struct bgap_router_request *request);

/**
 * bgap_router_server_at_limit() - whether a holder can take no request now
 */
bool bgap_router_server_at_limit (const struct bgap_router_service *service,
                                  int64_t now_ms,
                                  const struct bgap_server *server);

#endif
