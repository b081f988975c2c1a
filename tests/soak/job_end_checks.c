/** @file job_end_checks.c  Check of what engines receive after the acknowledged end of a job. */
#include "base/clock.h"
#include "tests/soak/checks.h"
#include "tests/soak/faults.h"
#include "tests/soak/soak.h"

#include <stdio.h>
#include <string.h>

/** The daemons' default of fleet.cancel_ms. */
#define MAX_SEND_AFTER_END_MS 3000
/** Within this time after a pause or a delay, what it held up reaches the engine. */
#define MAX_RELEASE_MS 200
#define LINE_BYTES 4096

/** Item id -> uint64_t*: monotonic time in ms of the first acknowledged end. */
static GHashTable *item_ends;

/** What a daemon's log shows of an item until it reached an engine. Monotonic times. */
typedef struct {
    bool has_started;
    bool is_open;       /**< The last try has not ended. */
    bool was_open_late; /**< Some try had not ended at the time limit. */
    bool has_lost_lines;
    uint64_t started_ms; /**< Start of the last try. */
} item_history;

void soak_record_job_end(const char *job, int items, uint64_t acknowledged_ms) {
    g_mutex_lock(&record.lock);
    if (item_ends == NULL)
        item_ends = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (int item = 0; item < items; item++) {
        char *id = g_strdup_printf("%s-%d", job, item);
        record.jobs_ended += item == 0 && !g_hash_table_contains(item_ends, id);
        if (g_hash_table_contains(item_ends, id))
            g_free(id);
        else
            g_hash_table_insert(item_ends, id, g_memdup2(&acknowledged_ms, sizeof acknowledged_ms));
    }
    g_mutex_unlock(&record.lock);
    g_atomic_int_inc(&record.end_acknowledgements);
}

static void end_try(item_history *history, uint64_t at_ms, uint64_t limit_ms) {
    history->was_open_late = history->was_open_late || (history->is_open && at_ms >= limit_ms);
    history->is_open = false;
}

/** A try lasts until its end, the next try, or the next start of the daemon. */
static void read_line(item_history *history, const char *line, const char *field, uint64_t at_ms,
                      uint64_t limit_ms) {
    bool is_of_item = strstr(line, field) != NULL;
    bool is_start = is_of_item && strstr(line, "event=item_started ") != NULL;
    if (is_start || (is_of_item && strstr(line, "event=item_try_ended ") != NULL) ||
        strstr(line, "event=daemon_started ") != NULL)
        end_try(history, at_ms, limit_ms);
    if (strstr(line, "event=log_lines_dropped ") != NULL)
        history->has_lost_lines = true;
    if (!is_start)
        return;
    history->is_open = true;
    history->has_started = true;
    history->started_ms = at_ms;
}

/** Reads a daemon's log until @p sent_ms. @p limit_ms: from then on no engine may get the item. */
static item_history read_history(int daemon, const char *item, uint64_t limit_ms,
                                 uint64_t sent_ms) {
    g_autofree char *path =
        g_strdup_printf("%s/daemon-%d.log", bench.settings.log_directory, daemon);
    g_autofree char *field = g_strdup_printf(" item=%s ", item);
    uint64_t wall_lead_ms = hs_clock_wall_ms() - hs_clock_monotonic_ms();
    item_history history = {0};
    char line[LINE_BYTES];
    FILE *log = fopen(path, "r");
    while (log != NULL && fgets(line, sizeof line, log) != NULL) {
        guint64 wall_ms = 0;
        if (sscanf(line, "ts_ms=%" G_GUINT64_FORMAT, &wall_ms) == 1 &&
            wall_ms - wall_lead_ms <= sent_ms)
            read_line(&history, line, field, wall_ms - wall_lead_ms, limit_ms);
    }
    if (log != NULL)
        fclose(log);
    end_try(&history, sent_ms, limit_ms);
    return history;
}

