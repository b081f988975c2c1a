/**
 * @file self_test.c
 * The soak's own test: for each check a fault is planted, which must be found, and the same thing
 * without the fault, in which nothing may be found. Stand-ins alone run, no daemon.
 */
#include "base/clock.h"
#include "http/http_fields.h"
#include "platform/names.h"
#include "tests/soak/checks.h"
#include "tests/soak/faults.h"
#include "tests/soak/soak.h"

#include <stdio.h>
#include <string.h>

#define EVENTS 6
#define EVENT_MS 5
/** Longer than a run may go on after its end. */
#define LATE_MS 700

/** Longer in ms than daemons need to know what crashes engines. */
#define LONG_KNOWN_MS 4000

/** One check: what is done, with or without the fault, and the words that must be found. */
typedef struct {
    const char *name;
    void (*plant)(bool with_fault);
    const char *words;
} planted_fault;

static bench_answer ask_engine(const char *id, const char *target, unsigned after) {
    return bench_send(&(bench_call){.port = token_engine_port(bench.engines[0]),
                                    .method = "POST",
                                    .target = target,
                                    .request_id = id,
                                    .body = "hello",
                                    .last_event = after});
}

/** The data of the events of an answer, from its first one on; free with g_ptr_array_unref. */
static GPtrArray *run_events(const char *id, unsigned after) {
    GPtrArray *events = g_ptr_array_new_with_free_func(g_free);
    bench_answer answer = ask_engine(id, "/jobs/run", after);
    g_auto(GStrv) lines = g_strsplit(answer.body, "\n", -1);
    for (char **line = lines; *line != NULL; line++)
        if (g_str_has_prefix(*line, "data: "))
            g_ptr_array_add(events, g_strdup(*line + strlen("data: ")));
    bench_answer_clear(&answer);
    return events;
}

static char *join_events(const GPtrArray *first, guint count, const GPtrArray *then, guint from) {
    GString *text = g_string_new(NULL);
    for (guint index = 0; index < count; index++)
        g_string_append_printf(text, "%s%s", index > 0 ? "\n" : "", (char *)first->pdata[index]);
    for (guint index = from; then != NULL && index < then->len; index++)
        g_string_append_printf(text, "\n%s", (char *)then->pdata[index]);
    return g_string_free(text, FALSE);
}

static void give_result(const char *job, const char *item, const char *text) {
    if (!g_hash_table_contains(record.results, job))
        g_hash_table_insert(record.results, g_strdup(job), g_ptr_array_new_with_free_func(g_free));
    json_t *result =
        json_pack("{s:s, s:s, s:s}", "id", item, "state", "completed", "message", text);
    soak_check_result(job, 0, result);
    json_decref(result);
}

/** A run that goes on after event 3 was asked to begin. */
static void plant_wrong_joint(bool with_fault) {
    g_autoptr(GPtrArray) first = run_events("joint-0", 0);
    g_autoptr(GPtrArray) then = run_events("joint-0", with_fault ? 0 : 3);
    g_autofree char *text = join_events(first, 3, then, with_fault ? 3 : 0);
    give_result("joint", "joint-0", text);
}

static void plant_missing_event(bool with_fault) {
    g_autoptr(GPtrArray) events = run_events("gap-0", 0);
    if (with_fault)
        g_ptr_array_remove_index(events, 2);
    g_autofree char *text = join_events(events, events->len, NULL, 0);
    give_result("gap", "gap-0", text);
}

static void plant_short_text(bool with_fault) {
    g_autoptr(GPtrArray) events = run_events("short-0", 0);
    g_autofree char *text = join_events(events, events->len - with_fault, NULL, 0);
    give_result("short", "short-0", text);
}

static void plant_text_of_another(bool with_fault) {
    g_autoptr(GPtrArray) events = run_events(with_fault ? "other-1" : "other-0", 0);
    g_autofree char *text = join_events(events, events->len, NULL, 0);
    give_result("other", "other-0", text);
}

