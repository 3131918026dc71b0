#include "engine_private.h"

#include <stdlib.h>
#include <string.h>

/* Interval between load reports.  */
#define LOAD_REPORT_MS 1000

/* Rates are exponential moving averages: weight of the previous rate.  */
#define RATE_DECAY 0.5

void
bgap_service_shutdown (struct bgap_service *service)
{
  free (service->home);
  free (service->counts);
  free (service->rates);
  *service = (struct bgap_service){ 0 };
}

double
bgap_service_rate (const struct bgap_service *service, uint32_t entry)
{
  return entry < service->rate_count ? service->rates[entry] : 0;
}

/* Entries are numbered slices first, then keys. A change of the number of keys
   shifts their numbers, so counting starts again; rates of slices are kept. */
static bool
_bgap_service_resize (struct bgap_service *service,
                      const struct bgap_scope *scope)
{
  uint32_t count = scope->slice_count + scope->key_count;
  if (service->rate_count == count)
    return true;
  uint32_t *counts = calloc ((size_t)count + 1, sizeof *counts);
  double *rates = calloc ((size_t)count + 1, sizeof *rates);
  if (!counts || !rates)
    {
      free (counts);
      free (rates);
      return false;
    }
  uint32_t kept = service->rate_count < scope->slice_count
                      ? service->rate_count
                      : scope->slice_count;
  for (uint32_t i = 0; i < kept; i++)
    rates[i] = service->rates[i];
  free (service->counts);
  free (service->rates);
  service->counts = counts;
  service->rates = rates;
  service->rate_count = count;
  return true;
}

static struct bgap_service *
_bgap_engine_find_service (struct bgap_engine *engine, const char *name)
{
  for (uint32_t i = 0; i < engine->service_count; i++)
    if (strcmp (engine->services[i].name, name) == 0)
      return &engine->services[i];
  return NULL;
}

void
bgap_engine_count_request (struct bgap_engine *engine, const char *name,
                           const struct bgap_engine_route *route)
{
  struct bgap_service *service = _bgap_engine_find_service (engine, name);
  if (service && route->entry < service->rate_count)
    service->counts[route->entry]++;
}

static void
_bgap_engine_add_load (struct bgap_engine *engine,
                       const struct bgap_message *message)
{
  struct bgap_service *service
      = _bgap_engine_find_service (engine, message->service);
  const struct bgap_scope *scope
      = bgap_replica_scope (engine->replica, message->service);
  if (!service || !scope || !_bgap_service_resize (service, scope))
    return;
  for (uint32_t i = 0; i < message->load_count; i++)
    {
      const struct bgap_message_load *load = &message->loads[i];
      uint32_t entry = load->slice;
      if (load->key.size > 0)
        {
          const struct bgap_key_entry *key
              = bgap_scope_find_key (scope, load->key.data, load->key.size);
          if (key == NULL)
            continue;
          entry = scope->slice_count + (uint32_t)(key - scope->keys);
        }
      if (entry < service->rate_count)
        service->rates[entry]
            += (1 - RATE_DECAY) * load->requests * 1000.0 / LOAD_REPORT_MS;
    }
}

void
bgap_engine_on_load (struct bgap_engine *engine,
                     const struct bgap_message *message)
{
  _bgap_engine_add_load (engine, message);
}

/* Sends the number of requests since the last report to the proposer and its
   successor, which plan the placement.  */
static void
_bgap_engine_report_load (struct bgap_engine *engine,
                          struct bgap_service *service,
                          const struct bgap_scope *scope)
{
  struct bgap_message_load *loads
      = calloc ((size_t)service->rate_count + 1, sizeof *loads);
  if (loads == NULL)
    return;
  struct bgap_message message = { .kind = BGAP_MESSAGE_LOAD, .loads = loads };
  memcpy (message.service, service->name, sizeof message.service);
  for (uint32_t i = 0; i < service->rate_count; i++)
    {
      if (service->counts[i] == 0)
        continue;
      struct bgap_message_load *load = &loads[message.load_count++];
      load->requests = service->counts[i];
      load->slice = i;
      if (i >= scope->slice_count)
        {
          const struct bgap_key_entry *key
              = &scope->keys[i - scope->slice_count];
          load->slice = key->slice;
          load->key = (struct bgap_bytes){ key->bytes, key->size };
        }
      service->counts[i] = 0;
    }
  const int32_t to[] = { engine->proposer, engine->successor };
  for (uint32_t i = 0; message.load_count > 0 && i < 2; i++)
    if (to[i] == engine->self_member)
      _bgap_engine_add_load (engine, &message);
    else if (to[i] >= 0)
      bgap_engine_send (engine, engine->members[to[i]].name, &message);
  free (loads);
}

void
bgap_engine_tick_load (struct bgap_engine *engine)
{
  if (engine->now_ms < engine->last_load_ms + LOAD_REPORT_MS)
    return;
  engine->last_load_ms = engine->now_ms;
  for (uint32_t i = 0; i < engine->service_count; i++)
    {
      struct bgap_service *service = &engine->services[i];
      const struct bgap_scope *scope
          = bgap_replica_scope (engine->replica, service->name);
      if (scope == NULL || !_bgap_service_resize (service, scope))
        continue;
      for (uint32_t j = 0; j < service->rate_count; j++)
        service->rates[j] *= RATE_DECAY;
      _bgap_engine_report_load (engine, service, scope);
    }
}
