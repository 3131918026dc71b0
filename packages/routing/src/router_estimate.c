#include <math.h>

#include "router_parts.h"

/* Shares of the recent answers that a request has to be faster than to be
   refused because of its deadline. At an idle server an attempt takes nothing
   from other requests, so that only those are refused which hardly any answer
   would reach in time. A slot of a busy server is better used for a request
   that is more likely answered than not.  */
#define IDLE_SHARE 0.1
#define BUSY_SHARE 0.5

/* A server is busy if requests wait for this part of the time that it needs
   for one.  */
#define BUSY_WAIT 0.2

/* Share of the recent answers that must have been fast enough for a request to
   be sent by a process that stops. Another instance can serve it, and one that
   is aborted may have run.  */
#define STOP_SHARE 0.9

/* The same with a forecast for the server. A higher share refuses more
   requests that would have been answered in time.  */
#define STOP_FORECAST_SHARE 0.875

/* The same for a request that may have run already: its caller gets an unknown
   outcome instead of a refusal, so that an attempt is better if it is more
   likely answered than not.  */
#define STOP_REPEAT_SHARE 0.5

/* Time that an answer of a service is assumed to take before a process ends if
   nothing is known about the service.  */
#define STOP_FIRST_ANSWER_MS 1000

/* A server without recent answers is assumed to be as slow as this share of
   the answers of all servers, with the weight of a part of an answer: it may
   be one of the slow ones.  */
#define FORECAST_PRIOR_SHARE 0.75
#define FORECAST_PRIOR_WEIGHT 0.5

/* Response times are compared with forecasts in this unit; the buckets of a
   distribution begin at 1.  */
#define FORECAST_UNIT 1000.0

/* Maximum number of requests ahead of another for which the deadlines of the
   running requests are compared.  */
#define LATEST_AHEAD_MAX 16u

/* Weight of a new sample in the smoothed response time.  */
#define RESPONSE_SMOOTHING 0.1

/* Requests at a server, as far as this instance knows.  */
static uint32_t
_bgap_estimate_busy (const struct bgap_server *server, int64_t now_ms)
{
  return server->in_flight + bgap_server_others_in_flight (server, now_ms);
}

/* Time that a share of the requests of this cost which do not wait for a slot
   do not exceed, 0 if not known.  */
static double
_bgap_estimate_free_ms (struct bgap_router_service *service, int64_t now_ms,
                        double cost_ms, double share)
{
  double ms
      = bgap_response_times_quantile (&service->free_times, now_ms, share);
  /* All answers had waited for a slot; the fastest of them waited least.  */
  if (ms <= 0)
    ms = bgap_response_times_quantile (&service->all_times, now_ms,
                                       IDLE_SHARE);
  return ms * cost_ms / BGAP_ROUTER_COST_UNIT_MS;
}

double
bgap_router_median_ms (struct bgap_router_service *service, int64_t now_ms,
                       double cost_ms)
{
  return _bgap_estimate_free_ms (service, now_ms, cost_ms, BUSY_SHARE);
}

/* Time that a share of the requests of this cost which do not wait for a slot
   of the server do not exceed: as at any server of the service until enough is
   known.  */
static double
_bgap_estimate_own_ms (struct bgap_router_service *service,
                       const struct bgap_server *server, int64_t now_ms,
                       double cost_ms, double share)
{
  double scale = cost_ms / BGAP_ROUTER_COST_UNIT_MS;
  double prior_ms = _bgap_estimate_free_ms (service, now_ms, cost_ms, share);
  return bgap_recent_times_quantile (&server->free_times, now_ms, share,
                                     prior_ms / scale)
         * scale;
}

/* Time for which a request will wait for a slot of the server: what its load
   says, or what the last requests waited, since other instances use its slots
   too and the load is known only from its last answer.  */
static double
_bgap_estimate_server_wait_ms (struct bgap_router_service *service,
                               const struct bgap_server *server,
                               int64_t now_ms)
{
  uint32_t before = _bgap_estimate_busy (server, now_ms) + 1;
  double load_ms = 0;
  if (before > server->slots)
    load_ms = _bgap_estimate_own_ms (service, server, now_ms,
                                     bgap_router_mean_cost_ms (service),
                                     BUSY_SHARE)
              * (before - server->slots) / server->slots;
  double seen_ms = bgap_recent_times_quantile (&server->wait_times, now_ms,
                                               BUSY_SHARE, 0);
  double permit_ms = bgap_rate_limit_wait_ms (&server->rate_limit, now_ms, 1);
  return fmax (fmax (seen_ms, load_ms), permit_ms);
}

