#include "report.h"

#include <stdarg.h>
#include <stdio.h>

#include "text.h"

/* The list of servers is the only list; its field is the last one.  */
static const struct bgap_schema *
_bgap_report_element_schema (void)
{
  const struct bgap_schema *schema = bgap_schema_kinds[BGAP_RESOURCE_SERVERS];
  return schema->fields[schema->field_count - 1].schema;
}

static void
_bgap_report_path (const struct bgap_report *report, char *path, size_t size)
{
  const void *item
      = bgap_array_item (report->set, report->kind, report->index);
  const char *kind = bgap_schema_kinds[report->kind]->name;
  const char *field = report->field ? report->field : "";
  const char *dot = report->field ? "." : "";
  if (report->element > 0)
    bgap_text_printf (path, size, "%s/%s.servers[%u]%s%s", kind,
                      bgap_array_name (item), report->element - 1, dot, field);
  else
    bgap_text_printf (path, size, "%s/%s%s%s", kind, bgap_array_name (item),
                      dot, field);
}

void
bgap_report_add (const struct bgap_report *report, const char *remedy,
                 const char *format, ...)
{
  /* The search for a position is linear: skip it for a full report.  */
  if (report->findings->count == BGAP_FINDINGS_MAX)
    {
      report->findings->dropped++;
      return;
    }
  const struct bgap_schema *schema = report->element > 0
                                         ? _bgap_report_element_schema ()
                                         : bgap_schema_kinds[report->kind];
  const struct bgap_mark_key key = {
    .kind = report->kind,
    .index = report->index,
    .element = report->element,
    .field = report->field ? (uint32_t)bgap_schema_find (schema, report->field)
                           : BGAP_MARK_WHOLE,
  };
  struct bgap_finding finding = { 0 };
  bgap_marks_find (report->set->marks, &key, &finding);
  _bgap_report_path (report, finding.path, sizeof finding.path);
  bgap_text_copy (finding.remedy, sizeof finding.remedy, remedy);
  va_list args;
  va_start (args, format);
  vsnprintf (finding.message, sizeof finding.message, format, args);
  va_end (args);
  bgap_findings_add (report->findings, &finding);
}
