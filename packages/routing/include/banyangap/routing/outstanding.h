#ifndef BANYANGAP_ROUTING_OUTSTANDING_H
#define BANYANGAP_ROUTING_OUTSTANDING_H

/*
 * Work that a server still has to do, in milliseconds, and how long it takes:
 * the requests of this instance by their expected cost, those of other
 * instances by the load reports of the server. The last report loses weight
 * with its age against the mean of the reports of that server.
 *
 *   struct bgap_outstanding work = { 0 };
 *   bgap_outstanding_add (&work, now_ms, attempt, cost_ms);
 *   bgap_outstanding_report (&work, now_ms, others, slowdown_percent);
 *   double ms = bgap_outstanding_end_ms (&work, now_ms, slots, &usual,
 *                                        cost_ms);
 *   bgap_outstanding_remove (&work, attempt, cost_ms);
 */

#include <stdbool.h>
#include <stdint.h>

/* Own requests whose age is known; that of others is taken as 0.  */
#define BGAP_OUTSTANDING_OWN_MAX 8

/**
 * struct bgap_outstanding_own - a request of this instance at the server
 */
struct bgap_outstanding_own
{
  uint32_t id;
  double cost_ms;
  int64_t sent_ms;
};

/**
 * struct bgap_outstanding - work of a server; zero-initialised it has none
 * @own: requests of this instance, @own_count of them
 * @more_count, @more_ms: number and cost of further ones
 * @has_report: @others and @slowdown were reported, at @reported_ms
 * @others: requests of other instances
 * @mean_others: mean of @others over its reports, @mean_reports of them
 * @slowdown: how long work takes on its host, 1 as usual
 * @ratio_mean: mean time that requests took in relation to their cost, from
 *   @ratio_samples samples
 * @ratio_offset: bgap_outstanding_ratio() - 1
 * @has_idle: @idle_running and @idle_waiting are set
 * @idle_running, @idle_waiting: expected wait without own requests and with an
 *   old report, as a multiple of the remaining cost of a running request and
 *   of the cost of a waiting one
 */
struct bgap_outstanding
{
  struct bgap_outstanding_own own[BGAP_OUTSTANDING_OWN_MAX];
  uint32_t own_count;
  uint32_t more_count;
  double more_ms;
  bool has_report;
  uint32_t others;
  double mean_others;
  double mean_reports;
  double slowdown;
  int64_t reported_ms;
  double ratio_mean;
  double ratio_samples;
  double ratio_offset;
  bool has_idle;
  double idle_running;
  double idle_waiting;
};

/**
 * struct bgap_outstanding_usual - what is usual for the servers of a service
 * @others_per_slot: requests of other instances, by fresh reports; negative
 *   if there were none
 * @mean_ms: mean cost of a request
 * @remaining_ms: mean cost that a running request still has
 */
struct bgap_outstanding_usual
{
  double others_per_slot;
  double mean_ms;
  double remaining_ms;
};

/**
 * bgap_outstanding_usual_report() - update @others_per_slot with a report
 */
void bgap_outstanding_usual_report (struct bgap_outstanding_usual *usual,
                                    uint32_t others, uint32_t slots);

/**
 * bgap_outstanding_add() - a request was sent to the server
 * @id: identifies it in bgap_outstanding_remove()
 * @cost_ms: its expected cost
 */
void bgap_outstanding_add (struct bgap_outstanding *work, int64_t now_ms,
                           uint32_t id, double cost_ms);

/**
 * bgap_outstanding_remove() - a request has ended or was cancelled
 * @cost_ms: as in bgap_outstanding_add()
 */
void bgap_outstanding_remove (struct bgap_outstanding *work, uint32_t id,
                              double cost_ms);

/**
 * bgap_outstanding_report() - apply a load report
 * @others: requests of other instances that run or wait there
 * @slowdown_percent: how long work takes on its host, 100 as usual; 0 if not
 *   stated
 */
void bgap_outstanding_report (struct bgap_outstanding *work, int64_t now_ms,
                              uint32_t others, uint32_t slowdown_percent);

/**
 * bgap_outstanding_precompute() - compute in advance what a server without own
 * requests needs once its report is old
 *
 * Call it after a report. Without it the results are the same, and slower.
 */
void bgap_outstanding_precompute (struct bgap_outstanding *work,
                                  uint32_t slots,
                                  const struct bgap_outstanding_usual *usual);

/**
 * bgap_outstanding_reset() - forget reports and the ratio of a process that
 * has ended; the requests of this instance stay until they are removed
 */
void bgap_outstanding_reset (struct bgap_outstanding *work);

/**
 * bgap_outstanding_slowdown() - how long work takes on the host, 1 as usual;
 * a report approaches 1 with its age
 */
double bgap_outstanding_slowdown (const struct bgap_outstanding *work,
                                  int64_t now_ms);

/**
 * bgap_outstanding_learn_ratio() - a request took @ratio times its expected
 * cost, with the slowdown of the host factored out
 */
void bgap_outstanding_learn_ratio (struct bgap_outstanding *work,
                                   double ratio);

/**
 * bgap_outstanding_ratio() - how long the server takes in relation to the
 * cost; near 1 with few samples
 */
double bgap_outstanding_ratio (const struct bgap_outstanding *work);

/**
 * bgap_outstanding_own_ms() - cost that remains of the requests of this
 * instance
 */
double bgap_outstanding_own_ms (const struct bgap_outstanding *work,
                                int64_t now_ms);

/**
 * bgap_outstanding_others() - expected number of requests of other instances
 */
double bgap_outstanding_others (const struct bgap_outstanding *work,
                                int64_t now_ms, uint32_t slots,
                                const struct bgap_outstanding_usual *usual);

/**
 * bgap_outstanding_work_ms() - cost that remains of all requests
 */
double bgap_outstanding_work_ms (const struct bgap_outstanding *work,
                                 int64_t now_ms, uint32_t slots,
                                 const struct bgap_outstanding_usual *usual);

/**
 * bgap_outstanding_wait_ms() - expected wait for a slot of the server
 */
double bgap_outstanding_wait_ms (const struct bgap_outstanding *work,
                                 int64_t now_ms, uint32_t slots,
                                 const struct bgap_outstanding_usual *usual);

/**
 * bgap_outstanding_end_ms() - expected time until a request is answered that
 * is sent now
 */
double bgap_outstanding_end_ms (const struct bgap_outstanding *work,
                                int64_t now_ms, uint32_t slots,
                                const struct bgap_outstanding_usual *usual,
                                double cost_ms);

#endif
