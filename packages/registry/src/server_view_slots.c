#include "banyangap/registry/server_view.h"

#include <string.h>

/* Majority vote of Boyer and Moore: one pass finds the value that more than
   half of the servers have, if there is one.  */
uint32_t
bgap_server_view_usual_slots (const struct bgap_server_view *view,
                              const char *service)
{
  uint32_t slots = 0;
  uint32_t votes = 0;
  for (const struct bgap_known_server *server = bgap_server_view_first (view);
       server != NULL; server = server->hh.next)
    {
      if (strcmp (server->entry.service, service) != 0)
        continue;
      if (votes == 0)
        slots = server->entry.slots;
      if (server->entry.slots == slots)
        votes++;
      else if (--votes == 0 && server->entry.slots < slots)
        slots = server->entry.slots;
    }
  return slots;
}
