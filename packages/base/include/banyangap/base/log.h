#ifndef BANYANGAP_BASE_LOG_H
#define BANYANGAP_BASE_LOG_H

/*
 * Diagnostic log through log4c: one short sentence per line, prefixed with the
 * name of the component.
 *
 *   bgap_log_setup (&(struct bgap_log_desc){ .level = "info" }, &err);
 *   bgap_log_info ("ownership", "grant accepted; service=%s token=%ld",
 *                  service, token);
 *   bgap_log_shutdown ();
 *
 * Fields follow the sentence as name=value. Lines logged before setup are
 * dropped.
 */

#include "banyangap/base/status.h"

/**
 * struct bgap_log_desc - options
 * @level: minimum level: "error", "warn", "info" or "debug"; NULL means "info"
 */
struct bgap_log_desc
{
  const char *level;
};

/**
 * bgap_log_setup() - open the log on standard error
 *
 * Return: BGAP_OK, or BGAP_ERR_INVALID for an unknown level.
 */
enum bgap_status bgap_log_setup (const struct bgap_log_desc *desc,
                                 struct bgap_error *err);

/**
 * bgap_log_shutdown() - close the log
 */
void bgap_log_shutdown (void);

void bgap_log_error (const char *component, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void bgap_log_warn (const char *component, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void bgap_log_info (const char *component, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void bgap_log_debug (const char *component, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
