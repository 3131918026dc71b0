#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/hash.h"
#include "config_state.h"

/* Sorted keys give equal states equal texts. ASCII allows a snapshot to be
   split into parts at any byte.  */
#define DUMP_FLAGS (JSON_COMPACT | JSON_ENSURE_ASCII | JSON_SORT_KEYS)

static enum bgap_status
_bgap_config_dump (json_t *object, struct bgap_buffer *out)
{
  char *text = object ? json_dumps (object, DUMP_FLAGS) : NULL;
  json_decref (object);
  if (text == NULL)
    return BGAP_ERR_NO_MEMORY;
  enum bgap_status status = bgap_buffer_append (out, text, strlen (text));
  free (text);
  return status;
}

enum bgap_status
bgap_config_encode (const char *owner, int64_t based_on, const char *documents,
                    const char *operator, struct bgap_buffer * out)
{
  json_t *check = json_pack ("[s, s, s]", owner, documents, operator);
  if (check == NULL)
    return BGAP_ERR_INVALID;
  json_decref (check);
  return _bgap_config_dump (
      json_pack ("{s:s, s:i, s:s, s:I, s:s, s:s}", "type", "config", "schema",
                 BGAP_CONFIG_SCHEMA, "owner", owner, "based_on",
                 (json_int_t)based_on, "documents", documents,
                 "operator", operator),
      out);
}

static json_t *
_bgap_config_owner_json (const struct bgap_config_owner *owner)
{
  json_t *slices = json_object ();
  for (uint32_t i = 0; i < owner->slices_count; i++)
    if (json_object_set_new (slices, owner->slices[i].service,
                             json_integer (owner->slices[i].slices))
        != 0)
      {
        json_decref (slices);
        return NULL;
      }
  return json_pack ("{s:s, s:I, s:s, s:s, s:o}", "name", owner->name,
                    "version", (json_int_t)owner->version, "operator",
                    owner->operator, "documents", owner->documents, "slices",
                    slices);
}

enum bgap_status
bgap_config_snapshot_data (const struct bgap_config *config,
                           struct bgap_buffer *out)
{
  json_t *owners = json_array ();
  for (uint32_t i = 0; i < config->owner_count; i++)
    if (json_array_append_new (owners,
                               _bgap_config_owner_json (&config->owners[i]))
        != 0)
      {
        json_decref (owners);
        return BGAP_ERR_NO_MEMORY;
      }
  return _bgap_config_dump (
      json_pack ("{s:i, s:I, s:o}", "schema", BGAP_CONFIG_SCHEMA, "as_of",
                 (json_int_t)config->applied, "owners", owners),
      out);
}

uint32_t
bgap_config_snapshot_parts (size_t size)
{
  return (uint32_t)((size + BGAP_CONFIG_PART_SIZE - 1)
                    / BGAP_CONFIG_PART_SIZE);
}

enum bgap_status
bgap_config_snapshot_record (const char *id, int64_t as_of, uint32_t part,
                             const struct bgap_buffer *data,
                             struct bgap_buffer *out)
{
  const uint32_t parts = bgap_config_snapshot_parts (data->size);
  if (part >= parts)
    return BGAP_ERR_INVALID;
  const char *part_data = data->data + part * BGAP_CONFIG_PART_SIZE;
  size_t size = data->size - part * BGAP_CONFIG_PART_SIZE;
  if (size > BGAP_CONFIG_PART_SIZE)
    size = BGAP_CONFIG_PART_SIZE;
  char checksum[17];
  snprintf (checksum, sizeof checksum, "%016" PRIx64,
            bgap_hash64 (part_data, size));
  return _bgap_config_dump (
      json_pack ("{s:s, s:i, s:s, s:I, s:I, s:I, s:s, s:s%}", "type",
                 "snapshot", "schema", BGAP_CONFIG_SCHEMA, "id", id, "as_of",
                 (json_int_t)as_of, "part", (json_int_t)part, "parts",
                 (json_int_t)parts, "checksum", checksum, "data", part_data,
                 size),
      out);
}
