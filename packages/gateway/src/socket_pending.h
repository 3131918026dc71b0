#ifndef BANYANGAP_GATEWAY_SOCKET_PENDING_H
#define BANYANGAP_GATEWAY_SOCKET_PENDING_H

/*
 * What would be read next from a socket, without reading it:
 *
 *   if (bgap_socket_pending (fd) == SOCKET_PENDING_END)
 *     ...
 */

#include <event2/util.h>

/**
 * enum socket_pending - what has arrived and was not read yet
 * @SOCKET_PENDING_END: the peer has closed its sending side, or the connection
 *   has failed
 */
enum socket_pending
{
  SOCKET_PENDING_NONE,
  SOCKET_PENDING_BYTES,
  SOCKET_PENDING_END
};

/**
 * bgap_socket_pending() - look at what a stream socket would return next
 */
enum socket_pending bgap_socket_pending (evutil_socket_t fd);

#endif
