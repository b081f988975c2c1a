/** @file stop_self_test.c  Cases of the self-test: answers that are cut by the stop of a daemon. */
#include "base/clock.h"
#include "tests/soak/checks.h"
#include "tests/soak/faults.h"
#include "tests/soak/self_test.h"
#include "tests/soak/soak.h"

#define REQUEST "r1-0.0"
#define GRACE_MS 6000

/** Records a stop that began @p past_ms ago. Returns the time of its signal. */
static uint64_t record_stop(uint64_t past_ms) {
    uint64_t signal_ms = hs_clock_monotonic_ms() - past_ms;
    soak_record_stop(&(soak_stop){.daemon = 0,
                                  .acquiring_ms = signal_ms,
                                  .signal_ms = signal_ms,
                                  .exit_ms = signal_ms + GRACE_MS});
    return signal_ms;
}

static stop_request make_request(uint64_t sent_ms, uint64_t ended_ms) {
    return (stop_request){.id = REQUEST,
                          .target = "/plain/x",
                          .status = 200,
                          .is_kept = true,
                          .begun_ms = sent_ms,
                          .sent_ms = sent_ms,
                          .ended_ms = ended_ms};
}

/** Checks a request, which @p counter must count; NULL: none. */
static void check_request(const stop_request *request, const uint32_t *counter) {
    soak_record_stop_request(request, "");
    soak_check_stop_requests();
    if (counter != NULL && *counter != 1)
        soak_report_violation("the request was not counted");
}

/** The engine's work ends late in the stop, and the answer is cut then. */
static void plant_cut(uint64_t sent_after_ms, uint64_t ended_after_ms, const uint32_t *counter) {
    uint64_t signal_ms = record_stop(5600);
    soak_run_repeatedly(REQUEST, 1);
    stop_request request = make_request(signal_ms + sent_after_ms, signal_ms + ended_after_ms);
    check_request(&request, counter);
}

/** Sent 3.1 s after the signal; without the fault, 2.9 s. */
static void plant_cut_of_late_request(bool with_fault) {
    plant_cut(with_fault ? 3100 : 2900, 5500, with_fault ? NULL : &record.stop_cuts_excused);
}

/** Cut 4.9 s after the signal; without the fault, 5.1 s. */
static void plant_early_cut(bool with_fault) {
    plant_cut(2000, with_fault ? 4900 : 5100, with_fault ? NULL : &record.stop_cuts_excused);
}

/** Complete answers are no cuts. */
static void plant_cut_of_served_request(bool with_fault) {
    uint64_t signal_ms = record_stop(5600);
    soak_run_repeatedly(REQUEST, 1);
    stop_request request = make_request(signal_ms + 3100, signal_ms + 5500);
    request.is_whole = !with_fault;
    check_request(&request, with_fault ? NULL : &record.stop_requests_judged);
}

/** The engine's work ended long before the cut; without the fault, in the last part. */
static void plant_cut_after_engine_work(bool with_fault) {
    uint64_t signal_ms = record_stop(with_fault ? 1000 : 5300);
    soak_run_repeatedly(REQUEST, 1);
    stop_request request = make_request(signal_ms + 500 + 1500, signal_ms + 5500);
    check_request(&request, with_fault ? NULL : &record.stop_cuts_excused);
}

/** The connection ended 300 ms after the request, which did not run; without the fault, 100 ms. */
static void plant_unanswered_request(bool with_fault) {
    uint64_t signal_ms = record_stop(GRACE_MS);
    stop_request request = make_request(signal_ms + 3500, signal_ms + (with_fault ? 3800 : 3600));
    request.status = 0;
    check_request(&request, with_fault ? NULL : &record.stop_requests_unread);
}

/** The same within 100 ms, but an engine ran the request; without the fault, another one. */
static void plant_unanswered_run(bool with_fault) {
    uint64_t signal_ms = record_stop(4000);
    soak_run_repeatedly(with_fault ? REQUEST : "r1-1.0", 1);
    stop_request request = make_request(signal_ms + 3500, signal_ms + 3600);
    request.status = 0;
    check_request(&request, with_fault ? NULL : &record.stop_requests_unread);
}

/** The connection ended 3.9 s after the start of the request; without the fault, at its deadline.
 */
static void plant_cut_before_deadline(bool with_fault) {
    uint64_t signal_ms = record_stop(1000);
    stop_request request = make_request(signal_ms - 1000, signal_ms + (with_fault ? 2900 : 3000));
    check_request(&request, with_fault ? NULL : &record.stop_cuts_excused);
}

