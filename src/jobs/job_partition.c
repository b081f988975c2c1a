/** @file job_partition.c  Reads and trims a partition's log; see job_partition.h. */
#include "jobs/job_partition_state.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"

#include <string.h>

/**
 * Size of one page of the log. Small enough to arrive before READ_LIMIT_MS on a slow link (70 ms at
 * 30 Mbit/s), so that each read advances the fold, however long the log is.
 */
#define MAX_READ_KB 256
/** Size of one read of an item's content. */
#define MAX_CONTENT_READ_KB 1024
/** Limits of a short read, and of a long poll beyond its wait, while the store is fast. */
#define READ_LIMIT_MS 1500
#define POLL_ANSWER_LIMIT_MS 1500
/** Callers that need a read which starts after their call share one that starts after this time in
 * ms at the latest, so that they do not wait for a whole read of a slow store first. */
#define READ_INTERVAL_MS 200
#define MAX_OPEN_READS 8
/** Limit of the answer to a poll that a caller waits for: callers give up 1.5 s after their wait.
 */
#define CALLER_ANSWER_LIMIT_MS 1000
#define BYTES_PER_KB 1024
/** Maximum age in ms of a fold that decides a trim. */
#define MAX_TRIM_FOLD_AGE_MS 2000
/** Age in ms of the fold at which a long poll ends; the rest is for the answer to arrive. */
#define POLL_END_AGE_MS (HS_JOB_MAX_FOLD_AGE_MS - 200)
/** Minimum wait in ms of a long poll of a fold that is older than that. */
#define MIN_POLL_MS 50
/** Pause after a failed read: some ten times an answer's time, so that the store is not loaded and
 * its return is still noticed soon. */
#define FAILED_READ_PAUSE_MS 150

hs_job_partition *hs_job_partition_new(const hs_job_store_settings *settings, uint32_t number) {
    hs_job_partition *partition = g_new0(hs_job_partition, 1);
    partition->settings = *settings;
    partition->number = number;
    g_mutex_init(&partition->lock);
    g_cond_init(&partition->advanced);
    partition->state = hs_job_state_new();
    return partition;
}

void hs_job_partition_free(hs_job_partition *partition) {
    if (partition == NULL)
        return;
    hs_job_state_free(partition->state);
    g_mutex_clear(&partition->lock);
    g_cond_clear(&partition->advanced);
    g_free(partition);
}

uint32_t hs_job_partition_number_for_job(const char *job_id, uint32_t part_count) {
    return (uint32_t)(hs_hash_bytes(job_id, strlen(job_id)) % part_count);
}

hs_deadline hs_job_partition_append_deadline(const hs_job_partition *partition, uint32_t attempt,
                                             size_t bytes, hs_deadline limit) {
    uint64_t timeout_ms =
        hs_store_client_write_timeout_ms(partition->settings.store, attempt, bytes);
    hs_deadline deadline = hs_clock_monotonic_ms() + timeout_ms;
    return MIN(deadline, limit);
}

uint32_t hs_job_partition_number(const hs_job_partition *partition) {
    return partition->number;
}

hs_job_state *hs_job_partition_lock(hs_job_partition *partition) {
    g_mutex_lock(&partition->lock);
    return partition->state;
}

void hs_job_partition_unlock(hs_job_partition *partition) {
    g_mutex_unlock(&partition->lock);
}

/**
 * Applies the records of an answer to a read from @p from on, except those that the fold has from
 * another read. Returns whether the answer reaches the end of the log. The caller holds the lock.
 */
static bool apply_answer(hs_job_partition *partition, const GByteArray *answer, uint64_t from,
                         uint64_t *record_count) {
    *record_count = 0;
    uint64_t end = 0;
    uint64_t first = 0;
    if (!hs_platform_read_bounds(answer, &end, &first))
        return false;
    size_t position = 0;
    hs_store_record record;
    while (hs_platform_read_next_record(answer, false, &position, &record)) {
        uint64_t offset = from + (*record_count)++;
        if (offset < hs_job_state_next_offset(partition->state))
            continue;
        if (!hs_job_state_apply(partition->state, offset, record.value, record.value_length))
            hs_log_warning("job_record_unreadable", "part=%u offset=%" G_GUINT64_FORMAT,
                           partition->number, (guint64)offset);
        const char *ended = hs_job_state_last_ended(partition->state);
        if (ended != NULL)
            hs_log_info("job_end_folded", "job=%s part=%u offset=%" G_GUINT64_FORMAT " by=log",
                        ended, partition->number, (guint64)offset);
    }
    return hs_job_state_next_offset(partition->state) >= end;
}

