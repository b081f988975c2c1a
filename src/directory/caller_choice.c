/** @file caller_choice.c  See caller_choice.h. */
#include "directory/caller_choice.h"

#include "base/hash.h"

#include <glib.h>
#include <math.h>

/** Processor time that a request takes from end to end, in thousandths of a core's second. */
#define REQUEST_CORE_MS 2.0
/** Memory of an open request with its thread and buffers, in MB. */
#define REQUEST_MEMORY_MB 0.5
/** Memory of a daemon without requests, in MB. */
#define DAEMON_MEMORY_MB 24.0
/** Connections of a request: its caller's and its engine's, and one of each that is kept. */
#define REQUEST_DESCRIPTORS 4.0
/** Traffic of a request on its machine's link, to the caller and to the engine, in kbit. */
#define REQUEST_KBITS 160.0
/** Time for which a request is open, in s. */
#define REQUEST_OPEN_S 1.0
/** Share of its capacity that a machine counts with however much of it is taken. */
#define SPARE_LEAST 0.2
/** Least number of daemons named: with fewer, losing one would leave a caller too few. */
#define CHOSEN_LEAST 4

/** The lesser of two, where 0 stands for not told. */
static double lesser(double one, double other) {
    if (one <= 0 || other <= 0)
        return fmax(one, other);
    return fmin(one, other);
}

double hs_caller_capacity(const hs_member_size *size) {
    double capacity = size->cores_permille / REQUEST_CORE_MS;
    double open = size->descriptors / REQUEST_DESCRIPTORS;
    if (size->memory_mb > 0)
        open = lesser(open, fmax(size->memory_mb - DAEMON_MEMORY_MB, 1) / REQUEST_MEMORY_MB);
    capacity = lesser(capacity, open / REQUEST_OPEN_S);
    capacity = lesser(capacity, size->link_kbps / REQUEST_KBITS);
    double spare = 1 - MIN(size->taken_percent, 100U) / 100.0;
    return capacity * fmax(spare, SPARE_LEAST);
}

/** Uniform over 0 to 1, never 0; the same for a pair each time. */
static double chance_of(uint64_t daemon, uint64_t caller) {
    uint64_t pair[2] = {daemon, caller};
    return ((double)(hs_hash_bytes(pair, sizeof pair) >> 11) + 1) / 9007199254740993.0;
}

/** Mean capacity of those that told one; 0: nobody did. */
static double mean_told(const hs_caller_choice *choices, size_t count) {
    double sum = 0;
    size_t told = 0;
    for (size_t index = 0; index < count; index++) {
        sum += choices[index].capacity;
        told += choices[index].capacity > 0;
    }
    return told > 0 ? sum / (double)told : 0;
}

bool hs_caller_choice_is_even(const hs_caller_choice *choices, size_t count) {
    bool is_even = true;
    for (size_t index = 1; index < count && is_even; index++)
        is_even = choices[index].capacity == choices[0].capacity;
    return is_even;
}

/** A daemon's place in the order in which a caller is named daemons: the lowest first. */
typedef struct {
    size_t index;
    double key;
} ranked_choice;

static gint by_key(gconstpointer first, gconstpointer second) {
    const ranked_choice *one = first;
    const ranked_choice *other = second;
    if (one->key != other->key)
        return one->key < other->key ? -1 : 1;
    return 0;
}

void hs_caller_choice_make(hs_caller_choice *choices, size_t count, uint64_t caller, size_t most) {
    double unknown = mean_told(choices, count);
    double largest = unknown;
    for (size_t index = 0; index < count; index++)
        largest = fmax(largest, choices[index].capacity);
    g_autoptr(GArray) order = g_array_new(FALSE, FALSE, sizeof(ranked_choice));
    for (size_t index = 0; index < count; index++) {
        double capacity = choices[index].capacity > 0 ? choices[index].capacity : unknown;
        double share = largest > 0 ? capacity / largest : 1;
        ranked_choice ranked = {.index = index,
                                .key = chance_of(choices[index].daemon, caller) / share};
        g_array_append_val(order, ranked);
    }
    g_array_sort(order, by_key);
    for (guint place = 0; place < order->len; place++) {
        const ranked_choice *ranked = &g_array_index(order, ranked_choice, place);
        bool has_share = ranked->key <= 1;
        choices[ranked->index].is_chosen = place < most && (has_share || place < CHOSEN_LEAST);
    }
}
