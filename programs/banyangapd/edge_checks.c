#include <string.h>

#include "edge_parts.h"
#include "now.h"

/* Time for a health check. Those of overloaded servers took 0.1 s on average
   in plays; where one takes longer, a request would be late as well.  */
#define CHECK_TIMEOUT_MS 300

/* Limit of the body of an answer, which is not used.  */
#define ANSWER_SIZE_MAX 65536

/* The configuration is read at longer intervals than the registrations, and
   its view is older by this time.  */
#define CONFIG_BEHIND_MS 1000

#define STATUS_OK 200
#define STATUS_UNAVAILABLE 503

static struct bgap_event_kind event_check
    = { .name = "server-check", .per_second = 20, .burst = 100 };

static const char *
_bgap_check_result_name (enum bgap_warm_check_result result)
{
  static const char *const names[] = {
    [BGAP_WARM_CHECK_WARM] = "warm",
    [BGAP_WARM_CHECK_COLD] = "cold",
    [BGAP_WARM_CHECK_FAILED] = "failed",
  };
  return names[result];
}

static void
_bgap_check_end (struct bgap_edge_check *check,
                 enum bgap_warm_check_result result, const char *detail)
{
  struct bgap_edge *edge = check->edge;
  struct bgap_edge_server *server = check->server;
  int64_t now_ms = bgap_now_ms ();
  bgap_event (&event_check,
              "server=%s service=%s result=%s detail=\"%s\" status=%d "
              "took_ms=%lld view_age_ms=%lld",
              server->id, server->service->name,
              _bgap_check_result_name (result), detail, check->status,
              (long long)(now_ms - check->sent_ms),
              (long long)(now_ms - edge->servers_synced_ms));
  edge->server_checks[result]++;
  /* A late copy of this answer must not count as that to a later check.  */
  if (server->has_checks)
    bgap_backend_remove_server (edge->backend, server->checks);
  server->has_checks = false;
  bgap_router_server_checked (&edge->router, now_ms, server->router_id,
                              result);
  bgap_edge_call_ended (edge, server);
  bgap_edge_run_actions (edge);
}

/* What the answer to a health check says of the warm-up. An unhealthy server
   says it as well.  */
static enum bgap_warm_check_result
_bgap_check_evaluate (const struct bgap_edge_check *check,
                      const struct bgap_wire_response *response)
{
  bool is_from_server = strcmp (response->server, check->server->id) == 0;
  if (!is_from_server || response->not_executed
      || (check->status != STATUS_OK && check->status != STATUS_UNAVAILABLE)
      || response->warmup == BGAP_WIRE_NUMBER_MALFORMED)
    return BGAP_WARM_CHECK_FAILED;
  return response->warmup_ms > 0 ? BGAP_WARM_CHECK_COLD : BGAP_WARM_CHECK_WARM;
}

static enum bgap_head_class
_bgap_check_classify (void *user, int status,
                      const struct bgap_headers *headers,
                      enum bgap_refusal *refusal)
{
  struct bgap_edge_check *check = user;
  struct bgap_wire_response response;
  *refusal = BGAP_REFUSAL_NONE;
  check->edge->desc.wire->read_response (headers, status, "", &response);
  /* Health checks have no id: this answers an earlier request.  */
  if (response.id_differs)
    return BGAP_HEAD_STALE;
  check->status = status;
  check->result = _bgap_check_evaluate (check, &response);
  bgap_edge_on_statements (check->edge, check->server, &response);
  return BGAP_HEAD_RESPONSE;
}

static void
_bgap_check_on_head (void *user, struct bgap_backend_attempt_id id, int status,
                     const struct bgap_headers *headers)
{
  (void)user;
  (void)id;
  (void)status;
  (void)headers;
}

static void
_bgap_check_on_complete (void *user, struct bgap_backend_attempt_id id)
{
  struct bgap_edge_check *check = user;
  (void)id;
  _bgap_check_end (check, check->result, "");
}

static void
_bgap_check_on_refused (void *user, struct bgap_backend_attempt_id id,
                        enum bgap_refusal refusal)
{
  (void)id;
  _bgap_check_end (user, BGAP_WARM_CHECK_FAILED, bgap_refusal_name (refusal));
}

static void
_bgap_check_on_failed (void *user, struct bgap_backend_attempt_id id,
                       const struct bgap_backend_failure *failure)
{
  (void)id;
  _bgap_check_end (user, BGAP_WARM_CHECK_FAILED, failure->message);
}

static const struct bgap_backend_ops check_ops = {
  .classify = _bgap_check_classify,
  .head = _bgap_check_on_head,
  .complete = _bgap_check_on_complete,
  .refused = _bgap_check_on_refused,
  .failed = _bgap_check_on_failed,
};

/* Opens a pool for one health check, which has no id: its connection is not
   used for anything else.  */
static enum bgap_status
_bgap_check_open (struct bgap_edge *edge, struct bgap_edge_server *server)
{
  struct bgap_error err = { 0 };
  enum bgap_status status = bgap_backend_add_server (
      edge->backend, server->known->entry.address, BGAP_EDGE_CHECK_CONNECTIONS,
      &server->checks, &err);
  server->has_checks = status == BGAP_OK;
  return status;
}

static enum bgap_status
_bgap_check_send (struct bgap_edge_check *check)
{
  struct bgap_edge *edge = check->edge;
  struct bgap_edge_server *server = check->server;
  struct bgap_backend_attempt_id id;
  const struct bgap_routed_service *routed
      = bgap_route_table_service (edge->table, server->service->name);
  if (server->known == NULL || routed == NULL)
    return BGAP_ERR_NOT_FOUND;
  enum bgap_status status = _bgap_check_open (edge, server);
  if (status != BGAP_OK)
    return status;
  return bgap_backend_send (
      edge->backend, server->checks,
      &(struct bgap_backend_request){ .method = "GET",
                                      .target = routed->health_path,
                                      .deadline_ms = CHECK_TIMEOUT_MS,
                                      .response_size_max = ANSWER_SIZE_MAX,
                                      .ops = &check_ops,
                                      .user = check },
      &id);
}

/* Servers of an evacuated zone may turn cold, so that an instance that has not
   heard of evacuations for long may send to more cold servers than others.  */
void
bgap_edge_update_view_time (struct bgap_edge *edge)
{
  int64_t config_ms = edge->config_synced_ms + CONFIG_BEHIND_MS;
  bgap_router_set_view_time (&edge->router, config_ms < edge->servers_synced_ms
                                                ? config_ms
                                                : edge->servers_synced_ms);
}

void
bgap_edge_check_server (struct bgap_edge *edge,
                        const struct bgap_router_action *action)
{
  struct bgap_edge_server *server = bgap_edge_server (edge, action->server);
  if (server == NULL)
    {
      bgap_router_server_checked (&edge->router, bgap_now_ms (),
                                  action->server, BGAP_WARM_CHECK_FAILED);
      return;
    }
  struct bgap_edge_check *check = &server->check;
  *check = (struct bgap_edge_check){ .edge = edge,
                                     .server = server,
                                     .sent_ms = bgap_now_ms () };
  server->calls++;
  enum bgap_status status = _bgap_check_send (check);
  if (status != BGAP_OK)
    _bgap_check_end (check, BGAP_WARM_CHECK_FAILED, bgap_status_name (status));
}
