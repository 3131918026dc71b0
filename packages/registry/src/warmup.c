#include "banyangap/registry/warmup.h"

const char *
bgap_warmup_source_name (enum bgap_warmup_source source)
{
  static const char *const names[] = {
    [BGAP_WARMUP_NONE] = "none",
    [BGAP_WARMUP_REGISTERED] = "registration",
    [BGAP_WARMUP_ANSWERED] = "answer",
    [BGAP_WARMUP_STARTED] = "start",
    [BGAP_WARMUP_RETURNED] = "return",
    [BGAP_WARMUP_EVACUATED] = "evacuation-ended",
  };
  return names[source];
}

bool
bgap_warmup_is_cold (const struct bgap_warmup *warmup, int64_t now_ms)
{
  return now_ms < warmup->until_ms;
}

void
bgap_warmup_assume (struct bgap_warmup *warmup, int64_t now_ms,
                    enum bgap_warmup_source source, int64_t duration_ms,
                    bool is_registered)
{
  int64_t until_ms = now_ms + duration_ms;
  if (duration_ms <= 0)
    return;
  *warmup = (struct bgap_warmup){
    .source = source,
    .until_ms = until_ms > warmup->until_ms ? until_ms : warmup->until_ms,
    .known_ms = now_ms,
    .is_registered = is_registered,
  };
}

/* Whether the server has not stated itself that it is cold.  */
static bool
_bgap_warmup_is_assumed (const struct bgap_warmup *warmup)
{
  return warmup->source == BGAP_WARMUP_STARTED
         || warmup->source == BGAP_WARMUP_RETURNED
         || warmup->source == BGAP_WARMUP_EVACUATED;
}

/* Applies a statement. One that may be older than what is known ends nothing,
   and shortens only what is assumed.  */
static void
_bgap_warmup_state (struct bgap_warmup *warmup, int64_t now_ms,
                    enum bgap_warmup_source source, int64_t left_ms,
                    bool is_newer)
{
  int64_t until_ms = now_ms + left_ms;
  if (is_newer || !bgap_warmup_is_cold (warmup, now_ms)
      || (left_ms > 0 && _bgap_warmup_is_assumed (warmup)))
    *warmup = (struct bgap_warmup){ 0 };
  if (left_ms <= 0 || until_ms <= warmup->until_ms)
    return;
  warmup->until_ms = until_ms;
  /* What may be older than this can still not end it.  */
  if (warmup->known_ms != 0)
    return;
  warmup->source = source;
  warmup->known_ms = now_ms;
  warmup->is_registered = source == BGAP_WARMUP_REGISTERED;
}

void
bgap_warmup_registered (struct bgap_warmup *warmup, int64_t now_ms,
                        int64_t left_ms, int64_t written_after_ms)
{
  _bgap_warmup_state (warmup, now_ms, BGAP_WARMUP_REGISTERED, left_ms,
                      warmup->is_registered
                          || written_after_ms >= warmup->known_ms);
}

void
bgap_warmup_answered (struct bgap_warmup *warmup, int64_t now_ms,
                      int64_t left_ms, int64_t asked_ms)
{
  _bgap_warmup_state (warmup, now_ms, BGAP_WARMUP_ANSWERED, left_ms,
                      asked_ms >= warmup->known_ms);
}
