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
    { "address", "Numeric address and port", NULL, &desc.address },
    { "slots", "Requests that run at a time", &desc.slots, NULL },
    { "queue", "Requests that wait for a slot", &desc.queue, NULL },
    { "connections", "Connections with requests", &desc.connections, NULL },
    { "no-grants", "Run requests without a grant", &desc.no_grants, NULL },
    { "work-ms", "Time of a request in its slot", &desc.work_ms, NULL },
    { "cold-ms", "Time of slow answers at start", &desc.cold_ms, NULL },
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
