#ifndef BANYANGAP_STORE_FEED_CODEC_H
#define BANYANGAP_STORE_FEED_CODEC_H

/*
 * What an instance has read from the store, in bytes for other instances.
 *
 *   struct bgap_feed_history *history;
 *   bgap_feed_history_setup (&history);
 *   bgap_feed_encode (history, topic, &feed, age_ms, &bytes);
 *   ...
 *   struct bgap_feed_message message;
 *   if (bgap_feed_decode (history, data, size, &message) == BGAP_OK)
 *     bgap_follower_feed (follower, &message.feed);
 *   bgap_feed_message_shutdown (&message);
 *   bgap_feed_history_shutdown (history);
 *
 * A record that is long and resembles the one before it with the same key,
 * such as an assignment of keys, travels as a difference to that one. Both
 * sides keep the newest long record of each key for this, one history a topic.
 */

#include "banyangap/base/buffer.h"
#include "banyangap/store/follower.h"

/* Records of a message at most.  */
#define BGAP_FEED_RECORDS_MAX 256

/* Shorter values are sent as they are.  */
#define BGAP_FEED_DELTA_SIZE_MIN 512u

/* Longest value in bytes; the store takes no longer record.  */
#define BGAP_FEED_VALUE_SIZE_MAX 262144u

struct bgap_feed_history;

/**
 * bgap_feed_history_setup() - an empty history
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_feed_history_setup (struct bgap_feed_history **history);

/**
 * bgap_feed_history_shutdown() - free it; NULL is allowed
 */
void bgap_feed_history_shutdown (struct bgap_feed_history *history);

/**
 * bgap_feed_history_note() - records that this instance has read by itself and
 * does not pass on
 */
void bgap_feed_history_note (struct bgap_feed_history *history,
                             const struct bgap_store_record *records,
                             size_t count);

/**
 * bgap_feed_encode() - append a message to @out, and note its records
 * @topic: a number for the receiver
 * @age_ms: time since the read was sent
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_feed_encode (struct bgap_feed_history *history,
                                   uint8_t topic, const struct bgap_feed *feed,
                                   int64_t age_ms, struct bgap_buffer *out);

/**
 * struct bgap_feed_message - a decoded message
 * @feed: without @sent_ms, and without records that newer ones have replaced;
 *   valid until the history is used again
 * @memory: of the records; private
 */
struct bgap_feed_message
{
  struct bgap_feed feed;
  int64_t age_ms;
  struct bgap_store_record *records;
  void **memory;
  size_t memory_count;
};

/**
 * bgap_feed_topic() - topic of a message, or -1 if it is too short for one
 */
int bgap_feed_topic (const void *bytes, size_t size);

/**
 * bgap_feed_decode() - read a message, and note its records
 * @message: free it in any case with bgap_feed_message_shutdown()
 *
 * Return: BGAP_OK, BGAP_ERR_PROTOCOL if it is malformed, BGAP_ERR_STALE if it
 * holds the difference to a record that is not known here, or
 * BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_feed_decode (struct bgap_feed_history *history,
                                   const void *bytes, size_t size,
                                   struct bgap_feed_message *message);

/**
 * bgap_feed_message_shutdown() - free the records
 */
void bgap_feed_message_shutdown (struct bgap_feed_message *message);

#endif
