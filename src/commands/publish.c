/**
 * @file publish.c
 * PUT and DELETE of configuration objects. A change is appended as a record with the revision that
 * it is based on; the response is 2xx only if the log, read back, shows the change as accepted.
 */
#include "base/clock.h"
#include "base/fault_point.h"
#include "base/hash.h"
#include "base/json_reader.h"
#include "base/log.h"
#include "commands/command_routes.h"
#include "config/config_object.h"
#include "http/refusal.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define APPEND_TIMEOUT_MS 3000
#define VERDICT_TIMEOUT_MS 5000
#define MAX_UNCONDITIONAL_ATTEMPTS 5
#define RETRY_AFTER_S 2
#define HTTP_PRECONDITION_FAILED 412

/** A change as sent by an operator. */
typedef struct {
    hs_node *node;
    const char *kind;
    const char *name;
    char *object_json; /**< Freed by read_and_publish; empty for a deletion. */
    bool deleted;
    const char *author;
    bool conditional; /**< The request has an If-Match header. */
    uint64_t base_revision;
} change;

/** Result of a search for the object in the local configuration fold. */
typedef struct {
    const change *self;
    uint64_t revision;
    bool present;
} revision_lookup;

static void read_revision(const hs_config_fold *fold, void *user_data) {
    revision_lookup *lookup = user_data;
    const hs_config_object *object =
        hs_config_fold_find(fold, lookup->self->kind, lookup->self->name);
    lookup->revision = object != NULL ? object->revision : 0;
    lookup->present = object != NULL && object->content != NULL;
}

static int append_change(const change *self, const char *change_id, uint64_t base_revision,
                         hs_error *error) {
    Hs__ConfigChange message = HS__CONFIG_CHANGE__INIT;
    message.change_id = (char *)change_id;
    message.kind = (char *)self->kind;
    message.name = (char *)self->name;
    message.base_revision = base_revision;
    message.deleted = self->deleted;
    message.object_json = self->object_json;
    message.author = (char *)self->author;
    size_t length = hs__config_change__get_packed_size(&message);
    g_autofree uint8_t *bytes = g_malloc(length);
    hs__config_change__pack(&message, bytes);
    uint64_t offset = 0;
    HS_FAULT_POINT("publish_before");
    int result = hs_appender_append(self->node->appender, HS_CONFIG_STREAM, bytes, (uint32_t)length,
                                    APPEND_TIMEOUT_MS, &offset, error);
    HS_FAULT_POINT("publish_after");
    return result;
}

static int reply_accepted(const change *self, uint64_t revision, struct _u_response *response) {
    g_autofree char *etag = g_strdup_printf("\"%" PRIu64 "\"", revision);
    u_map_put(response->map_header, "ETag", etag);
    hs_metrics_add(&self->node->metrics, HS_COUNT_CONFIG_CHANGES, 1);
    hs_log_info("config_published", "kind=%s name=%s revision=%" PRIu64 " author=%s", self->kind,
                self->name, revision, self->author);
    return hs_http_reply_json(response, 200,
                              json_pack("{s:s,s:s,s:I}", "kind", self->kind, "name", self->name,
                                        "revision", (json_int_t)revision));
}

static int reply_conflict(uint64_t revision, struct _u_response *response) {
    g_autofree char *etag = g_strdup_printf("\"%" PRIu64 "\"", revision);
    g_autofree char *message =
        g_strdup_printf("the object is at revision %" PRIu64 " by another change", revision);
    u_map_put(response->map_header, "ETag", etag);
    return hs_refuse_invalid(response, HTTP_PRECONDITION_FAILED, "revision_conflict", message);
}

/**
 * Appends the change based on @p base_revision and waits for the verdict. Returns false, without an
 * answer, if an unconditional change lost against another one and may be repeated.
 */
