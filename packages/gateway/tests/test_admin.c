#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <string.h>

#include "banyangap/gateway/admin.h"
#include "support.h"

struct fixture
{
  struct event_base *base;
  struct bgap_admin *admin;
  struct support_client client;
  struct bgap_admin_id deferred;
  bool is_deferred;
};

static void
_on_ready (void *context, struct bgap_admin_id id,
           const struct bgap_admin_request *request)
{
  struct fixture *f = context;
  char value[8] = "";
  bgap_admin_query (request->query, "x", value, sizeof value);
  assert_int_equal (
      bgap_admin_reply_text (f->admin, id, 200, value, strlen (value)),
      BGAP_OK);
  assert_int_equal (bgap_admin_reply_text (f->admin, id, 200, "", 0),
                    BGAP_ERR_NOT_FOUND);
}

static void
_on_config (void *context, struct bgap_admin_id id,
            const struct bgap_admin_request *request)
{
  struct fixture *f = context;
  json_t *value = json_pack ("{s:s,s:s?,s:s}", "path", request->path, "token",
                             request->token, "body", request->body);
  bgap_admin_reply_json (f->admin, id, request->token ? 200 : 401, value);
  json_decref (value);
}

static void
_on_watch (void *context, struct bgap_admin_id id,
           const struct bgap_admin_request *request)
{
  struct fixture *f = context;
  (void)request;
  f->deferred = id;
  f->is_deferred = true;
}

static const struct bgap_admin_route routes[] = {
  { .method = "GET", .path = "/readyz", .handle = _on_ready },
  { .method = "POST", .path = "/config/", .handle = _on_config },
  { .method = "GET", .path = "/watch", .handle = _on_watch },
};

static void
_start (struct fixture *f, const struct bgap_admin_desc *limits)
{
  struct bgap_admin_desc desc = *limits;
  *f = (struct fixture){ .base = event_base_new () };
  desc.base = f->base;
  desc.address = "127.0.0.1:0";
  desc.routes = routes;
  desc.route_count = sizeof routes / sizeof *routes;
  desc.context = f;
  assert_int_equal (bgap_admin_setup (&f->admin, &desc, NULL), BGAP_OK);
  support_client_start (&f->client, f->base, bgap_admin_port (f->admin));
}

static void
_stop (struct fixture *f)
{
  support_client_stop (&f->client);
  bgap_admin_shutdown (f->admin);
  support_base_free (f->base);
}

static void
_exchange (struct fixture *f, const char *request, const char *response)
{
  support_client_send (&f->client, request);
  support_client_expect (&f->client, f->base, response);
}

/* Guards against requests dispatched to the wrong route or without their
   token, body or query.  */
static void
test_routes (void **state)
{
  (void)state;
  struct fixture f;
  _start (&f, &(struct bgap_admin_desc){ 0 });
  _exchange (&f, "GET /readyz?a=1&x=%41b HTTP/1.1\r\nHost: h\r\n\r\n",
             "Content-Length: 2\r\n\r\nAb");
  _exchange (&f, "GET /readyz/ HTTP/1.1\r\nHost: h\r\n\r\n", "1.1 404 ");
  _exchange (&f, "PUT /readyz HTTP/1.1\r\nHost: h\r\n\r\n", "1.1 405 ");
  _exchange (
      &f,
      "POST /config/zafu HTTP/1.1\r\nHost: h\r\n"
      "Authorization: Bearer t0k\r\nContent-Length: 4\r\n\r\nbody",
      "{\"path\":\"/config/zafu\",\"token\":\"t0k\",\"body\":\"body\"}");
  _exchange (&f, "POST /config/ HTTP/1.1\r\nHost: h\r\n\r\n",
             "WWW-Authenticate: Bearer\r\n");
  _exchange (&f, "GARBAGE\r\n\r\n", "1.1 400 ");
  _stop (&f);
}

/* Guards against deferred replies sent to the wrong request, requests that are
   never answered, and replies after the operator has disconnected.  */
static void
test_deferred_replies (void **state)
{
  (void)state;
  static const char request[] = "GET /watch HTTP/1.1\r\nHost: h\r\n\r\n";
  struct fixture f;
  _start (&f,
          &(struct bgap_admin_desc){ .deferred_ms = 100, .requests_max = 1 });
  support_client_send (&f.client, request);
  support_run (f.base, &f.is_deferred);
  struct support_client second;
  support_client_start (&second, f.base, bgap_admin_port (f.admin));
  support_client_send (&second, request);
  support_client_expect (&second, f.base, "1.1 503 ");
  assert_int_equal (
      bgap_admin_reply_text (f.admin, f.deferred, 200, "later", 5), BGAP_OK);
  support_client_expect (&f.client, f.base, "\r\n\r\nlater");
  _exchange (&f, request, "1.1 503 ");
  assert_int_equal (bgap_admin_reply_text (f.admin, f.deferred, 200, "x", 1),
                    BGAP_ERR_NOT_FOUND);
  f.is_deferred = false;
  support_client_send (&second, request);
  support_run (f.base, &f.is_deferred);
  support_client_stop (&second);
  support_run_ready (f.base);
  assert_int_equal (bgap_admin_reply_text (f.admin, f.deferred, 200, "x", 1),
                    BGAP_ERR_NOT_FOUND);
  f.is_deferred = false;
  support_client_send (&f.client, request);
  support_run (f.base, &f.is_deferred);
  _stop (&f);
}

/* Guards against truncated query values.  */
static void
test_query (void **state)
{
  (void)state;
  char value[4];
  assert_int_equal (bgap_admin_query ("ab=1&a=2", "a", value, 4), BGAP_OK);
  assert_string_equal (value, "2");
  assert_int_equal (bgap_admin_query ("a", "a", value, 4), BGAP_OK);
  assert_string_equal (value, "");
  assert_int_equal (bgap_admin_query ("", "a", value, 4), BGAP_ERR_NOT_FOUND);
  assert_int_equal (bgap_admin_query ("a=1234", "a", value, 4), BGAP_ERR_FULL);
  assert_int_equal (bgap_admin_query ("a=%4", "a", value, 4),
                    BGAP_ERR_INVALID);
  assert_int_equal (bgap_admin_query ("a=%00", "a", value, 4),
                    BGAP_ERR_INVALID);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_routes),
    cmocka_unit_test (test_deferred_replies),
    cmocka_unit_test (test_query),
  };
  return cmocka_run_group_tests_name ("admin", tests, NULL, NULL);
}
