#include "log_server.h"
#include "standin.h"

int
main (int argc, char **argv)
{
  const char *address = "127.0.0.1:7001";
  int64_t retention = 0;
  struct bgap_standin_field fields[] = {
    { "address", "Numeric address and port to listen on", NULL, &address },
    { "retention", "Number of newest records kept per stream", &retention,
      NULL },
    { 0 },
  };
  bgap_standin_options (argc, argv, "Stand-in for the log service", fields);
  struct event_base *base = event_base_new ();
  struct bgap_log_server *server = NULL;
  struct bgap_error err = { 0 };
  enum bgap_status status
      = bgap_log_server_setup (&server, base, address, &err);
  if (status == BGAP_OK && retention > 0)
    bgap_log_server_control (server)->retention = retention;
  int result = bgap_standin_run (base, status, &err);
  bgap_log_server_shutdown (server);
  event_base_free (base);
  return result;
}
