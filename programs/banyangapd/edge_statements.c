#include <math.h>
#include <string.h>

#include "edge_parts.h"
#include "now.h"

static struct bgap_event_kind event_pause = { .name = "server-pause" };

static void
_bgap_statements_on_pause (struct bgap_edge *edge,
                           const struct bgap_edge_server *server,
                           const struct bgap_wire_response *response)
{
  int64_t now_ms = bgap_now_ms ();
  if (response->pause == BGAP_WIRE_NUMBER_MALFORMED)
    {
      bgap_event (&event_pause, "server=%s service=%s change=ignored",
                  server->id, server->service->name);
      return;
    }
  int64_t pause_ms
      = (int64_t)ceil (fmin (response->pause_ms, BGAP_SERVER_PAUSE_MAX_MS));
  bgap_event (&event_pause,
              "server=%s service=%s change=begun pause_ms=%lld stated_ms=%.0f",
              server->id, server->service->name, (long long)pause_ms,
              response->pause_ms);
  if (server->known != NULL
      && now_ms + pause_ms > server->known->paused_until_ms)
    server->known->paused_until_ms = now_ms + pause_ms;
  bgap_router_server_pause (&edge->router, now_ms, server->router_id,
                            pause_ms);
}

void
bgap_edge_on_statements (struct bgap_edge *edge,
                         struct bgap_edge_server *server,
                         const struct bgap_wire_response *response)
{
  bool is_anonymous = response->server[0] == '\0';
  /* A refusal as the wrong server may come from another one that has got the
     address.  */
  if (is_anonymous ? response->misdirected
                   : strcmp (response->server, server->id) != 0)
    return;
  if (response->is_leaving)
    bgap_edge_on_leaving (edge, server);
  if (response->pause != BGAP_WIRE_NUMBER_NONE)
    _bgap_statements_on_pause (edge, server, response);
  bgap_edge_on_warmup (edge, server, response);
}

int64_t
bgap_edge_pause_left_ms (const struct bgap_edge *edge,
                         const struct bgap_server_entry *entry)
{
  const struct bgap_known_server *known
      = bgap_server_view_find (edge->view, entry->id);
  int64_t left_ms
      = known != NULL ? known->paused_until_ms - bgap_now_ms () : 0;
  return left_ms > 0 ? left_ms : 0;
}

uint32_t
bgap_edge_paused_servers (const struct bgap_edge *edge)
{
  uint32_t count = 0;
  for (const struct bgap_known_server *known
       = bgap_server_view_first (edge->view);
       known != NULL; known = known->hh.next)
    count += known->paused_until_ms > bgap_now_ms ();
  return count;
}
