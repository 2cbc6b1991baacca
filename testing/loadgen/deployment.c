/// @file deployment.c
/// The deployment that load goes to.

#include "deployment.h"

#include <string.h>

#include "base/error.h"

bool
Stack_Init(struct stack *stack, const char *path, GError **error)
{
    json_error_t problem;
    stack->json = json_load_file(path, 0, &problem);
    if (stack->json == NULL) {
        g_set_error(error, CM_ERROR, CM_ERROR_INVALID, "%s: %s", path,
                    problem.text);
        return false;
    }
    return true;
}

void
Stack_Finish(struct stack *stack)
{
    json_decref(stack->json);
}

size_t
Stack_Count(const struct stack *stack, const char *list)
{
    return json_array_size(json_object_get(stack->json, list));
}

const char *
Stack_Address(const struct stack *stack, const char *list, size_t i)
{
    const char *text = json_string_value(
        json_array_get(json_object_get(stack->json, list), i));
    static const char prefix[] = "http://";
    if (text == NULL) {
        return "";
    }
    return g_str_has_prefix(text, prefix) ? text + strlen(prefix) : text;
}
