/**
 * Accepted jobs whose manifest reaches the log after that of a job with later bodies: are their
 * bodies still there when their items can run?
 */
#include "review/lib/fleet.h"

#include "base/clock.h"
#include "platform/names.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define DAEMONS 3
#define RETENTION_S 60
#define ITEMS 8
/** Time after which the append of a delayed manifest is done. */
#define LATE_MS 3400
/** Pause between the pairs of one daemon's partitions; the gaps last 9 s together. */
#define PAIR_PAUSE_MS 3000
/** Daemons whose partitions get pairs; few enough that under 0.35 of the writes are late. */
#define PAIRED_DAEMONS 2
#define PAIRS_PER_DAEMON 3
#define FIRST_PAIR_MS 3500
#define SECOND_JOB_AFTER_MS 300
/** Items of the jobs before the pairs, which keep the engines busy up to the end. */
#define HEAP_JOBS 2
#define HEAP_ITEMS 100
/** Time from the last pair until the bodies are asked for: three trims. */
#define JUDGED_AFTER_MS 31500
#define CALM_MS 3000

typedef struct {
    char *early; /**< Its bodies come first, its manifest comes late. */
    char *late;  /**< A job of the same partition, sent shortly after. */
    uint32_t partition;
    uint64_t held_from_ms; /**< 0: its manifest has not been seen. */
    uint32_t statuses[2];
    GThread *thread;
} pair;

static pair pairs[PAIRED_DAEMONS][PAIRS_PER_DAEMON];
static GMutex lock;
/** Writes to the store from the first late one on until the last one is done. */
static gint writes;
static gint late_writes;
static gint is_counting;

static bool has_bytes(const GByteArray *body, const char *text) {
    return memmem(body->data, body->len, text, strlen(text)) != NULL;
}

/**
 * The append of an early job's manifest gets no answer and is done LATE_MS later, as are its
 * repetitions that begin until then. All other calls are answered at once.
 */
static gate_verdict hold_manifests(int daemon, const hs_inbound *call, void *user_data) {
    (void)user_data;
    if (g_atomic_int_get(&is_counting) != 0 && strcmp(call->method, "POST") == 0)
        g_atomic_int_inc(&writes);
    if (g_str_has_prefix(call->target, CALL_TRIM))
        fleet_record("daemon %d trims bodies", daemon);
    if (!fleet_has_trouble() || strcmp(call->method, "POST") != 0 ||
        !g_str_has_prefix(call->target, CALL_APPEND) || strstr(call->target, "topic=jobs") == NULL)
        return (gate_verdict){GATE_PASS, 0};
    for (int index = 0; index < PAIRED_DAEMONS * PAIRS_PER_DAEMON; index++) {
        pair *of = &pairs[index / PAIRS_PER_DAEMON][index % PAIRS_PER_DAEMON];
        if (of->early == NULL || !has_bytes(call->body, of->early))
            continue;
        g_mutex_lock(&lock);
        bool is_first = of->held_from_ms == 0;
        if (is_first)
            of->held_from_ms = fleet_now_ms();
        bool is_over = fleet_now_ms() > of->held_from_ms + LATE_MS;
        g_mutex_unlock(&lock);
        if (is_over)
            return (gate_verdict){GATE_PASS, 0};
        fleet_record("the store does daemon %d's append for job %s late, without an answer", daemon,
                     of->early);
        g_atomic_int_inc(&late_writes);
        return (gate_verdict){GATE_DO_LATE, LATE_MS};
    }
    return (gate_verdict){GATE_PASS, 0};
}

static gpointer submit_early(gpointer data) {
    pair *of = data;
    of->statuses[0] = fleet_submit((int)of->partition % DAEMONS, of->early, ITEMS, 6000);
    return NULL;
}

static void submit_late(pair *of) {
    of->statuses[1] = fleet_submit((int)(of->partition + 1) % DAEMONS, of->late, ITEMS, 6000);
}

static token_engine *start_engine(const char *id) {
    token_engine *engine =
        token_engine_start(&(token_engine_settings){.id = id,
                                                    .service = "llm",
                                                    .pace = {.events = 12, .event_ms = 125},
                                                    .slots = 2,
                                                    .zone = "brandon"});
    token_engine_announce(engine, fleet_store(), false);
    fleet_record("engine %s is there", id);
    return engine;
}

/** Reads a job at a daemon. Returns its first page, NULL without a 200. */
static json_t *read_job(int daemon, const char *job) {
    g_autofree char *target = g_strdup_printf(PATH_JOBS "%s?after=0", job);
    fleet_answer answer = fleet_call(daemon, "GET", target, NULL, NULL, 2000, 0, 3000);
    json_t *root = answer.status == 200 ? json_loads(answer.body, 0, NULL) : NULL;
    fleet_answer_clear(&answer);
    return root;
}

static bool is_listed(json_t *page, const char *item) {
    size_t index = 0;
    json_t *result = NULL;
    json_array_foreach(json_object_get(page, "results"), index,
                       result) if (strcmp(json_string_value(json_object_get(result, "id")), item) ==
                                   0) return true;
    return false;
}

/** An item of an accepted job. */
typedef struct {
    const char *job;
    char *id;
    bool is_listed;
    bool has_body;
    uint32_t pages; /**< Answers with 200 that don't list it, after the last body was asked for. */
    GString *statuses;
} item;

