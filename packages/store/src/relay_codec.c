#include "banyangap/store/relay_codec.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "banyangap/base/byte_order.h"
#include "delta.h"

/* Header of a message: topic, timeline, from, next, age of the read.  */
#define HEADER_SIZE (1 + 8 + 8 + 8 + 4)

/* Header of a record: offset, size of the key, size of the value, size of the
   encoded value, and base: 0 if the value is sent in full, else 1 plus the
   offset of the record to which it is a delta. A value that is sent in full is
   compressed if its encoded size is the smaller one.  */
#define RECORD_HEADER_SIZE (8 + 1 + 4 + 4 + 8)

/**
 * struct past_record - newest long record of a key
 */
struct past_record
{
  char key[BGAP_STORE_KEY_SIZE];
  uint64_t offset;
  struct bgap_buffer value;
  UT_hash_handle hh;
};

struct bgap_relay_history
{
  struct past_record *records;
};

/* History.  */

enum bgap_status
bgap_relay_history_setup (struct bgap_relay_history **history)
{
  *history = calloc (1, sizeof **history);
  return *history != NULL ? BGAP_OK : BGAP_ERR_NO_MEMORY;
}

static void
_bgap_relay_history_remove (struct bgap_relay_history *history,
                            struct past_record *past)
{
  HASH_DEL (history->records, past);
  bgap_buffer_shutdown (&past->value);
  free (past);
}

void
bgap_relay_history_clear (struct bgap_relay_history *history)
{
  struct past_record *past;
  struct past_record *next;
  HASH_ITER (hh, history->records, past, next)
  {
    _bgap_relay_history_remove (history, past);
  }
}

void
bgap_relay_history_shutdown (struct bgap_relay_history *history)
{
  if (history == NULL)
    return;
  bgap_relay_history_clear (history);
  free (history);
}

static struct past_record *
_bgap_relay_history_find (const struct bgap_relay_history *history,
                          const char *key)
{
  struct past_record *past;
  HASH_FIND_STR (history->records, key, past);
  return past;
}

/* If memory is exhausted, the key is removed. Its next record is then sent in
   full, or read from the store by a subscriber.  */
static void
_bgap_relay_history_add_record (struct bgap_relay_history *history,
                                const struct bgap_store_record *record)
{
  struct past_record *past = _bgap_relay_history_find (history, record->key);
  bool is_long = !record->removed && record->size >= BGAP_RELAY_DELTA_SIZE_MIN;
  if (past == NULL && is_long)
    {
      past = calloc (1, sizeof *past);
      if (past == NULL)
        return;
      memcpy (past->key, record->key, sizeof past->key);
      HASH_ADD_STR (history->records, key, past);
    }
  if (past == NULL || past->offset > record->offset)
    return;
  bgap_buffer_shutdown (&past->value);
  past->offset = record->offset;
  if (!is_long
      || bgap_buffer_append (&past->value, record->value, record->size)
             != BGAP_OK)
    _bgap_relay_history_remove (history, past);
}

void
bgap_relay_history_add (struct bgap_relay_history *history,
                        const struct bgap_store_record *records, size_t count)
{
  for (size_t i = 0; i < count; i++)
    _bgap_relay_history_add_record (history, &records[i]);
}

/* Encoding.  */

/* Appends a value that is sent in full.  */
static enum bgap_status
_bgap_relay_encode_full (const struct bgap_bytes *value,
                         struct bgap_buffer *out)
{
  struct bgap_buffer packed = { 0 };
  if (value->size < BGAP_RELAY_DELTA_SIZE_MIN)
    return bgap_buffer_append (out, value->data, value->size);
  enum bgap_status status
      = bgap_delta_encode (&(struct bgap_bytes){ 0 }, value, &packed);
  if (status == BGAP_OK && packed.size < value->size)
    status = bgap_buffer_append (out, packed.data, packed.size);
  else if (status == BGAP_OK)
    status = bgap_buffer_append (out, value->data, value->size);
  bgap_buffer_shutdown (&packed);
  return status;
}

/* Appends the encoded value of a record. Sets @base as in the header of a
   record.  */
