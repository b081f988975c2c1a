/** @file online_run.c  See online_run.h. */
#include "tools/load/online_run.h"

#include "tools/fleet/client.h"
#include "tools/load/percentile.h"

#include <math.h>
#include <stdio.h>
#include <string.h>
#include <ulfius.h>

#define US_PER_S 1e6
#define US_PER_MS 1000.0
#define PROGRESS_INTERVAL_S 10
#define PROMPT_WORDS 60
#define PROMPT_PREFIXES 12

/** State shared by the requests of a run; lock protects the results. */
typedef struct {
    const online_run_options *options;
    char **callers;
    guint caller_count;
    GMutex lock;
    GArray *first_token_ms; /**< double: time to first token from the scheduled time. */
    GArray *gap_ms;         /**< double: time between tokens. */
    int complete_count;
    int refused_count;
    int broken_count;
} run_state;

typedef struct {
    int number; /**< From 0, in send order. */
    gint64 scheduled_us;
    uint32_t prefix; /**< Requests with one prefix share the start of their prompt. */
} scheduled_request;

static void record_latencies(run_state *state, const scheduled_request *scheduled,
                             const client_stream *stream) {
    const GArray *times = stream->token_times_us;
    for (guint index = 0; index < times->len; index++) {
        gint64 now_us = g_array_index(times, gint64, index);
        gint64 since_us =
            index == 0 ? scheduled->scheduled_us : g_array_index(times, gint64, index - 1);
        double value = (double)(now_us - since_us) / US_PER_MS;
        g_array_append_val(index == 0 ? state->first_token_ms : state->gap_ms, value);
    }
}

static void send_request(gpointer data, gpointer user_data) {
    scheduled_request *scheduled = data;
    run_state *state = user_data;
    GString *prompt = g_string_new(NULL);
    for (int word = 0; word < PROMPT_WORDS; word++)
        g_string_append_printf(prompt, "prefix%u-%d ", scheduled->prefix, word);
    g_autofree char *body = g_strdup_printf(
        "{\"model\":\"%s\",\"max_tokens\":%d,\"stream\":true,\"prompt\":\"%s%d\"}",
        state->options->model, state->options->tokens, prompt->str, scheduled->number);
    g_string_free(prompt, TRUE);
    client_stream stream;
    client_stream_run(state->callers[(guint)scheduled->number % state->caller_count],
                      "/v1/completions", "load", body, NULL, 0, &stream);
    g_mutex_lock(&state->lock);
    record_latencies(state, scheduled, &stream);
    state->complete_count += stream.done_seen;
    state->refused_count += !stream.done_seen && g_strcmp0(stream.executed, "no") == 0;
    state->broken_count += !stream.done_seen && g_strcmp0(stream.executed, "no") != 0;
    g_mutex_unlock(&state->lock);
    client_stream_clear(&stream);
    g_free(scheduled);
}

static void print_percentiles(const char *name, GArray *values) {
    static const double shares[] = {0.50, 0.95, 0.99};
    percentile_sort(values);
    for (size_t index = 0; index < G_N_ELEMENTS(shares) && values->len > 0; index++)
        printf("%s_p%.0f_ms=%.2f\n", name, shares[index] * 100,
               percentile_of(values, shares[index]));
}

/** Returns the next send time: exponential intervals within the busy times. */
static double next_send_time(GRand *random, const online_run_options *options, double now_s) {
    double next_s = now_s - log(1.0 - g_rand_double(random)) / options->rate_per_s;
    double cycle_s = options->busy_s + options->idle_s;
    if (options->busy_s > 0 && fmod(next_s, cycle_s) > options->busy_s)
        next_s = floor(next_s / cycle_s) * cycle_s + cycle_s;
    return next_s;
}

/** Sends the requests at their scheduled times. @return number of requests. */
static int schedule_requests(run_state *state, GThreadPool *pool) {
    const online_run_options *options = state->options;
    GRand *random = g_rand_new_with_seed(options->seed);
    gint64 started_us = g_get_monotonic_time();
    double progress_s = PROGRESS_INTERVAL_S;
    int number = 0;
    double time_s = next_send_time(random, options, 0);
    while (time_s < options->seconds) {
        scheduled_request *scheduled = g_new0(scheduled_request, 1);
        scheduled->number = number++;
        scheduled->prefix = (uint32_t)g_rand_int_range(random, 0, PROMPT_PREFIXES);
        scheduled->scheduled_us = started_us + (gint64)(time_s * US_PER_S);
        gint64 wait_us = scheduled->scheduled_us - g_get_monotonic_time();
        if (wait_us > 0)
            g_usleep((gulong)wait_us);
        g_thread_pool_push(pool, scheduled, NULL);
        if (time_s >= progress_s) {
            progress_s += PROGRESS_INTERVAL_S;
            fprintf(stderr, "progress seconds=%.0f sent=%d\n", time_s, number);
        }
        time_s = next_send_time(random, options, time_s);
    }
    g_rand_free(random);
    return number;
}

int online_run(const online_run_options *options) {
    run_state state = {.options = options,
                       .callers = g_strsplit(options->callers, ",", -1),
                       .first_token_ms = g_array_new(FALSE, FALSE, sizeof(double)),
                       .gap_ms = g_array_new(FALSE, FALSE, sizeof(double))};
    state.caller_count = g_strv_length(state.callers);
    g_mutex_init(&state.lock);
    ulfius_global_init();
    GThreadPool *pool = g_thread_pool_new(send_request, &state, -1, FALSE, NULL);
    int sent_count = schedule_requests(&state, pool);
    g_thread_pool_free(pool, FALSE, TRUE);
    printf("online_sent=%d\nonline_whole=%d\nonline_refused=%d\nonline_broken=%d\n", sent_count,
           state.complete_count, state.refused_count, state.broken_count);
    print_percentiles("first_token", state.first_token_ms);
    print_percentiles("gap", state.gap_ms);
    g_array_free(state.first_token_ms, TRUE);
    g_array_free(state.gap_ms, TRUE);
    g_strfreev(state.callers);
    return sent_count - state.complete_count;
}
