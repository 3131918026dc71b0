#ifndef BANYANGAP_LOGSERVICE_ANSWER_H
#define BANYANGAP_LOGSERVICE_ANSWER_H

/*
 * How a call to a service of the platform ended.
 *
 * Only BGAP_ANSWER_REFUSED proves that an append had no effect. After
 * BGAP_ANSWER_UNKNOWN the record may be in the log, or may still get there.
 */

/**
 * enum bgap_answer - outcome of a call
 */
enum bgap_answer
{
  BGAP_ANSWER_OK,        /* done */
  BGAP_ANSWER_REFUSED,   /* certainly had no effect: not sent, or 4xx, 503 */
  BGAP_ANSWER_UNKNOWN,   /* lost, late or malformed answer */
  BGAP_ANSWER_TRUNCATED, /* read from an offset that is no longer kept */
  BGAP_ANSWER_COUNT
};

/**
 * bgap_answer_name() - short lower-case name, never NULL
 */
const char *bgap_answer_name (enum bgap_answer answer);

#endif
