#ifndef BGAPD_MESSAGE_KINDS_H
#define BGAPD_MESSAGE_KINDS_H

/**
 * enum bgap_message_kind - kinds of messages between instances
 * @BGAP_MESSAGE_CELL: zero-terminated name of a cell, then the engine's
 *   message
 * @BGAP_MESSAGE_ROUTING: enum bgap_routing_message in one byte, then the
 *   router's message
 * @BGAP_MESSAGE_STATUS: struct bgap_status_message
 * @BGAP_MESSAGE_CONFIG_REQUEST: request for the configuration; empty
 * @BGAP_MESSAGE_CONFIG: configuration snapshot as JSON text
 */
enum bgap_message_kind
{
  BGAP_MESSAGE_CELL = 1,
  BGAP_MESSAGE_ROUTING,
  BGAP_MESSAGE_STATUS,
  BGAP_MESSAGE_CONFIG_REQUEST,
  BGAP_MESSAGE_CONFIG
};

#endif
