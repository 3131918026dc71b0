#include "banyangap/routing/server.h"

#include <stdio.h>
#include <string.h>

#include "banyangap/base/hash.h"

#define DEFAULT_SLOTS 1u
#define DEFAULT_CONNECTIONS 64u
#define DEFAULT_ENTRY_HOSTS_MAX 12u
#define MAX_SLOTS 65535u
#define PERCENT 100u
#define MAX_LOAD_PERCENT 1000u

/* The window counts sixteenths of an attempt, so that it can grow by one
   attempt per window of completed attempts.  */
#define WINDOW_ONE 16u

/* How many times the back-off doubles at most after consecutive sheds.  */
#define BACKOFF_SHIFT_MAX 2u

/* After this many half-lives a load report has no weight.  */
#define MAX_HALF_LIVES 10

/* Half-life of the requests of other instances in a load report, so that a
   server that appeared full is tried again. It doubles with each doubling of
   the instances per slot beyond INSTANCES_PER_SLOT: with so many instances,
   requests that end are replaced by others. It is at most this multiple of the
   response time: by then the requests that the report counted have ended, and
   nothing is known of their successors. Requests would wait for a server that
   is free, since only their own responses bring a newer report.  */
#define OTHERS_HALF_LIFE_MS 300
#define INSTANCES_PER_SLOT 2u
#define OTHERS_RESPONSE_TIMES 4

/* Requests assumed in flight on a server that closes a connection without an
   answer, as a multiple of the capacity that instances use: it accepts several
   requests per slot before it does so.  */
#define FULL_CAPACITY_FACTOR 4u

/* Initial back-off after a failed connection attempt.  */
#define NO_CONNECT_BACKOFF_MS 150

/* Weight of a new sample in the smoothed response time.  */
#define LATENCY_WEIGHT 0.15

/* A server runs requests at about half the speed during its warm-up.  */
#define COLD_SLOTS_DIVISOR 2u

static bool
_bgap_server_name_valid (const char *name)
{
  return name != NULL && name[0] != '\0'
         && strlen (name) < BGAP_ROUTING_NAME_SIZE;
}

bool
bgap_server_desc_valid (const struct bgap_server_desc *desc)
{
  return _bgap_server_name_valid (desc->name)
         && _bgap_server_name_valid (desc->zone) && desc->slots <= MAX_SLOTS;
}

void
bgap_server_update (struct bgap_server *server,
                    const struct bgap_server_desc *desc)
{
  uint32_t connections
      = desc->connections ? desc->connections : DEFAULT_CONNECTIONS;
  uint32_t hosts = desc->entry_hosts_max ? desc->entry_hosts_max
                                         : DEFAULT_ENTRY_HOSTS_MAX;
  uint32_t quota = connections / hosts;
  uint32_t slots = desc->slots ? desc->slots : DEFAULT_SLOTS;
  snprintf (server->zone, sizeof server->zone, "%s", desc->zone);
  if (slots != server->slots)
    server->window = slots * WINDOW_ONE;
  server->slots = slots;
  server->quota = quota ? quota : 1;
  server->bytes_max = desc->bytes_max;
  server->others_half_life_ms = OTHERS_HALF_LIFE_MS;
  for (uint32_t instances = slots * INSTANCES_PER_SLOT;
       instances < desc->instances; instances *= 2)
    server->others_half_life_ms *= 2;
}

void
bgap_server_setup (struct bgap_server *server, int64_t now_ms,
                   const struct bgap_server_desc *desc)
{
  *server = (struct bgap_server){
    .hash = bgap_hash64 (desc->name, strlen (desc->name)),
    .started_ms = desc->already_running || desc->cold_ms > 0
                      ? now_ms - BGAP_SLOW_START_MS
                      : now_ms,
    .cold_until_ms = now_ms + desc->cold_ms,
    .joined = desc->joined,
    .wait_times = { .half_life_ms = BGAP_WAIT_TIME_HALF_LIFE_MS },
  };
  snprintf (server->name, sizeof server->name, "%s", desc->name);
  bgap_server_update (server, desc);
}

void
bgap_server_back_off (struct bgap_server *server, int64_t now_ms,
                      int64_t backoff_ms)
{
  uint32_t shift
      = server->sheds < BACKOFF_SHIFT_MAX ? server->sheds : BACKOFF_SHIFT_MAX;
  server->sheds++;
  server->backoff_until_ms = now_ms + (backoff_ms << shift);
}

