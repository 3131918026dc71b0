#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "backend_private.h"

/* Limit of interim (1xx) responses before the final one.  */
#define INTERIM_MAX 8

/* Limit of responses of earlier requests before the one of this attempt.  */
#define STALE_MAX 8

/* Limit in bytes of a discarded body, such as that of a refusal. It is read so
   that the connection can be reused; a longer one closes the connection.  */
#define DISCARDED_BODY_MAX 65536

/* A connection is reused only during this part of the idle timeout that the
   server announces, because a request sent while the server closes the
   connection would be lost.  */
#define IDLE_REUSE_PERCENT 70

/* Longer idle timeouts are taken for this one, which exceeds that of the
   client.  */
#define IDLE_TIMEOUT_MAX_S 86400

void
bgap_backend_connection_fail (struct backend_connection *c,
                              enum bgap_failure_kind kind, const char *message)
{
  const struct bgap_backend_ops *ops = c->ops;
  const struct bgap_backend_attempt_id id = { c->attempt };
  const struct bgap_backend_failure failure = {
    .kind = kind,
    .sent = c->sent,
    .connection_refused = c->connection_refused,
    .reused = c->reused,
    .head_reported = c->head_reported,
    .message = message,
  };
  bgap_backend_connection_close (c);
  /* The head of a refusal suffices as proof; its body may be incomplete.  */
  if (c->refusal != BGAP_REFUSAL_NONE)
    {
      ++*c->backend->refusals_total[c->refusal];
      ops->refused (c->user, id, c->refusal);
      return;
    }
  ++*c->backend->failures_total[kind];
  ops->failed (c->user, id, &failure);
}

/* Keeps a connection whose attempt has ended for others, unless it cannot be
   used again.  */
static void
_bgap_backend_release (struct backend_connection *c)
{
  bool is_clean
      = evbuffer_get_length (bufferevent_get_input (c->bev)) == 0
        && evbuffer_get_length (bufferevent_get_output (c->bev)) == 0;
  if (!is_clean || c->not_reusable || c->peer_closed || c->server == NULL
      || c->server->open_count > c->server->limit)
    {
      bgap_backend_connection_close (c);
      return;
    }
  bgap_pool_free (&c->backend->attempts, c->attempt);
  c->attempt = BGAP_INVALID_ID;
  bgap_backend_connection_set_idle (c);
}

/* The client writes nothing before the connection is open, so that the output
   is the whole request. Its start is frozen against others than the
   client.  */
static void
_bgap_backend_drop_request (struct backend_connection *c)
{
  struct evbuffer *output = bufferevent_get_output (c->bev);
  evbuffer_unfreeze (output, 1);
  evbuffer_drain (output, evbuffer_get_length (output));
  evbuffer_freeze (output, 1);
  c->sent = false;
}

void
bgap_backend_connection_check_send (struct backend_connection *c)
{
  struct bgap_backend *backend = c->backend;
  const struct bgap_backend_ops *ops = c->ops;
  const struct bgap_backend_attempt_id id = { c->attempt };
  const struct bgap_backend_failure failure = {
    .kind = BGAP_FAILURE_NOT_SENT,
    .message = "the request may not be sent any more",
  };
  void *user = c->user;
  if (ops->may_send == NULL || ops->may_send (user, id))
    return;
  _bgap_backend_drop_request (c);
  _bgap_backend_release (c);
  ++*backend->failures_total[BGAP_FAILURE_NOT_SENT];
  ops->failed (user, id, &failure);
}

static void
_bgap_backend_remember_refused (struct backend_connection *c)
{
  c->refused[c->refused_count++] = c->identity;
  if (c->refused_count == BACKEND_REFUSED_MAX)
    c->not_reusable = true;
}

/* Ends an attempt whose response is complete: the connection becomes idle or
   is closed, then the result is reported.  */
static void
_bgap_backend_finish (struct backend_connection *c)
{
  struct bgap_backend *backend = c->backend;
  const struct bgap_backend_ops *ops = c->ops;
  const struct bgap_backend_attempt_id id = { c->attempt };
  enum bgap_refusal refusal = c->refusal;
  const struct bgap_backend_failure failure = {
    .kind = BGAP_FAILURE_ERROR,
    .sent = true,
    .message = "the server answered with an error",
  };
  bool is_error = c->is_server_error;
  void *user = c->user;
  if (refusal != BGAP_REFUSAL_NONE && c->identity != 0)
    _bgap_backend_remember_refused (c);
  _bgap_backend_release (c);
  if (refusal != BGAP_REFUSAL_NONE)
    {
      ++*backend->refusals_total[refusal];
      ops->refused (user, id, refusal);
    }
  else if (is_error)
    {
      ++*backend->failures_total[BGAP_FAILURE_ERROR];
      ops->failed (user, id, &failure);
    }
  else
    ops->complete (user, id);
}

/* "Keep-Alive: timeout=N" announces the server's idle timeout in seconds.  */
static void
_bgap_backend_read_keep_alive (struct backend_connection *c,
                               const struct bgap_headers *headers)
{
  const char *text = bgap_headers_find (headers, "Keep-Alive");
  const char *timeout = text != NULL ? strcasestr (text, "timeout=") : NULL;
  if (timeout == NULL)
    return;
  long seconds = strtol (timeout + strlen ("timeout="), NULL, 10);
  if (seconds > IDLE_TIMEOUT_MAX_S)
    seconds = IDLE_TIMEOUT_MAX_S;
  int64_t limit_ms = (int64_t)seconds * 10 * IDLE_REUSE_PERCENT;
  if (seconds <= 0)
    c->not_reusable = true;
  else if (limit_ms < c->idle_limit_ms)
    c->idle_limit_ms = limit_ms;
}

