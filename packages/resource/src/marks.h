#ifndef BANYANGAP_RESOURCE_MARKS_H
#define BANYANGAP_RESOURCE_MARKS_H

/*
 * Positions of the fields of a set in their texts, for findings of the
 * validation.
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/status.h"
#include "banyangap/resource/findings.h"
#include "banyangap/resource/types.h"

/* Stands for the resource itself instead of one of its fields.  */
#define BGAP_MARK_WHOLE 31

/**
 * struct bgap_mark_key - what a position belongs to
 * @index: of the resource in the array of its kind
 * @element: 1 + index of the list element, 0 if the field is not in a list
 * @field: index in the schema, or BGAP_MARK_WHOLE
 */
struct bgap_mark_key
{
  enum bgap_resource_kind kind;
  uint32_t index;
  uint32_t element;
  uint32_t field;
};

/**
 * struct bgap_resource_marks - all positions
 * @incomplete: a document was left out because of findings, so that a missing
 * resource is not a finding
 */
struct bgap_resource_marks
{
  struct bgap_mark *items;
  uint32_t count;
  uint32_t capacity;
  char (*files)[BGAP_FINDING_FILE_SIZE];
  uint32_t file_count;
  bool incomplete;
};

/**
 * bgap_marks_add_file() - following positions belong to this text
 */
enum bgap_status bgap_marks_add_file (struct bgap_resource_marks *marks,
                                      const char *file);

/**
 * bgap_marks_add() - store a position in the last text added
 */
enum bgap_status bgap_marks_add (struct bgap_resource_marks *marks,
                                 const struct bgap_mark_key *key,
                                 uint32_t line, uint32_t column);

/**
 * bgap_marks_find() - fill file, line and column of @finding
 *
 * Falls back to the position of the whole resource; without any position the
 * members stay as they are.
 */
void bgap_marks_find (const struct bgap_resource_marks *marks,
                      const struct bgap_mark_key *key,
                      struct bgap_finding *finding);

/**
 * bgap_marks_drop() - forget all positions but the first @count
 */
void bgap_marks_drop (struct bgap_resource_marks *marks, uint32_t count);

/**
 * bgap_marks_free() - free; NULL is allowed
 */
void bgap_marks_free (struct bgap_resource_marks *marks);

#endif
