#ifndef BANYANGAP_GATEWAY_ADDRESS_H
#define BANYANGAP_GATEWAY_ADDRESS_H

/*
 * Numeric IP addresses with ports, and helpers for sockets.
 */

#include <event2/util.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/socket.h>

#include "banyangap/base/status.h"

/* Large enough for "[<longest IPv6 address>]:65535" and a terminating zero. */
#define BGAP_ADDRESS_TEXT_SIZE 64

/**
 * struct bgap_address - a socket address
 */
struct bgap_address
{
  struct sockaddr_storage storage;
  socklen_t size;
};

/**
 * bgap_address_parse() - parse "127.0.0.1:80" or "[::1]:80"; port 0 is
 * allowed
 *
 * Return: BGAP_OK or BGAP_ERR_INVALID.
 */
enum bgap_status bgap_address_parse (const char *text,
                                     struct bgap_address *address,
                                     struct bgap_error *err);

/**
 * bgap_address_print() - format an address
 */
void bgap_address_print (const struct sockaddr *address,
                         char text[BGAP_ADDRESS_TEXT_SIZE]);

/**
 * bgap_address_port() - port of an address
 */
uint16_t bgap_address_port (const struct sockaddr *address);

/**
 * bgap_address_local_port() - port that a socket is bound to, or 0
 */
uint16_t bgap_address_local_port (evutil_socket_t fd);

/**
 * bgap_address_timeval() - convert milliseconds to struct timeval
 */
struct timeval bgap_address_timeval (uint32_t ms);

/**
 * bgap_address_ignore_sigpipe() - ignore SIGPIPE, which would terminate the
 * process on a write to a connection that the peer has closed
 */
void bgap_address_ignore_sigpipe (void);

#endif
