#include "fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "banyangap/base/random.h"

#define STEP_MS 10
#define INSTANCES 2

/* Interval of the granter's timer, of its reads of the store, and of the
   sample of the keys' state.  */
#define TICK_MS 50
#define VIEW_MS 500
#define SAMPLE_MS 50

/* Time until a call arrives, until its response arrives, and until an append
   is acknowledged.  */
#define CALL_MS 2
#define REPLY_MS 4
#define APPEND_MS 35

/* Time until the loss of a granter is detected.  */
#define DETECTION_MS 1400

/* Duration of the first grants of all ranges at most; later the measurement
   has begun.  */
#define SETTLE_MS 15000

#define DEFAULT_HOT_PERIOD_MS 5000

/* Period by which the load of the servers is compared with their slots.  */
#define BALANCE_MS 1000
#define SLOTS 6

/* Mean time of a request, by server in turn, relative to the mean.  */
static const double latencies_ms[] = { 820, 410, 410, 273 };

/**
 * struct event - a call that arrives, or its reply
 * @lost: the call gets no response
 * @effective: the call has an effect
 */
struct event
{
  int64_t at_ms;
  int instance;
  bool is_reply;
  bool lost;
  bool effective;
  struct bgap_granter_action action;
  struct bgap_assignment assignment;
};

/**
 * struct key - state of a key at the servers
 * @holder: index of the server with the newest grant, -1 for none
 * @until_ms: end of its lease
 * @lapsed_ms: for how long it has been without a lease of its holder
 */
struct key
{
  int16_t holder;
  int64_t until_ms;
  int64_t lapsed_ms;
};

/**
 * struct fleet - the simulation
 * @active: instance that may act as the granter
 * @detected: the loss of the other one has been detected
 * @machine_free_ms: when the granter's machine has sent all grants
 * @server_requests: requests for the keys of each server since the last
 *   balance sample
 */
struct fleet
{
  struct fleet_desc desc;
  struct bgap_random random;
  int64_t now_ms;
  struct bgap_granter *granters[INSTANCES];
  int active;
  int64_t lost_ms;
  struct event *events;
  uint32_t event_count;
  uint32_t event_capacity;
  struct key keys[BGAP_KEY_COUNT];
  uint32_t hot_first;
  int64_t hot_since_ms;
  double requests_due;
  double machine_free_ms;
  int64_t next_tick_ms;
  int64_t next_view_ms;
  int64_t next_sample_ms;
  uint32_t *server_requests;
  int64_t balance_since_ms;
  double excess_requests;
  uint64_t balanced_requests;
  bool measuring;
  struct fleet_totals totals;
};

static void
server_id (char *id, size_t size, uint32_t index)
{
  snprintf (id, size, "s%04u", index);
}

static int
server_index (const char *id)
{
  return id[0] == 's' ? atoi (id + 1) : -1;
}

static double
processor_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1000 + (double)now.tv_nsec / 1e6;
}

static void
add_event (struct fleet *f, const struct event *event)
{
  if (f->event_count == f->event_capacity)
    {
      f->event_capacity = f->event_capacity ? 2 * f->event_capacity : 1024;
      f->events = realloc (f->events, f->event_capacity * sizeof *f->events);
      if (f->events == NULL)
        abort ();
    }
  f->events[f->event_count++] = *event;
}

/* Setup.  */

static void
register_servers (struct fleet *f, struct bgap_granter *granter)
{
  for (uint32_t i = 0; i < f->desc.servers; i++)
    {
      struct bgap_granter_server server = {
        .started_ms = 5,
        .sequence = f->now_ms,
        .slots = SLOTS,
        .latency_ms
        = latencies_ms[i % (sizeof latencies_ms / sizeof *latencies_ms)],
      };
      server_id (server.id, sizeof server.id, i);
      bgap_granter_set_server (granter, f->now_ms, &server);
    }
}

