/** @file callers.c  Callers of the soak, and what they remember; see soak.h. */
#include "tests/soak/soak.h"

#include "base/clock.h"
#include "http/http_fields.h"
#include "platform/names.h"
#include "tools/surface/event_trace.h"
#include "tools/surface/fleet_bench.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define ITEMS_MOST 6
#define TIMEOUT_MS 3000
#define PAUSE_MOST_MS 60
#define JOB_PAUSE_MS 500
#define MS_PER_S 1000.0

soak_record record;

void soak_say(const char *format, ...) {
    va_list arguments;
    va_start(arguments, format);
    g_autofree char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    printf("%.3f %s\n", (double)hs_clock_wall_ms() / MS_PER_S, text);
}

void soak_violation(const char *format, ...) {
    va_list arguments;
    va_start(arguments, format);
    char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    soak_say("VIOLATION %s", text);
    g_mutex_lock(&record.lock);
    g_ptr_array_add(record.violations, text);
    g_mutex_unlock(&record.lock);
}

static void remember(GHashTable *set, const char *id) {
    g_mutex_lock(&record.lock);
    g_hash_table_add(set, g_strdup(id));
    g_mutex_unlock(&record.lock);
}

static bool is_promise(uint32_t status) {
    return status == 429 || status == 503 || status == 408 || status == 421;
}

/** A whole stream has every event once, in order; a cut one begins so. */
static void check_stream(const char *id, const bench_answer *answer) {
    event_trace trace = event_trace_stream(id, answer->body, answer->whole);
    if (trace.fault != NULL)
        soak_violation("stream of %s: %s; whole=%d", id, trace.fault, answer->whole);
    g_free(trace.fault);
    g_mutex_lock(&record.lock);
    record.stream_joints += trace.joints;
    g_mutex_unlock(&record.lock);
}

static void check_answer(const char *id, const char *target, const bench_answer *answer) {
    bool is_plain = g_str_has_prefix(target, "/plain/");
    if (answer->status == 200 && is_plain && answer->whole && strcmp(answer->body, target) != 0)
        soak_violation("answer to %s is another one's: %s", id, answer->body);
    if (answer->status == 200 && !is_plain)
        check_stream(id, answer);
    if (answer->status == 401 || answer->status == 403 || answer->status == 404)
        soak_violation("%s of %s was denied: %u", id, target, answer->status);
    if (is_promise(answer->status))
        remember(record.refused, id);
    g_mutex_lock(&record.lock);
    record.sent++;
    record.served += answer->status == 200 && answer->whole;
    record.refusals += is_promise(answer->status);
    record.cut += answer->status == 200 && !answer->whole;
    g_mutex_unlock(&record.lock);
}

gpointer soak_run_online(gpointer data) {
    static const char *const targets[] = {"/plain/soak", "/once/soak", "/again/soak"};
    GRand *chance = g_rand_new_with_seed(GPOINTER_TO_UINT(data));
    uint32_t number = 0;
    while (g_atomic_int_get(&record.stopping) == 0) {
        const char *target = targets[g_rand_int_range(chance, 0, G_N_ELEMENTS(targets))];
        g_autofree char *id = g_strdup_printf("r%u-%u", GPOINTER_TO_UINT(data), number++);
        if (g_str_has_prefix(target, "/once/"))
            remember(record.once, id);
        bench_answer answer =
            bench_send(&(bench_call){.daemon = g_rand_int_range(chance, 0, bench_daemons()),
                                     .method = "POST",
                                     .target = target,
                                     .request_id = id,
                                     .body = "hello",
                                     .timeout_ms = TIMEOUT_MS});
        check_answer(id, target, &answer);
        bench_answer_clear(&answer);
        hs_clock_sleep_ms((uint64_t)g_rand_int_range(chance, 1, PAUSE_MOST_MS));
    }
    g_rand_free(chance);
    return NULL;
}

