#ifndef BANYANGAP_RESOURCE_READ_H
#define BANYANGAP_RESOURCE_READ_H

/*
 * Reads YAML nodes into structs according to a schema and collects findings.
 */

#include <yaml.h>

#include "banyangap/resource/findings.h"
#include "positions.h"
#include "schema.h"

/**
 * struct bgap_reader - state of reading one document
 * @positions: gets the positions of the fields; may be NULL
 * @key: resource that these positions belong to
 * @servers_left: servers that can be added before the limit is reached
 * @failed: a finding was added
 * @no_memory: an allocation failed
 */
struct bgap_reader
{
  yaml_document_t *document;
  const char *file;
  struct bgap_findings *findings;
  struct bgap_resource_positions *positions;
  struct bgap_position_key key;
  uint32_t servers_left;
  bool failed;
  bool no_memory;
};

/**
 * bgap_read_fail() - add a finding at @node
 */
void bgap_read_fail (struct bgap_reader *reader, const yaml_node_t *node,
                     const char *path, const char *remedy, const char *format,
                     ...) __attribute__ ((format (printf, 5, 6)));

/**
 * bgap_read_mapping() - fill a struct with the defaults and a mapping's fields
 * @item: zeroed struct
 * @skip: name of a key to ignore because the caller has read it, or NULL
 */
void bgap_read_mapping (struct bgap_reader *reader, yaml_node_t *node,
                        const struct bgap_schema *schema, void *item,
                        const char *path, const char *skip);

/**
 * bgap_read_value() - read the value of a scalar field (read_value.c)
 */
void bgap_read_value (struct bgap_reader *reader, const yaml_node_t *node,
                      const struct bgap_schema_field *field, char *member,
                      const char *path);

/**
 * bgap_read_text() - text of a scalar node
 *
 * Return: NULL if the node is not a scalar or contains a zero byte.
 */
const char *bgap_read_text (const yaml_node_t *node);

#endif
