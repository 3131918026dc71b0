#include <math.h>

#include "router_parts.h"

#define QUEUE_PER_SLOT 4u

/* Time over which the rate of a queue is measured.  */
#define RATE_WINDOW_MS 100
#define RATE_SMOOTHING 0.3

/* Interval at which late requests that wait are checked. One is hopeless if
   others have taken all slots for so many times as long as it may still wait,
   and so many of them were sent.  */
#define LATE_CHECK_MS 100
#define OTHERS_TIMES_LEFT 2
#define OTHERS_SENT_MIN 8

/* Bounds of Retry-After: the lower one in milliseconds, the upper one as a
   divisor of the time left until the deadline, because callers honour at most
   a third of it.  */
#define RETRY_AFTER_MIN_MS 50
#define RETRY_AFTER_DIVISOR 3

enum bgap_status
bgap_router_set_timer (struct bgap_router_state *state,
                       struct bgap_router_request *request)
{
  int64_t at_ms = request->deadline_at_ms;
  if (request->state == BGAP_REQUEST_BACKOFF && request->wake_at_ms < at_ms)
    at_ms = request->wake_at_ms;
  bgap_heap_remove (&state->timers, request->id);
  return bgap_heap_push (&state->timers, at_ms, 0, request->id);
}

static struct bgap_heap *
_bgap_router_queue_of (struct bgap_router_state *state,
                       const struct bgap_router_request *request)
{
  struct bgap_router_service *service
      = bgap_router_service (state, request->service);
  if (!service->desc.keyed)
    return &service->queue;
  struct bgap_router_server *holder
      = bgap_router_server (state, request->holder);
  return holder ? &holder->queue : NULL;
}

void
bgap_router_leave_state (struct bgap_router_state *state,
                         struct bgap_router_request *request)
{
  struct bgap_router_service *service
      = bgap_router_service (state, request->service);
  struct bgap_heap *queue;
  switch (request->state)
    {
    case BGAP_REQUEST_QUEUED:
      queue = _bgap_router_queue_of (state, request);
      if (queue != NULL)
        bgap_heap_remove (queue, request->id);
      service->waiting--;
      break;
    case BGAP_REQUEST_RESOLVING:
    case BGAP_REQUEST_BACKOFF:
      service->waiting--;
      break;
    case BGAP_REQUEST_IDEMPOTENCY:
      service->idempotency_waiting--;
      break;
    case BGAP_REQUEST_NEW:
    case BGAP_REQUEST_IN_FLIGHT:
      break;
    }
  request->state = BGAP_REQUEST_NEW;
}

/* Admission.  */

uint32_t
bgap_router_queue_limit (const struct bgap_router_service *service)
{
  if (service->desc.queue_limit)
    return service->desc.queue_limit;
  uint32_t slots = 0;
  for (uint32_t i = 0; i < service->server_count; i++)
    slots += service->servers[i]->slots;
  return slots ? slots * QUEUE_PER_SLOT : QUEUE_PER_SLOT;
}

int64_t
bgap_router_rank (struct bgap_router_service *service, int64_t now_ms,
                  const struct bgap_router_request *request)
{
  bool late
      = request->objective_at_ms > 0
        && (double)(request->objective_at_ms - now_ms)
               < bgap_router_median_ms (
                   service, now_ms, bgap_router_cost_ms (service, request));
  return 2 * (int64_t)request->class_ + (late ? 1 : 0);
}

/* Order within a rank: by deadline. Where a request has a choice of servers, a
   long one goes behind short ones whose deadlines are later by less than the
   difference of the costs.  */
static int64_t
_bgap_router_order (const struct bgap_router_service *service,
                    const struct bgap_router_request *request)
{
  if (service->desc.keyed || !bgap_router_uses_cost (service))
    return request->deadline_at_ms;
  return request->deadline_at_ms
         + (int64_t)bgap_router_cost_ms (service, request);
}

static bool
_bgap_router_is_late (int64_t rank)
{
  return rank % 2 != 0;
}

