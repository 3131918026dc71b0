#include "banyangap/routing/message.h"

#include <msgpack.h>
#include <stdbool.h>

/*
 * A message is a sequence of unsigned integers: the version, the number of
 * items and the fields of each item. Arrays are not used, because the decoder
 * of msgpack-c allocates as much memory as the header of an array declares.
 */
#define MESSAGE_VERSION 1u

static int
_bgap_message_write (void *data, const char *bytes, size_t size)
{
  return bgap_buffer_append (data, bytes, size) == BGAP_OK ? 0 : -1;
}

static enum bgap_status
_bgap_message_encode (struct bgap_buffer *out, const uint64_t *values,
                      size_t count)
{
  msgpack_packer packer;
  msgpack_packer_init (&packer, out, _bgap_message_write);
  for (size_t i = 0; i < count; i++)
    if (msgpack_pack_uint64 (&packer, values[i]) != 0)
      return BGAP_ERR_NO_MEMORY;
  return BGAP_OK;
}

/* Decoding.  */

struct message_reader
{
  const char *bytes;
  size_t size;
  size_t offset;
  msgpack_unpacked unpacked;
};

static bool
_bgap_message_is_unsigned (unsigned char type)
{
  return type < 0x80 || (type >= 0xcc && type <= 0xcf);
}

static bool
_bgap_message_read (struct message_reader *reader, uint64_t max,
                    uint64_t *value)
{
  if (reader->offset >= reader->size
      || !_bgap_message_is_unsigned (
          (unsigned char)reader->bytes[reader->offset]))
    return false;
  if (msgpack_unpack_next (&reader->unpacked, reader->bytes, reader->size,
                           &reader->offset)
      != MSGPACK_UNPACK_SUCCESS)
    return false;
  *value = reader->unpacked.data.via.u64;
  return *value <= max;
}

static enum bgap_status
_bgap_message_read_header (struct message_reader *reader, size_t capacity,
                           size_t *count, struct bgap_error *err)
{
  uint64_t version = 0;
  uint64_t items = 0;
  if (!_bgap_message_read (reader, MESSAGE_VERSION, &version)
      || version != MESSAGE_VERSION
      || !_bgap_message_read (reader, BGAP_ROUTING_MESSAGE_ITEMS_MAX, &items))
    return bgap_error_set (err, BGAP_ERR_PROTOCOL, "malformed message header");
  if (items > capacity)
    return bgap_error_set (err, BGAP_ERR_FULL,
                           "message has more than %zu items", capacity);
  *count = items;
  return BGAP_OK;
}

static struct message_reader
_bgap_message_reader (const void *bytes, size_t size)
{
  struct message_reader reader = { .bytes = bytes, .size = size };
  msgpack_unpacked_init (&reader.unpacked);
  return reader;
}

static enum bgap_status
_bgap_message_end (struct message_reader *reader, bool complete,
                   struct bgap_error *err)
{
  msgpack_unpacked_destroy (&reader->unpacked);
  if (!complete || reader->offset != reader->size)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "malformed or truncated message item");
  return BGAP_OK;
}

/* Suspicions.  */

enum bgap_status
bgap_routing_encode_suspicions (struct bgap_buffer *out,
                                const struct bgap_routing_suspicion *items,
                                size_t count)
{
  if (count > BGAP_ROUTING_MESSAGE_ITEMS_MAX)
    return BGAP_ERR_INVALID;
  const uint64_t header[] = { MESSAGE_VERSION, count };
  enum bgap_status status = _bgap_message_encode (out, header, 2);
  for (size_t i = 0; status == BGAP_OK && i < count; i++)
    {
      const uint64_t values[]
          = { items[i].fingerprint, items[i].server, (uint64_t)items[i].kind,
              items[i].remaining_ms };
      status = _bgap_message_encode (out, values, 4);
    }
  return status;
}

enum bgap_status
bgap_routing_decode_suspicions (const void *bytes, size_t size,
                                struct bgap_routing_suspicion *items,
                                size_t *count, struct bgap_error *err)
{
  struct message_reader reader = _bgap_message_reader (bytes, size);
  enum bgap_status status
      = _bgap_message_read_header (&reader, *count, count, err);
  if (status != BGAP_OK)
    {
      msgpack_unpacked_destroy (&reader.unpacked);
      return status;
    }
  bool complete = true;
  for (size_t i = 0; complete && i < *count; i++)
    {
      uint64_t kind = 0;
      uint64_t left_ms = 0;
      complete
          = _bgap_message_read (&reader, UINT64_MAX, &items[i].fingerprint)
            && _bgap_message_read (&reader, UINT64_MAX, &items[i].server)
            && _bgap_message_read (&reader, BGAP_SUSPICION_QUARANTINED, &kind)
            && _bgap_message_read (&reader, UINT32_MAX, &left_ms);
      items[i].kind = (enum bgap_suspicion_kind)kind;
      items[i].remaining_ms = (uint32_t)left_ms;
    }
  return _bgap_message_end (&reader, complete, err);
}

