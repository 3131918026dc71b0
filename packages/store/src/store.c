#include "banyangap/store/store.h"

const char *
bgap_store_outcome_name (enum bgap_store_outcome outcome)
{
  static const char *const names[BGAP_STORE_OUTCOME_COUNT] = {
    [BGAP_STORE_OK] = "ok",
    [BGAP_STORE_REFUSED] = "refused",
    [BGAP_STORE_TRUNCATED] = "truncated",
    [BGAP_STORE_CONFLICT] = "conflict",
    [BGAP_STORE_UNKNOWN] = "no response",
  };
  return outcome < BGAP_STORE_OUTCOME_COUNT ? names[outcome] : "invalid";
}