/* Whether a late request is not expected to get a slot of its queue.  */
static bool
_bgap_router_is_hopeless (const struct bgap_router_spare *spare,
                          int64_t now_ms,
                          const struct bgap_router_request *request)
{
  return spare->others_sent >= OTHERS_SENT_MIN
         && now_ms - spare->at_ms
                >= OTHERS_TIMES_LEFT * (request->deadline_at_ms - now_ms);
}

static bool
_bgap_router_hopeless_in (const struct bgap_heap *queue,
                          const struct bgap_router_spare *spare,
                          int64_t now_ms, int64_t rank,
                          const struct bgap_router_request *request)
{
  return queue->count > 0 && _bgap_router_is_late (rank)
         && _bgap_router_is_hopeless (spare, now_ms, request);
}

static void
_bgap_router_refuse_hopeless (struct bgap_router_state *state,
                              const struct bgap_router_spare *spare,
                              int64_t now_ms,
                              struct bgap_router_request *request)
{
  request->expected_ms = now_ms - spare->at_ms;
  bgap_router_finish (state, now_ms, request, BGAP_REASON_DEADLINE);
}

static void
_bgap_router_has_spare (struct bgap_router_spare *spare, int64_t now_ms)
{
  spare->at_ms = now_ms;
  spare->others_sent = 0;
}

void
bgap_router_note_sent (struct bgap_router_spare *spare, int64_t now_ms,
                       int64_t rank)
{
  if (_bgap_router_is_late (rank))
    _bgap_router_has_spare (spare, now_ms);
  else
    spare->others_sent++;
}

bool
bgap_router_rerank (struct bgap_router_state *state, int64_t now_ms,
                    struct bgap_heap *queue,
                    const struct bgap_router_spare *spare, int64_t rank,
                    struct bgap_router_request *request)
{
  struct bgap_router_service *service
      = bgap_router_service (state, request->service);
  int64_t current = bgap_router_rank (service, now_ms, request);
  if (current <= rank)
    return false;
  if (_bgap_router_is_hopeless (spare, now_ms, request))
    {
      _bgap_router_refuse_hopeless (state, spare, now_ms, request);
      return true;
    }
  bgap_heap_remove (queue, request->id);
  /* Cannot fail: the push reuses the entry freed by the removal.  */
  (void)bgap_heap_push (queue, current, _bgap_router_order (service, request),
                        request->id);
  return true;
}

void
bgap_router_refuse_late (struct bgap_router_state *state, int64_t now_ms,
                         struct bgap_heap *queue,
                         struct bgap_router_spare *spare)
{
  if (now_ms - spare->checked_ms < LATE_CHECK_MS)
    return;
  spare->checked_ms = now_ms;
  /* One that a removal has moved before this place is found next time.  */
  for (uint32_t i = 0; i < queue->count;)
    {
      struct bgap_router_request *request
          = bgap_router_open_request (state, queue->items[i].id);
      if (_bgap_router_is_late (queue->items[i].major)
          && _bgap_router_is_hopeless (spare, now_ms, request))
        _bgap_router_refuse_hopeless (state, spare, now_ms, request);
      else
        i++;
    }
}

/* Random time up to @max_ms, so that callers do not return at the same
   time.  */
static int64_t
_bgap_router_spread_ms (struct bgap_router_state *state, int64_t max_ms)
{
  return (int64_t)bgap_random_below (&state->random, (uint64_t)max_ms + 1);
}