/** Whether a pause that began after the item's start at the daemon can have held it up. */
static bool was_stopped_before_send(int daemon, const char *item, uint64_t sent_ms) {
    uint64_t from_ms = sent_ms - MAX_RELEASE_MS;
    if (soak_was_target_free(FAULT_PAUSE, daemon, from_ms, sent_ms))
        return false;
    if (bench.settings.log_directory == NULL)
        return true;
    item_history history = read_history(daemon, item, sent_ms, sent_ms);
    return history.has_started &&
           !soak_was_target_free(FAULT_PAUSE, daemon, MAX(from_ms, history.started_ms), sent_ms);
}

/**
 * Whether the logs of all daemons are complete and show that every try of the item ended before the
 * time limit: it was sent before, and the kernel or a stand-in held it up.
 */
static bool was_sent_in_time(const char *item, uint64_t limit_ms, uint64_t sent_ms) {
    bool has_started = false;
    bool is_excluded = bench.settings.log_directory == NULL;
    for (int daemon = 0; daemon < bench_daemon_count() && !is_excluded; daemon++) {
        item_history history = read_history(daemon, item, limit_ms, sent_ms);
        has_started = has_started || history.has_started;
        is_excluded = history.was_open_late || history.has_lost_lines;
    }
    return has_started && !is_excluded;
}

static bool was_any_sender_stopped(const char *item, uint64_t sent_ms) {
    bool was_stopped = false;
    for (int daemon = 0; daemon < bench_daemon_count() && !was_stopped; daemon++)
        was_stopped = was_stopped_before_send(daemon, item, sent_ms);
    return was_stopped;
}

static void judge_late_send(int engine, const token_engine_call *call, uint64_t ended_ms) {
    const char *engine_id = token_engine_id(bench.engines[engine]);
    unsigned after_ms = (unsigned)(call->begun_ms - ended_ms);
    bool is_on_link = !soak_was_target_free(FAULT_ENGINE_LINK_DELAY, engine,
                                            call->begun_ms - MAX_RELEASE_MS, call->begun_ms);
    bool is_of_stopped = !is_on_link && was_any_sender_stopped(call->request_id, call->begun_ms);
    bool is_in_transit =
        !is_on_link && !is_of_stopped &&
        was_sent_in_time(call->request_id, ended_ms + MAX_SEND_AFTER_END_MS, call->begun_ms);
    record.late_sends_on_links += is_on_link;
    record.late_sends_of_stopped += is_of_stopped;
    record.late_sends_in_transit += is_in_transit;
    if (is_on_link || is_of_stopped || is_in_transit) {
        if (!record.is_quiet)
            soak_log("excused: %s reached %s %u ms after the end of its job: %s", call->request_id,
                     engine_id, after_ms, is_on_link ? "link delayed" : "daemon stopped");
        return;
    }
    record.late_sends++;
    record.last_send_ms = MAX(record.last_send_ms, after_ms);
    if (record.has_earlier_builds)
        return;
    soak_report_violation(
        "%s reached %s at %.3f, %u ms after the end of its job was acknowledged", call->request_id,
        engine_id, (double)(call->begun_ms + hs_clock_wall_ms() - hs_clock_monotonic_ms()) / 1000,
        after_ms);
}

static void check_call(int engine, const token_engine_call *call) {
    const uint64_t *ended_ms = g_hash_table_lookup(item_ends, call->request_id);
    if (ended_ms == NULL || call->begun_ms <= *ended_ms)
        return;
    if (call->begun_ms - *ended_ms > MAX_SEND_AFTER_END_MS)
        judge_late_send(engine, call, *ended_ms);
    else
        record.last_send_ms = MAX(record.last_send_ms, (uint32_t)(call->begun_ms - *ended_ms));
}

void soak_check_sends_after_ends(void) {
    if (item_ends == NULL)
        return;
    for (int engine = 0; engine < BENCH_ENGINES; engine++) {
        token_engine_call call;
        for (uint32_t number = 0; token_engine_find_call(bench.engines[engine], number, &call);
             number++)
            check_call(engine, &call);
    }
    g_hash_table_destroy(item_ends);
    item_ends = NULL;
}
