#ifndef BANYANGAP_RESOURCE_SCHEMA_H
#define BANYANGAP_RESOURCE_SCHEMA_H

/*
 * Tables that describe the fields of each kind. The reader, the diff and the
 * test of the reference page use them.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/resource/types.h"

/**
 * enum bgap_schema_type - type of a field and of the member that stores it
 */
enum bgap_schema_type
{
  BGAP_SCHEMA_NAME,          /* char [BGAP_RESOURCE_NAME_SIZE] */
  BGAP_SCHEMA_BOOL,          /* bool */
  BGAP_SCHEMA_UINT,          /* uint32_t */
  BGAP_SCHEMA_CHOICE,        /* int-sized enum, index of the choice */
  BGAP_SCHEMA_CHOICE_STRING, /* const char *, one of the choices */
  BGAP_SCHEMA_ADDRESS,       /* char [BGAP_RESOURCE_ADDRESS_SIZE] */
  BGAP_SCHEMA_DIGEST,        /* char [BGAP_RESOURCE_DIGEST_SIZE] */
  BGAP_SCHEMA_MAPPING,       /* struct described by @schema */
  BGAP_SCHEMA_LIST           /* struct *, and uint32_t at @count_offset */
};

struct bgap_schema;

/**
 * struct bgap_schema_field - one field
 * @offset: of the member in the struct
 * @count_offset: of the number of elements (LIST)
 * @min, @max: range of a UINT or of the number of elements of a LIST
 * @default_value: of a BOOL, UINT, CHOICE or CHOICE_STRING; the index for the
 * latter two
 * @choices: NULL-terminated names
 * @required: the field has no default
 * @power_of_two: the UINT must be a power of two
 * @listens: the ADDRESS is listened on and may be unspecified (0.0.0.0)
 */
struct bgap_schema_field
{
  const char *name;
  enum bgap_schema_type type;
  size_t offset;
  size_t count_offset;
  uint32_t min;
  uint32_t max;
  uint32_t default_value;
  const char *const *choices;
  const struct bgap_schema *schema;
  bool required;
  bool power_of_two;
  bool listens;
};

/**
 * struct bgap_schema - fields of a struct of @size bytes
 */
struct bgap_schema
{
  const char *name;
  size_t size;
  const struct bgap_schema_field *fields;
  size_t field_count;
};

/* Fields per schema; the reader has a bit for each in a uint32_t.  */
#define BGAP_SCHEMA_FIELDS_MAX 32

/* Servers in one list.  */
#define BGAP_SCHEMA_SERVERS_MAX 4096

/**
 * bgap_schema_kinds - schema of each kind, without the field "kind"
 */
extern const struct bgap_schema
    *const bgap_schema_kinds[BGAP_RESOURCE_KIND_COUNT];

/**
 * bgap_schema_settings - schema of struct bgap_settings
 */
extern const struct bgap_schema bgap_schema_settings;

/**
 * bgap_schema_find() - index of a field, or -1
 */
int bgap_schema_find (const struct bgap_schema *schema, const char *name);

/**
 * bgap_schema_defaults() - fill a zeroed struct with the defaults
 */
void bgap_schema_defaults (const struct bgap_schema *schema, void *item);

#endif
