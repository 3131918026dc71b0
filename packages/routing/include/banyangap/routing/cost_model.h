#ifndef BANYANGAP_ROUTING_COST_MODEL_H
#define BANYANGAP_ROUTING_COST_MODEL_H

/*
 * Expected cost of the requests of one service: the time in milliseconds that
 * a server of speed 1 needs for a request without waiting. It is learned for
 * each class (route) and, where that predicts better, for each of a bounded
 * number of frequent details within a class (such as a path).
 *
 *   struct bgap_cost_model model = { 0 };
 *   bgap_cost_model_learn (&model, route_hash, path_hash, took_ms / ratio);
 *   double ms = bgap_cost_model_expect (&model, route_hash, path_hash);
 */

#include <stdbool.h>
#include <stdint.h>

/* Classes and details that are kept. When a table is full, the entry that is
   used least makes room.  */
#define BGAP_COST_CLASSES_MAX 16
#define BGAP_COST_DETAILS_MAX 64

/* Samples of a class from which its mean counts as known.  */
#define BGAP_COST_SAMPLES_MIN 8

/**
 * struct bgap_cost_mean - running mean, in which new samples keep a minimum
 * weight
 * @samples: number of samples, at most the one that gives the minimum weight
 */
struct bgap_cost_mean
{
  double ms;
  double samples;
};

/**
 * struct bgap_cost_class - a class
 * @hash: as passed to bgap_cost_model_learn()
 * @uses: recent samples, halved as entries compete for a place
 * @class_error, @detail_error: mean squared error of predictions made before
 *   the sample was known, from the class alone and with the detail, relative
 *   to the mean of the class
 * @detail_samples: samples in these errors
 */
struct bgap_cost_class
{
  uint64_t hash;
  uint32_t uses;
  struct bgap_cost_mean mean;
  double class_error;
  double detail_error;
  uint32_t detail_samples;
};

/**
 * struct bgap_cost_detail - a detail of a class
 */
struct bgap_cost_detail
{
  uint64_t class_;
  uint64_t hash;
  uint32_t uses;
  struct bgap_cost_mean mean;
};

/**
 * struct bgap_cost_model - the model of a service; zero-initialised it knows
 * nothing
 * @mean: of all samples
 * @mean_square: of all samples, in square milliseconds
 * @error: mean absolute error of predictions made before the sample was known,
 *   relative to the prediction
 * @error_samples: samples in @error
 */
struct bgap_cost_model
{
  struct bgap_cost_class classes[BGAP_COST_CLASSES_MAX];
  struct bgap_cost_detail details[BGAP_COST_DETAILS_MAX];
  uint32_t class_count;
  uint32_t detail_count;
  uint32_t next_detail;
  struct bgap_cost_mean mean;
  double mean_square;
  double error;
  uint32_t error_samples;
};

/**
 * bgap_cost_model_expect() - expected cost of a request
 * @class_: hash of its route
 * @detail: finer hash within the class, 0 for none
 *
 * Return: milliseconds on a server of speed 1; of an unknown class the mean of
 * all requests, 0 without any sample.
 */
double bgap_cost_model_expect (const struct bgap_cost_model *model,
                               uint64_t class_, uint64_t detail);

/**
 * bgap_cost_model_known() - whether a class has enough samples
 */
bool bgap_cost_model_known (const struct bgap_cost_model *model,
                            uint64_t class_);

/**
 * bgap_cost_model_learn() - add a sample
 * @ms: time that a request took without waiting, divided by the ratio of its
 *   server; values that are not positive are ignored
 */
void bgap_cost_model_learn (struct bgap_cost_model *model, uint64_t class_,
                            uint64_t detail, double ms);

/**
 * bgap_cost_model_learn_bound() - add a request that also waited, so that its
 * cost is at most @ms
 *
 * Counts only for a class that has hardly any other samples.
 */
void bgap_cost_model_learn_bound (struct bgap_cost_model *model,
                                  uint64_t class_, uint64_t detail, double ms);

/**
 * bgap_cost_model_mean_ms() - mean cost of all requests, 0 if not known
 */
double bgap_cost_model_mean_ms (const struct bgap_cost_model *model);

/**
 * bgap_cost_model_remaining_ms() - mean cost that a running request still has,
 * seen at any time: more than half of the mean where costs differ, because
 * long requests run for most of the time
 */
double bgap_cost_model_remaining_ms (const struct bgap_cost_model *model);

/**
 * bgap_cost_model_uses_details() - whether details predict the costs of a
 * class better than its mean
 */
bool bgap_cost_model_uses_details (const struct bgap_cost_class *class_);

#endif
