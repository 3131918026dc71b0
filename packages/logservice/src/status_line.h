#ifndef BANYANGAP_LOGSERVICE_STATUS_LINE_H
#define BANYANGAP_LOGSERVICE_STATUS_LINE_H

/*
 * Check of the status lines of a response, byte by byte as it arrives. evhttp
 * reads the status with atoi(), for which "0200" and "4294967496" are 200.
 *
 *   struct bgap_status_line line = { 0 };
 *   if (!bgap_status_line_check (&line, input, added))
 *     ...
 */

#include <event2/buffer.h>
#include <stdbool.h>
#include <stddef.h>

/* Size of "HTTP/1.1 200" and the character that follows.  */
#define BGAP_STATUS_LINE_SIZE 13

/**
 * struct bgap_status_line - state of the check; zeroed means before the first
 * byte
 * @bytes: the beginning of the current status line, of which @size have come
 * @at_line_start: the last byte of the head has ended a line
 * @done: the head of the final response has begun; what follows is not checked
 */
struct bgap_status_line
{
  char bytes[BGAP_STATUS_LINE_SIZE];
  size_t size;
  bool at_line_start;
  bool done;
};

/**
 * bgap_status_line_check() - check the next bytes of a response
 * @input: ends with these bytes
 * @size: their number
 *
 * Return: false if a status line is malformed: anything but "HTTP/1.0" or
 * "HTTP/1.1", a space, three digits from 100 to 599, and a space or the end of
 * the line.
 */
bool bgap_status_line_check (struct bgap_status_line *line,
                             struct evbuffer *input, size_t size);

#endif
