/// @file error.h
/// Error domain and codes for GError.

#ifndef BASE_ERROR_H
#define BASE_ERROR_H

#include <glib.h>

#define CM_ERROR (CmError_Quark())

enum cm_error_code {
    CM_ERROR_IO,        ///< the other end could not be reached or broke off
    CM_ERROR_INVALID,   ///< the input is not well formed
    CM_ERROR_CONFLICT,  ///< a conditional update met another revision
    CM_ERROR_NOT_FOUND, ///< the object does not exist
    CM_ERROR_LIMIT,     ///< a stated limit is reached
    CM_ERROR_INDETERMINATE, ///< the call may have taken effect or not
};

/// @return the domain of this project's errors.
GQuark
CmError_Quark(void);

#endif
