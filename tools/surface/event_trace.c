/** @file event_trace.c  See event_trace.h. */
#include "tools/surface/event_trace.h"

#include "tools/surface/fleet_bench.h"

#include <stdio.h>
#include <string.h>

#define MS_PER_S 1000.0

typedef struct {
    const char *request_id;
    event_trace *trace;
    char engine_id[TOKEN_ENGINE_ID_BYTES]; /**< Engine and run of the previous event. */
    uint32_t run;
    GString *run_list; /**< Description of the runs for the fault message. */
} trace_state;

static void record_fault(event_trace *trace, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void record_fault(event_trace *trace, const char *format, ...) {
    if (trace->fault != NULL)
        return;
    va_list arguments;
    va_start(arguments, format);
    trace->fault = g_strdup_vprintf(format, arguments);
    va_end(arguments);
}

static bool find_engine_run(const char *engine_id, uint32_t number, token_engine_run *run) {
    for (int index = 0; index < BENCH_ENGINES; index++)
        if (strcmp(token_engine_id(bench.engines[index]), engine_id) == 0)
            return token_engine_find_run(bench.engines[index], number, run);
    return false;
}

/** Appends a run to the list: its first traced event, its resume event and its running time. */
static void append_run(const trace_state *state, const char *engine_id, uint32_t number) {
    token_engine_run run = {0};
    find_engine_run(engine_id, number, &run);
    g_string_append_printf(
        state->run_list,
        "%sfrom event %u: run %s/%u, resumed after event %u, running from %.3f s to %.3f s",
        state->run_list->len > 0 ? "; " : "", state->trace->events + 1, engine_id, number,
        (unsigned)run.asked_after, (double)run.begun_ms / MS_PER_S,
        (double)run.ended_ms / MS_PER_S);
}

/** Checks that the next run belongs to the request and was resumed after the previous event. */
static void check_run_switch(const trace_state *state, const char *engine_id, uint32_t number) {
    uint32_t previous_event = state->trace->events;
    token_engine_run run;
    if (!find_engine_run(engine_id, number, &run)) {
        record_fault(state->trace, "event %u names run %s/%u, which was never made",
                     previous_event + 1, engine_id, number);
        return;
    }
    if (strcmp(run.request_id, state->request_id) != 0)
        record_fault(state->trace, "event %u is of run %s/%u of another request, %s",
                     previous_event + 1, engine_id, number, run.request_id);
    if (run.asked_after != previous_event)
        record_fault(state->trace,
                     "run %s/%u continues after event %u, but was asked to go on after %u",
                     engine_id, number, previous_event, (unsigned)run.asked_after);
}

static void trace_event(trace_state *state, const char *data) {
    event_trace *trace = state->trace;
    uint32_t event = 0;
    uint32_t number = 0;
    char engine_id[TOKEN_ENGINE_ID_BYTES] = "";
    if (!token_engine_parse_event(data, &event, engine_id, &number)) {
        record_fault(trace, "not an engine event: \"%s\"", data);
        return;
    }
    if (event != trace->events + 1)
        record_fault(trace, "event %u follows event %u", event, trace->events);
    bool is_same_run =
        trace->events > 0 && number == state->run && strcmp(engine_id, state->engine_id) == 0;
    if (!is_same_run) {
        append_run(state, engine_id, number);
        check_run_switch(state, engine_id, number);
    }
    trace->joints += !is_same_run && trace->events > 0;
    trace->events++;
    state->run = number;
    g_strlcpy(state->engine_id, engine_id, sizeof state->engine_id);
}

/** Checks the number of events, adds the runs to a fault message and frees the run list. */
static void finish_trace(const trace_state *state, bool is_complete, uint32_t events) {
    event_trace *trace = state->trace;
    if (is_complete && trace->events != events)
        record_fault(trace, "%u of %u events", trace->events, events);
    if (trace->fault != NULL) {
        char *message = g_strdup_printf("%s (%s)", trace->fault, state->run_list->str);
        g_free(trace->fault);
        trace->fault = message;
    }
    g_string_free(state->run_list, TRUE);
}

event_trace event_trace_text(const char *request_id, const char *text, bool is_complete) {
    event_trace trace = {0};
    trace_state state = {.request_id = request_id, .trace = &trace, .run_list = g_string_new(NULL)};
    g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
    for (char **line = lines; *line != NULL; line++)
        trace_event(&state, *line);
    finish_trace(&state, is_complete, bench_item_events());
    return trace;
}

event_trace event_trace_stream(const char *request_id, const char *body, bool is_complete) {
    event_trace trace = {0};
    trace_state state = {.request_id = request_id, .trace = &trace, .run_list = g_string_new(NULL)};
    g_auto(GStrv) events = g_strsplit(body, "\n\n", -1);
    guint count = g_strv_length(events);
    for (guint index = 0; index + 1 < count; index++) { /* The last event is incomplete. */
        unsigned id = 0;
        int data_at = 0;
        if (sscanf(events[index], "id: %u\ndata: %n", &id, &data_at) != 1 || data_at == 0)
            record_fault(&trace, "malformed stream event: \"%s\"", events[index]);
        else if (id != trace.events + 1)
            record_fault(&trace, "id %u follows event %u", id, trace.events);
        else
            trace_event(&state, events[index] + data_at);
    }
    if (is_complete && count > 0 && *events[count - 1] != '\0')
        record_fault(&trace, "the stream ends within an event");
    finish_trace(&state, is_complete, BENCH_EVENTS);
    return trace;
}
