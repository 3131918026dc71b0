#include "banyangap/base/status.h"

#include <stdarg.h>
#include <stdio.h>

enum bgap_status
bgap_error_set (struct bgap_error *err, enum bgap_status status,
                const char *format, ...)
{
  if (err == NULL)
    return status;
  va_list args;
  va_start (args, format);
  err->status = status;
  vsnprintf (err->message, sizeof err->message, format, args);
  va_end (args);
  return status;
}

const char *
bgap_status_name (enum bgap_status status)
{
  static const char *const names[BGAP_STATUS_COUNT] = {
    [BGAP_OK] = "ok",
    [BGAP_ERR_INVALID] = "invalid",
    [BGAP_ERR_NO_MEMORY] = "no memory",
    [BGAP_ERR_NOT_FOUND] = "not found",
    [BGAP_ERR_FULL] = "full",
    [BGAP_ERR_STALE] = "stale",
    [BGAP_ERR_TIMEOUT] = "timeout",
    [BGAP_ERR_IO] = "i/o error",
    [BGAP_ERR_PROTOCOL] = "protocol error",
    [BGAP_ERR_UNAVAILABLE] = "unavailable",
  };
  if (status >= BGAP_STATUS_COUNT)
    return "unknown status";
  return names[status];
}
