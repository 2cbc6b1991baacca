/// @file head.c
/// Access to the header fields of a message.

#include <string.h>

#include "h1/conn.h"

size_t
CmH1Head_Count(const struct cm_h1_head *head)
{
    return head->fields->len;
}

const char *
CmH1Head_Field(const struct cm_h1_head *head, size_t i, const char **value)
{
    const struct cm_h1_field *field =
        &g_array_index(head->fields, struct cm_h1_field, i);
    *value = head->text->str + field->value;
    return head->text->str + field->name;
}

const char *
CmH1Head_Find(const struct cm_h1_head *head, const char *name)
{
    for (size_t i = 0; i < CmH1Head_Count(head); i++) {
        const char *value;
        const char *field_name = CmH1Head_Field(head, i, &value);
        if (g_ascii_strcasecmp(field_name, name) == 0) {
            return value;
        }
    }
    return NULL;
}

/// @return whether the comma-separated `list` contains `name`, in any letter
/// case.
static bool
list_contains(const char *list, const char *name)
{
    size_t length = strlen(name);
    while (*list != '\0') {
        list += strspn(list, " \t,");
        size_t item = strcspn(list, " \t,");
        if (item == length && g_ascii_strncasecmp(list, name, item) == 0) {
            return true;
        }
        list += item;
    }
    return false;
}

bool
CmH1Head_IsHopByHop(const struct cm_h1_head *head, const char *name)
{
    static const char *const hop_by_hop_names[] = {
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Proxy-Authenticate",
        "Proxy-Authorization",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(hop_by_hop_names); i++) {
        if (g_ascii_strcasecmp(hop_by_hop_names[i], name) == 0) {
            return true;
        }
    }
    const char *connection = CmH1Head_Find(head, "Connection");
    return connection != NULL && list_contains(connection, name);
}
