/** @file job_partition.c  A partition's replica: reading and trimming; see job_partition.h. */
#include "jobs/job_partition_state.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"

#include <string.h>

/**
 * One page of the log: 70 ms on a link of 30 Mbit/s that carries nothing else, so that a read ends
 * before its limit and what it brought stays, however long the log is.
 */
#define READ_MAX_KB 256
/** One read of an item's content: a whole call of the store. */
#define CONTENT_MAX_KB 1024
#define READ_LIMIT_MS 1500
#define ANSWER_SLACK_MS 700
#define BYTES_PER_KB 1024
/** Contents are older than their manifest, which may still be on its way for so long. */
#define TRIM_AGE_MS 30000
/**
 * Pause in ms before a read that failed is tried again: some ten times what an answer takes, so
 * that the store is not pressed and its return is still noticed soon.
 */
#define FAILED_READ_PAUSE_MS 150

hs_job_partition *hs_job_partition_new(const hs_job_store_settings *settings, uint32_t part) {
    hs_job_partition *partition = g_new0(hs_job_partition, 1);
    partition->settings = *settings;
    partition->part = part;
    g_mutex_init(&partition->lock);
    g_cond_init(&partition->moved);
    partition->state = hs_job_state_new();
    return partition;
}

void hs_job_partition_free(hs_job_partition *partition) {
    if (partition == NULL)
        return;
    hs_job_state_free(partition->state);
    g_mutex_clear(&partition->lock);
    g_cond_clear(&partition->moved);
    g_free(partition);
}

uint32_t hs_job_partition_of(const char *job_id, uint32_t part_count) {
    return (uint32_t)(hs_hash_bytes(job_id, strlen(job_id)) % part_count);
}

hs_deadline hs_job_partition_patience(const hs_job_partition *partition, uint32_t attempt,
                                      size_t bytes, hs_deadline limit) {
    uint64_t patience_ms = hs_store_client_patience_ms(partition->settings.store, attempt, bytes);
    hs_deadline deadline = hs_clock_monotonic_ms() + patience_ms;
    return MIN(deadline, limit);
}

uint32_t hs_job_partition_number(const hs_job_partition *partition) {
    return partition->part;
}

hs_job_state *hs_job_partition_lock(hs_job_partition *partition) {
    g_mutex_lock(&partition->lock);
    return partition->state;
}

void hs_job_partition_unlock(hs_job_partition *partition) {
    g_mutex_unlock(&partition->lock);
}

/** Apply what a read brought. The caller holds the lock. True when the log's end is reached. */
static bool apply_answer(hs_job_partition *partition, const GByteArray *answer) {
    uint64_t end = 0;
    uint64_t first = 0;
    if (!hs_platform_read_bounds(answer, &end, &first))
        return false;
    size_t position = 0;
    hs_store_record record;
    while (hs_platform_next_record(answer, false, &position, &record)) {
        uint64_t offset = hs_job_state_next(partition->state);
        if (!hs_job_state_apply(partition->state, offset, record.value, record.value_length))
            hs_log_warning("job_record_unreadable", "part=%u offset=%" G_GUINT64_FORMAT,
                           partition->part, (guint64)offset);
    }
    return hs_job_state_next(partition->state) >= end;
}

/** One read from the log's present place on; the caller is the one reader. */
static bool read_once(hs_job_partition *partition, uint32_t wait_ms, hs_deadline deadline,
                      hs_interrupt *interrupt, bool *reached_end) {
    g_mutex_lock(&partition->lock);
    uint64_t from = hs_job_state_next(partition->state);
    g_mutex_unlock(&partition->lock);
    hs_store_call call =
        hs_platform_read(HS_TOPIC_JOBS, partition->part, from, READ_MAX_KB, wait_ms);
    GByteArray *answer = g_byte_array_new();
    hs_store_outcome outcome =
        hs_store_client_send(partition->settings.store, &call, deadline, interrupt, answer);
    g_mutex_lock(&partition->lock);
    uint64_t first = 0;
    *reached_end = false;
    if (outcome == HS_STORE_DONE)
        *reached_end = apply_answer(partition, answer);
    else if (outcome == HS_STORE_GONE && hs_platform_read_first_kept(answer, &first))
        hs_job_state_skip_to(partition->state, first);
    g_mutex_unlock(&partition->lock);
    g_byte_array_free(answer, TRUE);
    return outcome == HS_STORE_DONE || outcome == HS_STORE_GONE;
}

