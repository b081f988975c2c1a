/**
 * @file interrupt.h
 * A word from one thread to another that waits on sockets: stop, or step aside. The waiter polls
 * the interrupt's descriptor beside its own, so that the word arrives at once and costs no
 * periodic look.
 */
#ifndef HS_BASE_INTERRUPT_H
#define HS_BASE_INTERRUPT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** What is asked; a higher one replaces a lower one. */
typedef enum {
    HS_INTERRUPT_NONE,
    HS_INTERRUPT_YIELD, /**< Step aside; may be withdrawn, to go on later. */
    HS_INTERRUPT_STOP,  /**< For good. */
} hs_interrupt_cause;

typedef struct {
    GMutex lock;
    hs_interrupt_cause cause;
    int descriptor; /**< Readable while a cause stands; -1 until somebody waits. */
} hs_interrupt;

void hs_interrupt_init(hs_interrupt *interrupt);
void hs_interrupt_clear(hs_interrupt *interrupt);

/** Ask; false when as much was asked before. Any thread. */
bool hs_interrupt_raise(hs_interrupt *interrupt, hs_interrupt_cause cause);

/** Take @p cause back; false when it is not what stands. */
bool hs_interrupt_withdraw(hs_interrupt *interrupt, hs_interrupt_cause cause);

hs_interrupt_cause hs_interrupt_get(hs_interrupt *interrupt);

/** Descriptor to poll for input; -1 when none is to be had: look at the cause now and then. */
int hs_interrupt_descriptor(hs_interrupt *interrupt);

/** Give the descriptor back; nobody may be waiting. The cause stays. */
void hs_interrupt_release(hs_interrupt *interrupt);

/** Wait for @p time_ms or a cause; whether one stands. */
bool hs_interrupt_pause(hs_interrupt *interrupt, uint64_t time_ms);

#endif
