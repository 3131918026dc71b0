#include "banyangap/routing/outstanding.h"

#include <math.h>

/* Share of its cost that a request has left at least, however long it has run:
   one that takes long tends to take longer.  */
#define REMAINING_SHARE_MIN 0.3

/* Age at which a reported slowdown no longer counts; hosts state a new figure
   several times a second.  */
#define SLOWDOWN_VALID_MS 500.0

/* Bounds of a reported slowdown and of a learned ratio.  */
#define SLOWDOWN_MIN 0.1
#define SLOWDOWN_MAX 20.0
#define RATIO_MIN 0.2
#define RATIO_MAX 5.0

/* The ratio of a server starts at 1 with the weight of RATIO_PRIOR_SAMPLES
   samples. A new sample weighs at least 1 / RATIO_MEMORY_SAMPLES.  */
#define RATIO_PRIOR_SAMPLES 3.0
#define RATIO_MEMORY_SAMPLES 24.0

/* Weight of a new report in the running mean of all servers of a service.  */
#define USUAL_WEIGHT 0.02

/* Age at which a report no longer counts against the mean of its server, in
   relation to the mean cost. Other instances act on the same report: in
   bench_routing_uneven with 300 instances, reports that counted for longer
   made them refill the servers that had been idle, and a fifth of the attempts
   was refused. With 8 instances there was no difference.  */
#define REPORT_VALID_SHARE 0.06

/* In the mean of the reports of a server a new one weighs at least
   1 / MEAN_REPORTS_MAX. The mean of the service counts as much as
   MEAN_PRIOR_REPORTS reports of that server.  */
#define MEAN_REPORTS_MAX 40.0
#define MEAN_PRIOR_REPORTS 8.0

/* Where the number N of requests is uncertain with variance V, the expected
   excess over a limit is about half of d + sqrt (d^2 + EXCESS_SPREAD * V) with
   d = mean N - limit: exact for V = 0 and at d = 0 of a normal
   distribution.  */
#define EXCESS_SPREAD 0.64

void
bgap_outstanding_usual_report (struct bgap_outstanding_usual *usual,
                               uint32_t others, uint32_t slots)
{
  double per_slot = (double)others / (slots > 0 ? slots : 1);
  if (usual->others_per_slot < 0)
    usual->others_per_slot = per_slot;
  else
    usual->others_per_slot
        += USUAL_WEIGHT * (per_slot - usual->others_per_slot);
}

void
bgap_outstanding_add (struct bgap_outstanding *work, int64_t now_ms,
                      uint32_t id, double cost_ms)
{
  if (work->own_count == BGAP_OUTSTANDING_OWN_MAX)
    {
      work->more_count++;
      work->more_ms += cost_ms;
      return;
    }
  work->own[work->own_count++] = (struct bgap_outstanding_own){
    .id = id, .cost_ms = cost_ms, .sent_ms = now_ms
  };
}

void
bgap_outstanding_remove (struct bgap_outstanding *work, uint32_t id,
                         double cost_ms)
{
  for (uint32_t i = 0; i < work->own_count; i++)
    if (work->own[i].id == id)
      {
        work->own[i] = work->own[--work->own_count];
        return;
      }
  if (work->more_count == 0)
    return;
  work->more_count--;
  work->more_ms = work->more_count > 0 ? fmax (0, work->more_ms - cost_ms) : 0;
}

void
bgap_outstanding_report (struct bgap_outstanding *work, int64_t now_ms,
                         uint32_t others, uint32_t slowdown_percent)
{
  work->has_report = true;
  work->reported_ms = now_ms;
  work->others = others;
  work->mean_reports = fmin (work->mean_reports + 1, MEAN_REPORTS_MAX);
  work->mean_others += (others - work->mean_others) / work->mean_reports;
  work->slowdown = slowdown_percent == 0
                       ? 1
                       : fmin (fmax (slowdown_percent / 100.0, SLOWDOWN_MIN),
                               SLOWDOWN_MAX);
}

void
bgap_outstanding_reset (struct bgap_outstanding *work)
{
  work->has_report = false;
  work->mean_reports = 0;
  work->mean_others = 0;
  work->has_idle = false;
  work->ratio_mean = 0;
  work->ratio_offset = 0;
  work->ratio_samples = 0;
}

