#include "banyangap/ownership/message.h"

#include <stdlib.h>
#include <string.h>

#include "msgpack_codec.h"

/* Schema version of the messages. A message with another version is rejected,
   because the instances of a cell must agree on the meaning of a reply.  */
#define MESSAGE_SCHEMA 1

#define FIELD_COUNT 17

/* Maximum number of loads in a message: every slice and every key entry.  */
#define LOAD_ITEMS_MAX (BGAP_SLICES_MAX + BGAP_KEYS_MAX)

enum message_flags
{
  FLAG_CAUGHT_UP = 1,
  FLAG_STOPPED = 2,
  FLAG_LEAVING = 4,
  FLAG_LOG_DOWN = 8
};

/**
 * struct message_storage - memory that a decoded message points to
 */
struct message_storage
{
  struct bgap_msgpack msgpack;
  struct bgap_message_scope *scopes;
  struct bgap_message_server *servers;
  struct bgap_message_load *loads;
  struct bgap_bytes *records;
};

static void
_bgap_message_read_scopes (struct bgap_msgpack_array *list,
                           struct bgap_message *message,
                           struct message_storage *storage)
{
  struct bgap_msgpack_array items
      = bgap_msgpack_read_array (list, BGAP_SCOPES_MAX);
  storage->scopes = calloc (items.count + 1, sizeof *storage->scopes);
  list->ok = list->ok && storage->scopes;
  for (uint32_t i = 0; list->ok && i < items.count; i++)
    {
      struct bgap_msgpack_array fields = bgap_msgpack_read_array (&items, 2);
      bgap_msgpack_read_name (&fields, storage->scopes[i].name, false);
      storage->scopes[i].basis = bgap_msgpack_read_uint (&fields, INT64_MAX);
      list->ok = fields.ok;
    }
  message->scopes = storage->scopes;
  message->scope_count = items.count;
}

static void
_bgap_message_read_servers (struct bgap_msgpack_array *list,
                            struct bgap_message *message,
                            struct message_storage *storage)
{
  struct bgap_msgpack_array items
      = bgap_msgpack_read_array (list, BGAP_MESSAGE_SERVERS_MAX);
  storage->servers = calloc (items.count + 1, sizeof *storage->servers);
  list->ok = list->ok && storage->servers;
  for (uint32_t i = 0; list->ok && i < items.count; i++)
    {
      struct bgap_message_server *server = &storage->servers[i];
      struct bgap_msgpack_array fields = bgap_msgpack_read_array (&items, 8);
      bgap_msgpack_read_name (&fields, server->name, false);
      server->incarnation = bgap_msgpack_read_uint (&fields, UINT64_MAX);
      server->acked = bgap_msgpack_read_uint (&fields, INT64_MAX);
      server->age_ms = bgap_msgpack_read_int (&fields);
      server->draining = bgap_msgpack_read_bool (&fields);
      server->in_flight
          = (uint32_t)bgap_msgpack_read_uint (&fields, UINT32_MAX);
      server->slots = (uint32_t)bgap_msgpack_read_uint (&fields, UINT32_MAX);
      server->queued = (uint32_t)bgap_msgpack_read_uint (&fields, UINT32_MAX);
      list->ok = fields.ok;
    }
  message->servers = storage->servers;
  message->server_count = items.count;
}

static void
_bgap_message_read_loads (struct bgap_msgpack_array *list,
                          struct bgap_message *message,
                          struct message_storage *storage)
{
  struct bgap_msgpack_array items
      = bgap_msgpack_read_array (list, LOAD_ITEMS_MAX);
  storage->loads = calloc (items.count + 1, sizeof *storage->loads);
  list->ok = list->ok && storage->loads;
  for (uint32_t i = 0; list->ok && i < items.count; i++)
    {
      struct bgap_message_load *load = &storage->loads[i];
      struct bgap_msgpack_array fields = bgap_msgpack_read_array (&items, 3);
      load->slice
          = (uint32_t)bgap_msgpack_read_uint (&fields, BGAP_SLICES_MAX - 1);
      load->key = bgap_msgpack_read_bytes (&fields, BGAP_KEY_MAX);
      load->requests = (uint32_t)bgap_msgpack_read_uint (&fields, UINT32_MAX);
      list->ok = fields.ok;
    }
  message->loads = storage->loads;
  message->load_count = items.count;
}

