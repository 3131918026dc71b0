#include <stdlib.h>
#include <string.h>

#include "array.h"
#include "config_state.h"
#include "diff.h"
#include "text.h"

/* Upper bound of a snapshot's bytes other than its owners.  */
#define SNAPSHOT_OVERHEAD 256

static void
_bgap_config_refuse (struct bgap_config_event *event, const char *remedy,
                     const char *message, size_t limit)
{
  struct bgap_finding finding = { .file = "documents" };
  bgap_text_printf (finding.message, sizeof finding.message, message, limit);
  bgap_text_copy (finding.remedy, sizeof finding.remedy, remedy);
  bgap_findings_add (&event->findings, &finding);
}

static void
_bgap_config_check_limits (const struct bgap_config *config,
                           struct bgap_config_event *event,
                           size_t encoded_size)
{
  size_t total = SNAPSHOT_OVERHEAD + encoded_size;
  uint32_t owners = 1;
  for (uint32_t i = 0; i < config->owner_count; i++)
    {
      const struct bgap_config_owner *other = &config->owners[i];
      if (strcmp (other->name, event->owner) == 0)
        continue;
      total += other->encoded_size;
      owners++;
    }
  if (owners > config->limits.owners_max)
    _bgap_config_refuse (event, "use another deployment",
                         "there are %zu owners already",
                         config->limits.owners_max);
  if (total > config->limits.snapshot_max)
    _bgap_config_refuse (event, "shorten the documents, for example comments",
                         "the resources of all owners exceed %zu bytes",
                         config->limits.snapshot_max);
}

static enum bgap_status
_bgap_config_build (const struct bgap_config *config, const char *documents,
                    struct bgap_config_event *event,
                    struct bgap_config_update *update)
{
  struct bgap_resource_set *set = &update->set;
  enum bgap_status status
      = bgap_resource_set_setup (set, &config->limits.resources);
  for (uint32_t i = 0; i < config->owner_count && status == BGAP_OK; i++)
    if (strcmp (config->owners[i].name, event->owner) != 0)
      status = bgap_resource_copy (set, &config->set, config->owners[i].name);
  if (status != BGAP_OK)
    return status;
  const struct bgap_config_owner *owner
      = bgap_config_find_owner (config, event->owner);
  status = bgap_config_load (
      set, event->owner, documents, owner ? owner->slices : NULL,
      owner ? owner->slices_count : 0, &event->findings);
  if (status == BGAP_ERR_NO_MEMORY)
    return status;
  if (bgap_resource_validate (set, &event->findings) == BGAP_ERR_NO_MEMORY)
    return BGAP_ERR_NO_MEMORY;
  bgap_resource_free_positions (set);
  if (!bgap_findings_empty (&event->findings))
    return BGAP_OK;
  bgap_resource_resolve (set);
  bgap_array_sort (set);
  return bgap_config_merge_slices (
      set, event->owner, owner ? owner->slices : NULL,
      owner ? owner->slices_count : 0, &update->slices, &update->slices_count);
}

static enum bgap_status
_bgap_config_stale (const struct bgap_config *config,
                    struct bgap_config_event *event)
{
  event->result = BGAP_CONFIG_STALE;
  return bgap_config_changed_since (config, event->owner, event->based_on,
                                    &event->changed);
}

enum bgap_status
bgap_config_evaluate (const struct bgap_config *config, const char *documents,
                      struct bgap_config_event *event,
                      struct bgap_config_update *update)
{
  event->version = bgap_config_version (config, event->owner);
  if (event->based_on != event->version)
    return _bgap_config_stale (config, event);
  event->result = BGAP_CONFIG_REFUSED;
  if (strlen (documents) > config->limits.documents_max)
    {
      _bgap_config_refuse (event, "shorten them, for example comments",
                           "the documents exceed %zu bytes",
                           config->limits.documents_max);
      return BGAP_OK;
    }
  enum bgap_status status
      = _bgap_config_build (config, documents, event, update);
  if (status == BGAP_ERR_FULL)
    _bgap_config_refuse (event, "reuse the names of removed services",
                         "the owner has had more than %zu keyed services",
                         BGAP_CONFIG_SLICES_MAX);
  else if (status != BGAP_OK)
    return status;
  if (bgap_findings_empty (&event->findings))
    {
      update->encoded_size
          = bgap_config_encoded_size (documents, update->slices_count);
      _bgap_config_check_limits (config, event, update->encoded_size);
      bgap_config_check_cells (config, update, event);
    }
  bgap_findings_sort (&event->findings);
  if (!bgap_findings_empty (&event->findings))
    return BGAP_OK;
  event->result = BGAP_CONFIG_ACCEPTED;
  return bgap_diff_owner (&config->set, &update->set, event->owner,
                          &event->changed);
}

void
bgap_config_update_free (struct bgap_config_update *update)
{
  bgap_resource_set_shutdown (&update->set);
  free (update->slices);
  *update = (struct bgap_config_update){ 0 };
}
