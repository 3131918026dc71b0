#ifndef BANYANGAP_STORE_RELAY_CODEC_H
#define BANYANGAP_STORE_RELAY_CODEC_H

/*
 * Codec for the messages in which a relay forwards to its subscribers the
 * records that it has read from the store.
 *
 *   struct bgap_relay_history *history;
 *   bgap_relay_history_setup (&history);
 *   bgap_relay_encode (history, topic, &page, age_ms, &bytes);
 *   ...
 *   struct bgap_relay_message message;
 *   if (bgap_relay_decode (history, data, size, &message) == BGAP_OK)
 *     bgap_follower_on_relay_page (follower, &message.page);
 *   bgap_relay_message_shutdown (&message);
 *   bgap_relay_history_shutdown (history);
 *
 * A long record that resembles the previous one with the same key, such as an
 * assignment of keys, is sent as a delta to that one. For this both sides keep
 * the newest long record of each key, with one history per topic.
 */

#include "banyangap/base/buffer.h"
#include "banyangap/store/follower.h"

/* Maximum number of records in a message.  */
#define BGAP_RELAY_RECORDS_MAX 256u

/* Shorter values are sent in full, not as a delta.  */
#define BGAP_RELAY_DELTA_SIZE_MIN 512u

struct bgap_relay_history;

/**
 * bgap_relay_history_setup() - create an empty history
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status
bgap_relay_history_setup (struct bgap_relay_history **history);

/**
 * bgap_relay_history_shutdown() - free the history; NULL is allowed
 */
void bgap_relay_history_shutdown (struct bgap_relay_history *history);

/**
 * bgap_relay_history_add() - add records that this instance has read from the
 * store and does not forward
 */
void bgap_relay_history_add (struct bgap_relay_history *history,
                             const struct bgap_store_record *records,
                             size_t count);

/**
 * bgap_relay_history_clear() - forget all records, because the store was
 * restored from a copy and offsets name other records now
 */
void bgap_relay_history_clear (struct bgap_relay_history *history);

/**
 * bgap_relay_encode() - append a message to @out and add its records to
 * @history
 * @topic: number by which the subscriber identifies the topic
 * @age_ms: time since the relay sent the read
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_relay_encode (struct bgap_relay_history *history,
                                    uint8_t topic,
                                    const struct bgap_relay_page *page,
                                    int64_t age_ms, struct bgap_buffer *out);

/**
 * struct bgap_relay_message - a decoded message
 * @page: without @sent_ms and without records that newer ones have replaced;
 *   valid until the history is used again
 * @memory: decoded values of the records; private
 */
struct bgap_relay_message
{
  struct bgap_relay_page page;
  int64_t age_ms;
  struct bgap_store_record *records;
  void **memory;
  size_t memory_count;
};

/**
 * bgap_relay_message_topic() - topic of a message, or -1 if it is too short
 */
int bgap_relay_message_topic (const void *bytes, size_t size);

/**
 * bgap_relay_message_timeline() - timeline of a message, 0 if it is too short
 */
uint64_t bgap_relay_message_timeline (const void *bytes, size_t size);

/**
 * bgap_relay_decode() - decode a message and add its records to @history
 * @message: must be freed with bgap_relay_message_shutdown(), also on errors
 *
 * Return: BGAP_OK, BGAP_ERR_PROTOCOL if it is malformed, BGAP_ERR_STALE if it
 * has a delta to a record that is not in @history, or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_relay_decode (struct bgap_relay_history *history,
                                    const void *bytes, size_t size,
                                    struct bgap_relay_message *message,
                                    struct bgap_error *err);

/**
 * bgap_relay_message_shutdown() - free the records
 */
void bgap_relay_message_shutdown (struct bgap_relay_message *message);

#endif
