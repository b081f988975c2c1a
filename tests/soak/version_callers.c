/**
 * @file version_callers.c
 * Callers of streams at the crash fleet, whose engines have two software versions. A stream that
 * breaks is taken up at another daemon.
 */
#include "base/clock.h"
#include "platform/names.h"
#include "tests/soak/checks.h"
#include "tests/soak/soak.h"
#include "tests/support/crash_fleet.h"
#include "tools/surface/fleet_bench.h"

#include <string.h>

#define TIMEOUT_MS 3000
#define MAX_PAUSE_MS 80
#define MAX_TRIES 4
#define TARGET "/frail/again/x"

const char *const soak_versions[CRASH_FLEET_ENGINES] = {"v1", "v1.1", "v1", "v1.1", "v1", "v1.1"};

/** Adds the version of one event; reports a violation if the stream has events of another one. */
static void add_event(soak_stream *stream, const char *id, const char *data) {
    uint32_t number = 0;
    uint32_t run = 0;
    char engine_id[TOKEN_ENGINE_ID_BYTES] = "";
    bool is_event = token_engine_parse_event(data, &number, engine_id, &run);
    int engine = crash_fleet_engine_index(engine_id);
    if (!is_event || engine < 0 || number != stream->events + 1) {
        soak_report_violation("stream %s, first of %s: \"%s\" follows event %u", id,
                              stream->first_id, data, stream->events);
        return;
    }
    if (stream->version == NULL)
        g_strlcpy(stream->first_id, id, sizeof stream->first_id);
    else if (strcmp(stream->version, soak_versions[engine]) != 0)
        soak_report_violation("stream %s, begun as %s at version %s, goes on at %s of version %s",
                              id, stream->first_id, stream->version, engine_id,
                              soak_versions[engine]);
    stream->version = soak_versions[engine];
    stream->events++;
}

void soak_check_stream_version(soak_stream *stream, const char *id, const char *body) {
    g_auto(GStrv) events = g_strsplit(body, "\n\n", -1);
    for (guint index = 0; index + 1 < g_strv_length(events);
         index++) { /* The last is incomplete. */
        const char *data = strstr(events[index], "data: ");
        add_event(stream, id, data != NULL ? data + strlen("data: ") : events[index]);
    }
}

/** Sends one try; returns whether the stream is complete. */
static bool send_try(soak_stream *stream, int daemon, const char *id,
                     hs_client_connection **connection) {
    g_autofree char *resumes = g_strdup_printf(HEADER_RESUMES ": %s", stream->first_id);
    const char *const fields[] = {stream->version != NULL ? resumes : NULL, NULL};
    bool is_taken_up = stream->version != NULL;
    uint32_t before = stream->events;
    bench_answer answer = bench_send(&(bench_call){.daemon = daemon,
                                                   .method = "POST",
                                                   .target = TARGET,
                                                   .request_id = id,
                                                   .body = id,
                                                   .fields = fields,
                                                   .last_event = stream->events,
                                                   .timeout_ms = TIMEOUT_MS,
                                                   .kept = connection});
    if (answer.status == 200 && answer.body != NULL)
        soak_check_stream_version(stream, id, answer.body);
    g_mutex_lock(&record.lock);
    record.streams_taken_up += is_taken_up;
    record.streams_continued += is_taken_up && stream->events > before;
    g_mutex_unlock(&record.lock);
    bool is_whole = answer.status == 200 && answer.whole;
    bench_answer_clear(&answer);
    return is_whole;
}

gpointer soak_run_version_caller(gpointer data) {
    g_autoptr(GRand) rng = g_rand_new_with_seed(GPOINTER_TO_UINT(data));
    hs_client_connection *connections[BENCH_MAX_DAEMONS] = {NULL};
    uint32_t number = 0;
    while (g_atomic_int_get(&record.stopping) == 0) {
        soak_stream stream = {0};
        bool is_whole = false;
        for (int attempt = 0; attempt < MAX_TRIES && !is_whole; attempt++) {
            g_autofree char *id =
                g_strdup_printf("versions-%u-%u-%d", GPOINTER_TO_UINT(data), number, attempt);
            int daemon = g_rand_int_range(rng, 0, bench_daemon_count());
            is_whole = send_try(&stream, daemon, id, &connections[daemon]);
        }
        number++;
        hs_clock_sleep_ms((uint64_t)g_rand_int_range(rng, 1, MAX_PAUSE_MS));
    }
    for (int daemon = 0; daemon < bench_daemon_count(); daemon++)
        hs_client_connection_close(connections[daemon]);
    return NULL;
}
