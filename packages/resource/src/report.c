#include "report.h"

#include <stdarg.h>
#include <stdio.h>

#include "text.h"

/* Servers are the only list; the list is the last field of its kind.  */
static const struct bgap_schema *
_bgap_report_element_schema (void)
{
  const struct bgap_schema *schema = bgap_schema_kinds[BGAP_RESOURCE_SERVERS];
  return schema->fields[schema->field_count - 1].schema;
}

static void
_bgap_report_path (const struct bgap_report_target *target, char *path,
                   size_t size)
{
  const void *item
      = bgap_array_item (target->set, target->kind, target->index);
  const char *kind = bgap_schema_kinds[target->kind]->name;
  const char *field = target->field ? target->field : "";
  const char *dot = target->field ? "." : "";
  if (target->element > 0)
    bgap_text_printf (path, size, "%s/%s.servers[%u]%s%s", kind,
                      bgap_array_name (item), target->element - 1, dot, field);
  else
    bgap_text_printf (path, size, "%s/%s%s%s", kind, bgap_array_name (item),
                      dot, field);
}

void
bgap_report_add (const struct bgap_report_target *target, const char *remedy,
                 const char *format, ...)
{
  /* The search for the position is linear, so skip it if the finding would
     only be counted.  */
  if (target->findings->count == BGAP_FINDINGS_MAX)
    {
      target->findings->dropped++;
      return;
    }
  const struct bgap_schema *schema = target->element > 0
                                         ? _bgap_report_element_schema ()
                                         : bgap_schema_kinds[target->kind];
  const struct bgap_position_key key = {
    .kind = target->kind,
    .index = target->index,
    .element = target->element,
    .field = target->field ? (uint32_t)bgap_schema_find (schema, target->field)
                           : BGAP_POSITION_RESOURCE,
  };
  struct bgap_finding finding = { 0 };
  bgap_positions_find (target->set->positions, &key, &finding);
  _bgap_report_path (target, finding.path, sizeof finding.path);
  bgap_text_copy (finding.remedy, sizeof finding.remedy, remedy);
  va_list args;
  va_start (args, format);
  vsnprintf (finding.message, sizeof finding.message, format, args);
  va_end (args);
  bgap_findings_add (target->findings, &finding);
}
