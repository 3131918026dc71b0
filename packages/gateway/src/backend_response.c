#include <event2/buffer.h>
#include <string.h>

#include "backend_private.h"

/* Interim (1xx) responses before the final one.  */
#define INTERIM_MAX 8

/* Bytes of a refusal's body that are read so that its connection can be
   reused; a longer one closes the connection.  */
#define REFUSAL_BODY_MAX 65536

void
bgap_backend_connection_fail (struct backend_connection *c,
                              enum bgap_failure_kind kind, const char *message)
{
  const struct bgap_backend_ops *ops = c->ops;
  const struct bgap_backend_attempt_id id = { c->attempt };
  const struct bgap_backend_failure failure = {
    .kind = kind,
    .sent = c->sent,
    .reused = c->reused,
    .head = c->head_done,
    .message = message,
  };
  bgap_backend_connection_close (c);
  /* The head of a refusal is proof enough.  */
  if (c->refusal != BGAP_REFUSAL_NONE)
    {
      ++*c->backend->refusals_total[c->refusal];
      ops->refused (c->user, id, c->refusal);
      return;
    }
  ++*c->backend->failures_total[kind];
  ops->failed (c->user, id, &failure);
}

/* The response is complete: the connection becomes idle or is closed.  */
static void
_bgap_backend_finish (struct backend_connection *c)
{
  struct bgap_backend *backend = c->backend;
  const struct bgap_backend_ops *ops = c->ops;
  const struct bgap_backend_attempt_id id = { c->attempt };
  enum bgap_refusal refusal = c->refusal;
  void *user = c->user;
  bool is_clean
      = evbuffer_get_length (bufferevent_get_input (c->bev)) == 0
        && evbuffer_get_length (bufferevent_get_output (c->bev)) == 0;
  if (!is_clean || c->broken || c->ended || c->server == NULL
      || c->server->open > c->server->limit)
    bgap_backend_connection_close (c);
  else
    {
      bgap_pool_free (&backend->attempts, c->attempt);
      c->attempt = BGAP_INVALID_ID;
      c->state = BACKEND_IDLE;
      c->reused = true;
      LIST_INSERT_HEAD (&c->server->idle, c, next_idle);
      c->server->idle_count++;
      bgap_backend_connection_arm (c, backend->desc.idle_timeout_ms);
    }
  if (refusal != BGAP_REFUSAL_NONE)
    {
      ++*backend->refusals_total[refusal];
      ops->refused (user, id, refusal);
    }
  else
    ops->complete (user, id);
}

/* Returns whether to go on reading.  */
static bool
_bgap_backend_use_head (struct backend_connection *c,
                        struct bgap_http_head *head)
{
  const struct bgap_backend_attempt_id id = { c->attempt };
  if (head->status < 200)
    {
      if (head->status != 101 && ++c->interim_count <= INTERIM_MAX)
        return true;
      bgap_backend_connection_fail (
          c, BGAP_FAILURE_PROTOCOL,
          "the server sent a wrong interim response");
      return false;
    }
  bool has_body
      = !c->is_head_request && head->status != 204 && head->status != 304;
  if (has_body && head->framing == BGAP_HTTP_NO_LENGTH)
    {
      bgap_backend_connection_fail (c, BGAP_FAILURE_PROTOCOL,
                                    "the length of the response is not known");
      return false;
    }
  bgap_http_body_start (
      &c->body, has_body ? head->framing : BGAP_HTTP_NO_LENGTH, head->length);
  c->state = BACKEND_BODY;
  c->broken = c->broken || head->close;
  const char *refused = bgap_headers_find (&head->headers, "Bgap-Refused");
  if (head->status == 409 && refused != NULL)
    c->refusal = bgap_refusal_parse (refused);
  if (c->refusal != BGAP_REFUSAL_NONE)
    return true;
  c->head_done = true;
  bgap_headers_remove_hop_by_hop (&head->headers);
  c->ops->head (c->user, id, head->status, &head->headers);
  return true;
}

static bool
_bgap_backend_read_head (struct backend_connection *c)
{
  struct evbuffer *input = bufferevent_get_input (c->bev);
  struct bgap_http_head head = { 0 };
  size_t size;
  if (bgap_http_head_find (input, c->backend->desc.head_size_max, &size)
      != BGAP_OK)
    {
      bgap_backend_connection_fail (c, BGAP_FAILURE_PROTOCOL,
                                    "the head of the response is too large");
      return false;
    }
  if (size == 0)
    return false;
  const char *bytes = (const char *)evbuffer_pullup (input, (ssize_t)size);
  bool go_on = false;
  if (bytes == NULL
      || bgap_http_head_parse (&head, BGAP_HTTP_RESPONSE, bytes, size, NULL)
             != BGAP_OK)
    bgap_backend_connection_fail (c, BGAP_FAILURE_PROTOCOL,
                                  "the head of the response is malformed");
  else
    {
      evbuffer_drain (input, size);
      go_on = _bgap_backend_use_head (c, &head);
    }
  bgap_http_head_shutdown (&head);
  return go_on;
}

static bool
_bgap_backend_read_body (struct backend_connection *c)
{
  if (c->body.done)
    {
      _bgap_backend_finish (c);
      return false;
    }
  const struct bgap_backend_attempt_id id = { c->attempt };
  struct evbuffer *input = bufferevent_get_input (c->bev);
  struct evbuffer_iovec piece;
  size_t used;
  const char *data;
  size_t data_size;
  if (evbuffer_get_length (input) == 0
      || evbuffer_peek (input, -1, NULL, &piece, 1) < 1)
    return false;
  if (bgap_http_body_next (&c->body, piece.iov_base, piece.iov_len, &used,
                           &data, &data_size)
      != BGAP_OK)
    {
      bgap_backend_connection_fail (c, BGAP_FAILURE_PROTOCOL,
                                    "the body of the response is malformed");
      return false;
    }
  if (c->refusal != BGAP_REFUSAL_NONE)
    {
      c->discarded += data_size;
      if (c->discarded > REFUSAL_BODY_MAX)
        {
          bgap_backend_connection_fail (c, BGAP_FAILURE_PROTOCOL, "");
          return false;
        }
    }
  else if (data_size > 0 && c->ops->body != NULL)
    c->ops->body (c->user, id, data, data_size);
  if (c->state == BACKEND_DEAD)
    return false;
  evbuffer_drain (input, used);
  return true;
}

/* Uses what has been read. Every callback can close or pause the connection,
   so its state is looked at again after each step.  */
void
bgap_backend_connection_process (struct backend_connection *c)
{
  bool go_on = true;
  while (go_on && c->state != BACKEND_DEAD && !c->paused)
    {
      if (c->state == BACKEND_HEAD)
        go_on = _bgap_backend_read_head (c);
      else if (c->state == BACKEND_BODY)
        go_on = _bgap_backend_read_body (c);
      else
        break;
    }
  if (c->state == BACKEND_IDLE
      && evbuffer_get_length (bufferevent_get_input (c->bev)) > 0)
    bgap_backend_connection_close (c);
  else if (c->ended && !c->paused
           && (c->state == BACKEND_HEAD || c->state == BACKEND_BODY))
    bgap_backend_connection_fail (c, BGAP_FAILURE_BROKEN,
                                  "the connection broke");
}