/** Cuts an answer 4 s after the signal, after a target was held for a moment. */
static void plant_cut_beside(fault_target target, int index, bool with_fault) {
    soak_run_repeatedly(REQUEST, 1);
    soak_acquire_target(target, index);
    soak_release_target(target, index);
    uint64_t signal_ms = record_stop(4000);
    stop_request request = make_request(signal_ms + 3500, signal_ms + 4000);
    check_request(&request, with_fault ? NULL : &record.stop_cuts_near_faults);
}

/** The other engine has a fault; without the fault, this one. */
static void plant_cut_beside_engine_fault(bool with_fault) {
    plant_cut_beside(FAULT_ENGINE, with_fault, with_fault);
}

static void plant_cut_beside_link_fault(bool with_fault) {
    plant_cut_beside(FAULT_ENGINE_LINK, with_fault, with_fault);
}

/** The store has a fault; without the fault, the engine has. */
static void plant_cut_beside_store_fault(bool with_fault) {
    plant_cut_beside(with_fault ? FAULT_STORE : FAULT_ENGINE, 0, with_fault);
}

/** Another daemon was killed during the request, before the stop; without the fault, this one. */
static void plant_cut_after_other_kill(bool with_fault) {
    uint64_t begun_ms = hs_clock_monotonic_ms();
    soak_acquire_target(FAULT_PROCESS, with_fault);
    soak_release_target(FAULT_PROCESS, with_fault);
    hs_clock_sleep_ms(10);
    uint64_t signal_ms = record_stop(0);
    soak_run_repeatedly(REQUEST, 1);
    stop_request request = make_request(begun_ms, signal_ms + 200);
    check_request(&request, with_fault ? NULL : &record.stop_cuts_near_faults);
}

/** The request ended during the stop of its daemon; without the fault, of another. */
static void plant_cut_at_stopping_daemon(bool with_fault) {
    uint64_t signal_ms = record_stop(4000);
    soak_run_repeatedly(REQUEST, 1);
    stop_request request = make_request(signal_ms + 3500, signal_ms + 4100);
    request.daemon = !with_fault;
    check_request(&request, NULL);
}

static void record_stream(const char *text) {
    stop_request request = make_request(hs_clock_monotonic_ms(), hs_clock_monotonic_ms());
    request.target = "/once/x";
    request.is_whole = true;
    soak_record_stop_request(&request, text);
}

/** A stream lacks its last event; without the fault, it has it. */
static void plant_short_unframed_stream(bool with_fault) {
    record_stream(with_fault ? "id: 11\ndata: x\n\n" : "id: 12\ndata: x\n\n");
    soak_check_stop_requests();
}

/** A stream lacks its last event while the daemon stops; without the fault, it is killed. */
static void plant_short_stream_in_stop(bool with_fault) {
    if (with_fault)
        record_stop(1);
    soak_acquire_target(FAULT_PROCESS, 0);
    record_stream("id: 11\ndata: x\n\n");
    soak_release_target(FAULT_PROCESS, 0);
    soak_check_stop_requests();
}

const planted_fault soak_stop_faults[] = {
    {"cut of a request sent late in a stop", plant_cut_of_late_request, "was cut by a stop"},
    {"cut long before the end of the grace time", plant_early_cut, "was cut by a stop"},
    {"cut of an answer that is not complete", plant_cut_of_served_request, "was cut by a stop"},
    {"cut after the engine's work", plant_cut_after_engine_work, "was cut by a stop"},
    {"unanswered request in a stop", plant_unanswered_request, "was cut by a stop"},
    {"unanswered request that ran in a stop", plant_unanswered_run, "was cut by a stop"},
    {"cut before the deadline", plant_cut_before_deadline, "was cut by a stop"},
    {"cut beside a fault of another engine", plant_cut_beside_engine_fault, "was cut by a stop"},
    {"cut beside a fault of another link", plant_cut_beside_link_fault, "was cut by a stop"},
    {"cut beside a fault of the store", plant_cut_beside_store_fault, "was cut by a stop"},
    {"cut after a kill of another daemon", plant_cut_after_other_kill, "was cut by a stop"},
    {"cut at the daemon that stops", plant_cut_at_stopping_daemon, "was cut by a stop"},
    {"short unframed stream", plant_short_unframed_stream, "without its last event"},
    {"short unframed stream in a stop", plant_short_stream_in_stop, "without its last event"},
    {NULL, NULL, NULL}};