static void end_reading(hs_job_partition *partition) {
    partition->reading = false;
    g_cond_broadcast(&partition->moved);
}

bool hs_job_partition_catch_up(hs_job_partition *partition, hs_deadline deadline) {
    g_mutex_lock(&partition->lock);
    uint64_t wanted = partition->reads_begun + 1; /* A read that begins after this call. */
    while (partition->last_good < wanted) {
        if (partition->reading) {
            if (!hs_clock_wait_until(deadline, &partition->moved, &partition->lock))
                break;
            continue;
        }
        if (hs_clock_monotonic_ms() >= deadline)
            break;
        partition->reading = true;
        uint64_t number = ++partition->reads_begun;
        g_mutex_unlock(&partition->lock);
        bool reached = false;
        uint64_t began_ms = hs_clock_monotonic_ms();
        hs_deadline limit = MIN(deadline, began_ms + READ_LIMIT_MS);
        bool read = read_once(partition, 0, limit, NULL, &reached);
        g_mutex_lock(&partition->lock);
        if (reached) {
            partition->last_good = number;
            partition->current_ms = MAX(partition->current_ms, began_ms);
        }
        end_reading(partition);
        if (!read)
            break;
    }
    bool caught_up = partition->last_good >= wanted;
    g_mutex_unlock(&partition->lock);
    return caught_up;
}

/** Hold a read at the store from @p from on; takes no turn, so that short reads go on beside it. */
static bool follow(hs_job_partition *partition, uint64_t from, uint32_t wait_ms) {
    uint64_t began_ms = hs_clock_monotonic_ms();
    hs_deadline deadline = began_ms + wait_ms + ANSWER_SLACK_MS;
    hs_store_call call =
        hs_platform_read(HS_TOPIC_JOBS, partition->part, from, READ_MAX_KB, wait_ms);
    GByteArray *answer = g_byte_array_new();
    hs_store_outcome outcome =
        hs_store_client_send(partition->settings.store, &call, deadline, NULL, answer);
    g_mutex_lock(&partition->lock);
    uint64_t first = 0;
    while (partition->reading)
        g_cond_wait(&partition->moved, &partition->lock);
    if (outcome == HS_STORE_DONE && hs_job_state_next(partition->state) == from &&
        apply_answer(partition, answer)) {
        /* Without news the store held the read to its end; news may have been there at once. */
        bool has_news = hs_job_state_next(partition->state) != from;
        uint64_t held_ms = has_news ? began_ms : began_ms + wait_ms;
        partition->current_ms = MAX(partition->current_ms, MIN(held_ms, hs_clock_monotonic_ms()));
    }
    if (outcome == HS_STORE_GONE && hs_platform_read_first_kept(answer, &first))
        hs_job_state_skip_to(partition->state, first);
    g_mutex_unlock(&partition->lock);
    g_byte_array_free(answer, TRUE);
    return outcome == HS_STORE_DONE || outcome == HS_STORE_GONE;
}

bool hs_job_partition_is_current(hs_job_partition *partition, uint64_t since_ms) {
    g_mutex_lock(&partition->lock);
    bool is_current = partition->current_ms != 0 && partition->current_ms >= since_ms;
    g_mutex_unlock(&partition->lock);
    return is_current;
}

