#include <stdio.h>
#include <string.h>
#include <yaml.h>

#include "array.h"
#include "positions.h"
#include "read.h"
#include "scan.h"
#include "text.h"

static const char kind_remedy[]
    = "write kind: owner, zone, ownership_policy, service or backend_servers";

/* A document without content, as between two consecutive "---" lines.  */
static bool
_bgap_parse_is_empty (const yaml_node_t *root)
{
  return root->type == YAML_SCALAR_NODE && root->data.scalar.length == 0
         && root->data.scalar.style == YAML_PLAIN_SCALAR_STYLE;
}

/* Value of the first field @name. Adds a finding for each repetition.  */
static yaml_node_t *
_bgap_parse_find_field (struct bgap_reader *reader, const yaml_node_t *root,
                        const char *name)
{
  yaml_node_t *found = NULL;
  if (root->type != YAML_MAPPING_NODE)
    return NULL;
  for (const yaml_node_pair_t *pair = root->data.mapping.pairs.start;
       pair < root->data.mapping.pairs.top; pair++)
    {
      const yaml_node_t *key
          = yaml_document_get_node (reader->document, pair->key);
      const char *text = bgap_read_text (key);
      if (text == NULL || strcmp (text, name) != 0)
        continue;
      if (found != NULL)
        bgap_read_fail (reader, key, "", "keep one of them",
                        "field \"%s\" is given twice", name);
      else
        found = yaml_document_get_node (reader->document, pair->value);
    }
  return found;
}

static int
_bgap_parse_kind (struct bgap_reader *reader, const yaml_node_t *root)
{
  const yaml_node_t *node = _bgap_parse_find_field (reader, root, "kind");
  if (node == NULL)
    {
      bgap_read_fail (reader, root, "", kind_remedy,
                      root->type == YAML_MAPPING_NODE
                          ? "field \"kind\" is missing"
                          : "a document must consist of fields");
      return -1;
    }
  const char *text = bgap_read_text (node);
  for (int kind = 0; text != NULL && kind < BGAP_RESOURCE_KIND_COUNT; kind++)
    if (strcmp (text, bgap_schema_kinds[kind]->name) == 0)
      return kind;
  bgap_read_fail (reader, node, "kind", kind_remedy, "unknown kind \"%.40s\"",
                  text ? text : "");
  return -1;
}

static void
_bgap_parse_document (struct bgap_resource_set *set,
                      struct bgap_reader *reader, yaml_node_t *root)
{
  int kind = _bgap_parse_kind (reader, root);
  if (kind < 0)
    {
      set->positions->incomplete = true;
      return;
    }
  if (bgap_array_count_all (set) >= set->limits.documents_max)
    {
      bgap_read_fail (reader, root, "", "remove resources",
                      "more than %u resources", set->limits.documents_max);
      set->positions->incomplete = true;
      return;
    }
  const yaml_node_t *name_node = _bgap_parse_find_field (reader, root, "name");
  const char *name = name_node ? bgap_read_text (name_node) : NULL;
  char path[BGAP_FINDING_PATH_SIZE];
  bgap_text_printf (path, sizeof path, "%s/%.63s",
                    bgap_schema_kinds[kind]->name,
                    name && bgap_text_is_name (name) ? name : "?");
  void *item = bgap_array_add (set, kind);
  if (item == NULL)
    {
      reader->no_memory = true;
      return;
    }
  reader->key = (struct bgap_position_key){
    .kind = kind,
    .index = bgap_array_count (set, kind) - 1,
  };
  const uint32_t position_count = set->positions->count;
  reader->positions = set->positions;
  bgap_read_mapping (reader, root, bgap_schema_kinds[kind], item, path,
                     "kind");
  /* Without name and owner, references to and from the resource cannot be
     checked.  */
  if (bgap_array_name (item)[0] != '\0' && bgap_array_owner (item)[0] != '\0')
    return;
  bgap_array_remove_last (set, kind);
  bgap_positions_truncate (set->positions, position_count);
  set->positions->incomplete = true;
}

static enum bgap_status
_bgap_parse_documents (struct bgap_resource_set *set, yaml_parser_t *parser,
                       const char *file, struct bgap_findings *findings)
{
  bool failed = false;
  for (bool end = false; !end;)
    {
      yaml_document_t document;
      if (!yaml_parser_load (parser, &document))
        return bgap_scan_syntax (parser, file, findings);
      struct bgap_reader reader = {
        .document = &document,
        .file = file,
        .findings = findings,
        .servers_left
        = set->limits.servers_max - bgap_array_count_servers (set),
      };
      yaml_node_t *root = yaml_document_get_root_node (&document);
      end = root == NULL;
      if (root != NULL && !_bgap_parse_is_empty (root))
        _bgap_parse_document (set, &reader, root);
      failed = failed || reader.failed;
      yaml_document_delete (&document);
      if (reader.no_memory)
        return BGAP_ERR_NO_MEMORY;
    }
  return failed ? BGAP_ERR_INVALID : BGAP_OK;
}

enum bgap_status
bgap_resource_parse (struct bgap_resource_set *set, const char *text,
                     size_t size, const char *file,
                     struct bgap_findings *findings)
{
  const struct bgap_scan_limits limits = {
    .text_max = set->limits.text_max,
    .documents_max = set->limits.documents_max,
    .nodes_max = set->limits.nodes_max,
  };
  if (set->positions == NULL)
    return BGAP_ERR_INVALID;
  enum bgap_status status = bgap_scan (text, size, file, &limits, findings);
  if (status == BGAP_ERR_INVALID)
    set->positions->incomplete = true;
  if (status == BGAP_OK)
    status = bgap_positions_add_file (set->positions, file);
  if (status != BGAP_OK)
    return status;
  yaml_parser_t parser;
  if (!yaml_parser_initialize (&parser))
    return BGAP_ERR_NO_MEMORY;
  yaml_parser_set_input_string (&parser, (const unsigned char *)text, size);
  status = _bgap_parse_documents (set, &parser, file, findings);
  yaml_parser_delete (&parser);
  return status;
}
