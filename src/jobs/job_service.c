/** @file job_service.c  See job_service.h. */
#include "jobs/job_service_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "http/http_fields.h"
#include "jobs/job_peer.h"
#include "online/retry_after.h"

#include <string.h>

/** Maximum duration of a request without a timeout of its own. */
#define CALL_LIMIT_MS 4000
/** Limit of one read of a partition's log; leaves callers time to retry at another daemon. */
#define ATTEMPT_LIMIT_MS 1200
/**
 * Maximum Retry-After, before random spread, of a request that could not reach the log. Kept short
 * because another daemon may reach the log already.
 */
#define MAX_RETRY_DELAY_MS 200

static void free_partition(gpointer data) {
    hs_job_partition_free(data);
}

hs_job_service *hs_job_service_new(const hs_job_store_settings *settings,
                                   hs_daemon_directory *daemons) {
    hs_job_service *service = g_new0(hs_job_service, 1);
    service->daemons = daemons;
    g_mutex_init(&service->decoding);
    service->settings = *settings;
    service->settings.relay =
        hs_job_relay_new(daemons, settings->store, settings->drain, settings->part_count);
    service->partitions = g_ptr_array_new_with_free_func(free_partition);
    for (uint32_t number = 0; number < settings->part_count; number++)
        g_ptr_array_add(service->partitions, hs_job_partition_new(&service->settings, number));
    service->quota = hs_job_quota_new(settings->store, settings->part_count);
    return service;
}

void hs_job_service_free(hs_job_service *service) {
    if (service == NULL)
        return;
    hs_job_quota_free(service->quota);
    g_ptr_array_free(service->partitions, TRUE);
    hs_job_relay_free(service->settings.relay);
    g_mutex_clear(&service->decoding);
    g_free(service);
}

hs_job_quota *hs_job_service_quota(hs_job_service *service) {
    return service->quota;
}

hs_quota_counters hs_job_service_quota_counters(hs_job_service *service) {
    return hs_job_quota_counters(service->quota);
}

hs_job_partition *hs_job_service_partition(hs_job_service *service, uint32_t number) {
    return service->partitions->pdata[number];
}

uint32_t hs_job_service_partition_count(const hs_job_service *service) {
    return service->partitions->len;
}

hs_job_partition *hs_job_service_partition_for_job(hs_job_service *service, const char *job_id) {
    return hs_job_service_partition(
        service, hs_job_partition_number_for_job(job_id, service->settings.part_count));
}

/** Returns the fields of an answer. Free with hs_http_fields_free. */
static GArray *make_fields(uint32_t status, const char *type, uint64_t retry_after_ms) {
    GArray *fields = hs_http_fields_new();
    hs_http_fields_add(fields, "Content-Type", type);
    if (status == 503 || status == 429) {
        uint64_t delay_ms = hs_retry_after_spread_ms(retry_after_ms, g_random_int());
        g_autofree char *seconds = g_strdup_printf("%.3f", (double)delay_ms / 1000.0);
        hs_http_fields_add(fields, "Retry-After", seconds);
    }
    return fields;
}

/** Returns the Retry-After of a request that could not reach the log. */
static uint64_t get_retry_after_ms(const hs_inbound *inbound) {
    uint64_t elapsed_ms = hs_clock_monotonic_ms() - inbound->received_ms;
    return MIN(hs_retry_after_absence_ms(elapsed_ms, 0), MAX_RETRY_DELAY_MS);
}

void hs_job_reply(hs_inbound *inbound, uint32_t status, const char *type, const void *body,
                  size_t length) {
    GArray *fields = make_fields(status, type, get_retry_after_ms(inbound));
    hs_inbound_reply(inbound, status, fields, body, length);
    hs_http_fields_free(fields);
}

void hs_job_reply_to_peer(hs_inbound *inbound, uint32_t status, const char *type, const void *body,
                          size_t length, int64_t fold_age_ms) {
    GArray *fields = make_fields(status, type, get_retry_after_ms(inbound));
    g_autofree char *age = g_strdup_printf("%" G_GINT64_FORMAT, (gint64)fold_age_ms);
    hs_http_fields_add(fields, HS_PEER_FOLD_AGE_FIELD, age);
    hs_inbound_reply(inbound, status, fields, body, length);
    hs_http_fields_free(fields);
}

void hs_job_reply_text(hs_inbound *inbound, uint32_t status, const char *text) {
    hs_job_reply(inbound, status, "text/plain", text, strlen(text));
}

void hs_job_refuse(hs_inbound *inbound, uint32_t status, const char *text,
                   uint64_t retry_after_ms) {
    GArray *fields = make_fields(status, "text/plain", retry_after_ms);
    hs_inbound_reply(inbound, status, fields, text, strlen(text));
    hs_http_fields_free(fields);
}

hs_deadline hs_job_call_deadline(const hs_job_service *service, const hs_inbound *inbound,
                                 const hs_caller_terms *terms) {
    uint64_t limit_ms = CALL_LIMIT_MS;
    if (terms->timeout_ms > 0)
        limit_ms = MIN(limit_ms, terms->timeout_ms);
    hs_deadline deadline = hs_drain_limit(service->settings.drain, inbound->received_ms + limit_ms);
    return MAX(deadline, inbound->received_ms);
}

hs_deadline hs_job_attempt_deadline(hs_deadline deadline) {
    return MIN(deadline, hs_clock_monotonic_ms() + ATTEMPT_LIMIT_MS);
}

hs_job_visibility hs_job_check_visibility(hs_job_partition *partition, const char *job_id,
                                          const char *tenant) {
    hs_job_state *state = hs_job_partition_lock(partition);
    const hs_job *job = hs_job_state_find(state, job_id);
    hs_job_visibility visibility = HS_JOB_UNKNOWN;
    if (job != NULL)
        visibility = hs_job_is_visible(job, tenant) ? HS_JOB_VISIBLE : HS_JOB_OF_OTHER_TENANT;
    hs_job_partition_unlock(partition);
    return visibility;
}
