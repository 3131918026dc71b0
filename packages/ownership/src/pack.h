#ifndef BGAP_OWNERSHIP_PACK_H
#define BGAP_OWNERSHIP_PACK_H

/*
 * MessagePack reading with type checks. A reader takes values one after the
 * other; the first mismatch makes all further values zero and ok false.
 *
 *   struct bgap_pack pack;
 *   if (bgap_pack_open (&pack, bytes, size) != BGAP_OK) ...
 *   struct bgap_pack_list list = bgap_pack_root (&pack);
 *   uint64_t applied = bgap_pack_uint (&list, UINT64_MAX);
 *   if (!list.ok) ...
 *   bgap_pack_close (&pack);
 */

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"
#include "banyangap/ownership/entry.h"

struct bgap_pack
{
  msgpack_unpacked unpacked;
};

/**
 * struct bgap_pack_list - a position in an array
 * @ok: no mismatch so far
 */
struct bgap_pack_list
{
  const msgpack_object *items;
  uint32_t count;
  uint32_t next;
  bool ok;
};

/**
 * bgap_pack_open() - parse @bytes, which must hold exactly one value
 *
 * Lengths are checked against the size before anything is allocated.
 *
 * Return: BGAP_OK, BGAP_ERR_PROTOCOL or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_pack_open (struct bgap_pack *pack, const void *bytes,
                                 size_t size);

void bgap_pack_close (struct bgap_pack *pack);

/**
 * bgap_pack_root() - the outermost value, an array
 */
struct bgap_pack_list bgap_pack_root (const struct bgap_pack *pack);

/**
 * bgap_pack_uint() - next value, an integer of at most @max
 */
uint64_t bgap_pack_uint (struct bgap_pack_list *list, uint64_t max);

/**
 * bgap_pack_int() - next value, a signed integer
 */
int64_t bgap_pack_int (struct bgap_pack_list *list);

bool bgap_pack_bool (struct bgap_pack_list *list);

/**
 * bgap_pack_bytes() - next value, binary of at most @max bytes
 */
struct bgap_bytes bgap_pack_bytes (struct bgap_pack_list *list, size_t max);

/**
 * bgap_pack_name() - next value, a name, copied to BGAP_NAME_SIZE bytes;
 * @empty allows the empty string
 */
void bgap_pack_name (struct bgap_pack_list *list, char *name, bool empty);

/**
 * bgap_pack_list() - next value, an array of at most @max values
 */
struct bgap_pack_list bgap_pack_list (struct bgap_pack_list *list,
                                      uint32_t max);

/**
 * bgap_pack_write() - callback of msgpack_packer for a struct bgap_buffer
 */
int bgap_pack_write (void *buffer, const char *bytes, size_t size);

void bgap_pack_put_name (msgpack_packer *packer, const char *name);
void bgap_pack_put_bytes (msgpack_packer *packer, const void *data,
                          size_t size);
void bgap_pack_put_bool (msgpack_packer *packer, bool value);

#endif
