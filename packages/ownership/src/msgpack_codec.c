#include "msgpack_codec.h"

#include <string.h>

/* Decodes a big-endian integer of @width bytes.  */
static uint64_t
_bgap_msgpack_big_endian (const unsigned char *bytes, size_t width)
{
  uint64_t value = 0;
  for (size_t i = 0; i < width; i++)
    value = value << 8 | bytes[i];
  return value;
}

/**
 * struct format - layout of the values with one MessagePack type byte
 * @tag: the type byte
 * @width: number of bytes of the length field, which follows the type byte
 * @body: number of bytes that follow if there is no length field
 * @children: number of child values per unit of length (1 for an array, 2 for
 *   a map); 0 means that the length counts bytes
 */
struct format
{
  unsigned char tag;
  unsigned char width;
  unsigned char body;
  unsigned char children;
};

static const struct format formats[] = {
  { 0xc4, 1, 0, 0 }, { 0xc5, 2, 0, 0 }, { 0xc6, 4, 0, 0 }, { 0xca, 0, 4, 0 },
  { 0xcb, 0, 8, 0 }, { 0xcc, 0, 1, 0 }, { 0xcd, 0, 2, 0 }, { 0xce, 0, 4, 0 },
  { 0xcf, 0, 8, 0 }, { 0xd0, 0, 1, 0 }, { 0xd1, 0, 2, 0 }, { 0xd2, 0, 4, 0 },
  { 0xd3, 0, 8, 0 }, { 0xd9, 1, 0, 0 }, { 0xda, 2, 0, 0 }, { 0xdb, 4, 0, 0 },
  { 0xdc, 2, 0, 1 }, { 0xdd, 4, 0, 1 }, { 0xde, 2, 0, 2 }, { 0xdf, 4, 0, 2 },
};

/* Parses the type and length of the value at @bytes. Sets its total size
   without children and the number of its children. Returns false if the value
   is truncated or has a type that the messages do not use.  */
static bool
_bgap_msgpack_parse_header (const unsigned char *bytes, size_t left,
                            uint64_t *size, uint64_t *children)
{
  unsigned char tag = bytes[0];
  *size = 1;
  *children = 0;
  if (tag <= 0x7f || tag >= 0xe0 || tag == 0xc0 || tag == 0xc2 || tag == 0xc3)
    return true;
  if (tag <= 0x8f)
    *children = (uint64_t)(tag & 0x0fu) * 2;
  else if (tag <= 0x9f)
    *children = tag & 0x0fu;
  else if (tag <= 0xbf)
    *size += tag & 0x1fu;
  else
    {
      size_t i = 0;
      while (i < sizeof formats / sizeof formats[0] && formats[i].tag != tag)
        i++;
      if (i == sizeof formats / sizeof formats[0]
          || left < 1u + formats[i].width)
        return false;
      uint64_t length = _bgap_msgpack_big_endian (bytes + 1, formats[i].width);
      *size += formats[i].width + formats[i].body;
      *children = length * formats[i].children;
      if (formats[i].children == 0)
        *size += length;
    }
  return true;
}

/* msgpack-c allocates arrays by their encoded length. This pass rejects
   lengths that exceed the input, so that memory use is proportional to the
   size of the input.  */
static bool
_bgap_msgpack_lengths_fit (const unsigned char *bytes, size_t size)
{
  uint64_t expected = 1;
  while (expected > 0)
    {
      uint64_t used;
      uint64_t children;
      if (size == 0
          || !_bgap_msgpack_parse_header (bytes, size, &used, &children)
          || used > size)
        return false;
      bytes += used;
      size -= used;
      expected += children - 1;
      if (expected > size)
        return false;
    }
  return size == 0;
}

enum bgap_status
bgap_msgpack_open (struct bgap_msgpack *msgpack, const void *bytes,
                   size_t size)
{
  if (!_bgap_msgpack_lengths_fit (bytes, size))
    return BGAP_ERR_PROTOCOL;
  msgpack_unpacked_init (&msgpack->unpacked);
  switch (msgpack_unpack_next (&msgpack->unpacked, bytes, size, NULL))
    {
    case MSGPACK_UNPACK_SUCCESS:
      return BGAP_OK;
    case MSGPACK_UNPACK_NOMEM_ERROR:
      msgpack_unpacked_destroy (&msgpack->unpacked);
      return BGAP_ERR_NO_MEMORY;
    default:
      msgpack_unpacked_destroy (&msgpack->unpacked);
      return BGAP_ERR_PROTOCOL;
    }
}

