/**
 * @file tsan_glib.h
 * Annotates GLib's locks for ThreadSanitizer. The packaged GLib is not instrumented and uses
 * futexes directly, so ThreadSanitizer would report every access guarded by its locks as a race.
 * Included from the compiler's command line, only in the ThreadSanitizer build.
 */
#ifndef TESTS_SUPPORT_TSAN_GLIB_H
#define TESTS_SUPPORT_TSAN_GLIB_H

#include <glib.h>

void __tsan_acquire(void *address);
void __tsan_release(void *address);

#define g_mutex_lock(mutex)                                                                        \
    __extension__({                                                                                \
        GMutex *locked_mutex = (mutex);                                                            \
        (g_mutex_lock)(locked_mutex);                                                              \
        __tsan_acquire(locked_mutex);                                                              \
    })
#define g_mutex_trylock(mutex)                                                                     \
    __extension__({                                                                                \
        GMutex *locked_mutex = (mutex);                                                            \
        gboolean was_free = (g_mutex_trylock)(locked_mutex);                                       \
        if (was_free)                                                                              \
            __tsan_acquire(locked_mutex);                                                          \
        was_free;                                                                                  \
    })
#define g_mutex_unlock(mutex)                                                                      \
    __extension__({                                                                                \
        GMutex *locked_mutex = (mutex);                                                            \
        __tsan_release(locked_mutex);                                                              \
        (g_mutex_unlock)(locked_mutex);                                                            \
    })
#define g_cond_wait(cond, mutex)                                                                   \
    __extension__({                                                                                \
        GMutex *waiting_mutex = (mutex);                                                           \
        __tsan_release(waiting_mutex);                                                             \
        (g_cond_wait)((cond), waiting_mutex);                                                      \
        __tsan_acquire(waiting_mutex);                                                             \
    })
#define g_cond_wait_until(cond, mutex, until)                                                      \
    __extension__({                                                                                \
        GMutex *waiting_mutex = (mutex);                                                           \
        __tsan_release(waiting_mutex);                                                             \
        gboolean woken = (g_cond_wait_until)((cond), waiting_mutex, (until));                      \
        __tsan_acquire(waiting_mutex);                                                             \
        woken;                                                                                     \
    })

#endif
