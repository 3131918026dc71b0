#include "address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/time.h>

enum bgap_status
bgap_address_parse (const char *text, struct bgap_address *address,
                    struct bgap_error *err)
{
  char copy[BGAP_ADDRESS_TEXT_SIZE];
  size_t text_size = text ? strlen (text) : 0;
  const char *colon = text ? strrchr (text, ':') : NULL;
  int size = sizeof address->storage;
  *address = (struct bgap_address){ 0 };
  if (colon == NULL || text_size >= sizeof copy)
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "\"%.64s\" is not a numeric address and port",
                           text ? text : "");
  /* libevent rejects port 0, but accepts an address without a port.  */
  memcpy (copy, text, text_size + 1);
  if (strcmp (colon, ":0") == 0 && strcmp (text, "::0") != 0)
    copy[text_size - 2] = '\0';
  else if (strspn (colon + 1, "0123456789") != strlen (colon + 1))
    copy[0] = '\0';
  if (evutil_parse_sockaddr_port (copy, (struct sockaddr *)&address->storage,
                                  &size)
          != 0
      || (strcmp (colon, ":0") != 0
          && bgap_address_port ((struct sockaddr *)&address->storage) == 0))
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "\"%.64s\" is not a numeric address and port",
                           text);
  address->size = (socklen_t)size;
  return BGAP_OK;
}

uint16_t
bgap_address_port (const struct sockaddr *address)
{
  if (address->sa_family == AF_INET6)
    return ntohs (((const struct sockaddr_in6 *)address)->sin6_port);
  if (address->sa_family == AF_INET)
    return ntohs (((const struct sockaddr_in *)address)->sin_port);
  return 0;
}

void
bgap_address_print (const struct sockaddr *address,
                    char text[BGAP_ADDRESS_TEXT_SIZE])
{
  char host[INET6_ADDRSTRLEN] = "";
  const char *format = "%s:%u";
  if (address->sa_family == AF_INET6)
    {
      inet_ntop (AF_INET6, &((const struct sockaddr_in6 *)address)->sin6_addr,
                 host, sizeof host);
      format = "[%s]:%u";
    }
  else
    inet_ntop (AF_INET, &((const struct sockaddr_in *)address)->sin_addr, host,
               sizeof host);
  snprintf (text, BGAP_ADDRESS_TEXT_SIZE, format, host,
            bgap_address_port (address));
}

uint16_t
bgap_address_local_port (evutil_socket_t fd)
{
  struct sockaddr_storage name = { 0 };
  socklen_t size = sizeof name;
  if (getsockname (fd, (struct sockaddr *)&name, &size) != 0)
    return 0;
  return bgap_address_port ((struct sockaddr *)&name);
}

struct timeval
bgap_address_timeval (uint32_t ms)
{
  return (struct timeval){ .tv_sec = ms / 1000,
                           .tv_usec = (suseconds_t)(ms % 1000) * 1000 };
}

void
bgap_address_ignore_sigpipe (void)
{
  signal (SIGPIPE, SIG_IGN);
}
