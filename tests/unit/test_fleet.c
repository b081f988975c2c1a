/** @file test_fleet.c  Streams, fields, choice of engine, believed caches, codecs of the fleet. */
#include "base/clock.h"
#include "base/hash.h"
#include "fleet/config_source.h"
#include "fleet/engine_choice.h"
#include "fleet/fleet_engines.h"
#include "fleet/prefix_index.h"
#include "http/http_fields.h"
#include "online/event_stream.h"
#include "online/online_request.h"
#include "platform/caller_codec.h"
#include "platform/config_codec.h"
#include "platform/engine_codec.h"
#include "platform/job_codec.h"
#include "platform/store_codec.h"
#include "tests/unit/unit_tests.h"

#include <math.h>
#include <string.h>

static void add(GByteArray *bytes, const char *text) {
    g_byte_array_append(bytes, (const guint8 *)text, (guint)strlen(text));
}

/** Fed byte by byte, a stream gives the same whole events, and nothing of a cut one. */
static void events_are_whole_at_every_cut(void) {
    static const char text[] =
        "id: 1\ndata: a\n\nheathsail: 2\nid: 2\ndata: b\ndata: c\n\nid: 3\nda";
    hs_event_stream stream = {0};
    GByteArray *input = g_byte_array_new();
    GByteArray *events = g_byte_array_new();
    GPtrArray *texts = g_ptr_array_new();
    for (size_t index = 0; index < strlen(text); index++) {
        g_byte_array_append(input, (const guint8 *)text + index, 1);
        CU_ASSERT_TRUE(hs_event_stream_take(&stream, input, events, texts));
    }
    size_t whole = (size_t)(strstr(text, "id: 3") - text);
    CU_ASSERT(events->len == whole && memcmp(events->data, text, whole) == 0);
    CU_ASSERT_EQUAL(stream.last_id, 2);
    CU_ASSERT_EQUAL(texts->len, 2);
    CU_ASSERT_STRING_EQUAL(((GString *)texts->pdata[1])->str, "b\nc");
    CU_ASSERT_EQUAL(input->len, strlen(text) - whole);
    for (guint index = 0; index < texts->len; index++)
        g_string_free(texts->pdata[index], TRUE);
    g_ptr_array_free(texts, TRUE);
    g_byte_array_free(input, TRUE);
    g_byte_array_free(events, TRUE);
}

static void a_resumed_stream_neither_repeats_nor_skips(void) {
    hs_event_stream stream = {.has_last_id = true, .last_id = 4, .expects_next = true};
    GByteArray *input = g_byte_array_new();
    GByteArray *events = g_byte_array_new();
    add(input, "id: 4\ndata: d\n\nid: 5\ndata: e\n\n");
    CU_ASSERT_TRUE(hs_event_stream_take(&stream, input, events, NULL));
    CU_ASSERT_EQUAL(events->len, strlen("id: 5\ndata: e\n\n"));
    add(input, "id: 7\ndata: g\n\n");
    CU_ASSERT_FALSE(hs_event_stream_take(&stream, input, events, NULL));
    CU_ASSERT_EQUAL(events->len, strlen("id: 5\ndata: e\n\n"));
    g_byte_array_free(input, TRUE);
    g_byte_array_free(events, TRUE);
}

static void fields_that_come_twice_are_kept(void) {
    GArray *fields = hs_http_fields_new();
    hs_http_fields_add(fields, "X-A", "1");
    hs_http_fields_add(fields, "x-a", "2");
    hs_http_fields_add(fields, "Connection", "close, X-Own");
    CU_ASSERT_EQUAL(fields->len, 3);
    CU_ASSERT_STRING_EQUAL(hs_http_fields_find(fields, "X-A"), "1");
    CU_ASSERT_TRUE(hs_http_fields_is_hop_by_hop(fields, "x-own"));
    CU_ASSERT_TRUE(hs_http_fields_is_hop_by_hop(fields, "Transfer-Encoding"));
    CU_ASSERT_FALSE(hs_http_fields_is_hop_by_hop(fields, "X-A"));
    hs_http_fields_free(fields);
}

