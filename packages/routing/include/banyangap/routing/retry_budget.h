#ifndef BANYANGAP_ROUTING_RETRY_BUDGET_H
#define BANYANGAP_ROUTING_RETRY_BUDGET_H

/*
 * Limits retries to a share of the requests of a service.
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
 * @burst: retries that can be saved up, and the initial stock; default 20
 * @empty: start without a stock: many instances that start together do not
 *   know of each other, and their stocks together would be above the limit
 */
struct bgap_retry_budget_desc
{
  uint32_t percent;
  uint32_t burst;
  bool empty;
};

/**
 * struct bgap_retry_budget - the budget
 * @hundredths: stock in hundredths of a retry
 */
struct bgap_retry_budget
{
  uint32_t percent;
  uint32_t burst;
  uint32_t hundredths;
};

/**
 * bgap_retry_budget_setup() - start with a full stock, or an empty one
 */
void bgap_retry_budget_setup (struct bgap_retry_budget *budget,
                              const struct bgap_retry_budget_desc *desc);

/**
 * bgap_retry_budget_change() - other limits; the stock does not grow
 */
void bgap_retry_budget_change (struct bgap_retry_budget *budget,
                               const struct bgap_retry_budget_desc *desc);

/**
 * bgap_retry_budget_on_request() - a new request adds its share
 */
void bgap_retry_budget_on_request (struct bgap_retry_budget *budget);

/**
 * bgap_retry_budget_has() - whether a retry could be taken
 */
bool bgap_retry_budget_has (const struct bgap_retry_budget *budget);

/**
 * bgap_retry_budget_take() - take one retry
 *
 * Return: false if the stock is used up.
 */
bool bgap_retry_budget_take (struct bgap_retry_budget *budget);

#endif
