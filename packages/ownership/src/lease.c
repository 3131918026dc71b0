#include "banyangap/ownership/lease.h"

#include <stdlib.h>

#include "banyangap/base/json.h"
#include "codec.h"

/* Maximum number of items of a renewal: every slice and every key entry.  */
#define RENEWAL_ITEMS_MAX (BGAP_SLICES_MAX + BGAP_KEYS_MAX)

static enum bgap_status
_bgap_renewal_parse_item (const json_t *object, uint32_t slice_count,
                          struct bgap_renewal_item *item,
                          struct bgap_error *err)
{
  int64_t first = 0;
  int64_t count = 0;
  enum bgap_status status
      = bgap_codec_offset (object, "token", &item->token, err);
  if (status != BGAP_OK)
    return status;
  if (json_object_get (object, "key"))
    return bgap_codec_hex_bytes (object, "key", BGAP_KEY_MAX, &item->key,
                                 &item->key_size, err);
  status = bgap_codec_int (object, "first", 0, (int64_t)slice_count - 1,
                           &first, err);
  if (status == BGAP_OK)
    status = bgap_codec_int (object, "count", 1, slice_count - first, &count,
                             err);
  item->first = (uint32_t)first;
  item->count = (uint32_t)count;
  if (status == BGAP_OK && item->token == 0)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "slices in a renewal need a token");
  return status;
}

static enum bgap_status
_bgap_renewal_parse_items (const json_t *items, struct bgap_renewal *renewal,
                           struct bgap_error *err)
{
  size_t count = json_array_size (items);
  if (!json_is_array (items) || count > RENEWAL_ITEMS_MAX)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "\"slices\" is not a list of up to %d items",
                           RENEWAL_ITEMS_MAX);
  renewal->complete = true;
  renewal->items = calloc (count + 1, sizeof *renewal->items);
  if (renewal->items == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  renewal->item_count = (uint32_t)count;
  for (size_t i = 0; i < count; i++)
    {
      enum bgap_status status = _bgap_renewal_parse_item (
          json_array_get (items, i), renewal->slice_count, &renewal->items[i],
          err);
      if (status != BGAP_OK)
        return status;
    }
  return BGAP_OK;
}

static enum bgap_status
_bgap_renewal_parse_object (const json_t *object, struct bgap_renewal *renewal,
                            struct bgap_error *err)
{
  int64_t slice_count = 0;
  enum bgap_status status = bgap_codec_name (object, "scope", renewal->scope,
                                             sizeof renewal->scope, err);
  if (status == BGAP_OK)
    status = bgap_codec_offset (object, "basis", &renewal->basis, err);
  if (status == BGAP_OK)
    status
        = bgap_codec_hex64 (object, "incarnation", &renewal->incarnation, err);
  if (status == BGAP_OK)
    status = bgap_codec_int (object, "clock_echo_ms", 0, INT64_MAX / 2,
                             &renewal->clock_echo_ms, err);
  if (status == BGAP_OK)
    status = bgap_codec_int (object, "lease_ms", 0, BGAP_LEASE_MS,
                             &renewal->lease_ms, err);
  if (status == BGAP_OK)
    status = bgap_codec_int (object, "slice_count", 1, BGAP_SLICES_MAX,
                             &slice_count, err);
  if (status != BGAP_OK)
    return status;
  if (!bgap_slice_count_valid (slice_count))
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "\"slice_count\" is not a power of two");
  renewal->slice_count = (uint32_t)slice_count;
  const json_t *items = json_object_get (object, "slices");
  return items ? _bgap_renewal_parse_items (items, renewal, err) : BGAP_OK;
}

enum bgap_status
bgap_renewal_parse (const void *bytes, size_t size,
                    struct bgap_renewal *renewal, struct bgap_error *err)
{
  json_t *object;
  *renewal = (struct bgap_renewal){ 0 };
  enum bgap_status status
      = bgap_codec_parse_object (bytes, size, &object, err);
  if (status != BGAP_OK)
    return status;
  status = _bgap_renewal_parse_object (object, renewal, err);
  json_decref (object);
  if (status != BGAP_OK)
    bgap_renewal_shutdown (renewal);
  return status;
}

/* The result of every append is checked. If a key without a token were missing
   from the renewal, the holder would serve that key under its slice although
   another holder has it.  */
static enum bgap_status
_bgap_renewal_print_item (const struct bgap_renewal_item *item,
                          struct bgap_buffer *out)
{
  if (item->count)
    return bgap_buffer_printf (
        out, "{\"token\":%llu,\"first\":%u,\"count\":%u}",
        (unsigned long long)item->token, item->first, item->count);
  enum bgap_status status = bgap_buffer_printf (
      out, "{\"token\":%llu,\"key\":\"", (unsigned long long)item->token);
  if (status == BGAP_OK)
    status = bgap_codec_print_hex (out, item->key, item->key_size);
  return status == BGAP_OK ? bgap_buffer_printf (out, "\"}") : status;
}

