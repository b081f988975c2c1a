/** @file interrupt.c  See interrupt.h. */
#include "base/interrupt.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#define NO_DESCRIPTOR (-1)

void hs_interrupt_init(hs_interrupt *interrupt) {
    g_mutex_init(&interrupt->lock);
    interrupt->cause = HS_INTERRUPT_NONE;
    interrupt->descriptor = NO_DESCRIPTOR;
}

void hs_interrupt_clear(hs_interrupt *interrupt) {
    hs_interrupt_close_descriptor(interrupt);
    g_mutex_clear(&interrupt->lock);
}

/** Makes the descriptor readable, or not, if there is one. The caller holds the lock. */
static void set_descriptor_readable(hs_interrupt *interrupt, bool readable) {
    if (interrupt->descriptor == NO_DESCRIPTOR)
        return;
    eventfd_t count = 0;
    if (readable)
        eventfd_write(interrupt->descriptor, 1);
    else
        eventfd_read(interrupt->descriptor, &count);
}

bool hs_interrupt_raise(hs_interrupt *interrupt, hs_interrupt_cause cause) {
    g_mutex_lock(&interrupt->lock);
    bool is_higher = (gint)cause > interrupt->cause;
    if (is_higher && interrupt->cause == HS_INTERRUPT_NONE)
        set_descriptor_readable(interrupt, true);
    if (is_higher)
        g_atomic_int_set(&interrupt->cause, (gint)cause);
    g_mutex_unlock(&interrupt->lock);
    return is_higher;
}

bool hs_interrupt_withdraw(hs_interrupt *interrupt, hs_interrupt_cause cause) {
    g_mutex_lock(&interrupt->lock);
    bool is_current = interrupt->cause == (gint)cause && cause != HS_INTERRUPT_NONE;
    if (is_current) {
        set_descriptor_readable(interrupt, false);
        g_atomic_int_set(&interrupt->cause, HS_INTERRUPT_NONE);
    }
    g_mutex_unlock(&interrupt->lock);
    return is_current;
}

hs_interrupt_cause hs_interrupt_get(hs_interrupt *interrupt) {
    return (hs_interrupt_cause)g_atomic_int_get(&interrupt->cause);
}

int hs_interrupt_descriptor(hs_interrupt *interrupt) {
    int known = g_atomic_int_get(&interrupt->descriptor);
    if (known != NO_DESCRIPTOR)
        return known;
    g_mutex_lock(&interrupt->lock);
    if (interrupt->descriptor == NO_DESCRIPTOR) {
        g_atomic_int_set(&interrupt->descriptor, eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
        if (interrupt->cause != HS_INTERRUPT_NONE)
            set_descriptor_readable(interrupt, true);
    }
    int descriptor = interrupt->descriptor;
    g_mutex_unlock(&interrupt->lock);
    return descriptor;
}

void hs_interrupt_close_descriptor(hs_interrupt *interrupt) {
    g_mutex_lock(&interrupt->lock);
    if (interrupt->descriptor != NO_DESCRIPTOR)
        close(interrupt->descriptor);
    g_atomic_int_set(&interrupt->descriptor, NO_DESCRIPTOR);
    g_mutex_unlock(&interrupt->lock);
}

bool hs_interrupt_wait(hs_interrupt *interrupt, uint64_t time_ms) {
    struct pollfd polled = {.fd = hs_interrupt_descriptor(interrupt), .events = POLLIN};
    poll(&polled, 1, (int)time_ms);
    return hs_interrupt_get(interrupt) != HS_INTERRUPT_NONE;
}
