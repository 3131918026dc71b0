#include "banyangap/ownership/message.h"

#include <stdlib.h>
#include <string.h>

#include "pack.h"

/* Schema of the messages; another one is an error, because instances of one
   cell must agree on what an answer means.  */
#define MESSAGE_SCHEMA 1

#define FIELD_COUNT 17

/* Loads in one message: every slice and key entry.  */
#define LOADS_MAX (BGAP_SLICES_MAX + BGAP_KEYS_MAX)

enum flags
{
  FLAG_CAUGHT_UP = 1,
  FLAG_STOPPED = 2,
  FLAG_LEAVING = 4,
  FLAG_LOG_DOWN = 8
};

/**
 * struct memory - lists of a parsed message
 */
struct memory
{
  struct bgap_pack pack;
  struct bgap_message_scope *scopes;
  struct bgap_message_server *servers;
  struct bgap_message_load *loads;
  struct bgap_bytes *records;
};

static void
_bgap_message_read_scopes (struct bgap_pack_list *list,
                           struct bgap_message *message, struct memory *memory)
{
  struct bgap_pack_list items = bgap_pack_list (list, BGAP_SCOPES_MAX);
  memory->scopes = calloc (items.count + 1, sizeof *memory->scopes);
  list->ok = list->ok && memory->scopes;
  for (uint32_t i = 0; list->ok && i < items.count; i++)
    {
      struct bgap_pack_list fields = bgap_pack_list (&items, 2);
      bgap_pack_name (&fields, memory->scopes[i].name, false);
      memory->scopes[i].basis = bgap_pack_uint (&fields, INT64_MAX);
      list->ok = fields.ok;
    }
  message->scopes = memory->scopes;
  message->scope_count = items.count;
}

static void
_bgap_message_read_servers (struct bgap_pack_list *list,
                            struct bgap_message *message,
                            struct memory *memory)
{
  struct bgap_pack_list items
      = bgap_pack_list (list, BGAP_MESSAGE_SERVERS_MAX);
  memory->servers = calloc (items.count + 1, sizeof *memory->servers);
  list->ok = list->ok && memory->servers;
  for (uint32_t i = 0; list->ok && i < items.count; i++)
    {
      struct bgap_message_server *server = &memory->servers[i];
      struct bgap_pack_list fields = bgap_pack_list (&items, 8);
      bgap_pack_name (&fields, server->name, false);
      server->incarnation = bgap_pack_uint (&fields, UINT64_MAX);
      server->acked = bgap_pack_uint (&fields, INT64_MAX);
      server->age_ms = bgap_pack_int (&fields);
      server->draining = bgap_pack_bool (&fields);
      server->in_flight = (uint32_t)bgap_pack_uint (&fields, UINT32_MAX);
      server->slots = (uint32_t)bgap_pack_uint (&fields, UINT32_MAX);
      server->queued = (uint32_t)bgap_pack_uint (&fields, UINT32_MAX);
      list->ok = fields.ok;
    }
  message->servers = memory->servers;
  message->server_count = items.count;
}

static void
_bgap_message_read_loads (struct bgap_pack_list *list,
                          struct bgap_message *message, struct memory *memory)
{
  struct bgap_pack_list items = bgap_pack_list (list, LOADS_MAX);
  memory->loads = calloc (items.count + 1, sizeof *memory->loads);
  list->ok = list->ok && memory->loads;
  for (uint32_t i = 0; list->ok && i < items.count; i++)
    {
      struct bgap_message_load *load = &memory->loads[i];
      struct bgap_pack_list fields = bgap_pack_list (&items, 3);
      load->slice = (uint32_t)bgap_pack_uint (&fields, BGAP_SLICES_MAX - 1);
      load->key = bgap_pack_bytes (&fields, BGAP_KEY_MAX);
      load->requests = (uint32_t)bgap_pack_uint (&fields, UINT32_MAX);
      list->ok = fields.ok;
    }
  message->loads = memory->loads;
  message->load_count = items.count;
}

static void
_bgap_message_read_records (struct bgap_pack_list *list,
                            struct bgap_message *message,
                            struct memory *memory)
{
  struct bgap_pack_list items
      = bgap_pack_list (list, BGAP_MESSAGE_RECORDS_MAX);
  memory->records = calloc (items.count + 1, sizeof *memory->records);
  list->ok = list->ok && memory->records;
  for (uint32_t i = 0; list->ok && i < items.count; i++)
    {
      memory->records[i] = bgap_pack_bytes (&items, BGAP_MESSAGE_MAX);
      list->ok = items.ok;
    }
  message->records = memory->records;
  message->record_count = items.count;
}