void hs_job_partition_hold(hs_job_partition *partition, uint64_t offset, hs_deadline until) {
    g_mutex_lock(&partition->lock);
    while (hs_job_state_next(partition->state) <= offset) {
        uint64_t now_ms = hs_clock_monotonic_ms();
        if (now_ms >= until)
            break;
        if (partition->following) {
            if (!hs_clock_wait_until(until, &partition->moved, &partition->lock))
                break;
            continue;
        }
        partition->following = true;
        uint64_t from = hs_job_state_next(partition->state);
        g_mutex_unlock(&partition->lock);
        if (!follow(partition, from, (uint32_t)(until - now_ms)))
            hs_clock_sleep_ms(FAILED_READ_PAUSE_MS);
        g_mutex_lock(&partition->lock);
        partition->following = false;
        g_cond_broadcast(&partition->moved);
    }
    g_mutex_unlock(&partition->lock);
}

Hs__JobItemContent *hs_job_partition_read_content(hs_job_partition *partition, uint64_t offset,
                                                  uint32_t bytes, hs_deadline deadline,
                                                  hs_store_outcome *outcome) {
    GByteArray *content = g_byte_array_new();
    GByteArray *answer = g_byte_array_new();
    *outcome = HS_STORE_DONE;
    while (content->len < bytes && *outcome == HS_STORE_DONE) {
        uint32_t max_kb = (bytes - content->len) / BYTES_PER_KB + 1;
        hs_store_call call = hs_platform_read(HS_TOPIC_BODIES, partition->part, offset,
                                              MIN(max_kb, CONTENT_MAX_KB), 0);
        *outcome = hs_store_client_send(partition->settings.store, &call, deadline, NULL, answer);
        size_t position = 0;
        hs_store_record record;
        guint before = content->len;
        while (*outcome == HS_STORE_DONE && content->len < bytes &&
               hs_platform_next_record(answer, false, &position, &record)) {
            g_byte_array_append(content, record.value, (guint)record.value_length);
            offset++;
        }
        if (*outcome == HS_STORE_DONE && content->len == before)
            *outcome = HS_STORE_INVALID;
    }
    Hs__JobItemContent *result = NULL;
    if (*outcome == HS_STORE_DONE)
        result = hs__job_item_content__unpack(NULL, content->len, content->data);
    if (*outcome == HS_STORE_DONE && result == NULL)
        *outcome = HS_STORE_INVALID;
    g_byte_array_free(content, TRUE);
    g_byte_array_free(answer, TRUE);
    return result;
}

/**
 * Offset before which contents may go: what was needed first some time ago. The caller holds the
 * lock. 0: nothing to do.
 */
static uint64_t trim_target(hs_job_partition *partition, uint64_t now_ms) {
    uint64_t target = 0;
    bool is_due = partition->trim_noted_ms != 0 && now_ms > partition->trim_noted_ms + TRIM_AGE_MS;
    if (is_due && partition->trim_candidate > partition->trimmed_to)
        target = partition->trim_candidate;
    uint64_t first = hs_job_state_first_needed_content(partition->state);
    if (first != UINT64_MAX && (is_due || partition->trim_noted_ms == 0)) {
        partition->trim_candidate = first;
        partition->trim_noted_ms = now_ms;
    }
    return target;
}

void hs_job_partition_trim(hs_job_partition *partition, hs_deadline deadline) {
    uint64_t wall_ms = hs_clock_wall_ms();
    g_mutex_lock(&partition->lock);
    if (wall_ms > partition->settings.status_ms)
        hs_job_state_forget(partition->state, wall_ms - partition->settings.status_ms);
    uint64_t target = trim_target(partition, hs_clock_monotonic_ms());
    g_mutex_unlock(&partition->lock);
    if (target == 0)
        return;
    hs_store_call call = hs_platform_trim(HS_TOPIC_BODIES, partition->part, target);
    GByteArray *answer = g_byte_array_new();
    if (hs_store_client_send(partition->settings.store, &call, deadline, NULL, answer) ==
        HS_STORE_DONE)
        partition->trimmed_to = target;
    g_byte_array_free(answer, TRUE);
}
