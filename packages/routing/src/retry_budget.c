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
    .available_hundredths = desc->start_empty ? 0 : burst * HUNDREDTHS,
  };
}

void
bgap_retry_budget_change (struct bgap_retry_budget *budget,
                          const struct bgap_retry_budget_desc *desc)
{
  uint32_t available = budget->available_hundredths;
  bgap_retry_budget_setup (budget, desc);
  if (desc->start_empty || available < budget->available_hundredths)
    budget->available_hundredths = available;
  if (budget->available_hundredths > budget->burst * HUNDREDTHS)
    budget->available_hundredths = budget->burst * HUNDREDTHS;
}

void
bgap_retry_budget_on_request (struct bgap_retry_budget *budget)
{
  budget->available_hundredths += budget->percent;
  if (budget->available_hundredths > budget->burst * HUNDREDTHS)
    budget->available_hundredths = budget->burst * HUNDREDTHS;
}

bool
bgap_retry_budget_has (const struct bgap_retry_budget *budget)
{
  return budget->available_hundredths >= HUNDREDTHS;
}

bool
bgap_retry_budget_take (struct bgap_retry_budget *budget)
{
  if (!bgap_retry_budget_has (budget))
    return false;
  budget->available_hundredths -= HUNDREDTHS;
  return true;
}
