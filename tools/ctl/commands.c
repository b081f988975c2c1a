/** @file commands.c  See ctl.h. */
#include "tools/ctl/ctl.h"

#include "tools/fleet/client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EXIT_UNKNOWN_OUTCOME 2
#define MIN_ERROR_STATUS 300
#define NO_RESPONSE 0
#define HTTP_GATEWAY_TIMEOUT 504

static int exit_status(long status) {
    if (status == NO_RESPONSE || status == HTTP_GATEWAY_TIMEOUT)
        return EXIT_UNKNOWN_OUTCOME;
    return status < MIN_ERROR_STATUS ? EXIT_SUCCESS : EXIT_FAILURE;
}

/** Prints a JSON document: compact with --output json, else indented. */
static void print_json(const ctl_options *options, const json_t *document) {
    char *text = json_dumps(document, options->json_output ? JSON_COMPACT : JSON_INDENT(2));
    printf("%s\n", text != NULL ? text : "");
    free(text);
}

/** Prints a response or its error and returns the exit status. Releases @p document. */
static int report_response(const ctl_options *options, long status, json_t *document) {
    const json_t *error = json_object_get(document, "error");
    if (status == NO_RESPONSE)
        fprintf(stderr, "heathsailctl: no answer; the outcome is unknown\n");
    else if (error != NULL && !options->json_output)
        fprintf(stderr, "heathsailctl: %s (%s, executed: %s)\n",
                json_string_value(json_object_get(error, "message")),
                json_string_value(json_object_get(error, "code")),
                json_string_value(json_object_get(error, "executed")));
    else if (document != NULL)
        print_json(options, document);
    json_decref(document);
    return exit_status(status);
}

static int call_admin(const ctl_options *options, const char *method, const char *path,
                      const char *body) {
    const char *const headers[] = {options->if_match != NULL ? "If-Match" : NULL, options->if_match,
                                   NULL};
    json_t *document = NULL;
    long status = client_call(method, options->admin_url, path, NULL, body, headers, &document);
    return report_response(options, status, document);
}

static char *read_input(const char *path) {
    char *content = NULL;
    GError *error = NULL;
    if (g_file_get_contents(path, &content, NULL, &error))
        return content;
    fprintf(stderr, "heathsailctl: %s\n", error->message);
    g_error_free(error);
    return NULL;
}

static int run_publish(const ctl_options *options, char **arguments) {
    g_autofree char *path = g_strdup_printf("/admin/v1/%s/%s", arguments[0], arguments[1]);
    g_autofree char *content = read_input(arguments[2]);
    return content != NULL ? call_admin(options, "PUT", path, content) : EXIT_FAILURE;
}

static int run_show(const ctl_options *options, char **arguments) {
    g_autofree char *path = g_strdup_printf("/admin/v1/%s/%s", arguments[0], arguments[1]);
    return call_admin(options, "GET", path, NULL);
}

static int run_list(const ctl_options *options, char **arguments) {
    g_autofree char *path = g_strdup_printf("/admin/v1/%s", arguments[0]);
    return call_admin(options, "GET", path, NULL);
}

static int run_delete(const ctl_options *options, char **arguments) {
    g_autofree char *path = g_strdup_printf("/admin/v1/%s/%s", arguments[0], arguments[1]);
    return call_admin(options, "DELETE", path, NULL);
}

static int run_status(const ctl_options *options, char **arguments) {
    (void)arguments;
    return call_admin(options, "GET", "/admin/v1/status", NULL);
}

static int run_explain(const ctl_options *options, char **arguments) {
    g_autofree char *path = g_strdup_printf("/admin/v1/explain/%s", arguments[0]);
    return call_admin(options, "GET", path, NULL);
}

static int run_drain(const ctl_options *options, char **arguments) {
    (void)arguments;
    return call_admin(options, "POST", "/admin/v1/drain", "{}");
}

static int run_batch_submit(const ctl_options *options, char **arguments) {
    g_autofree char *lines = read_input(arguments[0]);
    g_autofree char *file_id = NULL;
    if (lines == NULL)
        return EXIT_FAILURE;
    long status = client_upload(options->caller_url, options->tenant, lines, &file_id);
    if (file_id == NULL) {
        fprintf(stderr, "heathsailctl: upload of the input file failed (HTTP status %ld)\n",
                status);
        return exit_status(status);
    }
    json_t *submission = json_pack("{s:s,s:s,s:s}", "input_file_id", file_id, "endpoint",
                                   options->endpoint, "completion_window", options->window);
    char *body = json_dumps(submission, JSON_COMPACT);
    json_decref(submission);
    const char *const headers[] = {options->key != NULL ? "Idempotency-Key" : NULL, options->key,
                                   NULL};
    json_t *document = NULL;
    status = client_call("POST", options->caller_url, "/v1/batches", options->tenant, body, headers,
                         &document);
    free(body);
    return report_response(options, status, document);
}

static int call_batch(const ctl_options *options, const char *method, const char *suffix,
                      const char *id) {
    g_autofree char *path = g_strdup_printf("/v1/batches/%s%s", id, suffix);
    json_t *document = NULL;
    long status = client_call(method, options->caller_url, path, options->tenant,
                              strcmp(method, "POST") == 0 ? "{}" : NULL, NULL, &document);
    return report_response(options, status, document);
}

static int run_batch_status(const ctl_options *options, char **arguments) {
    return call_batch(options, "GET", "", arguments[0]);
}

static int run_batch_cancel(const ctl_options *options, char **arguments) {
    return call_batch(options, "POST", "/cancel", arguments[0]);
}

static int run_batch_results(const ctl_options *options, char **arguments) {
    const char *digest_suffix = strchr(arguments[0], '_');
    if (digest_suffix == NULL) {
        fprintf(stderr, "heathsailctl: %s is not a batch id (batch_...)\n", arguments[0]);
        return EXIT_FAILURE;
    }
    g_autofree char *path = g_strdup_printf("/v1/files/output%s/content", digest_suffix);
    hs_http_answer answer;
    bool has_response =
        client_exchange("GET", options->caller_url, path, options->tenant, NULL, NULL, &answer);
    long status = has_response ? answer.status : NO_RESPONSE;
    if (has_response)
        fwrite(answer.body, 1, answer.body_length, status < MIN_ERROR_STATUS ? stdout : stderr);
    hs_http_answer_clear(&answer);
    return exit_status(status);
}

const ctl_command ctl_commands[] = {
    {"publish", NULL, 3, run_publish, "publish KIND NAME FILE    create or update an object"},
    {"show", NULL, 2, run_show, "show KIND NAME            print an object"},
    {"list", NULL, 1, run_list, "list KIND                 list the objects of a kind"},
    {"delete", NULL, 2, run_delete, "delete KIND NAME          delete an object"},
    {"status", NULL, 0, run_status, "status                    print the daemon's status"},
    {"explain", NULL, 1, run_explain, "explain REQUEST-ID        print why an engine was chosen"},
    {"drain", NULL, 0, run_drain, "drain                     take the daemon out of service"},
    {"batch", "submit", 1, run_batch_submit, "batch submit FILE.jsonl   upload and submit a job"},
    {"batch", "status", 1, run_batch_status, "batch status ID           print the status of a job"},
    {"batch", "cancel", 1, run_batch_cancel, "batch cancel ID           cancel a job"},
    {"batch", "results", 1, run_batch_results,
     "batch results ID          print the results of a job as JSONL"},
    {NULL, NULL, 0, NULL, NULL}};