static void
assign_first (struct fleet *f)
{
  struct bgap_assignment assignment;
  uint32_t count = f->desc.ranges ? f->desc.ranges : f->desc.servers;
  if (bgap_assignment_setup (&assignment) != BGAP_OK)
    abort ();
  assignment.token = 3;
  assignment.incarnation = 1;
  snprintf (assignment.granter, sizeof assignment.granter, "n0");
  for (uint32_t i = 0; i < count; i++)
    {
      struct bgap_key_range range = { .started_ms = 5, .token = 3 };
      server_id (range.server, sizeof range.server, i % f->desc.servers);
      uint32_t first = (uint32_t)((uint64_t)i * BGAP_KEY_COUNT / count);
      uint32_t end = (uint32_t)((uint64_t)(i + 1) * BGAP_KEY_COUNT / count);
      if (bgap_assignment_set (&assignment, first, end - 1, &range) != BGAP_OK)
        abort ();
    }
  for (int i = 0; i < INSTANCES; i++)
    {
      bgap_granter_on_assignment (f->granters[i], f->now_ms, &assignment);
      bgap_granter_on_loaded (f->granters[i], f->now_ms);
    }
  bgap_assignment_shutdown (&assignment);
}

struct fleet *
fleet_new (const struct fleet_desc *desc)
{
  struct fleet *f = calloc (1, sizeof *f);
  if (f == NULL)
    abort ();
  f->desc = *desc;
  if (f->desc.hot_period_ms == 0)
    f->desc.hot_period_ms = DEFAULT_HOT_PERIOD_MS;
  f->random.state = desc->seed ? desc->seed : 1;
  f->now_ms = 1000;
  f->server_requests = calloc (desc->servers, sizeof *f->server_requests);
  for (uint32_t k = 0; k < BGAP_KEY_COUNT; k++)
    f->keys[k].holder = -1;
  for (int i = 0; i < INSTANCES; i++)
    {
      char name[] = { 'n', (char)('0' + i), '\0' };
      if (bgap_granter_setup (
              &f->granters[i],
              &(struct bgap_granter_desc){ .instance = name,
                                           .incarnation = (uint64_t)i + 1 },
              NULL)
          != BGAP_OK)
        abort ();
      register_servers (f, f->granters[i]);
    }
  assign_first (f);
  return f;
}

void
fleet_free (struct fleet *f)
{
  for (int i = 0; i < INSTANCES; i++)
    bgap_granter_shutdown (f->granters[i]);
  for (uint32_t i = 0; i < f->event_count; i++)
    bgap_assignment_shutdown (&f->events[i].assignment);
  free (f->events);
  free (f->server_requests);
  free (f);
}

/* Calls.  */

static void
take_effect (struct fleet *f, const struct bgap_granter_action *action)
{
  int server = server_index (action->server);
  if (action->kind == BGAP_GRANTER_CHECK)
    return;
  for (uint32_t k = action->first; k <= action->last; k++)
    {
      struct key *key = &f->keys[k];
      if (action->kind == BGAP_GRANTER_GRANT)
        {
          key->holder = (int16_t)server;
          key->until_ms = f->now_ms + action->lease_ms;
        }
      else if (key->holder == server)
        key->holder = -1;
    }
}

static void
on_append (struct fleet *f, struct event *event)
{
  struct bgap_granter *granter = f->granters[event->instance];
  bgap_granter_on_append (granter, f->now_ms, event->action.call,
                          BGAP_GRANTER_APPENDED);
  for (int i = 0; i < INSTANCES; i++)
    bgap_granter_on_assignment (f->granters[i], f->now_ms, &event->assignment);
  bgap_assignment_shutdown (&event->assignment);
}

static void
on_call (struct fleet *f, const struct event *event)
{
  struct event reply = *event;
  reply.is_reply = true;
  reply.at_ms = event->lost ? event->at_ms + event->action.timeout_ms
                            : event->at_ms + REPLY_MS - CALL_MS;
  if (event->effective)
    take_effect (f, &event->action);
  add_event (f, &reply);
}

static void
run_events (struct fleet *f)
{
  uint32_t count = f->event_count;
  for (uint32_t i = 0; i < count;)
    {
      if (f->events[i].at_ms > f->now_ms)
        {
          i++;
          continue;
        }
      struct event event = f->events[i];
      f->events[i] = f->events[--count];
      f->events[count] = f->events[--f->event_count];
      double begun_ms = processor_ms ();
      if (event.action.kind == BGAP_GRANTER_APPEND)
        on_append (f, &event);
      else if (event.is_reply)
        {
          enum bgap_granter_result result = BGAP_GRANTER_DONE;
          if (event.action.kind == BGAP_GRANTER_CHECK)
            result = BGAP_GRANTER_RECONNECTED;
          if (event.lost)
            result = BGAP_GRANTER_LOST;
          bgap_granter_on_reply (f->granters[event.instance], f->now_ms,
                                 event.action.call, result, "");
          f->next_tick_ms = f->now_ms;
        }
      f->totals.processor_ms += processor_ms () - begun_ms;
      if (event.action.kind != BGAP_GRANTER_APPEND && !event.is_reply)
        on_call (f, &event);
    }
}

