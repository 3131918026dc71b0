#include "banyangap/routing/warm_check.h"

void
bgap_warm_check_set_view_time (struct bgap_warm_check *check, int64_t read_ms)
{
  if (read_ms > check->read_ms)
    check->read_ms = read_ms;
}

void
bgap_warm_check_suspect (struct bgap_warm_check *check, int64_t now_ms)
{
  check->suspect_ms = now_ms;
  check->covered = 0;
}

bool
bgap_warm_check_is_recent (const struct bgap_warm_check *check, int64_t now_ms)
{
  if (check->read_ms == 0)
    return true;
  return now_ms - check->read_ms < BGAP_WARM_VIEW_MS
         && (check->suspect_ms == 0
             || check->read_ms - check->suspect_ms >= BGAP_WARM_SUSPECT_MS);
}

bool
bgap_warm_check_is_covered (const struct bgap_warm_check *check,
                            int64_t now_ms)
{
  return check->covered > 0
         && now_ms - check->checked_ms < BGAP_WARM_CHECK_VALID_MS;
}

void
bgap_warm_check_use (struct bgap_warm_check *check)
{
  if (check->covered > 0)
    check->covered--;
}

bool
bgap_warm_check_may_begin (const struct bgap_warm_check *check, int64_t now_ms)
{
  return !check->is_running && now_ms >= check->retry_at_ms;
}

bool
bgap_warm_check_is_awaited (const struct bgap_warm_check *check,
                            int64_t now_ms)
{
  return check->is_running
         && now_ms - check->begun_ms < BGAP_WARM_CHECK_SLOW_MS;
}

bool
bgap_warm_check_has_rested (const struct bgap_warm_check *check,
                            int64_t now_ms)
{
  return check->begun_ms == 0
         || now_ms - check->begun_ms >= BGAP_WARM_CHECK_INTERVAL_MS;
}

void
bgap_warm_check_begin (struct bgap_warm_check *check, int64_t now_ms)
{
  check->begun_ms = now_ms;
  check->is_running = true;
}

void
bgap_warm_check_restarted (struct bgap_warm_check *check)
{
  check->is_outdated = check->is_running;
  check->covered = 0;
  check->suspect_ms = 0;
  check->failures = 0;
  check->retry_at_ms = 0;
}

void
bgap_warm_check_reset (struct bgap_warm_check *check)
{
  check->is_running = false;
  bgap_warm_check_restarted (check);
}

static int64_t
_bgap_check_retry_ms (uint32_t failures)
{
  int64_t retry_ms = BGAP_WARM_CHECK_RETRY_MS;
  for (uint32_t i = 1; i < failures && retry_ms < BGAP_WARM_CHECK_RETRY_MAX_MS;
       i++)
    retry_ms *= 2;
  return retry_ms;
}

void
bgap_warm_check_end (struct bgap_warm_check *check, int64_t now_ms,
                     enum bgap_warm_check_result result)
{
  bool is_outdated = check->is_outdated;
  check->is_running = false;
  check->is_outdated = false;
  check->covered = 0;
  if (is_outdated)
    return;
  if (result == BGAP_WARM_CHECK_FAILED)
    {
      check->failures++;
      check->retry_at_ms = now_ms + _bgap_check_retry_ms (check->failures);
      return;
    }
  check->failures = 0;
  /* The former process may have answered.  */
  if (check->suspect_ms != 0 && check->begun_ms <= check->suspect_ms)
    return;
  check->suspect_ms = 0;
  if (result == BGAP_WARM_CHECK_COLD)
    return;
  check->checked_ms = check->begun_ms;
  check->covered = BGAP_WARM_CHECK_REQUESTS;
}
