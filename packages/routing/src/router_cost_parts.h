#ifndef BANYANGAP_ROUTING_ROUTER_COST_PARTS_H
#define BANYANGAP_ROUTING_ROUTER_COST_PARTS_H

/*
 * Functions of the router's parts that predict costs and durations, by file;
 * included by router_parts.h.
 *
 *   bgap_router_expect_cost (service, request);
 *   if (bgap_router_misses_deadline (service, server, now_ms, request))
 *     ... refuse the request ...
 *   ... when an attempt at the server has ended ...
 *   bgap_router_record_time (service, server, now_ms, request, kind,
 * is_error);
 */

#include "router_state.h"

/* router_cost.c: expected costs of requests, and what is learned from their
   answers.  */

/**
 * bgap_router_uses_cost() - whether costs are learned for the service
 */
bool bgap_router_uses_cost (const struct bgap_router_service *service);

/**
 * bgap_router_mean_cost_ms() - mean cost of the requests of the service,
 * BGAP_ROUTER_COST_UNIT_MS if not known
 */
double bgap_router_mean_cost_ms (const struct bgap_router_service *service);

/**
 * bgap_router_cost_ms() - expected cost of a request, the mean if not known
 */
double bgap_router_cost_ms (const struct bgap_router_service *service,
                            const struct bgap_router_request *request);

/**
 * bgap_router_expect_cost() - set the expected cost of a request
 */
void bgap_router_expect_cost (const struct bgap_router_service *service,
                              struct bgap_router_request *request);

/**
 * bgap_router_placement() - what the balancer needs to select by cost
 *
 * Return: false if too little is known.
 */
bool bgap_router_placement (const struct bgap_router_service *service,
                            const struct bgap_router_request *request,
                            struct bgap_balancer_cost *cost);

/**
 * bgap_router_usual() - what is usual for the servers of the service
 */
struct bgap_outstanding_usual
bgap_router_usual (const struct bgap_router_service *service);

/**
 * bgap_router_work_ms() - expected cost that remains of all requests at a
 * server
 */
double bgap_router_work_ms (const struct bgap_router_state *state,
                            int64_t now_ms, const struct bgap_server *server);

/**
 * bgap_router_note_load() - update what is usual with the last load report of
 * a server
 */
void bgap_router_note_load (struct bgap_router_service *service,
                            struct bgap_server *server);

/**
 * bgap_router_learn_cost() - learn from the duration of an attempt
 * @was_free: it did not wait for a slot, as far as known
 */
void bgap_router_learn_cost (struct bgap_router_service *service,
                             struct bgap_server *server, int64_t now_ms,
                             const struct bgap_router_request *request,
                             double took_ms, bool was_free);

/* router_estimate.c: how long an answer will take.  */

/**
 * bgap_router_median_ms() - median response time of requests of this cost that
 * do not wait for a slot, 0 if not known
 */
double bgap_router_median_ms (struct bgap_router_service *service,
                              int64_t now_ms, double cost_ms);

/**
 * bgap_router_expected_ms() - time after which an attempt at a server is
 * answered, with the wait for a slot; of an idle server a time that only few
 * answers are faster than
 * @server: NULL for any server, all of which are busy
 * @cost_ms: expected cost of the request
 *
 * Return: milliseconds, 0 if not known.
 */
double bgap_router_expected_ms (struct bgap_router_service *service,
                                const struct bgap_server *server,
                                int64_t now_ms, double cost_ms);

/**
 * bgap_router_forecast_ms() - response time of an attempt at a server if it is
 * as fast as its recent answers to this instance, for comparison with other
 * servers
 *
 * Return: milliseconds, 0 if not known.
 */
double bgap_router_forecast_ms (struct bgap_router_service *service,
                                const struct bgap_server *server,
                                int64_t now_ms, double cost_ms);

/**
 * bgap_router_misses_deadline() - whether an attempt that starts now is
 * expected to end after the deadline
 * @server: as for bgap_router_expected_ms()
 */
bool bgap_router_misses_deadline (struct bgap_router_service *service,
                                  const struct bgap_server *server,
                                  int64_t now_ms,
                                  struct bgap_router_request *request);

/**
 * bgap_router_misses_end() - whether an attempt that starts now is expected to
 * run longer than the process, see bgap_router_begin_stop()
 * @server: as for bgap_router_expected_ms()
 */
bool bgap_router_misses_end (const struct bgap_router_state *state,
                             struct bgap_router_service *service,
                             const struct bgap_server *server, int64_t now_ms,
                             struct bgap_router_request *request);

/**
 * bgap_router_wait_misses_deadline() - the same for a request that would enter
 * a queue
 * @holder: server whose queue it is, NULL for the queue of the service
 * @ahead: requests before it, itself included
 */
bool bgap_router_wait_misses_deadline (const struct bgap_router_state *state,
                                       struct bgap_router_service *service,
                                       const struct bgap_router_server *holder,
                                       int64_t now_ms, uint32_t ahead,
                                       struct bgap_router_request *request);

/**
 * bgap_router_record_time() - record the duration of an attempt
 * @is_error: the answer is an error, which says nothing about the duration of
 *   the work
 */
void bgap_router_record_time (struct bgap_router_service *service,
                              struct bgap_server *server, int64_t now_ms,
                              const struct bgap_router_request *request,
                              enum bgap_result_kind kind, bool is_error);

#endif
