#include "banyangap/store/relay_subscriber.h"

#include <stdlib.h>
#include <string.h>

#include "banyangap/base/array.h"
#include "banyangap/base/buffer.h"
#include "banyangap/base/clock.h"

/* Limits of the kept messages of a topic. With more, all are dropped, and the
   follower reads their records from the store.  */
#define KEPT_MESSAGES_MAX 256u
#define KEPT_BYTES_MAX ((size_t)1024 * 1024)

/**
 * struct bgap_kept_message - a message that cannot be applied yet
 */
struct bgap_kept_message
{
  int64_t arrived_ms;
  struct bgap_buffer bytes;
};

static int64_t
_bgap_relay_now_ms (void)
{
  const struct bgap_clock *clock = bgap_clock_system ();
  return clock->now_ms (clock->context);
}

void
bgap_relay_subscriber_shutdown (struct bgap_relay_subscriber *subscriber)
{
  for (uint32_t i = 0; i < subscriber->count; i++)
    bgap_buffer_shutdown (&subscriber->messages[i].bytes);
  free (subscriber->messages);
  subscriber->messages = NULL;
  subscriber->count = 0;
  subscriber->capacity = 0;
  subscriber->bytes = 0;
}

static enum bgap_status
_bgap_relay_keep (struct bgap_relay_subscriber *subscriber, const void *bytes,
                  size_t size, int64_t arrived_ms)
{
  if (subscriber->count == KEPT_MESSAGES_MAX
      || subscriber->bytes + size > KEPT_BYTES_MAX)
    bgap_relay_subscriber_shutdown (subscriber);
  if (bgap_array_reserve (&subscriber->messages, &subscriber->capacity,
                          subscriber->count + 1, sizeof *subscriber->messages)
      != BGAP_OK)
    return BGAP_ERR_NO_MEMORY;
  struct bgap_kept_message message = { .arrived_ms = arrived_ms };
  if (bgap_buffer_append (&message.bytes, bytes, size) != BGAP_OK)
    return BGAP_ERR_NO_MEMORY;
  subscriber->messages[subscriber->count++] = message;
  subscriber->bytes += size;
  return BGAP_OK;
}

/* Decodes a message and passes it to the follower. Returns BGAP_ERR_STALE if
   earlier records are missing.  */
static enum bgap_status
_bgap_relay_apply (struct bgap_relay_subscriber *subscriber, const void *bytes,
                   size_t size, int64_t arrived_ms, struct bgap_error *err)
{
  struct bgap_relay_message message;
  enum bgap_status status
      = bgap_relay_decode (subscriber->history, bytes, size, &message, err);
  message.page.sent_ms = arrived_ms - message.age_ms;
  if (status != BGAP_OK)
    bgap_follower_on_relay_gap (subscriber->follower, message.page.next);
  else if (!bgap_follower_on_relay_page (subscriber->follower, &message.page))
    status = bgap_error_set (err, BGAP_ERR_STALE,
                             "records before it are missing");
  bgap_relay_message_shutdown (&message);
  return status;
}

enum bgap_status
bgap_relay_subscriber_on_message (struct bgap_relay_subscriber *subscriber,
                                  const void *bytes, size_t size,
                                  struct bgap_error *err)
{
  int64_t now_ms = _bgap_relay_now_ms ();
  enum bgap_status status
      = _bgap_relay_apply (subscriber, bytes, size, now_ms, err);
  if (status == BGAP_ERR_STALE)
    (void)_bgap_relay_keep (subscriber, bytes, size, now_ms);
  return status;
}

void
bgap_relay_subscriber_on_read (struct bgap_relay_subscriber *subscriber)
{
  /* Messages that still cannot be applied are kept again, in their order.  */
  struct bgap_relay_subscriber before = *subscriber;
  subscriber->messages = NULL;
  subscriber->count = 0;
  subscriber->capacity = 0;
  subscriber->bytes = 0;
  for (uint32_t i = 0; i < before.count; i++)
    {
      const struct bgap_kept_message *message = &before.messages[i];
      if (_bgap_relay_apply (subscriber, message->bytes.data,
                             message->bytes.size, message->arrived_ms, NULL)
          == BGAP_ERR_STALE)
        (void)_bgap_relay_keep (subscriber, message->bytes.data,
                                message->bytes.size, message->arrived_ms);
    }
  bgap_relay_subscriber_shutdown (&before);
}
