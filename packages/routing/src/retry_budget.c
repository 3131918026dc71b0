#include "banyangap/routing/retry_budget.h"

#define DEFAULT_PERCENT 20u
#define DEFAULT_BURST 20u
#define MAX_BURST 1000000u
#define HUNDREDTHS 100u

void
bgap_retry_budget_setup (struct bgap_retry_budget *budget,
                         const struct bgap_retry_budget_desc *desc)
{
  uint32_t percent = desc->percent ? desc->percent : DEFAULT_PERCENT;
  uint32_t burst = desc->burst ? desc->burst : DEFAULT_BURST;
  if (burst > MAX_BURST)
    burst = MAX_BURST;
  *budget = (struct bgap_retry_budget){
    .percent = percent > 100 ? 100 : percent,
    .burst = burst,
    .hundredths = desc->empty ? 0 : burst * HUNDREDTHS,
  };
}

void
bgap_retry_budget_change (struct bgap_retry_budget *budget,
                          const struct bgap_retry_budget_desc *desc)
{
  uint32_t stock = budget->hundredths;
  bgap_retry_budget_setup (budget, desc);
  if (desc->empty || stock < budget->hundredths)
    budget->hundredths = stock;
  if (budget->hundredths > budget->burst * HUNDREDTHS)
    budget->hundredths = budget->burst * HUNDREDTHS;
}

void
bgap_retry_budget_on_request (struct bgap_retry_budget *budget)
{
  budget->hundredths += budget->percent;
  if (budget->hundredths > budget->burst * HUNDREDTHS)
    budget->hundredths = budget->burst * HUNDREDTHS;
}

bool
bgap_retry_budget_has (const struct bgap_retry_budget *budget)
{
  return budget->hundredths >= HUNDREDTHS;
}

bool
bgap_retry_budget_take (struct bgap_retry_budget *budget)
{
  if (!bgap_retry_budget_has (budget))
    return false;
  budget->hundredths -= HUNDREDTHS;
  return true;
}
