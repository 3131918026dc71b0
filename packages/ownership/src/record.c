#include "banyangap/ownership/record.h"

#include <stdlib.h>
#include <string.h>

#include "banyangap/base/json.h"
#include "banyangap/ownership/snapshot.h"
#include "codec.h"

static const struct
{
  const char *name;
  enum bgap_record_type type;
} types[] = {
  { "witnesses", BGAP_RECORD_WITNESSES }, { "grant", BGAP_RECORD_GRANT },
  { "split", BGAP_RECORD_SPLIT },         { "merge", BGAP_RECORD_MERGE },
  { "revoke", BGAP_RECORD_REVOKE },       { "snapshot", BGAP_RECORD_SNAPSHOT },
  { "release", BGAP_RECORD_RELEASE },
};

static enum bgap_record_type
_bgap_record_type (const char *name)
{
  for (size_t i = 0; i < sizeof types / sizeof types[0]; i++)
    if (strcmp (types[i].name, name) == 0)
      return types[i].type;
  return BGAP_RECORD_UNKNOWN;
}

static enum bgap_status
_bgap_record_parse_item (const json_t *object, bool grant,
                         struct bgap_record_item *item, struct bgap_error *err)
{
  enum bgap_status status;
  if (!json_is_object (object))
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "an item is not a JSON object");
  if (json_object_get (object, "key"))
    {
      status = bgap_codec_hex_bytes (object, "key", BGAP_KEY_MAX, &item->key,
                                     &item->key_size, err);
    }
  else
    {
      int64_t first = 0;
      int64_t count = 0;
      status = bgap_codec_int (object, "first", 0, BGAP_SLICES_MAX - 1, &first,
                               err);
      if (status == BGAP_OK)
        status = bgap_codec_int (object, "count", 1, BGAP_SLICES_MAX, &count,
                                 err);
      item->first = (uint32_t)first;
      item->count = (uint32_t)count;
    }
  if (status != BGAP_OK || !grant)
    return status;
  status = bgap_codec_name (object, "server", item->holder,
                            sizeof item->holder, err);
  if (status == BGAP_OK)
    status = bgap_codec_hex64 (object, "incarnation", &item->incarnation, err);
  return status;
}

static enum bgap_status
_bgap_record_parse_items (const json_t *object, struct bgap_record *record,
                          struct bgap_error *err)
{
  const json_t *items = json_object_get (object, "items");
  size_t count = json_array_size (items);
  size_t min_count = record->type == BGAP_RECORD_RELEASE ? 0 : 1;
  if (!json_is_array (items) || count < min_count
      || count > BGAP_RECORD_ITEMS_MAX)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "\"items\" must have %zu to %d items", min_count,
                           BGAP_RECORD_ITEMS_MAX);
  record->items = calloc (count + 1, sizeof *record->items);
  if (record->items == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  record->item_count = (uint32_t)count;
  for (size_t i = 0; i < count; i++)
    {
      enum bgap_status status = _bgap_record_parse_item (
          json_array_get (items, i), record->type == BGAP_RECORD_GRANT,
          &record->items[i], err);
      if (status != BGAP_OK)
        return status;
    }
  return BGAP_OK;
}

static enum bgap_status
_bgap_record_parse_members (const json_t *object, struct bgap_record *record,
                            struct bgap_error *err)
{
  const json_t *members = json_object_get (object, "members");
  size_t count = json_array_size (members);
  if (count == 0 || count > BGAP_WITNESSES_MAX)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "\"members\" must have 1 to %d names",
                           BGAP_WITNESSES_MAX);
  for (size_t i = 0; i < count; i++)
    {
      const char *name = json_string_value (json_array_get (members, i));
      if (name == NULL || !bgap_name_valid (name))
        return bgap_error_set (
            err, BGAP_ERR_PROTOCOL,
            "a member of the witness set is not a valid name");
      for (size_t j = 0; j < i; j++)
        if (strcmp (record->members[j], name) == 0)
          return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                                 "member \"%s\" is listed twice", name);
      memcpy (record->members[i], name, strlen (name) + 1);
    }
  record->member_count = (uint32_t)count;
  record->forced = json_is_true (json_object_get (object, "forced"));
  if (json_object_get (object, "in_force") == NULL)
    return BGAP_OK;
  return bgap_codec_offset (object, "in_force", &record->in_force, err);
}

