#ifndef BANYANGAP_RESOURCE_TEXT_H
#define BANYANGAP_RESOURCE_TEXT_H

/*
 * Text functions: truncation, edit distance, syntax of names and addresses.
 */

#include <stdbool.h>
#include <stddef.h>

/**
 * bgap_text_copy() - copy UTF-8 text, truncated after a whole character
 * @size: size of @to in bytes, terminating zero included
 */
void bgap_text_copy (char *to, size_t size, const char *from);

/**
 * bgap_text_printf() - format text, truncated after a whole character
 */
void bgap_text_printf (char *to, size_t size, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/**
 * bgap_text_clean() - replace control characters and invalid UTF-8 by '?'
 * and drop an incomplete character at the end
 */
void bgap_text_clean (char *text);

/**
 * bgap_text_distance() - edit distance of two words
 *
 * Return: the Levenshtein distance, or a large number for words of 64 bytes
 * or more.
 */
unsigned bgap_text_distance (const char *a, const char *b);

/**
 * bgap_text_is_name() - whether the text is a name: 1 to 63 lower-case
 * letters, digits and '-', the first one not '-'
 */
bool bgap_text_is_name (const char *text);

/**
 * bgap_text_is_digest() - whether the text is 64 lower-case hexadecimal
 * digits
 */
bool bgap_text_is_digest (const char *text);

/**
 * bgap_text_address() - normalise a numeric IP address with port
 * @to: gets the address; BGAP_RESOURCE_ADDRESS_SIZE bytes
 * @unspecified: gets whether the address is 0.0.0.0 or [::]
 *
 * Return: false if the text is not such an address.
 */
bool bgap_text_address (const char *text, char *to, bool *unspecified);

#endif
