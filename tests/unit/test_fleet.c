/** @file test_fleet.c  Event streams, header fields, configuration, and codecs of the platform. */
#include "fleet/config_source.h"
#include "fleet/prefix_index.h"
#include "http/http_fields.h"
#include "online/answer_check.h"
#include "online/event_stream.h"
#include "online/online_request.h"
#include "platform/caller_codec.h"
#include "platform/config_codec.h"
#include "platform/engine_codec.h"
#include "platform/job_codec.h"
#include "platform/store_codec.h"
#include "tests/unit/unit_tests.h"

#include <string.h>

static void append_text(GByteArray *bytes, const char *text) {
    g_byte_array_append(bytes, (const guint8 *)text, (guint)strlen(text));
}

/** Guards against incomplete events being forwarded if input arrives byte by byte. */
static void events_are_complete_if_input_arrives_byte_by_byte(void) {
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
    size_t complete_length = (size_t)(strstr(text, "id: 3") - text);
    CU_ASSERT(events->len == complete_length && memcmp(events->data, text, complete_length) == 0);
    CU_ASSERT_EQUAL(stream.last_id, 2);
    CU_ASSERT_EQUAL(texts->len, 2);
    CU_ASSERT_STRING_EQUAL(((GString *)texts->pdata[1])->str, "b\nc");
    CU_ASSERT_EQUAL(input->len, strlen(text) - complete_length);
    for (guint index = 0; index < texts->len; index++)
        g_string_free(texts->pdata[index], TRUE);
    g_ptr_array_free(texts, TRUE);
    g_byte_array_free(input, TRUE);
    g_byte_array_free(events, TRUE);
}

static void resumed_stream_rejects_repeated_and_skipped_events(void) {
    hs_event_stream stream = {.has_last_id = true, .last_id = 4};
    GByteArray *input = g_byte_array_new();
    GByteArray *events = g_byte_array_new();
    append_text(input, "id: 5\ndata: e\n\n");
    CU_ASSERT_TRUE(hs_event_stream_take(&stream, input, events, NULL));
    CU_ASSERT_EQUAL(events->len, strlen("id: 5\ndata: e\n\n"));
    static const char *const out_of_order_runs[] = {"id: 7\ndata: g\n\n", "id: 5\ndata: e\n\n",
                                                    "data: of no place\n\n"};
    for (size_t index = 0; index < G_N_ELEMENTS(out_of_order_runs); index++) {
        g_byte_array_set_size(input, 0); /* A new run on another connection. */
        hs_event_stream_begin_run(&stream);
        append_text(input, out_of_order_runs[index]);
        CU_ASSERT_FALSE(hs_event_stream_take(&stream, input, events, NULL));
        CU_ASSERT_EQUAL(events->len, strlen("id: 5\ndata: e\n\n"));
    }
    g_byte_array_set_size(input, 0);
    hs_event_stream_begin_run(&stream); /* Clears the fault of the previous run. */
    append_text(input, ": still there\n\nid: 6\ndata: f\n\n");
    CU_ASSERT_TRUE(hs_event_stream_take(&stream, input, events, NULL));
    CU_ASSERT_EQUAL(stream.last_id, 6);
    g_byte_array_free(input, TRUE);
    g_byte_array_free(events, TRUE);
}

/** Passes @p piece to @p stream. Returns whether it is in order, and sets the count of events. */
static bool pass_piece(hs_event_stream *stream, const char *piece, guint *event_count) {
    GByteArray *input = g_byte_array_new();
    GPtrArray *texts = g_ptr_array_new();
    append_text(input, piece);
    bool in_order = hs_event_stream_take(stream, input, NULL, texts);
    *event_count = texts->len;
    for (guint index = 0; index < texts->len; index++)
        g_string_free(texts->pdata[index], TRUE);
    g_ptr_array_free(texts, TRUE);
    g_byte_array_free(input, TRUE);
    return in_order;
}

