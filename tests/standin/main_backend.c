#include "backend_server.h"
#include "standin.h"

int
main (int argc, char **argv)
{
  struct bgap_backend_server_desc desc = {
    .address = "127.0.0.1:7100",
    .name = "server-1",
    .service = "service",
  };
  struct bgap_standin_field fields[] = {
    { "name", "Name of the server", NULL, &desc.name },
    { "service", "Name of its service", NULL, &desc.service },
    { "address", "Numeric address and port to listen on", NULL,
      &desc.address },
    { "slots", "Requests executed concurrently", &desc.slots, NULL },
    { "queue", "Requests that may wait for a slot", &desc.queue, NULL },
    { "connections", "Connections that may send requests", &desc.connections,
      NULL },
    { "no-grants", "Execute requests without a fencing token", &desc.no_grants,
      NULL },
    { "work-ms", "Work time of a request in ms", &desc.work_ms, NULL },
    { "cold-ms", "Duration of the cold phase after the start in ms",
      &desc.cold_ms, NULL },
    { 0 },
  };
  bgap_standin_options (argc, argv, "Stand-in for a backend server", fields);
  desc.base = event_base_new ();
  struct bgap_backend_server *server = NULL;
  struct bgap_error err = { 0 };
  enum bgap_status status = bgap_backend_server_setup (&server, &desc, &err);
  int result = bgap_standin_run (desc.base, status, &err);
  bgap_backend_server_shutdown (server);
  event_base_free (desc.base);
  return result;
}