static uint32_t
_bgap_server_shared_capacity (const struct bgap_server *server, int64_t now_ms,
                              uint32_t queue_percent)
{
  uint32_t slots = bgap_server_hard_limit (server);
  if (now_ms < server->cold_until_ms && slots > 1)
    slots /= COLD_SLOTS_DIVISOR;
  return slots + server->queue_allowance * queue_percent / PERCENT;
}

void
bgap_server_on_unanswered_close (struct bgap_server *server, int64_t now_ms,
                                 int64_t backoff_ms)
{
  uint32_t busy = FULL_CAPACITY_FACTOR
                  * _bgap_server_shared_capacity (server, now_ms, PERCENT);
  uint32_t others = busy > server->in_flight ? busy - server->in_flight : 0;
  bgap_server_back_off (server, now_ms, backoff_ms);
  if (others > bgap_server_others_in_flight (server, now_ms))
    {
      server->others_in_flight = others;
      server->load_at_ms = now_ms;
      bgap_outstanding_report (&server->work, now_ms, others, 0);
    }
}

void
bgap_server_pause (struct bgap_server *server, int64_t now_ms,
                   int64_t pause_ms)
{
  if (pause_ms > BGAP_SERVER_PAUSE_MAX_MS)
    pause_ms = BGAP_SERVER_PAUSE_MAX_MS;
  if (now_ms + pause_ms > server->paused_until_ms)
    server->paused_until_ms = now_ms + pause_ms;
}

int64_t
bgap_server_pause_left_ms (const struct bgap_server *server, int64_t now_ms)
{
  return now_ms < server->paused_until_ms ? server->paused_until_ms - now_ms
                                          : 0;
}

bool
bgap_server_busy_for (const struct bgap_server *server, int64_t now_ms,
                      uint32_t queue_percent)
{
  if (bgap_server_pause_left_ms (server, now_ms) > 0)
    return true;
  if (server->bytes_max > 0 && server->bytes_in_flight >= server->bytes_max)
    return true;
  if (server->shared)
    return now_ms < server->backoff_until_ms
           || server->in_flight >= server->quota
           || server->in_flight + bgap_server_others_in_flight (server, now_ms)
                  >= _bgap_server_shared_capacity (server, now_ms,
                                                   queue_percent);
  return now_ms < server->backoff_until_ms
         || server->in_flight >= bgap_server_limit (server, now_ms);
}

bool
bgap_server_busy (const struct bgap_server *server, int64_t now_ms)
{
  return bgap_server_busy_for (server, now_ms, PERCENT);
}

/* The servers of an evacuated zone may turn cold at any moment, so that what
   the registrations say of them does not count.  */
bool
bgap_server_needs_check (const struct bgap_server *server, int64_t now_ms)
{
  bool is_evacuated = (server->drain_signals & 1u << BGAP_DRAIN_ZONE) != 0;
  return server->rate_limit.cold_per_s > 0
         && bgap_rate_limit_cold_per_s (&server->rate_limit, now_ms) == 0
         && (is_evacuated
             || !bgap_warm_check_is_recent (&server->warm_check, now_ms));
}

bool
bgap_server_may_be_cold (const struct bgap_server *server, int64_t now_ms)
{
  return bgap_server_needs_check (server, now_ms)
         && !bgap_warm_check_is_covered (&server->warm_check, now_ms);
}

bool
bgap_server_full (const struct bgap_server *server, int64_t now_ms)
{
  return bgap_rate_limit_blocks (&server->rate_limit, now_ms)
         || bgap_server_may_be_cold (server, now_ms)
         || bgap_server_busy (server, now_ms);
}

/* Drain and ejection.  */

bool
bgap_server_draining (const struct bgap_server *server)
{
  return server->drain_signals != 0;
}

/* The drain signals other than the evacuation of its zone.  */
static uint32_t
_bgap_server_own_drain (const struct bgap_server *server)
{
  return server->drain_signals & ~(1u << BGAP_DRAIN_ZONE);
}

void
bgap_server_set_drain (struct bgap_server *server, int64_t now_ms,
                       enum bgap_drain_signal signal, bool on)
{
  uint32_t before = _bgap_server_own_drain (server);
  if (on)
    server->drain_signals |= 1u << signal;
  else
    server->drain_signals &= ~(1u << signal);
  if (signal == BGAP_DRAIN_ZONE)
    server->evacuated_ms = now_ms;
  else if (before == 0)
    server->drain_since_ms = now_ms;
}

