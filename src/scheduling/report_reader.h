/**
 * @file report_reader.h
 * Reads the lagging load reports of the engines scheduled here, about once a second: the slow
 * source that heals what datagrams lost, and the first word of an engine that is leaving.
 */
#ifndef HS_SCHEDULING_REPORT_READER_H
#define HS_SCHEDULING_REPORT_READER_H

#include "routing/engine_table.h"
#include "scheduling/scheduler.h"

typedef struct hs_report_reader hs_report_reader;

/** Both are borrowed. */
hs_report_reader *hs_report_reader_start(hs_scheduler *scheduler, hs_engine_table *engines);
void hs_report_reader_stop(hs_report_reader *reader);

#endif
