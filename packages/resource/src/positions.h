#ifndef BANYANGAP_RESOURCE_POSITIONS_H
#define BANYANGAP_RESOURCE_POSITIONS_H

/*
 * Positions of the fields of a set in the texts they were parsed from, for
 * the findings of the validation.
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/status.h"
#include "banyangap/resource/findings.h"
#include "banyangap/resource/types.h"

/* Field index that denotes the resource or list element as a whole.  */
#define BGAP_POSITION_RESOURCE 31

/**
 * struct bgap_position_key - resource or field at a position
 * @index: of the resource in the array of its kind
 * @element: 1 + index of the list element, 0 if the field is not in a list
 * @field: index in the schema, or BGAP_POSITION_RESOURCE
 */
struct bgap_position_key
{
  enum bgap_resource_kind kind;
  uint32_t index;
  uint32_t element;
  uint32_t field;
};

/**
 * struct bgap_resource_positions - positions of a set
 * @incomplete: a document was left out because of findings, so a reference to
 * a missing resource is not reported
 */
struct bgap_resource_positions
{
  struct bgap_position *items;
  uint32_t count;
  uint32_t capacity;
  char (*files)[BGAP_FINDING_FILE_SIZE];
  uint32_t file_count;
  bool incomplete;
};

/**
 * bgap_positions_add_file() - start a text; positions added later refer to
 * it
 */
enum bgap_status
bgap_positions_add_file (struct bgap_resource_positions *positions,
                         const char *file);

/**
 * bgap_positions_add() - add a position in the text started last
 */
enum bgap_status bgap_positions_add (struct bgap_resource_positions *positions,
                                     const struct bgap_position_key *key,
                                     uint32_t line, uint32_t column);

/**
 * bgap_positions_find() - fill file, line and column of @finding
 *
 * If the field has no position, that of the resource or list element is used;
 * if there is none either, the members stay unchanged.
 */
void bgap_positions_find (const struct bgap_resource_positions *positions,
                          const struct bgap_position_key *key,
                          struct bgap_finding *finding);

/**
 * bgap_positions_truncate() - discard all positions after the first @count
 */
void bgap_positions_truncate (struct bgap_resource_positions *positions,
                              uint32_t count);

/**
 * bgap_positions_free() - free the positions; NULL is allowed
 */
void bgap_positions_free (struct bgap_resource_positions *positions);

#endif