static bool
_bgap_message_read (struct bgap_pack_list *list, struct bgap_message *message,
                    struct memory *memory)
{
  if (list->count != FIELD_COUNT)
    return false;
  message->kind = (enum bgap_message_kind)bgap_pack_uint (
      list, BGAP_MESSAGE_KIND_COUNT - 1);
  if (bgap_pack_uint (list, UINT32_MAX) != MESSAGE_SCHEMA || !message->kind)
    return false;
  message->nonce = bgap_pack_uint (list, UINT64_MAX);
  message->incarnation = bgap_pack_uint (list, UINT64_MAX);
  message->applied = bgap_pack_uint (list, INT64_MAX);
  message->witness_basis = bgap_pack_uint (list, INT64_MAX);
  message->in_force = bgap_pack_uint (list, INT64_MAX);
  message->config = bgap_pack_uint (list, INT64_MAX);
  unsigned flags = (unsigned)bgap_pack_uint (list, UINT8_MAX);
  message->caught_up = flags & FLAG_CAUGHT_UP;
  message->stopped = flags & FLAG_STOPPED;
  message->leaving = flags & FLAG_LEAVING;
  message->log_down = flags & FLAG_LOG_DOWN;
  bgap_pack_name (list, message->service, true);
  message->snapshot_id = bgap_pack_uint (list, UINT64_MAX);
  message->part = (uint32_t)bgap_pack_uint (list, UINT32_MAX);
  message->parts = (uint32_t)bgap_pack_uint (list, UINT32_MAX);
  _bgap_message_read_scopes (list, message, memory);
  _bgap_message_read_servers (list, message, memory);
  _bgap_message_read_loads (list, message, memory);
  _bgap_message_read_records (list, message, memory);
  return list->ok;
}

enum bgap_status
bgap_message_parse (const void *bytes, size_t size,
                    struct bgap_message *message, struct bgap_error *err)
{
  *message = (struct bgap_message){ 0 };
  if (size > BGAP_MESSAGE_MAX)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "a message has more than %d bytes",
                           BGAP_MESSAGE_MAX);
  struct memory *memory = calloc (1, sizeof *memory);
  if (memory == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  enum bgap_status status = bgap_pack_open (&memory->pack, bytes, size);
  if (status != BGAP_OK)
    {
      free (memory);
      return bgap_error_set (err, status, "a message is malformed");
    }
  message->memory = memory;
  struct bgap_pack_list list = bgap_pack_root (&memory->pack);
  if (_bgap_message_read (&list, message, memory))
    return BGAP_OK;
  bgap_message_shutdown (message);
  return bgap_error_set (err, BGAP_ERR_PROTOCOL, "a message is malformed");
}

void
bgap_message_shutdown (struct bgap_message *message)
{
  struct memory *memory = message->memory;
  if (memory)
    {
      free (memory->scopes);
      free (memory->servers);
      free (memory->loads);
      free (memory->records);
      bgap_pack_close (&memory->pack);
      free (memory);
    }
  *message = (struct bgap_message){ 0 };
}

static void
_bgap_message_put_server (msgpack_packer *packer,
                          const struct bgap_message_server *server)
{
  msgpack_pack_array (packer, 8);
  bgap_pack_put_name (packer, server->name);
  msgpack_pack_uint64 (packer, server->incarnation);
  msgpack_pack_uint64 (packer, server->acked);
  msgpack_pack_int64 (packer, server->age_ms);
  bgap_pack_put_bool (packer, server->draining);
  msgpack_pack_uint32 (packer, server->in_flight);
  msgpack_pack_uint32 (packer, server->slots);
  msgpack_pack_uint32 (packer, server->queued);
}

static void
_bgap_message_put_lists (msgpack_packer *packer,
                         const struct bgap_message *message)
{
  msgpack_pack_array (packer, message->scope_count);
  for (uint32_t i = 0; i < message->scope_count; i++)
    {
      msgpack_pack_array (packer, 2);
      bgap_pack_put_name (packer, message->scopes[i].name);
      msgpack_pack_uint64 (packer, message->scopes[i].basis);
    }
  msgpack_pack_array (packer, message->server_count);
  for (uint32_t i = 0; i < message->server_count; i++)
    _bgap_message_put_server (packer, &message->servers[i]);
  msgpack_pack_array (packer, message->load_count);
  for (uint32_t i = 0; i < message->load_count; i++)
    {
      msgpack_pack_array (packer, 3);
      msgpack_pack_uint32 (packer, message->loads[i].slice);
      bgap_pack_put_bytes (packer, message->loads[i].key.data,
                           message->loads[i].key.size);
      msgpack_pack_uint32 (packer, message->loads[i].requests);
    }
  msgpack_pack_array (packer, message->record_count);
  for (uint32_t i = 0; i < message->record_count; i++)
    bgap_pack_put_bytes (packer, message->records[i].data,
                         message->records[i].size);
}

enum bgap_status
bgap_message_print (const struct bgap_message *message,
                    struct bgap_buffer *out)
{
  msgpack_packer packer;
  size_t start = out->size;
  msgpack_packer_init (&packer, out, bgap_pack_write);
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
  bgap_pack_put_name (&packer, message->service);
  msgpack_pack_uint64 (&packer, message->snapshot_id);
  msgpack_pack_uint32 (&packer, message->part);
  msgpack_pack_uint32 (&packer, message->parts);
  _bgap_message_put_lists (&packer, message);
  return out->size - start > BGAP_MESSAGE_MAX ? BGAP_ERR_INVALID : BGAP_OK;
}
