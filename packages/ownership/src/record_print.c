#include "banyangap/ownership/record.h"

#include "codec.h"

/* Names of the types, in the order of enum bgap_record_type.  */
static const char *const type_names[] = { "witnesses", "grant",  "split",
                                          "merge",     "revoke", "snapshot",
                                          "release" };

static enum bgap_status
_bgap_record_print_key (const void *key, size_t size, struct bgap_buffer *out)
{
  enum bgap_status status = bgap_buffer_printf (out, "\"key\":\"");
  if (status == BGAP_OK)
    status = bgap_codec_print_hex (out, key, size);
  return status == BGAP_OK ? bgap_buffer_printf (out, "\"") : status;
}

static enum bgap_status
_bgap_record_print_item (const struct bgap_record_item *item,
                         struct bgap_buffer *out)
{
  enum bgap_status status = bgap_buffer_printf (out, "{");
  if (status == BGAP_OK)
    status = item->count
                 ? bgap_buffer_printf (out, "\"first\":%u,\"count\":%u",
                                       item->first, item->count)
                 : _bgap_record_print_key (item->key, item->key_size, out);
  if (status == BGAP_OK && item->holder[0])
    {
      status = bgap_buffer_printf (out, ",\"server\":");
      if (status == BGAP_OK)
        status = bgap_codec_print_string (out, item->holder);
      if (status == BGAP_OK)
        status = bgap_buffer_printf (out, ",\"incarnation\":\"%016llx\"",
                                     (unsigned long long)item->incarnation);
    }
  return status == BGAP_OK ? bgap_buffer_printf (out, "}") : status;
}

static enum bgap_status
_bgap_record_print_items (const struct bgap_record *record,
                          struct bgap_buffer *out)
{
  enum bgap_status status = bgap_buffer_printf (out, ",\"items\":[");
  for (uint32_t i = 0; i < record->item_count && status == BGAP_OK; i++)
    {
      if (i > 0)
        status = bgap_buffer_printf (out, ",");
      if (status == BGAP_OK)
        status = _bgap_record_print_item (&record->items[i], out);
    }
  return status == BGAP_OK ? bgap_buffer_printf (out, "]") : status;
}

static enum bgap_status
_bgap_record_print_members (const struct bgap_record *record,
                            struct bgap_buffer *out)
{
  enum bgap_status status = bgap_buffer_printf (out, ",\"members\":[");
  for (uint32_t i = 0; i < record->member_count && status == BGAP_OK; i++)
    {
      if (i > 0)
        status = bgap_buffer_printf (out, ",");
      if (status == BGAP_OK)
        status = bgap_codec_print_string (out, record->members[i]);
    }
  if (status != BGAP_OK)
    return status;
  if (record->in_force > 0)
    return bgap_buffer_printf (out, "],\"in_force\":%llu",
                               (unsigned long long)record->in_force);
  return bgap_buffer_printf (out, "]%s",
                             record->forced ? ",\"forced\":true" : "");
}

static enum bgap_status
_bgap_record_print_snapshot (const struct bgap_record_snapshot *snapshot,
                             struct bgap_buffer *out)
{
  enum bgap_status status = bgap_buffer_printf (
      out,
      ",\"id\":\"%016llx\",\"as_of\":%llu,\"part\":%u,"
      "\"parts\":%u,\"checksum\":\"%016llx\",\"data\":\"",
      (unsigned long long)snapshot->id, (unsigned long long)snapshot->as_of,
      snapshot->part, snapshot->parts, (unsigned long long)snapshot->checksum);
  if (status == BGAP_OK)
    status = bgap_codec_print_hex (out, snapshot->data, snapshot->size);
  return status == BGAP_OK ? bgap_buffer_printf (out, "\"") : status;
}

static enum bgap_status
_bgap_record_print_body (const struct bgap_record *record,
                         struct bgap_buffer *out)
{
  enum bgap_status status;
  switch (record->type)
    {
    case BGAP_RECORD_WITNESSES:
      return _bgap_record_print_members (record, out);
    case BGAP_RECORD_SPLIT:
    case BGAP_RECORD_MERGE:
      status = bgap_buffer_printf (out, ",");
      return status == BGAP_OK
                 ? _bgap_record_print_key (record->key, record->key_size, out)
                 : status;
    case BGAP_RECORD_GRANT:
    case BGAP_RECORD_RELEASE:
      status = bgap_buffer_printf (out, ",\"slices\":%u", record->slices);
      return status == BGAP_OK ? _bgap_record_print_items (record, out)
                               : status;
    case BGAP_RECORD_REVOKE:
      return _bgap_record_print_items (record, out);
    default:
      return BGAP_ERR_INVALID;
    }
}

static enum bgap_status
_bgap_record_print_head (const struct bgap_record *record,
                         struct bgap_buffer *out)
{
  enum bgap_status status = bgap_buffer_printf (
      out, "{\"schema\":%d,\"type\":\"%s\"", BGAP_RECORD_SCHEMA,
      type_names[record->type - BGAP_RECORD_WITNESSES]);
  if (status != BGAP_OK || record->type == BGAP_RECORD_SNAPSHOT)
    return status;
  if (record->scope[0])
    {
      status = bgap_buffer_printf (out, ",\"scope\":");
      if (status == BGAP_OK)
        status = bgap_codec_print_string (out, record->scope);
    }
  if (status == BGAP_OK)
    status = bgap_buffer_printf (out, ",\"based_on\":%llu",
                                 (unsigned long long)record->based_on);
  if (status == BGAP_OK && record->config > 0)
    status = bgap_buffer_printf (out, ",\"config\":%llu",
                                 (unsigned long long)record->config);
  return status;
}

enum bgap_status
bgap_record_print (const struct bgap_record *record, struct bgap_buffer *out)
{
  if (record->type < BGAP_RECORD_WITNESSES
      || record->type >= BGAP_RECORD_UNKNOWN)
    return BGAP_ERR_INVALID;
  size_t start = out->size;
  enum bgap_status status = _bgap_record_print_head (record, out);
  if (status == BGAP_OK)
    status = record->type == BGAP_RECORD_SNAPSHOT
                 ? _bgap_record_print_snapshot (&record->snapshot, out)
                 : _bgap_record_print_body (record, out);
  if (status == BGAP_OK)
    status = bgap_buffer_printf (out, "}");
  if (status == BGAP_OK && out->size - start > BGAP_RECORD_MAX)
    return BGAP_ERR_INVALID;
  return status;
}
