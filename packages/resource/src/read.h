#ifndef BANYANGAP_RESOURCE_READ_H
#define BANYANGAP_RESOURCE_READ_H

/*
 * Reads YAML nodes into structs as their schema says and collects findings.
 */

#include <yaml.h>

#include "banyangap/resource/findings.h"
#include "marks.h"
#include "schema.h"

/**
 * struct bgap_reader - one document
 * @marks: gets the positions of the fields; may be NULL
 * @key: kind and index for these positions
 * @servers_left: list elements that may still be read
 * @failed: a finding was added
 * @no_memory: an allocation failed
 */
struct bgap_reader
{
  yaml_document_t *document;
  const char *file;
  struct bgap_findings *findings;
  struct bgap_resource_marks *marks;
  struct bgap_mark_key key;
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
 * bgap_read_mapping() - read a mapping into a struct with its defaults
 * @item: zeroed struct
 * @skip: name of a key that the caller has read already, or NULL
 */
void bgap_read_mapping (struct bgap_reader *reader, yaml_node_t *node,
                        const struct bgap_schema *schema, void *item,
                        const char *path, const char *skip);

/**
 * bgap_read_value() - read a scalar field, in read_value.c
 */
void bgap_read_value (struct bgap_reader *reader, const yaml_node_t *node,
                      const struct bgap_schema_field *field, char *member,
                      const char *path);

/**
 * bgap_read_text() - text of a scalar node
 *
 * Return: NULL if it is no scalar or contains a zero byte.
 */
const char *bgap_read_text (const yaml_node_t *node);

#endif
