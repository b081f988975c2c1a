/**
 * @file crash_callers.c
 * Sends requests that crash every engine that starts them, and harmless ones, to a separate crash
 * fleet, and checks that daemons quarantine the former and only them.
 */
#include "base/clock.h"
#include "platform/names.h"
#include "tests/soak/checks.h"
#include "tests/soak/soak.h"
#include "tests/support/crash_fleet.h"

#include <string.h>

/** Contents that crash engines at one time: one per target, as the content includes the target. */
#define CRASH_CONTENTS 2
/** Time after which new contents replace them. */
#define CONTENT_LIFETIME_MS 12000
/** Mean number of requests per request that crashes engines. */
#define REQUESTS_PER_CRASH 4
/** Streams of 0.3 s, so that crashes and faults break some. */
#define STREAM_EVENTS 16
#define EVENT_MS 20
#define MAX_PAUSE_MS 60
/** The platform's bound for sound requests that share a part applies from so many on. */
#define MIN_SHARING_REQUESTS 20
/** Prefix of the ids of prompt parts that crash engines, and a part that all requests have. */
#define FATAL_PART_PREFIX "dead"
#define SHARED_PART "c0ffee:100"
#define TIMEOUT_MS 3000
/** Time without faults within which all daemons learn of a quarantine. */
#define QUARANTINE_SPREAD_MS 3000
/** Engine crashes after which a content is quarantined. */
#define CRASHES_TO_QUARANTINE 3
/** Sends that are permitted afterwards, for trial runs. */
#define MAX_LATE_SENDS 3

/** Restart delays of engines that restart under the same id; the seed selects one. */
static const uint32_t RESTART_DELAYS_MS[] = {60, 300, 1500, 4000};

static crash_fleet *crashing_fleet;

void soak_start_crash_fleet(unsigned seed) {
    crash_fleet_settings settings = {.versions = soak_versions,
                                     .fatal_part = FATAL_PART_PREFIX,
                                     .pace = {.events = STREAM_EVENTS, .event_ms = EVENT_MS}};
    settings.keeps_ids = seed % 2 == 1;
    settings.return_ms =
        settings.keeps_ids ? RESTART_DELAYS_MS[seed / 2 % G_N_ELEMENTS(RESTART_DELAYS_MS)] : 0;
    crashing_fleet = crash_fleet_start(bench.store, "frail", &settings);
}

void soak_stop_crash_fleet(void) {
    crash_fleet_stop(crashing_fleet);
}

static const char *const targets[] = {"/frail/once/x", "/frail/plain/x"};

/** Makes a content that crashes engines, the same for all callers in the same period. */
static char *make_crash_content(const char *prefix, int which, uint64_t record_started_ms) {
    uint64_t epoch = (hs_clock_monotonic_ms() - record_started_ms) / CONTENT_LIFETIME_MS;
    return g_strdup_printf("%s-%u-%d.", prefix, (unsigned)epoch, which);
}

/** Kinds of requests to the crash fleet. */
typedef enum {
    CRASH_BY_BODY,
    CRASH_BY_PART,   /**< The part is all that two of them have in common, but for a shared part. */
    HARMLESS,        /**< Without a prompt; half of them with the same body. */
    HARMLESS_SHARING /**< With the shared part, and a body of its own. */
} request_kind;

/** Returns the prompt of a request, or NULL. Free with g_free. */
static char *make_prompt(GRand *rng, request_kind kind, const char *crash_content) {
    uint32_t own_part = g_rand_int(rng);
    if (kind == CRASH_BY_PART)
        return g_strdup_printf(HEADER_PROMPT_PREFIX ": " SHARED_PART "," FATAL_PART_PREFIX
                                                    "%08x:40,%08x:20",
                               g_str_hash(crash_content), own_part);
    return kind == HARMLESS_SHARING
               ? g_strdup_printf(HEADER_PROMPT_PREFIX ": " SHARED_PART ",%08x:20", own_part)
               : NULL;
}

/** Counts a harmless request; one that shares a part counts only without a fault near. */
static void record_harmless(request_kind kind, uint64_t sent_wall_ms, bool is_served,
                            bool is_quarantined) {
    bool is_counted = kind == HARMLESS_SHARING &&
                      soak_was_fault_free(sent_wall_ms - QUARANTINE_SPREAD_MS, hs_clock_wall_ms());
    g_mutex_lock(&record.lock);
    record.other_requests_sent++;
    record.other_requests_served += is_served;
    record.sharing_requests += is_counted;
    record.sharing_requests_held += is_counted && is_quarantined;
    g_mutex_unlock(&record.lock);
}

static void record_fatal(bool is_quarantined) {
    g_mutex_lock(&record.lock);
    record.crash_requests_sent++;
    record.crash_requests_quarantined += is_quarantined;
    g_mutex_unlock(&record.lock);
}