static void
_bgap_message_read_records (struct bgap_msgpack_array *list,
                            struct bgap_message *message,
                            struct message_storage *storage)
{
  struct bgap_msgpack_array items
      = bgap_msgpack_read_array (list, BGAP_MESSAGE_RECORDS_MAX);
  storage->records = calloc (items.count + 1, sizeof *storage->records);
  list->ok = list->ok && storage->records;
  for (uint32_t i = 0; list->ok && i < items.count; i++)
    {
      storage->records[i] = bgap_msgpack_read_bytes (&items, BGAP_MESSAGE_MAX);
      list->ok = items.ok;
    }
  message->records = storage->records;
  message->record_count = items.count;
}

static bool
_bgap_message_read (struct bgap_msgpack_array *list,
                    struct bgap_message *message,
                    struct message_storage *storage)
{
  if (list->count != FIELD_COUNT)
    return false;
  message->kind = (enum bgap_message_kind)bgap_msgpack_read_uint (
      list, BGAP_MESSAGE_KIND_COUNT - 1);
  if (bgap_msgpack_read_uint (list, UINT32_MAX) != MESSAGE_SCHEMA
      || !message->kind)
    return false;
  message->nonce = bgap_msgpack_read_uint (list, UINT64_MAX);
  message->incarnation = bgap_msgpack_read_uint (list, UINT64_MAX);
  message->applied = bgap_msgpack_read_uint (list, INT64_MAX);
  message->witness_basis = bgap_msgpack_read_uint (list, INT64_MAX);
  message->in_force = bgap_msgpack_read_uint (list, INT64_MAX);
  message->config = bgap_msgpack_read_uint (list, INT64_MAX);
  unsigned flags = (unsigned)bgap_msgpack_read_uint (list, UINT8_MAX);
  message->caught_up = flags & FLAG_CAUGHT_UP;
  message->stopped = flags & FLAG_STOPPED;
  message->leaving = flags & FLAG_LEAVING;
  message->log_down = flags & FLAG_LOG_DOWN;
  bgap_msgpack_read_name (list, message->service, true);
  message->snapshot_id = bgap_msgpack_read_uint (list, UINT64_MAX);
  message->part = (uint32_t)bgap_msgpack_read_uint (list, UINT32_MAX);
  message->parts = (uint32_t)bgap_msgpack_read_uint (list, UINT32_MAX);
  _bgap_message_read_scopes (list, message, storage);
  _bgap_message_read_servers (list, message, storage);
  _bgap_message_read_loads (list, message, storage);
  _bgap_message_read_records (list, message, storage);
  return list->ok;
}

enum bgap_status
bgap_message_decode (const void *bytes, size_t size,
                     struct bgap_message *message, struct bgap_error *err)
{
  *message = (struct bgap_message){ 0 };
  if (size > BGAP_MESSAGE_MAX)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "the message exceeds %d bytes", BGAP_MESSAGE_MAX);
  struct message_storage *storage = calloc (1, sizeof *storage);
  if (storage == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  enum bgap_status status = bgap_msgpack_open (&storage->msgpack, bytes, size);
  if (status != BGAP_OK)
    {
      free (storage);
      return bgap_error_set (err, status, "the message is malformed");
    }
  message->memory = storage;
  struct bgap_msgpack_array list = bgap_msgpack_root (&storage->msgpack);
  if (_bgap_message_read (&list, message, storage))
    return BGAP_OK;
  bgap_message_shutdown (message);
  return bgap_error_set (err, BGAP_ERR_PROTOCOL, "the message is malformed");
}

