#include <stdio.h>

#include "requests_private.h"

void
bgap_exchange_reply_error (struct bgap_frontend *frontend,
                           struct bgap_exchange_id id, int status,
                           enum bgap_outcome outcome, const char *reason,
                           int retry_after_s)
{
  struct bgap_headers headers = { 0 };
  char text[256];
  bgap_headers_add (&headers, "Content-Type", "application/json");
  bgap_headers_add (&headers, "Bgap-Outcome", bgap_outcome_name (outcome));
  snprintf (text, sizeof text, "%d", retry_after_s);
  if (retry_after_s > 0)
    bgap_headers_add (&headers, "Retry-After", text);
  int size = snprintf (text, sizeof text,
                       "{\"outcome\": \"%s\", \"reason\": \"%s\"}\n",
                       bgap_outcome_name (outcome), reason);
  bgap_frontend_reply (frontend, id, status, &headers, text, (size_t)size);
  bgap_headers_shutdown (&headers);
}

static void
_bgap_exchange_reply_stored (struct bgap_exchange *exchange,
                             const struct bgap_router_action *action)
{
  struct bgap_headers headers = { 0 };
  bgap_headers_add (&headers, "Bgap-Outcome", "answered");
  if (action->content_type != NULL && action->content_type[0] != '\0')
    bgap_headers_add (&headers, "Content-Type", action->content_type);
  bgap_frontend_reply (
      exchange->requests->frontend, (struct bgap_exchange_id){ exchange->id },
      action->http_status, &headers, action->bytes, action->size);
  bgap_headers_shutdown (&headers);
}

static void
_bgap_exchange_count_fault (const struct bgap_exchange *exchange,
                            const struct bgap_router_action *action)
{
  bool good = action->reason == BGAP_REASON_ANSWERED
              || action->reason == BGAP_REASON_STORED
              || action->reason == BGAP_REASON_STORED_DROPPED;
  if (good)
    return;
  char message[64];
  snprintf (message, sizeof message, "status %d, outcome %s",
            action->http_status, bgap_outcome_name (action->outcome));
  bgap_faults_add (
      exchange->requests->desc.faults,
      &(struct bgap_fault){ .owner = exchange->parts.owner,
                            .service = exchange->parts.service,
                            .server = exchange->server,
                            .kind = bgap_reason_name (action->reason),
                            .message = message });
}

void
bgap_exchange_finish (struct bgap_exchange *exchange,
                      const struct bgap_router_action *action)
{
  struct bgap_frontend *frontend = exchange->requests->frontend;
  struct bgap_exchange_id id = { exchange->id };
  _bgap_exchange_count_fault (exchange, action);
  if (exchange->streaming && action->reason == BGAP_REASON_ANSWERED)
    bgap_frontend_finish (frontend, id);
  else if (exchange->streaming)
    bgap_frontend_abort (frontend, id);
  else if (action->reason == BGAP_REASON_STORED)
    _bgap_exchange_reply_stored (exchange, action);
  else
    bgap_exchange_reply_error (
        frontend, id, action->http_status, action->outcome,
        bgap_reason_name (action->reason), action->retry_after_s);
  bgap_exchange_free (exchange);
}
