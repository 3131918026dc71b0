#include "banyangap/routing/action.h"
#include "banyangap/routing/attempt.h"
#include "banyangap/routing/types.h"

const char *
bgap_outcome_name (enum bgap_outcome outcome)
{
  static const char *const names[BGAP_OUTCOME_COUNT] = {
    [BGAP_OUTCOME_NONE] = "none",
    [BGAP_OUTCOME_ANSWERED] = "answered",
    [BGAP_OUTCOME_NOT_RUN] = "not-run",
    [BGAP_OUTCOME_UNKNOWN] = "unknown",
  };
  return outcome < BGAP_OUTCOME_COUNT ? names[outcome] : "none";
}

const char *
bgap_class_name (enum bgap_class class_)
{
  static const char *const names[BGAP_CLASS_COUNT] = {
    [BGAP_CLASS_DEFAULT] = "default",
    [BGAP_CLASS_URGENT] = "urgent",
    [BGAP_CLASS_NORMAL] = "normal",
    [BGAP_CLASS_BULK] = "bulk",
  };
  return class_ < BGAP_CLASS_COUNT ? names[class_] : "default";
}

const char *
bgap_reason_name (enum bgap_reason reason)
{
  static const char *const names[BGAP_REASON_COUNT] = {
    [BGAP_REASON_ANSWERED] = "answered",
    [BGAP_REASON_STORED] = "stored answer",
    [BGAP_REASON_STORED_DROPPED] = "stored answer not kept",
    [BGAP_REASON_QUEUE_FULL] = "queue full",
    [BGAP_REASON_DEADLINE] = "deadline",
    [BGAP_REASON_NO_SERVER] = "no server",
    [BGAP_REASON_REFUSED] = "refused by servers",
    [BGAP_REASON_FAILED] = "failed by servers",
    [BGAP_REASON_RETRY_BUDGET] = "retry budget used up",
    [BGAP_REASON_BROKEN] = "connection broken",
    [BGAP_REASON_CRASH_SUSPECT] = "in flight when servers died",
    [BGAP_REASON_QUARANTINED] = "quarantined",
    [BGAP_REASON_KEY_MISSING] = "idempotency key missing",
    [BGAP_REASON_KEY_EXPIRED] = "idempotency key expired",
    [BGAP_REASON_KEY_FUTURE] = "idempotency key in the future",
    [BGAP_REASON_KEY_REUSED] = "idempotency key of another request",
    [BGAP_REASON_IDEMPOTENCY_NOT_READY] = "once stream not replayed",
    [BGAP_REASON_IDEMPOTENCY_FULL] = "too many idempotency keys",
    [BGAP_REASON_IDEMPOTENCY_NO_RECORD] = "intent not recorded",
    [BGAP_REASON_IDEMPOTENCY_WINNER_LOST]
    = "outcome of another attempt not known",
    [BGAP_REASON_PAUSED] = "servers pause",
    [BGAP_REASON_EVACUATED] = "zones evacuated",
    [BGAP_REASON_REMOVED] = "service removed",
    [BGAP_REASON_SHUTDOWN] = "instance leaves",
  };
  return reason < BGAP_REASON_COUNT ? names[reason] : "unknown reason";
}

bool
bgap_result_proves_not_run (enum bgap_result_kind kind)
{
  switch (kind)
    {
    case BGAP_RESULT_FENCED:
    case BGAP_RESULT_SHED:
    case BGAP_RESULT_DRAINING:
    case BGAP_RESULT_NO_CONNECT:
    case BGAP_RESULT_NOT_SENT:
      return true;
    case BGAP_RESULT_STARTED:
    case BGAP_RESULT_COMPLETE:
    case BGAP_RESULT_BROKEN:
    case BGAP_RESULT_FAILED:
    case BGAP_RESULT_TIMEOUT:
    case BGAP_RESULT_COUNT:
      break;
    }
  return false;
}