/** A run is accepted only if it starts right after the last event received. */
static void run_that_starts_at_another_event_is_rejected(void) {
    static const struct {
        uint64_t last_id;
        const char *piece;
        bool resumes;
        bool is_accepted;
    } runs[] = {{4, "id: 5\ndata: e\n\n", true, true},
                {4, "id: 4\ndata: d\n\nid: 5\ndata: e\n\n", true, false},
                {4, "id: 1\ndata: a\n\n", true, false},
                {4, "id: 6\ndata: f\n\n", true, false},
                {0, "id: 1\ndata: a\n\n", false, true},
                {0, "id: 0\ndata: a\n\n", false, true},
                {0, "id: 10\ndata: a\n\n", false, true}}; /* A new stream may start with any id. */
    for (size_t index = 0; index < G_N_ELEMENTS(runs); index++) {
        hs_event_stream stream = {.has_last_id = runs[index].resumes,
                                  .last_id = runs[index].last_id};
        guint event_count = 0;
        CU_ASSERT_EQUAL(pass_piece(&stream, runs[index].piece, &event_count),
                        runs[index].is_accepted);
        CU_ASSERT_EQUAL(event_count, runs[index].is_accepted ? 1 : 0);
    }
}

/** Without ids, repeated events cannot be distinguished from new ones. */
static void stream_without_event_ids_cannot_be_resumed(void) {
    hs_event_stream stream = {0};
    guint event_count = 0;
    CU_ASSERT_TRUE(hs_event_stream_can_resume(&stream));
    CU_ASSERT_TRUE(pass_piece(&stream, "data: a\n\ndata: b\n\n", &event_count));
    CU_ASSERT_EQUAL(event_count, 2);
    CU_ASSERT_FALSE(hs_event_stream_can_resume(&stream));
    stream = (hs_event_stream){0};
    CU_ASSERT_TRUE(pass_piece(&stream, "id: 1\ndata: a\n\n", &event_count));
    CU_ASSERT_TRUE(hs_event_stream_can_resume(&stream));
}

static void check_rejected(const char *piece, size_t length, hs_event_error error) {
    hs_event_stream stream = {0};
    GByteArray *input = g_byte_array_new();
    GByteArray *events = g_byte_array_new();
    append_text(input, "id: 1\ndata: a\n\n");
    g_byte_array_append(input, (const guint8 *)piece, (guint)length);
    CU_ASSERT_FALSE(hs_event_stream_take(&stream, input, events, NULL));
    CU_ASSERT_EQUAL(stream.error, error);
    CU_ASSERT_EQUAL(stream.last_id, 1);
    CU_ASSERT_EQUAL(events->len, strlen("id: 1\ndata: a\n\n"));
    g_byte_array_free(input, TRUE);
    g_byte_array_free(events, TRUE);
}

/** Guards against bytes of an engine that can't be written as JSON later, or belong nowhere. */
static void spoiled_events_are_rejected(void) {
    static const struct {
        const char *piece;
        hs_event_error error;
    } pieces[] = {{"id: 2\ndata: \xf7ord\n\n", HS_EVENT_ERROR_ENCODING},
                  {"id: 2\ndat\xe1: b\n\n", HS_EVENT_ERROR_ENCODING},
                  {"id: 2\ndata: b\xc3\n\n", HS_EVENT_ERROR_ENCODING},
                  {"id: 2\ndata: \xed\xa0\x80\n\n", HS_EVENT_ERROR_ENCODING},
                  {"id: 2x\ndata: b\n\n", HS_EVENT_ERROR_ID},
                  {"id: \ndata: b\n\n", HS_EVENT_ERROR_ID},
                  {"id: -2\ndata: b\n\n", HS_EVENT_ERROR_ID},
                  {"id: 18446744073709551618\ndata: b\n\n", HS_EVENT_ERROR_ID},
                  {"id: 3\ndata: b\n\n", HS_EVENT_ERROR_ORDER}};
    for (size_t index = 0; index < G_N_ELEMENTS(pieces); index++)
        check_rejected(pieces[index].piece, strlen(pieces[index].piece), pieces[index].error);
    static const char text[] = "data: \xe2\x82\xac \0 \xf0\x9f\x98\x80\n\n";
    hs_event_stream stream = {0};
    GByteArray *input = g_byte_array_new();
    g_byte_array_append(input, (const guint8 *)text, sizeof text - 1);
    CU_ASSERT_TRUE(hs_event_stream_take(&stream, input, NULL, NULL));
    g_byte_array_free(input, TRUE);
}