static void the_choice_weighs_reading_and_waiting(void) {
    hs_engine_speed speed = {.tokens_per_ms = 50, .run_ms = 1000};
    hs_engine_candidate cached = {.slots = 8, .running = 2, .uncached_tokens = 1000};
    hs_engine_candidate cold = {.slots = 8, .running = 0, .uncached_tokens = 15000};
    hs_engine_candidate list[2] = {cold, cached};
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 2, 0, &speed), 1);
    list[1].queued_tokens = 60000; /* The cache is not worth a queue before it. */
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 2, 0, &speed), 0);
    list[0].running = 20; /* All slots taken, and many wait. */
    list[1].queued_tokens = 20000;
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 2, 0, &speed), 1);
    list[1].suspected = true;
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 2, 0, &speed), 0);
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 0, 0, &speed), HS_ENGINE_NONE);
}

/** Batch items take free slots only, of engines that nobody suspects. */
static void batch_takes_free_slots_only(void) {
    hs_engine_speed speed = {.tokens_per_ms = 50, .run_ms = 1000};
    hs_engine_candidate one = {.slots = 10, .running = 9, .batch = 3};
    CU_ASSERT_EQUAL(hs_engine_choice_pick_spare(&one, 1, 0, &speed), 0);
    one.running = 10;
    CU_ASSERT_EQUAL(hs_engine_choice_pick_spare(&one, 1, 0, &speed), HS_ENGINE_NONE);
    one.running = 9.5; /* Words of unheard daemons are scaled: not a whole slot. */
    CU_ASSERT_EQUAL(hs_engine_choice_pick_spare(&one, 1, 0, &speed), HS_ENGINE_NONE);
    one.running = 2;
    one.suspected = true;
    CU_ASSERT_EQUAL(hs_engine_choice_pick_spare(&one, 1, 0, &speed), HS_ENGINE_NONE);
}

/** For online requests a slot that a batch item holds is nearly free; one of a request is not. */
static void online_requests_count_on_batch_stepping_aside(void) {
    hs_engine_speed speed = {.tokens_per_ms = 50, .run_ms = 1000};
    hs_engine_candidate list[3] = {{.slots = 8, .running = 8, .batch = 8},
                                   {.slots = 8, .running = 8, .batch = 0},
                                   {.slots = 8, .running = 7, .batch = 0}};
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 2, 0, &speed), 0);
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 3, 0, &speed), 2);
    list[0].running = 12; /* More wait there than items can leave. */
    list[0].batch = 1;
    list[1].running = 9;
    CU_ASSERT_EQUAL(hs_engine_choice_pick(list, 2, 0, &speed), 1);
}

static void believed_caches_give_way_by_age(void) {
    hs_prefix_index *index = hs_prefix_index_new(1500);
    hs_request_size first = {.part_count = 2, .parts = {{1, 1000}, {9, 50}}};
    hs_request_size second = {.part_count = 2, .parts = {{2, 400}, {8, 50}}};
    hs_request_size third = {.part_count = 2, .parts = {{3, 400}, {7, 50}}};
    hs_prefix_index_note(index, &first, 1);
    hs_prefix_index_note(index, &second, 2);
    CU_ASSERT_EQUAL(hs_prefix_index_match(index, &first), 1000);
    hs_prefix_index_note(index, &third, 3);
    CU_ASSERT_EQUAL(hs_prefix_index_match(index, &first), 0);
    CU_ASSERT_EQUAL(hs_prefix_index_match(index, &second), 400);
    hs_prefix_index_free(index);
}

static const char config_text[] =
    "{\"version\":7,\"new-field\":1,\"routes\":["
    "{\"name\":\"r1\",\"host\":\"a.example\",\"path-prefix\":\"/x/\",\"kind\":\"streaming\","
    "\"timeout-ms\":6000,\"target-latency-ms\":500,\"priority\":0,\"service\":\"s1\","
    "\"max-attempts\":2,\"resumable\":true,\"gap-target-ms\":500},"
    "{\"name\":\"r2\",\"host\":\"a.example\",\"path-prefix\":\"/x/y/\",\"kind\":\"idempotent\","
    "\"timeout-ms\":4000,\"target-latency-ms\":300,\"traffic-split\":["
    "{\"service\":\"s1\",\"weight\":90},{\"service\":\"s2\",\"weight\":10}],\"max-attempts\":1}],"
    "\"services\":[{\"name\":\"s1\",\"health-check\":\"/h\",\"max-connections\":30,"
    "\"engine\":{\"slots\":4,\"kv-capacity-tokens\":1000,\"migrations\":true}}],"
    "\"limits\":{\"max-header-bytes\":100,\"max-body-bytes\":200,\"header-timeout-ms\":300,"
    "\"idle-timeout-ms\":400}}";

