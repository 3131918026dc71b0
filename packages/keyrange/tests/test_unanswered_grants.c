#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "fixture.h"

/* Servers that leave grants unanswered for a while, although they can be
   reached, as when they carry out calls late. Guards against keys that wait
   because of it long after it has ended.  */

#define START_MS 100
#define STEP_MS 5
#define ANSWER_MS 5
#define SERVERS 4
#define CALLS_MAX 64

/* First backoff of a server, and time for the calls that follow.  */
#define BACKOFF_MS 2000
#define CALLS_MS 500

/**
 * struct reply - a reply that arrives at @at_ms
 */
struct reply
{
  uint32_t call;
  enum bgap_granter_result result;
  int64_t at_ms;
};

/**
 * struct service - a granter and its servers, "s0" and so on, which have equal
 * parts of the keys
 * @silent: the server leaves grants unanswered
 * @connected: there is a connection to it
 * @granted_ms: when it last answered a grant
 */
struct service
{
  struct bgap_granter *granter;
  int64_t now_ms;
  struct reply replies[CALLS_MAX];
  uint32_t reply_count;
  bool silent[SERVERS];
  bool connected[SERVERS];
  int64_t granted_ms[SERVERS];
};

static const char *const names[SERVERS] = { "s0", "s1", "s2", "s3" };

static void
service_setup (struct service *s)
{
  struct bgap_assignment record = assignment_of ("n0", INCARNATION, 3);
  const uint32_t part = BGAP_KEY_COUNT / SERVERS;
  *s = (struct service){ .granter = granter_new (), .now_ms = START_MS };
  for (uint32_t i = 0; i < SERVERS; i++)
    {
      add_server (s->granter, s->now_ms, names[i], 0);
      set_holder (&record, i * part, (i + 1) * part - 1, names[i]);
    }
  bgap_granter_on_loaded (s->granter, s->now_ms);
  bgap_granter_on_assignment (s->granter, s->now_ms, &record);
  bgap_assignment_shutdown (&record);
}

static void
reply_after (struct service *s, uint32_t call, enum bgap_granter_result result,
             int64_t after_ms)
{
  assert_true (s->reply_count < CALLS_MAX);
  s->replies[s->reply_count++]
      = (struct reply){ call, result, s->now_ms + after_ms };
}

static void
on_call (struct service *s, const struct bgap_granter_action *action)
{
  uint32_t server = (uint32_t)(action->server[1] - '0');
  bool is_grant = action->kind == BGAP_GRANTER_GRANT;
  if (action->kind == BGAP_GRANTER_CHECK
      || (is_grant && !s->connected[server]))
    {
      s->connected[server] = true;
      reply_after (s, action->call, BGAP_GRANTER_RECONNECTED, ANSWER_MS);
    }
  else if (is_grant && s->silent[server])
    {
      s->connected[server] = false;
      reply_after (s, action->call, BGAP_GRANTER_LOST, action->timeout_ms);
    }
  else
    {
      if (is_grant)
        s->granted_ms[server] = s->now_ms;
      reply_after (s, action->call, BGAP_GRANTER_DONE, ANSWER_MS);
    }
}

static void
deliver_replies (struct service *s)
{
  for (uint32_t i = 0; i < s->reply_count;)
    {
      struct reply reply = s->replies[i];
      if (reply.at_ms > s->now_ms)
        {
          i++;
          continue;
        }
      s->replies[i] = s->replies[--s->reply_count];
      bgap_granter_on_reply (s->granter, s->now_ms, reply.call, reply.result,
                             "");
    }
}

static void
run (struct service *s, int64_t for_ms)
{
  struct bgap_granter_action action;
  for (int64_t end_ms = s->now_ms + for_ms; s->now_ms < end_ms;
       s->now_ms += STEP_MS)
    {
      deliver_replies (s);
      bgap_granter_on_view (s->granter, s->now_ms, s->now_ms - 1);
      bgap_granter_tick (s->granter, s->now_ms);
      while (bgap_granter_next_action (s->granter, &action))
        if (action.kind == BGAP_GRANTER_APPEND)
          append_record (s->granter, s->now_ms, &action);
        else if (action.call != 0)
          on_call (s, &action);
    }
}

static uint64_t
moves (const struct service *s)
{
  return bgap_granter_counts (s->granter).moves;
}

/* Guards against all keys at the one server that answers, which is overloaded
   until they have been divided again.  */
static void
test_keys_stay_if_most_servers_do_not_answer (void **state)
{
  struct service s;
  (void)state;
  service_setup (&s);
  run (&s, 3000);
  for (int i = 1; i < SERVERS; i++)
    s.silent[i] = true;
  run (&s, 6000);
  for (int i = 1; i < SERVERS; i++)
    s.silent[i] = false;
  int64_t answer_ms = s.now_ms;
  run (&s, 3000);
  assert_int_equal (moves (&s), 0);
  for (int i = 0; i < SERVERS; i++)
    assert_true (s.granted_ms[i] > answer_ms);
  bgap_granter_shutdown (s.granter);
}

/* The other side: what one of them does not answer for goes to the others.  */
static void
test_keys_of_one_silent_server_move (void **state)
{
  struct service s;
  (void)state;
  service_setup (&s);
  run (&s, 3000);
  s.silent[1] = true;
  run (&s, 6000);
  assert_true (moves (&s) > 0);
  bgap_granter_shutdown (s.granter);
}

/* A server that has left some grants unanswered, each of which it answered
   when it was repeated. Guards against a backoff that grows with each of them,
   for ever.  */
static void
test_backoff_starts_anew_after_an_answer (void **state)
{
  struct service s;
  (void)state;
  service_setup (&s);
  for (int i = 0; i < 6; i++)
    {
      run (&s, 3000);
      s.silent[1] = true;
      run (&s, 600);
      s.silent[1] = false;
    }
  run (&s, 3000);
  assert_int_equal (moves (&s), 0);
  s.silent[1] = true;
  run (&s, 6000);
  s.silent[1] = false;
  uint64_t moved = moves (&s);
  assert_true (moved > 0);
  int64_t answer_ms = s.now_ms;
  run (&s, BACKOFF_MS + CALLS_MS + 1000);
  /* It is given keys again, as the others have more than their share.  */
  assert_true (s.granted_ms[1] > answer_ms);
  bgap_granter_shutdown (s.granter);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_keys_stay_if_most_servers_do_not_answer),
    cmocka_unit_test (test_keys_of_one_silent_server_move),
    cmocka_unit_test (test_backoff_starts_anew_after_an_answer),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
