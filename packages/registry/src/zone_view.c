#include "banyangap/registry/zone_view.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/**
 * struct bgap_zone_view - the view
 * @zones: the evacuated ones, by name
 * @ended: those whose evacuation has ended, the one that ended first first
 */
struct bgap_zone_view
{
  struct bgap_zone_view_ops ops;
  struct bgap_zone *zones;
  struct bgap_zone *ended;
};

struct bgap_zone_view *
bgap_zone_view_new (const struct bgap_zone_view_ops *ops)
{
  struct bgap_zone_view *view = calloc (1, sizeof *view);
  if (view != NULL)
    view->ops = *ops;
  return view;
}

static void
_bgap_zones_free (struct bgap_zone **zones)
{
  struct bgap_zone *zone;
  struct bgap_zone *next;
  HASH_ITER (hh, *zones, zone, next)
  {
    HASH_DEL (*zones, zone);
    free (zone);
  }
}

void
bgap_zone_view_free (struct bgap_zone_view *view)
{
  if (view == NULL)
    return;
  _bgap_zones_free (&view->zones);
  _bgap_zones_free (&view->ended);
  free (view);
}

static struct bgap_zone *
_bgap_zones_find (struct bgap_zone *zones, const char *name)
{
  struct bgap_zone *zone;
  HASH_FIND_STR (zones, name, zone);
  return zone;
}

/* Whether a registration can state the name.  */
static bool
_bgap_zones_is_name (const char *name)
{
  for (const char *at = name; *at != '\0'; at++)
    if ((unsigned char)*at < 0x20 || *at == 0x7f || *at == '"' || *at == '\\')
      return false;
  return name[0] != '\0' && strlen (name) < BGAP_REGISTRY_NAME_SIZE;
}

enum bgap_status
bgap_zone_view_put (struct bgap_zone_view *view, int64_t now_ms,
                    const char *name, int64_t absent_ms)
{
  if (!_bgap_zones_is_name (name))
    return BGAP_ERR_INVALID;
  struct bgap_zone *zone = _bgap_zones_find (view->zones, name);
  if (zone != NULL)
    {
      zone->seen = true;
      return BGAP_OK;
    }
  zone = _bgap_zones_find (view->ended, name);
  if (zone != NULL)
    HASH_DEL (view->ended, zone);
  else
    zone = calloc (1, sizeof *zone);
  if (zone == NULL)
    return BGAP_ERR_NO_MEMORY;
  *zone = (struct bgap_zone){ .since_ms = now_ms,
                              .absent_ms = absent_ms,
                              .seen = true };
  snprintf (zone->name, sizeof zone->name, "%s", name);
  HASH_ADD_STR (view->zones, name, zone);
  view->ops.changed (view->ops.context, zone);
  return BGAP_OK;
}

/* Forgets the evacuations that ended first if too many are remembered.  */
static void
_bgap_zones_prune (struct bgap_zone_view *view)
{
  struct bgap_zone *zone;
  struct bgap_zone *next;
  HASH_ITER (hh, view->ended, zone, next)
  {
    if (HASH_COUNT (view->ended) <= BGAP_ZONE_VIEW_ENDED_MAX)
      return;
    HASH_DEL (view->ended, zone);
    free (zone);
  }
}

static void
_bgap_zones_end (struct bgap_zone_view *view, int64_t now_ms,
                 struct bgap_zone *zone)
{
  zone->ended_ms = now_ms;
  HASH_DEL (view->zones, zone);
  HASH_ADD_STR (view->ended, name, zone);
  view->ops.changed (view->ops.context, zone);
  _bgap_zones_prune (view);
}

void
bgap_zone_view_remove (struct bgap_zone_view *view, int64_t now_ms,
                       const char *name)
{
  struct bgap_zone *zone = _bgap_zones_find (view->zones, name);
  if (zone != NULL)
    _bgap_zones_end (view, now_ms, zone);
}

void
bgap_zone_view_begin_load (struct bgap_zone_view *view)
{
  for (struct bgap_zone *zone = view->zones; zone != NULL;
       zone = zone->hh.next)
    zone->seen = false;
}

void
bgap_zone_view_end_load (struct bgap_zone_view *view, int64_t now_ms)
{
  struct bgap_zone *zone;
  struct bgap_zone *next;
  HASH_ITER (hh, view->zones, zone, next)
  {
    if (!zone->seen)
      _bgap_zones_end (view, now_ms, zone);
  }
}

const struct bgap_zone *
bgap_zone_view_find (const struct bgap_zone_view *view, const char *name)
{
  return _bgap_zones_find (view->zones, name);
}

int64_t
bgap_zone_view_ended_ms (const struct bgap_zone_view *view, int64_t now_ms,
                         const char *name)
{
  const struct bgap_zone *zone = _bgap_zones_find (view->ended, name);
  return zone != NULL ? now_ms - zone->ended_ms : -1;
}

uint32_t
bgap_zone_view_count (const struct bgap_zone_view *view)
{
  return HASH_COUNT (view->zones);
}

const struct bgap_zone *
bgap_zone_view_first (const struct bgap_zone_view *view)
{
  return view->zones;
}

int64_t
bgap_zone_grace_ms (const struct bgap_zone *zone, int64_t now_ms,
                    int64_t evacuate_ms)
{
  int64_t half_ms = zone->since_ms + evacuate_ms / 2;
  int64_t last_ms = zone->absent_ms + evacuate_ms - BGAP_ZONE_DELIVERY_MS;
  int64_t end_ms = half_ms < last_ms ? half_ms : last_ms;
  return zone->absent_ms != 0 && end_ms > now_ms ? end_ms - now_ms : 0;
}
