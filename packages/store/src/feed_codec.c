#include "banyangap/store/feed_codec.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "delta.h"

/* Bytes of the head of a message: topic, from, next, age of the read.  */
#define HEAD_SIZE (1 + 8 + 8 + 4)

/* Bytes of the head of a record: offset, size of the key, size of the value,
   bytes that follow, and the offset of the record to which they are the
   difference plus one, or 0 if they are the value.  */
#define RECORD_HEAD_SIZE (8 + 1 + 4 + 4 + 8)

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

struct bgap_feed_history
{
  struct past_record *records;
};

/* History.  */

enum bgap_status
bgap_feed_history_setup (struct bgap_feed_history **history)
{
  *history = calloc (1, sizeof **history);
  return *history != NULL ? BGAP_OK : BGAP_ERR_NO_MEMORY;
}

static void
_bgap_history_drop (struct bgap_feed_history *history,
                    struct past_record *past)
{
  HASH_DEL (history->records, past);
  bgap_buffer_shutdown (&past->value);
  free (past);
}

void
bgap_feed_history_shutdown (struct bgap_feed_history *history)
{
  struct past_record *past;
  struct past_record *next;
  if (history == NULL)
    return;
  HASH_ITER (hh, history->records, past, next)
  {
    _bgap_history_drop (history, past);
  }
  free (history);
}

static struct past_record *
_bgap_history_find (const struct bgap_feed_history *history, const char *key)
{
  struct past_record *past;
  HASH_FIND_STR (history->records, key, past);
  return past;
}

/* Without memory the key is forgotten, and its next record is sent, or read
   from the store, in full.  */
static void
_bgap_history_note (struct bgap_feed_history *history,
                    const struct bgap_store_record *record)
{
  struct past_record *past = _bgap_history_find (history, record->key);
  bool is_long = !record->removed && record->size >= BGAP_FEED_DELTA_SIZE_MIN;
  if (past == NULL && is_long)
    {
      past = calloc (1, sizeof *past);
      if (past == NULL)
        return;
      memcpy (past->key, record->key, sizeof past->key);
      HASH_ADD_STR (history->records, key, past);
    }
  if (past == NULL)
    return;
  bgap_buffer_shutdown (&past->value);
  past->offset = record->offset;
  if (!is_long
      || bgap_buffer_append (&past->value, record->value, record->size)
             != BGAP_OK)
    _bgap_history_drop (history, past);
}

void
bgap_feed_history_note (struct bgap_feed_history *history,
                        const struct bgap_store_record *records, size_t count)
{
  for (size_t i = 0; i < count; i++)
    _bgap_history_note (history, &records[i]);
}

/* Encoding.  */

static void
_bgap_feed_put (unsigned char *out, uint64_t value, int bytes)
{
  for (int i = 0; i < bytes; i++)
    out[i] = (unsigned char)(value >> 8 * (bytes - 1 - i));
}

static uint64_t
_bgap_feed_get (const unsigned char *in, int bytes)
{
  uint64_t value = 0;
  for (int i = 0; i < bytes; i++)
    value = value << 8 | in[i];
  return value;
}

/* The bytes of a record's value on the way; the base, or 0 for none.  */
static enum bgap_status
_bgap_feed_pack (const struct bgap_feed_history *history,
                 const struct bgap_store_record *record,
                 struct bgap_buffer *out, uint64_t *base)
{
  const struct bgap_bytes value = { record->value, record->size };
  const struct past_record *past = _bgap_history_find (history, record->key);
  *base = 0;
  if (record->removed)
    return BGAP_OK;
  if (past == NULL || record->size < BGAP_FEED_DELTA_SIZE_MIN)
    return bgap_buffer_append (out, value.data, value.size);
  *base = past->offset + 1;
  return bgap_delta_pack (
      &(struct bgap_bytes){ past->value.data, past->value.size }, &value, out);
}

static enum bgap_status
_bgap_feed_put_record (struct bgap_feed_history *history,
                       const struct bgap_store_record *record,
                       struct bgap_buffer *out)
{
  unsigned char head[RECORD_HEAD_SIZE];
  struct bgap_buffer packed = { 0 };
  uint64_t base = 0;
  enum bgap_status status = _bgap_feed_pack (history, record, &packed, &base);
  _bgap_feed_put (head, record->offset, 8);
  head[8] = (unsigned char)strlen (record->key);
  _bgap_feed_put (head + 9, record->removed ? 0 : record->size, 4);
  _bgap_feed_put (head + 13, packed.size, 4);
  _bgap_feed_put (head + 17, base, 8);
  if (status == BGAP_OK)
    status = bgap_buffer_append (out, head, sizeof head);
  if (status == BGAP_OK)
    status = bgap_buffer_append (out, record->key, head[8]);
  if (status == BGAP_OK && packed.size > 0)
    status = bgap_buffer_append (out, packed.data, packed.size);
  bgap_buffer_shutdown (&packed);
  _bgap_history_note (history, record);
  return status;
}

enum bgap_status
bgap_feed_encode (struct bgap_feed_history *history, uint8_t topic,
                  const struct bgap_feed *feed, int64_t age_ms,
                  struct bgap_buffer *out)
{
  unsigned char head[HEAD_SIZE];
  head[0] = topic;
  _bgap_feed_put (head + 1, feed->from, 8);
  _bgap_feed_put (head + 9, feed->next, 8);
  _bgap_feed_put (head + 17, (uint64_t)age_ms, 4);
  enum bgap_status status = bgap_buffer_append (out, head, sizeof head);
  for (size_t i = 0; i < feed->count && status == BGAP_OK; i++)
    status = _bgap_feed_put_record (history, &feed->records[i], out);
  return status;
}

