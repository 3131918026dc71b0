#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "banyangap/base/hash.h"
#include "fixture.h"
#include "limit_fleet_state.h"

/* Requests.  */

static void
send_request (struct limit_fleet *f)
{
  uint32_t index = (uint32_t)bgap_random_below (&f->random, f->desc.entries);
  uint32_t holder = (uint32_t)bgap_random_below (&f->random, f->desc.servers);
  struct instance *instance = &f->instances[index];
  if (f->now_ms < instance->frozen_until_ms)
    return;
  int64_t *began_ms = &f->began_ms[f->counts.requests % REQUESTS_MAX];
  *began_ms = f->now_ms;
  struct bgap_request_desc desc = {
    .service = instance->service,
    .deadline_ms = f->desc.deadline_ms > 0 ? f->desc.deadline_ms : DEADLINE_MS,
    .idempotent = true,
    .context = began_ms,
  };
  if (f->desc.keyed)
    desc.holder = instance->servers[holder];
  f->counts.requests++;
  bgap_router_request (&instance->router, f->now_ms, &desc);
  limit_fleet_run_actions (f, instance);
}

static void
send_requests (struct limit_fleet *f)
{
  while (f->desc.demand_per_s > 0 && f->next_request_ms <= (double)f->now_ms)
    {
      double uniform
          = (double)(bgap_random_below (&f->random, 1000000) + 1) / 1000000;
      f->next_request_ms += -log (uniform) * 1000 / f->desc.demand_per_s;
      send_request (f);
    }
}

static void
tick (struct limit_fleet *f)
{
  for (uint32_t i = 0; i < f->desc.instances; i++)
    {
      struct instance *instance = &f->instances[i];
      if ((f->now_ms + i) % TICK_MS != 0
          || f->now_ms < instance->frozen_until_ms)
        continue;
      if (f->desc.members)
        limit_fleet_join (f, i);
      if (!instance->cut_from_store && f->now_ms >= instance->read_at_ms)
        {
          instance->read_at_ms = f->now_ms + REGISTRATION_MS;
          bgap_router_set_view_time (&instance->router, f->now_ms);
        }
      bgap_router_tick (&instance->router, f->now_ms,
                        FIXTURE_WALL_MS + f->now_ms + instance->skew_ms);
      limit_fleet_run_actions (f, instance);
    }
}

/* Interface.  */

struct limit_fleet *
limit_fleet_new (const struct limit_fleet_desc *desc)
{
  struct limit_fleet *f = calloc (1, sizeof *f);
  assert_non_null (f);
  assert_true (desc->servers <= SERVERS_MAX);
  f->desc = *desc;
  f->random.state = desc->seed;
  f->now_ms = 1;
  f->instances = calloc (desc->instances, sizeof *f->instances);
  f->slots = calloc (DURATION_MAX_MS, sizeof (struct event *));
  assert_true (f->instances != NULL && f->slots != NULL);
  for (uint32_t i = 0; i < desc->servers; i++)
    {
      f->servers[i].arrivals = calloc (DURATION_MAX_MS, sizeof (uint16_t));
      f->servers[i].checks = calloc (DURATION_MAX_MS, sizeof (uint16_t));
      assert_true (f->servers[i].arrivals != NULL
                   && f->servers[i].checks != NULL);
    }
  for (uint32_t i = 0; i < desc->instances; i++)
    snprintf (f->instances[i].name, sizeof f->instances[i].name, "entry-%u",
              i);
  for (uint32_t i = 0; i < desc->instances; i++)
    {
      struct instance *instance = &f->instances[i];
      instance->departed_ms = calloc (desc->instances, sizeof (int64_t));
      assert_non_null (instance->departed_ms);
      if (desc->skew_ms > 0)
        instance->skew_ms = (int64_t)bgap_random_below (
            &f->random, (uint64_t)desc->skew_ms + 1);
      limit_fleet_forget (f, i);
      instance->join_at_ms = (int64_t)bgap_random_below (&f->random, 300);
      limit_fleet_start_router (f, i);
      if (!desc->members)
        limit_fleet_list (f, i, 0, desc->instances);
    }
  return f;
}

