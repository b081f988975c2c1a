/** @file event_trace.c  See event_trace.h. */
#include "tools/surface/event_trace.h"

#include "tools/surface/fleet_bench.h"

#include <stdio.h>
#include <string.h>

#define MS_PER_S 1000.0

/** Where a trace stands. */
typedef struct {
    const char *request_id;
    event_trace *found;
    char engine_id[TOKEN_ENGINE_ID_BYTES]; /**< Whose run made the event before, */
    uint32_t run;                          /**< and which. */
    GString *chain;                        /**< The runs so far, in words. */
} trace_state;

static void note_fault(event_trace *found, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void note_fault(event_trace *found, const char *format, ...) {
    if (found->fault != NULL)
        return;
    va_list arguments;
    va_start(arguments, format);
    found->fault = g_strdup_vprintf(format, arguments);
    va_end(arguments);
}

static bool find_run(const char *engine_id, uint32_t number, token_engine_run *run) {
    for (int index = 0; index < BENCH_ENGINES; index++)
        if (strcmp(token_engine_id(bench.engines[index]), engine_id) == 0)
            return token_engine_find_run(bench.engines[index], number, run);
    return false;
}

/** Add a run to the chain: which, when it was at work, and from which event on it is heard. */
static void add_to_chain(const trace_state *state, const char *engine_id, uint32_t number) {
    token_engine_run run = {0};
    find_run(engine_id, number, &run);
    g_string_append_printf(state->chain,
                           "%sfrom event %u: %s/%u, asked after %u, at work %.3f to %.3f",
                           state->chain->len > 0 ? "; " : "", state->found->events + 1, engine_id,
                           number, (unsigned)run.asked_after, (double)run.begun_ms / MS_PER_S,
                           (double)run.ended_ms / MS_PER_S);
}

/** Another run goes on: it must be one of this request, asked to go on after the event before. */
static void check_joint(const trace_state *state, const char *engine_id, uint32_t number) {
    uint32_t before = state->found->events;
    token_engine_run run;
    if (!find_run(engine_id, number, &run)) {
        note_fault(state->found, "event %u names run %s/%u, which was never made", before + 1,
                   engine_id, number);
        return;
    }
    if (strcmp(run.request_id, state->request_id) != 0)
        note_fault(state->found, "event %u is of run %s/%u of another request, %s", before + 1,
                   engine_id, number, run.request_id);
    if (run.asked_after != before)
        note_fault(state->found,
                   "run %s/%u goes on after event %u, but was asked to go on after %u", engine_id,
                   number, before, (unsigned)run.asked_after);
}

static void trace_event(trace_state *state, const char *data) {
    event_trace *found = state->found;
    uint32_t event = 0;
    uint32_t number = 0;
    char engine_id[TOKEN_ENGINE_ID_BYTES] = "";
    if (!token_engine_parse_event(data, &event, engine_id, &number)) {
        note_fault(found, "no event of an engine: \"%s\"", data);
        return;
    }
    if (event != found->events + 1)
        note_fault(found, "event %u follows event %u", event, found->events);
    bool is_same_run =
        found->events > 0 && number == state->run && strcmp(engine_id, state->engine_id) == 0;
    if (!is_same_run) {
        add_to_chain(state, engine_id, number);
        check_joint(state, engine_id, number);
    }
    found->joints += !is_same_run && found->events > 0;
    found->events++;
    state->run = number;
    g_strlcpy(state->engine_id, engine_id, sizeof state->engine_id);
}

/** End a trace: its length is checked, and a fault told with the runs. Frees the chain. */
static void end_trace(const trace_state *state, bool whole, uint32_t events) {
    event_trace *found = state->found;
    if (whole && found->events != events)
        note_fault(found, "%u of %u events", found->events, events);
    if (found->fault != NULL) {
        char *told = g_strdup_printf("%s (%s)", found->fault, state->chain->str);
        g_free(found->fault);
        found->fault = told;
    }
    g_string_free(state->chain, TRUE);
}

event_trace event_trace_text(const char *request_id, const char *text, bool whole) {
    event_trace found = {0};
    trace_state state = {.request_id = request_id, .found = &found, .chain = g_string_new(NULL)};
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (char **line = lines; *line != NULL; line++)
        trace_event(&state, *line);
    end_trace(&state, whole, bench_item_events());
    return found;
}

event_trace event_trace_stream(const char *request_id, const char *body, bool whole) {
    event_trace found = {0};
    trace_state state = {.request_id = request_id, .found = &found, .chain = g_string_new(NULL)};
    g_auto(GStrv) events = g_strsplit(body, "\n\n", -1);
    guint count = g_strv_length(events);
    for (guint index = 0; index + 1 < count; index++) { /* The last one is not ended. */
        unsigned id = 0;
        int data_at = 0;
        if (sscanf(events[index], "id: %u\ndata: %n", &id, &data_at) != 1 || data_at == 0)
            note_fault(&found, "not an event: \"%s\"", events[index]);
        else if (id != found.events + 1)
            note_fault(&found, "id %u follows event %u", id, found.events);
        else
            trace_event(&state, events[index] + data_at);
    }
    if (whole && count > 0 && *events[count - 1] != '\0')
        note_fault(&found, "it ends within an event");
    end_trace(&state, whole, BENCH_EVENTS);
    return found;
}