static void routes_go_by_host_and_longest_prefix(void) {
    hs_error error = {0};
    hs_fleet_config *config = hs_platform_read_config(config_text, strlen(config_text), &error);
    CU_ASSERT_PTR_NOT_NULL(config);
    if (config == NULL)
        return;
    CU_ASSERT_EQUAL(config->version, 7);
    const hs_fleet_route *found = hs_fleet_config_find_route(config, "a.example:80", "/x/y/z?q=1");
    CU_ASSERT_STRING_EQUAL(found->name, "r2");
    CU_ASSERT_STRING_EQUAL(hs_fleet_config_find_route(config, "A.Example", "/x/q")->name, "r1");
    CU_ASSERT_PTR_NULL(hs_fleet_config_find_route(config, "a.example", "/x"));
    CU_ASSERT_PTR_NULL(hs_fleet_config_find_route(config, "b.example", "/x/y/"));
    CU_ASSERT_EQUAL(hs_fleet_config_find_service(config, "s1")->memory_tokens, 1000);
    CU_ASSERT_EQUAL(config->limits.idle_timeout_ms, 400);
    hs_fleet_config_unref(config);
}

static void a_broken_configuration_is_refused(void) {
    hs_error error = {0};
    for (size_t length = 0; length < strlen(config_text); length++)
        CU_ASSERT_PTR_NULL(hs_platform_read_config(config_text, length, &error));
    CU_ASSERT_PTR_NULL(hs_platform_read_config("[]", 2, &error));
    CU_ASSERT_PTR_NULL(hs_platform_read_config("{\"version\":3}", 13, &error));
}

static void a_split_comes_close_to_its_weights_soon(void) {
    hs_error error = {0};
    hs_fleet_config *config = hs_platform_read_config(config_text, strlen(config_text), &error);
    const hs_fleet_route *route = hs_fleet_config_find_route(config, "a.example", "/x/y/");
    hs_online online = {0};
    int minor = 0;
    for (int request = 0; request < 300; request++)
        minor += strcmp(hs_online_pick_share(&online, route), "s2") == 0;
    CU_ASSERT(minor >= 28 && minor <= 32);
    hs_fleet_config_unref(config);
}

static void the_older_configuration_is_not_taken(void) {
    hs_config_source *source = hs_config_source_new(NULL, 1000);
    hs_fleet_config *newer = hs_fleet_config_new();
    newer->version = 9;
    hs_fleet_config *older = hs_fleet_config_new();
    older->version = 8;
    CU_ASSERT_TRUE(hs_config_source_offer(source, newer));
    CU_ASSERT_FALSE(hs_config_source_offer(source, older));
    hs_fleet_config *now = hs_config_source_get(source);
    CU_ASSERT_EQUAL(now->version, 9);
    hs_fleet_config_unref(now);
    hs_config_source_free(source);
}