/* Loads.  */

enum bgap_status
bgap_routing_encode_loads (struct bgap_buffer *out,
                           const struct bgap_routing_load *items, size_t count)
{
  if (count > BGAP_ROUTING_MESSAGE_ITEMS_MAX)
    return BGAP_ERR_INVALID;
  const uint64_t header[] = { MESSAGE_VERSION, count };
  enum bgap_status status = _bgap_message_encode (out, header, 2);
  for (size_t i = 0; status == BGAP_OK && i < count; i++)
    {
      const uint64_t values[] = { items[i].server, items[i].in_flight };
      status = _bgap_message_encode (out, values, 2);
    }
  return status;
}

enum bgap_status
bgap_routing_decode_loads (const void *bytes, size_t size,
                           struct bgap_routing_load *items, size_t *count,
                           struct bgap_error *err)
{
  struct message_reader reader = _bgap_message_reader (bytes, size);
  enum bgap_status status
      = _bgap_message_read_header (&reader, *count, count, err);
  if (status != BGAP_OK)
    {
      msgpack_unpacked_destroy (&reader.unpacked);
      return status;
    }
  bool complete = true;
  for (size_t i = 0; complete && i < *count; i++)
    {
      uint64_t in_flight = 0;
      complete = _bgap_message_read (&reader, UINT64_MAX, &items[i].server)
                 && _bgap_message_read (&reader, UINT32_MAX, &in_flight);
      items[i].in_flight = (uint32_t)in_flight;
    }
  return _bgap_message_end (&reader, complete, err);
}

/* Permits.  */

#define PERMITS_FIELDS 6u

/* The rest is sent for cold servers only, so that instances of a version that
   does not know them understand all other messages.  */
#define PERMITS_COLD_FIELDS 3u
#define PERMITS_FIELDS_MAX (PERMITS_FIELDS + PERMITS_COLD_FIELDS)

enum bgap_status
bgap_routing_encode_permits (struct bgap_buffer *out,
                             const struct bgap_routing_permits *permits)
{
  const uint64_t values[2 + PERMITS_FIELDS_MAX] = { MESSAGE_VERSION,
                                                    1,
                                                    permits->server,
                                                    permits->count,
                                                    permits->rank,
                                                    permits->wait_ms,
                                                    permits->limit_thousandths,
                                                    permits->limit_age_ms,
                                                    permits->stamp,
                                                    permits->cold_thousandths,
                                                    permits->cold_left_ms };
  size_t count = permits->stamp != 0 ? PERMITS_FIELDS_MAX : PERMITS_FIELDS;
  return _bgap_message_encode (out, values, 2 + count);
}

enum bgap_status
bgap_routing_decode_permits (const void *bytes, size_t size,
                             struct bgap_routing_permits *permits,
                             struct bgap_error *err)
{
  struct message_reader reader = _bgap_message_reader (bytes, size);
  uint64_t values[PERMITS_FIELDS_MAX] = { 0 };
  size_t count = 0;
  enum bgap_status status
      = _bgap_message_read_header (&reader, 1, &count, err);
  bool complete = status == BGAP_OK && count == 1;
  bool has_stamp = false;
  for (size_t i = 0; complete && i < PERMITS_FIELDS_MAX
                     && (i != PERMITS_FIELDS || reader.offset < size);
       i++)
    {
      bool is_wide = i == 0 || i == 4 || i == 7;
      has_stamp = i >= PERMITS_FIELDS;
      complete = _bgap_message_read (
          &reader, is_wide ? UINT64_MAX : UINT32_MAX, &values[i]);
    }
  /* The longer form exists for the stamp only.  */
  complete = complete && (!has_stamp || values[PERMITS_FIELDS] != 0);
  status = _bgap_message_end (&reader, complete, err);
  *permits = (struct bgap_routing_permits){
    .server = values[0],
    .count = (uint32_t)values[1],
    .rank = (uint32_t)values[2],
    .wait_ms = (uint32_t)values[3],
    .limit_thousandths = values[4],
    .limit_age_ms = (uint32_t)values[5],
    .stamp = (uint32_t)values[6],
    .cold_thousandths = values[7],
    .cold_left_ms = (uint32_t)values[8],
  };
  return status;
}
