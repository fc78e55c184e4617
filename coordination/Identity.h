#pragma once

#include <cstdint>
#include <string>

namespace hemlockspar {

/// Name of an instance; unique, from its settings.
using InstanceId = std::string;

/// Commit sequence number of the table service at which a row was last
/// written. Zero means that the row does not exist.
using RowVersion = std::uint64_t;

/// Distinguishes the processes that have run under one instance name; a later
/// process has a greater number.
using Incarnation = std::uint64_t;

/// Grows with every change of a slot's owner.
using FencingToken = std::uint64_t;

/// Index of a slot within its key space.
using SlotIndex = std::uint32_t;

} // namespace hemlockspar
