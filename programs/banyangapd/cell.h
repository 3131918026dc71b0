#ifndef BGAPD_CELL_H
#define BGAPD_CELL_H

/*
 * Runs the ownership engine of one cell: executes the engine's actions
 * (appends to and reads from the log, messages to peers, calls to backend
 * servers) and passes the results back to it.
 */

#include "banyangap/ownership/engine.h"
#include "cells.h"
#include "placer.h"

struct bgap_cell_append;

/**
 * struct bgap_cell - an engine with its I/O
 * @desc: options of the bgap_cells that the cell belongs to
 * @stream: name of the log stream, "ownership.<cell>"
 * @placer: placement of the engine's services
 * @appends: appends that the log has not answered yet
 * @next: next cell in the list of bgap_cells
 * @running: bgap_cell_run() is active; nested calls return at once
 */
struct bgap_cell
{
  const struct bgap_cells_desc *desc;
  char name[BGAP_NAME_SIZE];
  char stream[BGAP_NAME_SIZE + 16];
  struct bgap_engine *engine;
  struct bgap_placer *placer;
  struct bgap_cell_append *appends;
  struct bgap_cell *next;
  bool running;
};

/**
 * bgap_cell_new() - create a cell and its engine
 * @desc: must stay valid until the cell is freed
 * @incarnation: of this process
 *
 * Return: the cell, or NULL on failure; a refusal by the engine is logged.
 */
struct bgap_cell *bgap_cell_new (const struct bgap_cells_desc *desc,
                                 const char *name, uint64_t incarnation,
                                 enum bgap_witness_policy policy);

void bgap_cell_free (struct bgap_cell *cell);

/**
 * bgap_cell_run() - execute all pending actions of the engine
 */
void bgap_cell_run (struct bgap_cell *cell);

#endif
