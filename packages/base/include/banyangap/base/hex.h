#ifndef BANYANGAP_BASE_HEX_H
#define BANYANGAP_BASE_HEX_H

/*
 * Hexadecimal digits.
 *
 *   int high = bgap_hex_digit (text[0]);
 *   if (high < 0)
 *     return BGAP_ERR_INVALID;
 */

/**
 * bgap_hex_digit() - value of a hexadecimal digit in either case
 *
 * Return: 0 to 15, or -1 for any other character.
 */
int bgap_hex_digit (char c);

#endif