static void engine_heads_carry_what_callers_sent(void) {
    GArray *fields = hs_http_fields_new();
    hs_http_fields_add(fields, "Host", "a.example");
    hs_http_fields_add(fields, "Heathsail-Request-Id", "r1");
    hs_http_fields_add(fields, "Heathsail-Timeout-Ms", "9000");
    hs_http_fields_add(fields, "X-Twice", "1");
    hs_http_fields_add(fields, "X-Twice", "2");
    hs_http_fields_add(fields, "Connection", "keep-alive, X-Hop");
    hs_http_fields_add(fields, "X-Hop", "h");
    hs_http_fields_add(fields, "Transfer-Encoding", "chunked");
    hs_engine_request request = {.method = "POST",
                                 .target = "/x/%2f?a=%20",
                                 .fields = fields,
                                 .request_id = "r1",
                                 .body_length = 3,
                                 .engine_id = "e1",
                                 .timeout_ms = 1200,
                                 .resumes = true,
                                 .last_event = 5};
    GString *head = hs_platform_write_engine_head(&request);
    CU_ASSERT_TRUE(g_str_has_prefix(head->str, "POST /x/%2f?a=%20 HTTP/1.1\r\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(head->str, "X-Twice: 1\r\nX-Twice: 2\r\n"));
    CU_ASSERT_PTR_NULL(strstr(head->str, "X-Hop"));
    CU_ASSERT_PTR_NULL(strstr(head->str, "chunked"));
    CU_ASSERT_PTR_NULL(strstr(head->str, "9000"));
    CU_ASSERT_PTR_NOT_NULL(strstr(head->str, "Heathsail-Timeout-Ms: 1200\r\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(head->str, "Heathsail-Target-Instance: e1\r\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(head->str, "Last-Event-Id: 5\r\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(head->str, "Content-Length: 3\r\n"));
    g_string_free(head, TRUE);
    hs_http_fields_free(fields);
}

static void callers_terms_are_read(void) {
    GArray *fields = hs_http_fields_new();
    hs_http_fields_add(fields, "Heathsail-Token-Usage", "1460,80");
    hs_http_fields_add(fields, "Heathsail-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    hs_caller_terms terms;
    hs_platform_read_terms(fields, &terms);
    CU_ASSERT_EQUAL(terms.size.prompt_tokens, 1460);
    CU_ASSERT_EQUAL(terms.size.output_tokens, 80);
    CU_ASSERT_EQUAL(terms.size.part_count, 3);
    CU_ASSERT_EQUAL(terms.size.parts[2].id, 0xe4402b7dU);
    CU_ASSERT_EQUAL(hs_prompt_shared_tokens(&terms.size), 1210);
    hs_http_fields_free(fields);
    static const char *const broken[] = {":", "zz", "1:", "1:2,", ",,,", "1:2:3", "1;2"};
    for (size_t index = 0; index < G_N_ELEMENTS(broken); index++) {
        GArray *odd = hs_http_fields_new();
        hs_http_fields_add(odd, "Heathsail-Prompt-Prefix", broken[index]);
        hs_platform_read_terms(odd, &terms);
        CU_ASSERT(terms.size.part_count <= HS_PROMPT_PARTS_MAX);
        hs_http_fields_free(odd);
    }
}

static void calls_are_sorted(void) {
    char *id = NULL;
    CU_ASSERT_EQUAL(hs_platform_sort_call("GET", "/lots/ab?after=3", &id), HS_CALL_JOB_READ);
    CU_ASSERT_STRING_EQUAL(id, "ab");
    g_free(id);
    CU_ASSERT_EQUAL(hs_platform_sort_call("DELETE", "/lots/ab", &id), HS_CALL_JOB_END);
    g_free(id);
    CU_ASSERT_EQUAL(hs_platform_sort_call("GET", "/items/ab?id=q", &id), HS_CALL_ITEM_READ);
    g_free(id);
    CU_ASSERT_EQUAL(hs_platform_sort_call("POST", "/lots/ab", &id), HS_CALL_REQUEST);
    CU_ASSERT_EQUAL(hs_platform_sort_call("GET", "/lots/", &id), HS_CALL_REQUEST);
    CU_ASSERT_EQUAL(hs_platform_read_position("/lots/ab?after=3"), 3);
    char *zone = NULL;
    CU_ASSERT_TRUE(hs_platform_is_resolve("/resolve?name=a&zone=z%201", &zone));
    CU_ASSERT_STRING_EQUAL(zone, "z 1");
    g_free(zone);
    CU_ASSERT_FALSE(hs_platform_is_resolve("/resolver", &zone));
}

static void store_records_are_bounded(void) {
    GByteArray *answer = g_byte_array_new();
    guint8 bounds[16] = {0};
    bounds[7] = 9;
    g_byte_array_append(answer, bounds, sizeof bounds);
    hs_platform_frame_record(answer, "ab", 2);
    hs_platform_frame_keyed(answer, "k", "v", 1);
    size_t position = 0;
    hs_store_record record;
    uint64_t end = 0;
    uint64_t first = 0;
    CU_ASSERT_TRUE(hs_platform_read_bounds(answer, &end, &first));
    CU_ASSERT_EQUAL(end, 9);
    CU_ASSERT_TRUE(hs_platform_next_record(answer, false, &position, &record));
    CU_ASSERT_EQUAL(record.value_length, 2);
    CU_ASSERT_TRUE(hs_platform_next_record(answer, true, &position, &record));
    CU_ASSERT(record.key_length == 1 && record.value_length == 1);
    CU_ASSERT_FALSE(hs_platform_next_record(answer, true, &position, &record));
    while (answer->len > 0) { /* Cut anywhere, nothing is read beyond the end. */
        g_byte_array_set_size(answer, answer->len - 1);
        position = 0;
        while (hs_platform_next_record(answer, false, &position, &record))
            CU_ASSERT(record.value + record.value_length <= answer->data + answer->len);
    }
    g_byte_array_free(answer, TRUE);
}

static void broken_submissions_are_refused(void) {
    static const char *const broken[] = {
        "",
        "[]",
        "{\"requests\":[]}",
        "{\"requests\":[{}]}",
        "{\"requests\":[{\"id\":\"a\",\"path\":\"/p\",\"body\":\"!!\"}]}",
        "{\"requests\":[{\"id\":\"a\",\"path\":\"p\",\"body\":\"\"}]}",
        "{\"requests\":[{\"id\":\"a\",\"path\":\"/p\",\"body\":\"\"},"
        "{\"id\":\"a\",\"path\":\"/p\",\"body\":\"\"}]}",
        "{\"requests\":[{\"id\":\"a\",\"path\":\"/p\",\"body\":\"\",\"headers\":{\"X\":\"a\\r\\nB: "
        "c\"}}]}"};
    hs_error error = {0};
    for (size_t index = 0; index < G_N_ELEMENTS(broken); index++)
        CU_ASSERT_PTR_NULL(
            hs_platform_read_submission(broken[index], strlen(broken[index]), &error));
    static const char sound[] = "{\"requests\":[{\"id\":\"a\",\"path\":\"/p\",\"headers\":{\"X\":"
                                "\"y\"},\"body\":\"AAE=\",\"tokens\":5}]}";
    GArray *items = hs_platform_read_submission(sound, strlen(sound), &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(items);
    CU_ASSERT_EQUAL(g_array_index(items, hs_submitted_item, 0).body_length, 2);
    g_array_free(items, TRUE);
}

static hs_engine_entry entry_of(const char *id, uint32_t slots) {
    return (hs_engine_entry){.id = g_strdup(id),
                             .service = g_strdup("svc"),
                             .zone = g_strdup("z"),
                             .address = 1,
                             .port = 1,
                             .slots = slots};
}

static void leaving_engines_get_nothing_new(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 4);
    hs_fleet_engines_put(engines, &entry, 1);
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *lease = hs_fleet_engines_take(engines, &query);
    CU_ASSERT_PTR_NOT_NULL_FATAL(lease);
    entry = entry_of("e1", 4);
    entry.draining = true;
    hs_fleet_engines_put(engines, &entry, 2);
    CU_ASSERT_PTR_NULL(hs_fleet_engines_take(engines, &query));
    hs_fleet_engines_drop(engines, "e1"); /* The lease still holds what it needs. */
    CU_ASSERT_STRING_EQUAL(hs_engine_lease_id(lease), "e1");
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_SERVED);
    hs_fleet_engines_free(engines);
}

/** Above the time after which an engine's arbiter counts as silent. */
#define ARBITER_SILENT_MS 350

/** Both daemons' items and requests fill the engine: this daemon gives up its part, once. */
static void batch_items_step_aside_by_share(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 6);
    hs_fleet_engines_put(engines, &entry, 1);
    hs_interrupt flags[4];
    hs_engine_lease *leases[4];
    for (int index = 0; index < 4; index++) {
        hs_interrupt_init(&flags[index]);
        hs_engine_query query = {.service = "svc", .work = HS_WORK_BATCH, .yield = &flags[index]};
        leases[index] = hs_fleet_engines_take(engines, &query);
        CU_ASSERT_PTR_NOT_NULL_FATAL(leases[index]);
    }
    CU_ASSERT_EQUAL(hs_fleet_engines_yield(engines), 0);
    GArray *own = hs_fleet_engines_own_shares(engines);
    hs_engine_share told = g_array_index(own, hs_engine_share, 0);
    told.batch = 0;
    told.online = 4; /* Four online requests of another daemon: two too many. */
    g_array_index(own, hs_engine_share, 0) = told;
    hs_fleet_engines_put_peer(engines, "other", &(hs_peer_word){.shares = own},
                              hs_clock_monotonic_ms());
    /* The engine's arbiter is given a moment to do it; it stays silent here. */
    CU_ASSERT_EQUAL(hs_fleet_engines_yield(engines), 0);
    hs_clock_sleep_ms(ARBITER_SILENT_MS);
    hs_fleet_engines_put_peer(engines, "other", &(hs_peer_word){.shares = own},
                              hs_clock_monotonic_ms());
    CU_ASSERT_EQUAL(hs_fleet_engines_yield(engines), 2);
    CU_ASSERT_EQUAL(hs_interrupt_get(&flags[0]), HS_INTERRUPT_NONE);
    CU_ASSERT_EQUAL(hs_interrupt_get(&flags[3]), HS_INTERRUPT_YIELD);
    CU_ASSERT_EQUAL(hs_fleet_engines_yield(engines), 0); /* Until all know of it. */
    for (int index = 0; index < 4; index++)
        hs_engine_lease_release(leases[index], NULL, HS_ATTEMPT_DROPPED);
    for (int index = 0; index < 4; index++)
        hs_interrupt_clear(&flags[index]);
    g_array_free(own, TRUE);
    hs_fleet_engines_free(engines);
}

static GArray *one_share(const char *engine, hs_engine_share share) {
    GArray *shares = g_array_new(FALSE, FALSE, sizeof(hs_engine_share));
    share.engine_hash = hs_hash_bytes(engine, strlen(engine));
    g_array_append_val(shares, share);
    return shares;
}

static const char *taken_engine(hs_fleet_engines *engines) {
    hs_engine_query query = {.service = "svc"};
    static char id[16];
    hs_engine_lease *lease = hs_fleet_engines_take(engines, &query);
    g_strlcpy(id, hs_engine_lease_id(lease), sizeof id);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    return id;
}

/** Of engines that are alike, the one that a connection is open to; a slot is worth more than it.
 */
static void a_kept_connection_decides_between_equals(void) {
    hs_engine_speed speed = {.tokens_per_ms = 40, .run_ms = 300};
    hs_engine_candidate candidates[] = {{.slots = 4, .same_zone = true},
                                        {.slots = 4, .same_zone = true, .is_connected = true},
                                        {.slots = 4, .is_connected = true}};
    for (size_t first = 0; first < 3; first++)
        CU_ASSERT_EQUAL(hs_engine_choice_pick(candidates, 3, first, &speed), 1);
    candidates[1].running = 4;
    CU_ASSERT_NOT_EQUAL(hs_engine_choice_pick(candidates, 3, 0, &speed), 1);
}

/** What others tell counts as long as it is fresh, and no longer. */
static void peers_words_count_while_fresh(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 4);
    hs_fleet_engines_put(engines, &entry, 1);
    entry = entry_of("e2", 4);
    hs_fleet_engines_put(engines, &entry, 1);
    static const hs_engine_share words[] = {
        {.online = 9}, {.suspected = true}, {.ended_permille = 9000, .failed_permille = 4000}};
    for (size_t index = 0; index < G_N_ELEMENTS(words); index++) {
        GArray *shares = one_share("e1", words[index]);
        hs_fleet_engines_put_peer(engines, "other", &(hs_peer_word){.shares = shares},
                                  hs_clock_monotonic_ms());
        for (int turn = 0; turn < 4; turn++)
            CU_ASSERT_STRING_EQUAL(taken_engine(engines), "e2");
        g_array_free(shares, TRUE);
    }
    GArray *old = one_share("e1", (hs_engine_share){.online = 9});
    hs_fleet_engines_put_peer(engines, "other", &(hs_peer_word){.shares = old},
                              hs_clock_monotonic_ms() - 60000);
    int first = 0;
    for (int turn = 0; turn < 4; turn++)
        first += strcmp(taken_engine(engines), "e1") == 0;
    CU_ASSERT_EQUAL(first, 2);
    g_array_free(old, TRUE);
    hs_fleet_engines_free(engines);
}

/** With more daemons than are told in a round, those that were not heard count as the others. */
static void unheard_peers_count_as_the_heard(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 4);
    hs_fleet_engines_put(engines, &entry, 1);
    GArray *shares = one_share("e1", (hs_engine_share){.online = 2});
    hs_fleet_engines_set_peers(engines, 30, 0);
    hs_fleet_engines_put_peer(engines, "one", &(hs_peer_word){.shares = shares},
                              hs_clock_monotonic_ms());
    hs_fleet_engines_put_peer(engines, "two", &(hs_peer_word){.shares = shares},
                              hs_clock_monotonic_ms());
    hs_service_room room = hs_fleet_engines_room(engines, "svc");
    CU_ASSERT_EQUAL(room.online, 60);
    g_array_free(shares, TRUE);
    hs_fleet_engines_free(engines);
}

/**
 * Of hundreds of daemons few run batch items. What they were heard to have counts as it is, at the
 * engine where it is; nothing is made up for daemons that have none.
 */
static void batch_is_scaled_by_those_who_run_it(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 8);
    hs_fleet_engines_put(engines, &entry, 1);
    entry = entry_of("e2", 8);
    hs_fleet_engines_put(engines, &entry, 1);
    GArray *shares = one_share("e1", (hs_engine_share){.batch = 3});
    hs_peer_word word = {.shares = shares, .runs_batch = true, .batch_work_ms = 500};
    hs_fleet_engines_set_peers(engines, 300, 1);
    hs_fleet_engines_put_peer(engines, "owner", &word, hs_clock_monotonic_ms());
    GArray *nothing = g_array_new(FALSE, FALSE, sizeof(hs_engine_share));
    hs_fleet_engines_put_peer(engines, "other", &(hs_peer_word){.shares = nothing},
                              hs_clock_monotonic_ms());
    CU_ASSERT_EQUAL(hs_fleet_engines_room(engines, "svc").batch, 3);
    CU_ASSERT_EQUAL(hs_fleet_engines_peers_batch_work(engines), 500);
    hs_fleet_engines_set_peers(engines, 300, 4); /* Three more that were not heard. */
    hs_fleet_engines_put_peer(engines, "owner", &word, hs_clock_monotonic_ms());
    CU_ASSERT_EQUAL(hs_fleet_engines_room(engines, "svc").batch, 12);
    CU_ASSERT_EQUAL(hs_fleet_engines_peers_batch_work(engines), 2000);
    g_array_free(shares, TRUE);
    g_array_free(nothing, TRUE);
    hs_fleet_engines_free(engines);
}

/** A load told with an answer counts batch items too: it is no sign of online requests. */
static void loads_of_answers_take_no_room_from_batch(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 8);
    hs_fleet_engines_put(engines, &entry, 1);
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *lease = hs_fleet_engines_take(engines, &query);
    hs_engine_lease_note_load(lease, &(hs_engine_load){.present = true, .running = 7, .slots = 8});
    CU_ASSERT_EQUAL(hs_fleet_engines_room(engines, "svc").online, 1);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_DROPPED);
    hs_fleet_engines_free(engines);
}

