#ifndef BANYANGAP_RESOURCE_SCAN_H
#define BANYANGAP_RESOURCE_SCAN_H

/*
 * First pass over a YAML text: checks syntax, limits and constructs that are
 * not allowed. Only a text that passes is loaded as documents, which bounds
 * the memory that the second pass needs.
 */

#include <stddef.h>
#include <stdint.h>
#include <yaml.h>

#include "banyangap/base/status.h"
#include "banyangap/resource/findings.h"

/**
 * struct bgap_scan_limits - limits for one text
 */
struct bgap_scan_limits
{
  size_t text_max;
  uint32_t documents_max;
  uint32_t nodes_max;
};

/**
 * bgap_scan_syntax() - add a finding for an error of libyaml
 *
 * Return: BGAP_ERR_INVALID after adding a finding, or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_scan_syntax (const yaml_parser_t *parser,
                                   const char *file,
                                   struct bgap_findings *findings);

/**
 * bgap_scan() - check a text
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID after adding one finding, or
 * BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_scan (const char *text, size_t size, const char *file,
                            const struct bgap_scan_limits *limits,
                            struct bgap_findings *findings);

#endif