static enum bgap_head_class
_bgap_backend_classify_head (struct backend_connection *c,
                             const struct bgap_http_head *head)
{
  if (c->ops->classify != NULL)
    return c->ops->classify (c->user, head->status, &head->headers,
                             &c->refusal);
  const char *refused = bgap_headers_find (&head->headers, "Bgap-Refused");
  if (head->status == 409 && refused != NULL)
    c->refusal = bgap_refusal_parse (refused);
  return c->refusal != BGAP_REFUSAL_NONE ? BGAP_HEAD_REFUSAL
                                         : BGAP_HEAD_RESPONSE;
}

/* Returns whether to continue reading.  */
static bool
_bgap_backend_handle_head (struct backend_connection *c,
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
  c->close_delimited = has_body && head->framing == BGAP_HTTP_NO_LENGTH;
  if (c->close_delimited && !c->backend->desc.accept_close_delimited)
    {
      bgap_backend_connection_fail (c, BGAP_FAILURE_PROTOCOL,
                                    "the length of the response is not known");
      return false;
    }
  bgap_http_body_start (
      &c->body, has_body ? head->framing : BGAP_HTTP_NO_LENGTH, head->length);
  c->state = BACKEND_BODY;
  c->not_reusable = c->not_reusable || head->close || c->close_delimited;
  _bgap_backend_read_keep_alive (c, &head->headers);
  switch (_bgap_backend_classify_head (c, head))
    {
    case BGAP_HEAD_REFUSAL:
      return true;
    case BGAP_HEAD_ERROR:
      c->is_server_error = true;
      return true;
    case BGAP_HEAD_STALE:
      /* The connection can no longer be relied on to deliver responses in
         order.  */
      c->not_reusable = true;
      c->is_stale = true;
      if (++c->stale_count <= STALE_MAX)
        return true;
      bgap_backend_connection_fail (c, BGAP_FAILURE_PROTOCOL,
                                    "too many responses of earlier requests");
      return false;
    case BGAP_HEAD_INVALID:
      bgap_backend_connection_fail (c, BGAP_FAILURE_PROTOCOL,
                                    "the response is not acceptable");
      return false;
    case BGAP_HEAD_RESPONSE:
      break;
    }
  c->head_reported = true;
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
      go_on = _bgap_backend_handle_head (c, &head);
    }
  bgap_http_head_shutdown (&head);
  return go_on;
}

static bool
_bgap_backend_is_discarding (const struct backend_connection *c)
{
  return c->refusal != BGAP_REFUSAL_NONE || c->is_stale || c->is_server_error;
}

/* Passes the next bytes of a body on, or discards them.
   @used: their size with the framing
   Returns whether to continue reading.  */
static bool
_bgap_backend_take_body (struct backend_connection *c, const char *data,
                         size_t size, size_t used)
{
  const struct bgap_backend_attempt_id id = { c->attempt };
  if (_bgap_backend_is_discarding (c))
    {
      c->discarded += used;
      if (c->discarded <= DISCARDED_BODY_MAX)
        return true;
      bgap_backend_connection_fail (c, BGAP_FAILURE_PROTOCOL,
                                    "the discarded body is too large");
      return false;
    }
  c->passed_on += size;
  if (c->response_size_max > 0 && c->passed_on > c->response_size_max)
    {
      bgap_backend_connection_fail (c, BGAP_FAILURE_PROTOCOL,
                                    "the body of the response is too large");
      return false;
    }
  if (size > 0 && c->ops->body != NULL)
    c->ops->body (c->user, id, data, size);
  return c->state != BACKEND_DEAD;
}

static const char *
_bgap_backend_broken_message (const struct backend_connection *c)
{
  return c->write_failed ? "the connection broke before the request was sent"
                         : "the connection broke";
}

/* Reads a body that ends with the connection. It is complete only if the
   server closed the connection cleanly.  */
static bool
_bgap_backend_read_close_delimited (struct backend_connection *c)
{
  struct evbuffer *input = bufferevent_get_input (c->bev);
  struct evbuffer_iovec piece;
  if (evbuffer_get_length (input) == 0
      || evbuffer_peek (input, -1, NULL, &piece, 1) < 1)
    {
      if (!c->peer_closed)
        return false;
      if (c->peer_closed_cleanly && !c->is_stale)
        _bgap_backend_finish (c);
      else
        bgap_backend_connection_fail (c, BGAP_FAILURE_BROKEN,
                                      _bgap_backend_broken_message (c));
      return false;
    }
  size_t size = piece.iov_len;
  if (!_bgap_backend_take_body (c, piece.iov_base, size, size))
    return false;
  evbuffer_drain (input, size);
  return true;
}

static bool
_bgap_backend_read_body (struct backend_connection *c)
{
  if (c->close_delimited)
    return _bgap_backend_read_close_delimited (c);
  if (c->body.done && c->is_stale)
    {
      c->is_stale = false;
      c->state = BACKEND_HEAD;
      return true;
    }
  if (c->body.done)
    {
      _bgap_backend_finish (c);
      return false;
    }
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
  if (!_bgap_backend_take_body (c, data, data_size, used))
    return false;
  evbuffer_drain (input, used);
  return true;
}

/* Processes buffered input. Every callback can close or pause the connection,
   so its state is checked again after each step.  */
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
  else if (c->peer_closed && !c->paused
           && (c->state == BACKEND_HEAD || c->state == BACKEND_BODY))
    bgap_backend_connection_fail (c, BGAP_FAILURE_BROKEN,
                                  _bgap_backend_broken_message (c));
}
