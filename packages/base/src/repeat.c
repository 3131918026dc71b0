#include "banyangap/base/repeat.h"

static void
_bgap_repeat_schedule (struct bgap_repeat *repeat, int64_t now_ms)
{
  double half_ms = (double)repeat->interval_ms / 2;
  repeat->next_ms = now_ms + (int64_t)(half_ms * (1 + repeat->desc.place));
}

static void
_bgap_repeat_lengthen (struct bgap_repeat *repeat, int64_t now_ms)
{
  repeat->interval_ms *= 2;
  if (repeat->interval_ms > repeat->desc.max_ms)
    repeat->interval_ms = repeat->desc.max_ms;
  _bgap_repeat_schedule (repeat, now_ms);
}

void
bgap_repeat_begin (struct bgap_repeat *repeat, int64_t now_ms,
                   const struct bgap_repeat_desc *desc)
{
  *repeat
      = (struct bgap_repeat){ .desc = *desc, .interval_ms = desc->first_ms };
  _bgap_repeat_schedule (repeat, now_ms);
}

bool
bgap_repeat_take (struct bgap_repeat *repeat, int64_t now_ms)
{
  if (repeat->interval_ms == 0 || now_ms < repeat->next_ms)
    return false;
  _bgap_repeat_lengthen (repeat, now_ms);
  repeat->count++;
  return true;
}

void
bgap_repeat_postpone (struct bgap_repeat *repeat, int64_t now_ms)
{
  if (repeat->interval_ms > 0)
    _bgap_repeat_lengthen (repeat, now_ms);
}
