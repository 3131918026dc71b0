#ifndef BANYANGAPCTL_OUTPUT_H
#define BANYANGAPCTL_OUTPUT_H

/*
 * Output of banyangapctl, and access to members of JSON answers.
 */

#include <jansson.h>

#include "banyangap/resource/findings.h"
#include "options.h"

/**
 * bgap_ctl_print_json() - print a value on standard output
 * @indent: print over several lines, indented, instead of on one line
 */
void bgap_ctl_print_json (const json_t *value, bool indent);

/**
 * bgap_ctl_print_findings() - print findings, as text on standard error or as
 * JSON on standard output
 */
void bgap_ctl_print_findings (const struct bgap_ctl_options *options,
                              const struct bgap_findings *findings);

/**
 * bgap_ctl_text() - string member of an object, "" if there is none
 */
const char *bgap_ctl_text (const json_t *object, const char *name);

/**
 * bgap_ctl_number() - integer member of an object, 0 if there is none
 */
int64_t bgap_ctl_number (const json_t *object, const char *name);

/**
 * bgap_ctl_usage() - print an error of the command line
 *
 * Return: BGAP_CTL_USAGE.
 */
enum bgap_ctl_exit bgap_ctl_usage (const char *message);

#endif
