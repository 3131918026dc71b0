#ifndef BANYANGAP_LOGSERVICE_ANSWER_H
#define BANYANGAP_LOGSERVICE_ANSWER_H

/*
 * Outcome of a call to a service of the platform.
 *
 * Only BGAP_ANSWER_REFUSED proves that an append had no effect. After
 * BGAP_ANSWER_UNKNOWN the record may be in the log, or may still get there.
 */

/**
 * enum bgap_answer - outcome of a call
 */
enum bgap_answer
{
  BGAP_ANSWER_OK,        /* the call succeeded */
  BGAP_ANSWER_REFUSED,   /* had no effect: not sent, or status 4xx or 503 */
  BGAP_ANSWER_UNKNOWN,   /* response lost, late or malformed */
  BGAP_ANSWER_TRUNCATED, /* read from an offset that is no longer retained */
  BGAP_ANSWER_COUNT
};

/**
 * bgap_answer_name() - short lower-case name, never NULL
 */
const char *bgap_answer_name (enum bgap_answer answer);

#endif
