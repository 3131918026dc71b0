#include "schema.h"

#include <string.h>

int
bgap_schema_find (const struct bgap_schema *schema, const char *name)
{
  for (size_t i = 0; i < schema->field_count; i++)
    if (strcmp (schema->fields[i].name, name) == 0)
      return (int)i;
  return -1;
}

static void
_bgap_schema_default (const struct bgap_schema_field *field, char *member)
{
  const bool yes = field->default_value != 0;
  switch (field->type)
    {
    case BGAP_SCHEMA_BOOL:
      memcpy (member, &yes, sizeof yes);
      break;
    case BGAP_SCHEMA_UINT:
    case BGAP_SCHEMA_CHOICE:
      memcpy (member, &field->default_value, sizeof field->default_value);
      break;
    case BGAP_SCHEMA_CHOICE_STRING:
      memcpy (member, &field->choices[field->default_value],
              sizeof *field->choices);
      break;
    case BGAP_SCHEMA_MAPPING:
      bgap_schema_defaults (field->schema, member);
      break;
    default:
      break;
    }
}

void
bgap_schema_defaults (const struct bgap_schema *schema, void *item)
{
  for (size_t i = 0; i < schema->field_count; i++)
    _bgap_schema_default (&schema->fields[i],
                          (char *)item + schema->fields[i].offset);
}