static enum bgap_status
_bgap_relay_encode_value (const struct bgap_relay_history *history,
                          const struct bgap_store_record *record,
                          struct bgap_buffer *out, uint64_t *base)
{
  const struct bgap_bytes value = { record->value, record->size };
  const struct past_record *past
      = _bgap_relay_history_find (history, record->key);
  *base = 0;
  if (record->removed)
    return BGAP_OK;
  if (past == NULL || record->size < BGAP_RELAY_DELTA_SIZE_MIN)
    return _bgap_relay_encode_full (&value, out);
  *base = past->offset + 1;
  return bgap_delta_encode (
      &(struct bgap_bytes){ past->value.data, past->value.size }, &value, out);
}

static enum bgap_status
_bgap_relay_put_record (struct bgap_relay_history *history,
                        const struct bgap_store_record *record,
                        struct bgap_buffer *out)
{
  unsigned char header[RECORD_HEADER_SIZE];
  struct bgap_buffer encoded = { 0 };
  uint64_t base = 0;
  enum bgap_status status
      = _bgap_relay_encode_value (history, record, &encoded, &base);
  bgap_bytes_put (header, record->offset, 8);
  header[8] = (unsigned char)strlen (record->key);
  bgap_bytes_put (header + 9, record->removed ? 0 : record->size, 4);
  bgap_bytes_put (header + 13, encoded.size, 4);
  bgap_bytes_put (header + 17, base, 8);
  if (status == BGAP_OK)
    status = bgap_buffer_append (out, header, sizeof header);
  if (status == BGAP_OK)
    status = bgap_buffer_append (out, record->key, header[8]);
  if (status == BGAP_OK && encoded.size > 0)
    status = bgap_buffer_append (out, encoded.data, encoded.size);
  bgap_buffer_shutdown (&encoded);
  _bgap_relay_history_add_record (history, record);
  return status;
}

enum bgap_status
bgap_relay_encode (struct bgap_relay_history *history, uint8_t topic,
                   const struct bgap_relay_page *page, int64_t age_ms,
                   struct bgap_buffer *out)
{
  unsigned char header[HEADER_SIZE];
  header[0] = topic;
  bgap_bytes_put (header + 1, page->timeline, 8);
  bgap_bytes_put (header + 9, page->from, 8);
  bgap_bytes_put (header + 17, page->next, 8);
  bgap_bytes_put (header + 25, (uint64_t)age_ms, 4);
  enum bgap_status status = bgap_buffer_append (out, header, sizeof header);
  for (size_t i = 0; i < page->count && status == BGAP_OK; i++)
    status = _bgap_relay_put_record (history, &page->records[i], out);
  return status;
}

/* Decoding.  */

/**
 * struct encoded_record - a record whose value may be a delta
 * @bytes: the encoded value
 * @base: as in the header of a record
 */
struct encoded_record
{
  struct bgap_store_record record;
  struct bgap_bytes bytes;
  uint64_t base;
};

/* Reads the record at the start of @bytes and advances @bytes past it.  */
static enum bgap_status
_bgap_relay_get_record (struct bgap_bytes *bytes, struct encoded_record *out,
                        struct bgap_error *err)
{
  const unsigned char *at = bytes->data;
  if (bytes->size < RECORD_HEADER_SIZE)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "%zu bytes instead of the header of a record",
                           bytes->size);
  size_t key_size = at[8];
  size_t encoded_size = bgap_bytes_get (at + 13, 4);
  size_t size = RECORD_HEADER_SIZE + key_size + encoded_size;
  *out = (struct encoded_record){
    .record
    = { .offset = bgap_bytes_get (at, 8), .size = bgap_bytes_get (at + 9, 4) },
    .bytes = { at + RECORD_HEADER_SIZE + key_size, encoded_size },
    .base = bgap_bytes_get (at + 17, 8),
  };
  out->record.removed = out->record.size == 0;
  if (out->record.size > BGAP_STORE_VALUE_SIZE_MAX)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "a value of %zu bytes exceeds the limit of %zu",
                           out->record.size, BGAP_STORE_VALUE_SIZE_MAX);
  if (bytes->size < size
      || (out->base == 0 && encoded_size > out->record.size))
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "a record of %zu bytes, of which %zu are there",
                           size, bytes->size);
  memcpy (out->record.key, at + RECORD_HEADER_SIZE, key_size);
  *bytes = (struct bgap_bytes){ at + size, bytes->size - size };
  return BGAP_OK;
}

