#include "edge_parts.h"

/* Part of the memory that buffered responses may use together in a
   configuration with large ones, as a divisor.  */
#define LARGE_DIVISOR 4

/* Part of the memory from which on no further large response is begun, as
   numerator and divisor. Those that run may still buffer a little each, so
   that the share above is exceeded if there are many.  */
#define FULL_NUMERATOR 3
#define FULL_DIVISOR 8

/* Bytes of a large response that the instance, and the kernel, read ahead
   while its caller is slow. The kernel would otherwise take several MB of each
   from the server, which count towards the memory of the host.  */
#define RECEIVE_SIZE 32768

/* Part of the memory of a server that the bodies of its requests may use, of
   all instances together, as a divisor, and the minimum share of an instance
   in bytes. No server states its memory; it is assumed to have as much as this
   instance.  */
#define SERVER_BODIES_DIVISOR 8
#define SERVER_BODIES_MIN 65536

static struct bgap_event_kind event_response
    = { .name = "large-response", .per_second = 10, .burst = 50 };

static size_t
_bgap_responses_size (const struct bgap_edge *edge)
{
  return edge->buffered_size + bgap_frontend_unsent (edge->frontend);
}

size_t
bgap_edge_responses_limit (const struct bgap_edge *edge)
{
  return bgap_edge_memory_share (edge, LARGE_DIVISOR);
}

size_t
bgap_edge_responses_held (const struct bgap_edge *edge)
{
  return _bgap_responses_size (edge)
         + bgap_backend_unprocessed (edge->backend);
}

static size_t
_bgap_responses_full (const struct bgap_edge *edge)
{
  return FULL_NUMERATOR * bgap_edge_memory_share (edge, FULL_DIVISOR);
}

bool
bgap_edge_large_fits (const struct bgap_edge *edge)
{
  return _bgap_responses_size (edge) < _bgap_responses_full (edge);
}

bool
bgap_edge_may_start_large (struct bgap_edge *edge, const char *request)
{
  if (bgap_edge_large_fits (edge))
    return true;
  edge->large_refused++;
  bgap_event (&event_response,
              "request=%s change=refused held_bytes=%zu limit_bytes=%zu",
              request, _bgap_responses_size (edge),
              _bgap_responses_full (edge));
  return false;
}

uint32_t
bgap_edge_receive_size (const struct bgap_edge_exchange *exchange)
{
  return exchange->large ? RECEIVE_SIZE : 0;
}

void
bgap_edge_pause_response (struct bgap_edge_exchange *exchange,
                          struct bgap_backend_attempt_id attempt)
{
  struct bgap_edge *edge = exchange->edge;
  bgap_backend_pause (edge->backend, attempt);
  edge->responses_paused++;
  if (!exchange->large || exchange->was_paused)
    return;
  exchange->was_paused = true;
  bgap_event (&event_response,
              "request=%s change=paused server=%s held_bytes=%zu "
              "limit_bytes=%zu",
              exchange->wire.id, exchange->last_server,
              _bgap_responses_size (edge), bgap_edge_responses_limit (edge));
}

uint64_t
bgap_edge_server_bodies_max (const struct bgap_edge *edge)
{
  bool has_large = false;
  for (uint32_t i = 0; edge->table != NULL && i < edge->table->route_count;
       i++)
    has_large = has_large || edge->table->routes[i].desc.large;
  if (!has_large)
    return 0;
  size_t all = bgap_edge_memory_share (edge, SERVER_BODIES_DIVISOR);
  uint32_t instances = bgap_membership_count (edge->membership);
  size_t own = all / (instances > 0 ? instances : 1);
  return own > SERVER_BODIES_MIN ? own : SERVER_BODIES_MIN;
}