void
limit_fleet_free (struct limit_fleet *f)
{
  for (uint32_t i = 0; i < f->desc.instances; i++)
    {
      bgap_router_shutdown (&f->instances[i].router);
      free (f->instances[i].departed_ms);
    }
  for (int64_t i = 0; i < DURATION_MAX_MS; i++)
    while (f->slots[i] != NULL)
      {
        struct event *event = f->slots[i];
        f->slots[i] = event->next;
        free (event);
      }
  for (uint32_t i = 0; i < f->desc.servers; i++)
    {
      free (f->servers[i].arrivals);
      free (f->servers[i].checks);
    }
  free (f->slots);
  free (f->instances);
  free (f);
}

void
limit_fleet_run (struct limit_fleet *f, int64_t duration_ms)
{
  int64_t end_ms = f->now_ms + duration_ms;
  for (; f->now_ms < end_ms; f->now_ms++)
    {
      while (f->slots[f->now_ms] != NULL)
        {
          struct event *event = f->slots[f->now_ms];
          f->slots[f->now_ms] = event->next;
          limit_fleet_handle (f, event);
        }
      send_requests (f);
      tick (f);
    }
}

void
limit_fleet_set_limit (struct limit_fleet *f, uint32_t server, double per_s)
{
  f->servers[server].limit_per_s = per_s;
}

void
limit_fleet_turn_cold (struct limit_fleet *f, uint32_t server, double per_s,
                       int64_t duration_ms)
{
  f->servers[server].cold_per_s = per_s;
  f->servers[server].cold_until_ms = f->now_ms + duration_ms;
  for (uint32_t i = 0; i < f->desc.instances; i++)
    limit_fleet_tell_cold (
        f, &f->instances[i], server,
        (int64_t)bgap_random_below (&f->random, REGISTRATION_MS));
}

void
limit_fleet_crash (struct limit_fleet *f, uint32_t server, double per_s,
                   int64_t down_ms, int64_t cold_ms)
{
  f->servers[server].starts++;
  f->servers[server].down_until_ms = f->now_ms + down_ms;
  f->servers[server].cold_per_s = per_s;
  f->servers[server].cold_until_ms = f->now_ms + down_ms + cold_ms;
  for (uint32_t i = 0; i < f->desc.instances; i++)
    limit_fleet_tell_cold (
        f, &f->instances[i], server,
        down_ms + (int64_t)bgap_random_below (&f->random, REGISTRATION_MS));
}

void
limit_fleet_evacuate (struct limit_fleet *f, uint32_t zone, bool on)
{
  for (uint32_t i = 0; i < f->desc.instances; i++)
    {
      struct instance *instance = &f->instances[i];
      for (uint32_t j = zone; j < f->desc.servers && !instance->cut_from_store;
           j += ZONES)
        bgap_router_server_evacuate (&instance->router, f->now_ms,
                                     instance->servers[j], on, 0);
      limit_fleet_run_actions (f, instance);
    }
}

void
limit_fleet_set_cold (struct limit_fleet *f, uint32_t server, double per_s,
                      int64_t duration_ms, bool is_known)
{
  f->servers[server].cold_per_s = per_s;
  f->servers[server].cold_until_ms = f->now_ms + duration_ms;
  f->servers[server].starts++;
  for (uint32_t i = 0; i < f->desc.instances; i++)
    limit_fleet_tell_cold (
        f, &f->instances[i], server,
        is_known ? 0
                 : (int64_t)bgap_random_below (&f->random, REGISTRATION_MS));
}

void
limit_fleet_silence (struct limit_fleet *f, uint32_t server, bool silent)
{
  f->servers[server].silent = silent;
}

void
limit_fleet_darken (struct limit_fleet *f, uint32_t server, bool dark)
{
  f->servers[server].dark = dark;
  for (uint32_t i = 0; i < f->desc.instances; i++)
    f->instances[i].idle[server] = 0;
}

void
limit_fleet_set_demand (struct limit_fleet *f, double per_s)
{
  f->desc.demand_per_s = per_s;
  f->next_request_ms = (double)f->now_ms;
}

void
limit_fleet_expire (struct limit_fleet *f, uint32_t server)
{
  for (uint32_t i = 0; i < f->desc.instances; i++)
    limit_fleet_remove_server (f, &f->instances[i], server);
}

