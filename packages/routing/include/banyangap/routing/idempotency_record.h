#ifndef BANYANGAP_ROUTING_IDEMPOTENCY_RECORD_H
#define BANYANGAP_ROUTING_IDEMPOTENCY_RECORD_H

/*
 * Codec for the records of a stream once.<service>. A record is one JSON
 * object with the intents and outcomes of one group commit of one instance.
 *
 *   {"type":"once","schema":1,"instance":"entry-1","items":[
 *     {"intent":"<uuid>","attempt":"<32 hex digits>","digest":"<16 hex>"},
 *     {"outcome":"<uuid>","attempt":"<32 hex digits>",
 *      "result":"answered","status":200,"type":"text/plain","body":"<base64>"}
 *   ]}
 *
 *   struct bgap_idempotency_record record;
 *   if (bgap_idempotency_record_parse (&record, bytes, size, &err) == BGAP_OK)
 *     while (bgap_idempotency_record_next (&record, &item))
 *       ...
 *   bgap_idempotency_record_shutdown (&record);
 */

#include <jansson.h>
#include <stdbool.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"
#include "banyangap/routing/types.h"
#include "banyangap/routing/uuid7.h"

/* Maximum size of a stored answer body in bytes.  */
#define BGAP_IDEMPOTENCY_BODY_MAX 16384

/* Size of a stored content type in bytes, terminating zero included.  */
#define BGAP_IDEMPOTENCY_CONTENT_TYPE_SIZE 64

/* Highest supported schema.  */
#define BGAP_IDEMPOTENCY_SCHEMA 1

/* Maximum number of items in a record; a record with more is malformed.  */
#define BGAP_IDEMPOTENCY_ITEMS_MAX 1024

/**
 * struct bgap_idempotency_attempt - identity of an attempt
 * @incarnation: random number that identifies the instance's process
 * @sequence: increases with each attempt of the process
 */
struct bgap_idempotency_attempt
{
  uint64_t incarnation;
  uint64_t sequence;
};

/**
 * struct bgap_idempotency_item - an intent or an outcome
 * @is_outcome: the item is an outcome; otherwise it is an intent
 * @digest: of the request; intents only
 * @outcome: ANSWERED, NOT_RUN or UNKNOWN; outcomes only
 * @http_status: with ANSWERED
 * @body_dropped: with ANSWERED, the body was not kept
 * @body: with ANSWERED; valid until the next call or shutdown
 */
struct bgap_idempotency_item
{
  bool is_outcome;
  struct bgap_uuid7 key;
  struct bgap_idempotency_attempt attempt;
  uint64_t digest;
  enum bgap_outcome outcome;
  int http_status;
  bool body_dropped;
  const void *body;
  size_t body_size;
  char content_type[BGAP_IDEMPOTENCY_CONTENT_TYPE_SIZE];
};

/**
 * struct bgap_idempotency_record - a parsed record
 * @instance: name of the instance that wrote it
 */
struct bgap_idempotency_record
{
  char instance[BGAP_ROUTING_NAME_SIZE];
  json_t *object;
  json_t *items;
  size_t next;
  void *body;
};

/**
 * bgap_idempotency_record_parse() - parse and validate a whole record
 *
 * Return: BGAP_OK, BGAP_ERR_PROTOCOL if it is malformed, BGAP_ERR_UNAVAILABLE
 * if its schema is not supported, or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status
bgap_idempotency_record_parse (struct bgap_idempotency_record *record,
                               const void *bytes, size_t size,
                               struct bgap_error *err);

/**
 * bgap_idempotency_record_next() - read the next item
 *
 * Return: false if there are no more items.
 */
bool bgap_idempotency_record_next (struct bgap_idempotency_record *record,
                                   struct bgap_idempotency_item *item);

/**
 * bgap_idempotency_record_shutdown() - free the record; allowed on a zeroed
 * record
 */
void bgap_idempotency_record_shutdown (struct bgap_idempotency_record *record);

/**
 * bgap_idempotency_record_begin() - start writing a record to @out
 */
enum bgap_status bgap_idempotency_record_begin (struct bgap_buffer *out,
                                                const char *instance);

/**
 * bgap_idempotency_record_add() - write an item
 * @first: this is the first item of the record
 */
enum bgap_status
bgap_idempotency_record_add (struct bgap_buffer *out,
                             const struct bgap_idempotency_item *item,
                             bool first);

/**
 * bgap_idempotency_record_end() - finish writing the record
 */
enum bgap_status bgap_idempotency_record_end (struct bgap_buffer *out);

#endif
