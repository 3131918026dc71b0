#include <stdlib.h>
#include <string.h>

#include "array.h"
#include "banyangap/base/json.h"
#include "config_state.h"
#include "text.h"

/* Larger offsets are invalid: later arithmetic on them would overflow.  */
#define OFFSET_MAX (INT64_MAX / 2)

/**
 * struct bgap_config_loaded - state loaded from a snapshot
 */
struct bgap_config_loaded
{
  struct bgap_resource_set set;
  struct bgap_config_owner *owners;
  uint32_t owner_count;
  int64_t as_of;
  int64_t version;
  struct bgap_findings findings;
};

static enum bgap_status
_bgap_config_load_slices (const json_t *object,
                          struct bgap_config_owner *owner)
{
  const size_t count = json_object_size (object);
  if (!json_is_object (object) || count > BGAP_CONFIG_SLICES_MAX)
    return BGAP_ERR_PROTOCOL;
  owner->slices = calloc (count + 1, sizeof *owner->slices);
  if (owner->slices == NULL)
    return BGAP_ERR_NO_MEMORY;
  const char *name;
  const json_t *value;
  json_object_foreach ((json_t *)object, name, value)
  {
    struct bgap_config_slices *item = &owner->slices[owner->slices_count++];
    const json_int_t slices = json_integer_value (value);
    if (!bgap_text_is_name (name) || slices < 1
        || slices > BGAP_RESOURCE_SLICES_MAX || (slices & (slices - 1)) != 0)
      return BGAP_ERR_PROTOCOL;
    bgap_text_copy (item->service, sizeof item->service, name);
    item->slices = (uint32_t)slices;
  }
  return BGAP_OK;
}

/* Sorts the slices by service and checks that they include every keyed
   service.  */
static enum bgap_status
_bgap_config_sort_slices (const struct bgap_config_loaded *loaded,
                          struct bgap_config_owner *owner)
{
  struct bgap_config_slices *slices;
  uint32_t count;
  enum bgap_status status
      = bgap_config_merge_slices (&loaded->set, owner->name, owner->slices,
                                  owner->slices_count, &slices, &count);
  if (status != BGAP_OK)
    return status == BGAP_ERR_FULL ? BGAP_ERR_PROTOCOL : status;
  free (owner->slices);
  owner->slices = slices;
  const bool same = count == owner->slices_count;
  owner->slices_count = count;
  return same ? BGAP_OK : BGAP_ERR_PROTOCOL;
}

static enum bgap_status
_bgap_config_load_owner (const json_t *object,
                         struct bgap_config_loaded *loaded,
                         struct bgap_config_owner *owner)
{
  const char *name;
  const char *operator;
  const char *documents;
  if (bgap_json_string (object, "name", &name, NULL) != BGAP_OK
      || bgap_json_string (object, "operator", &operator, NULL) != BGAP_OK
      || bgap_json_string (object, "documents", &documents, NULL) != BGAP_OK
      || bgap_json_int (object, "version", &owner->version, NULL) != BGAP_OK
      || !bgap_text_is_name (name) || owner->version < 1
      || owner->version > loaded->as_of)
    return BGAP_ERR_PROTOCOL;
  /* Names in ascending order are also distinct.  */
  if (owner > loaded->owners && strcmp (owner[-1].name, name) >= 0)
    return BGAP_ERR_PROTOCOL;
  bgap_text_copy (owner->name, sizeof owner->name, name);
  bgap_text_copy (owner->operator, sizeof owner->operator, operator);
  owner->documents = strdup (documents);
  if (owner->documents == NULL)
    return BGAP_ERR_NO_MEMORY;
  enum bgap_status status
      = _bgap_config_load_slices (json_object_get (object, "slices"), owner);
  if (status != BGAP_OK)
    return status;
  if (owner->version > loaded->version)
    loaded->version = owner->version;
  owner->encoded_size
      = bgap_config_encoded_size (documents, owner->slices_count);
  status = bgap_config_load (&loaded->set, name, documents, owner->slices,
                             owner->slices_count, &loaded->findings);
  return status == BGAP_ERR_INVALID ? BGAP_ERR_PROTOCOL : status;
}