void
bgap_msgpack_close (struct bgap_msgpack *msgpack)
{
  msgpack_unpacked_destroy (&msgpack->unpacked);
}

static struct bgap_msgpack_array
_bgap_msgpack_as_array (const msgpack_object *object, uint32_t max)
{
  if (object == NULL || object->type != MSGPACK_OBJECT_ARRAY
      || object->via.array.size > max)
    return (struct bgap_msgpack_array){ .ok = false };
  return (struct bgap_msgpack_array){ .items = object->via.array.ptr,
                                      .count = object->via.array.size,
                                      .ok = true };
}

struct bgap_msgpack_array
bgap_msgpack_root (const struct bgap_msgpack *msgpack)
{
  return _bgap_msgpack_as_array (&msgpack->unpacked.data, UINT32_MAX);
}

/* Consumes the next value if it has the type @type, else returns NULL.  */
static const msgpack_object *
_bgap_msgpack_next (struct bgap_msgpack_array *list, msgpack_object_type type)
{
  if (!list->ok || list->next >= list->count
      || list->items[list->next].type != type)
    {
      list->ok = false;
      return NULL;
    }
  return &list->items[list->next++];
}

uint64_t
bgap_msgpack_read_uint (struct bgap_msgpack_array *list, uint64_t max)
{
  const msgpack_object *object
      = _bgap_msgpack_next (list, MSGPACK_OBJECT_POSITIVE_INTEGER);
  if (object == NULL || object->via.u64 > max)
    {
      list->ok = false;
      return 0;
    }
  return object->via.u64;
}

int64_t
bgap_msgpack_read_int (struct bgap_msgpack_array *list)
{
  if (list->ok && list->next < list->count
      && list->items[list->next].type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
    return list->items[list->next++].via.i64;
  return (int64_t)bgap_msgpack_read_uint (list, INT64_MAX);
}

bool
bgap_msgpack_read_bool (struct bgap_msgpack_array *list)
{
  const msgpack_object *object
      = _bgap_msgpack_next (list, MSGPACK_OBJECT_BOOLEAN);
  return object && object->via.boolean;
}

struct bgap_bytes
bgap_msgpack_read_bytes (struct bgap_msgpack_array *list, size_t max)
{
  const msgpack_object *object = _bgap_msgpack_next (list, MSGPACK_OBJECT_BIN);
  if (object == NULL || object->via.bin.size > max)
    {
      list->ok = false;
      return (struct bgap_bytes){ 0 };
    }
  return (struct bgap_bytes){ object->via.bin.ptr, object->via.bin.size };
}

void
bgap_msgpack_read_name (struct bgap_msgpack_array *list, char *name,
                        bool empty)
{
  const msgpack_object *object = _bgap_msgpack_next (list, MSGPACK_OBJECT_STR);
  name[0] = '\0';
  if (object == NULL)
    return;
  if (object->via.str.size < BGAP_NAME_SIZE && object->via.str.size > 0)
    memcpy (name, object->via.str.ptr, object->via.str.size);
  name[object->via.str.size < BGAP_NAME_SIZE ? object->via.str.size : 0]
      = '\0';
  if (strlen (name) != object->via.str.size
      || (!bgap_name_valid (name) && !(empty && name[0] == '\0')))
    {
      name[0] = '\0';
      list->ok = false;
    }
}

struct bgap_msgpack_array
bgap_msgpack_read_array (struct bgap_msgpack_array *list, uint32_t max)
{
  const msgpack_object *object
      = _bgap_msgpack_next (list, MSGPACK_OBJECT_ARRAY);
  struct bgap_msgpack_array inner = _bgap_msgpack_as_array (object, max);
  if (!inner.ok)
    list->ok = false;
  return inner;
}

int
bgap_msgpack_append (void *buffer, const char *bytes, size_t size)
{
  return bgap_buffer_append (buffer, bytes, size) == BGAP_OK ? 0 : -1;
}

void
bgap_msgpack_write_name (msgpack_packer *packer, const char *name)
{
  size_t size = strlen (name);
  msgpack_pack_str (packer, size);
  msgpack_pack_str_body (packer, name, size);
}

void
bgap_msgpack_write_bytes (msgpack_packer *packer, const void *data,
                          size_t size)
{
  msgpack_pack_bin (packer, size);
  msgpack_pack_bin_body (packer, data, size);
}

void
bgap_msgpack_write_bool (msgpack_packer *packer, bool value)
{
  if (value)
    msgpack_pack_true (packer);
  else
    msgpack_pack_false (packer);
}