static bool try_change(const change *self, uint64_t base_revision, struct _u_response *response) {
    g_autofree char *change_id = hs_id_random("change");
    hs_config_store *store = self->node->config;
    hs_error error = {0};
    hs_change_verdict verdict = HS_CHANGE_IGNORED;
    uint64_t revision = 0;
    hs_config_store_watch(store, change_id);
    int appended = append_change(self, change_id, base_revision, &error);
    bool not_appended = appended == HS_PLATFORM_BUSY || appended == HS_PLATFORM_REFUSED;
    bool has_verdict =
        !not_appended &&
        hs_config_store_await(store, change_id, hs_clock_monotonic_ms() + VERDICT_TIMEOUT_MS,
                              &verdict, &revision);
    hs_config_store_unwatch(store, change_id);
    if (not_appended)
        hs_refuse_unavailable(response, "platform_unavailable", error.message, RETRY_AFTER_S);
    else if (!has_verdict)
        hs_refuse_outcome_unknown(response, 504, "outcome_unknown",
                                  "read the object to learn the outcome");
    else if (verdict == HS_CHANGE_ACCEPTED)
        reply_accepted(self, revision, response);
    else if (self->conditional)
        reply_conflict(revision, response);
    else
        return false;
    return true;
}

static int publish(change *self, struct _u_response *response) {
    revision_lookup lookup = {.self = self};
    for (int attempts = 0; attempts < MAX_UNCONDITIONAL_ATTEMPTS; attempts++) {
        hs_config_store_read(self->node->config, read_revision, &lookup);
        if (self->deleted && !lookup.present)
            return hs_refuse_invalid(response, 404, "not_found", "no such object");
        if (self->conditional && self->base_revision != lookup.revision)
            return reply_conflict(lookup.revision, response);
        if (try_change(self, lookup.revision, response))
            return U_CALLBACK_COMPLETE;
    }
    return hs_refuse_unavailable(response, "contended", "too many changes at once", RETRY_AFTER_S);
}

/** Reads If-Match as a revision; false if the header is malformed. */
static bool read_condition(const struct _u_request *request, change *self) {
    const char *header = u_map_get_case(request->map_header, "If-Match");
    if (header == NULL)
        return true;
    self->conditional = true;
    g_autofree char *text = g_strdelimit(g_strdup(header), "\"", ' ');
    guint64 revision = 0;
    if (!g_ascii_string_to_unsigned(g_strstrip(text), 10, 0, G_MAXUINT64, &revision, NULL))
        return false;
    self->base_revision = revision;
    return true;
}

static int read_and_publish(hs_node *node, const struct _u_request *request, bool deleted,
                            struct _u_response *response) {
    const char *author = u_map_get_case(request->map_header, "Heathsail-Author");
    change self = {.node = node,
                   .kind = hs_http_parameter(request, "kind"),
                   .name = hs_http_parameter(request, "name"),
                   .deleted = deleted,
                   .author = author != NULL ? author : "-"};
    hs_error error = {0};
    if (!hs_config_kind_is_known(self.kind))
        return hs_refuse_invalid(response, 404, "unknown_kind", "no such kind of object");
    if (!read_condition(request, &self))
        return hs_refuse_invalid(response, 400, "bad_if_match", "If-Match must be a revision");
    json_t *object = NULL;
    if (!deleted) {
        object = hs_json_parse(request->binary_body, request->binary_body_length, NULL);
        if (hs_config_object_check(self.kind, self.name, object, &error) != 0) {
            json_decref(object);
            return hs_refuse_invalid(response, 400, "bad_object", error.message);
        }
    }
    self.object_json = deleted ? strdup("") : json_dumps(object, JSON_COMPACT | JSON_SORT_KEYS);
    json_decref(object);
    publish(&self, response);
    free(self.object_json);
    return U_CALLBACK_COMPLETE;
}

int hs_command_publish(const struct _u_request *request, struct _u_response *response, void *node) {
    return read_and_publish(node, request, false, response);
}

int hs_command_delete(const struct _u_request *request, struct _u_response *response, void *node) {
    return read_and_publish(node, request, true, response);
}
