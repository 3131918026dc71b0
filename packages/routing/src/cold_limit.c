#include "banyangap/routing/cold_limit.h"

#include "banyangap/routing/rate_limit.h"

/* Permits that are saved up: one at the issuer and one at its standby.  */
#define SAVED_PERMITS 2

double
bgap_cold_limit_bound (double per_s, double overage, double slack)
{
  return per_s * overage + slack;
}

double
bgap_cold_limit_rate (double bound)
{
  double rest = bound - BGAP_COLD_OWN_PERMITS - SAVED_PERMITS;
  double per_s = rest / (BGAP_COLD_SPAN_S * (1 + BGAP_COLD_STANDBY_SHARE));
  return bgap_rate_limit_clamp (per_s);
}
