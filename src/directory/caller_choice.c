/** @file caller_choice.c  See caller_choice.h. */
#include "directory/caller_choice.h"

#include "base/hash.h"

#include <glib.h>
#include <math.h>

/** Processor time of a request, in ms of one core. */
#define REQUEST_CORE_MS 2.0
/** Memory of an open request, including its thread and buffers. */
#define REQUEST_MEMORY_MB 0.5
/** Memory of a daemon without requests. */
#define DAEMON_MEMORY_MB 24.0
/** Descriptors per request: connections to the caller and the engine, and an idle one to each. */
#define REQUEST_DESCRIPTORS 4.0
/** Traffic of a request on the machine's link, to the caller and to the engine. */
#define REQUEST_KBITS 160.0
/** Time for which a request is open. */
#define REQUEST_OPEN_S 1.0
/** Minimum spare share of a machine's capacity, at any utilisation. */
#define MIN_SPARE_SHARE 0.2
/** Minimum number of daemons selected, so that a caller can lose one and still have several. */
#define MIN_CHOSEN 4

/** Returns the smaller value; a value of 0 or less is unknown and ignored. */
static double min_known(double one, double other) {
    if (one <= 0 || other <= 0)
        return fmax(one, other);
    return fmin(one, other);
}

double hs_caller_capacity(const hs_machine_size *size) {
    double capacity = size->cores_permille / REQUEST_CORE_MS;
    double open = size->descriptors / REQUEST_DESCRIPTORS;
    if (size->memory_mb > 0)
        open = min_known(open, fmax(size->memory_mb - DAEMON_MEMORY_MB, 1) / REQUEST_MEMORY_MB);
    capacity = min_known(capacity, open / REQUEST_OPEN_S);
    capacity = min_known(capacity, size->link_kbps / REQUEST_KBITS);
    double spare = 1 - MIN(size->utilisation_percent, 100U) / 100.0;
    return capacity * fmax(spare, MIN_SPARE_SHARE);
}

/** Hash of the pair, uniform over the interval from 0 (excluded) to 1. */
static double hash_to_unit_interval(uint64_t daemon, uint64_t caller) {
    uint64_t pair[2] = {daemon, caller};
    return ((double)(hs_hash_bytes(pair, sizeof pair) >> 11) + 1) / 9007199254740993.0;
}

/** Mean of the known capacities; 0: none is known. */
static double mean_known_capacity(const hs_caller_candidate *candidates, size_t count) {
    double sum = 0;
    size_t known = 0;
    for (size_t index = 0; index < count; index++) {
        sum += candidates[index].capacity;
        known += candidates[index].capacity > 0;
    }
    return known > 0 ? sum / (double)known : 0;
}

bool hs_caller_choice_is_uniform(const hs_caller_candidate *candidates, size_t count) {
    bool is_uniform = true;
    for (size_t index = 1; index < count && is_uniform; index++)
        is_uniform = candidates[index].capacity == candidates[0].capacity;
    return is_uniform;
}

/** Candidate with its sort key in the order of a caller's daemons; the lowest is first. */
typedef struct {
    size_t index;
    double key;
} ranked_candidate;

static gint by_key(gconstpointer first, gconstpointer second) {
    const ranked_candidate *one = first;
    const ranked_candidate *other = second;
    if (one->key != other->key)
        return one->key < other->key ? -1 : 1;
    return 0;
}

void hs_caller_choice_select(hs_caller_candidate *candidates, size_t count, uint64_t caller,
                             size_t max_count) {
    double default_capacity = mean_known_capacity(candidates, count);
    double largest = default_capacity;
    for (size_t index = 0; index < count; index++)
        largest = fmax(largest, candidates[index].capacity);
    g_autoptr(GArray) order = g_array_new(FALSE, FALSE, sizeof(ranked_candidate));
    for (size_t index = 0; index < count; index++) {
        double capacity =
            candidates[index].capacity > 0 ? candidates[index].capacity : default_capacity;
        double share = largest > 0 ? capacity / largest : 1;
        ranked_candidate ranked = {
            .index = index, .key = hash_to_unit_interval(candidates[index].daemon, caller) / share};
        g_array_append_val(order, ranked);
    }
    g_array_sort(order, by_key);
    for (guint position = 0; position < order->len; position++) {
        const ranked_candidate *ranked = &g_array_index(order, ranked_candidate, position);
        bool has_share = ranked->key <= 1;
        candidates[ranked->index].is_chosen =
            position < max_count && (has_share || position < MIN_CHOSEN);
    }
}
