#pragma once

#include "core/Log.h"

/// Checks that a precondition holds; when \p Condition is true the failure is
/// logged with its place and the function returns.
#define HS_FAIL_COND(Condition)                                                \
  do {                                                                         \
    if (Condition) {                                                           \
      ::hemlockspar::logCheckFailure(#Condition, __func__, __FILE__,           \
                                     __LINE__);                                \
      return;                                                                  \
    }                                                                          \
  } while (false)

/// As HS_FAIL_COND, for functions that return a value.
#define HS_FAIL_COND_V(Condition, Value)                                       \
  do {                                                                         \
    if (Condition) {                                                           \
      ::hemlockspar::logCheckFailure(#Condition, __func__, __FILE__,           \
                                     __LINE__);                                \
      return Value;                                                            \
    }                                                                          \
  } while (false)
