/**
 * @file machine_load.h
 * How much of its machine is taken, by how late a short pause ends there, or by its memory. Pure.
 *
 * A thread that is ready and does not run is what callers feel, whatever takes the processor: this
 * daemon, another program, or a machine that runs slower than it says.
 */
#ifndef HS_DIRECTORY_MACHINE_LOAD_H
#define HS_DIRECTORY_MACHINE_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/** Zero-initialise. */
typedef struct {
    double late_ms;          /**< How late pauses end: mean of about the last second, in ms. */
    uint32_t memory_percent; /**< Taken of the memory for others; set by the owner. */
    uint32_t told_percent;   /**< As the other daemons were told last. */
    uint64_t told_ms;        /**< When told_percent changed last. */
} hs_machine_load;

/** A pause ended @p late_ms after its time. */
void hs_machine_load_note(hs_machine_load *load, double late_ms);

/**
 * Part of the machine that is taken, in percent and in coarse steps that change seldom: each
 * change is told to all daemons.
 */
uint32_t hs_machine_load_taken_percent(hs_machine_load *load, uint64_t now_ms);

#endif
