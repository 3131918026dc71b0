#ifndef BANYANGAPCTL_OUTPUT_H
#define BANYANGAPCTL_OUTPUT_H

#include <jansson.h>

#include "banyangap/resource/findings.h"
#include "options.h"

/**
 * bgap_ctl_print_json() - print a value on standard output
 * @indent: whether for people, over several lines
 */
void bgap_ctl_print_json (const json_t *value, bool indent);

/**
 * bgap_ctl_print_findings() - print a report
 *
 * As text on standard error, or as JSON on standard output.
 */
void bgap_ctl_print_findings (const struct bgap_ctl_options *options,
                              const struct bgap_findings *findings);

/**
 * bgap_ctl_text() - text of a member, "" if there is none
 */
const char *bgap_ctl_text (const json_t *object, const char *name);

/**
 * bgap_ctl_number() - number of a member, 0 if there is none
 */
int64_t bgap_ctl_number (const json_t *object, const char *name);

/**
 * bgap_ctl_usage() - print what is wrong with the command line
 *
 * Return: BGAP_CTL_USAGE.
 */
enum bgap_ctl_exit bgap_ctl_usage (const char *message);

#endif
