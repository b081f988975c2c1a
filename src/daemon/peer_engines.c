/** @file peer_engines.c  See peer_engines.h. */
#include "daemon/peer_engines.h"

#include "base/http_exchange.h"
#include "base/json_reader.h"
#include "base/log.h"

#define FETCH_TIMEOUT_S 2
#define HTTP_OK 200

/** Returns the URL of a live peer's engine list; NULL if no peer is known. Free with g_free. */
static char *find_peer_url(hs_node *node) {
    g_autoptr(GPtrArray) members = g_ptr_array_new();
    char *url = NULL;
    hs_membership *membership = hs_membership_service_lock(node->membership);
    hs_membership_list(membership, members);
    for (guint index = 0; index < members->len && url == NULL; index++) {
        const hs_member *member = members->pdata[index];
        if (member == hs_membership_self(membership) || !hs_member_is_live(member) ||
            member->admin_port == 0)
            continue;
        url = hs_member_admin_url(member->address, member->admin_port, "/internal/v1/engines");
    }
    hs_membership_service_unlock(node->membership);
    return url;
}

static void apply_engine_list(hs_node *node, const json_t *engines) {
    hs_engine_table_begin_listing(node->engines);
    size_t index;
    json_t *engine;
    json_array_foreach(engines, index, engine) {
        const char *id = json_string_value(json_object_get(engine, "id"));
        const char *url = json_string_value(json_object_get(engine, "url"));
        const char *zone = json_string_value(json_object_get(engine, "zone"));
        if (id != NULL && url != NULL && zone != NULL)
            hs_engine_table_put_listed(node->engines, id, url, zone,
                                       json_object_get(engine, "labels"),
                                       json_is_true(json_object_get(engine, "leaving")));
    }
    hs_engine_table_end_listing(node->engines);
}

bool hs_peer_engines_fetch(hs_node *node) {
    g_autofree char *url = find_peer_url(node);
    if (url == NULL)
        return false;
    hs_http_request request = {.method = "GET", .url = url, .timeout_s = FETCH_TIMEOUT_S};
    hs_http_answer answer;
    json_t *document = NULL;
    if (hs_http_exchange(&request, &answer) && answer.status == HTTP_OK)
        document = hs_json_parse(answer.body, answer.body_length, NULL);
    hs_http_answer_clear(&answer);
    const json_t *engines = json_object_get(document, "engines");
    size_t count = json_array_size(engines);
    if (count > 0) {
        apply_engine_list(node, engines);
        hs_log_info("engines_fetched_from_peer", "engines=%zu", count);
    }
    json_decref(document);
    return count > 0;
}
