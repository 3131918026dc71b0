#include "banyangap/logservice/answer.h"

const char *
bgap_answer_name (enum bgap_answer answer)
{
  static const char *const names[BGAP_ANSWER_COUNT] = {
    [BGAP_ANSWER_OK] = "ok",
    [BGAP_ANSWER_REFUSED] = "refused",
    [BGAP_ANSWER_UNKNOWN] = "unknown",
    [BGAP_ANSWER_TRUNCATED] = "truncated",
  };
  if ((unsigned int)answer >= BGAP_ANSWER_COUNT)
    return "invalid";
  return names[answer];
}
