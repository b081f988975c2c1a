/** @file member_record.c  See member_record.h. */
#include "membership/member_record.h"

void hs_member_record_free(gpointer data) {
    Hs__MemberRecord *record = data;
    for (size_t index = 0; index < record->n_owned; index++)
        g_free(record->owned[index]);
    g_free(record->owned);
    for (size_t index = 0; index < record->n_leaving_engines; index++)
        g_free(record->leaving_engines[index]);
    g_free(record->leaving_engines);
    g_free(record->id);
    g_free(record->zone);
    g_free(record->region);
    g_free(record);
}

static Hs__MemberState wire_state(hs_member_state state) {
    switch (state) {
    case HS_MEMBER_SUSPECT:
        return HS__MEMBER_STATE__MEMBER_SUSPECT;
    case HS_MEMBER_LEAVING:
        return HS__MEMBER_STATE__MEMBER_LEAVING;
    case HS_MEMBER_DEAD:
        return HS__MEMBER_STATE__MEMBER_DEAD;
    default:
        return HS__MEMBER_STATE__MEMBER_ALIVE;
    }
}

Hs__MemberRecord *hs_member_record_new(const hs_member *member) {
    Hs__MemberRecord *record = g_new(Hs__MemberRecord, 1);
    hs__member_record__init(record);
    record->id = g_strdup(member->id);
    record->zone = g_strdup(member->zone);
    record->region = g_strdup(member->region);
    record->incarnation = member->incarnation;
    record->version = member->version;
    record->state = wire_state(member->state);
    record->address = member->address;
    record->peer_port = member->peer_port;
    record->admin_port = member->admin_port;
    record->config_offset = member->config_offset;
    record->cores_permille = member->size.cores_permille;
    record->memory_mb = member->size.memory_mb;
    record->descriptors = member->size.descriptors;
    record->link_kbps = member->size.link_kbps;
    record->taken_percent = member->size.utilisation_percent;
    record->relays_state = member->relays_state;
    record->is_starting = member->is_starting;
    record->reports_ends = member->reports_ends;
    record->n_leaving_engines = member->leaving_engines->len;
    record->leaving_engines = g_new0(char *, member->leaving_engines->len);
    for (guint index = 0; index < member->leaving_engines->len; index++)
        record->leaving_engines[index] = g_strdup(member->leaving_engines->pdata[index]);
    record->n_owned = member->owned->len;
    record->owned = g_new0(Hs__OwnedPartition *, member->owned->len);
    for (guint index = 0; index < member->owned->len; index++) {
        const hs_owned_partition *owned = &g_array_index(member->owned, hs_owned_partition, index);
        record->owned[index] = g_new(Hs__OwnedPartition, 1);
        hs__owned_partition__init(record->owned[index]);
        record->owned[index]->partition = owned->partition;
        record->owned[index]->epoch = owned->epoch;
        record->owned[index]->has_ready_items = owned->has_ready_items;
    }
    return record;
}
