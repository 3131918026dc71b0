#include <string.h>

#include "banyangap/gateway/backend.h"

static const char *const refusal_names[BGAP_REFUSAL_COUNT] = {
  [BGAP_REFUSAL_NONE] = "none",
  [BGAP_REFUSAL_FENCED] = "fenced",
  [BGAP_REFUSAL_SHED] = "shed",
  [BGAP_REFUSAL_DRAINING] = "draining",
};

enum bgap_refusal
bgap_refusal_parse (const char *text)
{
  for (int i = BGAP_REFUSAL_NONE + 1; i < BGAP_REFUSAL_COUNT; i++)
    if (strcmp (text, refusal_names[i]) == 0)
      return (enum bgap_refusal)i;
  return BGAP_REFUSAL_NONE;
}

const char *
bgap_refusal_name (enum bgap_refusal refusal)
{
  if ((unsigned int)refusal >= BGAP_REFUSAL_COUNT)
    return "invalid";
  return refusal_names[refusal];
}

const char *
bgap_failure_name (enum bgap_failure_kind kind)
{
  static const char *const names[BGAP_FAILURE_COUNT] = {
    [BGAP_FAILURE_CONNECT] = "connect",   [BGAP_FAILURE_DEADLINE] = "deadline",
    [BGAP_FAILURE_BROKEN] = "broken",     [BGAP_FAILURE_PROTOCOL] = "protocol",
    [BGAP_FAILURE_ERROR] = "error",       [BGAP_FAILURE_REMOVED] = "removed",
    [BGAP_FAILURE_NOT_SENT] = "not sent",
  };
  if ((unsigned int)kind >= BGAP_FAILURE_COUNT)
    return "invalid";
  return names[kind];
}
