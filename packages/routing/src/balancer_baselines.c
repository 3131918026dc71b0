#include "banyangap/routing/balancer.h"

/* Requests at a server, as far as this instance knows.  */
static uint32_t
_bgap_baseline_requests (const struct bgap_server *server)
{
  return server->in_flight + server->others_in_flight;
}

static size_t
_bgap_baseline_pick_least (struct bgap_random *random, int64_t now_ms,
                           struct bgap_server *const *servers, size_t count)
{
  (void)now_ms;
  size_t start = bgap_random_below (random, count);
  size_t best = start;
  for (size_t i = 1; i < count; i++)
    {
      size_t at = (start + i) % count;
      if (_bgap_baseline_requests (servers[at])
          < _bgap_baseline_requests (servers[best]))
        best = at;
    }
  return best;
}

static size_t
_bgap_baseline_pick_two (struct bgap_random *random, int64_t now_ms,
                         struct bgap_server *const *servers, size_t count)
{
  (void)now_ms;
  size_t first = bgap_random_below (random, count);
  if (count == 1)
    return first;
  size_t second = (first + 1 + bgap_random_below (random, count - 1)) % count;
  return _bgap_baseline_requests (servers[second])
                 < _bgap_baseline_requests (servers[first])
             ? second
             : first;
}

const struct bgap_balancer_ops bgap_balancer_least_requests = {
  .name = "least-requests",
  .limited = true,
  .pick = _bgap_baseline_pick_least,
};

const struct bgap_balancer_ops bgap_balancer_two_choices = {
  .name = "two-choices",
  .limited = true,
  .pick = _bgap_baseline_pick_two,
};