static void plant_text_of_no_run(bool with_fault) {
    g_autoptr(GPtrArray) events = run_events("none-0", 0);
    g_autofree char *text = join_events(events, events->len, NULL, 0);
    g_autofree char *unknown = g_strdup("token 1 of engine-0/9999");
    for (unsigned event = 2; event <= EVENTS; event++) {
        char *more = g_strdup_printf("%s\ntoken %u of engine-0/9999", unknown, event);
        g_free(unknown);
        unknown = more;
    }
    give_result("none", "none-0", with_fault ? unknown : text);
}

static void plant_result_that_moves(bool with_fault) {
    g_autoptr(GPtrArray) events = run_events("place-0", 0);
    g_autofree char *text = join_events(events, events->len, NULL, 0);
    give_result("place", "place-0", text);
    give_result("place", with_fault ? "place-1" : "place-0", text);
}

/** An event of a stream is told twice. */
static void plant_stream_fault(bool with_fault) {
    bench_answer answer = ask_engine("stream", "/once/soak", 0);
    const char *second = strstr(answer.body, "id: 2");
    const char *again = with_fault ? answer.body : second;
    char *body = g_strdup_printf("%.*s%s", (int)(second - answer.body), answer.body, again);
    g_free(answer.body);
    answer.body = body;
    soak_check_answer("stream", "/once/soak", &answer);
    bench_answer_clear(&answer);
}

static void check_plain(const char *body, uint32_t status, bool whole) {
    bench_answer answer = {.status = status, .whole = whole, .body = (char *)body};
    soak_check_answer("plain", "/plain/soak", &answer);
}

static void plant_another_answer(bool with_fault) {
    check_plain(with_fault ? "/plain/other" : "/plain/soak", 200, true);
}

static void plant_denial(bool with_fault) {
    check_plain("", with_fault ? 404 : 504, true);
}

static void run_times(const char *id, int times) {
    for (int run = 0; run < times; run++) {
        bench_answer answer = ask_engine(id, "/once/soak", 0);
        bench_answer_clear(&answer);
    }
}

static void plant_second_run(bool with_fault) {
    soak_remember(record.once, with_fault ? "twice" : "one-time");
    run_times(with_fault ? "twice" : "one-time", with_fault ? 2 : 1);
    soak_check_runs();
}

static void plant_run_of_refused(bool with_fault) {
    bench_answer refusal = {.status = 503, .whole = true, .body = (char *)""};
    soak_check_answer("refused", "/once/soak", &refusal);
    run_times("refused", with_fault);
    soak_check_runs();
}

static void plant_lost_job(bool with_fault) {
    bench_answer answer = {.status = with_fault ? 404 : 503, .whole = true, .body = (char *)""};
    soak_check_page(0, "lost", &answer);
}

static void plant_open_job(bool with_fault) {
    soak_check_listed(0, "open", 3, with_fault ? 2 : 3);
}

static void plant_old_config(bool with_fault) {
    record.config_version = 12;
    soak_check_config(0, with_fault ? "heathsail_config_version 1\n"
                                    : "heathsail_config_version 12\n");
}

static void plant_bad_stop(bool with_fault) {
    soak_check_stop(0, with_fault ? -1 : 0, 10);
}

static void plant_slow_stop(bool with_fault) {
    soak_check_stop(0, 0, with_fault ? 7000 : 6000);
}

static void plant_daemon_that_is_not_ready(bool with_fault) {
    soak_check_ready(0, !with_fault);
}

static void plant_run_after_end(bool with_fault) {
    const char *id = with_fault ? "late" : "in-time";
    if (!with_fault)
        run_times(id, 1);
    soak_note_end(id);
    hs_clock_sleep_ms(LATE_MS);
    if (with_fault)
        run_times(id, 1);
    soak_check_ends();
}

