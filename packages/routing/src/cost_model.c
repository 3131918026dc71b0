#include "banyangap/routing/cost_model.h"

#include <math.h>
#include <stddef.h>

/* Reciprocal of the minimum weight of a new sample: a mean follows a change
   of the costs within a few times as many samples.  */
#define MEMORY_SAMPLES 64.0

/* Samples of its own that a detail needs to count as much as its class.  */
#define SHRINK_SAMPLES 4.0

/* Details are used where they lower the mean squared error below this share of
   the class's, over at least EXPLAINED_SAMPLES_MIN samples of details that
   were known before the sample.  */
#define EXPLAINED_SHARE 0.85
#define EXPLAINED_SAMPLES_MIN 32u

/* Samples beyond this multiple of the expectation count as this multiple: one
   in 100 requests takes 5 to 7 times as long as usual, and a single one must
   not decide what its class costs.  */
#define OUTLIER_FACTOR 8.0

/* Weight of a sample that is only an upper bound, and number of real samples
   from which such bounds no longer count.  */
#define BOUND_WEIGHT 0.25
#define BOUND_SAMPLES_MAX 2.0

/* Limit of the use counts of entries that compete for a place.  */
#define USES_MAX 1024u

static const struct bgap_cost_class *
_bgap_cost_find_class (const struct bgap_cost_model *model, uint64_t hash)
{
  for (uint32_t i = 0; i < model->class_count; i++)
    if (model->classes[i].hash == hash)
      return &model->classes[i];
  return NULL;
}

static const struct bgap_cost_detail *
_bgap_cost_find_detail (const struct bgap_cost_model *model, uint64_t class_,
                        uint64_t hash)
{
  if (hash == 0)
    return NULL;
  for (uint32_t i = 0; i < model->detail_count; i++)
    if (model->details[i].hash == hash && model->details[i].class_ == class_)
      return &model->details[i];
  return NULL;
}

static double
_bgap_cost_weight (double samples, double limit)
{
  return samples < limit ? samples : limit;
}

static void
_bgap_cost_mean_add (struct bgap_cost_mean *mean, double ms, double weight)
{
  mean->samples = fmin (mean->samples + weight, MEMORY_SAMPLES);
  mean->ms += (ms - mean->ms) * weight / mean->samples;
}

/* Mean of a detail, moved towards that of its class if it has few samples.  */
static double
_bgap_cost_shrunk_ms (const struct bgap_cost_class *class_,
                      const struct bgap_cost_detail *detail)
{
  double own = detail->mean.samples;
  return (own * detail->mean.ms + SHRINK_SAMPLES * class_->mean.ms)
         / (own + SHRINK_SAMPLES);
}

bool
bgap_cost_model_uses_details (const struct bgap_cost_class *class_)
{
  return class_->detail_samples >= EXPLAINED_SAMPLES_MIN
         && class_->detail_error < EXPLAINED_SHARE * class_->class_error;
}

double
bgap_cost_model_expect (const struct bgap_cost_model *model, uint64_t class_,
                        uint64_t detail)
{
  const struct bgap_cost_class *known = _bgap_cost_find_class (model, class_);
  if (known == NULL)
    return model->mean.ms;
  if (!bgap_cost_model_uses_details (known))
    return known->mean.ms;
  const struct bgap_cost_detail *finer
      = _bgap_cost_find_detail (model, class_, detail);
  return finer != NULL ? _bgap_cost_shrunk_ms (known, finer) : known->mean.ms;
}

bool
bgap_cost_model_known (const struct bgap_cost_model *model, uint64_t class_)
{
  const struct bgap_cost_class *known = _bgap_cost_find_class (model, class_);
  return known != NULL && known->mean.samples >= BGAP_COST_SAMPLES_MIN;
}

/* Returns the entry of a class, which takes the place of the least used one if
   the table is full.  */
static struct bgap_cost_class *
_bgap_cost_enter_class (struct bgap_cost_model *model, uint64_t hash)
{
  for (uint32_t i = 0; i < model->class_count; i++)
    if (model->classes[i].hash == hash)
      return &model->classes[i];
  uint32_t at = model->class_count;
  if (at < BGAP_COST_CLASSES_MAX)
    model->class_count++;
  else
    {
      at = 0;
      for (uint32_t i = 1; i < BGAP_COST_CLASSES_MAX; i++)
        if (model->classes[i].uses < model->classes[at].uses)
          at = i;
      for (uint32_t i = 0; i < BGAP_COST_CLASSES_MAX; i++)
        model->classes[i].uses /= 2;
    }
  model->classes[at] = (struct bgap_cost_class){ .hash = hash };
  return &model->classes[at];
}

