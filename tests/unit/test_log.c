/** @file test_log.c  Tests the lines of the log. */
#include "base/log.h"
#include "tests/unit/unit_tests.h"

#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define MAX_OUTPUT 1000

/** Logs @p key in a process of its own, as the log can be opened once; returns what it wrote. */
static size_t log_in_child(const char *key, char *output) {
    int ends[2];
    size_t length = 0;
    ssize_t count = 0;
    CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
    pid_t child = fork();
    if (child == 0) {
        dup2(ends[1], STDOUT_FILENO);
        hs_log_open("own", G_LOG_LEVEL_INFO);
        hs_log_warning("record_rejected", "key=%s reason=odd", key);
        _exit(0);
    }
    close(ends[1]);
    while ((count = read(ends[0], output + length, MAX_OUTPUT - 1 - length)) > 0)
        length += (size_t)count;
    output[length] = '\0';
    close(ends[0]);
    waitpid(child, NULL, 0);
    return length;
}

/** Guards against a text of another writer that ends a line, and forges another. */
static void an_event_is_one_line_of_text(void) {
    static const struct {
        const char *key;
        const char *logged;
    } cases[] = {
        {"a", "a"},
        {"a\nts_ms=1 level=info", "a?ts_ms=1 level=info"},
        {"a\r\v\f\x1c\x1e\t\x1b[2J\x7f", "a???????[2J?"},
        {"a\xc2\x85\xe2\x80\xa8\xe2\x80\xa9z", "a???z"},
        {"a\xff\xc3", "a??"},
        {"\xc3\xa9\xf0\x9f\x98\x80", "\xc3\xa9\xf0\x9f\x98\x80"},
    };
    for (size_t index = 0; index < G_N_ELEMENTS(cases); index++) {
        char output[MAX_OUTPUT];
        size_t length = log_in_child(cases[index].key, output);
        g_autofree char *end =
            g_strdup_printf("level=warning instance=own event=record_rejected key=%s reason=odd\n",
                            cases[index].logged);
        CU_ASSERT_TRUE(g_str_has_prefix(output, "ts_ms="));
        CU_ASSERT_TRUE(g_str_has_suffix(output, end));
        CU_ASSERT_PTR_EQUAL(strchr(output, '\n'), output + length - 1);
    }
}

const test_case log_tests[] = {
    {"an_event_is_one_line_of_text", an_event_is_one_line_of_text},
    {NULL, NULL},
};
