#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "address.h"
#include "banyangap/gateway/headers.h"
#include "banyangap/gateway/target.h"

static enum bgap_status
_parse (const char *text, struct bgap_target *target)
{
  return bgap_target_parse (text, strlen (text), target, NULL);
}

/* Guards against different keys for two encodings of the same path segment. */
static void
test_keys (void **state)
{
  (void)state;
  struct bgap_target a;
  struct bgap_target b;
  assert_int_equal (_parse ("/zafu/listing/abc/x?/y", &a), BGAP_OK);
  assert_int_equal (_parse ("/zafu/listing/%61b%63", &b), BGAP_OK);
  assert_string_equal (a.owner, "zafu");
  assert_string_equal (a.service, "listing");
  assert_int_equal (a.path_offset, 13);
  assert_int_equal (a.path_size, 19);
  assert_int_equal (a.key_size, 3);
  assert_int_equal (b.key_size, 3);
  assert_memory_equal (a.key, b.key, 3);
  assert_int_equal (_parse ("/o/s/", &a), BGAP_OK);
  assert_int_equal (a.key_size, 0);
  assert_int_equal (_parse ("/o/s//x", &a), BGAP_OK);
  assert_int_equal (a.key_size, 0);
}

/* Guards against accepting paths without an owner, a service or an unambiguous
   key. A server would resolve a dot segment to another key.  */
static void
test_bad_targets (void **state)
{
  (void)state;
  static const char *const targets[] = {
    "",
    "x",
    "*",
    "/",
    "/o",
    "/o/s",
    "/o/s?x/",
    "//s/k",
    "/o//k",
    "/o/s%41/k",
    "/o/s/%",
    "/o/s/%4",
    "/o/s/%4g",
    "/../s/k",
    "/o/../k",
    "/o/s/..",
    "/o/s/.",
    "/o/s/%2e",
    "/o/s/.%2E/x",
    "/o/s/k/../j",
    "/o/s/k/%2e",
    "/o/s/k/./j?x",
    "/\xc3\xa5/s/k",
  };
  struct bgap_target target;
  char long_key[BGAP_TARGET_KEY_MAX + 32];
  for (size_t i = 0; i < sizeof targets / sizeof *targets; i++)
    if (_parse (targets[i], &target) != BGAP_ERR_INVALID)
      fail_msg ("\"%s\" was accepted", targets[i]);
  int size = snprintf (long_key, sizeof long_key, "/o/s/");
  memset (long_key + size, 'k', BGAP_TARGET_KEY_MAX + 1);
  assert_int_equal (bgap_target_parse (long_key,
                                       (size_t)size + BGAP_TARGET_KEY_MAX,
                                       &target, NULL),
                    BGAP_OK);
  assert_int_equal (bgap_target_parse (long_key,
                                       (size_t)size + BGAP_TARGET_KEY_MAX + 1,
                                       &target, NULL),
                    BGAP_ERR_INVALID);
}

/* Guards against fields that a caller strips by listing them in Connection, or
   injects by control characters.  */
static void
test_hop_by_hop_fields (void **state)
{
  (void)state;
  struct bgap_headers headers = { 0 };
  static const char *const fields[][2] = {
    { "Connection", "x-a, Bgap-Deadline-Ms" },
    { "X-A", "1" },
    { "Bgap-Deadline-Ms", "7" },
    { "connection", "x-b,idempotency-key" },
    { "Idempotency-Key", "k" },
    { "X-B", "1" },
    { "TE", "trailers" },
    { "X-C", "1" },
  };
  for (size_t i = 0; i < sizeof fields / sizeof *fields; i++)
    assert_int_equal (bgap_headers_add (&headers, fields[i][0], fields[i][1]),
                      BGAP_OK);
  bgap_headers_remove_hop_by_hop (&headers);
  assert_int_equal (headers.count, 3);
  assert_string_equal (headers.items[0].name, "Bgap-Deadline-Ms");
  assert_string_equal (headers.items[1].name, "Idempotency-Key");
  assert_string_equal (headers.items[2].name, "X-C");
  assert_int_equal (bgap_headers_add (&headers, "A", "x\r\nB: y"),
                    BGAP_ERR_INVALID);
  assert_int_equal (bgap_headers_add (&headers, "A:", "x"), BGAP_ERR_INVALID);
  assert_int_equal (bgap_headers_add (&headers, "", "x"), BGAP_ERR_INVALID);
  while (headers.count < BGAP_HEADERS_COUNT_MAX)
    assert_int_equal (bgap_headers_add (&headers, "A", ""), BGAP_OK);
  assert_int_equal (bgap_headers_add (&headers, "A", ""), BGAP_ERR_FULL);
  bgap_headers_shutdown (&headers);
}

/* Guards against host names, which would need a DNS lookup, and against ports
   that differ from the text.  */
static void
test_addresses (void **state)
{
  (void)state;
  static const char *const good[]
      = { "127.0.0.1:0", "127.0.0.1:65535", "[::1]:80", "[::1]:0" };
  static const char *const bad[] = { "",
                                     "127.0.0.1",
                                     "localhost:80",
                                     "127.0.0.1:65536",
                                     "127.0.0.1:x",
                                     "127.0.0.1:",
                                     ":80",
                                     "127.0.0.1:00" };
  struct bgap_address address;
  char text[BGAP_ADDRESS_TEXT_SIZE];
  for (size_t i = 0; i < sizeof good / sizeof *good; i++)
    {
      assert_int_equal (bgap_address_parse (good[i], &address, NULL), BGAP_OK);
      bgap_address_print ((struct sockaddr *)&address.storage, text);
      assert_string_equal (text, good[i]);
    }
  for (size_t i = 0; i < sizeof bad / sizeof *bad; i++)
    if (bgap_address_parse (bad[i], &address, NULL) != BGAP_ERR_INVALID)
      fail_msg ("\"%s\" was accepted", bad[i]);
  assert_int_equal (bgap_address_parse (NULL, &address, NULL),
                    BGAP_ERR_INVALID);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_keys),
    cmocka_unit_test (test_bad_targets),
    cmocka_unit_test (test_hop_by_hop_fields),
    cmocka_unit_test (test_addresses),
  };
  return cmocka_run_group_tests_name ("target", tests, NULL, NULL);
}