enum bgap_status
bgap_renewal_print (const struct bgap_renewal *renewal,
                    struct bgap_buffer *out)
{
  enum bgap_status status = bgap_buffer_printf (out, "{\"scope\":");
  if (status == BGAP_OK)
    status = bgap_codec_print_string (out, renewal->scope);
  if (status == BGAP_OK)
    status = bgap_buffer_printf (out,
                                 ",\"basis\":%llu,\"incarnation\":\"%016llx\","
                                 "\"clock_echo_ms\":%lld,\"lease_ms\":%lld,"
                                 "\"slice_count\":%u",
                                 (unsigned long long)renewal->basis,
                                 (unsigned long long)renewal->incarnation,
                                 (long long)renewal->clock_echo_ms,
                                 (long long)renewal->lease_ms,
                                 renewal->slice_count);
  if (status == BGAP_OK && renewal->complete)
    {
      status = bgap_buffer_printf (out, ",\"slices\":[");
      for (uint32_t i = 0; i < renewal->item_count && status == BGAP_OK; i++)
        {
          if (i > 0)
            status = bgap_buffer_printf (out, ",");
          if (status == BGAP_OK)
            status = _bgap_renewal_print_item (&renewal->items[i], out);
        }
      if (status == BGAP_OK)
        status = bgap_buffer_printf (out, "]");
    }
  return status == BGAP_OK ? bgap_buffer_printf (out, "}") : status;
}

void
bgap_renewal_shutdown (struct bgap_renewal *renewal)
{
  for (uint32_t i = 0; i < renewal->item_count; i++)
    free (renewal->items[i].key);
  free (renewal->items);
  *renewal = (struct bgap_renewal){ 0 };
}

static enum bgap_status
_bgap_renewal_reply_parse_load (const json_t *load,
                                struct bgap_renewal_reply *reply,
                                struct bgap_error *err)
{
  int64_t in_flight = 0;
  int64_t slots = 0;
  int64_t queued = 0;
  enum bgap_status status
      = bgap_codec_int (load, "in_flight", 0, UINT32_MAX, &in_flight, err);
  if (status == BGAP_OK)
    status = bgap_codec_int (load, "slots", 0, UINT32_MAX, &slots, err);
  if (status == BGAP_OK)
    status = bgap_codec_int (load, "queued", 0, UINT32_MAX, &queued, err);
  reply->in_flight = (uint32_t)in_flight;
  reply->slots = (uint32_t)slots;
  reply->queued = (uint32_t)queued;
  return status;
}

static enum bgap_status
_bgap_renewal_reply_parse_object (const json_t *object,
                                  struct bgap_renewal_reply *reply,
                                  struct bgap_error *err)
{
  enum bgap_status status = BGAP_OK;
  if (json_object_get (object, "scope"))
    status = bgap_codec_name (object, "scope", reply->scope,
                              sizeof reply->scope, err);
  if (status == BGAP_OK)
    status
        = bgap_codec_hex64 (object, "incarnation", &reply->incarnation, err);
  if (status == BGAP_OK)
    status = bgap_codec_int (object, "clock_ms", 0, INT64_MAX / 2,
                             &reply->clock_ms, err);
  if (status == BGAP_OK)
    status = bgap_codec_offset (object, "newest_basis", &reply->newest_basis,
                                err);
  reply->accepted = json_is_true (json_object_get (object, "accepted"));
  reply->draining = json_is_true (json_object_get (object, "draining"));
  const json_t *load = json_object_get (object, "load");
  if (status == BGAP_OK && load)
    status = _bgap_renewal_reply_parse_load (load, reply, err);
  return status;
}

enum bgap_status
bgap_renewal_reply_parse (const void *bytes, size_t size,
                          struct bgap_renewal_reply *reply,
                          struct bgap_error *err)
{
  json_t *object;
  *reply = (struct bgap_renewal_reply){ 0 };
  enum bgap_status status
      = bgap_codec_parse_object (bytes, size, &object, err);
  if (status != BGAP_OK)
    return status;
  status = _bgap_renewal_reply_parse_object (object, reply, err);
  json_decref (object);
  return status;
}

enum bgap_status
bgap_renewal_reply_print (const struct bgap_renewal_reply *reply,
                          struct bgap_buffer *out)
{
  bgap_buffer_printf (out, "{\"incarnation\":\"%016llx\",\"clock_ms\":%lld,",
                      (unsigned long long)reply->incarnation,
                      (long long)reply->clock_ms);
  if (reply->scope[0])
    {
      bgap_buffer_printf (out, "\"scope\":");
      bgap_codec_print_string (out, reply->scope);
      bgap_buffer_printf (out, ",");
    }
  return bgap_buffer_printf (
      out,
      "\"newest_basis\":%llu,\"accepted\":%s,\"draining\":%s,"
      "\"load\":{\"in_flight\":%u,\"slots\":%u,\"queued\":%u}}",
      (unsigned long long)reply->newest_basis,
      reply->accepted ? "true" : "false", reply->draining ? "true" : "false",
      reply->in_flight, reply->slots, reply->queued);
}
