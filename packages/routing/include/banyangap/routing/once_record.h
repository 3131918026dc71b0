#ifndef BANYANGAP_ROUTING_ONCE_RECORD_H
#define BANYANGAP_ROUTING_ONCE_RECORD_H

/*
 * Records of a stream once.<service>: one JSON object with the intents and
 * outcomes of one group commit of one instance.
 *
 *   {"type":"once","schema":1,"instance":"entry-1","items":[
 *     {"intent":"<uuid>","attempt":"<32 hex digits>","digest":"<16 hex>"},
 *     {"outcome":"<uuid>","attempt":"<32 hex digits>",
 *      "result":"answered","status":200,"type":"text/plain","body":"<base64>"}
 *   ]}
 *
 *   struct bgap_once_record record;
 *   if (bgap_once_record_parse (&record, bytes, size, &err) == BGAP_OK)
 *     while (bgap_once_record_next (&record, &item))
 *       ...
 *   bgap_once_record_shutdown (&record);
 */

#include <jansson.h>
#include <stdbool.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"
#include "banyangap/routing/types.h"
#include "banyangap/routing/uuid7.h"

/* Longest stored answer body in bytes.  */
#define BGAP_ONCE_BODY_MAX 16384

/* Size of a stored content type in bytes, terminating zero included.  */
#define BGAP_ONCE_CONTENT_TYPE_SIZE 64

/* Highest schema that is understood.  */
#define BGAP_ONCE_SCHEMA 1

/* Most items in a record; a record with more is malformed.  */
#define BGAP_ONCE_ITEMS_MAX 1024

/**
 * struct bgap_once_attempt - identity of an attempt
 * @incarnation: random, of the instance's process
 * @sequence: rises within the process
 */
struct bgap_once_attempt
{
  uint64_t incarnation;
  uint64_t sequence;
};

/**
 * struct bgap_once_item - an intent or an outcome
 * @is_outcome: otherwise an intent
 * @digest: intent, of the request
 * @outcome: outcome, ANSWERED, NOT_RUN or UNKNOWN
 * @http_status: outcome ANSWERED
 * @body_dropped: outcome ANSWERED, the body was not kept
 * @body: outcome ANSWERED, valid until the next call or shutdown
 */
struct bgap_once_item
{
  bool is_outcome;
  struct bgap_uuid7 key;
  struct bgap_once_attempt attempt;
  uint64_t digest;
  enum bgap_outcome outcome;
  int http_status;
  bool body_dropped;
  const void *body;
  size_t body_size;
  char content_type[BGAP_ONCE_CONTENT_TYPE_SIZE];
};

/**
 * struct bgap_once_record - a parsed record
 * @instance: its writer
 */
struct bgap_once_record
{
  char instance[BGAP_ROUTING_NAME_SIZE];
  json_t *object;
  json_t *items;
  size_t next;
  void *body;
};

/**
 * bgap_once_record_parse() - parse and validate a whole record
 *
 * Return: BGAP_OK; BGAP_ERR_PROTOCOL if malformed; BGAP_ERR_UNAVAILABLE for a
 * higher schema; BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_once_record_parse (struct bgap_once_record *record,
                                         const void *bytes, size_t size,
                                         struct bgap_error *err);

/**
 * bgap_once_record_next() - the next item
 *
 * Return: false at the end.
 */
bool bgap_once_record_next (struct bgap_once_record *record,
                            struct bgap_once_item *item);

/**
 * bgap_once_record_shutdown() - free it; allowed on a zeroed record
 */
void bgap_once_record_shutdown (struct bgap_once_record *record);

/**
 * bgap_once_record_begin() - start to write a record
 */
enum bgap_status bgap_once_record_begin (struct bgap_buffer *out,
                                         const char *instance);

/**
 * bgap_once_record_add() - append an item
 * @first: it is the first item of the record
 */
enum bgap_status bgap_once_record_add (struct bgap_buffer *out,
                                       const struct bgap_once_item *item,
                                       bool first);

/**
 * bgap_once_record_end() - finish the record
 */
enum bgap_status bgap_once_record_end (struct bgap_buffer *out);

#endif