static double
_bgap_outstanding_age_ms (const struct bgap_outstanding *work, int64_t now_ms)
{
  return now_ms > work->reported_ms ? (double)(now_ms - work->reported_ms) : 0;
}

double
bgap_outstanding_slowdown (const struct bgap_outstanding *work, int64_t now_ms)
{
  double age_ms = _bgap_outstanding_age_ms (work, now_ms);
  if (!work->has_report || age_ms >= SLOWDOWN_VALID_MS)
    return 1;
  return 1 + (work->slowdown - 1) * (1 - age_ms / SLOWDOWN_VALID_MS);
}

void
bgap_outstanding_learn_ratio (struct bgap_outstanding *work, double ratio)
{
  if (!(ratio > 0))
    return;
  ratio = fmin (fmax (ratio, RATIO_MIN), RATIO_MAX);
  work->ratio_samples = fmin (work->ratio_samples + 1, RATIO_MEMORY_SAMPLES);
  work->ratio_mean += (ratio - work->ratio_mean) / work->ratio_samples;
  work->ratio_offset = work->ratio_samples * (work->ratio_mean - 1)
                       / (work->ratio_samples + RATIO_PRIOR_SAMPLES);
}

double
bgap_outstanding_ratio (const struct bgap_outstanding *work)
{
  return 1 + work->ratio_offset;
}

double
bgap_outstanding_own_ms (const struct bgap_outstanding *work, int64_t now_ms)
{
  double sum_ms = work->more_ms;
  if (work->own_count == 0)
    return sum_ms;
  double speed = 1 / bgap_outstanding_ratio (work);
  for (uint32_t i = 0; i < work->own_count; i++)
    {
      const struct bgap_outstanding_own *own = &work->own[i];
      double done_ms = (double)(now_ms - own->sent_ms) * speed;
      sum_ms
          += fmax (own->cost_ms - done_ms, REMAINING_SHARE_MIN * own->cost_ms);
    }
  return sum_ms;
}

/* Weight of the last report, from 0 to 1; the rest is that of the mean of the
   reports.  */
static double
_bgap_outstanding_report_weight (const struct bgap_outstanding *work,
                                 int64_t now_ms,
                                 const struct bgap_outstanding_usual *usual)
{
  if (!work->has_report)
    return 0;
  double age_ms = _bgap_outstanding_age_ms (work, now_ms);
  double valid_ms = REPORT_VALID_SHARE * usual->mean_ms;
  return age_ms < valid_ms ? 1 - age_ms / valid_ms : 0;
}

static double
_bgap_outstanding_usual_others (const struct bgap_outstanding *work,
                                uint32_t slots,
                                const struct bgap_outstanding_usual *usual)
{
  double all = usual->others_per_slot > 0 ? usual->others_per_slot * slots : 0;
  return (MEAN_PRIOR_REPORTS * all + work->mean_reports * work->mean_others)
         / (MEAN_PRIOR_REPORTS + work->mean_reports);
}

double
bgap_outstanding_others (const struct bgap_outstanding *work, int64_t now_ms,
                         uint32_t slots,
                         const struct bgap_outstanding_usual *usual)
{
  double weight = _bgap_outstanding_report_weight (work, now_ms, usual);
  return weight * work->others
         + (1 - weight) * _bgap_outstanding_usual_others (work, slots, usual);
}

/**
 * struct outstanding_sum - requests at a server
 * @count: expected number
 * @variance: of that number
 * @running, @waiting: those of other instances
 * @own_ms: cost that remains of those of this instance
 */
struct outstanding_sum
{
  double count;
  double variance;
  double running;
  double waiting;
  double own_ms;
};

static struct outstanding_sum
_bgap_outstanding_sum (const struct bgap_outstanding *work, int64_t now_ms,
                       uint32_t slots, double weight,
                       const struct bgap_outstanding_usual *usual)
{
  double usual_others = _bgap_outstanding_usual_others (work, slots, usual);
  double others = weight * work->others + (1 - weight) * usual_others;
  double count = work->own_count + work->more_count + others;
  double waiting = fmin (fmax (0, count - slots), others);
  return (struct outstanding_sum){
    .count = count,
    .variance = (1 - weight * weight) * usual_others,
    .running = others - waiting,
    .waiting = waiting,
    .own_ms = bgap_outstanding_own_ms (work, now_ms),
  };
}