void
bgap_server_evacuate (struct bgap_server *server, int64_t now_ms, bool on,
                      int64_t grace_ms)
{
  bgap_server_set_drain (server, now_ms, BGAP_DRAIN_ZONE, on);
  server->evacuated_ms = now_ms + grace_ms;
}

bool
bgap_server_ejected (const struct bgap_server *server, int64_t now_ms)
{
  return now_ms < server->ejected_until_ms;
}

void
bgap_server_eject (struct bgap_server *server, int64_t now_ms)
{
  int64_t duration = BGAP_EJECT_MS;
  for (uint32_t i = 0; i < server->ejections && duration < BGAP_EJECT_MAX_MS;
       i++)
    duration *= 2;
  if (duration > BGAP_EJECT_MAX_MS)
    duration = BGAP_EJECT_MAX_MS;
  server->ejections++;
  server->failures = 0;
  server->ejected_until_ms = now_ms + duration;
}

bool
bgap_server_eligible (const struct bgap_server *server, int64_t now_ms)
{
  return !server->lost && !server->removed && server->drain_signals == 0
         && !bgap_server_ejected (server, now_ms);
}

bool
bgap_server_holder_eligible (const struct bgap_server *server, int64_t now_ms)
{
  if (server->lost || server->removed)
    return false;
  int64_t grace_ms = server->drain_grace_ms != 0 ? server->drain_grace_ms
                                                 : BGAP_DRAIN_GRACE_MS;
  bool is_evacuated = (server->drain_signals & 1u << BGAP_DRAIN_ZONE) != 0;
  if (is_evacuated && now_ms >= server->evacuated_ms)
    return false;
  return _bgap_server_own_drain (server) == 0
         || now_ms - server->drain_since_ms < grace_ms;
}

/* Limits and load.  */

uint32_t
bgap_server_hard_limit (const struct bgap_server *server)
{
  uint32_t limit = server->slots;
  if (server->slots_reported > 0 && server->slots_reported < limit)
    limit = server->slots_reported;
  return limit < server->quota ? limit : server->quota;
}

uint32_t
bgap_server_limit (const struct bgap_server *server, int64_t now_ms)
{
  uint32_t limit = bgap_server_hard_limit (server);
  uint32_t window = server->window / WINDOW_ONE;
  if (window < limit)
    limit = window;
  int64_t age = now_ms - server->started_ms;
  if (age >= 0 && age < BGAP_SLOW_START_MS)
    limit = (uint32_t)(limit * age / BGAP_SLOW_START_MS);
  return limit ? limit : 1;
}

static int64_t
_bgap_server_others_half_life_ms (const struct bgap_server *server)
{
  int64_t most_ms = (int64_t)(server->latency_ms * OTHERS_RESPONSE_TIMES);
  if (most_ms < OTHERS_HALF_LIFE_MS)
    most_ms = OTHERS_HALF_LIFE_MS;
  return server->latency_ms <= 0 || server->others_half_life_ms < most_ms
             ? server->others_half_life_ms
             : most_ms;
}

uint32_t
bgap_server_others_in_flight (const struct bgap_server *server, int64_t now_ms)
{
  int64_t age = now_ms - server->load_at_ms;
  int64_t halves
      = age > 0 ? age / _bgap_server_others_half_life_ms (server) : 0;
  return halves < MAX_HALF_LIVES ? server->others_in_flight >> halves : 0;
}

uint32_t
bgap_server_load (const struct bgap_server *server, int64_t now_ms)
{
  if (!server->has_load)
    return 0;
  int64_t age = now_ms - server->load_at_ms;
  if (age < 0)
    age = 0;
  int64_t halves = age / BGAP_LOAD_HALF_LIFE_MS;
  if (halves >= MAX_HALF_LIVES)
    return 0;
  uint32_t whole = server->load_percent >> halves;
  /* Interpolates linearly between half-lives.  */
  int64_t rest = age % BGAP_LOAD_HALF_LIFE_MS;
  return (uint32_t)(whole - whole * rest / 2 / BGAP_LOAD_HALF_LIFE_MS);
}