void hs_job_partition_apply_end(hs_job_partition *partition, const char *job_id,
                                const char *source) {
    g_mutex_lock(&partition->lock);
    bool is_new = hs_job_state_end_early(partition->state, job_id, hs_clock_wall_ms());
    g_mutex_unlock(&partition->lock);
    if (is_new)
        hs_log_info("job_end_folded", "job=%s part=%u by=%s", job_id, partition->number, source);
}

/** Records that the fold held the whole log at @p since_ms. The caller holds the lock. */
static void note_complete(hs_job_partition *partition, uint64_t since_ms) {
    if (since_ms <= partition->current_ms)
        return;
    hs_content_trim_add_read_time(&partition->trim, partition->current_ms, since_ms);
    partition->current_ms = since_ms;
}

/**
 * Records whether a read was answered that ended now, with the limit @p deadline; its caller stops
 * waiting at @p until. The caller holds the lock.
 */
static void note_read_end(hs_job_partition *partition, bool is_answered, hs_deadline deadline,
                          hs_deadline until) {
    bool has_failed = hs_clock_monotonic_ms() < deadline || deadline < until;
    partition->is_log_lost = !is_answered && (has_failed || partition->is_log_lost);
}

/** Reads one page from the fold's position on. */
static bool read_once(hs_job_partition *partition, uint32_t wait_ms, hs_deadline deadline,
                      hs_interrupt *interrupt, bool *reached_end) {
    g_mutex_lock(&partition->lock);
    uint64_t from = hs_job_state_next_offset(partition->state);
    g_mutex_unlock(&partition->lock);
    hs_store_call call =
        hs_platform_build_read_call(HS_TOPIC_JOBS, partition->number, from, MAX_READ_KB, wait_ms);
    GByteArray *answer = g_byte_array_new();
    hs_store_outcome outcome =
        hs_store_client_send(partition->settings.store, &call, deadline, interrupt, answer);
    g_mutex_lock(&partition->lock);
    uint64_t first = 0;
    uint64_t record_count = 0;
    *reached_end = false;
    if (outcome == HS_STORE_DONE)
        *reached_end = apply_answer(partition, answer, from, &record_count);
    else if (outcome == HS_STORE_GONE && hs_platform_read_first_offset(answer, &first))
        hs_job_state_skip_to(partition->state, first);
    g_mutex_unlock(&partition->lock);
    g_byte_array_free(answer, TRUE);
    return outcome == HS_STORE_DONE || outcome == HS_STORE_GONE;
}

bool hs_job_partition_catch_up(hs_job_partition *partition, hs_deadline deadline) {
    g_mutex_lock(&partition->lock);
    uint64_t required_read = partition->reads_started + 1; /* A read that starts after this call. */
    while (partition->last_complete_read < required_read) {
        uint64_t now_ms = hs_clock_monotonic_ms();
        if (now_ms >= deadline)
            break;
        uint64_t next_ms = partition->last_read_ms + READ_INTERVAL_MS;
        if (partition->open_reads >= MAX_OPEN_READS ||
            (partition->open_reads > 0 && now_ms < next_ms)) {
            hs_deadline until = now_ms < next_ms ? MIN(next_ms, deadline) : deadline;
            hs_clock_wait_until(until, &partition->advanced, &partition->lock);
            continue;
        }
        partition->open_reads++;
        partition->last_read_ms = now_ms;
        uint64_t read_number = ++partition->reads_started;
        uint64_t limit_ms = hs_store_client_read_limit_ms(partition->settings.store, READ_LIMIT_MS,
                                                          partition->failed_reads);
        g_mutex_unlock(&partition->lock);
        bool has_reached_end = false;
        uint64_t started_ms = hs_clock_monotonic_ms();
        hs_deadline limit = MIN(deadline, started_ms + limit_ms);
        bool has_read = read_once(partition, 0, limit, NULL, &has_reached_end);
        g_mutex_lock(&partition->lock);
        partition->failed_reads = has_read ? 0 : partition->failed_reads + 1;
        note_read_end(partition, has_read, limit, deadline);
        if (has_reached_end) {
            partition->last_complete_read = MAX(partition->last_complete_read, read_number);
            note_complete(partition, started_ms);
        }
        partition->open_reads--;
        g_cond_broadcast(&partition->advanced);
        if (!has_read)
            break;
    }
    bool caught_up = partition->last_complete_read >= required_read;
    g_mutex_unlock(&partition->lock);
    return caught_up;
}

