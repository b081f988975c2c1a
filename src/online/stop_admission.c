/** @file stop_admission.c  See stop_admission.h. */
#include "online/stop_admission.h"

#define MAX_LONGER_SHARE 0.5
/** The next request may well take longer than all of fewer ones did. */
#define MIN_RUNS 8

bool hs_stop_admission_may_send(const hs_stop_admission_view *view) {
    if (view->left_ms == 0)
        return false;
    if (view->request_left_ms <= view->left_ms)
        return true;
    if (view->is_accepting)
        return view->runs.longer_share <= MAX_LONGER_SHARE;
    return view->runs.count >= MIN_RUNS && view->runs.longer_share == 0;
}