/* Restores a value that is a delta or compressed.  */
static enum bgap_status
_bgap_relay_unpack (const struct past_record *past,
                    struct encoded_record *encoded,
                    struct bgap_relay_message *message, struct bgap_error *err)
{
  struct bgap_store_record *record = &encoded->record;
  struct bgap_bytes base = { 0 };
  if (encoded->base != 0
      && (past == NULL || past->offset + 1 != encoded->base))
    return bgap_error_set (err, BGAP_ERR_STALE,
                           "the base of a delta is not known");
  if (encoded->base != 0)
    base = (struct bgap_bytes){ past->value.data, past->value.size };
  if (record->removed)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "a delta of a removed record");
  void *value = malloc (record->size);
  if (value == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY,
                           "out of memory for a value of %zu bytes",
                           record->size);
  message->memory[message->memory_count++] = value;
  record->value = value;
  enum bgap_status status
      = bgap_delta_decode (&base, &encoded->bytes, value, record->size);
  if (status != BGAP_OK)
    bgap_error_set (err, status, "a value does not decode to %zu bytes",
                    record->size);
  return status;
}

static enum bgap_status
_bgap_relay_add_record (struct bgap_relay_history *history,
                        struct encoded_record *encoded,
                        struct bgap_relay_message *message,
                        struct bgap_error *err)
{
  const struct past_record *past
      = _bgap_relay_history_find (history, encoded->record.key);
  enum bgap_status status = BGAP_OK;
  /* A newer record of the key is known, so this one is obsolete.  */
  if (past != NULL && past->offset > encoded->record.offset)
    return BGAP_OK;
  bool is_known = past != NULL && past->offset == encoded->record.offset;
  encoded->record.value = is_known ? past->value.data : encoded->bytes.data;
  if (is_known)
    encoded->record.size = past->value.size;
  else if (encoded->base != 0 || encoded->bytes.size < encoded->record.size)
    status = _bgap_relay_unpack (past, encoded, message, err);
  if (status != BGAP_OK)
    return status;
  if (!is_known)
    _bgap_relay_history_add_record (history, &encoded->record);
  message->records[message->page.count++] = encoded->record;
  return BGAP_OK;
}

int
bgap_relay_message_topic (const void *bytes, size_t size)
{
  return size >= HEADER_SIZE ? *(const unsigned char *)bytes : -1;
}

uint64_t
bgap_relay_message_timeline (const void *bytes, size_t size)
{
  const unsigned char *header = bytes;
  return size >= HEADER_SIZE ? bgap_bytes_get (header + 1, 8) : 0;
}

enum bgap_status
bgap_relay_decode (struct bgap_relay_history *history, const void *bytes,
                   size_t size, struct bgap_relay_message *message,
                   struct bgap_error *err)
{
  const unsigned char *header = bytes;
  *message = (struct bgap_relay_message){ 0 };
  if (size < HEADER_SIZE)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "%zu bytes instead of the header of a message",
                           size);
  message->records = calloc (BGAP_RELAY_RECORDS_MAX, sizeof *message->records);
  message->memory = calloc (BGAP_RELAY_RECORDS_MAX, sizeof *message->memory);
  if (message->records == NULL || message->memory == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  message->page.timeline = bgap_relay_message_timeline (bytes, size);
  message->page.from = bgap_bytes_get (header + 9, 8);
  message->page.next = bgap_bytes_get (header + 17, 8);
  message->age_ms = (int64_t)bgap_bytes_get (header + 25, 4);
  message->page.records = message->records;
  struct bgap_bytes rest = { header + HEADER_SIZE, size - HEADER_SIZE };
  enum bgap_status status = BGAP_OK;
  for (size_t i = 0; rest.size > 0 && status == BGAP_OK; i++)
    {
      struct encoded_record encoded = { 0 };
      if (i == BGAP_RELAY_RECORDS_MAX)
        return bgap_error_set (err, BGAP_ERR_PROTOCOL, "more than %u records",
                               BGAP_RELAY_RECORDS_MAX);
      status = _bgap_relay_get_record (&rest, &encoded, err);
      if (status == BGAP_OK)
        status = _bgap_relay_add_record (history, &encoded, message, err);
    }
  return status;
}

void
bgap_relay_message_shutdown (struct bgap_relay_message *message)
{
  for (size_t i = 0; i < message->memory_count; i++)
    free (message->memory[i]);
  free (message->memory);
  free (message->records);
  *message = (struct bgap_relay_message){ 0 };
}
