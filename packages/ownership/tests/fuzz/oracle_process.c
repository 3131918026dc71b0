/* Finds the processes that hold keys, and their tokens.  */

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "oracle_private.h"

const char *const bgap_oracle_service_names[BGAP_WORLD_SERVICES]
    = { "a", "b" };

void
bgap_oracle_fail (const struct bgap_oracle *o, const char *format, ...)
{
  va_list args;
  fprintf (stderr, "violation: at %lld us: ", (long long)o->w->now_us);
  va_start (args, format);
  vfprintf (stderr, format, args);
  va_end (args);
  fputc ('\n', stderr);
  abort ();
}

static void
_bgap_oracle_init_probe (struct bgap_oracle_probe *probe, const char *key,
                         uint32_t slice_count)
{
  snprintf (probe->key, sizeof probe->key, "%s", key);
  for (size_t i = 0; i < strlen (key); i++)
    snprintf (probe->hex + 2 * i, 3, "%02x", (unsigned char)key[i]);
  probe->slice = bgap_model_slice_of_hex (probe->hex, slice_count);
  probe->traced_holder = NO_HOLDER;
}

struct bgap_oracle_probe *
bgap_oracle_probes_new (uint32_t slice_count)
{
  struct bgap_oracle_probe *probes
      = calloc (slice_count + HOT_KEYS, sizeof *probes);
  if (probes == NULL)
    abort ();
  uint32_t found = 0;
  char key[16];
  for (uint32_t i = 0; found < slice_count; i++)
    {
      struct bgap_oracle_probe probe = { .slice = 0 };
      snprintf (key, sizeof key, "k%u", i);
      _bgap_oracle_init_probe (&probe, key, slice_count);
      if (probes[probe.slice].key[0] != '\0')
        continue;
      probes[probe.slice] = probe;
      found++;
    }
  for (uint32_t i = 0; i < HOT_KEYS; i++)
    {
      snprintf (key, sizeof key, "hot%u", i);
      _bgap_oracle_init_probe (&probes[slice_count + i], key, slice_count);
    }
  return probes;
}

/* Servers that check grants, and instances that hold leases on behalf of the
   unfenced server.  */
void
bgap_oracle_collect_processes (struct bgap_oracle *o)
{
  const struct bgap_world *w = o->w;
  uint32_t unfenced
      = w->desc.unfenced ? w->desc.servers - 1 : BGAP_WORLD_SERVERS;
  o->process_count = 0;
  for (uint32_t i = 0; i < BGAP_WORLD_PROCESSES; i++)
    {
      const struct bgap_world_process *process = &w->processes[i];
      if (process->holder == NULL || process->server == unfenced)
        continue;
      struct bgap_oracle_process *p = &o->processes[o->process_count++];
      *p = (struct bgap_oracle_process){ .holder = process->holder,
                                         .clock = &process->clock,
                                         .identity
                                         = (uint64_t)i << 32 | process->epoch,
                                         .incarnation = process->incarnation,
                                         .server = process->server,
                                         .current = process->current };
      snprintf (p->name, sizeof p->name, "s%u", process->server);
    }
  char name[12];
  snprintf (name, sizeof name, "s%u", unfenced);
  for (uint32_t i = 0; w->desc.unfenced && i < w->desc.instances; i++)
    {
      const struct bgap_world_instance *process = &w->instances[i];
      const struct bgap_holder *holder
          = process->engine ? bgap_engine_holder (process->engine, name)
                            : NULL;
      if (holder == NULL)
        continue;
      struct bgap_oracle_process *p = &o->processes[o->process_count++];
      *p = (struct bgap_oracle_process){
        .holder = holder,
        .clock = &process->clock,
        .identity = UINT64_MAX - i - ((uint64_t)process->epoch << 16),
        .incarnation = process->incarnation,
        .server = unfenced,
        .current = true
      };
      snprintf (p->name, sizeof p->name, "%s@%s", name, process->name);
    }
}

const struct bgap_oracle_process *
bgap_oracle_find_holder (const struct bgap_oracle *o, uint32_t service,
                         const struct bgap_oracle_probe *probe)
{
  const struct bgap_oracle_process *found = NULL;
  for (uint32_t i = 0; i < o->process_count; i++)
    {
      const struct bgap_oracle_process *p = &o->processes[i];
      if (!bgap_holder_may_serve (
              p->holder, bgap_oracle_service_names[service], probe->key,
              strlen (probe->key), bgap_world_local_ms (o->w, p->clock)))
        continue;
      if (found)
        bgap_oracle_fail (o,
                          "two holders of %s/%s: %s (%016llx), %s (%016llx)",
                          bgap_oracle_service_names[service], probe->key,
                          found->name, (unsigned long long)found->incarnation,
                          p->name, (unsigned long long)p->incarnation);
      found = p;
    }
  return found;
}

uint64_t
bgap_oracle_token (const struct bgap_oracle *o, uint32_t service,
                   const struct bgap_oracle_probe *probe,
                   const struct bgap_oracle_process *p)
{
  int64_t now_ms = bgap_world_local_ms (o->w, p->clock);
  /* The token rarely changes, so the last one is tried first.  */
  if (probe->last_token
      && bgap_holder_check (p->holder, bgap_oracle_service_names[service],
                            probe->key, strlen (probe->key), probe->last_token,
                            now_ms)
             == BGAP_HOLDER_OK)
    return probe->last_token;
  uint32_t count
      = o->token_count < RECENT_TOKENS ? o->token_count : RECENT_TOKENS;
  for (uint32_t i = 0; i < count; i++)
    {
      uint64_t token
          = o->recent_tokens[(o->token_count - 1 - i) % RECENT_TOKENS];
      if (bgap_holder_check (p->holder, bgap_oracle_service_names[service],
                             probe->key, strlen (probe->key), token, now_ms)
          == BGAP_HOLDER_OK)
        return token;
    }
  return 0;
}
