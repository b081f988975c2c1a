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
#define ITEMS 2
/** Time after which the append of a delayed manifest is done. */
#define LATE_MS 2700
/** Pause between the pairs of one daemon's partitions, which together cover 10 s. */
#define PAIR_PAUSE_MS 2500
#define FIRST_PAIR_MS 500
#define SECOND_JOB_AFTER_MS 300
/** Time from the last pair until new engines come. */
#define ENGINES_BACK_MS 31500
#define FINISH_MS 8000
#define CALM_MS 3000

typedef struct {
    char *early;      /**< Its bodies come first, its manifest comes late. */
    char *late;       /**< A job of the same partition, sent shortly after. */
    uint32_t partition;
    uint64_t held_from_ms; /**< 0: its manifest has not been seen. */
    uint32_t statuses[2];
    GThread *thread;
} pair;

static pair pairs[FLEET_PARTITIONS];
static GMutex lock;

static bool has_bytes(const GByteArray *body, const char *text) {
    return memmem(body->data, body->len, text, strlen(text)) != NULL;
}

/**
 * The append of an early job's manifest gets no answer and is done LATE_MS later, as are its
 * repetitions that begin until then. All other calls are answered at once.
 */
static gate_verdict hold_manifests(int daemon, const hs_inbound *call, void *user_data) {
    (void)user_data;
    if (!fleet_has_trouble() || strcmp(call->method, "POST") != 0 ||
        !g_str_has_prefix(call->target, CALL_APPEND) || strstr(call->target, "topic=jobs") == NULL)
        return (gate_verdict){GATE_PASS, 0};
    for (int index = 0; index < FLEET_PARTITIONS; index++) {
        pair *of = &pairs[index];
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
        return (gate_verdict){GATE_DO_LATE, LATE_MS};
    }
    return (gate_verdict){GATE_PASS, 0};
}

static gpointer submit_early(gpointer data) {
    pair *of = data;
    of->statuses[0] = fleet_submit((int)of->partition % DAEMONS, of->early, ITEMS, 4000);
    return NULL;
}

static void submit_late(pair *of) {
    of->statuses[1] = fleet_submit((int)(of->partition + 1) % DAEMONS, of->late, ITEMS, 4000);
}

static token_engine *start_engine(const char *id) {
    token_engine *engine = token_engine_start(&(token_engine_settings){
        .id = id, .service = "llm", .pace = {.events = 12, .event_ms = 15}, .zone = "brandon"});
    token_engine_announce(engine, fleet_store(), false);
    fleet_record("engine %s is there", id);
    return engine;
}

/** Counts the results of a job that a daemon lists; -1: no answer. */
static int count_results(int daemon, const char *job, json_t **page) {
    g_autofree char *target = g_strdup_printf(PATH_JOBS "%s?after=0", job);
    fleet_answer answer = fleet_call(daemon, "GET", target, NULL, NULL, 2000, 0, 3000);
    json_t *root = answer.status == 200 ? json_loads(answer.body, 0, NULL) : NULL;
    int count = root != NULL ? (int)json_array_size(json_object_get(root, "results")) : -1;
    fleet_answer_clear(&answer);
    if (page != NULL)
        *page = root;
    else
        json_decref(root);
    return count;
}

static bool is_listed(json_t *page, const char *item) {
    size_t index = 0;
    json_t *result = NULL;
    json_array_foreach(json_object_get(page, "results"), index, result)
        if (strcmp(json_string_value(json_object_get(result, "id")), item) == 0)
            return true;
    return false;
}

/** Whether a daemon gives the item's body. */
static bool gives_body(int daemon, const char *job, const char *item) {
    g_autofree char *target = g_strdup_printf(PATH_ITEMS "%s?id=%s", job, item);
    g_autofree char *expected = g_strdup_printf("body of %s", item);
    fleet_answer answer = fleet_call(daemon, "GET", target, NULL, NULL, 2000, 0, 3000);
    bool is_given = answer.status == 200 && g_strcmp0(answer.body, expected) == 0;
    fleet_record("body of item %s: daemon %d answers %u", item, daemon, answer.status);
    fleet_answer_clear(&answer);
    return is_given;
}

/** An item of an accepted job that isn't listed at the end. */
typedef struct {
    const char *job;
    char *id;
    bool has_body;
} open_item;

