/**
 * @file batch_queries.c
 * GET of batches and files. Each handler first reads the partition's stream to its end, so any
 * daemon returns current data, including those that do not own the partition.
 */
#include "batch/batch_id.h"
#include "batch/job_json.h"
#include "http/auth.h"
#include "http/refusal.h"
#include "queries/query_routes.h"

#include <string.h>

#define RETRY_AFTER_S 2
#define DEFAULT_LIST_LIMIT 20
#define MAX_LIST_LIMIT 100
#define MS_PER_S 1000

/** Returns the refreshed replica of the id in the path; NULL: the request was refused. */
static hs_replica *open_replica(hs_node *node, const struct _u_request *request,
                                struct _u_response *response, const char **tenant) {
    uint32_t partition = 0;
    hs_error error = {0};
    *tenant = hs_http_tenant(request);
    if (*tenant == NULL) {
        hs_refuse_invalid(response, 401, "no_tenant", "Authorization: Bearer must name a tenant");
        return NULL;
    }
    if (!hs_id_partition(hs_http_parameter(request, "id"), &partition) ||
        partition >= hs_replica_set_count(node->replicas)) {
        hs_refuse_invalid(response, 404, "not_found", "no such id");
        return NULL;
    }
    hs_replica *replica = hs_replica_set_get(node->replicas, partition);
    if (hs_replica_refresh(replica, &error) == 0)
        return replica;
    hs_refuse_unavailable(response, "platform_unavailable", error.message, RETRY_AFTER_S);
    return NULL;
}

int hs_query_batch(const struct _u_request *request, struct _u_response *response,
                   void *user_data) {
    const char *tenant = NULL;
    hs_replica *replica = open_replica(user_data, request, response, &tenant);
    if (replica == NULL)
        return U_CALLBACK_COMPLETE;
    const hs_partition *state = hs_replica_lock(replica);
    const hs_job *job = hs_partition_find_job(state, hs_http_parameter(request, "id"));
    json_t *document = job != NULL && strcmp(job->tenant, tenant) == 0 ? hs_job_to_json(job) : NULL;
    hs_replica_unlock(replica);
    if (document == NULL)
        return hs_refuse_invalid(response, 404, "batch_not_found", "no such batch");
    return hs_http_reply_json(response, 200, document);
}

static void add_jobs(hs_replica *replica, const char *tenant, json_t *list) {
    const hs_partition *state = hs_replica_lock(replica);
    GHashTableIter iterator;
    gpointer data;
    g_hash_table_iter_init(&iterator, state->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &data)) {
        const hs_job *job = data;
        if (strcmp(job->tenant, tenant) == 0)
            json_array_append_new(list, hs_job_to_json(job));
    }
    hs_replica_unlock(replica);
}

static int compare_documents(const void *left, const void *right) {
    const json_t *first = *(json_t *const *)left;
    const json_t *second = *(json_t *const *)right;
    json_int_t first_time = json_integer_value(json_object_get(first, "created_at"));
    json_int_t second_time = json_integer_value(json_object_get(second, "created_at"));
    if (first_time != second_time)
        return first_time > second_time ? -1 : 1;
    return strcmp(json_string_value(json_object_get(first, "id")),
                  json_string_value(json_object_get(second, "id")));
}

/** Returns the page of @p all, newest first, that follows the id @p after. */
static json_t *make_page(json_t *all, const char *after, size_t limit) {
    size_t count = json_array_size(all);
    g_autofree json_t **sorted = g_new0(json_t *, count + 1);
    for (size_t index = 0; index < count; index++)
        sorted[index] = json_array_get(all, index);
    qsort(sorted, count, sizeof(json_t *), compare_documents);
    json_t *page = json_array();
    bool started = after == NULL;
    size_t index = 0;
    for (; index < count && json_array_size(page) < limit; index++) {
        if (started)
            json_array_append(page, sorted[index]);
        else
            started = strcmp(json_string_value(json_object_get(sorted[index], "id")), after) == 0;
    }
    return json_pack("{s:s,s:o,s:b}", "object", "list", "data", page, "has_more", index < count);
}

int hs_query_batch_list(const struct _u_request *request, struct _u_response *response,
                        void *user_data) {
    hs_node *node = user_data;
    const char *tenant = hs_http_tenant(request);
    if (tenant == NULL)
        return hs_refuse_invalid(response, 401, "no_tenant",
                                 "Authorization: Bearer must name a tenant");
    json_t *all = json_array();
    for (uint32_t partition = 0; partition < hs_replica_set_count(node->replicas); partition++) {
        hs_replica *replica = hs_replica_set_get(node->replicas, partition);
        hs_error error = {0};
        if (hs_replica_refresh(replica, &error) != 0) {
            json_decref(all);
            return hs_refuse_unavailable(response, "platform_unavailable", error.message,
                                         RETRY_AFTER_S);
        }
        add_jobs(replica, tenant, all);
    }
    uint64_t limit = hs_http_parameter_number(request, "limit", DEFAULT_LIST_LIMIT);
    json_t *page = make_page(all, hs_http_parameter(request, "after"), MIN(limit, MAX_LIST_LIMIT));
    json_decref(all);
    return hs_http_reply_json(response, 200, page);
}

int hs_query_file(const struct _u_request *request, struct _u_response *response, void *user_data) {
    const char *tenant = NULL;
    hs_replica *replica = open_replica(user_data, request, response, &tenant);
    if (replica == NULL)
        return U_CALLBACK_COMPLETE;
    json_t *document = NULL;
    const hs_partition *state = hs_replica_lock(replica);
    const hs_file *file = hs_partition_find_file(state, hs_http_parameter(request, "id"));
    if (file != NULL && file->sealed && strcmp(file->tenant, tenant) == 0)
        document = json_pack("{s:s,s:s,s:I,s:I,s:s,s:s}", "id", file->id, "object", "file", "bytes",
                             (json_int_t)file->byte_count, "created_at",
                             (json_int_t)(file->created_ms / MS_PER_S), "filename", file->filename,
                             "purpose", "batch");
    hs_replica_unlock(replica);
    if (document == NULL)
        return hs_refuse_invalid(response, 404, "file_not_found", "no such file");
    return hs_http_reply_json(response, 200, document);
}