/* Time at which the granter's machine sends a call.  */
static int64_t
send_ms (struct fleet *f)
{
  if (f->machine_free_ms < (double)f->now_ms)
    f->machine_free_ms = (double)f->now_ms;
  f->machine_free_ms += f->desc.grant_ms;
  return (int64_t)f->machine_free_ms;
}

static void
carry_out (struct fleet *f, int i)
{
  struct bgap_granter_action action;
  while (bgap_granter_next_action (f->granters[i], &action))
    {
      struct event event = { .instance = i, .action = action };
      if (action.kind == BGAP_GRANTER_LAPSED
          || action.kind == BGAP_GRANTER_READ)
        continue;
      if (action.kind == BGAP_GRANTER_APPEND)
        {
          event.at_ms = f->now_ms + APPEND_MS;
          if (bgap_assignment_decode (&event.assignment, action.bytes,
                                      action.size, NULL)
              != BGAP_OK)
            abort ();
        }
      else
        {
          event.at_ms = send_ms (f) + CALL_MS;
          event.lost
              = bgap_random_below (&f->random, 1000) < f->desc.lost_per_mille;
          event.effective
              = !event.lost || bgap_random_below (&f->random, 2) == 0;
        }
      add_event (f, &event);
    }
}

static void
run_granter (struct fleet *f)
{
  struct bgap_granter *granter = f->granters[f->active];
  bool detected = f->now_ms >= f->lost_ms + DETECTION_MS;
  double begun_ms = processor_ms ();
  if (f->now_ms >= f->next_view_ms)
    {
      f->next_view_ms = f->now_ms + VIEW_MS;
      bgap_granter_on_view (granter, f->now_ms, f->now_ms - CALL_MS);
      register_servers (f, granter);
    }
  bgap_granter_set_successor (granter, f->now_ms, true,
                              f->lost_ms != 0 && detected);
  bgap_granter_tick (granter, f->now_ms);
  f->totals.processor_ms += processor_ms () - begun_ms;
  carry_out (f, f->active);
}

static void
lose_granter (struct fleet *f)
{
  int64_t every_ms = f->desc.granter_lost_every_ms;
  int64_t since_ms = f->lost_ms != 0 ? f->lost_ms : 1000;
  if (every_ms == 0 || f->now_ms < since_ms + every_ms)
    return;
  f->lost_ms = f->now_ms;
  f->active = 1 - f->active;
  /* A restarted instance knows the newest record, and is a new process.  */
  char name[] = { 'n', (char)('0' + f->active), '\0' };
  struct bgap_assignment current = { 0 };
  bgap_assignment_copy (&current,
                        bgap_granter_assignment (f->granters[f->active]));
  bgap_granter_shutdown (f->granters[f->active]);
  if (bgap_granter_setup (
          &f->granters[f->active],
          &(struct bgap_granter_desc){ .instance = name,
                                       .incarnation
                                       = bgap_random_next (&f->random) | 1 },
          NULL)
      != BGAP_OK)
    abort ();
  register_servers (f, f->granters[f->active]);
  bgap_granter_on_assignment (f->granters[f->active], f->now_ms, &current);
  bgap_granter_on_loaded (f->granters[f->active], f->now_ms);
  bgap_assignment_shutdown (&current);
  /* Its calls are still answered, but nobody is told.  */
  for (uint32_t i = 0; i < f->event_count;)
    {
      if (f->events[i].instance == f->active || !f->events[i].is_reply)
        {
          i++;
          continue;
        }
      bgap_assignment_shutdown (&f->events[i].assignment);
      f->events[i] = f->events[--f->event_count];
    }
  f->totals.takeovers++;
}

/* Requests.  */

static uint32_t
draw_key (struct fleet *f)
{
  bool hot = bgap_random_below (&f->random, 100) < f->desc.hot_percent;
  if (!hot || f->desc.hot_keys == 0)
    return (uint32_t)bgap_random_below (&f->random, BGAP_KEY_COUNT);
  return (f->hot_first
          + (uint32_t)bgap_random_below (&f->random, f->desc.hot_keys))
         % BGAP_KEY_COUNT;
}

