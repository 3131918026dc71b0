#include "banyangap/base/json.h"

enum bgap_status
bgap_json_int (const json_t *object, const char *name, int64_t *value,
               struct bgap_error *err)
{
  const json_t *member = json_object_get (object, name);
  if (!json_is_integer (member))
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "member \"%s\" is missing or not an integer", name);
  *value = json_integer_value (member);
  return BGAP_OK;
}

enum bgap_status
bgap_json_string (const json_t *object, const char *name, const char **value,
                  struct bgap_error *err)
{
  const json_t *member = json_object_get (object, name);
  if (!json_is_string (member))
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "member \"%s\" is missing or not a string", name);
  *value = json_string_value (member);
  return BGAP_OK;
}

enum bgap_status
bgap_json_parse (const char *bytes, size_t size, json_t **object,
                 struct bgap_error *err)
{
  json_error_t json_err;
  json_t *parsed = json_loadb (bytes, size, JSON_REJECT_DUPLICATES, &json_err);
  if (parsed == NULL)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL, "line %d, column %d: %s",
                           json_err.line, json_err.column, json_err.text);
  if (!json_is_object (parsed))
    {
      json_decref (parsed);
      return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                             "the text is not a JSON object");
    }
  *object = parsed;
  return BGAP_OK;
}
