/** @file replica.c  See replica.h. */
#include "batch/replica.h"

#include "base/clock.h"
#include "base/fault_point.h"
#include "base/hash.h"
#include "base/log.h"
#include "batch/snapshot.h"

#define MAX_READ_BYTES (2U << 20)
#define MAX_SEAL_SEARCH_RECORDS 256U

struct hs_replica {
    const hs_log_client *log;
    uint32_t partition;
    uint64_t ended_retention_ms;
    char *stream;
    char *snapshot_stream;
    GMutex lock;
    hs_partition *state;
    bool snapshot_loaded; /**< The newest snapshot was searched for. */
    uint64_t snapshot_offset;
    uint64_t last_read_ms; /**< Monotonic; 0 before the first read. */
    uint64_t current_ms;   /**< Sending time of the last read that reached the end; 0: none. */
};

hs_replica *hs_replica_new(const hs_log_client *log, uint32_t partition,
                           uint64_t ended_retention_ms) {
    hs_replica *replica = g_new0(hs_replica, 1);
    replica->log = log;
    replica->partition = partition;
    replica->ended_retention_ms = ended_retention_ms;
    replica->stream = g_strdup_printf("partition-%u", partition);
    replica->snapshot_stream = g_strdup_printf("partition-%u-snapshot", partition);
    replica->state = hs_partition_new(ended_retention_ms);
    g_mutex_init(&replica->lock);
    return replica;
}

void hs_replica_free(hs_replica *replica) {
    hs_partition_free(replica->state);
    g_free(replica->stream);
    g_free(replica->snapshot_stream);
    g_mutex_clear(&replica->lock);
    g_free(replica);
}

uint32_t hs_replica_partition(const hs_replica *replica) {
    return replica->partition;
}

const char *hs_replica_stream(const hs_replica *replica) {
    return replica->stream;
}

hs_partition *hs_replica_lock(hs_replica *replica) {
    g_mutex_lock(&replica->lock);
    return replica->state;
}

void hs_replica_unlock(hs_replica *replica) {
    g_mutex_unlock(&replica->lock);
}

/** Reads the snapshot record at @p offset. Returns NULL if there is none. */
static Hs__SnapshotRecord *read_snapshot_record(hs_replica *replica, uint64_t offset) {
    hs_log_slice slice;
    if (hs_log_read(replica->log, replica->snapshot_stream, offset, 0, 1, &slice, NULL) != 0)
        return NULL;
    Hs__SnapshotRecord *record = NULL;
    if (slice.records->len > 0) {
        const hs_log_record *raw = &g_array_index(slice.records, hs_log_record, 0);
        record = hs__snapshot_record__unpack(NULL, raw->length, raw->bytes);
    }
    hs_log_slice_clear(&slice);
    return record;
}

/** Builds the state of the snapshot closed by @p seal. Returns NULL if a part is missing. */
static hs_partition *read_snapshot(hs_replica *replica, const Hs__SnapshotSeal *seal) {
    hs_partition *state = hs_partition_new(replica->ended_retention_ms);
    for (uint32_t index = 0; index < seal->part_count; index++) {
        Hs__SnapshotRecord *record = read_snapshot_record(replica, seal->first_part_offset + index);
        bool usable = record != NULL && record->kind_case == HS__SNAPSHOT_RECORD__KIND_PART &&
                      g_str_equal(record->part->snapshot_id, seal->snapshot_id) &&
                      record->part->part_index == index &&
                      hs_snapshot_apply_part(state, record->part);
        if (record != NULL)
            hs__snapshot_record__free_unpacked(record, NULL);
        if (!usable) {
            hs_partition_free(state);
            return NULL;
        }
    }
    hs_snapshot_apply_seal(state, seal);
    return state;
}

/** Searches backwards from the end of the snapshot stream for a complete snapshot. */
static hs_partition *find_snapshot(hs_replica *replica, uint64_t end_offset) {
    uint64_t searched = 0;
    while (searched < MAX_SEAL_SEARCH_RECORDS && searched < end_offset) {
        Hs__SnapshotRecord *record = read_snapshot_record(replica, end_offset - 1 - searched);
        searched++;
        if (record == NULL)
            continue;
        hs_partition *state = NULL;
        if (record->kind_case == HS__SNAPSHOT_RECORD__KIND_SEAL)
            state = read_snapshot(replica, record->seal);
        hs__snapshot_record__free_unpacked(record, NULL);
        if (state != NULL)
            return state;
    }
    return NULL;
}

/** Replaces the state by the newest snapshot, unless a snapshot was searched for before. */
static int load_snapshot(hs_replica *replica, hs_error *error) {
    g_mutex_lock(&replica->lock);
    bool snapshot_loaded = replica->snapshot_loaded;
    g_mutex_unlock(&replica->lock);
    if (snapshot_loaded)
        return 0;
    uint64_t end_offset = 0;
    int result = hs_log_get_end_offset(replica->log, replica->snapshot_stream, &end_offset, error);
    if (result != 0)
        return result;
    hs_partition *state = find_snapshot(replica, end_offset);
    g_mutex_lock(&replica->lock);
    if (state != NULL && state->next_offset > replica->state->next_offset) {
        hs_partition_free(replica->state);
        replica->state = state;
        replica->snapshot_offset = state->next_offset;
        state = NULL;
    }
    replica->snapshot_loaded = true;
    g_mutex_unlock(&replica->lock);
    hs_partition_free(state);
    return 0;
}