void
limit_fleet_register (struct limit_fleet *f, uint32_t server)
{
  for (uint32_t i = 0; i < f->desc.instances; i++)
    {
      limit_fleet_set_server (f, &f->instances[i], server, true);
      limit_fleet_run_actions (f, &f->instances[i]);
    }
}

void
limit_fleet_restart (struct limit_fleet *f, uint32_t index)
{
  bgap_router_shutdown (&f->instances[index].router);
  limit_fleet_start_router (f, index);
  if (f->desc.members)
    limit_fleet_forget (f, index);
  else
    limit_fleet_list (f, index, 0, f->desc.instances);
}

void
limit_fleet_freeze (struct limit_fleet *f, uint32_t index, int64_t duration_ms)
{
  f->instances[index].frozen_until_ms = f->now_ms + duration_ms;
}

void
limit_fleet_cut (struct limit_fleet *f, uint32_t index, bool cut)
{
  f->instances[index].cut = cut;
}

void
limit_fleet_list (struct limit_fleet *f, uint32_t index, uint32_t first,
                  uint32_t count)
{
  struct bgap_router_instance *list = calloc (f->desc.instances, sizeof *list);
  assert_non_null (list);
  for (uint32_t i = 0; i < f->desc.instances; i++)
    {
      uint32_t place = (i + f->desc.instances - first) % f->desc.instances;
      list[i] = (struct bgap_router_instance){ .name = f->instances[i].name,
                                               .departed = place >= count };
    }
  assert_int_equal (bgap_router_set_instances (&f->instances[index].router,
                                               f->now_ms, list,
                                               f->desc.instances),
                    BGAP_OK);
  free (list);
}

uint32_t
limit_fleet_arrivals (const struct limit_fleet *f, uint32_t server,
                      int64_t from_ms, int64_t to_ms)
{
  uint32_t sum = 0;
  for (int64_t ms = from_ms; ms < to_ms; ms++)
    sum += f->servers[server].arrivals[ms];
  return sum;
}

uint32_t
limit_fleet_most (const struct limit_fleet *f, uint32_t server,
                  int64_t from_ms, int64_t to_ms)
{
  return limit_fleet_most_within (f, server, from_ms, to_ms,
                                  LIMIT_FLEET_WINDOW_MS);
}

/* Largest sum of @counts, by millisecond, over a window within [from_ms,
   to_ms].  */
static uint32_t
most_within (const uint16_t *counts, int64_t from_ms, int64_t to_ms,
             int64_t window_ms)
{
  uint32_t sum = 0;
  uint32_t most = 0;
  for (int64_t ms = from_ms; ms < to_ms; ms++)
    {
      sum += counts[ms];
      if (ms >= from_ms + window_ms)
        sum -= counts[ms - window_ms];
      if (sum > most)
        most = sum;
    }
  return most;
}

uint32_t
limit_fleet_most_within (const struct limit_fleet *f, uint32_t server,
                         int64_t from_ms, int64_t to_ms, int64_t window_ms)
{
  return most_within (f->servers[server].arrivals, from_ms, to_ms, window_ms);
}

uint32_t
limit_fleet_most_checks_within (const struct limit_fleet *f, uint32_t server,
                                int64_t from_ms, int64_t to_ms,
                                int64_t window_ms)
{
  return most_within (f->servers[server].checks, from_ms, to_ms, window_ms);
}

void
limit_fleet_cut_store (struct limit_fleet *f, uint32_t index, bool cut)
{
  f->instances[index].cut_from_store = cut;
}

uint32_t
limit_fleet_issuer (const struct limit_fleet *f, uint32_t server)
{
  char name[32];
  uint32_t best = 0;
  uint64_t most = 0;
  int size = snprintf (name, sizeof name, "reads/s%u", server);
  uint64_t hash = bgap_hash64 (name, (size_t)size);
  for (uint32_t i = 0; i < f->desc.instances; i++)
    {
      uint64_t weight = bgap_rendezvous_weight (hash, f->instances[i].name);
      best = weight > most ? i : best;
      most = weight > most ? weight : most;
    }
  return best;
}

int64_t
limit_fleet_now_ms (const struct limit_fleet *f)
{
  return f->now_ms;
}

struct limit_fleet_counts
limit_fleet_counts (const struct limit_fleet *f)
{
  return f->counts;
}
