/** @file stop_admission.c  See stop_admission.h. */
#include "online/stop_admission.h"

#define MAX_LONGER_SHARE 0.5
#define FEW_RUNS 20
#define FEW_RUNS_DIVISOR 4

uint64_t hs_stop_admission_late_limit_ms(uint64_t left_ms, uint32_t count) {
    return count < FEW_RUNS ? left_ms / FEW_RUNS_DIVISOR : left_ms;
}

bool hs_stop_admission_may_send(const hs_stop_admission_view *view) {
    if (view->left_ms == 0)
        return false;
    if (view->request_left_ms <= view->left_ms)
        return true;
    if (view->is_accepting)
        return view->runs.longer_share <= MAX_LONGER_SHARE;
    return view->runs.count > 0 && view->runs.longer_share == 0;
}
