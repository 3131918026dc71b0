#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/logservice/http_client.h"
#include "support.h"

#define BODY_SIZE_MAX 65536
#define FLOOD_SIZE (8u << 20)
#define TIMEOUT_MS 10000
#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

/**
 * struct flood - a response without end
 * @begin: sent once
 * @unit: repeated
 */
struct flood
{
  const char *what;
  const char *begin;
  const char *unit;
};

static const struct flood floods[] = {
  { "status line", "HTTP/1.1 200 ", "x" },
  { "field of a head", "HTTP/1.1 200 OK\r\nX: ", "y" },
  { "fields of a head", "HTTP/1.1 200 OK\r\n", "X: y\r\n" },
  { "interim responses", "", "HTTP/1.1 100 Continue\r\nX: y\r\n\r\n" },
  { "body without a length", "HTTP/1.1 200 OK\r\n\r\n", "x" },
  { "body with a length",
    "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", "x" },
  { "chunks", CHUNKED, "1\r\nx\r\n" },
  { "size of a chunk", CHUNKED, "0" },
  { "extension of a chunk", CHUNKED "1;", "x" },
  { "trailer", CHUNKED "0\r\n", "T: t\r\n" },
};

struct outcome
{
  bool done;
  int status;
  char message[128];
};

static void
_on_done (void *user, const struct bgap_http_response *response)
{
  struct outcome *outcome = user;
  assert_false (outcome->done);
  outcome->done = true;
  outcome->status = response->status;
  if (response->message != NULL)
    snprintf (outcome->message, sizeof outcome->message, "%s",
              response->message);
}

static char *
_flood_bytes (const struct flood *flood)
{
  size_t size = strlen (flood->begin);
  size_t unit_size = strlen (flood->unit);
  char *bytes = malloc (size + FLOOD_SIZE + unit_size + 1);
  assert_non_null (bytes);
  memcpy (bytes, flood->begin, size);
  for (; size < FLOOD_SIZE; size += unit_size)
    memcpy (bytes + size, flood->unit, unit_size);
  bytes[size] = '\0';
  return bytes;
}

static struct outcome
_run (const char *bytes)
{
  struct event_base *base = event_base_new ();
  struct bgap_http_client *client;
  struct outcome outcome = { 0 };
  char address[64];
  struct support_canned *server
      = support_canned_new (base, bytes, address, sizeof address);
  assert_int_equal (
      bgap_http_client_setup (&client, base, address, BODY_SIZE_MAX, NULL),
      BGAP_OK);
  assert_int_equal (
      bgap_http_client_start (
          client, &(struct bgap_http_call_desc){ .method = EVHTTP_REQ_GET,
                                                 .path = "/",
                                                 .timeout_ms = TIMEOUT_MS,
                                                 .done = _on_done,
                                                 .user = &outcome }),
      BGAP_OK);
  support_run (base, &outcome.done);
  bgap_http_client_shutdown (client);
  support_canned_free (server);
  support_base_free (base);
  return outcome;
}

/* Guards against a response without end that is kept in memory until the time
   limit of the call: evhttp does not bound the line of a chunk's size, nor the
   number of interim responses.  */
static void
test_responses_without_end (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof floods / sizeof *floods; i++)
    {
      char *bytes = _flood_bytes (&floods[i]);
      struct outcome outcome = _run (bytes);
      free (bytes);
      if (strcmp (outcome.message, "the response is too large") != 0
          && strcmp (outcome.message, "the response is malformed") != 0)
        fail_msg ("%s: status %d, not ended by a limit: %s", floods[i].what,
                  outcome.status, outcome.message);
    }
}

/* Guards against a limit that ends responses which it allows.  */
static void
test_largest_response_in_small_chunks (void **state)
{
  static const struct flood chunks
      = { "", CHUNKED, "20\r\n01234567890123456789012345678901\r\n" };
  char *bytes = _flood_bytes (&chunks);
  size_t unit_size = strlen (chunks.unit);
  size_t size = strlen (CHUNKED) + BODY_SIZE_MAX / 32 * unit_size;
  (void)state;
  memcpy (bytes + size, "0\r\n\r\n", 6);
  struct outcome outcome = _run (bytes);
  free (bytes);
  assert_int_equal (outcome.status, 200);
}

/* Guards against a response that breaks off, at any byte of its head or its
   body, and counts as complete.  */
static void
test_cut_response_is_no_response (void **state)
{
  static const char *const responses[] = {
    "HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 4\r\n\r\nbody",
    CHUNKED "4\r\nbody\r\n0\r\n\r\n",
  };
  (void)state;
  for (size_t i = 0; i < sizeof responses / sizeof *responses; i++)
    for (size_t size = 0; size <= strlen (responses[i]); size++)
      {
        char *bytes = strndup (responses[i], size);
        int status = _run (bytes).status;
        free (bytes);
        assert_int_equal (status, size < strlen (responses[i]) ? 0 : 200);
      }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_responses_without_end),
    cmocka_unit_test (test_largest_response_in_small_chunks),
    cmocka_unit_test (test_cut_response_is_no_response),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
