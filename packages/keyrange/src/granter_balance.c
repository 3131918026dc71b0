#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "granter_candidates.h"

/* Minimum number of counted requests for load balancing.  */
#define SAMPLE_MIN 40u

/* Keys move if the most loaded server has this much more than its share, or if
   a server has none; a smaller gain is not worth the move.  */
#define OVERLOAD_PERCENT 130u

/* A piece may exceed the spare capacity of its new server by this much, so
   that ranges are not split into tiny ones.  */
#define PIECE_MAX_PERCENT 125u

/* A piece that moves has at least this part of the load that should move.  */
#define PIECE_MIN_PERCENT 60u

/* An excess counts if it is above this many standard deviations of the number
   of counted requests.  */
#define NOISE_STANDARD_DEVIATIONS 2.5

/* A server whose slots are used less than this is not overloaded, however
   little load the others have.  */
#define UTILIZATION_MIN 0.8

/* Duration that the counts stand for: they are halved every second.  */
#define SAMPLE_MS 1500.0

/* Maximum number of pieces per round of load balancing: this number, or one
   for so many servers, so that servers that join a large service soon get
   keys.  */
#define MOVES_MAX 8u
#define SERVERS_PER_MOVE 8u

/* Ranges that a move adds at most: its piece, the remainder behind it, and one
   more if the piece is divided between two servers.  */
#define RANGES_PER_MOVE 3u

/* Part of the largest number of ranges that is left for spreading hot keys. */
#define RANGES_SPARE_PERCENT 25u

/* A hot key moves to another server if that is faster by this much.  */
#define HOT_KEY_SPEEDUP_PERCENT 140.0

/* Number of piece sizes that are tried, each a third of the one before.  */
#define PIECE_SIZES 3

/* Smallest piece that is split off a range, in keys.  */
#define PIECE_KEYS_MIN 1u

/* Returns the last key of the piece of [first, last] that fits into @spare.
   @load is the load of all the keys on entry, and that of the piece on
   return.  */
static uint32_t
_bgap_balance_piece_end (const struct bgap_granter *g, uint32_t first,
                         uint32_t last, int64_t spare, uint64_t *load)
{
  uint64_t whole = *load;
  uint32_t end = first;
  if (spare > 0 && whole * 100 <= (uint64_t)spare * PIECE_MAX_PERCENT)
    return last;
  if (spare <= 0)
    return last;
  *load = 0;
  for (uint32_t key = first; key <= last; key++)
    {
      *load += bgap_candidates_key_load (g, key);
      end = key;
      if (*load >= (uint64_t)spare && key - first + 1 >= PIECE_KEYS_MIN)
        break;
    }
  return end;
}

bool
bgap_balance_place (struct bgap_granter *g, int64_t now_ms,
                    struct bgap_assignment *next, uint32_t first,
                    uint32_t last, uint64_t token)
{
  uint32_t count = 0;
  struct bgap_candidate *candidates
      = bgap_candidates_list (g, now_ms, next, &count);
  bool placed = candidates != NULL && count > 0;
  uint64_t rest = placed ? bgap_candidates_range_load (g, first, last) : 0;
  while (placed)
    {
      uint64_t load = rest;
      struct bgap_candidate *candidate = bgap_candidates_neighbour (
          next, candidates, count, first, last, rest);
      if (candidate == NULL)
        candidate = bgap_candidates_least_loaded (candidates, count);
      uint32_t end = _bgap_balance_piece_end (
          g, first, last, (int64_t)candidate->share - (int64_t)candidate->load,
          &load);
      struct bgap_key_range range
          = { .token = token, .started_ms = candidate->started_ms };
      snprintf (range.server, sizeof range.server, "%s", candidate->server);
      candidate->load += load;
      rest -= load;
      if (bgap_assignment_set (next, first, end, &range) != BGAP_OK)
        placed = false;
      if (end == last)
        break;
      first = end + 1;
    }
  free (candidates);
  return placed;
}

/**
 * struct search - search for the shortest run of keys whose load is within
 * bounds
 * @least, @most: the bounds, inclusive
 * @best: the shortest run so far, if @found
 */
struct search
{
  uint64_t least;
  uint64_t most;
  bool found;
  struct bgap_key_interval best;
};

/* Examines all minimal runs within [first, last]. A key whose own load is
   above the bound is in none of them: it stays, and keys next to it move.  */
