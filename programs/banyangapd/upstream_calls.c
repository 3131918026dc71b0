#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/log.h"
#include "upstreams_private.h"

/* Largest number of connections to one instance that forwards requests.  */
#define FORWARDER_CONNECTIONS 64u

static void
_bgap_upstream_on_head (void *user, struct bgap_backend_attempt_id id,
                        int status, const struct bgap_headers *headers)
{
  const struct bgap_upstream_attempt *attempt = user;
  (void)id;
  attempt->ops->head (attempt->user, status, headers);
}

static void
_bgap_upstream_on_body (void *user, struct bgap_backend_attempt_id id,
                        const void *bytes, size_t size)
{
  const struct bgap_upstream_attempt *attempt = user;
  (void)id;
  attempt->ops->body (attempt->user, bytes, size);
}

static void
_bgap_upstream_end (struct bgap_upstream_attempt *attempt,
                    enum bgap_call_end end)
{
  const struct bgap_call_ops *ops = attempt->ops;
  void *user = attempt->user;
  HASH_DEL (attempt->upstreams->attempts, attempt);
  free (attempt);
  ops->end (user, end);
}

static void
_bgap_upstream_on_complete (void *user, struct bgap_backend_attempt_id id)
{
  (void)id;
  _bgap_upstream_end (user, BGAP_CALL_COMPLETE);
}

static void
_bgap_upstream_on_refused (void *user, struct bgap_backend_attempt_id id,
                           enum bgap_refusal refusal)
{
  static const enum bgap_call_end ends[BGAP_REFUSAL_COUNT] = {
    [BGAP_REFUSAL_NONE] = BGAP_CALL_BROKEN,
    [BGAP_REFUSAL_FENCED] = BGAP_CALL_FENCED,
    [BGAP_REFUSAL_SHED] = BGAP_CALL_SHED,
    [BGAP_REFUSAL_DRAINING] = BGAP_CALL_DRAINING,
  };
  (void)id;
  _bgap_upstream_end (user, ends[refusal]);
}

static void
_bgap_upstream_on_failed (void *user, struct bgap_backend_attempt_id id,
                          const struct bgap_backend_failure *failure)
{
  enum bgap_call_end end = BGAP_CALL_BROKEN;
  (void)id;
  if (failure->kind == BGAP_FAILURE_DEADLINE)
    end = BGAP_CALL_TIMEOUT;
  if (!failure->sent)
    end = BGAP_CALL_NO_CONNECT;
  _bgap_upstream_end (user, end);
}

static const struct bgap_backend_ops backend_ops = {
  .head = _bgap_upstream_on_head,
  .body = _bgap_upstream_on_body,
  .complete = _bgap_upstream_on_complete,
  .refused = _bgap_upstream_on_refused,
  .failed = _bgap_upstream_on_failed,
};

void
bgap_upstreams_set_forwarder (struct bgap_upstreams *upstreams,
                              const char *name, const char *address)
{
  struct bgap_error err = { 0 };
  struct bgap_forwarder *forwarder;
  HASH_FIND_STR (upstreams->forwarders, name, forwarder);
  if (forwarder != NULL && strcmp (forwarder->address, address) == 0)
    return;
  if (forwarder != NULL)
    {
      bgap_backend_remove_server (upstreams->backend, forwarder->pool);
      HASH_DEL (upstreams->forwarders, forwarder);
      free (forwarder);
    }
  forwarder = calloc (1, sizeof *forwarder);
  if (forwarder == NULL)
    return;
  snprintf (forwarder->name, sizeof forwarder->name, "%s", name);
  snprintf (forwarder->address, sizeof forwarder->address, "%s", address);
  if (bgap_backend_add_server (upstreams->backend, address,
                               FORWARDER_CONNECTIONS, &forwarder->pool, &err)
      != BGAP_OK)
    {
      bgap_log_error ("upstream",
                      "cannot add a forwarding instance; name=%s reason=%s",
                      name, err.message);
      free (forwarder);
      return;
    }
  HASH_ADD_STR (upstreams->forwarders, name, forwarder);
}

static enum bgap_status
_bgap_upstream_pool (const struct bgap_upstreams *upstreams,
                     const struct bgap_upstream *upstream,
                     const struct bgap_call *call,
                     struct bgap_backend_server_id *pool)
{
  pool->id = call->control ? upstream->control_pool : upstream->request_pool;
  if (call->forwarder == NULL)
    return BGAP_OK;
  const struct bgap_forwarder *forwarder;
  HASH_FIND_STR (upstreams->forwarders, call->forwarder, forwarder);
  if (forwarder == NULL)
    return BGAP_ERR_NOT_FOUND;
  *pool = forwarder->pool;
  return BGAP_OK;
}

enum bgap_status
bgap_upstream_call (struct bgap_upstreams *upstreams,
                    const struct bgap_upstream *upstream,
                    const struct bgap_call *call, uint32_t *id)
{
  struct bgap_backend_server_id pool;
  enum bgap_status status
      = _bgap_upstream_pool (upstreams, upstream, call, &pool);
  if (status != BGAP_OK)
    return status;
  struct bgap_upstream_attempt *attempt = calloc (1, sizeof *attempt);
  if (attempt == NULL)
    return BGAP_ERR_NO_MEMORY;
  attempt->upstreams = upstreams;
  attempt->ops = call->ops;
  attempt->user = call->user;
  const struct bgap_backend_request request = {
    .method = call->method,
    .target = call->target,
    .headers = call->headers,
    .body = call->body,
    .body_size = call->body_size,
    .deadline_ms = call->deadline_ms,
    .ops = &backend_ops,
    .user = attempt,
  };
  struct bgap_backend_attempt_id attempt_id = { 0 };
  status = bgap_backend_send (upstreams->backend, pool, &request, &attempt_id);
  if (status != BGAP_OK)
    {
      free (attempt);
      return status;
    }
  attempt->id = attempt_id.id;
  HASH_ADD_INT (upstreams->attempts, id, attempt);
  *id = attempt->id;
  return BGAP_OK;
}

void
bgap_upstreams_cancel (struct bgap_upstreams *upstreams, uint32_t id)
{
  struct bgap_upstream_attempt *attempt;
  HASH_FIND_INT (upstreams->attempts, &id, attempt);
  if (attempt == NULL)
    return;
  bgap_backend_cancel (upstreams->backend,
                       (struct bgap_backend_attempt_id){ id });
  HASH_DEL (upstreams->attempts, attempt);
  free (attempt);
}

void
bgap_upstreams_pause (struct bgap_upstreams *upstreams, uint32_t id,
                      bool paused)
{
  struct bgap_backend_attempt_id attempt = { id };
  if (paused)
    bgap_backend_pause (upstreams->backend, attempt);
  else
    bgap_backend_resume (upstreams->backend, attempt);
}