/** Whether the stream had no records beyond the slice; false if that is not sure. */
static bool reaches_end(const hs_log_slice *slice) {
    uint64_t bytes = 0;
    for (guint index = 0; index < slice->records->len; index++)
        bytes += g_array_index(slice->records, hs_log_record, index).length;
    /* The platform ends a longer answer before a record that would exceed the maximum. */
    return slice->records->len == 0 || bytes < MAX_READ_BYTES / 2;
}

/** Applies an answer to a read that was sent at @p sent_ms. */
static void apply_slice(hs_replica *replica, const hs_log_slice *slice, uint64_t sent_ms) {
    g_mutex_lock(&replica->lock);
    for (guint index = 0; index < slice->records->len; index++) {
        const hs_log_record *raw = &g_array_index(slice->records, hs_log_record, index);
        Hs__PartitionRecord *record = hs__partition_record__unpack(NULL, raw->length, raw->bytes);
        hs_partition_apply(replica->state, raw->offset, record);
        if (record != NULL)
            hs__partition_record__free_unpacked(record, NULL);
    }
    if (reaches_end(slice))
        replica->current_ms = MAX(replica->current_ms, sent_ms);
    g_mutex_unlock(&replica->lock);
}

uint64_t hs_replica_age_ms(hs_replica *replica) {
    g_mutex_lock(&replica->lock);
    uint64_t current_ms = replica->current_ms;
    g_mutex_unlock(&replica->lock);
    return current_ms != 0 ? hs_clock_monotonic_ms() - current_ms : UINT64_MAX;
}

int hs_replica_poll(hs_replica *replica, uint32_t wait_ms, uint32_t *applied, hs_error *error) {
    int result = load_snapshot(replica, error);
    if (result != 0)
        return result;
    uint64_t sent_ms = hs_clock_monotonic_ms();
    g_mutex_lock(&replica->lock);
    replica->last_read_ms = sent_ms;
    uint64_t offset = replica->state->next_offset;
    g_mutex_unlock(&replica->lock);
    hs_log_slice slice;
    result =
        hs_log_read(replica->log, replica->stream, offset, wait_ms, MAX_READ_BYTES, &slice, error);
    if (result != 0)
        return result;
    apply_slice(replica, &slice, sent_ms);
    *applied = slice.records->len;
    hs_log_slice_clear(&slice);
    return 0;
}

bool hs_replica_evict_idle(hs_replica *replica, uint64_t now_ms, uint64_t idle_ms) {
    g_mutex_lock(&replica->lock);
    bool idle = replica->snapshot_loaded && now_ms > replica->last_read_ms + idle_ms;
    if (idle) {
        hs_partition_free(replica->state);
        replica->state = hs_partition_new(replica->ended_retention_ms);
        replica->current_ms = 0;
        replica->snapshot_loaded = false;
        replica->snapshot_offset = 0;
    }
    g_mutex_unlock(&replica->lock);
    return idle;
}

int hs_replica_refresh(hs_replica *replica, hs_error *error) {
    uint32_t applied = 1;
    while (applied > 0) {
        int result = hs_replica_poll(replica, 0, &applied, error);
        if (result != 0)
            return result;
    }
    return 0;
}

int hs_replica_write_snapshot(hs_replica *replica, uint64_t min_records, hs_error *error) {
    g_autofree char *snapshot_id = hs_id_random("snapshot");
    g_mutex_lock(&replica->lock);
    uint64_t covered_offset = replica->state->next_offset;
    if (covered_offset < replica->snapshot_offset + min_records) {
        g_mutex_unlock(&replica->lock);
        return 0;
    }
    g_autoptr(GPtrArray) parts = hs_snapshot_encode_parts(replica->state, snapshot_id);
    g_autoptr(GByteArray) batch = g_byte_array_new();
    for (guint index = 0; index < parts->len; index++) {
        const GByteArray *part = parts->pdata[index];
        hs_log_frame_append(batch, part->data, part->len);
    }
    /* Encoded under the same lock as the parts, before their offset is known. */
    g_autoptr(GByteArray) seal = hs_snapshot_encode_seal(replica->state, snapshot_id, parts->len);
    g_mutex_unlock(&replica->lock);
    uint64_t first_offset = 0;
    if (parts->len > 0) {
        int result =
            hs_log_append(replica->log, replica->snapshot_stream, batch, &first_offset, error);
        if (result != 0)
            return result;
    }
    HS_FAULT_POINT("snapshot");
    g_autoptr(GByteArray) complete_seal = hs_snapshot_set_first_part(seal, first_offset);
    g_byte_array_set_size(batch, 0);
    hs_log_frame_append(batch, complete_seal->data, complete_seal->len);
    int result = hs_log_append(replica->log, replica->snapshot_stream, batch, &first_offset, error);
    if (result != 0)
        return result;
    g_mutex_lock(&replica->lock);
    replica->snapshot_offset = MAX(replica->snapshot_offset, covered_offset);
    g_mutex_unlock(&replica->lock);
    hs_log_info("snapshot_written", "partition=%u covered=%" G_GUINT64_FORMAT " parts=%u",
                replica->partition, covered_offset, parts->len);
    return 0;
}
