/**
 * @file report_reader.h
 * A thread that reads the load reports of the engines scheduled by this daemon once per second and
 * marks leaving and serving engines in the engine table.
 */
#ifndef HS_SCHEDULING_REPORT_READER_H
#define HS_SCHEDULING_REPORT_READER_H

#include "routing/engine_table.h"
#include "scheduling/scheduler.h"

typedef struct hs_report_reader hs_report_reader;

/** Starts the thread. Borrows both arguments until hs_report_reader_stop. */
hs_report_reader *hs_report_reader_start(hs_scheduler *scheduler, hs_engine_table *engines);
/** Stops the thread and frees the reader. */
void hs_report_reader_stop(hs_report_reader *reader);

#endif
