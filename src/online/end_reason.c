/** @file end_reason.c  Statuses, response texts and counters of end reasons; see online_request.h.
 */
#include "online/online_request.h"

#include "http/http_fields.h"

#include <string.h>

typedef struct {
    const char *name;
    uint32_t status;
    const char *text;
} reason_entry;

static const reason_entry reasons[HS_END_REASON_COUNT] = {
    [HS_END_SERVED] = {"served", 200, ""},
    [HS_END_ENGINE_STATUS] = {"engine_status", 0, ""},
    [HS_END_NO_CONFIG] = {"no_config", 503, "no configuration is known yet\n"},
    [HS_END_NO_ROUTE] = {"no_route", 404, "no route matches\n"},
    [HS_END_KEY_MISSING] = {"key_missing", 401, "a key is needed\n"},
    [HS_END_KEY_UNKNOWN] = {"key_unknown", 401, "the key is not known\n"},
    [HS_END_KEY_MALFORMED] = {"key_malformed", 400, "one key is needed, of visible characters\n"},
    [HS_END_KEYS_STALE] = {"keys_unsure", 503, "the keys in force are not known; not run\n"},
    [HS_END_OVER_LIMIT] = {"over_limit", 429, "beyond the tenant's limit; not run\n"},
    [HS_END_OVER_SHARE] = {"over_share", 503,
                           "beyond the tenant's share of what is free; not run\n"},
    [HS_END_TOO_LARGE] = {"too_large", 413, "the body is over the limit\n"},
    [HS_END_NO_MEMORY] = {"short_of_memory", 503, "short of memory; not run\n"},
    [HS_END_NO_ENGINE] = {"no_engine", 503, "the service has no engine; not run\n"},
    [HS_END_EVACUATED] = {"zones_evacuated", 503,
                          "all zones of the service's engines are evacuated; not run\n"},
    [HS_END_NO_ALLOWED_REGION] = {"no_allowed_region", 503, "no region is allowed; not run\n"},
    [HS_END_NO_ENGINE_IN_REGION] = {"no_engine_in_region", 503,
                                    "the service has no engine in an allowed region; not run\n"},
    [HS_END_FULL] = {"full", 503, "all engines are full; not run\n"},
    [HS_END_UNREACHABLE] = {"unreachable", 503, "no engine can be reached; not run\n"},
    [HS_END_VERSION_GONE] = {"version_gone", 503,
                             "no engine of the stream's version is left; not run\n"},
    [HS_END_VERSION_UNKNOWN] = {"version_unknown", 503,
                                "the stream's version is not known; not run\n"},
    [HS_END_OTHER_WEIGHTS] = {"other_weights", 503,
                              "no engine has the requested weights; not run\n"},
    [HS_END_QUARANTINED] = {"held_back", 503, "requests like this crashed engines; not run\n"},
    [HS_END_BROKEN] = {"broken", 502, "the engine's answer broke; it may have run\n"},
    [HS_END_LATE] = {"late", 504, "the deadline passed; it may have run\n"},
    [HS_END_LATE_NOT_RUN] = {"late_not_run", 503, "the deadline passed; not run\n"},
    [HS_END_CALLER_GONE] = {"caller_gone", 0, ""},
    [HS_END_STREAM_BROKEN] = {"stream_broken", 0, ""},
    [HS_END_STREAM_LATE] = {"stream_late", 0, ""},
    [HS_END_READER_SLOW] = {"reader_slow", 0, ""},
    [HS_END_STOPPING] = {"stopping", 503, "this daemon is stopping; not run\n"},
    [HS_END_STOPPED] = {"stopped", 502, "this daemon stopped; it may have run\n"},
    [HS_END_STREAM_STOPPED] = {"stream_stopped", 0, ""},
};

const char *hs_end_reason_name(hs_end_reason reason) {
    return reasons[reason].name;
}

uint32_t hs_end_reason_status(hs_end_reason reason) {
    return reasons[reason].status;
}

static size_t bucket_index(uint64_t milliseconds, size_t count) {
    size_t bucket = 0;
    while (bucket + 1 < count && milliseconds > (1ULL << bucket))
        bucket++;
    return bucket;
}

void hs_online_count_end(hs_online *online, hs_end_reason reason, uint64_t first_byte_ms) {
    g_mutex_lock(&online->counters.lock);
    online->counters.ended[reason]++;
    if (first_byte_ms > 0)
        online->counters.first_byte_buckets[bucket_index(
            first_byte_ms, G_N_ELEMENTS(online->counters.first_byte_buckets))]++;
    g_mutex_unlock(&online->counters.lock);
}

void hs_online_count_refusal(hs_online *online, hs_refusal_verdict verdict) {
    g_mutex_lock(&online->counters.lock);
    online->counters.refused[verdict]++;
    g_mutex_unlock(&online->counters.lock);
}

void hs_online_refuse(hs_online *online, hs_inbound *inbound, hs_end_reason reason,
                      uint64_t retry_after_ms) {
    const reason_entry *entry = &reasons[reason];
    GArray *fields = hs_http_fields_new();
    hs_http_fields_add(fields, "Content-Type", "text/plain");
    if (entry->status == 503 || entry->status == 429) {
        g_autofree char *seconds = g_strdup_printf("%.3f", (double)retry_after_ms / 1000.0);
        hs_http_fields_add(fields, "Retry-After", seconds);
    }
    hs_inbound_reply(inbound, entry->status, fields, entry->text, strlen(entry->text));
    hs_http_fields_free(fields);
    hs_online_count_end(online, reason, 0);
}

const char *hs_online_pick_service(hs_online *online, const hs_fleet_route *route) {
    /* Multiples of the golden ratio modulo 1 are spread evenly over the unit interval, so the split
     * is close to the weights after few requests. */
    static const double golden_ratio = 0.6180339887498949;
    double turn = (double)(guint)g_atomic_int_add(&online->split_counter, 1) * golden_ratio;
    double total = 0;
    for (guint index = 0; index < route->shares->len; index++)
        total += g_array_index(route->shares, hs_route_share, index).weight;
    double point = (turn - (double)(uint64_t)turn) * total;
    const hs_route_share *share = &g_array_index(route->shares, hs_route_share, 0);
    for (guint index = 0; index < route->shares->len; index++) {
        share = &g_array_index(route->shares, hs_route_share, index);
        if (point < share->weight)
            break;
        point -= share->weight;
    }
    return share->service;
}
