#ifndef BANYANGAP_GATEWAY_HEADERS_H
#define BANYANGAP_GATEWAY_HEADERS_H

/*
 * Ordered list of HTTP header fields. Names are case-insensitive.
 *
 *   struct bgap_headers headers = { 0 };
 *   bgap_headers_add (&headers, "Bgap-Outcome", "answered");
 *   const char *outcome = bgap_headers_find (&headers, "bgap-outcome");
 *   bgap_headers_shutdown (&headers);
 */

#include <stddef.h>

#include "banyangap/base/status.h"

/* Maximum number of fields of a head that is received.  */
#define BGAP_HEADERS_RECEIVED_MAX 128

/* Limits of a list: number of fields, with room for those that are added to a
   head that is passed on, and bytes of all names and values.  */
#define BGAP_HEADERS_COUNT_MAX (BGAP_HEADERS_RECEIVED_MAX + 16)
#define BGAP_HEADERS_SIZE_MAX 32768

/**
 * struct bgap_header - one field; both strings are zero-terminated
 */
struct bgap_header
{
  char *name;
  char *value;
};

/**
 * struct bgap_headers - the list; zeroed means empty
 * @items: fields in order
 * @count: number of fields
 * @capacity: private
 * @size: bytes of all names and values
 */
struct bgap_headers
{
  struct bgap_header *items;
  size_t count;
  size_t capacity;
  size_t size;
};

/**
 * bgap_headers_add() - append a copy of a field
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID (the name is not a token, or the value
 * contains a control character), BGAP_ERR_FULL (a limit above is exceeded) or
 * BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_headers_add (struct bgap_headers *headers,
                                   const char *name, const char *value);

/**
 * bgap_headers_add_bytes() - append a copy of a field, from strings that
 * need no terminating zero
 *
 * Return: as for bgap_headers_add().
 */
enum bgap_status bgap_headers_add_bytes (struct bgap_headers *headers,
                                         const char *name, size_t name_size,
                                         const char *value, size_t value_size);

/**
 * bgap_headers_set() - remove all fields with the name and append one
 *
 * Return: as for bgap_headers_add().
 */
enum bgap_status bgap_headers_set (struct bgap_headers *headers,
                                   const char *name, const char *value);

/**
 * bgap_headers_find() - value of the first field with the name, or NULL
 */
const char *bgap_headers_find (const struct bgap_headers *headers,
                               const char *name);

/**
 * bgap_headers_remove() - remove all fields with the name
 */
void bgap_headers_remove (struct bgap_headers *headers, const char *name);

/**
 * bgap_headers_copy() - append copies of all fields of @from
 *
 * Return: as for bgap_headers_add().
 */
enum bgap_status bgap_headers_copy (struct bgap_headers *headers,
                                    const struct bgap_headers *from);

/**
 * bgap_headers_remove_hop_by_hop() - remove the fields that apply to one
 * connection only (RFC 9110, section 7.6.1) and those that Connection lists
 *
 * Fields that decide how a request is treated (Host, Content-Length,
 * Content-Type, Authorization, Idempotency-Key, Bgap-...) are kept even if
 * Connection lists them.
 */
void bgap_headers_remove_hop_by_hop (struct bgap_headers *headers);

/**
 * bgap_headers_shutdown() - free the memory; the list is empty afterwards
 */
void bgap_headers_shutdown (struct bgap_headers *headers);

#endif
