#include "banyangap/resource/findings.h"

#include "text.h"

json_t *
bgap_findings_to_json (const struct bgap_findings *findings)
{
  json_t *array = json_array ();
  for (uint32_t i = 0; array != NULL && i < findings->count; i++)
    {
      const struct bgap_finding *item = &findings->items[i];
      json_t *object = json_pack (
          "{s:s, s:I, s:I, s:s, s:s, s:s}", "file", item->file, "line",
          (json_int_t)item->line, "column", (json_int_t)item->column, "path",
          item->path, "message", item->message, "remedy", item->remedy);
      if (object == NULL || json_array_append_new (array, object) != 0)
        {
          json_decref (array);
          return NULL;
        }
    }
  return array;
}

static void
_bgap_findings_get_text (const json_t *object, const char *name, char *to,
                         size_t size)
{
  const char *text = json_string_value (json_object_get (object, name));
  if (text != NULL)
    bgap_text_copy (to, size, text);
}

static uint32_t
_bgap_findings_get_number (const json_t *object, const char *name)
{
  json_int_t value = json_integer_value (json_object_get (object, name));
  return value > 0 && value <= UINT32_MAX ? (uint32_t)value : 0;
}

void
bgap_findings_from_json (struct bgap_findings *findings, const json_t *array)
{
  for (size_t i = 0; i < json_array_size (array); i++)
    {
      const json_t *object = json_array_get (array, i);
      struct bgap_finding item = {
        .line = _bgap_findings_get_number (object, "line"),
        .column = _bgap_findings_get_number (object, "column"),
      };
      _bgap_findings_get_text (object, "file", item.file, sizeof item.file);
      _bgap_findings_get_text (object, "path", item.path, sizeof item.path);
      _bgap_findings_get_text (object, "message", item.message,
                               sizeof item.message);
      _bgap_findings_get_text (object, "remedy", item.remedy,
                               sizeof item.remedy);
      bgap_findings_add (findings, &item);
    }
}
