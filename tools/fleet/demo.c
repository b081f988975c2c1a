/** @file demo.c  See demo.h. */
#include "tools/fleet/demo.h"

#include "tools/fleet/client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TENANT "kowalchuk"
#define BATCH_ITEMS 24
#define BATCH_TIMEOUT_MS 30000

static bool run_online_demo(const fleet *self) {
    json_t *body = NULL;
    long status = client_call("POST", self->caller_urls[0], "/v1/chat/completions", TENANT,
                              "{\"model\":\"drafting-7b\",\"max_tokens\":8,\"messages\":[{\"role\":"
                              "\"user\",\"content\":\"Quote 40 ledgers for Brandon\"}]}",
                              NULL, &body);
    const json_t *choice = json_array_get(json_object_get(body, "choices"), 0);
    const char *text =
        json_string_value(json_object_get(json_object_get(choice, "message"), "content"));
    printf("plain answer through daemon 0 (status %ld): %s\n", status, text != NULL ? text : "-");
    json_decref(body);
    return status == 200;
}

static bool run_stream_demo(const fleet *self) {
    client_stream stream;
    client_stream_run(self->caller_urls[1], "/v1/completions", TENANT,
                      "{\"model\":\"order-3b\",\"max_tokens\":12,\"stream\":true,"
                      "\"prompt\":\"Stock of graph paper\"}",
                      NULL, 0, &stream);
    printf("streamed answer through daemon 1 (%u tokens, terminator %s): %s\n", stream.token_count,
           stream.done_seen ? "seen" : "missing", stream.text->str);
    bool is_complete = stream.done_seen && stream.token_count == 12;
    client_stream_clear(&stream);
    return is_complete;
}

static char *make_batch_lines(void) {
    GString *lines = g_string_new(NULL);
    for (int item = 0; item < BATCH_ITEMS; item++)
        g_string_append_printf(lines,
                               "{\"custom_id\":\"line-%d\",\"method\":\"POST\",\"url\":"
                               "\"/v1/completions\",\"body\":{\"model\":\"drafting-7b\","
                               "\"max_tokens\":6,\"prompt\":\"Requisition line %d\"}%s}\n",
                               item, item, item == 3 ? ",\"run_once\":true" : "");
    return g_string_free(lines, FALSE);
}

static bool run_batch_demo(const fleet *self) {
    g_autofree char *lines = make_batch_lines();
    g_autofree char *file_id = NULL;
    json_t *job = NULL;
    if (client_upload(self->caller_urls[0], TENANT, lines, &file_id) != 200)
        return false;
    g_autofree char *submission =
        g_strdup_printf("{\"input_file_id\":\"%s\",\"endpoint\":\"/v1/completions\"}", file_id);
    client_call("POST", self->caller_urls[1], "/v1/batches", TENANT, submission, NULL, &job);
    g_autofree char *job_id = g_strdup(json_string_value(json_object_get(job, "id")));
    json_decref(job);
    if (job_id == NULL)
        return false;
    job = client_wait_batch(self->caller_urls[2], TENANT, job_id, BATCH_TIMEOUT_MS);
    g_autofree char *path = g_strdup_printf(
        "/v1/files/%s/content", json_string_value(json_object_get(job, "output_file_id")));
    hs_http_answer results;
    client_exchange("GET", self->caller_urls[2], path, TENANT, NULL, NULL, &results);
    int result_count = 0;
    for (size_t index = 0; index < results.body_length; index++)
        result_count += results.body[index] == '\n';
    const char *status = json_string_value(json_object_get(job, "status"));
    printf("batch job %s: submitted through daemon 1, %s, %d of %d results read through daemon 2\n",
           job_id, status != NULL ? status : "not finished", result_count, BATCH_ITEMS);
    hs_http_answer_clear(&results);
    json_decref(job);
    return result_count == BATCH_ITEMS;
}

bool fleet_demo(const fleet *self) {
    bool online_passed = run_online_demo(self);
    bool stream_passed = run_stream_demo(self);
    bool batch_passed = run_batch_demo(self);
    printf("summary: plain=%s streamed=%s batch=%s\n", online_passed ? "ok" : "FAILED",
           stream_passed ? "ok" : "FAILED", batch_passed ? "ok" : "FAILED");
    return online_passed && stream_passed && batch_passed;
}
