#ifndef SERVER_VIEW_FIXTURE_H
#define SERVER_VIEW_FIXTURE_H

/*
 * A view of the servers for tests, with one server "i-1" of the service
 * "reads".
 *
 *   struct report report;
 *   struct bgap_server_view *view = view_new (&report);
 *   put (view, now_ms, entry (100, 7));
 */

#include "banyangap/registry/server_view.h"

/**
 * struct report - changes that the view has reported
 */
struct report
{
  enum bgap_server_change last;
  int count;
};

/* Returns an empty view that sets @report.  */
struct bgap_server_view *view_new (struct report *report);

/* Returns a registration of a process of the server.  */
struct bgap_server_entry entry (int64_t born_ms, int64_t sequence);

void put (struct bgap_server_view *view, int64_t now_ms,
          struct bgap_server_entry value);

#endif
