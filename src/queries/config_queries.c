/** @file config_queries.c  GET of configuration objects, and of the complete fold for daemons. */
#include "config/config_object.h"
#include "config/config_state.h"
#include "http/refusal.h"
#include "queries/query_routes.h"
#include "queries/status_routes.h"

#include <inttypes.h>
#include <string.h>

/** Lookup in the fold, and its result. */
typedef struct {
    const char *kind;
    const char *name;
    json_t *document; /**< One object, or the list of a kind. Owned by the handler. */
    uint64_t revision;
} config_lookup;

static json_t *describe_object(const hs_config_object *object) {
    return json_pack("{s:s,s:s,s:I,s:O}", "kind", object->kind, "name", object->name, "revision",
                     (json_int_t)object->revision, "object", object->content);
}

static void read_object(const hs_config_fold *fold, void *user_data) {
    config_lookup *lookup = user_data;
    const hs_config_object *object = hs_config_fold_find(fold, lookup->kind, lookup->name);
    if (object == NULL || object->content == NULL)
        return;
    lookup->document = describe_object(object);
    lookup->revision = object->revision;
}

static void read_kind(const hs_config_fold *fold, void *user_data) {
    config_lookup *lookup = user_data;
    json_t *list = json_array();
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, fold->objects);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_config_object *object = data;
        if (object->content != NULL && strcmp(object->kind, lookup->kind) == 0)
            json_array_append_new(list, describe_object(object));
    }
    lookup->document = json_pack("{s:s,s:o,s:I}", "object", "list", "data", list, "config_offset",
                                 (json_int_t)fold->next_offset);
}

static int query_object(const struct _u_request *request, struct _u_response *response,
                        void *user_data) {
    hs_node *node = user_data;
    config_lookup lookup = {.kind = hs_http_parameter(request, "kind"),
                            .name = hs_http_parameter(request, "name")};
    hs_config_store_read(node->config, read_object, &lookup);
    if (lookup.document == NULL)
        return hs_refuse_invalid(response, 404, "not_found", "no such object");
    g_autofree char *etag = g_strdup_printf("\"%" PRIu64 "\"", lookup.revision);
    u_map_put(response->map_header, "ETag", etag);
    return hs_http_reply_json(response, 200, lookup.document);
}

static int query_kind(const struct _u_request *request, struct _u_response *response,
                      void *user_data) {
    hs_node *node = user_data;
    config_lookup lookup = {.kind = hs_http_parameter(request, "kind")};
    if (!hs_config_kind_is_known(lookup.kind))
        return hs_refuse_invalid(response, 404, "unknown_kind", "no such kind of object");
    hs_config_store_read(node->config, read_kind, &lookup);
    return hs_http_reply_json(response, 200, lookup.document);
}

static void encode_state(const hs_config_fold *fold, void *user_data) {
    *(GByteArray **)user_data = hs_config_state_encode(fold);
}

/** Returns the complete fold to a daemon that is behind while the log is unavailable. */
static int query_state(const struct _u_request *request, struct _u_response *response,
                       void *user_data) {
    (void)request;
    hs_node *node = user_data;
    GByteArray *bytes = NULL;
    hs_config_store_read(node->config, encode_state, &bytes);
    ulfius_set_binary_body_response(response, 200, (const char *)bytes->data, bytes->len);
    g_byte_array_unref(bytes);
    return U_CALLBACK_COMPLETE;
}

void hs_query_register_admin_routes(hs_node *node, hs_http_server *server) {
    hs_status_register_admin_routes(node, server);
    hs_http_server_route(server, "GET", "/internal/v1/config-state", query_state, node);
    hs_http_server_route(server, "GET", "/admin/v1/:kind", query_kind, node);
    hs_http_server_route(server, "GET", "/admin/v1/:kind/:name", query_object, node);
}

void hs_query_register_caller_routes(hs_node *node, hs_http_server *server) {
    hs_status_register_caller_routes(node, server);
    hs_http_server_route(server, "GET", "/v1/batches", hs_query_batch_list, node);
    hs_http_server_route(server, "GET", "/v1/batches/:id", hs_query_batch, node);
    hs_http_server_route(server, "GET", "/v1/files/:id", hs_query_file, node);
    hs_http_server_route(server, "GET", "/v1/files/:id/content", hs_query_file_content, node);
}
