#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "banyangap/ownership/engine.h"

/*
 * Two cells with one instance and one server each. The configuration moves all
 * slices of a service between them.
 */

#define SERVICE "listing"
#define SLICES 8
#define KEYS 16
#define STEP_MS 10

struct cell
{
  struct bgap_engine *engine;
  struct bgap_holder *holder;
  struct cell *other;
  const char *server;
  const char *instance;
  uint64_t end;
};

static struct cell cells[2];
static int64_t now_ms;

static bool
_released_elsewhere (void *context, const char *service, uint32_t slice,
                     uint64_t config)
{
  const struct cell *cell = context;
  return bgap_engine_slice_released (cell->other->engine, service, slice,
                                     config);
}

static void
_configure (struct cell *cell, uint64_t config, bool home)
{
  unsigned char slices[SLICES];
  memset (slices, home, sizeof slices);
  const struct bgap_engine_service service
      = { .name = SERVICE,
          .slices = SLICES,
          .home = slices,
          .config = config,
          .released_elsewhere = _released_elsewhere,
          .context = cell };
  assert_int_equal (
      bgap_engine_set_services (cell->engine, &service, 1, now_ms), BGAP_OK);
}

static int
_setup (void **state)
{
  (void)state;
  now_ms = 1000;
  for (uint32_t i = 0; i < 2; i++)
    {
      struct cell *cell = &cells[i];
      struct bgap_error err = { 0 };
      *cell = (struct cell){ .other = &cells[1 - i],
                             .server = i ? "s1" : "s0",
                             .instance = i ? "e1" : "e0",
                             .end = 1 };
      assert_int_equal (bgap_engine_setup (&cell->engine,
                                           &(struct bgap_engine_desc){
                                               .cell = i ? "c1" : "c0",
                                               .self = cell->instance,
                                               .zone = "z",
                                               .incarnation = i + 1,
                                               .now_ms = now_ms },
                                           &err),
                        BGAP_OK);
      assert_int_equal (bgap_holder_setup (&cell->holder,
                                           &(struct bgap_holder_desc){
                                               .incarnation = i + 7 }),
                        BGAP_OK);
      const struct bgap_engine_member member
          = { .name = cell->instance, .zone = "z" };
      const struct bgap_engine_server server = {
        .name = cell->server, .zone = "z", .service = SERVICE, .slots = 4
      };
      bgap_engine_set_members (cell->engine, &member, 1, now_ms);
      bgap_engine_set_servers (cell->engine, &server, 1, now_ms);
      _configure (cell, 1, i == 0);
    }
  return 0;
}

static int
_teardown (void **state)
{
  (void)state;
  for (uint32_t i = 0; i < 2; i++)
    {
      bgap_engine_shutdown (cells[i].engine);
      bgap_holder_shutdown (cells[i].holder);
    }
  return 0;
}

static void
_execute (struct cell *cell, const struct bgap_engine_action *action)
{
  struct bgap_buffer reply = { 0 };
  struct bgap_buffer body = { 0 };
  struct bgap_error err = { 0 };
  bgap_buffer_append (&body, action->bytes.data, action->bytes.size);
  if (action->kind == BGAP_ACTION_APPEND)
    bgap_engine_on_record (cell->engine, cell->end++, body.data, body.size,
                           now_ms);
  else if (action->kind == BGAP_ACTION_READ_END)
    bgap_engine_on_log_end (cell->engine, BGAP_OK, cell->end, now_ms);
  else if (action->kind == BGAP_ACTION_HELLO)
    bgap_holder_on_hello (cell->holder, now_ms, &reply);
  else if (action->kind == BGAP_ACTION_RENEW)
    bgap_holder_on_renew (cell->holder, body.data, body.size, now_ms, &reply,
                          &err);
  if (reply.size > 0)
    bgap_engine_on_server_reply (cell->engine, cell->server, reply.data,
                                 reply.size, now_ms);
  bgap_buffer_shutdown (&reply);
  bgap_buffer_shutdown (&body);
}

/* Number of keys that a cell's server holds; no key may be held by both.  */
static uint32_t
_served (uint32_t index)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < KEYS; i++)
    {
      char key[16];
      bool held[2];
      size_t size = (size_t)snprintf (key, sizeof key, "k%u", i);
      for (uint32_t j = 0; j < 2; j++)
        held[j] = bgap_holder_may_serve (cells[j].holder, SERVICE, key, size,
                                         now_ms);
      assert_false (held[0] && held[1]);
      count += held[index];
    }
  return count;
}

static void
_run (int64_t ms)
{
  for (; ms > 0; ms -= STEP_MS, now_ms += STEP_MS)
    for (uint32_t i = 0; i < 2; i++)
      {
        struct bgap_engine_action action;
        bgap_engine_tick (cells[i].engine, now_ms);
        while (bgap_engine_next_action (cells[i].engine, &action))
          _execute (&cells[i], &action);
        _served (i);
      }
}

/* Guards against a cell that grants slices while the old cell may still grant
   them or has valid leases for them, whichever cell gets the new configuration
   first, and against slices that cannot move back.  */
static void
test_slices_move_between_cells (void **state)
{
  (void)state;
  _run (3000);
  assert_int_equal (_served (0), KEYS);
  _configure (&cells[1], 2, true);
  _run (3000);
  assert_int_equal (_served (0), KEYS);
  _configure (&cells[0], 2, false);
  _run (2000);
  assert_int_equal (_served (1), KEYS);
  _configure (&cells[1], 3, false);
  _run (2000);
  assert_int_equal (_served (0) + _served (1), 0);
  _configure (&cells[0], 3, true);
  _run (2000);
  assert_int_equal (_served (0), KEYS);
}

/* Guards against a handover that does not wait until the lease of a server
   that does not reply has ended.  */
static void
test_lost_server_in_old_cell (void **state)
{
  (void)state;
  _run (3000);
  cells[0].server = "gone";
  _configure (&cells[0], 2, false);
  _configure (&cells[1], 2, true);
  _run (500);
  assert_int_equal (_served (1), 0);
  _run (2000);
  assert_int_equal (_served (1), KEYS);
}

int
main (void)
{
#define TEST(name) cmocka_unit_test_setup_teardown (name, _setup, _teardown)
  const struct CMUnitTest tests[] = {
    TEST (test_slices_move_between_cells),
    TEST (test_lost_server_in_old_cell),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
