/// @file error.h
/// Error domain and codes for GError.

#ifndef BASE_ERROR_H
#define BASE_ERROR_H

#include <glib.h>

#define CM_ERROR (CmError_Quark())

enum cm_error_code {
    CM_ERROR_IO,        ///< the peer is unreachable or the connection failed
    CM_ERROR_INVALID,   ///< the input is malformed
    CM_ERROR_CONFLICT,  ///< the stored revision is not the one required
    CM_ERROR_NOT_FOUND, ///< the object does not exist
    CM_ERROR_LIMIT,     ///< a limit is exceeded
    CM_ERROR_INDETERMINATE, ///< the call may or may not have taken effect
};

/// @return the error domain of this project.
GQuark
CmError_Quark(void);

#endif
