#include <string.h>

#include "banyangap/base/hash.h"
#include "edge_parts.h"
#include "now.h"

static struct bgap_event_kind event_quarantine = { .name = "quarantine" };

/* Name of the server with a hash, "" if none is known.  */
static const char *
_bgap_quarantine_server (const struct bgap_edge *edge, uint64_t hash)
{
  for (const struct bgap_edge_server *server = edge->servers; server != NULL;
       server = server->hh.next)
    if (hash != 0 && bgap_hash64 (server->id, strlen (server->id)) == hash)
      return server->id;
  return "";
}

/* Time since @at_ms, -1 if that is 0.  */
static long long
_bgap_quarantine_age_ms (int64_t at_ms)
{
  return at_ms != 0 ? (long long)(bgap_now_ms () - at_ms) : -1;
}

static void
_bgap_quarantine_log (const struct bgap_edge *edge, const char *change,
                      const char *request,
                      const struct bgap_quarantine_event *event)
{
  bgap_event (&event_quarantine,
              "fingerprint=%016llx change=%s request=%s server=%s "
              "server_hash=%016llx sent_age_ms=%lld broken_age_ms=%lld "
              "first=%s first_hash=%016llx first_age_ms=%lld",
              (unsigned long long)event->fingerprint, change, request,
              _bgap_quarantine_server (edge, event->server),
              (unsigned long long)event->server,
              _bgap_quarantine_age_ms (event->sent_ms),
              _bgap_quarantine_age_ms (event->broken_ms),
              _bgap_quarantine_server (edge, event->first_server),
              (unsigned long long)event->first_server,
              _bgap_quarantine_age_ms (event->first_ms));
}

static void
_bgap_quarantine_on_change (void *context,
                            const struct bgap_quarantine_event *event)
{
  _bgap_quarantine_log (context, bgap_quarantine_change_name (event->change),
                        "", event);
}

struct bgap_quarantine_ops
bgap_edge_quarantine_ops (struct bgap_edge *edge)
{
  return (struct bgap_quarantine_ops){ .changed = _bgap_quarantine_on_change,
                                       .context = edge };
}

void
bgap_edge_log_quarantined (const struct bgap_edge *edge, const char *request,
                           uint64_t fingerprint)
{
  struct bgap_quarantine_event event;
  if (bgap_router_quarantine (&edge->router, bgap_now_ms (), fingerprint,
                              &event))
    _bgap_quarantine_log (edge, "refused", request, &event);
}
