/// @file json_fuzz.c
/// Fuzz target: objects of the platform, as a damaged store may give them.

#include <stddef.h>
#include <stdint.h>

#include "platform/objects.h"
#include "revision/head.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    json_t *object = json_loadb((const char *)data, size, 0, NULL);
    json_t *spec = CmObject_Spec(object);
    CmObject_Version(object);
    struct cm_config_head head;
    CmConfigHead_Init(&head, spec);
    CmConfigHead_Finish(&head);
    CmConfigHead_FindToken(spec, "token");
    struct cm_chunks chunks;
    CmChunks_Init(&chunks, (const char *)data, size);
    json_t *next = CmConfigHead_NextSpec(spec, &chunks, (const char *)data,
                                         size, "token");
    g_ptr_array_free(CmConfigHead_ListExpiredChunks(spec, next), TRUE);
    json_decref(next);
    CmChunks_Finish(&chunks);
    json_decref(object);
    return 0;
}
