/** @file report_reader.c  See report_reader.h. */
#include "scheduling/report_reader.h"

#include "base/clock.h"
#include "engine/engine_client.h"

#define READ_INTERVAL_MS 1000
#define STOP_CHECK_INTERVAL_MS 50

struct hs_report_reader {
    hs_scheduler *scheduler;
    hs_engine_table *engines;
    gint stopping;
    GThread *thread;
};

static void read_report(hs_report_reader *reader, const hs_scheduled_engine *engine) {
    hs_engine_report report;
    if (!hs_engine_read_load(engine->url, &report))
        return;
    if (report.leaving)
        hs_engine_table_note_leaving(reader->engines, engine->id, true, hs_clock_monotonic_ms());
    else
        hs_engine_table_note_serving(reader->engines, engine->id, hs_clock_monotonic_ms());
}

static gpointer read_reports(gpointer data) {
    hs_report_reader *reader = data;
    uint64_t next_ms = 0;
    while (g_atomic_int_get(&reader->stopping) == 0) {
        if (hs_clock_monotonic_ms() < next_ms) {
            hs_clock_sleep_ms(STOP_CHECK_INTERVAL_MS);
            continue;
        }
        next_ms = hs_clock_monotonic_ms() + READ_INTERVAL_MS;
        g_autoptr(GArray) engines = hs_scheduler_engines(reader->scheduler);
        for (guint index = 0; index < engines->len; index++)
            read_report(reader, &g_array_index(engines, hs_scheduled_engine, index));
    }
    return NULL;
}

hs_report_reader *hs_report_reader_start(hs_scheduler *scheduler, hs_engine_table *engines) {
    hs_report_reader *reader = g_new0(hs_report_reader, 1);
    reader->scheduler = scheduler;
    reader->engines = engines;
    reader->thread = g_thread_new("report-reader", read_reports, reader);
    return reader;
}

void hs_report_reader_stop(hs_report_reader *reader) {
    g_atomic_int_set(&reader->stopping, 1);
    g_thread_join(reader->thread);
    g_free(reader);
}
