#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "read.h"
#include "text.h"

/* Digits of the largest 32-bit value.  */
#define DIGITS_MAX 10

/* Buffer size for the list of choices in a remedy.  */
#define CHOICES_SIZE 96

/* Longest quotation of a wrong value, in bytes.  */
#define QUOTED_MAX 40

const char *
bgap_read_text (const yaml_node_t *node)
{
  if (node->type != YAML_SCALAR_NODE)
    return NULL;
  const char *text = (const char *)node->data.scalar.value;
  return strlen (text) == node->data.scalar.length ? text : NULL;
}

static bool
_bgap_read_is_plain (const yaml_node_t *node)
{
  return node->data.scalar.style == YAML_PLAIN_SCALAR_STYLE;
}

static void
_bgap_read_bool (struct bgap_reader *reader, const yaml_node_t *node,
                 const char *text, char *member, const char *path)
{
  const bool yes = strcmp (text, "true") == 0;
  if (!_bgap_read_is_plain (node) || (!yes && strcmp (text, "false") != 0))
    {
      bgap_read_fail (reader, node, path, "write true or false",
                      "\"%.*s\" is not a truth value", QUOTED_MAX, text);
      return;
    }
  memcpy (member, &yes, sizeof yes);
}

static void
_bgap_read_uint (struct bgap_reader *reader, const yaml_node_t *node,
                 const char *text, const struct bgap_schema_field *field,
                 char *member, const char *path)
{
  char remedy[BGAP_FINDING_REMEDY_SIZE];
  snprintf (remedy, sizeof remedy, "write a %s from %u to %u",
            field->power_of_two ? "power of two" : "number", field->min,
            field->max);
  size_t length = strlen (text);
  if (!_bgap_read_is_plain (node) || length == 0
      || strspn (text, "0123456789") != length
      || (length > 1 && text[0] == '0'))
    {
      bgap_read_fail (reader, node, path, remedy,
                      "\"%.*s\" is not a whole number", QUOTED_MAX, text);
      return;
    }
  unsigned long long value
      = length <= DIGITS_MAX ? strtoull (text, NULL, 10) : UINT64_MAX;
  if (value < field->min || value > field->max)
    {
      bgap_read_fail (reader, node, path, remedy, "%.*s is out of range",
                      QUOTED_MAX, text);
      return;
    }
  if (field->power_of_two && (value & (value - 1)) != 0)
    {
      bgap_read_fail (reader, node, path, remedy, "%llu is no power of two",
                      value);
      return;
    }
  const uint32_t number = (uint32_t)value;
  memcpy (member, &number, sizeof number);
}

static void
_bgap_read_choice (struct bgap_reader *reader, const yaml_node_t *node,
                   const char *text, const struct bgap_schema_field *field,
                   char *member, const char *path)
{
  char choices[CHOICES_SIZE] = "";
  size_t used = 0;
  for (uint32_t i = 0; field->choices[i] != NULL; i++)
    {
      if (strcmp (text, field->choices[i]) == 0)
        {
          if (field->type == BGAP_SCHEMA_CHOICE_STRING)
            memcpy (member, &field->choices[i], sizeof *field->choices);
          else
            memcpy (member, &i, sizeof i);
          return;
        }
      used += (size_t)snprintf (choices + used, sizeof choices - used, "%s%s",
                                i > 0 ? ", " : "", field->choices[i]);
    }
  char remedy[BGAP_FINDING_REMEDY_SIZE];
  snprintf (remedy, sizeof remedy, "write one of: %s", choices);
  bgap_read_fail (reader, node, path, remedy, "\"%.*s\" is not a known value",
                  QUOTED_MAX, text);
}

static void
_bgap_read_name (struct bgap_reader *reader, const yaml_node_t *node,
                 const char *text, char *member, const char *path)
{
  if (bgap_text_is_name (text))
    {
      bgap_text_copy (member, BGAP_RESOURCE_NAME_SIZE, text);
      return;
    }
  bgap_read_fail (reader, node, path,
                  "use 1 to 63 of a-z, 0-9 and '-', not starting with '-'",
                  "\"%.*s\" is not a valid name", QUOTED_MAX, text);
}

static void
_bgap_read_address (struct bgap_reader *reader, const yaml_node_t *node,
                    const char *text, const struct bgap_schema_field *field,
                    char *member, const char *path)
{
  bool unspecified = false;
  char address[BGAP_RESOURCE_ADDRESS_SIZE];
  if (!bgap_text_address (text, address, &unspecified))
    {
      bgap_read_fail (reader, node, path,
                      "write a numeric address as 10.0.0.1:8080 or "
                      "[fd00::1]:8080; host names are not looked up",
                      "\"%.*s\" is not a numeric IP address with port",
                      QUOTED_MAX, text);
      return;
    }
  if (unspecified && !field->listens)
    {
      bgap_read_fail (reader, node, path,
                      "write the address under which the other side listens",
                      "%s cannot be connected to", address);
      return;
    }
  bgap_text_copy (member, BGAP_RESOURCE_ADDRESS_SIZE, address);
}

void
bgap_read_value (struct bgap_reader *reader, const yaml_node_t *node,
                 const struct bgap_schema_field *field, char *member,
                 const char *path)
{
  const char *text = bgap_read_text (node);
  if (text == NULL)
    {
      bgap_read_fail (reader, node, path, "write a single value",
                      "the field needs a single value");
      return;
    }
  switch (field->type)
    {
    case BGAP_SCHEMA_NAME:
      _bgap_read_name (reader, node, text, member, path);
      break;
    case BGAP_SCHEMA_BOOL:
      _bgap_read_bool (reader, node, text, member, path);
      break;
    case BGAP_SCHEMA_UINT:
      _bgap_read_uint (reader, node, text, field, member, path);
      break;
    case BGAP_SCHEMA_ADDRESS:
      _bgap_read_address (reader, node, text, field, member, path);
      break;
    case BGAP_SCHEMA_DIGEST:
      if (bgap_text_is_digest (text))
        bgap_text_copy (member, BGAP_RESOURCE_DIGEST_SIZE, text);
      else
        bgap_read_fail (reader, node, path,
                        "write the SHA-256 digest of the token, never the "
                        "token: printf %s TOKEN | sha256sum",
                        "not a SHA-256 digest of 64 hexadecimal digits");
      break;
    default:
      _bgap_read_choice (reader, node, text, field, member, path);
      break;
    }
}