/**
 * Long-polls the store for records from @p from on, until @p until at the latest. Does not exclude
 * short reads meanwhile. The caller holds the lock, which is released during the poll.
 */
static bool long_poll(hs_job_partition *partition, uint64_t from, uint32_t wait_ms,
                      hs_deadline until) {
    uint64_t limit_ms = hs_store_client_read_limit_ms(
        partition->settings.store, POLL_ANSWER_LIMIT_MS, partition->failed_polls);
    g_mutex_unlock(&partition->lock);
    uint64_t started_ms = hs_clock_monotonic_ms();
    hs_deadline deadline = MIN(started_ms + wait_ms + limit_ms, until);
    hs_store_call call =
        hs_platform_build_read_call(HS_TOPIC_JOBS, partition->number, from, MAX_READ_KB, wait_ms);
    GByteArray *answer = g_byte_array_new();
    hs_store_outcome outcome =
        hs_store_client_send(partition->settings.store, &call, deadline, NULL, answer);
    uint64_t answered_ms = hs_clock_monotonic_ms();
    g_mutex_lock(&partition->lock);
    uint64_t first = 0;
    uint64_t record_count = 0;
    if (outcome == HS_STORE_DONE && apply_answer(partition, answer, from, &record_count)) {
        /* A poll without records covers its wait; other answers may be as old as the call. */
        bool covers_wait = record_count == 0 && answered_ms >= started_ms + wait_ms;
        note_complete(partition, covers_wait ? started_ms + wait_ms : started_ms);
    }
    if (outcome == HS_STORE_GONE && hs_platform_read_first_offset(answer, &first))
        hs_job_state_skip_to(partition->state, first);
    g_byte_array_free(answer, TRUE);
    bool is_answered = outcome == HS_STORE_DONE || outcome == HS_STORE_GONE;
    note_read_end(partition, is_answered, deadline, until);
    if (is_answered)
        partition->failed_polls = 0;
    else if (deadline < until)
        partition->failed_polls++;
    return is_answered;
}

bool hs_job_partition_is_current(hs_job_partition *partition, uint64_t since_ms) {
    g_mutex_lock(&partition->lock);
    bool is_current = partition->current_ms != 0 && partition->current_ms >= since_ms;
    g_mutex_unlock(&partition->lock);
    return is_current;
}

uint64_t hs_job_partition_age_ms(hs_job_partition *partition) {
    g_mutex_lock(&partition->lock);
    uint64_t current_ms = partition->current_ms;
    g_mutex_unlock(&partition->lock);
    return current_ms != 0 ? hs_clock_monotonic_ms() - current_ms : UINT64_MAX;
}

bool hs_job_partition_has_fallen_behind(hs_job_partition *partition) {
    uint64_t age_ms = hs_job_partition_age_ms(partition);
    g_mutex_lock(&partition->lock);
    bool has_fallen_behind = age_ms > HS_JOB_MAX_FOLD_AGE_MS && partition->is_log_lost;
    g_mutex_unlock(&partition->lock);
    return has_fallen_behind;
}

uint32_t hs_job_poll_wait_ms(uint64_t current_ms, uint64_t now_ms, uint64_t until_ms) {
    uint64_t due_ms = MAX(current_ms + POLL_END_AGE_MS, now_ms + MIN_POLL_MS);
    return (uint32_t)(MIN(due_ms, until_ms) - now_ms);
}

/**
 * As hs_job_partition_wait; a poll ends at @p poll_until at the latest. @p drain: the stop that
 * ends the wait; NULL: none does.
 */
