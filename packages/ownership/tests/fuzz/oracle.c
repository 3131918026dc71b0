#include "oracle.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "oracle_private.h"

struct bgap_oracle *
bgap_oracle_setup (struct bgap_world *w)
{
  struct bgap_oracle *o = calloc (1, sizeof *o);
  if (o == NULL || w->desc.slices > BGAP_MODEL_SLICES)
    abort ();
  o->w = w;
  o->probe_count = w->desc.slices + HOT_KEYS;
  for (uint32_t i = 0; i < w->desc.services; i++)
    o->probes[i] = bgap_oracle_probes_new (w->desc.slices);
  return o;
}

void
bgap_oracle_shutdown (struct bgap_oracle *o)
{
  if (o == NULL)
    return;
  bgap_model_shutdown (&o->model);
  for (uint32_t i = 0; i < BGAP_WORLD_SERVICES; i++)
    free (o->probes[i]);
  free (o);
}

void
bgap_oracle_on_append (struct bgap_oracle *o, uint64_t offset,
                       const char *bytes, size_t size)
{
  char summary[400];
  bool accepted
      = bgap_model_apply (&o->model, bytes, size, summary, sizeof summary);
  if (accepted)
    o->recent_tokens[o->token_count++ % RECENT_TOKENS] = offset;
  if (strncmp (summary, "snapshot", 8) != 0)
    bgap_world_trace (o->w, "log %llu: %s%s", (unsigned long long)offset,
                      summary, accepted ? "" : " (no effect)");
  bgap_oracle_check_leases (o);
}

void
bgap_oracle_check_replica (struct bgap_oracle *o, uint32_t instance)
{
  struct bgap_world_instance *process = &o->w->instances[instance];
  const struct bgap_replica *replica = bgap_engine_replica (process->engine);
  uint64_t applied = bgap_replica_applied (replica);
  if (bgap_replica_stopped (replica))
    bgap_oracle_fail (o, "replica of %s stopped replaying the log",
                      process->name);
  if (applied == process->applied_checked)
    return;
  if (applied < process->applied_checked || applied > o->model.count)
    bgap_oracle_fail (
        o, "replica of %s went from offset %llu to %llu; the log ends at %llu",
        process->name, (unsigned long long)process->applied_checked,
        (unsigned long long)applied, (unsigned long long)o->model.count);
  if (bgap_model_fingerprint_replica (replica)
      != o->model.fingerprints[applied])
    bgap_oracle_fail (o, "replica of %s differs from the model at offset %llu",
                      process->name, (unsigned long long)applied);
  process->applied_checked = applied;
}

static void
_bgap_oracle_check_log_names_holder (const struct bgap_oracle *o,
                                     uint32_t service,
                                     const struct bgap_oracle_probe *probe,
                                     const struct bgap_oracle_process *holder)
{
  const struct bgap_model_entry *entry = bgap_model_find (
      &o->model, bgap_oracle_service_names[service], probe->hex, probe->slice);
  if (entry == NULL || (entry->token == 0 && entry->revoked == 0))
    bgap_oracle_fail (o, "%s holds %s/%s, which was never granted",
                      holder->name, bgap_oracle_service_names[service],
                      probe->key);
  if (strcmp (entry->holder, holder->name) != 0
      || entry->incarnation != holder->incarnation)
    bgap_oracle_fail (o,
                      "%s (%016llx) holds %s/%s; the log names %s "
                      "(%016llx)",
                      holder->name, (unsigned long long)holder->incarnation,
                      bgap_oracle_service_names[service], probe->key,
                      entry->holder, (unsigned long long)entry->incarnation);
}

static void
_bgap_oracle_check_token (const struct bgap_oracle *o, uint32_t service,
                          struct bgap_oracle_probe *probe,
                          const struct bgap_oracle_process *holder)
{
  uint64_t token = bgap_oracle_token (o, service, probe, holder);
  if (token == 0)
    bgap_oracle_fail (o, "%s holds %s/%s under a token of no recent grant",
                      holder->name, bgap_oracle_service_names[service],
                      probe->key);
  /* A merge gives the key the token of its slice, which may be lower, but
     leaves the key at the same process.  */
  if (token < probe->last_token && holder->identity != probe->last_process)
    bgap_oracle_fail (o, "%s accepts token %llu for %s/%s after %llu",
                      holder->name, (unsigned long long)token,
                      bgap_oracle_service_names[service], probe->key,
                      (unsigned long long)probe->last_token);
  probe->last_token = token;
  probe->last_process = holder->identity;
}