/** Adds the items of an accepted job that no daemon lists. */
static void collect_open(const char *job, GArray *open) {
    json_t *page = NULL;
    int count = count_results(0, job, &page);
    fleet_record("job %s: %d of %d items are listed", job, count, ITEMS);
    for (int item = 0; item < ITEMS; item++) {
        open_item entry = {.job = job, .id = g_strdup_printf("%s-%d", job, item)};
        if (page == NULL || !is_listed(page, entry.id))
            g_array_append_val(open, entry);
    }
    json_decref(page);
}

/** Asks all daemons for the bodies of the open items, again after each failure, for CALM_MS. */
static int count_lost(GArray *open) {
    uint64_t until_ms = fleet_now_ms() + CALM_MS;
    while (fleet_now_ms() < until_ms) {
        for (guint index = 0; index < open->len; index++) {
            open_item *entry = &g_array_index(open, open_item, index);
            for (int daemon = 0; daemon < DAEMONS && !entry->has_body; daemon++)
                entry->has_body = gives_body(daemon, entry->job, entry->id);
        }
        hs_clock_sleep_ms(700);
    }
    int lost = 0;
    for (guint index = 0; index < open->len; index++) {
        const open_item *entry = &g_array_index(open, open_item, index);
        if (entry->has_body)
            continue;
        lost++;
        fleet_record("LOST: item %s of accepted job %s isn't listed and its body is gone",
                     entry->id, entry->job);
    }
    return lost;
}

int main(void) {
    fleet_begin("2", DAEMONS, hold_manifests, NULL);
    fleet_configure(1, RETENTION_S);
    token_engine *engines[2] = {start_engine("i-1"), start_engine("i-2")};
    bool is_up = true;
    for (int index = 0; index < DAEMONS; index++)
        is_up = fleet_start_daemon(index) && is_up;
    for (int index = 0; index < DAEMONS; index++)
        is_up = fleet_wait_ready(index, 8000) && is_up;
    if (!is_up || !fleet_wait_owners(15000))
        return fleet_end(FLEET_CANNOT_RUN);
    if (fleet_has_trouble())
        for (int index = 0; index < 2; index++) {
            fleet_record("engine %s is lost for good", token_engine_id(engines[index]));
            token_engine_crash(engines[index]);
            log_store_put(fleet_store(), TOPIC_ENGINES, token_engine_id(engines[index]), "");
        }
    uint64_t start_ms = fleet_now_ms() + FIRST_PAIR_MS;
    for (uint32_t partition = 0; partition < FLEET_PARTITIONS; partition++) {
        pairs[partition].partition = partition;
        pairs[partition].early = fleet_id_in_partition("a", partition);
        pairs[partition].late = fleet_id_in_partition("b", partition);
    }
    for (uint32_t round = 0; round < FLEET_PARTITIONS / DAEMONS; round++) {
        uint64_t at_ms = start_ms + round * PAIR_PAUSE_MS;
        fleet_sleep_until(at_ms);
        for (uint32_t daemon = 0; daemon < DAEMONS; daemon++) {
            pair *of = &pairs[round * DAEMONS + daemon];
            of->thread = g_thread_new("early", submit_early, of);
        }
        fleet_sleep_until(at_ms + SECOND_JOB_AFTER_MS);
        for (uint32_t daemon = 0; daemon < DAEMONS; daemon++)
            submit_late(&pairs[round * DAEMONS + daemon]);
    }
    for (int index = 0; index < FLEET_PARTITIONS; index++)
        g_thread_join(pairs[index].thread);
    if (fleet_has_trouble()) {
        fleet_sleep_until(fleet_now_ms() + ENGINES_BACK_MS);
        start_engine("i-3");
        start_engine("i-4");
    }
    fleet_sleep_until(fleet_now_ms() + FINISH_MS);
    GArray *open = g_array_new(FALSE, FALSE, sizeof(open_item));
    for (int index = 0; index < FLEET_PARTITIONS; index++) {
        if (pairs[index].statuses[0] == 202)
            collect_open(pairs[index].early, open);
        if (pairs[index].statuses[1] == 202)
            collect_open(pairs[index].late, open);
    }
    int lost = count_lost(open);
    fleet_record("%d items of accepted jobs are lost", lost);
    return fleet_end(lost > 0 ? FLEET_BROKEN : FLEET_HELD);
}
