/**
 * @file driver.c
 * Batch jobs at engines of which one hands out wrong bytes in some of its answers: in one event of
 * an item's stream, the high bit of one byte is flipped, so that the event is no valid UTF-8.
 *
 * Rules: MIXED, "a result is `completed` though its text isn't the item's whole output", and
 * ORDER, "A text lacks an event".
 */
#include "kit2.h"

#include "platform/names.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DAEMONS 3
#define ENGINES 3
/** Engine 0 spoils its answers: share 0.33, one in so many: x = 0.02. */
#define ANSWERS_PER_SPOILED 50
/** Length of the disruption, from the engine's first answer on. */
#define GARBLE_MS 5000
#define SLOTS 8
#define EVENTS 12
#define EVENT_MS 15
#define JOBS 20
#define ITEMS 16
#define SUBMIT_LIMIT_MS 4000
#define FINISH_MS 60000

typedef struct {
    int number;
    char id[16];
    gint answers;
    gint spoiled;
    uint64_t first_answer_ms;
} engine;

static engine engines[ENGINES];
static GMutex lock;
static GHashTable *spoiled_items; /* item id -> event that was spoiled */

static char *event_text(const char *item, int event) {
    return g_strdup_printf("word %d of %s", event, item);
}

static bool serve(const kit_request *request, void *data) {
    engine *self = data;
    if (*request->id == '\0')
        return kit_sendf(request->descriptor, "HTTP/1.1 400 Bad Request\r\n" HEADER_NOT_EXECUTED
                                              ": 1\r\nContent-Length: 0\r\n\r\n");
    int after = request->last_event != NULL ? atoi(request->last_event) : 0;
    int number = g_atomic_int_add(&self->answers, 1) + 1;
    if (number == 1)
        self->first_answer_ms = kit_now_ms();
    bool is_spoiled = kit_has_trouble() && self->number == 0 &&
                      number % ANSWERS_PER_SPOILED == 0 &&
                      kit_now_ms() < self->first_answer_ms + GARBLE_MS;
    int spoiled_event = is_spoiled ? MAX(after + 1, EVENTS / 2) : 0;
    if (!kit_sendf(request->descriptor,
                   "HTTP/1.1 200 OK\r\n" HEADER_REQUEST_ID ": %s\r\n" HEADER_SIGNATURE
                   ": s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
                   "chunked\r\n\r\n",
                   request->id, request->id))
        return false;
    for (int event = after + 1; event <= EVENTS; event++) {
        if (!kit_wait_open(request->descriptor, EVENT_MS))
            return false;
        g_autofree char *text = event_text(request->id, event);
        if (event == spoiled_event) {
            text[0] = (char)(text[0] ^ 0x80);
            g_atomic_int_inc(&self->spoiled);
            g_mutex_lock(&lock);
            g_hash_table_insert(spoiled_items, g_strdup(request->id), GINT_TO_POINTER(event));
            g_mutex_unlock(&lock);
            kit_record("%s spoils a byte of event %d of item %s", self->id, event, request->id);
        }
        g_autofree char *lines = g_strdup_printf("id: %d\ndata: %s\n\n", event, text);
        if (!kit_sendf(request->descriptor, "%zx\r\n%s\r\n", strlen(lines), lines))
            return false;
    }
    return kit_sendf(request->descriptor, "0\r\n\r\n");
}

static char *job_body(int job) {
    GString *body = g_string_new("{\"requests\":[");
    for (int item = 0; item < ITEMS; item++)
        g_string_append_printf(body,
                               "%s{\"id\":\"item-%d-%d\",\"path\":\"/lots-in/run/%d\","
                               "\"headers\":{\"Heathsail-Model\":\"m\"},\"body\":\"aGVsbG8=\","
                               "\"tokens\":40}",
                               item > 0 ? "," : "", job, item, item);
    g_string_append(body, "]}");
    return g_string_free(body, FALSE);
}

/** What was found of the results. */
typedef struct {
    int listed;
    int whole;
    int broken;
} figures;

static void judge(const json_t *result, figures *found) {
    const char *item = json_string_value(json_object_get(result, "id"));
    const char *state = json_string_value(json_object_get(result, "state"));
    const char *message = json_string_value(json_object_get(result, "message"));
    found->listed++;
    if (g_strcmp0(state, "completed") != 0 || message == NULL)
        return;
    g_auto(GStrv) lines = g_strsplit(message, "\n", -1);
    guint count = *message != '\0' ? g_strv_length(lines) : 0;
    found->whole += count == EVENTS;
    if (count == EVENTS)
        return;
    found->broken++;
    g_mutex_lock(&lock);
    int event = GPOINTER_TO_INT(g_hash_table_lookup(spoiled_items, item));
    g_mutex_unlock(&lock);
    kit_record("BROKEN: %s is completed with %u of %d events, text \"%.40s\" (spoiled event: %d)",
               item, count, EVENTS, message, event);
}