/* Decoding.  */

/**
 * struct packed_record - a record as it travels
 */
struct packed_record
{
  struct bgap_store_record record;
  struct bgap_bytes bytes;
  uint64_t base;
};

/* Reads a record at the beginning of @bytes and moves them on.  */
static enum bgap_status
_bgap_feed_get_record (struct bgap_bytes *bytes, struct packed_record *out)
{
  const unsigned char *at = bytes->data;
  if (bytes->size < RECORD_HEAD_SIZE)
    return BGAP_ERR_PROTOCOL;
  size_t key_size = at[8];
  size_t packed_size = _bgap_feed_get (at + 13, 4);
  size_t size = RECORD_HEAD_SIZE + key_size + packed_size;
  *out = (struct packed_record){
    .record
    = { .offset = _bgap_feed_get (at, 8), .size = _bgap_feed_get (at + 9, 4) },
    .bytes = { at + RECORD_HEAD_SIZE + key_size, packed_size },
    .base = _bgap_feed_get (at + 17, 8),
  };
  out->record.removed = out->record.size == 0;
  if (bytes->size < size || out->record.size > BGAP_FEED_VALUE_SIZE_MAX
      || (out->base == 0 && packed_size != out->record.size))
    return BGAP_ERR_PROTOCOL;
  memcpy (out->record.key, at + RECORD_HEAD_SIZE, key_size);
  *bytes = (struct bgap_bytes){ at + size, bytes->size - size };
  return BGAP_OK;
}

/* Restores a value that is a difference.  */
static enum bgap_status
_bgap_feed_unpack (const struct past_record *past,
                   struct packed_record *packed,
                   struct bgap_feed_message *message)
{
  struct bgap_store_record *record = &packed->record;
  if (past == NULL || past->offset + 1 != packed->base)
    return BGAP_ERR_STALE;
  if (record->removed)
    return BGAP_ERR_PROTOCOL;
  void *value = malloc (record->size);
  if (value == NULL)
    return BGAP_ERR_NO_MEMORY;
  message->memory[message->memory_count++] = value;
  record->value = value;
  return bgap_delta_unpack (
      &(struct bgap_bytes){ past->value.data, past->value.size },
      &packed->bytes, value, record->size);
}

static enum bgap_status
_bgap_feed_add (struct bgap_feed_history *history,
                struct packed_record *packed,
                struct bgap_feed_message *message)
{
  const struct past_record *past
      = _bgap_history_find (history, packed->record.key);
  enum bgap_status status = BGAP_OK;
  /* A newer record with the key is known, and this one says nothing more.  */
  if (past != NULL && past->offset > packed->record.offset)
    return BGAP_OK;
  bool is_known = past != NULL && past->offset == packed->record.offset;
  packed->record.value = is_known ? past->value.data : packed->bytes.data;
  if (is_known)
    packed->record.size = past->value.size;
  else if (packed->base != 0)
    status = _bgap_feed_unpack (past, packed, message);
  if (status != BGAP_OK)
    return status;
  if (!is_known)
    _bgap_history_note (history, &packed->record);
  message->records[message->feed.count++] = packed->record;
  return BGAP_OK;
}

int
bgap_feed_topic (const void *bytes, size_t size)
{
  return size >= HEAD_SIZE ? *(const unsigned char *)bytes : -1;
}

enum bgap_status
bgap_feed_decode (struct bgap_feed_history *history, const void *bytes,
                  size_t size, struct bgap_feed_message *message)
{
  const unsigned char *head = bytes;
  *message = (struct bgap_feed_message){ 0 };
  if (size < HEAD_SIZE)
    return BGAP_ERR_PROTOCOL;
  message->records = calloc (BGAP_FEED_RECORDS_MAX, sizeof *message->records);
  message->memory = calloc (BGAP_FEED_RECORDS_MAX, sizeof *message->memory);
  if (message->records == NULL || message->memory == NULL)
    return BGAP_ERR_NO_MEMORY;
  message->feed.from = _bgap_feed_get (head + 1, 8);
  message->feed.next = _bgap_feed_get (head + 9, 8);
  message->age_ms = (int64_t)_bgap_feed_get (head + 17, 4);
  message->feed.records = message->records;
  struct bgap_bytes rest = { head + HEAD_SIZE, size - HEAD_SIZE };
  enum bgap_status status = BGAP_OK;
  for (size_t i = 0; rest.size > 0 && status == BGAP_OK; i++)
    {
      struct packed_record packed;
      status = i < BGAP_FEED_RECORDS_MAX
                   ? _bgap_feed_get_record (&rest, &packed)
                   : BGAP_ERR_PROTOCOL;
      if (status == BGAP_OK)
        status = _bgap_feed_add (history, &packed, message);
    }
  return status;
}

void
bgap_feed_message_shutdown (struct bgap_feed_message *message)
{
  for (size_t i = 0; i < message->memory_count; i++)
    free (message->memory[i]);
  free (message->memory);
  free (message->records);
  *message = (struct bgap_feed_message){ 0 };
}
