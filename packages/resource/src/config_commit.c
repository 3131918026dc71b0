#include <stdlib.h>
#include <string.h>

#include "config_state.h"

static int
_bgap_config_compare_owners (const void *a, const void *b)
{
  const struct bgap_config_owner *left = a;
  const struct bgap_config_owner *right = b;
  return strcmp (left->name, right->name);
}

/* Entry of the owner. For a new owner, space after the last entry, which is
   neither initialised nor counted yet.  */
static struct bgap_config_owner *
_bgap_config_get_entry (struct bgap_config *config, const char *name)
{
  struct bgap_config_owner *owner = bgap_config_find_owner (config, name);
  if (owner != NULL)
    return owner;
  struct bgap_config_owner *owners
      = realloc (config->owners, (config->owner_count + 1) * sizeof *owners);
  if (owners == NULL)
    return NULL;
  config->owners = owners;
  return &owners[config->owner_count];
}

enum bgap_status
bgap_config_commit (struct bgap_config *config, const char *documents,
                    const struct bgap_config_event *event,
                    struct bgap_config_update *update)
{
  char *copy = strdup (documents);
  struct bgap_config_owner *owner
      = _bgap_config_get_entry (config, event->owner);
  if (copy == NULL || owner == NULL)
    {
      free (copy);
      return BGAP_ERR_NO_MEMORY;
    }
  const bool added = owner == &config->owners[config->owner_count];
  if (added)
    *owner = (struct bgap_config_owner){ 0 };
  struct bgap_config_change change = {
    .version = event->offset,
    .previous = event->based_on,
    .text = event->changed.data ? event->changed.data : "",
  };
  memcpy (change.operator, event->operator, sizeof change.operator);
  if (bgap_config_add_change (owner, &change) != BGAP_OK)
    {
      free (copy);
      return BGAP_ERR_NO_MEMORY;
    }
  memcpy (owner->name, event->owner, sizeof owner->name);
  memcpy (owner->operator, event->operator, sizeof owner->operator);
  owner->version = event->offset;
  free (owner->documents);
  owner->documents = copy;
  owner->encoded_size = update->encoded_size;
  free (owner->slices);
  owner->slices = update->slices;
  owner->slices_count = update->slices_count;
  update->slices = NULL;
  if (added)
    qsort (config->owners, ++config->owner_count, sizeof *config->owners,
           _bgap_config_compare_owners);
  bgap_resource_set_shutdown (&config->set);
  config->set = update->set;
  update->set = (struct bgap_resource_set){ 0 };
  config->version = event->offset;
  return BGAP_OK;
}