/** Sends a request. @p crash_content: names what crashes engines, or NULL. */
static void send_crash_fleet_request(GRand *rng, const char *target, const char *crash_content,
                                     request_kind kind, const char *id) {
    const char *body = id;
    if (kind == CRASH_BY_BODY)
        body = crash_content;
    else if (kind == HARMLESS && g_rand_boolean(rng))
        body = "asked by many";
    g_autofree char *prompt = make_prompt(rng, kind, crash_content);
    const char *const fields[] = {prompt, NULL};
    uint64_t sent_wall_ms = hs_clock_wall_ms();
    bench_answer answer =
        bench_send(&(bench_call){.daemon = g_rand_int_range(rng, 0, bench_daemon_count()),
                                 .method = "POST",
                                 .target = target,
                                 .request_id = id,
                                 .body = body,
                                 .fields = fields,
                                 .timeout_ms = TIMEOUT_MS});
    bool is_quarantined =
        answer.status == 503 && answer.body != NULL && strstr(answer.body, "crashed engines");
    bool is_served = answer.status == 200 && answer.whole;
    if (kind != HARMLESS_SHARING)
        soak_check_hold(id, crash_content != NULL, is_quarantined);
    if (crash_content != NULL)
        record_fatal(is_quarantined);
    else
        record_harmless(kind, sent_wall_ms, is_served, is_quarantined);
    bench_answer_clear(&answer);
}

static request_kind choose_kind(GRand *rng) {
    bool is_crash_content = g_rand_int_range(rng, 0, REQUESTS_PER_CRASH) == 0;
    if (is_crash_content)
        return g_rand_boolean(rng) ? CRASH_BY_BODY : CRASH_BY_PART;
    return g_rand_boolean(rng) ? HARMLESS : HARMLESS_SHARING;
}

gpointer soak_run_crash_caller(gpointer data) {
    g_autoptr(GRand) rng = g_rand_new_with_seed(GPOINTER_TO_UINT(data));
    uint64_t record_started_ms = record.started_ms;
    uint32_t number = 0;
    while (g_atomic_int_get(&record.stopping) == 0) {
        request_kind kind = choose_kind(rng);
        int which = g_rand_int_range(rng, 0, CRASH_CONTENTS);
        bool is_fatal = kind == CRASH_BY_BODY || kind == CRASH_BY_PART;
        const char *prefix = kind == CRASH_BY_PART ? "part" : CRASH_FLEET_FATAL_PREFIX;
        g_autofree char *crash_content =
            is_fatal ? make_crash_content(prefix, which, record_started_ms) : NULL;
        g_autofree char *id = g_strdup_printf("%s%u-%u", is_fatal ? crash_content : "beside-",
                                              GPOINTER_TO_UINT(data), number++);
        if (is_fatal)
            soak_add_id(record.crash_contents, crash_content);
        send_crash_fleet_request(rng, targets[which], crash_content, kind, id);
        hs_clock_sleep_ms((uint64_t)g_rand_int_range(rng, 1, MAX_PAUSE_MS));
    }
    return NULL;
}

void soak_check_sharing(void) {
    if (record.sharing_requests >= MIN_SHARING_REQUESTS &&
        2 * record.sharing_requests_held > record.sharing_requests)
        soak_report_violation("%u of %u sound requests that share a part were held",
                              record.sharing_requests_held, record.sharing_requests);
}

void soak_check_hold(const char *id, bool is_crash_content, bool is_quarantined) {
    if (is_quarantined && !is_crash_content)
        soak_report_violation("%s was quarantined though it crashed no engine", id);
}

void soak_check_sends(const char *content, uint64_t quarantined_ms, const GArray *started_ms) {
    uint32_t late = 0;
    for (guint index = 0; quarantined_ms != 0 && index < started_ms->len; index++) {
        uint64_t at_ms = g_array_index(started_ms, uint64_t, index);
        late += at_ms > quarantined_ms + QUARANTINE_SPREAD_MS &&
                soak_was_fault_free(at_ms - QUARANTINE_SPREAD_MS, at_ms);
    }
    if (late > MAX_LATE_SENDS)
        soak_report_violation("%s was sent %u times after its quarantine", content, late);
}

void soak_check_crashes(void) {
    soak_check_sharing();
    GHashTableIter iterator;
    gpointer content = NULL;
    g_hash_table_iter_init(&iterator, record.crash_contents);
    while (g_hash_table_iter_next(&iterator, &content, NULL)) {
        g_autoptr(GArray) started_ms = crash_fleet_list_start_times(crashing_fleet, content);
        soak_check_sends(content,
                         crash_fleet_find_crash_ms(crashing_fleet, content, CRASHES_TO_QUARANTINE),
                         started_ms);
    }
    record.engine_crashes = crash_fleet_get_crash_count(crashing_fleet);
}