static void wait_past(hs_job_partition *partition, uint64_t offset, hs_deadline until,
                      hs_deadline poll_until, hs_drain *drain) {
    g_mutex_lock(&partition->lock);
    while (hs_job_state_next_offset(partition->state) <= offset) {
        uint64_t now_ms = hs_clock_monotonic_ms();
        until = hs_drain_limit(drain, until);
        if (now_ms >= until)
            break;
        if (partition->is_following) {
            if (!hs_clock_wait_until(until, &partition->advanced, &partition->lock))
                break;
            continue;
        }
        partition->is_following = true;
        uint64_t from = hs_job_state_next_offset(partition->state);
        uint32_t wait_ms = hs_job_poll_wait_ms(partition->current_ms, now_ms, until);
        if (!long_poll(partition, from, wait_ms, poll_until)) {
            g_mutex_unlock(&partition->lock);
            hs_clock_sleep_ms(FAILED_READ_PAUSE_MS);
            g_mutex_lock(&partition->lock);
        }
        partition->is_following = false;
        g_cond_broadcast(&partition->advanced);
    }
    g_mutex_unlock(&partition->lock);
}

void hs_job_partition_wait(hs_job_partition *partition, uint64_t offset, hs_deadline until) {
    wait_past(partition, offset, until, until + CALLER_ANSWER_LIMIT_MS, partition->settings.drain);
}

void hs_job_partition_follow(hs_job_partition *partition, uint64_t offset, hs_deadline until) {
    wait_past(partition, offset, until, UINT64_MAX, NULL);
}

/** Lengths of the records that were read of a content. */
typedef struct {
    size_t first; /**< 0: none was read. */
    size_t latest;
} content_lengths;

/** Whether a record may follow those that were read: all but the last of a content are as long. */
static bool may_follow(content_lengths *lengths, size_t length) {
    if (lengths->first == 0)
        lengths->first = lengths->latest = length;
    bool is_like_first = lengths->latest == lengths->first && length <= lengths->first;
    lengths->latest = length;
    return is_like_first && length > 0;
}