void
bgap_message_shutdown (struct bgap_message *message)
{
  struct message_storage *storage = message->memory;
  if (storage)
    {
      free (storage->scopes);
      free (storage->servers);
      free (storage->loads);
      free (storage->records);
      bgap_msgpack_close (&storage->msgpack);
      free (storage);
    }
  *message = (struct bgap_message){ 0 };
}

static void
_bgap_message_write_server (msgpack_packer *packer,
                            const struct bgap_message_server *server)
{
  msgpack_pack_array (packer, 8);
  bgap_msgpack_write_name (packer, server->name);
  msgpack_pack_uint64 (packer, server->incarnation);
  msgpack_pack_uint64 (packer, server->acked);
  msgpack_pack_int64 (packer, server->age_ms);
  bgap_msgpack_write_bool (packer, server->draining);
  msgpack_pack_uint32 (packer, server->in_flight);
  msgpack_pack_uint32 (packer, server->slots);
  msgpack_pack_uint32 (packer, server->queued);
}

static void
_bgap_message_write_lists (msgpack_packer *packer,
                           const struct bgap_message *message)
{
  msgpack_pack_array (packer, message->scope_count);
  for (uint32_t i = 0; i < message->scope_count; i++)
    {
      msgpack_pack_array (packer, 2);
      bgap_msgpack_write_name (packer, message->scopes[i].name);
      msgpack_pack_uint64 (packer, message->scopes[i].basis);
    }
  msgpack_pack_array (packer, message->server_count);
  for (uint32_t i = 0; i < message->server_count; i++)
    _bgap_message_write_server (packer, &message->servers[i]);
  msgpack_pack_array (packer, message->load_count);
  for (uint32_t i = 0; i < message->load_count; i++)
    {
      msgpack_pack_array (packer, 3);
      msgpack_pack_uint32 (packer, message->loads[i].slice);
      bgap_msgpack_write_bytes (packer, message->loads[i].key.data,
                                message->loads[i].key.size);
      msgpack_pack_uint32 (packer, message->loads[i].requests);
    }
  msgpack_pack_array (packer, message->record_count);
  for (uint32_t i = 0; i < message->record_count; i++)
    bgap_msgpack_write_bytes (packer, message->records[i].data,
                              message->records[i].size);
}

enum bgap_status
bgap_message_encode (const struct bgap_message *message,
                     struct bgap_buffer *out)
{
  msgpack_packer packer;
  size_t start = out->size;
  msgpack_packer_init (&packer, out, bgap_msgpack_append);
  msgpack_pack_array (&packer, FIELD_COUNT);
  msgpack_pack_uint32 (&packer, message->kind);
  msgpack_pack_uint32 (&packer, MESSAGE_SCHEMA);
  msgpack_pack_uint64 (&packer, message->nonce);
  msgpack_pack_uint64 (&packer, message->incarnation);
  msgpack_pack_uint64 (&packer, message->applied);
  msgpack_pack_uint64 (&packer, message->witness_basis);
  msgpack_pack_uint64 (&packer, message->in_force);
  msgpack_pack_uint64 (&packer, message->config);
  msgpack_pack_uint32 (&packer,
                       (message->caught_up ? FLAG_CAUGHT_UP : 0u)
                           | (message->stopped ? FLAG_STOPPED : 0u)
                           | (message->leaving ? FLAG_LEAVING : 0u)
                           | (message->log_down ? FLAG_LOG_DOWN : 0u));
  bgap_msgpack_write_name (&packer, message->service);
  msgpack_pack_uint64 (&packer, message->snapshot_id);
  msgpack_pack_uint32 (&packer, message->part);
  msgpack_pack_uint32 (&packer, message->parts);
  _bgap_message_write_lists (&packer, message);
  return out->size - start > BGAP_MESSAGE_MAX ? BGAP_ERR_INVALID : BGAP_OK;
}
