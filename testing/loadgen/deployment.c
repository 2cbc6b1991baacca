/// @file deployment.c
/// Reader of the addresses file of scripts/devstack.

#include "deployment.h"

#include <string.h>

#include "base/error.h"

bool
Deployment_Init(struct deployment *deployment, const char *path,
                GError **error)
{
    json_error_t problem;
    deployment->json = json_load_file(path, 0, &problem);
    if (deployment->json == NULL) {
        g_set_error(error, CM_ERROR, CM_ERROR_INVALID, "%s: %s", path,
                    problem.text);
        return false;
    }
    return true;
}

void
Deployment_Finish(struct deployment *deployment)
{
    json_decref(deployment->json);
}

size_t
Deployment_AddressCount(const struct deployment *deployment, const char *list)
{
    return json_array_size(json_object_get(deployment->json, list));
}

const char *
Deployment_Address(const struct deployment *deployment, const char *list,
                   size_t i)
{
    const char *text = json_string_value(
        json_array_get(json_object_get(deployment->json, list), i));
    static const char prefix[] = "http://";
    if (text == NULL) {
        return "";
    }
    return g_str_has_prefix(text, prefix) ? text + strlen(prefix) : text;
}