double
bgap_router_expected_ms (struct bgap_router_service *service,
                         const struct bgap_server *server, int64_t now_ms,
                         double cost_ms)
{
  if (server == NULL)
    return bgap_router_median_ms (service, now_ms, cost_ms);
  double wait_ms = _bgap_estimate_server_wait_ms (service, server, now_ms);
  double own_ms = 0;
  if (wait_ms > 0)
    own_ms
        = _bgap_estimate_own_ms (service, server, now_ms, cost_ms, BUSY_SHARE);
  if (wait_ms <= 0 || wait_ms < BUSY_WAIT * own_ms)
    own_ms
        = _bgap_estimate_own_ms (service, server, now_ms, cost_ms, IDLE_SHARE);
  return own_ms + wait_ms;
}

double
bgap_router_forecast_ms (struct bgap_router_service *service,
                         const struct bgap_server *server, int64_t now_ms,
                         double cost_ms)
{
  double prior_ms = bgap_response_times_quantile (&service->all_times, now_ms,
                                                  FORECAST_PRIOR_SHARE);
  double unit_ms = bgap_recent_mean_ms (&server->all_times, now_ms, prior_ms,
                                        FORECAST_PRIOR_WEIGHT);
  return unit_ms * cost_ms / BGAP_ROUTER_COST_UNIT_MS
         * (1 + (double)server->in_flight / server->slots);
}

/* Time that a share of the attempts do not exceed, by the errors of the recent
   forecasts, 0 if not known. The distribution over all servers would be wrong
   for each of them if some are slow.  */
static double
_bgap_estimate_forecast_share_ms (struct bgap_router_service *service,
                                  const struct bgap_server *server,
                                  int64_t now_ms, double cost_ms, double share)
{
  if (server == NULL)
    return 0;
  return bgap_router_forecast_ms (service, server, now_ms, cost_ms)
         * bgap_response_times_quantile (&service->forecast_errors, now_ms,
                                         share)
         / FORECAST_UNIT;
}

/* Time in which an answer has to be expected for an attempt to be sent by a
   process that stops.  */
static double
_bgap_estimate_stop_ms (struct bgap_router_service *service,
                        const struct bgap_server *server, int64_t now_ms,
                        double cost_ms, bool maybe_ran)
{
  double ms = _bgap_estimate_forecast_share_ms (
      service, server, now_ms, cost_ms,
      maybe_ran ? STOP_REPEAT_SHARE : STOP_FORECAST_SHARE);
  if (ms <= 0)
    ms = bgap_response_times_quantile (&service->all_times, now_ms,
                                       maybe_ran ? STOP_REPEAT_SHARE
                                                 : STOP_SHARE)
         * cost_ms / BGAP_ROUTER_COST_UNIT_MS;
  if (ms <= 0)
    ms = service->response_ms;
  return ms > 0 ? ms : STOP_FIRST_ANSWER_MS;
}

bool
bgap_router_misses_deadline (struct bgap_router_service *service,
                             const struct bgap_server *server, int64_t now_ms,
                             struct bgap_router_request *request)
{
  if (!service->desc.policy->limited)
    return false;
  double expected_ms = bgap_router_expected_ms (
      service, server, now_ms, bgap_router_cost_ms (service, request));
  if (expected_ms <= (double)(request->deadline_at_ms - now_ms))
    return false;
  request->expected_ms = (int64_t)expected_ms;
  return true;
}

bool
bgap_router_misses_end (const struct bgap_router_state *state,
                        struct bgap_router_service *service,
                        const struct bgap_server *server, int64_t now_ms,
                        struct bgap_router_request *request)
{
  int64_t end_ms = state->stop.end_ms;
  if (end_ms == 0 || request->deadline_at_ms <= end_ms)
    return false;
  double cost_ms = bgap_router_cost_ms (service, request);
  double answer_ms = _bgap_estimate_stop_ms (service, server, now_ms, cost_ms,
                                             request->maybe_ran);
  double expected_ms = fmax (
      answer_ms, bgap_router_expected_ms (service, server, now_ms, cost_ms));
  request->expected_ms = (int64_t)expected_ms;
  return expected_ms > (double)(end_ms - now_ms);
}

/* Slots that serve a queue of this instance.  */
static uint32_t
_bgap_estimate_capacity (const struct bgap_router_service *service,
                         int64_t now_ms)
{
  uint32_t capacity = 0;
  for (uint32_t i = 0; i < service->server_count; i++)
    if (bgap_balancer_usable (&service->balancer, now_ms, service->servers[i]))
      capacity += bgap_server_limit (service->servers[i], now_ms);
  return capacity;
}

