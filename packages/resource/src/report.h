#ifndef BANYANGAP_RESOURCE_REPORT_H
#define BANYANGAP_RESOURCE_REPORT_H

/*
 * Adds findings about resources of a set, with the position of a field.
 */

#include "array.h"
#include "positions.h"

/**
 * struct bgap_report_target - resource or field that a finding is about
 * @element: 1 + index of the server in its list, or 0
 * @field: name of the field, or NULL for the whole resource
 */
struct bgap_report_target
{
  const struct bgap_resource_set *set;
  struct bgap_findings *findings;
  enum bgap_resource_kind kind;
  uint32_t index;
  uint32_t element;
  const char *field;
};

/**
 * bgap_report_add() - add a finding with a formatted message
 */
void bgap_report_add (const struct bgap_report_target *target,
                      const char *remedy, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
