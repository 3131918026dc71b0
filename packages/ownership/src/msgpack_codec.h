#ifndef BGAP_OWNERSHIP_MSGPACK_CODEC_H
#define BGAP_OWNERSHIP_MSGPACK_CODEC_H

/*
 * MessagePack decoding with type checks, and helpers for encoding.
 *
 * The read functions return the values of an array one after the other. After
 * the first value of a wrong type or range, ok is false and all further reads
 * return zero.
 *
 *   struct bgap_msgpack msgpack;
 *   if (bgap_msgpack_open (&msgpack, bytes, size) != BGAP_OK) ...
 *   struct bgap_msgpack_array list = bgap_msgpack_root (&msgpack);
 *   uint64_t applied = bgap_msgpack_read_uint (&list, UINT64_MAX);
 *   if (!list.ok) ...
 *   bgap_msgpack_close (&msgpack);
 */

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"
#include "banyangap/ownership/entry.h"

struct bgap_msgpack
{
  msgpack_unpacked unpacked;
};

/**
 * struct bgap_msgpack_array - read position in an array
 * @next: index of the next value
 * @ok: all values read so far had the expected type and range
 */
struct bgap_msgpack_array
{
  const msgpack_object *items;
  uint32_t count;
  uint32_t next;
  bool ok;
};

/**
 * bgap_msgpack_open() - parse @bytes, which must contain exactly one value
 *
 * All lengths are checked against @size before memory is allocated.
 *
 * Return: BGAP_OK, BGAP_ERR_PROTOCOL or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_msgpack_open (struct bgap_msgpack *msgpack,
                                    const void *bytes, size_t size);

void bgap_msgpack_close (struct bgap_msgpack *msgpack);

/**
 * bgap_msgpack_root() - get the outermost value, an array
 */
struct bgap_msgpack_array
bgap_msgpack_root (const struct bgap_msgpack *msgpack);

/**
 * bgap_msgpack_read_uint() - read an unsigned integer of at most @max
 */
uint64_t bgap_msgpack_read_uint (struct bgap_msgpack_array *list,
                                 uint64_t max);

/**
 * bgap_msgpack_read_int() - read a signed integer
 */
int64_t bgap_msgpack_read_int (struct bgap_msgpack_array *list);

bool bgap_msgpack_read_bool (struct bgap_msgpack_array *list);

/**
 * bgap_msgpack_read_bytes() - read a binary value of at most @max bytes
 */
struct bgap_bytes bgap_msgpack_read_bytes (struct bgap_msgpack_array *list,
                                           size_t max);

/**
 * bgap_msgpack_read_name() - read a string that is a name
 * @name: buffer of BGAP_NAME_SIZE bytes
 * @empty: whether the empty string is allowed
 */
void bgap_msgpack_read_name (struct bgap_msgpack_array *list, char *name,
                             bool empty);

/**
 * bgap_msgpack_read_array() - read an array of at most @max values
 */
struct bgap_msgpack_array
bgap_msgpack_read_array (struct bgap_msgpack_array *list, uint32_t max);

/**
 * bgap_msgpack_append() - write callback of msgpack_packer that appends to a
 * struct bgap_buffer
 */
int bgap_msgpack_append (void *buffer, const char *bytes, size_t size);

void bgap_msgpack_write_name (msgpack_packer *packer, const char *name);
void bgap_msgpack_write_bytes (msgpack_packer *packer, const void *data,
                               size_t size);
void bgap_msgpack_write_bool (msgpack_packer *packer, bool value);

#endif
