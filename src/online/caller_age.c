/** @file caller_age.c  See caller_age.h. */
#include "online/caller_age.h"

#include <glib.h>

/** The longest timeout decays by 1/256 per request, so an old one is forgotten after some hundreds.
 */
#define DECAY_DIVISOR 256

struct hs_caller_ages {
    GMutex lock;
    GHashTable *by_route; /**< name -> hs_caller_age* */
};

uint64_t hs_caller_age_note(hs_caller_age *age, uint64_t timeout_ms) {
    if (timeout_ms == 0)
        return 0;
    uint64_t longest_ms = age->longest_ms;
    age->longest_ms = MAX(timeout_ms, longest_ms - longest_ms / DECAY_DIVISOR);
    return longest_ms > timeout_ms ? longest_ms - timeout_ms : 0;
}

hs_caller_ages *hs_caller_ages_new(void) {
    hs_caller_ages *ages = g_new0(hs_caller_ages, 1);
    g_mutex_init(&ages->lock);
    ages->by_route = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return ages;
}

void hs_caller_ages_free(hs_caller_ages *ages) {
    if (ages == NULL)
        return;
    g_hash_table_destroy(ages->by_route);
    g_mutex_clear(&ages->lock);
    g_free(ages);
}

uint64_t hs_caller_ages_note(hs_caller_ages *ages, const char *route, uint64_t timeout_ms) {
    g_mutex_lock(&ages->lock);
    hs_caller_age *age = g_hash_table_lookup(ages->by_route, route);
    if (age == NULL) {
        age = g_new0(hs_caller_age, 1);
        g_hash_table_insert(ages->by_route, g_strdup(route), age);
    }
    uint64_t elapsed_ms = hs_caller_age_note(age, timeout_ms);
    g_mutex_unlock(&ages->lock);
    return elapsed_ms;
}
