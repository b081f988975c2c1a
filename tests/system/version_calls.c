/** @file version_calls.c  See version_calls.h. */
#include "tests/system/version_calls.h"

#include "base/clock.h"
#include "platform/names.h"
#include "tests/system/crash_calls.h"

#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

#define CALLERS 10
#define CALLER_PAUSE_MS 20
/** Attempts of one caller for one stream. */
#define MAX_TRIES 4
/** Time in ms for which callers send streams, and the interval between two faults. */
#define CALLING_MS 8000
#define FAULT_INTERVAL_MS 600

/** Returns the version that an engine had in a run; NULL: an unknown engine. */
static const char *find_version(const char *engine_id, uint32_t run) {
    if (strcmp(engine_id, WITHDRAWN_ID) == 0)
        return WITHDRAWN_VERSION;
    int engine = crash_fleet_engine_index(engine_id);
    return engine >= 0 ? crash_fleet_get_run_version(get_crash_fleet(), engine, run) : NULL;
}

/** Adds the whole events of an answer; returns how many there are. */
static uint32_t add_events(caller_stream *stream, const char *request_id, const char *body) {
    uint32_t before = stream->events;
    g_auto(GStrv) events = g_strsplit(body, "\n\n", -1);
    guint count = g_strv_length(events);
    for (guint index = 0; index + 1 < count; index++) { /* The last one is incomplete. */
        const char *data = strstr(events[index], "data: ");
        uint32_t number = 0;
        uint32_t run = 0;
        char engine_id[TOKEN_ENGINE_ID_BYTES] = "";
        bool is_event = data != NULL &&
                        token_engine_parse_event(data + strlen("data: "), &number, engine_id, &run);
        const char *version = is_event ? find_version(engine_id, run) : NULL;
        if (version == NULL || number != stream->events + 1) {
            stream->is_out_of_order = true;
            continue;
        }
        if (stream->version == NULL)
            g_strlcpy(stream->first_id, request_id, sizeof stream->first_id);
        stream->is_mixed |= stream->version != NULL && strcmp(stream->version, version) != 0;
        stream->version = stream->version != NULL ? stream->version : version;
        stream->events++;
    }
    return stream->events - before;
}

uint32_t send_try(caller_stream *stream, int daemon, const char *request_id,
                  uint32_t disconnect_after_ms) {
    g_autofree char *resumes = g_strdup_printf(HEADER_RESUMES ": %s", stream->first_id);
    const char *const fields[] = {stream->version != NULL ? resumes : NULL, NULL};
    bench_answer answer =
        bench_send(&(bench_call){.daemon = daemon,
                                 .method = "POST",
                                 .target = "/again/x",
                                 .request_id = request_id,
                                 .body = *stream->body != '\0' ? stream->body : "hello",
                                 .fields = fields,
                                 .last_event = stream->events,
                                 .disconnect_after_ms = disconnect_after_ms});
    uint32_t events = 0;
    if (answer.status == 200 && answer.body != NULL)
        events = add_events(stream, request_id, answer.body);
    stream->is_whole = answer.status == 200 && answer.whole;
    bench_answer_clear(&answer);
    return events;
}

static void call_one_stream(stream_results *results) {
    caller_stream stream = {0};
    gint number = g_atomic_int_add(&results->next_number, 1);
    /* No content takes part in so many crashes that it is quarantined. */
    g_snprintf(stream.body, sizeof stream.body, "%s-%d", results->title, number);
    uint32_t taken_up = 0;
    uint32_t went_on = 0;
    for (int attempt = 0; attempt < MAX_TRIES && !stream.is_whole; attempt++) {
        g_autofree char *id = g_strdup_printf("%s-%d-%d", results->title, number, attempt);
        bool is_resumed = stream.version != NULL;
        uint32_t leave_after_ms = attempt == 0 ? results->leave_after_ms : 0;
        bool has_events =
            send_try(&stream, (number + attempt) % VERSION_DAEMONS, id, leave_after_ms) > 0;
        taken_up += is_resumed;
        went_on += is_resumed && has_events;
    }
    g_mutex_lock(&results->lock);
    results->streams++;
    results->begun += stream.version != NULL;
    results->taken_up += taken_up;
    results->went_on += went_on;
    results->whole += stream.is_whole && stream.events == VERSION_EVENTS;
    results->mixed += stream.is_mixed;
    results->out_of_order += stream.is_out_of_order;
    g_mutex_unlock(&results->lock);
}

static gpointer run_stream_caller(gpointer data) {
    stream_results *results = data;
    while (g_atomic_int_get(&results->stopping) == 0) {
        call_one_stream(results);
        hs_clock_sleep_ms(CALLER_PAUSE_MS);
    }
    return NULL;
}

stream_results call_beside_faults(const char *title, fault_function cause_fault,
                                  uint32_t leave_after_ms) {
    stream_results results = {.title = title, .leave_after_ms = leave_after_ms};
    GThread *threads[CALLERS];
    CU_ASSERT_TRUE(crash_fleet_wait_all_up(get_crash_fleet()));
    g_mutex_init(&results.lock);
    for (int index = 0; index < CALLERS; index++)
        threads[index] = g_thread_new("stream-caller", run_stream_caller, &results);
    uint64_t until_ms = hs_clock_monotonic_ms() + CALLING_MS;
    for (int turn = 0; hs_clock_monotonic_ms() < until_ms; turn++) {
        hs_clock_sleep_ms(FAULT_INTERVAL_MS);
        cause_fault(turn);
    }
    g_atomic_int_set(&results.stopping, 1);
    for (int index = 0; index < CALLERS; index++)
        g_thread_join(threads[index]);
    fprintf(stderr, "%s: %u streams, %u begun, %u whole, %u mixed; %u taken up, %u went on\n",
            title, results.streams, results.begun, results.whole, results.mixed, results.taken_up,
            results.went_on);
    CU_ASSERT(results.begun > 0);
    CU_ASSERT_EQUAL(results.mixed, 0);
    CU_ASSERT_EQUAL(results.out_of_order, 0);
    g_mutex_clear(&results.lock);
    return results;
}

void crash_two_engines(int turn) {
    for (int index = turn % 2; index + 2 < CRASH_FLEET_ENGINES; index += 2)
        crash_fleet_crash_engine(get_crash_fleet(), index);
}
