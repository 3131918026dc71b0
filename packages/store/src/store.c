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

const char *
bgap_store_call_name (enum bgap_store_call_kind kind)
{
  static const char *const names[BGAP_STORE_CALL_COUNT] = {
    [BGAP_STORE_NEWEST] = "newest", [BGAP_STORE_READ] = "read",
    [BGAP_STORE_APPEND] = "append", [BGAP_STORE_JOIN] = "join",
    [BGAP_STORE_LIST] = "list",     [BGAP_STORE_LEAVE] = "leave",
  };
  return kind < BGAP_STORE_CALL_COUNT ? names[kind] : "invalid";
}
