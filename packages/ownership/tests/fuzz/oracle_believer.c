/* Who believes to hold a key.  */

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "oracle_private.h"

const char *const bgap_oracle_services[BGAP_WORLD_SERVICES] = { "a", "b" };

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
_bgap_oracle_set_probe (struct bgap_oracle_probe *probe, const char *key,
                        uint32_t slice_count)
{
  snprintf (probe->key, sizeof probe->key, "%s", key);
  for (size_t i = 0; i < strlen (key); i++)
    snprintf (probe->hex + 2 * i, 3, "%02x", (unsigned char)key[i]);
  probe->slice = bgap_model_slice_of_hex (probe->hex, slice_count);
  probe->shown = NOBODY;
}

/* One ordinary key per slice, then the hot keys "hot0" and so on.  */
struct bgap_oracle_probe *
bgap_oracle_probes (uint32_t slice_count)
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
      _bgap_oracle_set_probe (&probe, key, slice_count);
      if (probes[probe.slice].key[0] != '\0')
        continue;
      probes[probe.slice] = probe;
      found++;
    }
  for (uint32_t i = 0; i < HOT_KEYS; i++)
    {
      snprintf (key, sizeof key, "hot%u", i);
      _bgap_oracle_set_probe (&probes[slice_count + i], key, slice_count);
    }
  return probes;
}

/* Servers that check grants, and instances that hold a lease for one that
   does not.  */
void
bgap_oracle_collect (struct bgap_oracle *o)
{
  const struct bgap_world *w = o->w;
  uint32_t trusting
      = w->desc.trusting ? w->desc.servers - 1 : BGAP_WORLD_SERVERS;
  o->believer_count = 0;
  for (uint32_t i = 0; i < BGAP_WORLD_PROCESSES; i++)
    {
      const struct bgap_world_process *process = &w->processes[i];
      if (process->holder == NULL || process->server == trusting)
        continue;
      struct bgap_oracle_believer *b = &o->believers[o->believer_count++];
      *b = (struct bgap_oracle_believer){ .holder = process->holder,
                                          .clock = &process->clock,
                                          .identity
                                          = (uint64_t)i << 32 | process->epoch,
                                          .incarnation = process->incarnation,
                                          .server = process->server,
                                          .current = process->current };
      snprintf (b->name, sizeof b->name, "s%u", process->server);
    }
  char name[12];
  snprintf (name, sizeof name, "s%u", trusting);
  for (uint32_t i = 0; w->desc.trusting && i < w->desc.instances; i++)
    {
      const struct bgap_world_instance *process = &w->instances[i];
      const struct bgap_holder *holder
          = process->engine ? bgap_engine_holder (process->engine, name)
                            : NULL;
      if (holder == NULL)
        continue;
      struct bgap_oracle_believer *b = &o->believers[o->believer_count++];
      *b = (struct bgap_oracle_believer){
        .holder = holder,
        .clock = &process->clock,
        .identity = UINT64_MAX - i - ((uint64_t)process->epoch << 16),
        .incarnation = process->incarnation,
        .server = trusting,
        .current = true
      };
      snprintf (b->name, sizeof b->name, "%s@%s", name, process->name);
    }
}

/* The process that holds PROBE now; a second one is a violation.  */
const struct bgap_oracle_believer *
bgap_oracle_believer (const struct bgap_oracle *o, uint32_t service,
                      const struct bgap_oracle_probe *probe)
{
  const struct bgap_oracle_believer *found = NULL;
  for (uint32_t i = 0; i < o->believer_count; i++)
    {
      const struct bgap_oracle_believer *b = &o->believers[i];
      if (!bgap_holder_may_serve (b->holder, bgap_oracle_services[service],
                                  probe->key, strlen (probe->key),
                                  bgap_world_local_ms (o->w, b->clock)))
        continue;
      if (found)
        bgap_oracle_fail (o,
                          "two holders of %s/%s: %s (%016llx), %s (%016llx)",
                          bgap_oracle_services[service], probe->key,
                          found->name, (unsigned long long)found->incarnation,
                          b->name, (unsigned long long)b->incarnation);
      found = b;
    }
  return found;
}

uint64_t
bgap_oracle_token (const struct bgap_oracle *o, uint32_t service,
                   const struct bgap_oracle_probe *probe,
                   const struct bgap_oracle_believer *b)
{
  int64_t now_ms = bgap_world_local_ms (o->w, b->clock);
  /* The token seldom changes, so the last one is tried first.  */
  if (probe->max_token
      && bgap_holder_check (b->holder, bgap_oracle_services[service],
                            probe->key, strlen (probe->key), probe->max_token,
                            now_ms)
             == BGAP_HOLDER_OK)
    return probe->max_token;
  uint32_t count = o->token_count < TOKENS ? o->token_count : TOKENS;
  for (uint32_t i = 0; i < count; i++)
    {
      uint64_t token = o->tokens[(o->token_count - 1 - i) % TOKENS];
      if (bgap_holder_check (b->holder, bgap_oracle_services[service],
                             probe->key, strlen (probe->key), token, now_ms)
          == BGAP_HOLDER_OK)
        return token;
    }
  return 0;
}