/** An engine's connections are shared out between the daemons; a full share is no reason to fail.
 */
static void a_daemon_keeps_to_its_share_of_connections(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 40);
    hs_fleet_engines_put(engines, &entry, 1);
    hs_fleet_engines_set_peers(engines, 9, 0);
    hs_engine_query query = {.service = "svc", .max_connections = 40};
    hs_engine_lease *leases[4];
    for (size_t index = 0; index < G_N_ELEMENTS(leases); index++) {
        leases[index] = hs_fleet_engines_take(engines, &query);
        CU_ASSERT_PTR_NOT_NULL_FATAL(leases[index]);
    }
    CU_ASSERT_PTR_NULL(hs_fleet_engines_take(engines, &query));
    hs_engine_lease_release(leases[0], NULL, HS_ATTEMPT_SERVED);
    leases[0] = hs_fleet_engines_take(engines, &query);
    CU_ASSERT_PTR_NOT_NULL(leases[0]);
    hs_fleet_engines_set_peers(engines, 99,
                               0); /* Less than one each: one, so that all can serve. */
    for (size_t index = 0; index < G_N_ELEMENTS(leases); index++)
        hs_engine_lease_release(leases[index], NULL, HS_ATTEMPT_SERVED);
    leases[0] = hs_fleet_engines_take(engines, &query);
    CU_ASSERT_PTR_NOT_NULL_FATAL(leases[0]);
    CU_ASSERT_PTR_NULL(hs_fleet_engines_take(engines, &query));
    hs_engine_lease_release(leases[0], NULL, HS_ATTEMPT_SERVED);
    hs_fleet_engines_free(engines);
}

