#ifndef BANYANGAP_ROUTING_WARM_CHECK_H
#define BANYANGAP_ROUTING_WARM_CHECK_H

/*
 * Whether this instance knows that a backend server is warm. What it has heard
 * does not count for ever: a server may turn cold at any moment, and an
 * instance that does not hear of it must not send it more than a cold server
 * tolerates.
 *
 *   struct bgap_warm_check check = { 0 };
 *   bgap_warm_check_set_view_time (&check, registrations_read_ms);
 *   if (bgap_warm_check_is_recent (&check, now_ms)
 *       || bgap_warm_check_is_covered (&check, now_ms))
 *     bgap_warm_check_use (&check);
 *   else if (bgap_warm_check_may_begin (&check, now_ms))
 *     {
 *       bgap_warm_check_begin (&check, now_ms);
 *       ... send a health check to the server ...
 *     }
 *   bgap_warm_check_end (&check, now_ms, BGAP_WARM_CHECK_WARM);
 *
 * The registrations of the servers tell it while they are read often enough,
 * unless there is a sign that the process of a server has ended since.
 * Otherwise a health check of the server covers a few requests within a
 * short time, so that a server that turns cold just after it gets no more than
 * these from this instance.
 */

#include <stdbool.h>
#include <stdint.h>

/* Age up to which the view of the registrations is relied on: the interval at
   which they are read, and the time until they have arrived.  */
#define BGAP_WARM_VIEW_MS 1300

/* What a health check that found the server warm covers. All instances
   together may have checked the server just before it turned cold.  */
#define BGAP_WARM_CHECK_VALID_MS 500
#define BGAP_WARM_CHECK_REQUESTS 3u

/* Time from one health check of a server to the next one if there are others
   to check, so that the requests of this instance do not concentrate on a
   server that others avoid.  */
#define BGAP_WARM_CHECK_INTERVAL_MS 1000

/* Time from a health check without a result to the next one; doubles with each
   that fails, up to the longest.  */
#define BGAP_WARM_CHECK_RETRY_MS 200
#define BGAP_WARM_CHECK_RETRY_MAX_MS 1600

/* Time after which a health check counts as slow: servers answer at once,
   unless they are busy or do not answer at all.  */
#define BGAP_WARM_CHECK_SLOW_MS 50

/* After a sign that its process has ended, a server counts as warm again when
   the registrations are known as of this time later: a registration lapses
   after three heartbeats of a second, and a new process is registered by
   then.  */
#define BGAP_WARM_SUSPECT_MS 3500

/**
 * enum bgap_warm_check_result - result of a health check
 */
enum bgap_warm_check_result
{
  BGAP_WARM_CHECK_FAILED,
  BGAP_WARM_CHECK_WARM,
  BGAP_WARM_CHECK_COLD, /* as set by bgap_router_server_cold() */
  BGAP_WARM_CHECK_RESULT_COUNT
};

/**
 * struct bgap_warm_check - zeroed: the registrations are not tracked, and the
 * server counts as warm; fields are private
 * @read_ms: time as of which the registrations are known
 * @checked_ms: when a health check was sent that found the server warm
 * @covered: requests that it still covers
 * @suspect_ms: last sign that its process may have ended, 0 for none
 * @begun_ms: when the last health check was sent
 * @is_running: a health check is running
 * @is_outdated: the running one was sent to a former process of the server
 * @failures: consecutive health checks without a result
 * @retry_at_ms: no health check before
 */
struct bgap_warm_check
{
  int64_t read_ms;
  int64_t checked_ms;
  uint32_t covered;
  int64_t suspect_ms;
  int64_t begun_ms;
  bool is_running;
  bool is_outdated;
  uint32_t failures;
  int64_t retry_at_ms;
};

/**
 * bgap_warm_check_set_view_time() - the registrations are known as of @read_ms
 */
void bgap_warm_check_set_view_time (struct bgap_warm_check *check,
                                    int64_t read_ms);

/**
 * bgap_warm_check_suspect() - no connection to the server was opened, so that
 * its process may have ended; a new one is cold
 *
 * A health check that is sent later tells, or the registrations. An attempt
 * that breaks is no such sign: where servers break many, or close connections
 * because they are full, each would cost a health check.
 */
void bgap_warm_check_suspect (struct bgap_warm_check *check, int64_t now_ms);

/**
 * bgap_warm_check_is_recent() - whether the registrations are relied on
 */
bool bgap_warm_check_is_recent (const struct bgap_warm_check *check,
                                int64_t now_ms);

/**
 * bgap_warm_check_is_covered() - whether a request may be sent because of a
 * health check
 */
bool bgap_warm_check_is_covered (const struct bgap_warm_check *check,
                                 int64_t now_ms);

/**
 * bgap_warm_check_use() - a request is sent
 */
void bgap_warm_check_use (struct bgap_warm_check *check);

/**
 * bgap_warm_check_may_begin() - whether a health check may be sent now
 */
bool bgap_warm_check_may_begin (const struct bgap_warm_check *check,
                                int64_t now_ms);

/**
 * bgap_warm_check_is_awaited() - whether a health check is running that may
 * still be answered soon
 */
bool bgap_warm_check_is_awaited (const struct bgap_warm_check *check,
                                 int64_t now_ms);

/**
 * bgap_warm_check_has_rested() - whether the last health check was sent
 * BGAP_WARM_CHECK_INTERVAL_MS ago or more
 */
bool bgap_warm_check_has_rested (const struct bgap_warm_check *check,
                                 int64_t now_ms);

/**
 * bgap_warm_check_begin() - a health check is sent
 */
void bgap_warm_check_begin (struct bgap_warm_check *check, int64_t now_ms);

/**
 * bgap_warm_check_restarted() - the server has another process; the result of
 * a running health check does not count
 */
void bgap_warm_check_restarted (struct bgap_warm_check *check);

/**
 * bgap_warm_check_reset() - the same, and the end of a running health check
 * will not be reported
 */
void bgap_warm_check_reset (struct bgap_warm_check *check);

/**
 * bgap_warm_check_end() - the running health check has ended
 */
void bgap_warm_check_end (struct bgap_warm_check *check, int64_t now_ms,
                          enum bgap_warm_check_result result);

#endif