/** Guards against memory that an engine fills with an event without an end. */
static void an_event_without_an_end_is_rejected(void) {
    g_autofree char *data = g_strnfill(HS_EVENT_MAX_BYTES, 'x');
    g_autofree char *piece = g_strconcat("data: ", data, NULL);
    check_rejected(piece, strlen(piece), HS_EVENT_ERROR_LENGTH);
}

/** Guards against whole answers that are no text although their header says so. */
static void whole_answers_are_checked_by_their_type(void) {
    static const struct {
        const char *type;
        const char *coding;
        bool is_accepted;
    } answers[] = {
        {"application/json", NULL, false},         {"Application/JSON; charset=x", NULL, false},
        {"application/problem+json", NULL, false}, {"text/plain; charset=UTF-8", NULL, false},
        {"application/json", "gzip", true},        {"text/plain", NULL, true},
        {"application/octet-stream", NULL, true},  {NULL, NULL, true}};
    GByteArray *spoiled = g_byte_array_new();
    append_text(spoiled, "{\"a\":\"\xf7\"}");
    for (size_t index = 0; index < G_N_ELEMENTS(answers); index++) {
        GArray *fields = hs_http_fields_new();
        if (answers[index].type != NULL)
            hs_http_fields_add(fields, "Content-Type", answers[index].type);
        if (answers[index].coding != NULL)
            hs_http_fields_add(fields, "Content-Encoding", answers[index].coding);
        CU_ASSERT_EQUAL(hs_answer_check_is_encoding_valid(fields, spoiled),
                        answers[index].is_accepted);
        hs_http_fields_free(fields);
    }
    g_byte_array_free(spoiled, TRUE);
}