void
bgap_server_on_load (struct bgap_server *server, int64_t now_ms,
                     const struct bgap_server_load *load)
{
  uint32_t slots = load->slots ? load->slots : server->slots;
  uint64_t busy = (uint64_t)load->in_flight + load->queued;
  uint64_t percent = busy * PERCENT / slots;
  server->load_percent
      = percent > MAX_LOAD_PERCENT ? MAX_LOAD_PERCENT : (uint32_t)percent;
  server->others_in_flight
      = busy > server->in_flight ? (uint32_t)busy - server->in_flight : 0;
  server->load_at_ms = now_ms;
  server->has_load = true;
  server->slots_reported = load->slots;
  bgap_outstanding_report (&server->work, now_ms, server->others_in_flight,
                           load->slowdown_percent);
  bgap_server_set_drain (server, now_ms, BGAP_DRAIN_REPORT, load->draining);
}

/* Attempts.  */

void
bgap_server_on_dispatch (struct bgap_server *server, int64_t now_ms)
{
  server->in_flight++;
  bgap_rate_limit_take (&server->rate_limit, now_ms);
  bgap_warm_check_use (&server->warm_check);
  bgap_window_count_add (&server->dispatched, now_ms);
}

void
bgap_server_on_latency (struct bgap_server *server, int64_t took_ms,
                        bool uncontended)
{
  if (server->latency_ms <= 0)
    server->latency_ms = (double)took_ms;
  else if (uncontended || (double)took_ms < server->latency_ms)
    server->latency_ms
        += LATENCY_WEIGHT * ((double)took_ms - server->latency_ms);
}

void
bgap_server_on_end (struct bgap_server *server)
{
  if (server->in_flight > 0)
    server->in_flight--;
}

bool
bgap_server_on_result (struct bgap_server *server, int64_t now_ms,
                       enum bgap_result_kind kind)
{
  if (kind == BGAP_RESULT_NO_CONNECT)
    bgap_warm_check_suspect (&server->warm_check, now_ms);
  switch (kind)
    {
    case BGAP_RESULT_COMPLETE:
      server->failures = 0;
      server->sheds = 0;
      server->ejections = 0;
      if (server->window < server->slots * WINDOW_ONE)
        server->window += WINDOW_ONE * WINDOW_ONE / server->window + 1;
      return false;
    case BGAP_RESULT_SHED:
      /* Other instances use its slots too: yield a quarter of our window.  */
      server->window -= server->window / 4;
      if (server->window < WINDOW_ONE)
        server->window = WINDOW_ONE;
      return false;
    case BGAP_RESULT_DRAINING:
      bgap_server_set_drain (server, now_ms, BGAP_DRAIN_REPORT, true);
      return false;
    case BGAP_RESULT_NO_CONNECT:
      if (server->shared)
        bgap_server_back_off (server, now_ms, NO_CONNECT_BACKOFF_MS);
      server->failures++;
      return server->failures >= BGAP_EJECT_FAILURES;
    case BGAP_RESULT_BROKEN:
    case BGAP_RESULT_TIMEOUT:
    case BGAP_RESULT_FAILED:
      server->failures++;
      return server->failures >= BGAP_EJECT_FAILURES;
    case BGAP_RESULT_STARTED:
    case BGAP_RESULT_FENCED:
    case BGAP_RESULT_NOT_SENT:
    case BGAP_RESULT_COUNT:
      break;
    }
  return false;
}

bool
bgap_server_on_alive (struct bgap_server *server, int64_t now_ms,
                      uint64_t incarnation)
{
  bool is_new = server->has_incarnation && server->incarnation != incarnation;
  server->lost = false;
  server->has_incarnation = true;
  server->incarnation = incarnation;
  if (!is_new)
    return false;
  server->started_ms = now_ms;
  server->failures = 0;
  server->sheds = 0;
  server->backoff_until_ms = 0;
  server->paused_until_ms = 0;
  server->ejections = 0;
  server->ejected_until_ms = 0;
  server->has_load = false;
  bgap_outstanding_reset (&server->work);
  bgap_rate_limit_reset (&server->rate_limit, now_ms);
  bgap_warm_check_restarted (&server->warm_check);
  server->slots_reported = 0;
  server->window = server->slots * WINDOW_ONE;
  bgap_server_set_drain (server, now_ms, BGAP_DRAIN_REPORT, false);
  return true;
}
