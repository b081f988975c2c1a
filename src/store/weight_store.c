/** @file weight_store.c  See weight_store.h. */
#include "store/weight_store.h"

#include "base/http_exchange.h"

#include <glib.h>

#define HTTP_OK 200
#define HTTP_TOO_MANY_REQUESTS 429

int hs_weight_store_request_load(const char *platform_url, const char *model, uint32_t timeout_s,
                                 uint32_t *retry_after_s, hs_error *error) {
    g_autofree char *url = g_strdup_printf("%s/weights/v1/%s", platform_url, model);
    hs_http_request request = {.method = "GET", .url = url, .timeout_s = timeout_s};
    hs_http_answer answer;
    *retry_after_s = 0;
    if (!hs_http_exchange(&request, &answer))
        return hs_error_set(error, HS_LAYER_PLATFORM, HS_PLATFORM_UNKNOWN,
                            "weight store: no response");
    long status = answer.status;
    *retry_after_s = answer.retry_after_s;
    hs_http_answer_clear(&answer);
    if (status == HTTP_OK)
        return 0;
    if (status == HTTP_TOO_MANY_REQUESTS)
        return hs_error_set(error, HS_LAYER_PLATFORM, HS_PLATFORM_REFUSED,
                            "weight store: rate limit reached");
    return hs_error_set(error, HS_LAYER_PLATFORM, HS_PLATFORM_UNKNOWN,
                        "weight store: unexpected status %ld", status);
}
