#ifndef BANYANGAP_ROUTING_RETRY_BUDGET_H
#define BANYANGAP_ROUTING_RETRY_BUDGET_H

/*
 * Retry budget: limits retries to a percentage of the requests of a service.
 *
 *   struct bgap_retry_budget budget;
 *   bgap_retry_budget_setup (&budget,
 *                            &(struct bgap_retry_budget_desc){ 0 });
 *   bgap_retry_budget_on_request (&budget);
 *   if (bgap_retry_budget_take (&budget))
 *     ...   retry
 */

#include <stdbool.h>
#include <stdint.h>

/**
 * struct bgap_retry_budget_desc - options; zero means the default
 * @percent: retries per 100 requests; default 20
 * @burst: maximum number of accumulated retries, also available at the start;
 *   default 20
 * @start_empty: start with no retries available. Instances that start at the
 *   same time do not know of each other, and their initial budgets together
 *   would exceed the limit.
 */
struct bgap_retry_budget_desc
{
  uint32_t percent;
  uint32_t burst;
  bool start_empty;
};

/**
 * struct bgap_retry_budget - the budget
 * @available_hundredths: available retries, in hundredths of a retry
 */
struct bgap_retry_budget
{
  uint32_t percent;
  uint32_t burst;
  uint32_t available_hundredths;
};

/**
 * bgap_retry_budget_setup() - initialise a full or empty budget
 */
void bgap_retry_budget_setup (struct bgap_retry_budget *budget,
                              const struct bgap_retry_budget_desc *desc);

/**
 * bgap_retry_budget_change() - change the limits; available retries do not
 * increase
 */
void bgap_retry_budget_change (struct bgap_retry_budget *budget,
                               const struct bgap_retry_budget_desc *desc);

/**
 * bgap_retry_budget_on_request() - add the share of a new request
 */
void bgap_retry_budget_on_request (struct bgap_retry_budget *budget);

/**
 * bgap_retry_budget_has() - whether a retry is available
 */
bool bgap_retry_budget_has (const struct bgap_retry_budget *budget);

/**
 * bgap_retry_budget_take() - consume one retry
 *
 * Return: false if none is available.
 */
bool bgap_retry_budget_take (struct bgap_retry_budget *budget);

#endif
