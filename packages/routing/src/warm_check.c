#include "banyangap/routing/warm_check.h"

void
bgap_warm_check_read (struct bgap_warm_check *check, int64_t read_ms)
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
bgap_warm_check_is_known (const struct bgap_warm_check *check, int64_t now_ms)
{
  return bgap_warm_check_is_recent (check, now_ms)
         || (check->covered > 0
             && now_ms - check->checked_ms < BGAP_WARM_CHECK_VALID_MS);
}

void
bgap_warm_check_use (struct bgap_warm_check *check, int64_t now_ms)
{
  if (!bgap_warm_check_is_recent (check, now_ms) && check->covered > 0)
    check->covered--;
}

bool
bgap_warm_check_may_begin (const struct bgap_warm_check *check, int64_t now_ms)
{
  return !check->is_running && now_ms >= check->retry_at_ms;
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
bgap_warm_check_end (struct bgap_warm_check *check, int64_t now_ms,
                     enum bgap_warm_check_result result)
{
  check->is_running = false;
  check->covered = 0;
  if (result == BGAP_WARM_CHECK_FAILED)
    check->retry_at_ms = now_ms + BGAP_WARM_CHECK_RETRY_MS;
  /* The former process may have answered.  */
  bool is_outdated
      = check->suspect_ms != 0 && check->begun_ms <= check->suspect_ms;
  if (result == BGAP_WARM_CHECK_FAILED || is_outdated)
    return;
  check->suspect_ms = 0;
  if (result != BGAP_WARM_CHECK_WARM)
    return;
  check->checked_ms = now_ms;
  check->covered = BGAP_WARM_CHECK_REQUESTS;
}
