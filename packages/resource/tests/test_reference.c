#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "schema.h"
#include "support.h"

static const char *const type_names[] = {
  [BGAP_SCHEMA_NAME] = "name",
  [BGAP_SCHEMA_BOOL] = "truth value",
  [BGAP_SCHEMA_UINT] = "number",
  [BGAP_SCHEMA_CHOICE] = "choice",
  [BGAP_SCHEMA_CHOICE_STRING] = "choice",
  [BGAP_SCHEMA_ADDRESS] = "address",
  [BGAP_SCHEMA_DIGEST] = "digest",
  [BGAP_SCHEMA_MAPPING] = "fields",
  [BGAP_SCHEMA_LIST] = "list",
};

static void
_print_default (const struct bgap_schema_field *field, struct bgap_buffer *out)
{
  if (field->required)
    bgap_buffer_printf (out, "required");
  else if (field->type == BGAP_SCHEMA_BOOL)
    bgap_buffer_printf (out, "%s", field->default_value ? "true" : "false");
  else if (field->type == BGAP_SCHEMA_UINT
           && field->default_value < field->min)
    bgap_buffer_printf (out, "derived");
  else if (field->type == BGAP_SCHEMA_UINT)
    bgap_buffer_printf (out, "%u", field->default_value);
  else if (field->choices != NULL)
    bgap_buffer_printf (out, "%s", field->choices[field->default_value]);
  else
    bgap_buffer_printf (out, "%s",
                        field->type == BGAP_SCHEMA_MAPPING ? "-" : "none");
}

static void
_print_limits (const struct bgap_schema_field *field, struct bgap_buffer *out)
{
  if (field->type == BGAP_SCHEMA_UINT || field->type == BGAP_SCHEMA_LIST)
    bgap_buffer_printf (out, "%u to %u%s%s", field->min, field->max,
                        field->power_of_two ? ", power of two" : "",
                        field->type == BGAP_SCHEMA_LIST ? " elements" : "");
  else if (field->choices != NULL)
    for (size_t i = 0; field->choices[i] != NULL; i++)
      bgap_buffer_printf (out, "%s`%s`", i > 0 ? ", " : "", field->choices[i]);
  else
    bgap_buffer_printf (out, "-");
}

/* Text between the heading @name and the next heading; the caller frees
   it.  */
static char *
_copy_section (const char *page, const char *name)
{
  struct bgap_buffer heading = { 0 };
  bgap_buffer_printf (&heading, "# %s\n", name);
  const char *start = strstr (page, heading.data);
  char *section = NULL;
  if (start == NULL)
    fail_msg ("no section %s", name);
  else
    {
      start += heading.size;
      const char *end = strstr (start, "\n#");
      section = strndup (start, end ? (size_t)(end - start) : strlen (start));
    }
  bgap_buffer_shutdown (&heading);
  return section;
}

static void
_check_schema (const char *page, const struct bgap_schema *schema)
{
  char *section = _copy_section (page, schema->name);
  size_t rows = 0;
  for (const char *row = section; (row = strstr (row, "\n| `")); row++)
    rows++;
  assert_int_equal (rows, schema->field_count);
  assert_true (schema->field_count < BGAP_SCHEMA_FIELDS_MAX - 1);
  for (size_t i = 0; i < schema->field_count; i++)
    {
      const struct bgap_schema_field *field = &schema->fields[i];
      struct bgap_buffer row = { 0 };
      bgap_buffer_printf (&row, "\n| `%s` | %s | ", field->name,
                          type_names[field->type]);
      _print_default (field, &row);
      bgap_buffer_printf (&row, " | ");
      _print_limits (field, &row);
      bgap_buffer_printf (&row, " | ");
      if (strstr (section, row.data) == NULL)
        fail_msg ("section %s has no row %s", schema->name, row.data);
      bgap_buffer_shutdown (&row);
      if (field->schema != NULL)
        _check_schema (page, field->schema);
    }
  free (section);
}

/* Guards against a reference page that lacks a field, or whose type, default
   or limits of a field differ from those of the parser.  */
static void
test_reference_page_matches_the_schema (void **state)
{
  (void)state;
  struct bgap_buffer page = { 0 };
  support_read ("../../../docs/resources.md", &page);
  for (size_t kind = 0; kind < BGAP_RESOURCE_KIND_COUNT; kind++)
    _check_schema (page.data, bgap_schema_kinds[kind]);
  _check_schema (page.data, &bgap_schema_settings);
  bgap_buffer_shutdown (&page);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_reference_page_matches_the_schema),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