void
bgap_oracle_check_leases (struct bgap_oracle *o)
{
  bgap_oracle_collect_processes (o);
  for (uint32_t service = 0; service < o->w->desc.services; service++)
    for (uint32_t i = 0; i < o->probe_count; i++)
      {
        struct bgap_oracle_probe *probe = &o->probes[service][i];
        const struct bgap_oracle_process *holder
            = bgap_oracle_find_holder (o, service, probe);
        if (holder == NULL)
          continue;
        _bgap_oracle_check_log_names_holder (o, service, probe, holder);
        _bgap_oracle_check_token (o, service, probe, holder);
      }
}

/* Encodes the holder of a probe for the trace: the server, and whether the
   process has the server's address.  */
static uint32_t
_bgap_oracle_trace_id (const struct bgap_oracle_process *holder)
{
  return holder ? 2 * holder->server + holder->current : NO_HOLDER;
}

static void
_bgap_oracle_trace_service (struct bgap_oracle *o, uint32_t service)
{
  struct bgap_oracle_probe *probes = o->probes[service];
  uint32_t slices = o->w->desc.slices;
  for (uint32_t i = 0; i < slices;)
    {
      const struct bgap_oracle_process *holder
          = bgap_oracle_find_holder (o, service, &probes[i]);
      uint32_t trace_id = _bgap_oracle_trace_id (holder);
      uint32_t first = i;
      for (; i < slices && probes[i].traced_holder != trace_id; i++)
        {
          if (_bgap_oracle_trace_id (
                  bgap_oracle_find_holder (o, service, &probes[i]))
              != trace_id)
            break;
          probes[i].traced_holder = trace_id;
        }
      if (i == first)
        i++;
      else if (holder == NULL)
        bgap_world_trace (o->w, "%s %u-%u: nobody",
                          bgap_oracle_service_names[service], first, i - 1);
      else
        bgap_world_trace (o->w, "%s %u-%u: s%u%s",
                          bgap_oracle_service_names[service], first, i - 1,
                          holder->server,
                          holder->current ? "" : " (replaced process)");
    }
}

void
bgap_oracle_trace_holders (struct bgap_oracle *o)
{
  if (o->w->desc.trace == NULL)
    return;
  bgap_oracle_collect_processes (o);
  for (uint32_t service = 0;
       service < o->w->desc.services && service < BGAP_WORLD_SERVICES;
       service++)
    _bgap_oracle_trace_service (o, service);
}

uint32_t
bgap_oracle_count_served (struct bgap_oracle *o)
{
  const struct bgap_world *w = o->w;
  uint32_t served = 0;
  bgap_oracle_collect_processes (o);
  for (uint32_t service = 0; service < w->desc.services; service++)
    for (uint32_t i = 0; i < w->desc.slices; i++)
      {
        struct bgap_oracle_probe *probe = &o->probes[service][i];
        const struct bgap_oracle_process *holder
            = bgap_oracle_find_holder (o, service, probe);
        if (holder == NULL || !holder->current)
          continue;
        uint64_t token = bgap_oracle_token (o, service, probe, holder);
        for (uint32_t e = 0; e < w->desc.instances; e++)
          {
            struct bgap_engine_route route;
            if (w->instances[e].state == BGAP_WORLD_UP
                && bgap_engine_lookup (w->instances[e].engine,
                                       bgap_oracle_service_names[service],
                                       probe->key, strlen (probe->key), &route)
                       == BGAP_OK
                && route.token == token)
              {
                served++;
                break;
              }
          }
      }
  return served;
}

uint64_t
bgap_oracle_witnesses (const struct bgap_oracle *o, uint32_t *members)
{
  *members = 0;
  for (uint32_t i = 0; i < o->model.member_count; i++)
    *members |= 1u << strtoul (o->model.members[i] + 1, NULL, 10);
  return o->model.witnesses;
}