/* Returns the entry of a detail. In a full table each new detail halves the
   use count of one entry in turn and takes its place once that is 0, so that
   only rare details are replaced. NULL if there is no place.  */
static struct bgap_cost_detail *
_bgap_cost_enter_detail (struct bgap_cost_model *model, uint64_t class_,
                         uint64_t hash)
{
  if (hash == 0)
    return NULL;
  for (uint32_t i = 0; i < model->detail_count; i++)
    if (model->details[i].hash == hash && model->details[i].class_ == class_)
      return &model->details[i];
  uint32_t at = model->detail_count;
  if (at < BGAP_COST_DETAILS_MAX)
    model->detail_count++;
  else
    {
      at = model->next_detail;
      model->next_detail = (at + 1) % BGAP_COST_DETAILS_MAX;
      model->details[at].uses /= 2;
      if (model->details[at].uses > 0)
        return NULL;
    }
  model->details[at]
      = (struct bgap_cost_detail){ .class_ = class_, .hash = hash };
  return &model->details[at];
}

/* Compares what the class and what the detail predicted for a sample.  */
static void
_bgap_cost_compare (struct bgap_cost_class *class_,
                    const struct bgap_cost_detail *detail, double ms)
{
  if (detail->mean.samples < 1 || class_->mean.ms <= 0)
    return;
  double by_class = ms / class_->mean.ms - 1;
  double by_detail
      = (ms - _bgap_cost_shrunk_ms (class_, detail)) / class_->mean.ms;
  class_->detail_samples += class_->detail_samples < USES_MAX;
  double weight
      = 1 / _bgap_cost_weight (class_->detail_samples, 4 * MEMORY_SAMPLES);
  class_->class_error += weight * (by_class * by_class - class_->class_error);
  class_->detail_error
      += weight * (by_detail * by_detail - class_->detail_error);
}

static void
_bgap_cost_note_error (struct bgap_cost_model *model, double expected_ms,
                       double ms)
{
  model->error_samples += model->error_samples < USES_MAX;
  double weight
      = 1 / _bgap_cost_weight (model->error_samples, 4 * MEMORY_SAMPLES);
  model->error
      += weight * (fabs (ms - expected_ms) / expected_ms - model->error);
}

static void
_bgap_cost_use (uint32_t *uses)
{
  *uses += *uses < USES_MAX;
}

static void
_bgap_cost_add (struct bgap_cost_model *model, uint64_t class_,
                uint64_t detail, double ms, double weight)
{
  struct bgap_cost_class *known = _bgap_cost_enter_class (model, class_);
  _bgap_cost_use (&known->uses);
  struct bgap_cost_detail *finer
      = _bgap_cost_enter_detail (model, class_, detail);
  if (finer != NULL)
    {
      _bgap_cost_use (&finer->uses);
      _bgap_cost_compare (known, finer, ms);
      _bgap_cost_mean_add (&finer->mean, ms, weight);
    }
  _bgap_cost_mean_add (&known->mean, ms, weight);
  _bgap_cost_mean_add (&model->mean, ms, weight);
  model->mean_square
      += (ms * ms - model->mean_square) * weight / model->mean.samples;
}

void
bgap_cost_model_learn (struct bgap_cost_model *model, uint64_t class_,
                       uint64_t detail, double ms)
{
  if (!(ms > 0) || !isfinite (ms))
    return;
  if (bgap_cost_model_known (model, class_))
    {
      double expected_ms = bgap_cost_model_expect (model, class_, detail);
      _bgap_cost_note_error (model, expected_ms, ms);
      ms = fmin (ms, OUTLIER_FACTOR * expected_ms);
    }
  _bgap_cost_add (model, class_, detail, ms, 1);
}

void
bgap_cost_model_learn_bound (struct bgap_cost_model *model, uint64_t class_,
                             uint64_t detail, double ms)
{
  const struct bgap_cost_class *known = _bgap_cost_find_class (model, class_);
  if (!(ms > 0) || !isfinite (ms))
    return;
  if (known != NULL
      && (known->mean.samples >= BOUND_SAMPLES_MAX || ms >= known->mean.ms))
    return;
  _bgap_cost_add (model, class_, detail, ms, BOUND_WEIGHT);
}

double
bgap_cost_model_mean_ms (const struct bgap_cost_model *model)
{
  return model->mean.ms;
}

double
bgap_cost_model_remaining_ms (const struct bgap_cost_model *model)
{
  return model->mean.ms > 0 ? model->mean_square / (2 * model->mean.ms) : 0;
}
