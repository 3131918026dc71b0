#include "read.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "text.h"

/* Largest edit distance at which a field name is suggested.  */
#define SUGGEST_DISTANCE_MAX 4

/* Longest quotation of an unknown name, in bytes.  */
#define QUOTED_MAX 40

void
bgap_read_fail (struct bgap_reader *reader, const yaml_node_t *node,
                const char *path, const char *remedy, const char *format, ...)
{
  struct bgap_finding finding = {
    .line = (uint32_t)node->start_mark.line + 1,
    .column = (uint32_t)node->start_mark.column + 1,
  };
  bgap_text_copy (finding.file, sizeof finding.file, reader->file);
  bgap_text_copy (finding.path, sizeof finding.path, path);
  bgap_text_copy (finding.remedy, sizeof finding.remedy, remedy);
  va_list args;
  va_start (args, format);
  vsnprintf (finding.message, sizeof finding.message, format, args);
  va_end (args);
  bgap_findings_add (reader->findings, &finding);
  reader->failed = true;
}

static void
_bgap_read_add_position (struct bgap_reader *reader, const yaml_node_t *node,
                         uint32_t field)
{
  struct bgap_position_key key = reader->key;
  key.field = field;
  if (reader->positions != NULL
      && bgap_positions_add (reader->positions, &key,
                             (uint32_t)node->start_mark.line + 1,
                             (uint32_t)node->start_mark.column + 1)
             != BGAP_OK)
    reader->no_memory = true;
}

static void
_bgap_read_unknown_field (struct bgap_reader *reader, const yaml_node_t *node,
                          const struct bgap_schema *schema, const char *name,
                          const char *path)
{
  unsigned nearest = SUGGEST_DISTANCE_MAX + 1;
  char remedy[BGAP_FINDING_REMEDY_SIZE];
  bgap_text_printf (remedy, sizeof remedy,
                    "remove it; the fields of %s are listed in "
                    "docs/resources.md",
                    schema->name);
  for (size_t i = 0; i < schema->field_count; i++)
    {
      unsigned distance = bgap_text_distance (name, schema->fields[i].name);
      if (distance >= nearest)
        continue;
      nearest = distance;
      bgap_text_printf (remedy, sizeof remedy, "did you mean \"%s\"?",
                        schema->fields[i].name);
    }
  bgap_read_fail (reader, node, path, remedy, "unknown field \"%.*s\"",
                  QUOTED_MAX, name);
}

static void
_bgap_read_list (struct bgap_reader *reader, const yaml_node_t *node,
                 const struct bgap_schema_field *field, char *item,
                 const char *path)
{
  if (node->type != YAML_SEQUENCE_NODE)
    {
      bgap_read_fail (reader, node, path, "write each element after \"- \"",
                      "the field needs a list");
      return;
    }
  size_t count = (size_t)(node->data.sequence.items.top
                          - node->data.sequence.items.start);
  if (count < field->min || count > field->max || count > reader->servers_left)
    {
      bgap_read_fail (reader, node, path,
                      count < field->min ? "add an element"
                                         : "split it into several resources",
                      "%zu elements are too %s", count,
                      count < field->min ? "few" : "many");
      return;
    }
  char *elements = calloc (count, field->schema->size);
  if (elements == NULL)
    {
      reader->no_memory = true;
      return;
    }
  reader->servers_left -= (uint32_t)count;
  for (size_t i = 0; i < count; i++)
    {
      char sub_path[BGAP_FINDING_PATH_SIZE];
      bgap_text_printf (sub_path, sizeof sub_path, "%s[%zu]", path, i);
      yaml_node_t *element = yaml_document_get_node (
          reader->document, node->data.sequence.items.start[i]);
      reader->key.element = (uint32_t)i + 1;
      bgap_read_mapping (reader, element, field->schema,
                         elements + i * field->schema->size, sub_path, NULL);
    }
  reader->key.element = 0;
  const uint32_t stored = (uint32_t)count;
  memcpy (item + field->offset, &elements, sizeof elements);
  memcpy (item + field->count_offset, &stored, sizeof stored);
}

static void
_bgap_read_field (struct bgap_reader *reader, yaml_node_t *node,
                  const struct bgap_schema_field *field, char *item,
                  const char *path)
{
  char sub_path[BGAP_FINDING_PATH_SIZE];
  bgap_text_printf (sub_path, sizeof sub_path, "%s.%s", path, field->name);
  if (path[0] == '\0')
    bgap_text_copy (sub_path, sizeof sub_path, field->name);
  if (field->type == BGAP_SCHEMA_LIST)
    _bgap_read_list (reader, node, field, item, sub_path);
  else if (field->type == BGAP_SCHEMA_MAPPING)
    {
      /* Nested fields have no positions of their own: findings about them
         are reported at the mapping.  */
      struct bgap_resource_positions *positions = reader->positions;
      reader->positions = NULL;
      bgap_read_mapping (reader, node, field->schema, item + field->offset,
                         sub_path, NULL);
      reader->positions = positions;
    }
  else
    bgap_read_value (reader, node, field, item + field->offset, sub_path);
}

static void
_bgap_read_pair (struct bgap_reader *reader, const yaml_node_pair_t *pair,
                 const struct bgap_schema *schema, char *item,
                 const char *path, uint32_t *seen)
{
  const yaml_node_t *key
      = yaml_document_get_node (reader->document, pair->key);
  yaml_node_t *value = yaml_document_get_node (reader->document, pair->value);
  const char *name = bgap_read_text (key);
  if (name == NULL)
    {
      bgap_read_fail (reader, key, path, "write a field name",
                      "the name of a field must be a single word");
      return;
    }
  int index = bgap_schema_find (schema, name);
  if (index < 0)
    {
      _bgap_read_unknown_field (reader, key, schema, name, path);
      return;
    }
  const struct bgap_schema_field *field = &schema->fields[index];
  if (*seen & (1u << index))
    {
      bgap_read_fail (reader, key, path, "keep one of them",
                      "field \"%s\" is given twice", name);
      return;
    }
  *seen |= 1u << index;
  _bgap_read_add_position (reader, value, (uint32_t)index);
  _bgap_read_field (reader, value, field, item, path);
}

static bool
_bgap_read_is_key (struct bgap_reader *reader, const yaml_node_pair_t *pair,
                   const char *name)
{
  const char *text
      = bgap_read_text (yaml_document_get_node (reader->document, pair->key));
  return name != NULL && text != NULL && strcmp (text, name) == 0;
}

void
bgap_read_mapping (struct bgap_reader *reader, yaml_node_t *node,
                   const struct bgap_schema *schema, void *item,
                   const char *path, const char *skip)
{
  bgap_schema_defaults (schema, item);
  _bgap_read_add_position (reader, node, BGAP_POSITION_RESOURCE);
  if (node->type != YAML_MAPPING_NODE)
    {
      bgap_read_fail (reader, node, path, "write fields as \"name: value\"",
                      "%s needs fields", schema->name);
      return;
    }
  uint32_t seen = 0;
  for (const yaml_node_pair_t *pair = node->data.mapping.pairs.start;
       pair < node->data.mapping.pairs.top; pair++)
    {
      if (!_bgap_read_is_key (reader, pair, skip))
        _bgap_read_pair (reader, pair, schema, item, path, &seen);
    }
  for (size_t i = 0; i < schema->field_count; i++)
    if (schema->fields[i].required && !(seen & (1u << i)))
      bgap_read_fail (reader, node, path, "add the field; it has no default",
                      "field \"%s\" is missing", schema->fields[i].name);
}
