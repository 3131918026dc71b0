#include "granter_hot_spans.h"

#include <math.h>
#include <stdlib.h>

#include "banyangap/base/array.h"
#include "granter_hot_runs.h"

/* A server is overloaded if the requests of the window exceed its capacity by
   this many standard deviations of their number: with hundreds of servers and
   several decisions a second, chance alone exceeds four of them less than once
   in a minute.  */
#define NOISE_STANDARD_DEVIATIONS 4.0

/* This many standard deviations are enough for a server with keys next to
   those of an overloaded one, since a hot run may reach into them.  */
#define NEIGHBOUR_STANDARD_DEVIATIONS 1.0

/* The overloaded server keeps hot keys up to this part of its capacity: it has
   a queue to work off.  */
#define KEPT_LEVEL 0.5

/* Parts of their capacity up to which servers are filled, the first one so
   that requests wait less than they run. The next one is used if the load does
   not fit otherwise; what exceeds the last one stays where it is.  */
static const double levels[] = { 0.75, 0.9, 1.15 };
#define LEVEL_COUNT (sizeof levels / sizeof *levels)

/* A key that takes this part of the fastest server is not put beside other
   keys.  */
#define LONE_KEY_SHARE 0.8

/* Cold keys are left beside a lone key up to this part of the capacity.  */
#define LONE_KEY_REST 0.05

/* A lone key moves to another server if that is faster by this factor.  */
#define LONE_KEY_SPEEDUP 1.4

/**
 * struct decision - state of a decision
 * @loads: requests per second for the keys of each server
 * @counts: requests of the window for the keys of each server
 * @is_excluded: by server, whether it may get no keys: it is overloaded, or
 *   has a lone key
 * @is_recipient: by server, whether it gets keys
 * @cold_per_s: requests per second for a cold key
 * @fastest_per_s: capacity of the fastest usable server
 */
struct decision
{
  const struct bgap_hot_input *input;
  struct bgap_hot_plan *plan;
  double *loads;
  uint32_t *counts;
  bool *is_excluded;
  bool *is_recipient;
  double cold_per_s;
  double fastest_per_s;
};

static const struct bgap_hot_server *
_bgap_hot_server (const struct decision *decision, uint32_t server)
{
  return &decision->input->servers[server];
}

static void
_bgap_hot_count (const struct bgap_hot_input *input, uint32_t *counts)
{
  for (uint32_t i = 0; i < input->range_count; i++)
    {
      const struct bgap_hot_range *range = &input->ranges[i];
      if (range->server != BGAP_HOT_NO_SERVER)
        counts[range->server] += bgap_hot_position (input, range->last + 1)
                                 - bgap_hot_position (input, range->first);
    }
}

static bool
_bgap_hot_is_overloaded (const struct bgap_hot_input *input, uint32_t server,
                         uint32_t count, double deviations)
{
  const struct bgap_hot_server *s = &input->servers[server];
  double most = s->capacity_per_s * input->window_s;
  return s->is_usable && count > most + deviations * sqrt (most);
}

bool
bgap_hot_spans_any (const struct bgap_hot_input *input)
{
  uint32_t *counts = calloc (input->server_count + 1, sizeof *counts);
  bool any = false;
  if (counts == NULL)
    return false;
  _bgap_hot_count (input, counts);
  for (uint32_t i = 0; i < input->server_count && !any; i++)
    any = _bgap_hot_is_overloaded (input, i, counts[i],
                                   NOISE_STANDARD_DEVIATIONS);
  free (counts);
  return any;
}

/* Spare capacity of a server that is filled up to a level.  */
static double
_bgap_hot_spare (const struct decision *decision, uint32_t server,
                 double level)
{
  const struct bgap_hot_server *s = _bgap_hot_server (decision, server);
  if (!s->is_usable || decision->is_excluded[server])
    return 0;
  return s->capacity_per_s * level - decision->loads[server];
}

/* The server with the most spare capacity at this level, or none.  */
static uint32_t
_bgap_hot_recipient (const struct decision *decision, uint32_t from,
                     double level)
{
  uint32_t best = BGAP_HOT_NO_SERVER;
  double best_spare = 0;
  for (uint32_t i = 0; i < decision->input->server_count; i++)
    {
      double spare = _bgap_hot_spare (decision, i, level);
      if (i == from || spare <= best_spare)
        continue;
      best = i;
      best_spare = spare;
    }
  return best;
}