static double
_bgap_outstanding_sum_ms (const struct outstanding_sum *sum,
                          const struct bgap_outstanding_usual *usual)
{
  return sum->own_ms + sum->running * usual->remaining_ms
         + sum->waiting * usual->mean_ms;
}

double
bgap_outstanding_work_ms (const struct bgap_outstanding *work, int64_t now_ms,
                          uint32_t slots,
                          const struct bgap_outstanding_usual *usual)
{
  const struct outstanding_sum sum = _bgap_outstanding_sum (
      work, now_ms, slots,
      _bgap_outstanding_report_weight (work, now_ms, usual), usual);
  return _bgap_outstanding_sum_ms (&sum, usual);
}

/* Share of the requests at a server that have to end before one more can run,
   divided by its slots.  */
static double
_bgap_outstanding_wait_share (const struct outstanding_sum *sum,
                              uint32_t slots)
{
  double excess = sum->count - slots + 1;
  if (sum->variance > 0)
    excess = (excess + sqrt (excess * excess + EXCESS_SPREAD * sum->variance))
             / 2;
  if (excess <= 0 || sum->count <= 0)
    return 0;
  return excess / (sum->count * slots);
}

void
bgap_outstanding_precompute (struct bgap_outstanding *work, uint32_t slots,
                             const struct bgap_outstanding_usual *usual)
{
  struct bgap_outstanding idle = *work;
  idle.own_count = 0;
  idle.more_count = 0;
  idle.more_ms = 0;
  const struct outstanding_sum sum
      = _bgap_outstanding_sum (&idle, 0, slots, 0, usual);
  double share = _bgap_outstanding_wait_share (&sum, slots);
  work->idle_running = share * sum.running;
  work->idle_waiting = share * sum.waiting;
  work->has_idle = true;
}

/* Wait for a slot in cost: work of the requests that have to end before one
   more can run, spread over the slots.  */
static double
_bgap_outstanding_wait_cost (const struct bgap_outstanding *work,
                             int64_t now_ms, uint32_t slots,
                             const struct bgap_outstanding_usual *usual)
{
  double weight = _bgap_outstanding_report_weight (work, now_ms, usual);
  if (work->has_idle && weight <= 0 && work->own_count == 0)
    return work->idle_running * usual->remaining_ms
           + work->idle_waiting * usual->mean_ms;
  const struct outstanding_sum sum
      = _bgap_outstanding_sum (work, now_ms, slots, weight, usual);
  double share = _bgap_outstanding_wait_share (&sum, slots);
  return share > 0 ? share * _bgap_outstanding_sum_ms (&sum, usual) : 0;
}

double
bgap_outstanding_wait_ms (const struct bgap_outstanding *work, int64_t now_ms,
                          uint32_t slots,
                          const struct bgap_outstanding_usual *usual)
{
  return _bgap_outstanding_wait_cost (work, now_ms, slots, usual)
         * bgap_outstanding_ratio (work)
         * bgap_outstanding_slowdown (work, now_ms);
}

double
bgap_outstanding_end_ms (const struct bgap_outstanding *work, int64_t now_ms,
                         uint32_t slots,
                         const struct bgap_outstanding_usual *usual,
                         double cost_ms)
{
  double age_ms = (double)(now_ms - work->reported_ms);
  /* Without own requests and with an old report, as most servers of a large
     service, the wait is known from bgap_outstanding_precompute().  */
  if (work->has_idle && work->own_count == 0 && age_ms >= SLOWDOWN_VALID_MS
      && age_ms >= REPORT_VALID_SHARE * usual->mean_ms)
    return (cost_ms + work->idle_running * usual->remaining_ms
            + work->idle_waiting * usual->mean_ms)
           * (1 + work->ratio_offset);
  return (cost_ms + _bgap_outstanding_wait_cost (work, now_ms, slots, usual))
         * bgap_outstanding_ratio (work)
         * bgap_outstanding_slowdown (work, now_ms);
}
