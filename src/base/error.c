/** @file error.c  See heathsail/error.h. */
#include "heathsail/error.h"

#include <stdarg.h>
#include <stdio.h>

int hs_error_set(hs_error *error, hs_layer layer, int code, const char *format, ...) {
    if (error == NULL)
        return code;
    error->layer = layer;
    error->code = code;
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(error->message, sizeof error->message, format, arguments);
    va_end(arguments);
    return code;
}

int hs_error_wrap(hs_error *error, hs_layer layer, int code, const hs_error *cause) {
    return hs_error_set(error, layer, code, "%.200s", cause->message);
}
