#include "status_message.h"

#include <msgpack.h>
#include <string.h>

#define FIELD_COUNT 3

static int
_bgap_status_write (void *context, const char *bytes, size_t size)
{
  return bgap_buffer_append (context, bytes, size) == BGAP_OK ? 0 : -1;
}

enum bgap_status
bgap_status_message_encode (const struct bgap_status_message *message,
                            struct bgap_buffer *out)
{
  msgpack_packer packer;
  msgpack_packer_init (&packer, out, _bgap_status_write);
  if (msgpack_pack_array (&packer, FIELD_COUNT) != 0
      || msgpack_pack_str_with_body (&packer, message->zone,
                                     strlen (message->zone))
             != 0
      || msgpack_pack_str_with_body (&packer, message->peer_address,
                                     strlen (message->peer_address))
             != 0
      || msgpack_pack_int64 (&packer, message->config_version) != 0)
    return BGAP_ERR_NO_MEMORY;
  return BGAP_OK;
}

static int
_bgap_status_decode_text (const msgpack_object *object,
                          char out[BGAP_STATUS_TEXT_SIZE])
{
  if (object->type != MSGPACK_OBJECT_STR
      || object->via.str.size >= BGAP_STATUS_TEXT_SIZE
      || memchr (object->via.str.ptr, '\0', object->via.str.size) != NULL)
    return 0;
  memcpy (out, object->via.str.ptr, object->via.str.size);
  out[object->via.str.size] = '\0';
  return 1;
}

static int
_bgap_status_decode_fields (const msgpack_object *object,
                            struct bgap_status_message *message)
{
  if (object->type != MSGPACK_OBJECT_ARRAY
      || object->via.array.size != FIELD_COUNT)
    return 0;
  const msgpack_object *fields = object->via.array.ptr;
  if (!_bgap_status_decode_text (&fields[0], message->zone)
      || !_bgap_status_decode_text (&fields[1], message->peer_address)
      || fields[2].type != MSGPACK_OBJECT_POSITIVE_INTEGER
      || fields[2].via.u64 > INT64_MAX)
    return 0;
  message->config_version = (int64_t)fields[2].via.u64;
  return 1;
}

enum bgap_status
bgap_status_message_decode (const void *bytes, size_t size,
                            struct bgap_status_message *message,
                            struct bgap_error *err)
{
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  int valid = msgpack_unpack_next (&unpacked, bytes, size, NULL)
                  == MSGPACK_UNPACK_SUCCESS
              && _bgap_status_decode_fields (&unpacked.data, message);
  msgpack_unpacked_destroy (&unpacked);
  if (!valid)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL, "malformed status message");
  return BGAP_OK;
}
