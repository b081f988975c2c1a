/** @file machine_list.c  See machine_list.h. */
#include "store/machine_list.h"

#include "base/endpoint.h"
#include "base/http_exchange.h"
#include "base/json_reader.h"

#include <string.h>

#define HTTP_OK 200
#define HTTP_NOT_MODIFIED 304

static void free_machine(gpointer data) {
    hs_machine *machine = data;
    g_free(machine->id);
    g_free(machine->zone);
    g_free(machine->url);
    json_decref(machine->labels);
    g_free(machine);
}

static char *copy_text(const json_t *entry, const char *key) {
    const char *text = json_string_value(json_object_get(entry, key));
    return g_strdup(text != NULL ? text : "");
}

static uint32_t read_address(const json_t *entry) {
    const char *text = json_string_value(json_object_get(entry, "address"));
    return text != NULL ? hs_endpoint_parse_address(text) : 0;
}

/** Returns a port, or 0 if it is missing or out of range. */
static uint16_t read_port(const json_t *entry, const char *key) {
    json_int_t port = json_integer_value(json_object_get(entry, key));
    return port > 0 && port <= UINT16_MAX ? (uint16_t)port : 0;
}

static hs_machine *parse_machine(const json_t *entry) {
    const char *kind = json_string_value(json_object_get(entry, "kind"));
    if (kind == NULL || json_string_value(json_object_get(entry, "id")) == NULL)
        return NULL;
    const char *state = json_string_value(json_object_get(entry, "state"));
    hs_machine *machine = g_new0(hs_machine, 1);
    machine->kind = strcmp(kind, "engine") == 0 ? HS_MACHINE_ENGINE : HS_MACHINE_DAEMON;
    machine->id = copy_text(entry, "id");
    machine->zone = copy_text(entry, "zone");
    machine->url = copy_text(entry, "url");
    machine->leaving = state != NULL && strcmp(state, "leaving") == 0;
    machine->labels = json_deep_copy(json_object_get(entry, "labels"));
    if (machine->labels == NULL)
        machine->labels = json_object();
    machine->address = read_address(entry);
    machine->peer_port = read_port(entry, "peer_port");
    machine->admin_port = read_port(entry, "admin_port");
    return machine;
}

int hs_machine_list_read(const char *platform_url, uint32_t timeout_s, char **etag,
                         GPtrArray **machines, hs_error *error) {
    g_autofree char *url = g_strdup_printf("%s/machines/v1/list", platform_url);
    const char *const headers[] = {*etag != NULL ? "If-None-Match" : NULL, *etag, NULL};
    hs_http_request request = {
        .method = "GET", .url = url, .timeout_s = timeout_s, .header_list = headers};
    hs_http_answer answer;
    *machines = NULL;
    if (!hs_http_exchange(&request, &answer))
        return hs_error_set(error, HS_LAYER_PLATFORM, HS_PLATFORM_UNKNOWN,
                            "machine list: no response");
    if (answer.status == HTTP_NOT_MODIFIED) {
        hs_http_answer_clear(&answer);
        return 0;
    }
    g_autofree char *new_etag = g_strdup(answer.etag);
    json_t *root =
        answer.status == HTTP_OK ? hs_json_parse(answer.body, answer.body_length, NULL) : NULL;
    hs_http_answer_clear(&answer);
    const json_t *entries = json_object_get(root, "machines");
    if (!json_is_array(entries)) {
        json_decref(root);
        return hs_error_set(error, HS_LAYER_PLATFORM, HS_PLATFORM_REFUSED,
                            "machine list: unexpected response");
    }
    *machines = g_ptr_array_new_with_free_func(free_machine);
    size_t index;
    json_t *entry;
    json_array_foreach(entries, index, entry) {
        hs_machine *machine = parse_machine(entry);
        if (machine != NULL)
            g_ptr_array_add(*machines, machine);
    }
    json_decref(root);
    g_free(*etag);
    *etag = g_steal_pointer(&new_etag);
    return 0;
}
