#include "banyangap/resource/config.h"

#include <stdlib.h>
#include <string.h>

#include "config_state.h"

/* Default limits.  */
#define OWNERS_MAX 64
#define DOCUMENTS_MAX ((size_t)512 * 1024)
#define SNAPSHOT_MAX ((size_t)4 * 1024 * 1024)

enum bgap_status
bgap_config_setup (struct bgap_config *config,
                   const struct bgap_config_desc *desc)
{
  *config = (struct bgap_config){
    .limits = {
      .resources = desc->resources,
      .owners_max = desc->owners_max ? desc->owners_max : OWNERS_MAX,
      .documents_max = desc->documents_max ? desc->documents_max
                                           : DOCUMENTS_MAX,
      .snapshot_max = desc->snapshot_max ? desc->snapshot_max : SNAPSHOT_MAX,
    },
    .assemblies
    = calloc (BGAP_CONFIG_ASSEMBLIES_MAX, sizeof *config->assemblies),
  };
  if (config->assemblies == NULL)
    return BGAP_ERR_NO_MEMORY;
  enum bgap_status status
      = bgap_resource_set_setup (&config->set, &desc->resources);
  if (status != BGAP_OK)
    bgap_config_shutdown (config);
  return status;
}

void
bgap_config_shutdown (struct bgap_config *config)
{
  bgap_config_owners_free (config->owners, config->owner_count);
  bgap_resource_set_shutdown (&config->set);
  if (config->assemblies != NULL)
    bgap_config_reset_assemblies (config);
  free (config->assemblies);
  *config = (struct bgap_config){ 0 };
}

int64_t
bgap_config_next (const struct bgap_config *config)
{
  return config->search_from > 0 ? config->search_next : config->applied + 1;
}

enum bgap_status
bgap_config_truncated (struct bgap_config *config, int64_t first)
{
  if (first <= bgap_config_next (config))
    return BGAP_ERR_STALE;
  config->search_from = first;
  config->search_next = first;
  bgap_config_reset_assemblies (config);
  return BGAP_OK;
}

enum bgap_status
bgap_config_check_end (const struct bgap_config *config, int64_t end,
                       struct bgap_error *err)
{
  if (end > config->applied)
    return BGAP_OK;
  return bgap_error_set (err, BGAP_ERR_STALE,
                         "the log ends at offset %lld, but offset %lld was "
                         "applied",
                         (long long)end, (long long)config->applied);
}

bool
bgap_config_complete (const struct bgap_config *config)
{
  return config->search_from == 0;
}

const struct bgap_resource_set *
bgap_config_resources (const struct bgap_config *config)
{
  return &config->set;
}

int64_t
bgap_config_applied (const struct bgap_config *config)
{
  return config->applied;
}

int64_t
bgap_config_version (const struct bgap_config *config, const char *owner)
{
  if (owner == NULL)
    return config->version;
  const struct bgap_config_owner *entry
      = bgap_config_find_owner (config, owner);
  return entry ? entry->version : BGAP_CONFIG_NO_VERSION;
}

const char *
bgap_config_documents (const struct bgap_config *config, const char *owner)
{
  const struct bgap_config_owner *entry
      = bgap_config_find_owner (config, owner);
  return entry ? entry->documents : NULL;
}

int64_t
bgap_config_snapshot_as_of (const struct bgap_config *config)
{
  return config->snapshot_as_of;
}

void
bgap_config_event_shutdown (struct bgap_config_event *event)
{
  bgap_findings_shutdown (&event->findings);
  bgap_buffer_shutdown (&event->changed);
}

const char *
bgap_config_result_name (enum bgap_config_result result)
{
  static const char *const names[BGAP_CONFIG_RESULT_COUNT] = {
    [BGAP_CONFIG_IGNORED] = "ignored",
    [BGAP_CONFIG_ACCEPTED] = "accepted",
    [BGAP_CONFIG_REFUSED] = "refused",
    [BGAP_CONFIG_STALE] = "stale",
    [BGAP_CONFIG_PART] = "part",
    [BGAP_CONFIG_INSTALLED] = "installed",
    [BGAP_CONFIG_DUPLICATE] = "duplicate",
    [BGAP_CONFIG_GAP] = "gap",
    [BGAP_CONFIG_BLOCKED] = "blocked",
  };
  return result < BGAP_CONFIG_RESULT_COUNT ? names[result] : "unknown";
}
