#ifndef BGAPD_STATUS_MESSAGE_H
#define BGAPD_STATUS_MESSAGE_H

/*
 * Status message, which each instance periodically sends to the others of its
 * deployment as a MessagePack array.
 *
 *   bgap_status_message_encode (&message, &buffer);
 *   bgap_status_message_decode (bytes, size, &message, &err);
 */

#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"

/* Size of names and addresses in bytes, terminating zero included.  */
#define BGAP_STATUS_TEXT_SIZE 64

/**
 * struct bgap_status_message - state of an instance
 * @zone: zone of the instance
 * @peer_address: address where it receives messages; lets an instance that
 *   started without the host list find the others
 * @config_version: newest accepted configuration
 */
struct bgap_status_message
{
  char zone[BGAP_STATUS_TEXT_SIZE];
  char peer_address[BGAP_STATUS_TEXT_SIZE];
  int64_t config_version;
};

/**
 * bgap_status_message_encode() - append the encoded message to @out
 */
enum bgap_status
bgap_status_message_encode (const struct bgap_status_message *message,
                            struct bgap_buffer *out);

/**
 * bgap_status_message_decode() - decode and check a message
 *
 * Return: BGAP_OK or BGAP_ERR_PROTOCOL.
 */
enum bgap_status
bgap_status_message_decode (const void *bytes, size_t size,
                            struct bgap_status_message *message,
                            struct bgap_error *err);

#endif
