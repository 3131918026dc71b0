#ifndef BANYANGAP_ROUTING_ROUTER_EXPLAIN_H
#define BANYANGAP_ROUTING_ROUTER_EXPLAIN_H

/*
 * What the router would do with a request now, and why, without sending it.
 * Nothing in the router changes, including its random numbers.
 *
 *   struct bgap_explain_result result;
 *   if (bgap_router_explain (&router, now_ms, &desc, 0, &result) == BGAP_OK)
 *     printf ("%s\n", bgap_explain_step_name (result.step));
 *   struct bgap_explain_candidate candidate;
 *   for (uint32_t i = 0;
 *        bgap_router_explain_server (&router, now_ms, &desc, i, &candidate);
 *        i++)
 *     printf ("%s %s\n", candidate.name,
 *             bgap_explain_exclusion_name (candidate.exclusion));
 */

#include "banyangap/routing/router.h"

/**
 * enum bgap_explain_step - what happens to a request first
 */
enum bgap_explain_step
{
  BGAP_EXPLAIN_SEND,    /* is sent to a server */
  BGAP_EXPLAIN_WAIT,    /* waits for a slot, a permit or the end of a pause */
  BGAP_EXPLAIN_LOOK_UP, /* waits until its key has a usable holder */
  BGAP_EXPLAIN_REFUSE,
  BGAP_EXPLAIN_STEP_COUNT
};

/**
 * enum bgap_explain_exclusion - why a server does not get a request now
 */
enum bgap_explain_exclusion
{
  BGAP_EXPLAIN_USABLE,
  BGAP_EXPLAIN_NOT_HOLDER,
  BGAP_EXPLAIN_LOST,
  BGAP_EXPLAIN_REMOVED,
  BGAP_EXPLAIN_EVACUATED,
  BGAP_EXPLAIN_DRAINING,
  BGAP_EXPLAIN_EJECTED,
  BGAP_EXPLAIN_PAUSED,
  BGAP_EXPLAIN_COLD,        /* needs a permit */
  BGAP_EXPLAIN_MAY_BE_COLD, /* needs a check */
  BGAP_EXPLAIN_RATE_LIMIT,  /* needs a permit */
  BGAP_EXPLAIN_BYTE_LIMIT,
  BGAP_EXPLAIN_BACKING_OFF, /* it has refused a request or a connection */
  BGAP_EXPLAIN_FULL,
  BGAP_EXPLAIN_EXCLUSION_COUNT
};

/**
 * struct bgap_explain_result - a decision
 * @reason: REFUSE: why
 * @server: SEND: where; keyed services: the holder that it waits for
 * @class_, @attempts_max, @deadline_ms: in force for the request
 * @cost_ms: expected cost, 0 if it is not known
 * @by_cost: the server is selected by expected cost
 * @expected_ms: expected time until the answer, 0 if it is not known; REFUSE:
 *   the time because of which it is refused
 * @wait_ms: WAIT: expected part of it until it is sent
 * @position: WAIT: place in the queue, from 1
 * @waiting, @queue_limit: requests of the service that wait, and their limit
 * @retry_after_ms: REFUSE: when the caller is told to return
 */
struct bgap_explain_result
{
  enum bgap_explain_step step;
  enum bgap_reason reason;
  struct bgap_server_id server;
  enum bgap_class class_;
  uint32_t attempts_max;
  int64_t deadline_ms;
  double cost_ms;
  bool by_cost;
  double expected_ms;
  double wait_ms;
  uint32_t position;
  uint32_t waiting;
  uint32_t queue_limit;
  int64_t retry_after_ms;
};

/**
 * struct bgap_explain_candidate - a server of the service
 * @exclusion: why it does not get the request now
 * @excluded_ms: time until the exclusion ends, 0 if that is not known
 * @expected_ms: expected time until an answer from it, 0 if not known
 * @work_ms: outstanding work
 * @others: requests of other instances there
 * @load_percent: as it reported, discounted by the age of the report
 * @load_age_ms: age of the report, -1 without one
 * @cold_ms: time until it is warm, 0 if it is
 * @permits: permits of this instance
 */
struct bgap_explain_candidate
{
  char name[BGAP_ROUTING_NAME_SIZE];
  char zone[BGAP_ROUTING_NAME_SIZE];
  struct bgap_server_id id;
  enum bgap_explain_exclusion exclusion;
  int64_t excluded_ms;
  double expected_ms;
  double work_ms;
  uint32_t slots;
  uint32_t in_flight;
  uint32_t others;
  uint32_t load_percent;
  int64_t load_age_ms;
  int64_t cold_ms;
  uint32_t permits;
};

/**
 * bgap_router_explain() - decide on a request as bgap_router_request() would
 * @outage_ms: keyed services: time for which the key has had no usable holder
 *
 * Permits are not asked for: a server for which this instance has none is
 * excluded, although a request might get one at once.
 *
 * Return: BGAP_OK, BGAP_ERR_NOT_FOUND (service), BGAP_ERR_FULL (too many
 * requests are open) or BGAP_ERR_INVALID (the request needs an idempotency
 * record, which is not explained).
 */
enum bgap_status bgap_router_explain (const struct bgap_router *router,
                                      int64_t now_ms,
                                      const struct bgap_request_desc *desc,
                                      int64_t outage_ms,
                                      struct bgap_explain_result *result);

/**
 * bgap_router_explain_server() - the service's server number @index, from 0
 *
 * Return: false if there are not so many.
 */
bool bgap_router_explain_server (const struct bgap_router *router,
                                 int64_t now_ms,
                                 const struct bgap_request_desc *desc,
                                 uint32_t index,
                                 struct bgap_explain_candidate *candidate);

/**
 * bgap_explain_step_name() - short lower-case text
 */
const char *bgap_explain_step_name (enum bgap_explain_step step);

/**
 * bgap_explain_exclusion_name() - short lower-case text, "" for USABLE
 */
const char *
bgap_explain_exclusion_name (enum bgap_explain_exclusion exclusion);

#endif
