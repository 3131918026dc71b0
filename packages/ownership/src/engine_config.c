#include "engine_private.h"

#include <stdlib.h>
#include <string.h>

static bool
_bgap_names_valid (const char *name, const char *zone)
{
  return name && zone && bgap_name_valid (name) && bgap_name_valid (zone)
         && !strchr (name, '@');
}

static void
_bgap_copy_name (char *to, const char *from)
{
  memcpy (to, from, strlen (from) + 1);
}

/* Returns the state of a member, taken over if it was a member before.  */
static struct bgap_member_state
_bgap_engine_update_member (struct bgap_engine *engine,
                            const struct bgap_engine_member *listed)
{
  struct bgap_member_state member = { .last_heartbeat_ms = engine->now_ms };
  const struct bgap_member_state *known
      = bgap_engine_find_member (engine, listed->name);
  if (known)
    member = *known;
  _bgap_copy_name (member.name, listed->name);
  _bgap_copy_name (member.zone, listed->zone);
  if (member.listed_leaving && !listed->leaving)
    member.leaving = false;
  member.listed_leaving = listed->leaving;
  member.leaving = member.leaving || listed->leaving;
  return member;
}

enum bgap_status
bgap_engine_set_members (struct bgap_engine *engine,
                         const struct bgap_engine_member *members,
                         uint32_t count, int64_t now_ms)
{
  bgap_engine_update_time (engine, now_ms);
  if (count > BGAP_ENGINE_MEMBERS_MAX)
    return BGAP_ERR_FULL;
  for (uint32_t i = 0; i < count; i++)
    {
      if (!_bgap_names_valid (members[i].name, members[i].zone))
        return BGAP_ERR_INVALID;
      for (uint32_t j = 0; j < i; j++)
        if (strcmp (members[i].name, members[j].name) == 0)
          return BGAP_ERR_INVALID;
    }
  struct bgap_member_state next[BGAP_ENGINE_MEMBERS_MAX];
  engine->self_member = -1;
  for (uint32_t i = 0; i < count; i++)
    {
      next[i] = _bgap_engine_update_member (engine, &members[i]);
      if (strcmp (next[i].name, engine->self) == 0)
        engine->self_member = (int32_t)i;
    }
  memcpy (engine->members, next, count * sizeof next[0]);
  engine->member_count = count;
  engine->proposer = -1;
  engine->successor = -1;
  bgap_engine_update_roles (engine);
  return BGAP_OK;
}

enum bgap_status
bgap_engine_set_servers (struct bgap_engine *engine,
                         const struct bgap_engine_server *servers,
                         uint32_t count, int64_t now_ms)
{
  bgap_engine_update_time (engine, now_ms);
  if (count > BGAP_ENGINE_SERVERS_MAX)
    return BGAP_ERR_FULL;
  for (uint32_t i = 0; i < count; i++)
    {
      if (!_bgap_names_valid (servers[i].name, servers[i].zone)
          || !servers[i].service || !bgap_name_valid (servers[i].service))
        return BGAP_ERR_INVALID;
      for (uint32_t j = 0; j < i; j++)
        if (strcmp (servers[i].name, servers[j].name) == 0)
          return BGAP_ERR_INVALID;
    }
  /* The names, three per server, are stored after the array.  */
  char (*names)[BGAP_NAME_SIZE];
  struct bgap_engine_server *copy
      = calloc ((size_t)count + 1, sizeof *copy + 3 * sizeof *names);
  if (copy == NULL)
    return BGAP_ERR_NO_MEMORY;
  names = (char (*)[BGAP_NAME_SIZE]) (copy + count + 1);
  for (uint32_t i = 0; i < count; i++)
    {
      copy[i] = servers[i];
      _bgap_copy_name (names[3 * (size_t)i], servers[i].name);
      _bgap_copy_name (names[3 * (size_t)i + 1], servers[i].zone);
      _bgap_copy_name (names[3 * (size_t)i + 2], servers[i].service);
      copy[i].name = names[3 * (size_t)i];
      copy[i].zone = names[3 * (size_t)i + 1];
      copy[i].service = names[3 * (size_t)i + 2];
    }
  free (engine->servers);
  engine->servers = copy;
  engine->server_count = count;
  bgap_engine_rebuild_targets (engine);
  bgap_engine_update_roles (engine);
  return BGAP_OK;
}

static enum bgap_status
_bgap_engine_services_valid (const struct bgap_engine_service *services,
                             uint32_t count)
{
  if (count > BGAP_ENGINE_SERVICES_MAX)
    return BGAP_ERR_FULL;
  for (uint32_t i = 0; i < count; i++)
    {
      if (!services[i].name || !bgap_name_valid (services[i].name)
          || strchr (services[i].name, '/')
          || !bgap_slice_count_valid (services[i].slices))
        return BGAP_ERR_INVALID;
      for (uint32_t j = 0; j < i; j++)
        if (strcmp (services[i].name, services[j].name) == 0)
          return BGAP_ERR_INVALID;
    }
  return BGAP_OK;
}

/* Moves the state of a service that was configured before to @next.  */
static void
_bgap_engine_move_service (struct bgap_engine *engine,
                           struct bgap_service *next)
{
  for (uint32_t i = 0; i < engine->service_count; i++)
    {
      struct bgap_service *known = &engine->services[i];
      if (strcmp (known->name, next->name) != 0)
        continue;
      struct bgap_service configured = *next;
      free (known->home);
      *next = *known;
      next->home = configured.home;
      next->slices = configured.slices;
      next->config = configured.config;
      next->released_elsewhere = configured.released_elsewhere;
      next->context = configured.context;
      *known = (struct bgap_service){ 0 };
      return;
    }
}

enum bgap_status
bgap_engine_set_services (struct bgap_engine *engine,
                          const struct bgap_engine_service *services,
                          uint32_t count, int64_t now_ms)
{
  bgap_engine_update_time (engine, now_ms);
  enum bgap_status status = _bgap_engine_services_valid (services, count);
  if (status != BGAP_OK)
    return status;
  struct bgap_service *next = calloc ((size_t)count + 1, sizeof *next);
  if (next == NULL)
    return BGAP_ERR_NO_MEMORY;
  for (uint32_t i = 0; i < count && status == BGAP_OK; i++)
    {
      _bgap_copy_name (next[i].name, services[i].name);
      next[i].slices = services[i].slices;
      next[i].configured_ms = engine->now_ms;
      next[i].config = services[i].config;
      next[i].released_elsewhere = services[i].released_elsewhere;
      next[i].context = services[i].context;
      if (services[i].home == NULL)
        continue;
      next[i].home = malloc (services[i].slices);
      if (next[i].home)
        memcpy (next[i].home, services[i].home, services[i].slices);
      else
        status = BGAP_ERR_NO_MEMORY;
    }
  if (status != BGAP_OK)
    {
      for (uint32_t i = 0; i < count; i++)
        free (next[i].home);
      free (next);
      return status;
    }
  for (uint32_t i = 0; i < count; i++)
    _bgap_engine_move_service (engine, &next[i]);
  for (uint32_t i = 0; i < engine->service_count; i++)
    bgap_service_shutdown (&engine->services[i]);
  memcpy (engine->services, next, count * sizeof *next);
  engine->service_count = count;
  free (next);
  return BGAP_OK;
}
