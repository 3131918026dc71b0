#include "banyangap/base/log.h"

#include <log4c.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

/* Maximum length of a message in bytes; longer ones are truncated.  */
#define LINE_SIZE 1024

static log4c_category_t *category;

static const char *
_bgap_log_format (const log4c_layout_t *layout,
                  const log4c_logging_event_t *event)
{
  static char line[LINE_SIZE + 64];
  (void)layout;
  struct tm tm;
  time_t seconds = event->evt_timestamp.tv_sec;
  gmtime_r (&seconds, &tm);
  char timestamp[32];
  strftime (timestamp, sizeof timestamp, "%Y-%m-%dT%H:%M:%S", &tm);
  snprintf (line, sizeof line, "%s.%03ldZ %-5s %s\n", timestamp,
            (long)event->evt_timestamp.tv_usec / 1000,
            log4c_priority_to_string (event->evt_priority), event->evt_msg);
  return line;
}

static const log4c_layout_type_t layout_type = {
  .name = "bgap",
  .format = _bgap_log_format,
};

enum bgap_status
bgap_log_setup (const struct bgap_log_desc *desc, struct bgap_error *err)
{
  const char *level = desc->level ? desc->level : "info";
  int priority = log4c_priority_to_int (level);
  if (priority == LOG4C_PRIORITY_UNKNOWN)
    return bgap_error_set (err, BGAP_ERR_INVALID, "unknown log level \"%s\"",
                           level);
  log4c_init ();
  log4c_layout_type_set (&layout_type);
  log4c_layout_t *layout = log4c_layout_get ("bgap");
  log4c_layout_set_type (layout, &layout_type);
  log4c_appender_t *appender = log4c_appender_get ("stderr");
  log4c_appender_set_layout (appender, layout);
  category = log4c_category_get ("bgap");
  log4c_category_set_appender (category, appender);
  log4c_category_set_additivity (category, 0);
  log4c_category_set_priority (category, priority);
  return BGAP_OK;
}

void
bgap_log_shutdown (void)
{
  if (category == NULL)
    return;
  category = NULL;
  log4c_fini ();
}

static void
_bgap_log_line (int priority, const char *component, const char *format,
                va_list args)
{
  if (category == NULL
      || !log4c_category_is_priority_enabled (category, priority))
    return;
  char text[LINE_SIZE];
  int prefix = snprintf (text, sizeof text, "%s: ", component);
  vsnprintf (text + prefix, sizeof text - (size_t)prefix, format, args);
  log4c_category_log (category, priority, "%s", text);
}

void
bgap_log_error (const char *component, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  _bgap_log_line (LOG4C_PRIORITY_ERROR, component, format, args);
  va_end (args);
}

void
bgap_log_warn (const char *component, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  _bgap_log_line (LOG4C_PRIORITY_WARN, component, format, args);
  va_end (args);
}

void
bgap_log_info (const char *component, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  _bgap_log_line (LOG4C_PRIORITY_INFO, component, format, args);
  va_end (args);
}

void
bgap_log_debug (const char *component, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  _bgap_log_line (LOG4C_PRIORITY_DEBUG, component, format, args);
  va_end (args);
}
