#include "scan.h"

#include <stdio.h>
#include <string.h>

#include "text.h"

/* Largest nesting of mappings and lists. The deepest valid field is a member
   of a list element; the further levels let the second pass report misplaced
   nesting with a more precise finding.  */
#define DEPTH_MAX 8

struct bgap_scan
{
  const char *file;
  const struct bgap_scan_limits *limits;
  struct bgap_findings *findings;
  uint32_t documents;
  uint32_t nodes;
  uint32_t depth;
};

static enum bgap_status
_bgap_scan_fail (const struct bgap_scan *scan, yaml_mark_t mark,
                 const char *message, const char *remedy)
{
  struct bgap_finding finding = {
    .line = (uint32_t)mark.line + 1,
    .column = (uint32_t)mark.column + 1,
  };
  bgap_text_copy (finding.file, sizeof finding.file, scan->file);
  bgap_text_copy (finding.message, sizeof finding.message, message);
  bgap_text_copy (finding.remedy, sizeof finding.remedy, remedy);
  bgap_findings_add (scan->findings, &finding);
  return BGAP_ERR_INVALID;
}

enum bgap_status
bgap_scan_syntax (const yaml_parser_t *parser, const char *file,
                  struct bgap_findings *findings)
{
  const struct bgap_scan scan = { .file = file, .findings = findings };
  if (parser->error == YAML_MEMORY_ERROR)
    return BGAP_ERR_NO_MEMORY;
  char message[BGAP_FINDING_MESSAGE_SIZE];
  snprintf (message, sizeof message, "not valid YAML: %s",
            parser->problem ? parser->problem : "unknown reason");
  yaml_mark_t mark = parser->problem_mark;
  if (parser->error == YAML_READER_ERROR)
    mark = parser->mark;
  return _bgap_scan_fail (&scan, mark, message,
                          "correct the syntax at or before this position");
}

static enum bgap_status
_bgap_scan_node (struct bgap_scan *scan, const yaml_event_t *event,
                 const yaml_char_t *anchor, const yaml_char_t *tag)
{
  if (anchor != NULL || event->type == YAML_ALIAS_EVENT)
    return _bgap_scan_fail (scan, event->start_mark,
                            "anchors and aliases are not allowed",
                            "write the value out at each place");
  if (tag != NULL)
    return _bgap_scan_fail (scan, event->start_mark, "tags are not allowed",
                            "remove the tag; the field has a fixed type");
  if (++scan->nodes > scan->limits->nodes_max)
    return _bgap_scan_fail (scan, event->start_mark, "too many values",
                            "split the text into several owners' files");
  return BGAP_OK;
}

static enum bgap_status
_bgap_scan_enter (struct bgap_scan *scan, const yaml_event_t *event,
                  const yaml_char_t *anchor, const yaml_char_t *tag)
{
  if (++scan->depth > DEPTH_MAX)
    return _bgap_scan_fail (scan, event->start_mark, "nested too deeply",
                            "no field needs more than three levels");
  return _bgap_scan_node (scan, event, anchor, tag);
}

static enum bgap_status
_bgap_scan_event (struct bgap_scan *scan, const yaml_event_t *event)
{
  switch (event->type)
    {
    case YAML_DOCUMENT_START_EVENT:
      if (++scan->documents > scan->limits->documents_max)
        return _bgap_scan_fail (scan, event->start_mark, "too many documents",
                                "remove resources or split the owner");
      return BGAP_OK;
    case YAML_ALIAS_EVENT:
      return _bgap_scan_node (scan, event, NULL, NULL);
    case YAML_SCALAR_EVENT:
      return _bgap_scan_node (scan, event, event->data.scalar.anchor,
                              event->data.scalar.tag);
    case YAML_SEQUENCE_START_EVENT:
      return _bgap_scan_enter (scan, event, event->data.sequence_start.anchor,
                               event->data.sequence_start.tag);
    case YAML_MAPPING_START_EVENT:
      return _bgap_scan_enter (scan, event, event->data.mapping_start.anchor,
                               event->data.mapping_start.tag);
    case YAML_SEQUENCE_END_EVENT:
    case YAML_MAPPING_END_EVENT:
      scan->depth--;
      return BGAP_OK;
    default:
      return BGAP_OK;
    }
}

enum bgap_status
bgap_scan (const char *text, size_t size, const char *file,
           const struct bgap_scan_limits *limits,
           struct bgap_findings *findings)
{
  struct bgap_scan scan
      = { .file = file, .limits = limits, .findings = findings };
  if (size > limits->text_max)
    return _bgap_scan_fail (&scan, (yaml_mark_t){ 0 }, "the text is too large",
                            "split it into several files");
  yaml_parser_t parser;
  if (!yaml_parser_initialize (&parser))
    return BGAP_ERR_NO_MEMORY;
  yaml_parser_set_input_string (&parser, (const unsigned char *)text, size);
  enum bgap_status status = BGAP_OK;
  for (bool end = false; status == BGAP_OK && !end;)
    {
      yaml_event_t event;
      if (!yaml_parser_parse (&parser, &event))
        {
          status = bgap_scan_syntax (&parser, file, findings);
          break;
        }
      end = event.type == YAML_STREAM_END_EVENT;
      status = _bgap_scan_event (&scan, &event);
      yaml_event_delete (&event);
    }
  yaml_parser_delete (&parser);
  return status;
}
