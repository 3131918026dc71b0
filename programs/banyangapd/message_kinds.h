#ifndef BGAPD_MESSAGE_KINDS_H
#define BGAPD_MESSAGE_KINDS_H

/**
 * enum bgap_message_kind - kinds of messages between instances
 * @BGAP_MESSAGE_CELL: name of a cell, zero-terminated, then the engine's bytes
 * @BGAP_MESSAGE_ROUTING: one byte enum bgap_routing_message, then its bytes
 * @BGAP_MESSAGE_STATUS: struct bgap_status_message
 * @BGAP_MESSAGE_CONFIG_WANT: empty; asks for the configuration
 * @BGAP_MESSAGE_CONFIG: configuration snapshot as JSON text
 */
enum bgap_message_kind
{
  BGAP_MESSAGE_CELL = 1,
  BGAP_MESSAGE_ROUTING,
  BGAP_MESSAGE_STATUS,
  BGAP_MESSAGE_CONFIG_WANT,
  BGAP_MESSAGE_CONFIG
};

#endif
