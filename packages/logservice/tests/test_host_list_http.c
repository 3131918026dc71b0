#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "../../../tests/standin/host_server.h"
#include "banyangap/logservice/host_list_http.h"
#include "support.h"

struct fetched
{
  bool done;
  enum bgap_answer answer;
  size_t count;
  struct bgap_host hosts[4];
};

static void
_on_hosts (void *user, const struct bgap_host_list_result *result)
{
  struct fetched *fetched = user;
  fetched->done = true;
  fetched->answer = result->answer;
  fetched->count = result->count;
  assert_true (result->count <= 4);
  if (result->count > 0)
    memcpy (fetched->hosts, result->hosts,
            result->count * sizeof *result->hosts);
  if (result->count == 2)
    {
      assert_string_equal (result->hosts[0].name, "entry-1");
      assert_string_equal (result->hosts[0].peer_address, "127.0.0.1:3");
      assert_string_equal (result->hosts[1].zone, "wc-paarl");
      assert_string_equal (result->hosts[1].address, "127.0.0.1:2");
      assert_string_equal (result->hosts[1].peer_address, "");
    }
}

static struct fetched
_fetch (struct event_base *base, const char *address,
        const struct bgap_host_list_http_desc *limits)
{
  struct bgap_host_list_http *http;
  struct bgap_host_list_http_desc desc = *limits;
  struct fetched fetched = { 0 };
  desc.base = base;
  desc.address = address;
  assert_int_equal (bgap_host_list_http_setup (&http, &desc, NULL), BGAP_OK);
  struct bgap_host_list_ops hosts = bgap_host_list_http_ops (http);
  assert_int_equal (hosts.fetch (hosts.context, _on_hosts, &fetched), BGAP_OK);
  support_run (base, &fetched.done);
  bgap_host_list_http_shutdown (http);
  return fetched;
}

/* Guards against hosts with swapped fields, a lag that is not applied, and an
   outage that is reported as an empty list.  */
static void
test_fetch (void **state)
{
  (void)state;
  const struct bgap_host_list_http_desc desc = { 0 };
  struct event_base *base = event_base_new ();
  struct bgap_host_server *server;
  char address[64];
  assert_int_equal (
      bgap_host_server_setup (&server, base, "127.0.0.1:0", NULL), BGAP_OK);
  snprintf (address, sizeof address, "127.0.0.1:%u",
            bgap_host_server_port (server));
  assert_int_equal (_fetch (base, address, &desc).count, 0);
  json_t *hosts = json_pack (
      "{s:[{s:s,s:s,s:s,s:s,s:s,s:s},{s:s,s:s,s:s,s:s,s:s}]}", "hosts", "name",
      "entry-1", "zone", "wc-paarl", "role", "entry", "address", "127.0.0.1:1",
      "peer_address", "127.0.0.1:3", "state", "live", "name", "listing-1",
      "zone", "wc-paarl", "role", "backend", "address", "127.0.0.1:2", "state",
      "leaving");
  bgap_host_server_put (server, hosts);
  struct fetched fetched = _fetch (base, address, &desc);
  assert_int_equal (fetched.answer, BGAP_ANSWER_OK);
  assert_int_equal (fetched.count, 2);
  assert_int_equal (fetched.hosts[0].role, BGAP_HOST_ENTRY);
  assert_int_equal (fetched.hosts[0].state, BGAP_HOST_LIVE);
  assert_int_equal (fetched.hosts[1].role, BGAP_HOST_BACKEND);
  assert_int_equal (fetched.hosts[1].state, BGAP_HOST_LEAVING);
  bgap_host_server_control (server)->lag_ms = 60000;
  bgap_host_server_put (server, json_pack ("{s:[]}", "hosts"));
  assert_int_equal (_fetch (base, address, &desc).count, 2);
  const struct bgap_host_list_http_desc one = { .hosts_max = 1 };
  assert_int_equal (_fetch (base, address, &one).answer, BGAP_ANSWER_UNKNOWN);
  bgap_host_server_control (server)->outage = 1;
  assert_int_equal (_fetch (base, address, &desc).answer, BGAP_ANSWER_REFUSED);
  bgap_host_server_shutdown (server);
  support_base_free (base);
}

/* Guards against accepting a truncated or malformed list: the missing hosts
   would be considered gone.  */
static void
test_malformed_lists_are_unknown (void **state)
{
  (void)state;
#define ENTRY                                                                 \
  "{\"name\": \"a\", \"zone\": \"z\", \"role\": \"entry\", \"address\": "     \
  "\"1.1.1.1:1\", \"peer_address\": \"1.1.1.1:2\", \"state\": \"live\"}"
  static const char *const bodies[] = {
    "{\"hosts\": [" ENTRY,
    "{\"hosts\": {}}",
    "{}",
    "{\"hosts\": [1]}",
    "{\"hosts\": [" ENTRY ", " ENTRY "]}",
    "{\"hosts\": [{\"name\": \"a\"}]}",
    "{\"hosts\": [{\"name\": \"a\", \"zone\": \"z\", \"role\": \"other\", "
    "\"address\": \"1.1.1.1:1\", \"state\": \"live\"}]}",
    "{\"hosts\": [{\"name\": \"a\", \"zone\": \"z\", \"role\": \"entry\", "
    "\"address\": \"1.1.1.1:1\", \"state\": \"live\"}]}",
  };
  for (size_t i = 0; i < sizeof bodies / sizeof *bodies; i++)
    {
      struct event_base *base = event_base_new ();
      char address[64];
      char response[1024];
      snprintf (response, sizeof response, "HTTP/1.1 200 OK\r\n\r\n%s",
                bodies[i]);
      struct support_canned *canned
          = support_canned_new (base, response, address, sizeof address);
      struct fetched fetched
          = _fetch (base, address, &(struct bgap_host_list_http_desc){ 0 });
      assert_int_equal (fetched.answer, BGAP_ANSWER_UNKNOWN);
      assert_int_equal (fetched.count, 0);
      support_canned_free (canned);
      support_base_free (base);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_fetch),
    cmocka_unit_test (test_malformed_lists_are_unknown),
  };
  return cmocka_run_group_tests_name ("host_list_http", tests, NULL, NULL);
}
