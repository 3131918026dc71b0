#ifndef BANYANGAP_OWNERSHIP_HOME_H
#define BANYANGAP_OWNERSHIP_HOME_H

/*
 * Assigns each slice of a service to a home cell by weighted rendezvous
 * hashing.
 *
 *   const struct bgap_home_cell cells[] = { { "aamosen", 12 },
 *                                           { "hoejmosen", 16 } };
 *   uint32_t index = bgap_home_of_slice ("styrelsen.mosearkiv", 17, cells, 2);
 */

#include <stdint.h>

/**
 * struct bgap_home_cell - a cell that slices can be assigned to
 * @weight: slots of the service's servers in the cell; 0 counts as 1
 */
struct bgap_home_cell
{
  const char *name;
  uint32_t weight;
};

/**
 * bgap_home_of_slice() - select the home cell of a slice
 * @count: number of @cells, at least 1
 *
 * The result depends on the cells' names and weights, not on their order.
 *
 * Return: index into @cells.
 */
uint32_t bgap_home_of_slice (const char *service, uint32_t slice,
                             const struct bgap_home_cell *cells,
                             uint32_t count);

#endif