static void
run_requests (struct fleet *f)
{
  struct bgap_granter *granter = f->granters[f->active];
  if (f->now_ms - f->hot_since_ms >= f->desc.hot_period_ms)
    {
      f->hot_since_ms = f->now_ms;
      f->hot_first = (uint32_t)bgap_random_below (&f->random, BGAP_KEY_COUNT);
    }
  f->requests_due += f->desc.requests_per_s * (double)STEP_MS / 1000;
  for (; f->requests_due >= 1; f->requests_due--)
    {
      uint32_t k = draw_key (f);
      const struct bgap_key_range *range
          = bgap_granter_holder (granter, f->now_ms, k);
      const struct key *key = &f->keys[k];
      bgap_granter_count_request (granter, k);
      if (range == NULL)
        continue;
      int server = server_index (range->server);
      f->server_requests[server]++;
      if (!f->measuring)
        continue;
      f->totals.requests++;
      f->totals.misdirected
          += key->holder != server || key->until_ms <= f->now_ms;
    }
}

/* Measurement.  */

static void
sample_range (struct fleet *f, const struct bgap_key_range *range)
{
  int server = server_index (range->server);
  for (uint32_t k = range->first; k <= range->last; k++)
    {
      struct key *key = &f->keys[k];
      bool held = key->holder == server && key->until_ms > f->now_ms;
      bool lapsed = key->holder == server && !held && !range->moving;
      key->lapsed_ms = lapsed ? key->lapsed_ms + SAMPLE_MS : 0;
      if (key->lapsed_ms > f->totals.longest_lapse_ms)
        f->totals.longest_lapse_ms = key->lapsed_ms;
      f->totals.lapsed_key_ms += lapsed ? SAMPLE_MS : 0;
      f->totals.ungranted_key_ms += !held && !lapsed ? SAMPLE_MS : 0;
      f->totals.all_key_ms += SAMPLE_MS;
    }
}

/* Adds the requests beyond what the slots of the servers have run.  */
static void
sample_balance (struct fleet *f, int64_t elapsed_ms)
{
  size_t kinds = sizeof latencies_ms / sizeof *latencies_ms;
  for (uint32_t i = 0; i < f->desc.servers; i++)
    {
      double capacity = SLOTS * (double)elapsed_ms / latencies_ms[i % kinds];
      double excess = (double)f->server_requests[i] - capacity;
      if (f->measuring)
        f->balanced_requests += f->server_requests[i];
      if (f->measuring && excess > 0)
        f->excess_requests += excess;
    }
  memset (f->server_requests, 0, f->desc.servers * sizeof *f->server_requests);
}

static void
sample (struct fleet *f)
{
  const struct bgap_assignment *current
      = bgap_granter_assignment (f->granters[f->active]);
  f->next_sample_ms = f->now_ms + SAMPLE_MS;
  f->totals.ranges = current->count;
  if (!f->measuring && f->now_ms < SETTLE_MS)
    return;
  f->measuring = true;
  f->totals.duration_ms += SAMPLE_MS;
  if (current->count > f->totals.ranges_max)
    f->totals.ranges_max = current->count;
  for (uint32_t i = 0; i < current->count; i++)
    sample_range (f, &current->ranges[i]);
  if (f->now_ms - f->balance_since_ms < BALANCE_MS)
    return;
  sample_balance (f, f->now_ms - f->balance_since_ms);
  f->balance_since_ms = f->now_ms;
}

void
fleet_run (struct fleet *f, int64_t duration_ms)
{
  for (int64_t until_ms = f->now_ms + duration_ms; f->now_ms < until_ms;
       f->now_ms += STEP_MS)
    {
      lose_granter (f);
      run_requests (f);
      run_events (f);
      if (f->now_ms >= f->next_tick_ms)
        {
          f->next_tick_ms = f->now_ms + TICK_MS;
          run_granter (f);
        }
      if (f->now_ms >= f->next_sample_ms)
        sample (f);
    }
}

struct fleet_totals
fleet_totals (const struct fleet *f)
{
  struct fleet_totals totals = f->totals;
  for (int i = 0; i < INSTANCES; i++)
    {
      const struct bgap_granter_counts counts
          = bgap_granter_counts (f->granters[i]);
      totals.grants += counts.grants;
      totals.moves += counts.moves;
    }
  if (f->balanced_requests > 0)
    totals.overload_percent
        = 100 * f->excess_requests / (double)f->balanced_requests;
  return totals;
}