static enum bgap_status
_bgap_config_load_owners (const json_t *array,
                          struct bgap_config_loaded *loaded)
{
  const size_t count = json_array_size (array);
  loaded->owners = calloc (count + 1, sizeof *loaded->owners);
  if (loaded->owners == NULL)
    return BGAP_ERR_NO_MEMORY;
  enum bgap_status status = BGAP_OK;
  for (size_t i = 0; i < count && status == BGAP_OK; i++)
    status = _bgap_config_load_owner (json_array_get (array, i), loaded,
                                      &loaded->owners[loaded->owner_count++]);
  if (status != BGAP_OK)
    return status;
  status = bgap_resource_validate (&loaded->set, &loaded->findings);
  if (status != BGAP_OK)
    return status == BGAP_ERR_INVALID ? BGAP_ERR_PROTOCOL : status;
  bgap_resource_free_positions (&loaded->set);
  bgap_resource_resolve (&loaded->set);
  bgap_array_sort (&loaded->set);
  for (uint32_t i = 0; i < loaded->owner_count && status == BGAP_OK; i++)
    status = _bgap_config_sort_slices (loaded, &loaded->owners[i]);
  return status;
}

/* Whether the snapshot has every owner of the state, none in an older
   version.  */
static bool
_bgap_config_is_newer (const struct bgap_config *config,
                       const struct bgap_config_loaded *loaded)
{
  for (uint32_t i = 0; i < config->owner_count; i++)
    {
      bool found = false;
      for (uint32_t j = 0; j < loaded->owner_count; j++)
        found
            = found
              || (strcmp (config->owners[i].name, loaded->owners[j].name) == 0
                  && config->owners[i].version <= loaded->owners[j].version);
      if (!found)
        return false;
    }
  return true;
}

static enum bgap_status
_bgap_config_load_state (const struct bgap_config *config,
                         const json_t *object,
                         struct bgap_config_loaded *loaded,
                         struct bgap_error *err)
{
  int64_t schema;
  if (bgap_json_int (object, "schema", &schema, err) != BGAP_OK
      || bgap_json_int (object, "as_of", &loaded->as_of, err) != BGAP_OK)
    return BGAP_ERR_PROTOCOL;
  const json_t *owners = json_object_get (object, "owners");
  if (schema != BGAP_CONFIG_SCHEMA || !json_is_array (owners)
      || json_array_size (owners) > config->limits.owners_max
      || loaded->as_of > OFFSET_MAX)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "the snapshot is malformed, has another schema "
                           "or exceeds a limit");
  if (loaded->as_of <= config->applied)
    return bgap_error_set (err, BGAP_ERR_STALE,
                           "the snapshot is as of offset %lld, but offset "
                           "%lld was applied",
                           (long long)loaded->as_of,
                           (long long)config->applied);
  enum bgap_status status = _bgap_config_load_owners (owners, loaded);
  if (status != BGAP_OK)
    return bgap_error_set (err, status,
                           "cannot load the owners of the snapshot");
  if (!_bgap_config_is_newer (config, loaded))
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "the snapshot lacks an owner or has an older "
                           "version of it");
  return BGAP_OK;
}

static void
_bgap_config_adopt (struct bgap_config *config,
                    struct bgap_config_loaded *loaded)
{
  bgap_config_owners_free (config->owners, config->owner_count);
  bgap_resource_set_shutdown (&config->set);
  config->owners = loaded->owners;
  config->owner_count = loaded->owner_count;
  config->set = loaded->set;
  config->applied = loaded->as_of;
  config->version = loaded->version;
  loaded->owners = NULL;
  loaded->owner_count = 0;
  loaded->set = (struct bgap_resource_set){ 0 };
}

enum bgap_status
bgap_config_install (struct bgap_config *config, const char *data, size_t size,
                     struct bgap_error *err)
{
  json_error_t reason;
  json_t *object = json_loadb (data, size, JSON_REJECT_DUPLICATES, &reason);
  if (object == NULL && json_error_code (&reason) == json_error_out_of_memory)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  struct bgap_config_loaded loaded = { 0 };
  enum bgap_status status
      = bgap_resource_set_setup (&loaded.set, &config->limits.resources);
  if (status == BGAP_OK)
    status = _bgap_config_load_state (config, object, &loaded, err);
  json_decref (object);
  if (status == BGAP_OK)
    {
      _bgap_config_adopt (config, &loaded);
      /* The state now includes all records before the start of the truncated
         log.  */
      if (config->applied >= config->search_from - 1)
        config->search_from = 0;
    }
  bgap_resource_set_shutdown (&loaded.set);
  bgap_config_owners_free (loaded.owners, loaded.owner_count);
  bgap_findings_shutdown (&loaded.findings);
  return status;
}
