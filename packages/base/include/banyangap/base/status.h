#ifndef BANYANGAP_BASE_STATUS_H
#define BANYANGAP_BASE_STATUS_H

/*
 * Status codes and error messages.
 *
 *   struct bgap_error err = { 0 };
 *   if (bgap_thing_load (thing, &err) != BGAP_OK)
 *     bgap_log_error ("thing", "%s", err.message);
 */

/**
 * enum bgap_status - result of an operation that can fail
 */
enum bgap_status
{
  BGAP_OK,
  BGAP_ERR_INVALID,     /* bad argument or malformed input */
  BGAP_ERR_NO_MEMORY,   /* allocation failed */
  BGAP_ERR_NOT_FOUND,   /* no such entry */
  BGAP_ERR_FULL,        /* a fixed capacity is exhausted */
  BGAP_ERR_STALE,       /* based on an older state than the current one */
  BGAP_ERR_TIMEOUT,     /* no answer in time */
  BGAP_ERR_IO,          /* system call or connection failed */
  BGAP_ERR_PROTOCOL,    /* malformed message from the remote end */
  BGAP_ERR_UNAVAILABLE, /* the remote end cannot serve now */
  BGAP_STATUS_COUNT
};

/* Size of an error message in bytes, terminating zero included.  */
#define BGAP_ERROR_MESSAGE_SIZE 256

/**
 * struct bgap_error - status and message of the last failed operation
 * @status: BGAP_OK if nothing failed
 * @message: human-readable text, empty if nothing failed
 */
struct bgap_error
{
  enum bgap_status status;
  char message[BGAP_ERROR_MESSAGE_SIZE];
};

/**
 * bgap_error_set() - store a status and a formatted message
 * @err: may be NULL; then only the status is returned
 *
 * Return: @status, so that callers can write return bgap_error_set (...).
 */
enum bgap_status bgap_error_set (struct bgap_error *err,
                                 enum bgap_status status, const char *format,
                                 ...) __attribute__ ((format (printf, 3, 4)));

/**
 * bgap_status_name() - short lower-case name of a status, never NULL
 */
const char *bgap_status_name (enum bgap_status status);

#endif