Hs__JobItemContent *hs_job_partition_read_content(hs_job_partition *partition, uint64_t offset,
                                                  uint32_t bytes, hs_deadline deadline,
                                                  hs_store_outcome *outcome) {
    GByteArray *content = g_byte_array_new();
    GByteArray *answer = g_byte_array_new();
    content_lengths lengths = {0};
    *outcome = HS_STORE_DONE;
    while (content->len < bytes && *outcome == HS_STORE_DONE) {
        uint32_t max_kb = (bytes - content->len) / BYTES_PER_KB + 1;
        hs_store_call call = hs_platform_build_read_call(HS_TOPIC_BODIES, partition->number, offset,
                                                         MIN(max_kb, MAX_CONTENT_READ_KB), 0);
        *outcome = hs_store_client_send(partition->settings.store, &call, deadline, NULL, answer);
        size_t position = 0;
        hs_store_record record;
        guint before = content->len;
        while (*outcome == HS_STORE_DONE && content->len < bytes &&
               hs_platform_read_next_record(answer, false, &position, &record)) {
            if (!may_follow(&lengths, record.value_length))
                *outcome = HS_STORE_INVALID; /* It begins another content. */
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

/** What decided a trim. */
typedef struct {
    uint64_t target;       /**< Contents before it may be trimmed; 0: none. */
    uint64_t first_needed; /**< First content that an open job needs; UINT64_MAX: none. */
    uint64_t noted_read_ms;
    uint64_t fold_age_ms;
} trim_decision;

/**
 * Reads the end of the log of contents, from which a manifest claims to need @p offset. The caller
 * holds the lock, which is released meanwhile.
 */
static void read_content_end(hs_job_partition *partition, uint64_t offset, hs_deadline deadline) {
    g_mutex_unlock(&partition->lock);
    hs_store_call call = hs_platform_build_read_call(HS_TOPIC_BODIES, partition->number,
                                                     MIN(offset, INT64_MAX), 1, 0);
    g_autoptr(GByteArray) answer = g_byte_array_new();
    hs_store_outcome outcome =
        hs_store_client_send(partition->settings.store, &call, deadline, NULL, answer);
    uint64_t end = 0;
    uint64_t first = 0;
    if (outcome == HS_STORE_DONE)
        hs_platform_read_bounds(answer, &end, &first);
    else if (outcome == HS_STORE_GONE)
        hs_platform_read_first_offset(answer, &end);
    if (outcome == HS_STORE_DONE && end <= offset)
        hs_log_warning("contents_missing",
                       "part=%u first_needed=%" G_GUINT64_FORMAT " end=%" G_GUINT64_FORMAT,
                       partition->number, (guint64)offset, (guint64)end);
    g_mutex_lock(&partition->lock);
    partition->content_end = MAX(partition->content_end, end);
    if (outcome == HS_STORE_DONE || outcome == HS_STORE_GONE)
        partition->next_end_read_ms = hs_clock_monotonic_ms() + HS_CONTENT_TRIM_AGE_MS;
}

/**
 * Returns the first content that an open job needs; UINT64_MAX: none. A claimed offset beyond the
 * log does not count: a trim up to it would take contents that are stored later. The caller holds
 * the lock.
 */
static uint64_t find_first_needed(hs_job_partition *partition, hs_deadline deadline) {
    uint64_t first_needed = hs_job_state_first_needed_content(partition->state);
    if (first_needed != UINT64_MAX && first_needed >= partition->content_end &&
        hs_content_trim_is_note_due(&partition->trim) &&
        hs_clock_monotonic_ms() >= partition->next_end_read_ms) {
        read_content_end(partition, first_needed, deadline);
        first_needed = hs_job_state_first_needed_content(partition->state);
    }
    return first_needed < partition->content_end ? first_needed : UINT64_MAX;
}

/** Decides a trim from a recent fold, otherwise none. The caller holds the lock. */
static trim_decision decide_trim(hs_job_partition *partition, uint64_t first_needed) {
    hs_content_trim *trim = &partition->trim;
    uint64_t now_ms = hs_clock_monotonic_ms();
    trim_decision decision = {.first_needed = first_needed,
                              .noted_read_ms = trim->read_ms,
                              .fold_age_ms = now_ms - partition->current_ms};
    uint64_t noted = trim->noted;
    if (partition->current_ms != 0 && decision.fold_age_ms <= MAX_TRIM_FOLD_AGE_MS)
        decision.target = hs_content_trim_next(trim, decision.first_needed);
    if (trim->noted != noted)
        hs_log_info("contents_trim_noted", "part=%u before=%" G_GUINT64_FORMAT, partition->number,
                    (guint64)trim->noted);
    return decision;
}

static void log_trim(const hs_job_partition *partition, const trim_decision *decision,
                     hs_store_outcome outcome) {
    bool is_needed = decision->first_needed != UINT64_MAX;
    hs_log_info("contents_trimmed",
                "part=%u before=%" G_GUINT64_FORMAT " first_needed=%" G_GINT64_FORMAT
                " noted_read_ms=%" G_GUINT64_FORMAT " fold_age_ms=%" G_GUINT64_FORMAT " outcome=%s",
                partition->number, (guint64)decision->target,
                is_needed ? (gint64)decision->first_needed : -1, (guint64)decision->noted_read_ms,
                (guint64)decision->fold_age_ms, hs_store_outcome_name(outcome));
}

void hs_job_partition_trim(hs_job_partition *partition, hs_deadline deadline) {
    uint64_t wall_ms = hs_clock_wall_ms();
    g_mutex_lock(&partition->lock);
    if (wall_ms > partition->settings.status_ms)
        hs_job_state_expire(partition->state, wall_ms - partition->settings.status_ms);
    uint64_t first_needed = find_first_needed(partition, deadline);
    trim_decision decision = decide_trim(partition, first_needed);
    g_mutex_unlock(&partition->lock);
    if (decision.target == 0)
        return;
    hs_store_call call =
        hs_platform_build_trim_call(HS_TOPIC_BODIES, partition->number, decision.target);
    GByteArray *answer = g_byte_array_new();
    hs_store_outcome outcome =
        hs_store_client_send(partition->settings.store, &call, deadline, NULL, answer);
    g_mutex_lock(&partition->lock);
    if (outcome == HS_STORE_DONE)
        hs_content_trim_confirm(&partition->trim, decision.target);
    g_mutex_unlock(&partition->lock);
    log_trim(partition, &decision, outcome);
    g_byte_array_free(answer, TRUE);
}
