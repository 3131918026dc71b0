#ifndef BANYANGAP_STORE_RELAY_SUBSCRIBER_H
#define BANYANGAP_STORE_RELAY_SUBSCRIBER_H

/*
 * Receiving end of a relay: decodes its messages and passes them to the
 * follower of the topic. A message that the follower cannot apply yet, because
 * earlier records or the base of a delta are missing, is kept until the
 * follower has read them from the store.
 *
 *   struct bgap_relay_subscriber subscriber = {
 *     .follower = follower, .history = history };
 *   bgap_relay_subscriber_on_message (&subscriber, data, size, &err);
 *   ...   the follower has read records, and they are in the history
 *   bgap_relay_subscriber_on_read (&subscriber);
 *   bgap_relay_subscriber_shutdown (&subscriber);
 */

#include <stddef.h>
#include <stdint.h>

#include "banyangap/store/relay_codec.h"

struct bgap_kept_message;

/**
 * struct bgap_relay_subscriber - the receiving end; the members after @history
 * are private
 * @follower, @history: required, not owned
 * @messages: kept messages, oldest first
 */
struct bgap_relay_subscriber
{
  struct bgap_follower *follower;
  struct bgap_relay_history *history;
  struct bgap_kept_message *messages;
  uint32_t count;
  uint32_t capacity;
  size_t bytes;
};

/**
 * bgap_relay_subscriber_on_message() - handle a message of the relay
 *
 * Return: BGAP_OK; BGAP_ERR_STALE if it is kept; BGAP_ERR_PROTOCOL or
 * BGAP_ERR_NO_MEMORY if it is dropped. The follower then reads its records
 * from the store.
 */
enum bgap_status
bgap_relay_subscriber_on_message (struct bgap_relay_subscriber *subscriber,
                                  const void *bytes, size_t size,
                                  struct bgap_error *err);

/**
 * bgap_relay_subscriber_on_read() - handle the kept messages again, after the
 * follower has read records
 */
void bgap_relay_subscriber_on_read (struct bgap_relay_subscriber *subscriber);

/**
 * bgap_relay_subscriber_shutdown() - drop the kept messages
 */
void bgap_relay_subscriber_shutdown (struct bgap_relay_subscriber *subscriber);

#endif
