/** @file metrics.c  See metrics.h. */
#include "node/metrics.h"

static const char *const counter_names[HS_COUNT_KINDS] = {
    "heathsail_online_requests_total", "heathsail_online_answered_total",
    "heathsail_online_refused_total",  "heathsail_online_unknown_total",
    "heathsail_online_invalid_total",  "heathsail_retries_total",
    "heathsail_resumes_total",         "heathsail_files_accepted_total",
    "heathsail_jobs_accepted_total",   "heathsail_jobs_cancelled_total",
    "heathsail_config_changes_total",
};

static const double bucket_limits_s[] = {0.005, 0.01, 0.02, 0.05, 0.1,  0.2,
                                         0.5,   0.97, 2.0,  5.0,  10.0, 30.0};

void hs_metrics_init(hs_metrics *metrics) {
    *metrics = (hs_metrics){0};
    g_mutex_init(&metrics->lock);
}

void hs_metrics_add(hs_metrics *metrics, hs_counter counter, uint64_t amount) {
    g_mutex_lock(&metrics->lock);
    metrics->counters[counter] += amount;
    g_mutex_unlock(&metrics->lock);
}

void hs_metrics_observe_first_token(hs_metrics *metrics, double seconds) {
    g_mutex_lock(&metrics->lock);
    for (size_t index = 0; index < G_N_ELEMENTS(bucket_limits_s); index++)
        metrics->first_token_buckets[index] += seconds <= bucket_limits_s[index];
    metrics->first_token_count++;
    metrics->first_token_sum_s += seconds;
    g_mutex_unlock(&metrics->lock);
}

void hs_metrics_print_gauge(GString *text, const char *name, const char *help, double value) {
    g_string_append_printf(text, "# HELP %s %s\n# TYPE %s gauge\n%s %.17g\n", name, help, name,
                           name, value);
}

void hs_metrics_print(hs_metrics *metrics, GString *text) {
    g_mutex_lock(&metrics->lock);
    for (int index = 0; index < HS_COUNT_KINDS; index++)
        g_string_append_printf(text, "# TYPE %s counter\n%s %" G_GUINT64_FORMAT "\n",
                               counter_names[index], counter_names[index],
                               metrics->counters[index]);
    g_string_append(text, "# TYPE heathsail_first_token_seconds histogram\n");
    for (size_t index = 0; index < G_N_ELEMENTS(bucket_limits_s); index++)
        g_string_append_printf(
            text, "heathsail_first_token_seconds_bucket{le=\"%g\"} %" G_GUINT64_FORMAT "\n",
            bucket_limits_s[index], metrics->first_token_buckets[index]);
    g_string_append_printf(text,
                           "heathsail_first_token_seconds_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT
                           "\nheathsail_first_token_seconds_sum %.17g\n"
                           "heathsail_first_token_seconds_count %" G_GUINT64_FORMAT "\n",
                           metrics->first_token_count, metrics->first_token_sum_s,
                           metrics->first_token_count);
    g_mutex_unlock(&metrics->lock);
}
