#include "socket_pending.h"

#include <errno.h>
#include <sys/socket.h>

enum socket_pending
bgap_socket_pending (evutil_socket_t fd)
{
  char byte;
  ssize_t size = recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (size > 0)
    return SOCKET_PENDING_BYTES;
  if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
    return SOCKET_PENDING_NONE;
  return SOCKET_PENDING_END;
}