static enum bgap_status
_bgap_hot_add_piece (struct decision *decision, uint32_t first, uint32_t last,
                     uint32_t from, uint32_t to, double per_s)
{
  struct bgap_hot_plan *plan = decision->plan;
  if (bgap_array_reserve (&plan->pieces, &plan->capacity, plan->count + 1,
                          sizeof *plan->pieces)
      != BGAP_OK)
    return BGAP_ERR_NO_MEMORY;
  plan->pieces[plan->count++]
      = (struct bgap_hot_piece){ first, last, from, to, per_s };
  plan->recipients += !decision->is_recipient[to];
  decision->is_recipient[to] = true;
  decision->loads[to] += per_s;
  decision->loads[from] -= per_s;
  return BGAP_OK;
}

/* Number of the first keys that fit into @spare.  */
static uint32_t
_bgap_hot_piece_keys (const double *rates, uint32_t keys, double spare,
                      double *per_s)
{
  uint32_t count = 0;
  *per_s = 0;
  while (count < keys && *per_s + rates[count] <= spare)
    *per_s += rates[count++];
  return count;
}

/* Divides keys among other servers. The first ones stay, as many as @from can
   run up to the level. Returns the number of keys that are placed.  */
static uint32_t
_bgap_hot_divide (struct decision *decision, uint32_t first,
                  const double *rates, uint32_t keys, uint32_t from,
                  double level)
{
  uint32_t placed = 0;
  while (placed < keys && decision->plan->count < decision->input->pieces_max)
    {
      double per_s;
      uint32_t to = _bgap_hot_recipient (decision, from, level);
      if (to == BGAP_HOT_NO_SERVER)
        break;
      uint32_t count = _bgap_hot_piece_keys (
          rates + placed, keys - placed, _bgap_hot_spare (decision, to, level),
          &per_s);
      if (count == 0)
        break;
      if (_bgap_hot_add_piece (decision, first + placed,
                               first + placed + count - 1, from, to, per_s)
          != BGAP_OK)
        break;
      placed += count;
    }
  return placed;
}

/* Divides keys among other servers at the lowest level at which all of them
   are placed, or at the highest one.  */
static void
_bgap_hot_spread_part (struct decision *decision, uint32_t first,
                       const double *rates, uint32_t keys, uint32_t from)
{
  uint32_t placed = 0;
  for (size_t i = 0; i < LEVEL_COUNT && placed < keys; i++)
    placed += _bgap_hot_divide (decision, first + placed, rates + placed,
                                keys - placed, from, levels[i]);
}

/* The same without the keys that are in a piece already: runs may reach into
   each other, and the neighbours of a lone key contain other runs.  */
static void
_bgap_hot_spread (struct decision *decision, uint32_t first,
                  const double *rates, uint32_t keys, uint32_t from)
{
  uint32_t last;
  for (uint32_t key = first; key < first + keys; key = last + 1)
    {
      last = first + keys - 1;
      if (!bgap_hot_is_planned (decision->plan, key, &last))
        _bgap_hot_spread_part (decision, key, rates + (key - first),
                               last - key + 1, from);
    }
}

/* Expected requests for the keys of a server if all are cold.  */
static double
_bgap_hot_cold_per_s (const struct decision *decision, uint32_t server)
{
  const struct bgap_hot_input *input = decision->input;
  uint32_t keys = 0;
  for (uint32_t i = 0; i < input->range_count; i++)
    if (input->ranges[i].server == server && !input->ranges[i].is_moving)
      keys += input->ranges[i].last - input->ranges[i].first + 1;
  return decision->cold_per_s * keys;
}

/* Moves what a server cannot run of a hot run.  */
static enum bgap_status
_bgap_hot_spread_run (struct decision *decision,
                      const struct bgap_hot_run *run, uint32_t from)
{
  const struct bgap_hot_server *s = _bgap_hot_server (decision, from);
  uint32_t keys = run->last - run->first + 1;
  double *rates = calloc (keys, sizeof *rates);
  uint32_t kept = 0;
  double sum = decision->loads[from]
               - (run->end - run->begin) / decision->input->window_s;
  if (rates == NULL)
    return BGAP_ERR_NO_MEMORY;
  bgap_hot_rates (decision->input, decision->cold_per_s, run, rates);
  /* A server of few cold requests may have none in the window.  */
  double cold = _bgap_hot_cold_per_s (decision, from);
  if (sum < cold)
    sum = cold;
  while (kept < keys && sum + rates[kept] <= s->capacity_per_s * KEPT_LEVEL)
    sum += rates[kept++];
  if (kept < keys)
    _bgap_hot_spread (decision, run->first + kept, rates + kept, keys - kept,
                      from);
  free (rates);
  return BGAP_OK;
}

/* Moves cold keys away from a server that has a lone key.  */
static enum bgap_status
_bgap_hot_spread_cold (struct decision *decision, uint32_t first,
                       uint32_t last, uint32_t from)
{
  uint32_t keys = last - first + 1;
  double *rates = calloc (keys, sizeof *rates);
  if (rates == NULL)
    return BGAP_ERR_NO_MEMORY;
  for (uint32_t i = 0; i < keys; i++)
    rates[i] = decision->cold_per_s;
  _bgap_hot_spread (decision, first, rates, keys, from);
  free (rates);
  return BGAP_OK;
}

