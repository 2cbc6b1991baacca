/// @file error.c
/// Error domain for GError.

#include "base/error.h"

GQuark
CmError_Quark(void)
{
    return g_quark_from_static_string("coriandermoor");
}