/** What runs late while a fault lasts is not the product's: nothing is to be found of it. */
static void plant_own_fault(bool with_fault) {
    if (!with_fault)
        soak_begin_fault();
    soak_note_end(with_fault ? "late-calm" : "late-near");
    hs_clock_sleep_ms(LATE_MS);
    run_times(with_fault ? "late-calm" : "late-near", 1);
    if (!with_fault) {
        soak_check_ends();
        soak_end_fault();
        return;
    }
    soak_check_ends();
}

static void plant_wrong_hold(bool with_fault) {
    soak_check_hold("held", !with_fault, true);
}

/** Four sends 4 s after it was known; without the fault as early as that. */
static void plant_late_sends(bool with_fault) {
    g_autoptr(GArray) begun_ms = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    uint64_t now_ms = hs_clock_wall_ms();
    for (int send = 0; send < 4; send++)
        g_array_append_val(begun_ms, now_ms);
    soak_check_sends("fatal", with_fault ? now_ms - LONG_KNOWN_MS : now_ms, begun_ms);
}

static const planted_fault planted_faults[] = {
    {"wrong joint", plant_wrong_joint, "was asked to go on after"},
    {"missing event", plant_missing_event, "follows event"},
    {"short text", plant_short_text, "5 of 6 events"},
    {"text of another item", plant_text_of_another, "of another request"},
    {"text of no run", plant_text_of_no_run, "never made"},
    {"result that moves", plant_result_that_moves, "position 0 is"},
    {"event told twice", plant_stream_fault, "id 1 follows event 1"},
    {"another one's answer", plant_another_answer, "another one's"},
    {"denial", plant_denial, "was denied"},
    {"second run", plant_second_run, "ran 2 times"},
    {"run of what was refused", plant_run_of_refused, "was refused and ran"},
    {"lost job", plant_lost_job, "accepted job"},
    {"open job", plant_open_job, "2 of 3 results"},
    {"old configuration", plant_old_config, "has not version 12"},
    {"bad stop", plant_bad_stop, "ended with -1"},
    {"slow stop", plant_slow_stop, "after 7000 ms"},
    {"daemon that is not ready", plant_daemon_that_is_not_ready, "is not ready"},
    {"run after its end", plant_run_after_end, "after its end"},
    {"hold of what did nothing", plant_wrong_hold, "held back though"},
    {"sends of what crashes engines", plant_late_sends, "sent 4 times"},
    {"run near a fault of the soak", plant_own_fault, "after its end"},
};

/** Violations that have the words; all of them where these are NULL. */
static guint count_found(const char *words) {
    guint found = 0;
    for (guint index = 0; index < record.violations->len; index++)
        found += words == NULL || strstr(record.violations->pdata[index], words) != NULL;
    return found;
}

/** Engines are new each time, so that no run is left of what came before. */
static guint play(const planted_fault *planted, bool with_fault) {
    bench.settings = (bench_settings){.item_pace = {.events = EVENTS, .event_ms = EVENT_MS}};
    bench_prepare();
    soak_open_record();
    record.is_quiet = true;
    planted->plant(with_fault);
    guint found = count_found(with_fault ? planted->words : NULL);
    soak_close_record();
    end_bench();
    return found;
}

int soak_test_self(void) {
    int failed = 0;
    for (gsize index = 0; index < G_N_ELEMENTS(planted_faults); index++) {
        const planted_fault *planted = &planted_faults[index];
        bool is_found = play(planted, true) > 0;
        bool is_alone = play(planted, false) == 0;
        failed += !is_found || !is_alone;
        printf("%s %s%s%s\n", is_found && is_alone ? "PASS" : "FAIL", planted->name,
               is_found ? "" : ": not found", is_alone ? "" : ": found without the fault");
    }
    printf("%d of %d checks find their fault and it alone\n",
           (int)G_N_ELEMENTS(planted_faults) - failed, (int)G_N_ELEMENTS(planted_faults));
    return failed == 0 ? 0 : -1;
}