/* Finds the key of the run that no server can run beside others.  */
static bool
_bgap_hot_lone_key (const struct decision *decision,
                    const struct bgap_hot_run *run, uint32_t *key)
{
  double least
      = decision->fastest_per_s * LONE_KEY_SHARE * decision->input->window_s;
  uint32_t most = bgap_hot_top_key (decision->input, run, key);
  return most > least + NOISE_STANDARD_DEVIATIONS * sqrt (least);
}

/* Frees a lone key from the others of its server: it moves to a much faster
   one, if there is one, else they move.  */
static enum bgap_status
_bgap_hot_free_lone_key (struct decision *decision, uint32_t from,
                         uint32_t key, double per_s)
{
  const struct bgap_hot_input *input = decision->input;
  const struct bgap_hot_server *s = _bgap_hot_server (decision, from);
  enum bgap_status status = BGAP_OK;
  uint32_t to = _bgap_hot_recipient (decision, from, levels[0]);
  if (to != BGAP_HOT_NO_SERVER
      && _bgap_hot_server (decision, to)->capacity_per_s
             >= s->capacity_per_s * LONE_KEY_SPEEDUP
      && decision->plan->count < input->pieces_max)
    {
      status = _bgap_hot_add_piece (decision, key, key, from, to, per_s);
      decision->is_excluded[to] = true;
      from = to;
    }
  else if (_bgap_hot_cold_per_s (decision, from)
           <= s->capacity_per_s * LONE_KEY_REST)
    return BGAP_OK;
  for (uint32_t i = 0; i < input->range_count && status == BGAP_OK; i++)
    {
      const struct bgap_hot_range *range = &input->ranges[i];
      bool has_key = key >= range->first && key <= range->last;
      if (range->server != from || range->is_moving)
        continue;
      if (!has_key)
        status = _bgap_hot_spread_cold (decision, range->first, range->last,
                                        from);
      if (has_key && key > range->first)
        status = _bgap_hot_spread_cold (decision, range->first, key - 1, from);
      if (has_key && key < range->last && status == BGAP_OK)
        status = _bgap_hot_spread_cold (decision, key + 1, range->last, from);
    }
  return status;
}

/* Moves keys of one run away from its overloaded server.  */
static enum bgap_status
_bgap_hot_relieve_run (struct decision *decision,
                       const struct bgap_hot_run *run, uint32_t from)
{
  const struct bgap_hot_input *input = decision->input;
  uint32_t key = 0;
  uint32_t last = key;
  if (!_bgap_hot_lone_key (decision, run, &key))
    return _bgap_hot_spread_run (decision, run, from);
  if (bgap_hot_is_planned (decision->plan, key, &last))
    return BGAP_OK;
  uint32_t count
      = bgap_hot_position (input, key + 1) - bgap_hot_position (input, key);
  return _bgap_hot_free_lone_key (decision, from, key,
                                  count / input->window_s);
}

static enum bgap_status
_bgap_hot_relieve (struct decision *decision, uint32_t from)
{
  const struct bgap_hot_input *input = decision->input;
  enum bgap_status status = BGAP_OK;
  uint32_t most = 0;
  for (uint32_t i = 0; i < input->range_count && status == BGAP_OK; i++)
    {
      const struct bgap_hot_range *range = &input->ranges[i];
      uint32_t begin = bgap_hot_position (input, range->first);
      struct bgap_hot_run run = { 0 };
      if (range->server != from || range->is_moving)
        continue;
      while (status == BGAP_OK
             && bgap_hot_next_run (input, decision->cold_per_s, range, begin,
                                   &run))
        {
          begin = run.end;
          status = _bgap_hot_relieve_run (decision, &run, from);
          if (decision->plan->server != from || run.end - run.begin <= most)
            continue;
          most = run.end - run.begin;
          decision->plan->first = run.first;
          decision->plan->last = run.last;
        }
    }
  return status;
}

/* The usable server that is most above its capacity, or none.  */
static uint32_t
_bgap_hot_most_overloaded (const struct decision *decision)
{
  uint32_t most = BGAP_HOT_NO_SERVER;
  double most_excess = 0;
  for (uint32_t i = 0; i < decision->input->server_count; i++)
    {
      const struct bgap_hot_server *s = _bgap_hot_server (decision, i);
      double excess = decision->loads[i] / s->capacity_per_s;
      if (!decision->is_excluded[i] || decision->counts[i] == 0
          || excess <= most_excess)
        continue;
      most = i;
      most_excess = excess;
    }
  return most;
}