static void
_bgap_balance_search (const struct bgap_granter *g, uint32_t first,
                      uint32_t last, struct search *search)
{
  uint64_t sum = 0;
  uint32_t from = first;
  for (uint32_t key = first; key <= last; key++)
    {
      sum += bgap_candidates_key_load (g, key);
      while (from < key
             && (sum > search->most
                 || sum - bgap_candidates_key_load (g, from) >= search->least))
        sum -= bgap_candidates_key_load (g, from++);
      if (sum > search->most || sum < search->least
          || (search->found
              && key - from >= search->best.last - search->best.first))
        continue;
      search->best = (struct bgap_key_interval){ from, key };
      search->found = true;
    }
}

/* Finds the shortest run of the server's keys that has about @load and fits
   into @spare.  */
static bool
_bgap_balance_window (const struct bgap_granter *g,
                      const struct bgap_assignment *next, const char *server,
                      uint64_t load, uint64_t spare,
                      struct bgap_key_interval *out)
{
  struct search search = {
    .least = load * PIECE_MIN_PERCENT / 100,
    .most = spare * PIECE_MAX_PERCENT / 100,
  };
  for (uint32_t i = 0; i < next->count; i++)
    {
      const struct bgap_key_range *range = &next->ranges[i];
      if (!range->moving && strcmp (range->server, server) == 0)
        _bgap_balance_search (g, range->first, range->last, &search);
    }
  *out = search.best;
  return search.found;
}

/* The most loaded server that has keys to give, or NULL.  */
static struct bgap_candidate *
_bgap_balance_donor (struct bgap_candidate *candidates, uint32_t count)
{
  struct bgap_candidate *donor = NULL;
  for (uint32_t i = 0; i < count; i++)
    {
      if (candidates[i].exhausted)
        continue;
      if (donor == NULL
          || candidates[i].load * donor->share
                 > donor->load * candidates[i].share)
        donor = &candidates[i];
    }
  return donor;
}

/* The server that gets keys: one without any goes first.  */
static struct bgap_candidate *
_bgap_balance_recipient (struct bgap_candidate *candidates, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (candidates[i].load == 0 && candidates[i].share > 0)
      return &candidates[i];
  return bgap_candidates_least_loaded (candidates, count);
}

/* Fraction of the time for which the slots of a server are busy with the
   counted requests; 1 if its speed is unknown.  */
static double
_bgap_balance_utilization (const struct bgap_granter *g,
                           const struct bgap_candidate *candidate)
{
  if (candidate->latency_ms <= 0 || g->request_weight == 0)
    return 1;
  double requests = (double)candidate->load / (double)g->request_weight;
  double per_ms = requests / SAMPLE_MS;
  return per_ms * candidate->latency_ms / candidate->slots;
}

/* Whether the difference exceeds the noise of a small sample and is worth a
   move.  */
static bool
_bgap_balance_is_uneven (const struct bgap_granter *g,
                         const struct bgap_candidate *donor,
                         const struct bgap_candidate *recipient)
{
  if (recipient == donor || recipient->load >= recipient->share)
    return false;
  /* A server without keys gets some, whatever load the others have.  */
  if (recipient->load == 0)
    return donor->load > 0;
  if (donor->load <= donor->share)
    return false;
  if (g->requests_total < SAMPLE_MIN || g->request_weight == 0
      || _bgap_balance_utilization (g, donor) < UTILIZATION_MIN)
    return false;
  double requests = (double)donor->share / (double)g->request_weight;
  double noise = NOISE_STANDARD_DEVIATIONS * sqrt (requests);
  double excess
      = (double)(donor->load - donor->share) / (double)g->request_weight;
  return excess > noise && donor->load * 100 > donor->share * OVERLOAD_PERCENT;
}

/* Finds the key of the donor with the most requests. It moves if it accounts
   for most of the donor's load and the recipient would run its requests much
   faster.  */
static bool
_bgap_balance_hot_key (const struct bgap_granter *g,
                       const struct bgap_assignment *next,
                       const struct bgap_candidate *donor,
                       const struct bgap_candidate *recipient,
                       struct bgap_key_interval *out)
{
  uint64_t most = 0;
  if (recipient->capacity * 100 < donor->capacity * HOT_KEY_SPEEDUP_PERCENT)
    return false;
  for (uint32_t i = 0; i < next->count; i++)
    {
      const struct bgap_key_range *range = &next->ranges[i];
      if (range->moving || strcmp (range->server, donor->server) != 0)
        continue;
      for (uint32_t key = range->first; key <= range->last; key++)
        {
          uint64_t load = bgap_candidates_key_load (g, key);
          if (load <= most)
            continue;
          most = load;
          *out = (struct bgap_key_interval){ key, key };
        }
    }
  return most > donor->load / 2;
}

