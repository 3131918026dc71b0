#ifndef BANYANGAP_ROUTING_RESPONSE_TIME_H
#define BANYANGAP_ROUTING_RESPONSE_TIME_H

/*
 * Distribution of recent response times. A sample loses half of its
 * weight in a half-life, so that what is long past refuses nothing, and where
 * no request is answered any more nothing is known.
 *
 *   struct bgap_response_times times = { 0 };
 *   bgap_response_times_add (&times, now_ms, took_ms);
 *   double ms = bgap_response_times_quantile (&times, now_ms, 0.5);
 */

#include <stdint.h>

#define BGAP_RESPONSE_TIME_BUCKETS 48

/**
 * struct bgap_response_times - distribution of response times
 * @weights: of the samples in each bucket
 * @total: sum of @weights
 * @at_ms: time at which they have these weights
 */
struct bgap_response_times
{
  float weights[BGAP_RESPONSE_TIME_BUCKETS];
  double total;
  int64_t at_ms;
};

/**
 * bgap_response_times_add() - add a sample
 */
void bgap_response_times_add (struct bgap_response_times *times,
                              int64_t now_ms, double took_ms);

/**
 * bgap_response_times_quantile() - time that @share of the recent answers do
 * not exceed
 * @share: 0 to 1
 *
 * Return: milliseconds, 0 if there are too few samples.
 */
double bgap_response_times_quantile (struct bgap_response_times *times,
                                     int64_t now_ms, double share);

/* Half-lives of the time that a server needs for a request and of the time for
   which requests wait for one of its slots, which changes faster.  */
#define BGAP_SERVICE_TIME_HALF_LIFE_MS 4000
#define BGAP_WAIT_TIME_HALF_LIFE_MS 1000

/* Number of samples that are kept.  */
#define BGAP_RECENT_TIMES_MAX 8

/**
 * struct bgap_recent_times - the last few times at one server;
 * zero-initialised it has no samples and the half-life
 * BGAP_SERVICE_TIME_HALF_LIFE_MS
 * @half_life_ms: 0 for the default
 * @count: samples added so far; the last ones are kept
 * @took_ms: of the samples
 * @at_ms: when they were added
 */
struct bgap_recent_times
{
  int64_t half_life_ms;
  uint64_t count;
  double took_ms[BGAP_RECENT_TIMES_MAX];
  int64_t at_ms[BGAP_RECENT_TIMES_MAX];
};

/**
 * bgap_recent_times_add() - add a sample
 */
void bgap_recent_times_add (struct bgap_recent_times *times, int64_t now_ms,
                            double took_ms);

/**
 * bgap_recent_times_quantile() - time that @share of the recent samples do not
 * exceed
 * @share: 0 to 1
 * @prior_ms: what is assumed without samples; its weight falls to 0 with
 *   PRIOR_REPLACED fresh samples
 *
 * Return: milliseconds.
 */
double bgap_recent_times_quantile (const struct bgap_recent_times *times,
                                   int64_t now_ms, double share,
                                   double prior_ms);

/* Half-life of a sample of struct bgap_recent_mean. It is long, since one of
   many instances seldom sends to the same server.  */
#define BGAP_RECENT_MEAN_HALF_LIFE_MS 16000

/**
 * struct bgap_recent_mean - mean of recent times; zero-initialised it has no
 * samples
 * @sum_ms: of the samples, each multiplied by its weight
 * @weight: of the samples
 * @at_ms: time at which they have these weights
 */
struct bgap_recent_mean
{
  double sum_ms;
  double weight;
  int64_t at_ms;
};

/**
 * bgap_recent_mean_add() - add a sample
 */
void bgap_recent_mean_add (struct bgap_recent_mean *mean, int64_t now_ms,
                           double took_ms);

/**
 * bgap_recent_mean_ms() - mean of the recent samples and of what is assumed
 * without them
 * @prior_ms: what is assumed
 * @prior_weight: its weight; that of a fresh sample is 1
 */
double bgap_recent_mean_ms (const struct bgap_recent_mean *mean,
                            int64_t now_ms, double prior_ms,
                            double prior_weight);

#endif
