#include "host_answer.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/json.h"

static enum bgap_status
_bgap_host_read_choice (const json_t *item, const char *name, const char *zero,
                        const char *one, bool *is_one, struct bgap_error *err)
{
  const char *text;
  enum bgap_status status = bgap_json_string (item, name, &text, err);
  if (status != BGAP_OK)
    return status;
  if (strcmp (text, zero) != 0 && strcmp (text, one) != 0)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "\"%s\" is neither \"%s\" nor \"%s\"", name, zero,
                           one);
  *is_one = strcmp (text, one) == 0;
  return BGAP_OK;
}

static enum bgap_status
_bgap_host_read (const json_t *item, struct bgap_host *host,
                 struct bgap_error *err)
{
  bool is_backend = false;
  bool is_leaving = false;
  enum bgap_status status = bgap_json_string (item, "name", &host->name, err);
  if (status == BGAP_OK)
    status = bgap_json_string (item, "zone", &host->zone, err);
  if (status == BGAP_OK)
    status = bgap_json_string (item, "address", &host->address, err);
  if (status == BGAP_OK)
    status = _bgap_host_read_choice (item, "role", "entry", "backend",
                                     &is_backend, err);
  if (status == BGAP_OK)
    status = _bgap_host_read_choice (item, "state", "live", "leaving",
                                     &is_leaving, err);
  if (status != BGAP_OK)
    return status;
  if (host->name[0] == '\0')
    return bgap_error_set (err, BGAP_ERR_PROTOCOL, "a host has no name");
  host->role = is_backend ? BGAP_HOST_BACKEND : BGAP_HOST_ENTRY;
  host->state = is_leaving ? BGAP_HOST_LEAVING : BGAP_HOST_LIVE;
  host->peer_address = "";
  const json_t *peer = json_object_get (item, "peer_address");
  if (json_is_string (peer))
    host->peer_address = json_string_value (peer);
  else if (!is_backend || (peer != NULL && !json_is_null (peer)))
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "host \"%.64s\" has no valid peer_address",
                           host->name);
  return BGAP_OK;
}

/* Two entries of one name would count one host twice among the live ones.  */
static enum bgap_status
_bgap_host_check_distinct (const struct bgap_host_answer *answer,
                           struct bgap_error *err)
{
  json_t *names = json_object ();
  if (names == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  enum bgap_status status = BGAP_OK;
  for (size_t i = 0; i < answer->count && status == BGAP_OK; i++)
    {
      const char *name = answer->hosts[i].name;
      if (json_object_get (names, name) != NULL)
        status = bgap_error_set (err, BGAP_ERR_PROTOCOL,
                                 "host \"%.64s\" is listed twice", name);
      else if (json_object_set_new (names, name, json_true ()) != 0)
        status = bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
    }
  json_decref (names);
  return status;
}

enum bgap_status
bgap_host_answer_parse (const char *body, size_t size, size_t hosts_max,
                        struct bgap_host_answer *answer,
                        struct bgap_error *err)
{
  *answer = (struct bgap_host_answer){ 0 };
  enum bgap_status status = bgap_json_parse (body, size, &answer->json, err);
  if (status != BGAP_OK)
    return status;
  const json_t *list = json_object_get (answer->json, "hosts");
  size_t count = json_array_size (list);
  if (!json_is_array (list) || count > hosts_max)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "\"hosts\" is no array of at most %zu items",
                           hosts_max);
  if (count == 0)
    return BGAP_OK;
  answer->hosts = calloc (count, sizeof *answer->hosts);
  if (answer->hosts == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  answer->count = count;
  for (size_t i = 0; i < count; i++)
    {
      status
          = _bgap_host_read (json_array_get (list, i), &answer->hosts[i], err);
      if (status != BGAP_OK)
        return status;
    }
  return _bgap_host_check_distinct (answer, err);
}

void
bgap_host_answer_shutdown (struct bgap_host_answer *answer)
{
  free (answer->hosts);
  json_decref (answer->json);
  *answer = (struct bgap_host_answer){ 0 };
}