int64_t
bgap_router_retry_after_ms (struct bgap_router_state *state,
                            const struct bgap_router_service *service,
                            const struct bgap_router_request *request,
                            int64_t now_ms)
{
  int64_t left_ms = request->deadline_at_ms - now_ms;
  const struct bgap_router_server *holder
      = service->desc.keyed ? bgap_router_server (state, request->holder)
                            : NULL;
  int64_t pause_ms = bgap_router_pause_left_ms (service, holder, now_ms);
  /* Not earlier than the end of the pause, even if callers return sooner.  */
  if (pause_ms > 0)
    return pause_ms + _bgap_router_spread_ms (state, pause_ms / 2);
  double queue_ms
      = service->rate.per_ms > 0 ? service->waiting / service->rate.per_ms : 0;
  double permit_ms
      = holder != NULL ? bgap_rate_limit_wait_ms (
            &holder->server.rate_limit, now_ms, holder->queue.count + 1)
                       : 0;
  int64_t wait_ms
      = request->outage_ms > 0
            ? request->outage_ms
            : (int64_t)(fmax (queue_ms, permit_ms) + service->response_ms);
  int64_t least_ms = bgap_router_is_evacuated (service)
                         ? BGAP_ROUTER_EVACUATED_RETRY_MS
                         : RETRY_AFTER_MIN_MS;
  if (wait_ms < least_ms)
    wait_ms = least_ms;
  if (wait_ms > left_ms / RETRY_AFTER_DIVISOR)
    wait_ms = left_ms / RETRY_AFTER_DIVISOR;
  if (wait_ms < 1)
    return 1;
  /* Spread over the second half.  */
  return wait_ms - _bgap_router_spread_ms (state, wait_ms / 2);
}

static struct bgap_router_request *
_bgap_router_least_urgent (struct bgap_router_state *state, int64_t rank,
                           const struct bgap_router_request *request)
{
  const struct bgap_heap *queue = _bgap_router_queue_of (state, request);
  const struct bgap_heap_item *worst = NULL;
  for (uint32_t i = 0; queue != NULL && i < queue->count; i++)
    {
      const struct bgap_heap_item *item = &queue->items[i];
      if (item->major <= rank)
        continue;
      if (worst == NULL || item->major > worst->major
          || (item->major == worst->major && item->minor > worst->minor))
        worst = item;
    }
  return worst ? bgap_router_open_request (state, worst->id) : NULL;
}

bool
bgap_router_admit (struct bgap_router_state *state, int64_t now_ms,
                   struct bgap_router_request *request)
{
  struct bgap_router_service *service
      = bgap_router_service (state, request->service);
  if (!bgap_router_may_wait (state, now_ms))
    {
      bgap_router_finish (state, now_ms, request, BGAP_REASON_SHUTDOWN);
      return false;
    }
  while (service->waiting >= bgap_router_queue_limit (service))
    {
      struct bgap_router_request *worst = _bgap_router_least_urgent (
          state, bgap_router_rank (service, now_ms, request), request);
      if (worst == NULL)
        {
          bgap_router_finish (state, now_ms, request, BGAP_REASON_QUEUE_FULL);
          return false;
        }
      bgap_router_finish (state, now_ms, worst, BGAP_REASON_QUEUE_FULL);
    }
  return true;
}

/* Rates.  */

void
bgap_router_update_rate (struct bgap_router_rate *rate, uint32_t waiting,
                         int64_t now_ms)
{
  int64_t elapsed_ms = now_ms - rate->from_ms;
  rate->backlog = rate->backlog && waiting > 0;
  if (elapsed_ms < RATE_WINDOW_MS)
    return;
  if (rate->backlog)
    {
      double per_ms = (double)rate->completed / (double)elapsed_ms;
      rate->per_ms
          = rate->per_ms > 0
                ? rate->per_ms + RATE_SMOOTHING * (per_ms - rate->per_ms)
                : per_ms;
    }
  else if (waiting == 0)
    rate->per_ms = 0;
  rate->completed = 0;
  rate->from_ms = now_ms;
  rate->backlog = waiting > 0;
}

/* Position of a request in a queue that it is about to enter, from 1.  */
static uint32_t
_bgap_router_position (const struct bgap_heap *queue, int64_t rank,
                       int64_t order)
{
  uint32_t position = 1;
  for (uint32_t i = 0; i < queue->count; i++)
    if (queue->items[i].major < rank
        || (queue->items[i].major == rank && queue->items[i].minor <= order))
      position++;
  return position;
}

/* Waiting.  */