static void ask_for_body(item *of) {
    g_autofree char *target = g_strdup_printf(PATH_ITEMS "%s?id=%s", of->job, of->id);
    g_autofree char *expected = g_strdup_printf("body of %s", of->id);
    for (int daemon = 0; daemon < DAEMONS && !of->has_body; daemon++) {
        fleet_answer answer = fleet_call(daemon, "GET", target, NULL, NULL, 2000, 0, 3000);
        of->has_body = answer.status == 200 && g_strcmp0(answer.body, expected) == 0;
        g_string_append_printf(of->statuses, " %u", answer.status);
        fleet_answer_clear(&answer);
    }
}

/** Looks for the item at all daemons. */
static void look_for(item *of) {
    of->pages = 0;
    for (int daemon = 0; daemon < DAEMONS && !of->is_listed; daemon++) {
        json_t *page = read_job(daemon, of->job);
        of->is_listed = page != NULL && is_listed(page, of->id);
        of->pages += page != NULL;
        json_decref(page);
    }
}

static void add_items(const char *job, GArray *items) {
    for (int index = 0; index < ITEMS; index++) {
        item added = {
            .job = job, .id = g_strdup_printf("%s-%d", job, index), .statuses = g_string_new(NULL)};
        g_array_append_val(items, added);
    }
}

/**
 * Asks all daemons for the bodies of the items that none lists, again after each failure, for
 * CALM_MS. An item is lost if no daemon has given its body, and all list the job without it after
 * that.
 */
static int count_lost(GArray *items) {
    uint64_t until_ms = fleet_now_ms() + CALM_MS;
    for (guint index = 0; index < items->len; index++)
        look_for(&g_array_index(items, item, index));
    while (fleet_now_ms() < until_ms) {
        for (guint index = 0; index < items->len; index++) {
            item *of = &g_array_index(items, item, index);
            if (!of->is_listed && !of->has_body)
                ask_for_body(of);
        }
        hs_clock_sleep_ms(700);
    }
    int lost = 0;
    for (guint index = 0; index < items->len; index++) {
        item *of = &g_array_index(items, item, index);
        if (!of->is_listed && !of->has_body)
            look_for(of);
        fleet_record("item %s: %s, answers for its body:%s", of->id,
                     of->is_listed ? "listed" : "not listed",
                     of->statuses->len > 0 ? of->statuses->str : " not asked");
        if (of->is_listed || of->has_body || of->pages < DAEMONS)
            continue;
        lost++;
        fleet_record("LOST: item %s of accepted job %s isn't listed and doesn't give its body",
                     of->id, of->job);
    }
    return lost;
}

/** Gives each daemon a heap of items in one partition, and pairs in its others. */
static bool deal_partitions(void) {
    int taken[DAEMONS] = {0};
    for (uint32_t partition = 0; partition < FLEET_PARTITIONS; partition++) {
        int owner = fleet_owner(partition);
        if (owner < 0)
            return false;
        int number = taken[owner]++;
        if (number > PAIRS_PER_DAEMON)
            return false;
        if (number == 0) {
            for (int index = 0; index < HEAP_JOBS; index++) {
                g_autofree char *prefix = g_strdup_printf("h%d", index);
                g_autofree char *id = fleet_id_in_partition(prefix, partition);
                if (fleet_submit(owner, id, HEAP_ITEMS, 6000) != 202)
                    return false;
            }
            continue;
        }
        if (owner >= PAIRED_DAEMONS)
            continue;
        pair *of = &pairs[owner][number - 1];
        of->partition = partition;
        of->late = fleet_id_in_partition("b", partition);
        of->early = fleet_id_in_partition("a", partition);
    }
    return true;
}

int main(void) {
    fleet_begin("2", DAEMONS, hold_manifests, NULL);
    fleet_configure(1, RETENTION_S);
    start_engine("i-1");
    start_engine("i-2");
    bool is_up = true;
    for (int index = 0; index < DAEMONS; index++)
        is_up = fleet_start_daemon(index) && is_up;
    for (int index = 0; index < DAEMONS; index++)
        is_up = fleet_wait_ready(index, 8000) && is_up;
    if (!is_up || !fleet_wait_owners(15000) || !deal_partitions())
        return fleet_end(FLEET_CANNOT_RUN);
    uint64_t start_ms = fleet_now_ms() + FIRST_PAIR_MS;
    fleet_sleep_until(start_ms);
    g_atomic_int_set(&is_counting, 1);
    for (int round = 0; round < PAIRS_PER_DAEMON; round++) {
        uint64_t at_ms = start_ms + (uint64_t)round * PAIR_PAUSE_MS;
        fleet_sleep_until(at_ms);
        for (int daemon = 0; daemon < PAIRED_DAEMONS; daemon++)
            pairs[daemon][round].thread =
                g_thread_new("early", submit_early, &pairs[daemon][round]);
        fleet_sleep_until(at_ms + SECOND_JOB_AFTER_MS);
        for (int daemon = 0; daemon < PAIRED_DAEMONS; daemon++)
            submit_late(&pairs[daemon][round]);
    }
    GArray *items = g_array_new(FALSE, FALSE, sizeof(item));
    for (int index = 0; index < PAIRED_DAEMONS * PAIRS_PER_DAEMON; index++) {
        pair *of = &pairs[index / PAIRS_PER_DAEMON][index % PAIRS_PER_DAEMON];
        g_thread_join(of->thread);
        if (of->statuses[0] == 202)
            add_items(of->early, items);
        if (of->statuses[1] == 202)
            add_items(of->late, items);
    }
    g_atomic_int_set(&is_counting, 0);
    fleet_record("%d of the store's %d writes were late, without an answer", late_writes, writes);
    fleet_sleep_until(fleet_now_ms() + JUDGED_AFTER_MS);
    int lost = count_lost(items);
    fleet_record("%d items of accepted jobs are lost", lost);
    return fleet_end(lost > 0 ? FLEET_BROKEN : FLEET_HELD);
}