static void repeated_header_fields_are_kept(void) {
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

static void routes_match_host_and_longest_prefix(void) {
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

static void invalid_configuration_is_rejected(void) {
    hs_error error = {0};
    for (size_t length = 0; length < strlen(config_text); length++)
        CU_ASSERT_PTR_NULL(hs_platform_read_config(config_text, length, &error));
    CU_ASSERT_PTR_NULL(hs_platform_read_config("[]", 2, &error));
    CU_ASSERT_PTR_NULL(hs_platform_read_config("{\"version\":3}", 13, &error));
}

static void traffic_split_converges_to_its_weights(void) {
    hs_error error = {0};
    hs_fleet_config *config = hs_platform_read_config(config_text, strlen(config_text), &error);
    const hs_fleet_route *route = hs_fleet_config_find_route(config, "a.example", "/x/y/");
    hs_online online = {0};
    int minor_count = 0;
    for (int request = 0; request < 300; request++)
        minor_count += strcmp(hs_online_pick_service(&online, route), "s2") == 0;
    CU_ASSERT(minor_count >= 28 && minor_count <= 32);
    hs_fleet_config_unref(config);
}

static void older_configuration_is_not_applied(void) {
    hs_config_source *source = hs_config_source_new(NULL, 1000);
    hs_fleet_config *newer = hs_fleet_config_new();
    newer->version = 9;
    hs_fleet_config *older = hs_fleet_config_new();
    older->version = 8;
    CU_ASSERT_TRUE(hs_config_source_apply_if_newer(source, newer));
    CU_ASSERT_FALSE(hs_config_source_apply_if_newer(source, older));
    hs_fleet_config *current = hs_config_source_get(source);
    CU_ASSERT_EQUAL(current->version, 9);
    hs_fleet_config_unref(current);
    hs_config_source_free(source);
}

/** Applies a configuration of routes "PREFIX SERVICE", separated by commas. */
static void apply_routes(hs_config_source *source, uint64_t version, const char *routes) {
    GString *text = g_string_new(NULL);
    g_string_printf(text, "{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[", (guint64)version);
    g_auto(GStrv) list = g_strsplit(routes, ",", -1);
    for (int index = 0; list[index] != NULL; index++) {
        g_auto(GStrv) parts = g_strsplit(list[index], " ", 2);
        g_string_append_printf(
            text,
            "%s{\"name\":\"r%d\",\"host\":\"a.example\",\"path-prefix\":\"%s\","
            "\"kind\":\"streaming\",\"timeout-ms\":6000,\"target-latency-ms\":500,"
            "\"priority\":0,\"service\":\"%s\",\"max-attempts\":2,\"resumable\":true,"
            "\"gap-target-ms\":500}",
            index > 0 ? "," : "", index, parts[0], parts[1]);
    }
    const char *rest = strstr(config_text, "],\"services\"");
    g_string_append(text, rest);
    hs_error error = {0};
    hs_fleet_config *config = hs_platform_read_config(text->str, text->len, &error);
    CU_ASSERT_PTR_NOT_NULL_FATAL(config);
    CU_ASSERT_TRUE(hs_config_source_apply_if_newer(source, config));
    g_string_free(text, TRUE);
}

/** Whether requests for the target can only have gone to the service that they go to now. */
static bool has_always_been_sole(hs_config_source *source, const char *target) {
    hs_fleet_config *config = hs_config_source_get(source);
    const hs_fleet_route *route = hs_fleet_config_find_route(config, "a.example", target);
    bool is_sole = route->shares->len == 1 && route->sole_since_ms == 0;
    hs_fleet_config_unref(config);
    return is_sole;
}

/** Guards against a stream that goes on at the service to which its route moved. */
static void a_route_that_moved_does_not_tell_a_sole_service(void) {
    hs_config_source *source = hs_config_source_new(NULL, 1000);
    apply_routes(source, 1, "/x/ s1,/x/y/ s2,/z/ s1");
    CU_ASSERT_TRUE(has_always_been_sole(source, "/x/a"));
    apply_routes(source, 2, "/z/ s2,/x/ s1,/x/y/ s2");
    CU_ASSERT_TRUE(has_always_been_sole(source, "/x/a"));
    CU_ASSERT_TRUE(has_always_been_sole(source, "/x/y/a"));
    CU_ASSERT_FALSE(has_always_been_sole(source, "/z/a"));
    apply_routes(source, 3, "/x/ s1,/x/w/ s2,/z/ s2,/new/ s2"); /* One is gone, two are new. */
    CU_ASSERT_FALSE(has_always_been_sole(source, "/x/a"));
    CU_ASSERT_FALSE(has_always_been_sole(source, "/x/w/a"));
    CU_ASSERT_FALSE(has_always_been_sole(source, "/z/a"));
    CU_ASSERT_TRUE(has_always_been_sole(source, "/new/a"));
    hs_config_source_free(source);
}

static void engine_request_heads_forward_caller_fields(void) {
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

static void caller_terms_are_parsed(void) {
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
    static const char *const invalid[] = {":", "zz", "1:", "1:2,", ",,,", "1:2:3", "1;2"};
    for (size_t index = 0; index < G_N_ELEMENTS(invalid); index++) {
        GArray *invalid_fields = hs_http_fields_new();
        hs_http_fields_add(invalid_fields, "Heathsail-Prompt-Prefix", invalid[index]);
        hs_platform_read_terms(invalid_fields, &terms);
        CU_ASSERT(terms.size.part_count <= HS_MAX_PROMPT_PARTS);
        hs_http_fields_free(invalid_fields);
    }
}

static void calls_are_classified(void) {
    char *id = NULL;
    CU_ASSERT_EQUAL(hs_platform_classify_call("GET", "/lots/ab?after=3", &id), HS_CALL_JOB_READ);
    CU_ASSERT_STRING_EQUAL(id, "ab");
    g_free(id);
    CU_ASSERT_EQUAL(hs_platform_classify_call("DELETE", "/lots/ab", &id), HS_CALL_JOB_END);
    g_free(id);
    CU_ASSERT_EQUAL(hs_platform_classify_call("GET", "/items/ab?id=q", &id), HS_CALL_ITEM_READ);
    g_free(id);
    CU_ASSERT_EQUAL(hs_platform_classify_call("POST", "/lots/ab", &id), HS_CALL_REQUEST);
    CU_ASSERT_EQUAL(hs_platform_classify_call("GET", "/lots/", &id), HS_CALL_REQUEST);
    CU_ASSERT_EQUAL(hs_platform_read_position("/lots/ab?after=3"), 3);
    char *zone = NULL;
    CU_ASSERT_TRUE(hs_platform_is_resolve("/resolve?name=a&zone=z%201", &zone));
    CU_ASSERT_STRING_EQUAL(zone, "z 1");
    g_free(zone);
    CU_ASSERT_FALSE(hs_platform_is_resolve("/resolver", &zone));
}

static void store_record_reads_stay_in_bounds(void) {
    GByteArray *answer = g_byte_array_new();
    guint8 bounds[16] = {0};
    bounds[7] = 9;
    g_byte_array_append(answer, bounds, sizeof bounds);
    hs_platform_frame_record(answer, "ab", 2);
    hs_platform_frame_keyed_record(answer, "k", "v", 1);
    size_t position = 0;
    hs_store_record record;
    uint64_t end = 0;
    uint64_t first = 0;
    CU_ASSERT_TRUE(hs_platform_read_bounds(answer, &end, &first));
    CU_ASSERT_EQUAL(end, 9);
    CU_ASSERT_TRUE(hs_platform_read_next_record(answer, false, &position, &record));
    CU_ASSERT_EQUAL(record.value_length, 2);
    CU_ASSERT_TRUE(hs_platform_read_next_record(answer, true, &position, &record));
    CU_ASSERT(record.key_length == 1 && record.value_length == 1);
    CU_ASSERT_FALSE(hs_platform_read_next_record(answer, true, &position, &record));
    while (answer->len > 0) { /* Truncated input is not read beyond its end. */
        g_byte_array_set_size(answer, answer->len - 1);
        position = 0;
        while (hs_platform_read_next_record(answer, false, &position, &record))
            CU_ASSERT(record.value + record.value_length <= answer->data + answer->len);
    }
    g_byte_array_free(answer, TRUE);
}

#define ITEM_A "{\"id\":\"a\",\"path\":\"/p\",\"body\":\"\"}"

static void note_body_length(const hs_submitted_item *item, void *data) {
    g_array_append_val((GArray *)data, item->body_length);
}

static void invalid_submissions_are_rejected(void) {
    static const char *const invalid[] = {
        "",
        "[]",
        "{\"requests\":[]}",
        "{\"requests\":[{}]}",
        "{\"requests\":[{\"id\":\"a\",\"path\":\"/p\",\"body\":\"!!\"}]}",
        "{\"requests\":[{\"id\":\"a\",\"path\":\"p\",\"body\":\"\"}]}",
        "{\"requests\":[" ITEM_A "],\"requests\":[" ITEM_A "]}",
        "{\"requests\":[" ITEM_A "]}x",
        "{\"requests\":[" ITEM_A "],}",
        "{\"requests\":[" ITEM_A ",]}",
        "{\"requests\":[,]}",
        "{\"requests\":[" ITEM_A "]",
        "{\"requests\":" ITEM_A "}",
        "{\"x\" \"requests\":[" ITEM_A "]}",
        "{\"requests\":[{\"id\":\"a\",\"path\":\"/p\",\"body\":\"\"},"
        "{\"id\":\"a\",\"path\":\"/p\",\"body\":\"\"}]}",
        "{\"requests\":[{\"id\":\"a\",\"path\":\"/p\",\"body\":\"\",\"headers\":{\"X\":\"a\\r\\nB: "
        "c\"}}]}"};
    hs_error error = {0};
    GArray *items = g_array_new(FALSE, FALSE, sizeof(gsize));
    hs_submission_handler handler = {.on_item = note_body_length, .user_data = items};
    for (size_t index = 0; index < G_N_ELEMENTS(invalid); index++)
        CU_ASSERT_FALSE(
            hs_platform_read_submission(invalid[index], strlen(invalid[index]), &handler, &error));
    g_array_set_size(items, 0);
    static const char valid[] = "{\"requests\":[{\"id\":\"a\",\"path\":\"/p\",\"headers\":{\"X\":"
                                "\"y\"},\"body\":\"AAE=\",\"tokens\":5}]}";
    CU_ASSERT_TRUE(hs_platform_read_submission(valid, strlen(valid), &handler, &error));
    CU_ASSERT_EQUAL_FATAL(items->len, 1);
    CU_ASSERT_EQUAL(g_array_index(items, gsize, 0), 2);
    static const char beside_others[] =
        " {\"x\" : -1.5e3 , \"y\":[{\"requests\":[]}],\"r\\u0065quests\":\t[ " ITEM_A " ,\n"
        "{\"id\":\"b\",\"path\":\"\\/p\",\"body\":\"A\\/E=\"}] ,\"z\":\"]}\",\"n\":null}\r\n";
    g_array_set_size(items, 0);
    CU_ASSERT_TRUE(
        hs_platform_read_submission(beside_others, strlen(beside_others), &handler, &error));
    CU_ASSERT_EQUAL(items->len, 2);
    g_array_free(items, TRUE);
}

/** Guards against jobs with more items than callers may send. */
static void submissions_have_a_limited_number_of_items(void) {
    for (int count = HS_MAX_JOB_ITEMS; count <= HS_MAX_JOB_ITEMS + 1; count++) {
        GString *text = g_string_new("{\"requests\":[");
        for (int item = 0; item < count; item++)
            g_string_append_printf(text, "%s{\"id\":\"%d\",\"path\":\"/p\",\"body\":\"\"}",
                                   item > 0 ? "," : "", item);
        g_string_append(text, "]}");
        hs_error error = {0};
        g_autoptr(GArray) items = g_array_new(FALSE, FALSE, sizeof(gsize));
        hs_submission_handler handler = {.on_item = note_body_length, .user_data = items};
        CU_ASSERT_EQUAL(hs_platform_read_submission(text->str, text->len, &handler, &error),
                        count == HS_MAX_JOB_ITEMS);
        g_string_free(text, TRUE);
    }
}

static hs_engine_load read_load(const char *text) {
    GArray *fields = hs_http_fields_new();
    hs_http_fields_add(fields, "Heathsail-Server-Load", text);
    hs_engine_answer answer;
    hs_platform_read_engine_answer(200, fields, &answer);
    hs_http_fields_free(fields);
    return answer.load;
}

/** Guards against an engine that is avoided, or preferred, for a count that it can't have meant. */
static void malformed_loads_are_ignored(void) {
    static const char *const malformed[] = {"-1,0,8",         "3,1",   "3,1,", "3,x,8",
                                            "3,1,4294967296", "3 1 8", ""};
    for (size_t index = 0; index < G_N_ELEMENTS(malformed); index++)
        CU_ASSERT_FALSE(read_load(malformed[index]).present);
}

/** An invalid slowdown is rejected without rejecting the other three figures of a load. */
static void invalid_slowdown_of_a_load_is_rejected(void) {
    hs_engine_load without_slowdown = read_load("3,1,8");
    CU_ASSERT(without_slowdown.present && without_slowdown.running == 3 &&
              without_slowdown.waiting == 1 && without_slowdown.slots == 8);
    CU_ASSERT(without_slowdown.slowdown_percent == 0 && !without_slowdown.is_slowdown_rejected);
    CU_ASSERT_EQUAL(read_load("3,1,8,250").slowdown_percent, 250);
    CU_ASSERT_EQUAL(read_load("3, 1, 8, 60").slowdown_percent, 60);
    CU_ASSERT_EQUAL(read_load("3,1,8,10").slowdown_percent, HS_MIN_SLOWDOWN_PERCENT);
    CU_ASSERT_EQUAL(read_load("3,1,8,10000").slowdown_percent, HS_MAX_SLOWDOWN_PERCENT);
    static const char *const invalid[] = {"3,1,8,",    "3,1,8,0",     "3,1,8,-250",
                                          "3,1,8,9",   "3,1,8,10001", "3,1,8,18446744073709551716",
                                          "3,1,8,1e3", "3,1,8,250%",  "3,1,8,nan"};
    for (size_t index = 0; index < G_N_ELEMENTS(invalid); index++) {
        hs_engine_load load = read_load(invalid[index]);
        CU_ASSERT(load.present && load.running == 3 && load.waiting == 1 && load.slots == 8);
        CU_ASSERT(load.slowdown_percent == 0 && load.is_slowdown_rejected);
    }
    CU_ASSERT_FALSE(read_load("3,1").present);
    CU_ASSERT_FALSE(read_load("250").present);
}

const test_case fleet_tests[] = {
    {"spoiled_events_are_rejected", spoiled_events_are_rejected},
    {"an_event_without_an_end_is_rejected", an_event_without_an_end_is_rejected},
    {"whole_answers_are_checked_by_their_type", whole_answers_are_checked_by_their_type},
    {"malformed_loads_are_ignored", malformed_loads_are_ignored},
    {"invalid_slowdown_of_a_load_is_rejected", invalid_slowdown_of_a_load_is_rejected},
    {"events_are_complete_if_input_arrives_byte_by_byte",
     events_are_complete_if_input_arrives_byte_by_byte},
    {"resumed_stream_rejects_repeated_and_skipped_events",
     resumed_stream_rejects_repeated_and_skipped_events},
    {"run_that_starts_at_another_event_is_rejected", run_that_starts_at_another_event_is_rejected},
    {"stream_without_event_ids_cannot_be_resumed", stream_without_event_ids_cannot_be_resumed},
    {"repeated_header_fields_are_kept", repeated_header_fields_are_kept},
    {"routes_match_host_and_longest_prefix", routes_match_host_and_longest_prefix},
    {"invalid_configuration_is_rejected", invalid_configuration_is_rejected},
    {"traffic_split_converges_to_its_weights", traffic_split_converges_to_its_weights},
    {"a_route_that_moved_does_not_tell_a_sole_service",
     a_route_that_moved_does_not_tell_a_sole_service},
    {"older_configuration_is_not_applied", older_configuration_is_not_applied},
    {"engine_request_heads_forward_caller_fields", engine_request_heads_forward_caller_fields},
    {"caller_terms_are_parsed", caller_terms_are_parsed},
    {"calls_are_classified", calls_are_classified},
    {"store_record_reads_stay_in_bounds", store_record_reads_stay_in_bounds},
    {"submissions_have_a_limited_number_of_items", submissions_have_a_limited_number_of_items},
    {"invalid_submissions_are_rejected", invalid_submissions_are_rejected},
    {NULL, NULL}};