/* Load that the donor should give away: its excess over its share, or half of
   its load if the recipient has none and that is more.  */
static uint64_t
_bgap_balance_excess (const struct bgap_candidate *donor,
                      const struct bgap_candidate *recipient)
{
  uint64_t excess
      = donor->load > donor->share ? donor->load - donor->share : 0;
  uint64_t half = donor->load / 2;
  return recipient->load == 0 && half > excess ? half : excess;
}

/* Chooses the keys that move: as much load as fits, or else less.  */
static bool
_bgap_balance_choose (const struct bgap_granter *g,
                      const struct bgap_assignment *next,
                      const struct bgap_candidate *donor,
                      const struct bgap_candidate *recipient,
                      struct bgap_key_interval *out)
{
  uint64_t spare = recipient->share - recipient->load;
  uint64_t load = _bgap_balance_excess (donor, recipient);
  if (load > spare)
    load = spare;
  for (int i = 0; i < PIECE_SIZES; i++)
    {
      if (_bgap_balance_window (g, next, donor->server, load, spare, out))
        return true;
      load /= 3;
    }
  return _bgap_balance_hot_key (g, next, donor, recipient, out);
}

/* Marks keys of the donor as moving and counts their load as the recipient's.
   Returns whether there were any.  */
static bool
_bgap_balance_move_piece (struct bgap_granter *g, struct bgap_assignment *next,
                          uint64_t token, struct bgap_candidate *donor,
                          struct bgap_candidate *recipient)
{
  struct bgap_key_interval window;
  if (!_bgap_balance_choose (g, next, donor, recipient, &window))
    return false;
  g->rebalance = (struct bgap_granter_rebalance){
    .most_loaded_percent = (uint32_t)(donor->load * 100 / (donor->share + 1)),
    .least_loaded_percent
    = (uint32_t)(recipient->load * 100 / (recipient->share + 1)),
    .first = window.first,
    .last = window.last,
  };
  snprintf (g->rebalance.most_loaded, sizeof g->rebalance.most_loaded, "%s",
            donor->server);
  snprintf (g->rebalance.least_loaded, sizeof g->rebalance.least_loaded, "%s",
            recipient->server);
  struct bgap_key_range range = *bgap_assignment_find (next, window.first);
  range.moving = true;
  range.token = token;
  if (bgap_assignment_set (next, window.first, window.last, &range) != BGAP_OK)
    return false;
  uint64_t load = bgap_candidates_range_load (g, window.first, window.last);
  g->counts.load_keys_moved += window.last - window.first + 1;
  donor->load -= load;
  recipient->load += load;
  return true;
}

bool
bgap_balance_move_load (struct bgap_granter *g, int64_t now_ms,
                        struct bgap_assignment *next, uint64_t token)
{
  uint32_t count = 0;
  struct bgap_candidate *candidates
      = bgap_candidates_list (g, now_ms, next, &count);
  uint32_t moves_max = count / SERVERS_PER_MOVE > MOVES_MAX
                           ? count / SERVERS_PER_MOVE
                           : MOVES_MAX;
  uint32_t ranges_max
      = bgap_leases_ranges_max (g) * (100 - RANGES_SPARE_PERCENT) / 100;
  uint32_t room = next->count < ranges_max
                      ? (ranges_max - next->count) / RANGES_PER_MOVE
                      : 0;
  if (moves_max > room)
    moves_max = room;
  uint32_t moves = 0;
  while (candidates != NULL && count > 1 && moves < moves_max)
    {
      struct bgap_candidate *donor = _bgap_balance_donor (candidates, count);
      struct bgap_candidate *recipient
          = _bgap_balance_recipient (candidates, count);
      if (donor == NULL || !_bgap_balance_is_uneven (g, donor, recipient))
        break;
      if (_bgap_balance_move_piece (g, next, token, donor, recipient))
        moves++;
      else
        donor->exhausted = true;
    }
  free (candidates);
  return moves > 0;
}

void
bgap_balance_age_counts (struct bgap_granter *g)
{
  g->requests_total = 0;
  for (uint32_t key = 0; key < BGAP_KEY_COUNT; key++)
    {
      g->key_requests[key] /= 2;
      g->requests_total += g->key_requests[key];
    }
}