/** A text is whole, and put together from runs that were asked to go on where they do. */
static void check_text(const char *job, guint position, const json_t *result) {
    const char *item = json_string_value(json_object_get(result, "id"));
    const char *message = json_string_value(json_object_get(result, "message"));
    event_trace trace = event_trace_text(item, message, true);
    if (trace.fault != NULL)
        soak_violation("job %s: position %u, item %s: %s", job, position, item, trace.fault);
    g_free(trace.fault);
    g_mutex_lock(&record.lock);
    record.text_joints += trace.joints;
    record.texts++;
    g_mutex_unlock(&record.lock);
}

/** A result keeps its place, and a completed one has the whole text. */
static void check_result(const char *job, guint position, const json_t *result) {
    char *text = json_dumps(result, JSON_COMPACT | JSON_SORT_KEYS);
    g_mutex_lock(&record.lock);
    GPtrArray *seen = g_hash_table_lookup(record.results, job);
    bool is_new = seen->len == position;
    if (is_new)
        g_ptr_array_add(seen, g_strdup(text));
    bool same = position < seen->len && strcmp(seen->pdata[position], text) == 0;
    g_mutex_unlock(&record.lock);
    if (!same)
        soak_violation("job %s: position %u is %s now", job, position, text);
    const char *state = json_string_value(json_object_get(result, "state"));
    if (is_new && g_strcmp0(state, "completed") == 0)
        check_text(job, position, result);
    free(text);
}

uint32_t soak_read_job(int daemon, const char *job) {
    g_autofree char *target = g_strdup_printf(PATH_JOBS "%s?after=0", job);
    bench_answer answer =
        bench_send(&(bench_call){.daemon = daemon, .method = "GET", .target = target});
    uint32_t count = 0;
    if (answer.status == 404 || answer.status == 410)
        soak_violation("accepted job %s: %u at daemon %d", job, answer.status, daemon);
    json_t *page = answer.status == 200 && answer.whole ? json_loads(answer.body, 0, NULL) : NULL;
    const json_t *results = json_object_get(page, "results");
    for (; count < json_array_size(results); count++)
        check_result(job, count, json_array_get(results, count));
    json_decref(page);
    bench_answer_clear(&answer);
    g_mutex_lock(&record.lock);
    record.reads++;
    g_mutex_unlock(&record.lock);
    return count;
}

/** Send a job once; what its answer promises is remembered. */
static bool submit(int daemon, const char *job, int items) {
    g_autofree char *body = bench_job(job, items);
    bench_answer answer = bench_send(&(bench_call){.daemon = daemon,
                                                   .method = "POST",
                                                   .target = "/jobs/x",
                                                   .request_id = job,
                                                   .body = body,
                                                   .timeout_ms = TIMEOUT_MS});
    bool accepted = answer.status == 202;
    for (int item = 0; is_promise(answer.status) && item < items; item++) {
        g_autofree char *id = g_strdup_printf("%s-%d", job, item);
        remember(record.refused, id);
    }
    g_mutex_lock(&record.lock);
    record.jobs_sent++;
    if (accepted) {
        g_hash_table_insert(record.jobs, g_strdup(job), GINT_TO_POINTER(items));
        g_hash_table_insert(record.results, g_strdup(job), g_ptr_array_new_with_free_func(g_free));
    }
    g_mutex_unlock(&record.lock);
    bench_answer_clear(&answer);
    return accepted;
}

gpointer soak_run_jobs(gpointer data) {
    GRand *chance = g_rand_new_with_seed(GPOINTER_TO_UINT(data));
    g_autoptr(GPtrArray) accepted = g_ptr_array_new_with_free_func(g_free);
    uint32_t number = 0;
    while (g_atomic_int_get(&record.stopping) == 0) {
        char *job = g_strdup_printf("j%u-%u", GPOINTER_TO_UINT(data), number++);
        int items = g_rand_int_range(chance, 1, ITEMS_MOST + 1);
        if (submit(g_rand_int_range(chance, 0, bench_daemons()), job, items))
            g_ptr_array_add(accepted, job);
        else
            g_free(job);
        if (accepted->len > 0)
            soak_read_job(g_rand_int_range(chance, 0, bench_daemons()),
                          accepted->pdata[g_rand_int_range(chance, 0, (gint32)accepted->len)]);
        hs_clock_sleep_ms(JOB_PAUSE_MS);
    }
    g_rand_free(chance);
    return NULL;
}