void
bgap_router_enqueue (struct bgap_router_state *state, int64_t now_ms,
                     struct bgap_router_request *request)
{
  struct bgap_router_service *service
      = bgap_router_service (state, request->service);
  struct bgap_heap *queue = _bgap_router_queue_of (state, request);
  struct bgap_router_server *holder
      = service->desc.keyed ? bgap_router_server (state, request->holder)
                            : NULL;
  struct bgap_router_spare *spare
      = holder != NULL ? &holder->spare : &service->spare;
  int64_t rank = bgap_router_rank (service, now_ms, request);
  if (_bgap_router_hopeless_in (queue, spare, now_ms, rank, request))
    {
      _bgap_router_refuse_hopeless (state, spare, now_ms, request);
      return;
    }
  if (bgap_router_wait_misses_deadline (
          state, service, holder, now_ms,
          _bgap_router_position (queue, rank,
                                 _bgap_router_order (service, request)),
          request))
    {
      bgap_router_finish (state, now_ms, request, BGAP_REASON_DEADLINE);
      return;
    }
  if (!bgap_router_admit (state, now_ms, request))
    return;
  if (queue->count == 0)
    _bgap_router_has_spare (spare, now_ms);
  if (bgap_heap_push (queue, rank, _bgap_router_order (service, request),
                      request->id)
      != BGAP_OK)
    {
      bgap_router_finish (state, now_ms, request, BGAP_REASON_QUEUE_FULL);
      return;
    }
  service->waiting++;
  request->state = BGAP_REQUEST_QUEUED;
}

bool
bgap_router_queue_full (const struct bgap_router_service *service,
                        const struct bgap_heap *queue, int64_t rank)
{
  uint32_t replaceable = 0;
  for (uint32_t i = 0; queue != NULL && i < queue->count; i++)
    replaceable += queue->items[i].major > rank;
  return service->waiting - replaceable >= bgap_router_queue_limit (service);
}

bool
bgap_router_wait_refuses (const struct bgap_router_state *state,
                          struct bgap_router_service *service,
                          const struct bgap_router_server *holder,
                          int64_t now_ms, struct bgap_router_request *request,
                          struct bgap_router_wait *wait)
{
  const struct bgap_heap *queue
      = holder != NULL ? &holder->queue : &service->queue;
  const struct bgap_router_spare *spare
      = holder != NULL ? &holder->spare : &service->spare;
  int64_t rank = bgap_router_rank (service, now_ms, request);
  *wait = (struct bgap_router_wait){
    .reason = BGAP_REASON_DEADLINE,
    .position = _bgap_router_position (queue, rank,
                                       _bgap_router_order (service, request)),
  };
  if (_bgap_router_hopeless_in (queue, spare, now_ms, rank, request))
    {
      request->expected_ms = now_ms - spare->at_ms;
      return true;
    }
  if (bgap_router_wait_misses_deadline (state, service, holder, now_ms,
                                        wait->position, request))
    return true;
  wait->reason = BGAP_REASON_QUEUE_FULL;
  return bgap_router_queue_full (service, queue, rank);
}

void
bgap_router_back_off (struct bgap_router_state *state, int64_t now_ms,
                      struct bgap_router_request *request, int64_t delay_ms,
                      bool resolve_on_wake)
{
  if (!bgap_router_admit (state, now_ms, request))
    return;
  bgap_router_service (state, request->service)->waiting++;
  request->state = BGAP_REQUEST_BACKOFF;
  request->wake_at_ms = now_ms + delay_ms;
  request->resolve_on_wake = resolve_on_wake;
  bgap_router_set_timer (state, request);
}

void
bgap_router_resolve (struct bgap_router_state *state, int64_t now_ms,
                     struct bgap_router_request *request)
{
  if (!bgap_router_admit (state, now_ms, request))
    return;
  bgap_router_service (state, request->service)->waiting++;
  request->state = BGAP_REQUEST_RESOLVING;
  request->resolves++;
  bgap_router_emit (
      state, &(struct bgap_router_action){ .kind = BGAP_ROUTER_ACTION_RESOLVE,
                                           .request = { request->id },
                                           .context = request->context,
                                           .service = { request->service } });
}
