#include "banyangap/logservice/host_list_http.h"

#include <stdlib.h>
#include <sys/queue.h>

#include "banyangap/logservice/http_client.h"
#include "host_response.h"

#define DEFAULT_TIMEOUT_MS 2000
#define DEFAULT_CALLS_MAX 4
#define DEFAULT_HOSTS_MAX 4096
#define DEFAULT_RESPONSE_SIZE_MAX 2097152

struct fetch
{
  LIST_ENTRY (fetch) next;
  struct bgap_host_list_http *http;
  void (*done) (void *user, const struct bgap_host_list_result *result);
  void *user;
};

LIST_HEAD (fetch_list, fetch);

struct bgap_host_list_http
{
  struct bgap_host_list_http_desc desc;
  struct bgap_http_client *client;
  struct fetch_list fetches;
  uint32_t fetch_count;
};

static void
_bgap_host_fetch_free (struct fetch *fetch)
{
  LIST_REMOVE (fetch, next);
  fetch->http->fetch_count--;
  free (fetch);
}

static void
_bgap_host_on_response (void *user, const struct bgap_http_response *response)
{
  struct fetch *fetch = user;
  struct bgap_error err = { 0 };
  struct bgap_host_response parsed = { 0 };
  struct bgap_host_list_result result = { .answer = BGAP_ANSWER_UNKNOWN };
  if (response->status == 0)
    bgap_error_set (&err, BGAP_ERR_IO, "%s", response->message);
  else if (response->status != 200)
    {
      result.answer = BGAP_ANSWER_REFUSED;
      bgap_error_set (&err, BGAP_ERR_UNAVAILABLE,
                      "the host list responded with HTTP status %d",
                      response->status);
    }
  else if (bgap_host_response_parse (response->body, response->size,
                                     fetch->http->desc.hosts_max, &parsed,
                                     &err)
           == BGAP_OK)
    {
      result.answer = BGAP_ANSWER_OK;
      result.hosts = parsed.hosts;
      result.count = parsed.count;
    }
  result.message = err.message;
  void (*done) (void *, const struct bgap_host_list_result *) = fetch->done;
  void *done_user = fetch->user;
  _bgap_host_fetch_free (fetch);
  done (done_user, &result);
  bgap_host_response_shutdown (&parsed);
}

static enum bgap_status
_bgap_host_list_http_fetch (
    void *context,
    void (*done) (void *user, const struct bgap_host_list_result *result),
    void *user)
{
  struct bgap_host_list_http *http = context;
  if (http->fetch_count >= http->desc.calls_max)
    return BGAP_ERR_FULL;
  struct fetch *fetch = calloc (1, sizeof *fetch);
  if (fetch == NULL)
    return BGAP_ERR_NO_MEMORY;
  fetch->http = http;
  fetch->done = done;
  fetch->user = user;
  LIST_INSERT_HEAD (&http->fetches, fetch, next);
  http->fetch_count++;
  const struct bgap_http_call_desc desc = {
    .method = EVHTTP_REQ_GET,
    .path = "/hosts",
    .timeout_ms = http->desc.timeout_ms,
    .done = _bgap_host_on_response,
    .user = fetch,
  };
  enum bgap_status status = bgap_http_client_start (http->client, &desc);
  if (status != BGAP_OK)
    _bgap_host_fetch_free (fetch);
  return status;
}

enum bgap_status
bgap_host_list_http_setup (struct bgap_host_list_http **http,
                           const struct bgap_host_list_http_desc *desc,
                           struct bgap_error *err)
{
  if (desc->base == NULL)
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "the event loop is required");
  struct bgap_host_list_http *h = calloc (1, sizeof *h);
  if (h == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  h->desc = *desc;
  h->desc.address = NULL;
  if (h->desc.timeout_ms == 0)
    h->desc.timeout_ms = DEFAULT_TIMEOUT_MS;
  if (h->desc.calls_max == 0)
    h->desc.calls_max = DEFAULT_CALLS_MAX;
  if (h->desc.hosts_max == 0)
    h->desc.hosts_max = DEFAULT_HOSTS_MAX;
  if (h->desc.response_size_max == 0)
    h->desc.response_size_max = DEFAULT_RESPONSE_SIZE_MAX;
  LIST_INIT (&h->fetches);
  enum bgap_status status = bgap_http_client_setup (
      &h->client, desc->base, desc->address, h->desc.response_size_max, err);
  if (status != BGAP_OK)
    {
      free (h);
      return status;
    }
  *http = h;
  return BGAP_OK;
}

struct bgap_host_list_ops
bgap_host_list_http_ops (struct bgap_host_list_http *http)
{
  return (struct bgap_host_list_ops){
    .fetch = _bgap_host_list_http_fetch,
    .context = http,
  };
}

void
bgap_host_list_http_shutdown (struct bgap_host_list_http *http)
{
  if (http == NULL)
    return;
  bgap_http_client_shutdown (http->client);
  struct fetch *fetch = LIST_FIRST (&http->fetches);
  while (fetch != NULL)
    {
      struct fetch *next = LIST_NEXT (fetch, next);
      _bgap_host_fetch_free (fetch);
      fetch = next;
    }
  free (http);
}
