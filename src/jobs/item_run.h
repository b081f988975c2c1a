/**
 * @file item_run.h
 * One try to run one batch item at one engine. What is already there of its output is kept, so
 * that the next try goes on after the last whole event.
 */
#ifndef HS_JOBS_ITEM_RUN_H
#define HS_JOBS_ITEM_RUN_H

#include "fleet/config_source.h"
#include "fleet/engine_attempt.h"
#include "jobs/job_partition.h"
#include "online/event_stream.h"

/** How a try ended. */
typedef enum {
    HS_ITEM_TRY_DONE,       /**< The whole output is there. */
    HS_ITEM_TRY_NO_ROOM,    /**< No engine has room now. */
    HS_ITEM_TRY_REFUSED,    /**< An engine refused; it did not run. */
    HS_ITEM_TRY_BROKEN,     /**< The run broke; it can go on elsewhere. */
    HS_ITEM_TRY_FAILED,     /**< The engine answered that it failed. */
    HS_ITEM_TRY_IMPOSSIBLE, /**< The engine answered that it can never be done. */
    HS_ITEM_TRY_NO_CONTENT, /**< The content could not be read now. */
    HS_ITEM_TRY_HELD_BACK,  /**< Engines crash under it: it is to be sent to none for a while. */
    HS_ITEM_TRY_NO_ROUTE,   /**< No route allows it now. */
    HS_ITEM_TRY_YIELDED,    /**< It stepped aside for online requests. */
    HS_ITEM_TRY_ABANDONED,
} hs_item_try;

/** An item on its way; kept from try to try by its owner. */
typedef struct {
    char *job_id;
    char *host;
    char *tenant; /**< Whose job it is of; NULL: nobody's. */
    char *item_id;
    uint32_t index;
    uint32_t tokens; /**< Its size: the prompt and the most it may make. */
    uint64_t content_offset;
    uint32_t content_bytes;
    Hs__JobItemContent *content; /**< NULL until read. */
    hs_event_stream events;
    GPtrArray *texts;       /**< of GString*, one an event. */
    hs_interrupt interrupt; /**< Raised to end a try. */
    uint64_t writer;        /**< By chance; see hs_job_progress. */
    uint64_t base_event;    /**< Last event of what an owner before had made; 0: nothing. */
    uint64_t stored_event;  /**< Last event of what was given to be stored; 0: nothing. */
    guint stored_texts;     /**< Pieces of texts that hold it. */
    uint64_t next_checkpoint_ms;
    uint64_t give_up_ms; /**< Monotonic time after which an engine need not go on. */
    bool is_on_trial;    /**< Held back, it may be sent once, and has not been yet. */
    char engine_id[64];  /**< Of the latest try, */
    bool was_sent;       /**< which went out to it, or may have. */
    uint64_t try_events; /**< Taken in the latest try, */
    uint64_t try_ms;     /**< in so long, from the first one. */
} hs_item_run;

hs_item_run *hs_item_run_new(const hs_job *job, uint32_t index);
void hs_item_run_free(hs_item_run *run);

/** Its output so far: the data of all events, separated by line feeds. Free with g_string_free. */
GString *hs_item_run_text(const hs_item_run *run);

/**
 * What is to be stored where @p known_event is the last one that the store has: what follows it, or
 * all. Free the text.
 */
hs_job_progress hs_item_run_progress(hs_item_run *run, uint64_t known_event);

/** What a try needs. All borrowed. */
typedef struct {
    hs_job_partition *partition;
    hs_fleet_engines *engines;
    const hs_fleet_config *config;
    int32_t rank_ms;                                       /**< See hs_engine_query. */
    void (*checkpoint)(hs_item_run *run, void *user_data); /**< Called as events come. */
    void *user_data;
} hs_item_try_terms;

/** Try once; blocks as long as the engine streams. */
hs_item_try hs_item_run_try(hs_item_run *run, const hs_item_try_terms *terms);

const char *hs_item_try_name(hs_item_try end);

#endif