static enum bgap_status
_bgap_record_parse_snapshot (const json_t *object,
                             struct bgap_record_snapshot *snapshot,
                             struct bgap_error *err)
{
  int64_t part = 0;
  int64_t parts = 0;
  enum bgap_status status
      = bgap_codec_hex64 (object, "id", &snapshot->id, err);
  if (status == BGAP_OK)
    status = bgap_codec_offset (object, "as_of", &snapshot->as_of, err);
  if (status == BGAP_OK)
    status = bgap_codec_int (object, "parts", 1, BGAP_SNAPSHOT_PARTS_MAX,
                             &parts, err);
  if (status == BGAP_OK)
    status = bgap_codec_int (object, "part", 0, parts - 1, &part, err);
  if (status == BGAP_OK)
    status = bgap_codec_hex64 (object, "checksum", &snapshot->checksum, err);
  if (status == BGAP_OK)
    status = bgap_codec_hex_bytes (object, "data", BGAP_SNAPSHOT_PART_SIZE,
                                   &snapshot->data, &snapshot->size, err);
  snapshot->part = (uint32_t)part;
  snapshot->parts = (uint32_t)parts;
  return status;
}

static enum bgap_status
_bgap_record_parse_scope (const json_t *object, struct bgap_record *record,
                          struct bgap_error *err)
{
  int64_t slices;
  enum bgap_status status = bgap_codec_name (object, "scope", record->scope,
                                             sizeof record->scope, err);
  if (status == BGAP_OK && json_object_get (object, "config"))
    status = bgap_codec_offset (object, "config", &record->config, err);
  if (status != BGAP_OK)
    return status;
  if (record->type == BGAP_RECORD_SPLIT || record->type == BGAP_RECORD_MERGE)
    return bgap_codec_hex_bytes (object, "key", BGAP_KEY_MAX, &record->key,
                                 &record->key_size, err);
  if (record->type == BGAP_RECORD_GRANT || record->type == BGAP_RECORD_RELEASE)
    {
      status = bgap_codec_int (object, "slices", 1, BGAP_SLICES_MAX, &slices,
                               err);
      if (status != BGAP_OK)
        return status;
      if (!bgap_slice_count_valid (slices))
        return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                               "\"slices\" is not a power of two");
      record->slices = (uint32_t)slices;
    }
  return _bgap_record_parse_items (object, record, err);
}

static enum bgap_status
_bgap_record_parse_object (const json_t *object, struct bgap_record *record,
                           struct bgap_error *err)
{
  const char *type;
  enum bgap_status status
      = bgap_codec_int (object, "schema", 1, INT64_MAX, &record->schema, err);
  if (status != BGAP_OK || record->schema > BGAP_RECORD_SCHEMA)
    return status;
  status = bgap_json_string (object, "type", &type, err);
  if (status != BGAP_OK)
    return status;
  record->type = _bgap_record_type (type);
  if (record->type == BGAP_RECORD_UNKNOWN)
    return BGAP_OK;
  if (record->type == BGAP_RECORD_SNAPSHOT)
    return _bgap_record_parse_snapshot (object, &record->snapshot, err);
  status = bgap_codec_offset (object, "based_on", &record->based_on, err);
  if (status != BGAP_OK)
    return status;
  if (record->type == BGAP_RECORD_WITNESSES)
    return _bgap_record_parse_members (object, record, err);
  return _bgap_record_parse_scope (object, record, err);
}

enum bgap_status
bgap_record_parse (const void *bytes, size_t size, struct bgap_record *record,
                   struct bgap_error *err)
{
  *record = (struct bgap_record){ 0 };
  if (size > BGAP_RECORD_MAX)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "the record exceeds %d bytes", BGAP_RECORD_MAX);
  json_t *object;
  enum bgap_status status
      = bgap_codec_parse_object (bytes, size, &object, err);
  if (status != BGAP_OK)
    return status;
  status = _bgap_record_parse_object (object, record, err);
  json_decref (object);
  if (status != BGAP_OK)
    bgap_record_shutdown (record);
  return status;
}

void
bgap_record_shutdown (struct bgap_record *record)
{
  for (uint32_t i = 0; i < record->item_count; i++)
    free (record->items[i].key);
  free (record->items);
  free (record->key);
  free (record->snapshot.data);
  *record = (struct bgap_record){ 0 };
}