static void an_engine_that_fails_is_passed_over_for_a_while(void) {
    hs_fleet_engines *engines = hs_fleet_engines_new("z");
    hs_engine_entry entry = entry_of("e1", 4);
    hs_fleet_engines_put(engines, &entry, 1);
    hs_engine_query query = {.service = "svc"};
    hs_engine_lease *lease = hs_fleet_engines_take(engines, &query);
    hs_engine_lease_release(lease, NULL, HS_ATTEMPT_FAILED);
    entry = entry_of("e2", 4);
    hs_fleet_engines_put(engines, &entry, 1);
    for (int turn = 0; turn < 4; turn++)
        CU_ASSERT_STRING_EQUAL(taken_engine(engines), "e2");
    hs_fleet_engines_drop(engines, "e2");
    CU_ASSERT_STRING_EQUAL(taken_engine(engines), "e1"); /* Better than none. */
    hs_fleet_engines_free(engines);
}

const test_case fleet_tests[] = {
    {"events_are_whole_at_every_cut", events_are_whole_at_every_cut},
    {"a_resumed_stream_neither_repeats_nor_skips", a_resumed_stream_neither_repeats_nor_skips},
    {"fields_that_come_twice_are_kept", fields_that_come_twice_are_kept},
    {"the_choice_weighs_reading_and_waiting", the_choice_weighs_reading_and_waiting},
    {"batch_takes_free_slots_only", batch_takes_free_slots_only},
    {"online_requests_count_on_batch_stepping_aside",
     online_requests_count_on_batch_stepping_aside},
    {"believed_caches_give_way_by_age", believed_caches_give_way_by_age},
    {"routes_go_by_host_and_longest_prefix", routes_go_by_host_and_longest_prefix},
    {"a_broken_configuration_is_refused", a_broken_configuration_is_refused},
    {"a_split_comes_close_to_its_weights_soon", a_split_comes_close_to_its_weights_soon},
    {"the_older_configuration_is_not_taken", the_older_configuration_is_not_taken},
    {"engine_heads_carry_what_callers_sent", engine_heads_carry_what_callers_sent},
    {"callers_terms_are_read", callers_terms_are_read},
    {"calls_are_sorted", calls_are_sorted},
    {"store_records_are_bounded", store_records_are_bounded},
    {"broken_submissions_are_refused", broken_submissions_are_refused},
    {"leaving_engines_get_nothing_new", leaving_engines_get_nothing_new},
    {"batch_items_step_aside_by_share", batch_items_step_aside_by_share},
    {"peers_words_count_while_fresh", peers_words_count_while_fresh},
    {"a_kept_connection_decides_between_equals", a_kept_connection_decides_between_equals},
    {"unheard_peers_count_as_the_heard", unheard_peers_count_as_the_heard},
    {"batch_is_scaled_by_those_who_run_it", batch_is_scaled_by_those_who_run_it},
    {"loads_of_answers_take_no_room_from_batch", loads_of_answers_take_no_room_from_batch},
    {"a_daemon_keeps_to_its_share_of_connections", a_daemon_keeps_to_its_share_of_connections},
    {"an_engine_that_fails_is_passed_over_for_a_while",
     an_engine_that_fails_is_passed_over_for_a_while},
    {NULL, NULL}};