/* Marks the servers of ranges next to those of overloaded ones, if they seem
   overloaded, too.  */
static void
_bgap_hot_mark_neighbours (struct decision *decision)
{
  const struct bgap_hot_input *input = decision->input;
  for (uint32_t i = 1; i < input->range_count; i++)
    {
      uint32_t servers[]
          = { input->ranges[i - 1].server, input->ranges[i].server };
      for (int j = 0; j < 2; j++)
        if (servers[j] != BGAP_HOT_NO_SERVER
            && servers[1 - j] != BGAP_HOT_NO_SERVER
            && _bgap_hot_is_overloaded (input, servers[j],
                                        decision->counts[servers[j]],
                                        NOISE_STANDARD_DEVIATIONS)
            && _bgap_hot_is_overloaded (input, servers[1 - j],
                                        decision->counts[servers[1 - j]],
                                        NEIGHBOUR_STANDARD_DEVIATIONS))
          decision->is_excluded[servers[1 - j]] = true;
    }
}

/* Sets the loads, the overloaded servers and the rate of cold keys. The counts
   of seconds lag behind, so that a load is taken from the requests of the
   window if these are more by more than chance.  */
static void
_bgap_hot_prepare (struct decision *decision)
{
  const struct bgap_hot_input *input = decision->input;
  uint32_t cold = 0;
  double cold_keys = 1;
  for (uint32_t i = 0; i < input->server_count; i++)
    decision->is_excluded[i] = _bgap_hot_is_overloaded (
        input, i, decision->counts[i], NOISE_STANDARD_DEVIATIONS);
  _bgap_hot_mark_neighbours (decision);
  for (uint32_t i = 0; i < input->server_count; i++)
    {
      const struct bgap_hot_server *s = &input->servers[i];
      double count = decision->counts[i];
      double least = (count - sqrt (count)) / input->window_s;
      decision->loads[i] = decision->is_excluded[i] ? count / input->window_s
                           : least > s->load_per_s  ? least
                                                    : s->load_per_s;
      if (s->is_usable && s->capacity_per_s > decision->fastest_per_s)
        decision->fastest_per_s = s->capacity_per_s;
      if (decision->is_excluded[i])
        {
          decision->plan->overloaded++;
          continue;
        }
      cold += decision->counts[i];
    }
  for (uint32_t i = 0; i < input->range_count; i++)
    {
      const struct bgap_hot_range *range = &input->ranges[i];
      if (range->server != BGAP_HOT_NO_SERVER
          && !decision->is_excluded[range->server])
        cold_keys += range->last - range->first + 1;
    }
  /* One more request, so that the rate is above zero.  */
  decision->cold_per_s = (cold + 1) / input->window_s / cold_keys;
}

static enum bgap_status
_bgap_hot_plan_servers (struct decision *decision)
{
  enum bgap_status status = BGAP_OK;
  uint32_t from = _bgap_hot_most_overloaded (decision);
  decision->plan->server = from;
  if (from != BGAP_HOT_NO_SERVER)
    decision->plan->load_percent
        = (uint32_t)(100 * decision->loads[from]
                     / _bgap_hot_server (decision, from)->capacity_per_s);
  while (from != BGAP_HOT_NO_SERVER && status == BGAP_OK)
    {
      status = _bgap_hot_relieve (decision, from);
      /* Each server gives keys away once.  */
      decision->counts[from] = 0;
      from = _bgap_hot_most_overloaded (decision);
    }
  return status;
}

enum bgap_status
bgap_hot_spans_plan (const struct bgap_hot_input *input,
                     struct bgap_hot_plan *plan)
{
  uint32_t count = input->server_count + 1;
  enum bgap_status status = BGAP_ERR_NO_MEMORY;
  struct decision decision
      = { .input = input,
          .plan = plan,
          .loads = calloc (count, sizeof *decision.loads),
          .counts = calloc (count, sizeof *decision.counts),
          .is_excluded = calloc (count, sizeof *decision.is_excluded),
          .is_recipient = calloc (count, sizeof *decision.is_recipient) };
  if (decision.loads != NULL && decision.counts != NULL
      && decision.is_excluded != NULL && decision.is_recipient != NULL)
    {
      _bgap_hot_count (input, decision.counts);
      _bgap_hot_prepare (&decision);
      status = _bgap_hot_plan_servers (&decision);
    }
  free (decision.loads);
  free (decision.counts);
  free (decision.is_excluded);
  free (decision.is_recipient);
  return status;
}

void
bgap_hot_plan_shutdown (struct bgap_hot_plan *plan)
{
  free (plan->pieces);
  *plan = (struct bgap_hot_plan){ 0 };
}
