#include "host_server.h"
#include "standin.h"

int
main (int argc, char **argv)
{
  const char *address = "127.0.0.1:7002";
  int64_t lag_ms = 0;
  struct bgap_standin_field fields[] = {
    { "address", "Numeric address and port to listen on", NULL, &address },
    { "lag-ms", "Time until a new list becomes visible, in ms", &lag_ms,
      NULL },
    { 0 },
  };
  bgap_standin_options (argc, argv, "Stand-in for the host list", fields);
  struct event_base *base = event_base_new ();
  struct bgap_host_server *server = NULL;
  struct bgap_error err = { 0 };
  enum bgap_status status
      = bgap_host_server_setup (&server, base, address, &err);
  if (status == BGAP_OK)
    bgap_host_server_control (server)->lag_ms = lag_ms;
  int result = bgap_standin_run (base, status, &err);
  bgap_host_server_shutdown (server);
  event_base_free (base);
  return result;
}
