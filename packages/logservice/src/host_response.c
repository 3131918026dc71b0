#include "host_response.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/json.h"

static enum bgap_status
_bgap_host_parse_binary_member (const json_t *item, const char *name,
                                const char *first_choice,
                                const char *second_choice, bool *is_second,
                                struct bgap_error *err)
{
  const char *text;
  enum bgap_status status = bgap_json_string (item, name, &text, err);
  if (status != BGAP_OK)
    return status;
  if (strcmp (text, first_choice) != 0 && strcmp (text, second_choice) != 0)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "\"%s\" is neither \"%s\" nor \"%s\"", name,
                           first_choice, second_choice);
  *is_second = strcmp (text, second_choice) == 0;
  return BGAP_OK;
}

static enum bgap_status
_bgap_host_parse (const json_t *item, struct bgap_host *host,
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
    status = _bgap_host_parse_binary_member (item, "role", "entry", "backend",
                                             &is_backend, err);
  if (status == BGAP_OK)
    status = _bgap_host_parse_binary_member (item, "state", "live", "leaving",
                                             &is_leaving, err);
  if (status != BGAP_OK)
    return status;
  if (host->name[0] == '\0')
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "the name of a host is empty");
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

/* A host that is listed twice would be counted twice among the live hosts.  */
static enum bgap_status
_bgap_host_check_unique_names (const struct bgap_host_response *response,
                               struct bgap_error *err)
{
  json_t *names = json_object ();
  if (names == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  enum bgap_status status = BGAP_OK;
  for (size_t i = 0; i < response->count && status == BGAP_OK; i++)
    {
      const char *name = response->hosts[i].name;
      if (json_object_get (names, name) != NULL)
        status
            = bgap_error_set (err, BGAP_ERR_PROTOCOL,
                              "host \"%.64s\" is listed more than once", name);
      else if (json_object_set_new (names, name, json_true ()) != 0)
        status = bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
    }
  json_decref (names);
  return status;
}

enum bgap_status
bgap_host_response_parse (const char *body, size_t size, size_t hosts_max,
                          struct bgap_host_response *response,
                          struct bgap_error *err)
{
  *response = (struct bgap_host_response){ 0 };
  enum bgap_status status = bgap_json_parse (body, size, &response->json, err);
  if (status != BGAP_OK)
    return status;
  const json_t *list = json_object_get (response->json, "hosts");
  size_t count = json_array_size (list);
  if (!json_is_array (list) || count > hosts_max)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "\"hosts\" is not an array of at most %zu items",
                           hosts_max);
  if (count == 0)
    return BGAP_OK;
  response->hosts = calloc (count, sizeof *response->hosts);
  if (response->hosts == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  response->count = count;
  for (size_t i = 0; i < count; i++)
    {
      status = _bgap_host_parse (json_array_get (list, i), &response->hosts[i],
                                 err);
      if (status != BGAP_OK)
        return status;
    }
  return _bgap_host_check_unique_names (response, err);
}

void
bgap_host_response_shutdown (struct bgap_host_response *response)
{
  free (response->hosts);
  json_decref (response->json);
  *response = (struct bgap_host_response){ 0 };
}