/** Reads all results of a job; returns whether all items are listed. */
static bool read_job(const kit_daemon *daemon, int job, figures *found) {
    figures before = *found;
    int position = 0;
    int total = 1;
    while (position < total) {
        g_autofree char *target = g_strdup_printf(PATH_JOBS "job-%d?after=%d", job, position);
        kit_answer answer = kit_call(daemon->front, "GET", target, NULL, "", NULL, 0, 3000);
        json_t *root =
            answer.status == 200
                ? json_loadb((char *)answer.body->data, answer.body->len, 0, NULL)
                : NULL;
        kit_answer_clear(&answer);
        const json_t *results = json_object_get(root, "results");
        int next = (int)json_integer_value(json_object_get(root, "next-page-token"));
        total = (int)json_integer_value(json_object_get(root, "total"));
        size_t index = 0;
        const json_t *result = NULL;
        json_array_foreach(results, index, result) judge(result, found);
        bool is_stuck = root == NULL || next <= position;
        json_decref(root);
        if (is_stuck) {
            *found = before;
            return false;
        }
        position = next;
    }
    return true;
}

int main(int argc, char **argv) {
    kit_record_open(argc > 1 ? argv[1] : NULL);
    spoiled_items = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    log_store *store = log_store_start(0);
    log_store_put(
        store, TOPIC_CONFIG, KEY_CONFIG,
        "{\"version\":1,\"routes\":[{\"name\":\"board\",\"host\":\"" KIT_HOST
        "\",\"path-prefix\":\"/lots-in/\",\"kind\":\"batch\",\"timeout-ms\":30000,"
        "\"target-latency-ms\":400,\"completion-target-ms\":20000,\"service\":\"quote-desk\","
        "\"max-attempts\":3,\"retention-s\":60}],"
        "\"services\":[{\"name\":\"quote-desk\",\"health-check\":\"/healthz\","
        "\"max-connections\":300,\"protocol\":\"h1\",\"tls\":false}],"
        "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
        "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}");
    for (int number = 0; number < ENGINES; number++) {
        engines[number].number = number;
        g_snprintf(engines[number].id, sizeof engines[number].id, "i-%d", number);
        kit_server *server = kit_server_start(serve, &engines[number]);
        kit_announce(store, engines[number].id, "quote-desk", kit_server_port(server), SLOTS, "v1",
                     "ready", 1);
    }
    kit_daemon daemons[KIT_MAX_DAEMONS] = {0};
    bool is_ready = true;
    for (int index = 0; index < DAEMONS; index++)
        is_ready = kit_daemon_start(daemons, index, log_store_port(store), "") && is_ready;
    for (int index = 0; index < DAEMONS; index++)
        is_ready = is_ready && kit_daemon_wait_ready(&daemons[index], 10000);
    if (!is_ready) {
        kit_record("a daemon is not ready");
        kit_clean_up(daemons, DAEMONS);
        return KIT_CANNOT_RUN;
    }
    kit_sleep_ms(4000); /* The daemons share the partitions out. */
    int accepted = 0;
    for (int job = 0; job < JOBS; job++) {
        g_autofree char *id = g_strdup_printf("job-%d", job);
        g_autofree char *body = job_body(job);
        kit_answer answer =
            kit_call(daemons[job % DAEMONS].front, "POST", "/lots-in/new", id,
                     "Content-Type: application/json\r\n" HEADER_TIMEOUT_MS ": 4000\r\n", body,
                     strlen(body), SUBMIT_LIMIT_MS);
        kit_record("%s: %d items, answer %u", id, ITEMS, answer.status);
        accepted += answer.status == 202;
        kit_answer_clear(&answer);
        kit_sleep_ms(200);
    }
    figures found = {0};
    uint64_t until_ms = kit_now_ms() + FINISH_MS;
    int finished = 0;
    for (int job = 0; job < JOBS && kit_now_ms() < until_ms;) {
        if (read_job(&daemons[(job + 1) % DAEMONS], job, &found)) {
            finished++;
            job++;
        } else {
            kit_sleep_ms(200);
        }
    }
    int spoiled = engines[0].spoiled;
    kit_record("jobs=%d accepted=%d finished=%d results=%d whole=%d spoiled_answers=%d broken=%d",
               JOBS, accepted, finished, found.listed, found.whole, spoiled, found.broken);
    kit_record(found.broken > 0 ? "verdict: broken" : "verdict: held");
    kit_clean_up(daemons, DAEMONS);
    if (accepted < JOBS || finished < JOBS)
        return KIT_CANNOT_RUN;
    return found.broken > 0 ? KIT_BROKEN : KIT_HELD;
}