/* Time until the @ahead requests of this instance's queue have been sent.
   Other instances use the slots too, so that the measured rate is better than
   any calculation from their number.  */
static double
_bgap_estimate_slot_wait_ms (struct bgap_router_service *service,
                             const struct bgap_router_server *holder,
                             int64_t now_ms, uint32_t ahead)
{
  double mean_cost_ms = bgap_router_mean_cost_ms (service);
  const struct bgap_router_rate *rate
      = holder != NULL ? &holder->rate : &service->rate;
  if (rate->per_ms > 0)
    return ahead / rate->per_ms;
  if (holder != NULL)
    {
      const struct bgap_server *server = &holder->server;
      return _bgap_estimate_server_wait_ms (service, server, now_ms)
             + _bgap_estimate_own_ms (service, server, now_ms, mean_cost_ms,
                                      BUSY_SHARE)
                   * (ahead - 1) / server->slots;
    }
  double median_ms = bgap_router_median_ms (service, now_ms, mean_cost_ms);
  uint32_t capacity = _bgap_estimate_capacity (service, now_ms);
  return capacity > 0 ? median_ms * ahead / capacity : 0;
}

static double
_bgap_estimate_wait_ms (struct bgap_router_service *service,
                        const struct bgap_router_server *holder,
                        int64_t now_ms, uint32_t ahead)
{
  if (holder != NULL
      && bgap_rate_limit_per_s (&holder->server.rate_limit, now_ms) > 0)
    return bgap_rate_limit_wait_ms (&holder->server.rate_limit, now_ms, ahead);
  return _bgap_estimate_slot_wait_ms (service, holder, now_ms, ahead);
}

/* Inserts a time into the @count smallest ones, in ascending order.  */
static void
_bgap_estimate_keep_smallest (double *smallest, uint32_t count, double ms)
{
  uint32_t at = count - 1;
  if (ms >= smallest[at])
    return;
  for (; at > 0 && smallest[at - 1] > ms; at--)
    smallest[at] = smallest[at - 1];
  smallest[at] = ms;
}

/* Time after which the attempts of this instance that run now, those at
   @holder if it is not NULL, have left @ahead slots at the latest: each of
   them ends at the deadline of its request. INFINITY if fewer run, or if that
   would take too long to find out.  */
static double
_bgap_estimate_latest_ms (const struct bgap_router_state *state,
                          const struct bgap_router_service *service,
                          const struct bgap_router_server *holder,
                          int64_t now_ms, uint32_t ahead)
{
  double smallest[LATEST_AHEAD_MAX];
  if (ahead == 0 || ahead > LATEST_AHEAD_MAX)
    return INFINITY;
  for (uint32_t i = 0; i < ahead; i++)
    smallest[i] = INFINITY;
  for (uint32_t id = bgap_pool_next (&state->attempts, BGAP_INVALID_ID);
       id != BGAP_INVALID_ID; id = bgap_pool_next (&state->attempts, id))
    {
      const struct bgap_router_attempt *attempt
          = bgap_pool_get (&state->attempts, id);
      const struct bgap_router_request *request
          = bgap_router_open_request (state, attempt->request);
      if (request == NULL || request->service != service->id
          || (holder != NULL && attempt->server != holder->id))
        continue;
      _bgap_estimate_keep_smallest (
          smallest, ahead, (double)(request->deadline_at_ms - now_ms));
    }
  return fmax (0, smallest[ahead - 1]);
}

double
bgap_router_wait_ms (struct bgap_router_service *service,
                     const struct bgap_router_server *holder, int64_t now_ms,
                     uint32_t ahead)
{
  return _bgap_estimate_wait_ms (service, holder, now_ms, ahead);
}

