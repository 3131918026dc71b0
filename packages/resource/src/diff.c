#include <stdio.h>
#include <string.h>

#include "array.h"
#include "diff.h"
#include "text.h"

/* Buffer size for a printed value.  */
#define VALUE_SIZE 72

static void
_bgap_diff_print_value (const struct bgap_schema_field *field,
                        const char *member, char *text)
{
  uint32_t number;
  bool yes;
  const char *word;
  switch (field->type)
    {
    case BGAP_SCHEMA_BOOL:
      memcpy (&yes, member, sizeof yes);
      bgap_text_printf (text, VALUE_SIZE, "%s", yes ? "true" : "false");
      break;
    case BGAP_SCHEMA_UINT:
      memcpy (&number, member, sizeof number);
      bgap_text_printf (text, VALUE_SIZE, "%u", number);
      break;
    case BGAP_SCHEMA_CHOICE:
      memcpy (&number, member, sizeof number);
      bgap_text_printf (text, VALUE_SIZE, "%s", field->choices[number]);
      break;
    case BGAP_SCHEMA_CHOICE_STRING:
      memcpy (&word, member, sizeof word);
      bgap_text_printf (text, VALUE_SIZE, "%s", word);
      break;
    default:
      bgap_text_printf (text, VALUE_SIZE, "%s", member[0] ? member : "none");
      break;
    }
}

static enum bgap_status _bgap_diff_fields (const struct bgap_schema *schema,
                                           const char *before,
                                           const char *after, const char *path,
                                           struct bgap_buffer *out);

static const char *
_bgap_diff_find_server (const struct bgap_resource_servers *list,
                        const char *name)
{
  for (uint32_t i = 0; i < list->server_count; i++)
    if (strcmp (list->servers[i].name, name) == 0)
      return (const char *)&list->servers[i];
  return NULL;
}

/* Servers are the only list; they are matched by name, which is unique.  */
static enum bgap_status
_bgap_diff_list (const struct bgap_schema *schema,
                 const struct bgap_resource_servers *before,
                 const struct bgap_resource_servers *after, const char *path,
                 struct bgap_buffer *out)
{
  enum bgap_status status = BGAP_OK;
  for (uint32_t i = 0; i < before->server_count && status == BGAP_OK; i++)
    if (_bgap_diff_find_server (after, before->servers[i].name) == NULL)
      status = bgap_buffer_printf (out, "- %s.%s\n", path,
                                   before->servers[i].name);
  for (uint32_t i = 0; i < after->server_count && status == BGAP_OK; i++)
    {
      const struct bgap_resource_server *server = &after->servers[i];
      const char *old = _bgap_diff_find_server (before, server->name);
      char sub_path[BGAP_FINDING_PATH_SIZE * 2];
      bgap_text_printf (sub_path, sizeof sub_path, "%s.%s", path,
                        server->name);
      status = old == NULL
                   ? bgap_buffer_printf (out, "+ %s: %s in %s\n", sub_path,
                                         server->address, server->zone)
                   : _bgap_diff_fields (schema, old, (const char *)server,
                                        sub_path, out);
    }
  return status;
}

static enum bgap_status
_bgap_diff_fields (const struct bgap_schema *schema, const char *before,
                   const char *after, const char *path,
                   struct bgap_buffer *out)
{
  enum bgap_status status = BGAP_OK;
  for (size_t i = 0; i < schema->field_count && status == BGAP_OK; i++)
    {
      const struct bgap_schema_field *field = &schema->fields[i];
      char sub_path[BGAP_FINDING_PATH_SIZE * 2];
      bgap_text_printf (sub_path, sizeof sub_path, "%s.%s", path, field->name);
      if (field->type == BGAP_SCHEMA_MAPPING)
        status = _bgap_diff_fields (field->schema, before + field->offset,
                                    after + field->offset, sub_path, out);
      else if (field->type == BGAP_SCHEMA_LIST)
        status = _bgap_diff_list (
            field->schema, (const struct bgap_resource_servers *)before,
            (const struct bgap_resource_servers *)after, sub_path, out);
      else
        {
          char old[VALUE_SIZE];
          char new[VALUE_SIZE];
          _bgap_diff_print_value (field, before + field->offset, old);
          _bgap_diff_print_value (field, after + field->offset, new);
          if (strcmp (old, new) != 0)
            status = bgap_buffer_printf (out, "~ %s: %s -> %s\n", sub_path,
                                         old, new);
        }
    }
  return status;
}

static bool
_bgap_diff_is_other_owner (const void *item, const char *owner)
{
  return owner != NULL && strcmp (bgap_array_owner (item), owner) != 0;
}

static enum bgap_status
_bgap_diff_kind (const struct bgap_resource_set *before,
                 const struct bgap_resource_set *after, int kind,
                 const char *owner, struct bgap_buffer *out)
{
  const char *kind_name = bgap_schema_kinds[kind]->name;
  enum bgap_status status = BGAP_OK;
  for (uint32_t i = 0;
       i < bgap_array_count (before, kind) && status == BGAP_OK; i++)
    {
      const void *item = bgap_array_item (before, kind, i);
      const char *name = bgap_array_name (item);
      if (!_bgap_diff_is_other_owner (item, owner)
          && bgap_array_find (after, kind, bgap_array_owner (item), name,
                              bgap_array_count (after, kind))
                 < 0)
        status = bgap_buffer_printf (out, "- %s/%s\n", kind_name, name);
    }
  for (uint32_t i = 0; i < bgap_array_count (after, kind) && status == BGAP_OK;
       i++)
    {
      const void *item = bgap_array_item (after, kind, i);
      const char *name = bgap_array_name (item);
      if (_bgap_diff_is_other_owner (item, owner))
        continue;
      int64_t old = bgap_array_find (before, kind, bgap_array_owner (item),
                                     name, bgap_array_count (before, kind));
      char path[BGAP_FINDING_PATH_SIZE];
      bgap_text_printf (path, sizeof path, "%s/%s", kind_name, name);
      if (old < 0)
        status = bgap_buffer_printf (out, "+ %s\n", path);
      else
        status = _bgap_diff_fields (
            bgap_schema_kinds[kind],
            bgap_array_item (before, kind, (uint32_t)old), item, path, out);
    }
  return status;
}

enum bgap_status
bgap_diff_owner (const struct bgap_resource_set *before,
                 const struct bgap_resource_set *after, const char *owner,
                 struct bgap_buffer *out)
{
  enum bgap_status status = BGAP_OK;
  for (int kind = 0; kind < BGAP_RESOURCE_KIND_COUNT && status == BGAP_OK;
       kind++)
    status = _bgap_diff_kind (before, after, kind, owner, out);
  return status;
}

enum bgap_status
bgap_resource_diff (const struct bgap_resource_set *before,
                    const struct bgap_resource_set *after,
                    struct bgap_buffer *out)
{
  return bgap_diff_owner (before, after, NULL, out);
}
