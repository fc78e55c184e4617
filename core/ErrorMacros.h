#pragma once

#include "core/Log.h"

/// Checks a precondition: if the failure condition \p Condition is true, logs
/// it with its source location and returns from the function.
#define HS_FAIL_COND(Condition)                                                \
  do {                                                                         \
    if (Condition) {                                                           \
      ::hemlockspar::logCheckFailure(#Condition, __func__, __FILE__,           \
                                     __LINE__);                                \
      return;                                                                  \
    }                                                                          \
  } while (false)

/// As HS_FAIL_COND, but returns \p Value from the function.
#define HS_FAIL_COND_V(Condition, Value)                                       \
  do {                                                                         \
    if (Condition) {                                                           \
      ::hemlockspar::logCheckFailure(#Condition, __func__, __FILE__,           \
                                     __LINE__);                                \
      return Value;                                                            \
    }                                                                          \
  } while (false)