bool
bgap_router_wait_misses_deadline (const struct bgap_router_state *state,
                                  struct bgap_router_service *service,
                                  const struct bgap_router_server *holder,
                                  int64_t now_ms, uint32_t ahead,
                                  struct bgap_router_request *request)
{
  if (!service->desc.policy->limited)
    return false;
  bool has_limit
      = holder != NULL
        && bgap_rate_limit_per_s (&holder->server.rate_limit, now_ms) > 0;
  double cost_ms = bgap_router_cost_ms (service, request);
  double median_ms = bgap_router_median_ms (service, now_ms, cost_ms);
  if (median_ms <= 0 && !has_limit)
    return false;
  double own_ms = holder != NULL ? _bgap_estimate_own_ms (
                      service, &holder->server, now_ms, cost_ms, BUSY_SHARE)
                                 : median_ms;
  double left_ms = (double)(request->deadline_at_ms - now_ms);
  double wait_ms = _bgap_estimate_wait_ms (service, holder, now_ms, ahead);
  if (own_ms + wait_ms > left_ms && !has_limit)
    wait_ms = fmin (wait_ms, _bgap_estimate_latest_ms (state, service, holder,
                                                       now_ms, ahead));
  double expected_ms = own_ms + wait_ms;
  if (expected_ms <= left_ms)
    return false;
  request->expected_ms = (int64_t)expected_ms;
  return true;
}

/* Whether a request did not wait for a slot of the server, according to its
   load before and after.  */
static bool
_bgap_estimate_was_free (const struct bgap_server *server, int64_t now_ms,
                         const struct bgap_router_request *request)
{
  return request->uncontended
         && _bgap_estimate_busy (server, now_ms) <= server->slots;
}

/* Adds a response time without a wait to those of the service and the server,
   for the unit of cost.  */
static void
_bgap_estimate_add_free (struct bgap_router_service *service,
                         struct bgap_server *server, int64_t now_ms,
                         double unit_ms)
{
  bgap_response_times_add (&service->free_times, now_ms, unit_ms);
  bgap_recent_times_add (&server->free_times, now_ms, unit_ms);
}

/* Compares a response time with its forecast. An attempt that was cut is known
   to take longer than that, which says something only if the forecast was
   shorter.  */
static void
_bgap_estimate_check_forecast (struct bgap_router_service *service,
                               struct bgap_server *server, int64_t now_ms,
                               const struct bgap_router_request *request,
                               bool was_served, double unit_ms)
{
  double took_ms = (double)(now_ms - request->dispatched_at_ms);
  if (!was_served && took_ms <= request->forecast_ms)
    return;
  bgap_recent_mean_add (&server->all_times, now_ms, unit_ms);
  if (request->forecast_ms > 0)
    bgap_response_times_add (&service->forecast_errors, now_ms,
                             FORECAST_UNIT * took_ms / request->forecast_ms);
}

void
bgap_router_record_time (struct bgap_router_service *service,
                         struct bgap_server *server, int64_t now_ms,
                         const struct bgap_router_request *request,
                         enum bgap_result_kind kind, bool is_error)
{
  double took_ms = (double)(now_ms - request->dispatched_at_ms);
  bool was_free = _bgap_estimate_was_free (server, now_ms, request);
  bool was_served = kind == BGAP_RESULT_COMPLETE && !is_error;
  /* The first answer is the only estimate of its own cost.  */
  bool learned = was_served && request->cost_ms <= 0;
  if (learned)
    bgap_router_learn_cost (service, server, now_ms, request, took_ms,
                            was_free);
  double cost_ms = bgap_router_cost_ms (service, request);
  double unit_ms = took_ms * BGAP_ROUTER_COST_UNIT_MS / cost_ms;
  bool is_bound = false;
  double waited_ms = 0;
  if (!was_free || kind == BGAP_RESULT_TIMEOUT)
    {
      double own_ms = _bgap_estimate_own_ms (service, server, now_ms, cost_ms,
                                             BUSY_SHARE);
      /* An answer that did not come in time would have taken longer than
         that.  */
      is_bound = was_free && took_ms > own_ms;
      if (!was_free && took_ms > own_ms
          && bgap_router_median_ms (service, now_ms, cost_ms) > 0)
        waited_ms = took_ms - own_ms;
    }
  if (is_bound)
    bgap_recent_times_add (&server->free_times, now_ms, unit_ms);
  if (was_served || kind == BGAP_RESULT_TIMEOUT)
    {
      bgap_recent_times_add (&server->wait_times, now_ms, waited_ms);
      _bgap_estimate_check_forecast (service, server, now_ms, request,
                                     was_served, unit_ms);
    }
  if (!learned && (was_served || is_bound))
    bgap_router_learn_cost (service, server, now_ms, request, took_ms,
                            was_free);
  if (!was_served)
    return;
  service->response_ms
      = service->response_ms > 0
            ? service->response_ms
                  + RESPONSE_SMOOTHING * (took_ms - service->response_ms)
            : took_ms;
  bgap_response_times_add (&service->all_times, now_ms, unit_ms);
  if (was_free)
    _bgap_estimate_add_free (service, server, now_ms, unit_ms);
}
