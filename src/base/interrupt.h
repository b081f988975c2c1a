/**
 * @file interrupt.h
 * A request from any thread to a thread that waits on sockets: to stop, or to be preempted. The
 * waiting thread polls the interrupt's descriptor together with the sockets. Thread-safe between
 * hs_interrupt_init and hs_interrupt_clear.
 */
#ifndef HS_BASE_INTERRUPT_H
#define HS_BASE_INTERRUPT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** The reason for an interrupt, in ascending order: a higher cause replaces a lower one. */
typedef enum {
    HS_INTERRUPT_NONE,
    HS_INTERRUPT_PREEMPT, /**< The work is preempted; can be withdrawn. */
    HS_INTERRUPT_STOP,    /**< The work ends. */
} hs_interrupt_cause;

/** Changed under the lock; read without it, since many threads may share an interrupt. */
typedef struct {
    GMutex lock;
    gint cause;      /**< A hs_interrupt_cause; atomic. */
    gint descriptor; /**< An eventfd, readable while a cause is set; -1: not created. Atomic. */
} hs_interrupt;

void hs_interrupt_init(hs_interrupt *interrupt);
/** Closes the descriptor and destroys the lock. */
void hs_interrupt_clear(hs_interrupt *interrupt);

/** Sets @p cause. Returns false if the same or a higher cause was set before. */
bool hs_interrupt_raise(hs_interrupt *interrupt, hs_interrupt_cause cause);

/** Removes @p cause. Returns false if the interrupt has another cause or none. */
bool hs_interrupt_withdraw(hs_interrupt *interrupt, hs_interrupt_cause cause);

/** Returns the current cause. */
hs_interrupt_cause hs_interrupt_get(hs_interrupt *interrupt);

/**
 * Returns the descriptor to poll for input, and creates it if needed. The interrupt owns it. -1 if
 * none can be created: the caller then has to check the cause periodically.
 */
int hs_interrupt_descriptor(hs_interrupt *interrupt);

/** Closes the descriptor and keeps the cause. No thread may be polling the descriptor. */
void hs_interrupt_close_descriptor(hs_interrupt *interrupt);

/** Waits until a cause is set, at most @p time_ms. Returns whether a cause is set. */
bool hs_interrupt_wait(hs_interrupt *interrupt, uint64_t time_ms);

#endif
