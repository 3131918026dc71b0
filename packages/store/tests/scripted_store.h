#ifndef BANYANGAP_STORE_TESTS_SCRIPTED_STORE_H
#define BANYANGAP_STORE_TESTS_SCRIPTED_STORE_H

/*
 * A store for tests of followers that gives scripted answers.
 *
 *   struct scripted_store fake = { .answer_count = 1 };
 *   struct bgap_follower *follower = scripted_store_start (&fake, 0);
 *   scripted_store_finish (&fake, follower);
 *   assert_int_equal (fake.reads, 1);
 */

#include "banyangap/store/follower.h"

/* Maximum number of scripted answers and of reads in a test.  */
#define ANSWERS_MAX 8

/**
 * struct answer - answer of the store to one call
 * @never: the call is not answered
 */
struct answer
{
  bool never;
  enum bgap_store_outcome outcome;
  struct bgap_store_record records[4];
  size_t count;
  uint64_t end;
  bool more;
};

/**
 * struct scripted_store - a store that gives scripted answers in order and
 * records the calls
 */
struct scripted_store
{
  struct event_base *base;
  struct bgap_store_ops ops;
  struct answer answers[ANSWERS_MAX];
  size_t answer_count;
  size_t answered;
  uint64_t read_from[ANSWERS_MAX];
  size_t reads;
  size_t loads;
  uint64_t seen[16];
  size_t seen_count;
  size_t loaded;
  size_t synced;           /* times that the follower has reported that */
  size_t seen_when_synced; /* records seen when it last did */
};

/* Creates a follower of the store.  */
struct bgap_follower *scripted_store_start (struct scripted_store *fake,
                                            uint32_t wait_ms);

/* Runs the event loop until all answers have been given and one more is
   wanted, then frees the follower.  */
void scripted_store_finish (struct scripted_store *fake,
                            struct bgap_follower *follower);

/* Both.  */
void scripted_store_follow (struct scripted_store *fake);

#endif
