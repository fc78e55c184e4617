#pragma once

#include "coordination/InstanceDirectory.h"
#include "coordination/MemberActions.h"
#include "coordination/Timing.h"

#include <algorithm>
#include <random>

namespace hemlockspar {

/// Who this process is.
struct MemberIdentity {
  InstanceId Instance;
  hemlockspar::Incarnation Incarnation = 0;
  std::string Region;
  std::string DataCenter;
  Endpoints Addresses;
};

/// What the parts of a member share: identity, the copy of the table, and the
/// ways to the outside.
struct MemberContext {
  MemberContext(MemberIdentity Identity, Timing Times, MemberActions &Actions,
                std::uint64_t Seed)
      : Identity(std::move(Identity)), Times(Times), Actions(Actions),
        Table(this->Cache, Actions, Times), Random(Seed) {}

  MemberContext(const MemberContext &) = delete;
  MemberContext &operator=(const MemberContext &) = delete;

  const InstanceDirectory::Instance *self() const {
    return this->Directory.find(this->Identity.Instance);
  }

  /// A random span from zero to \p Longest.
  Duration randomDuration(Duration Longest) {
    std::uniform_int_distribution<Duration::rep> Spread(0, Longest.count());
    return Duration(Spread(this->Random));
  }

  /// How long to wait after a table write that failed. The more instances
  /// there are, the longer they spread their tries, since all that start at
  /// once or claim from one pool would otherwise keep the table busy with
  /// writes that fail.
  Duration retryDelay() {
    constexpr std::size_t InstancesPerRetry = 8;
    auto Crowd = static_cast<Duration::rep>(std::max<std::size_t>(
        this->Directory.liveCount() / InstancesPerRetry, 1));
    return this->randomDuration(this->Times.TableRetryDelay * Crowd);
  }

  MemberIdentity Identity;
  Timing Times;
  MemberActions &Actions;
  RowCache Cache;
  InstanceDirectory Directory;
  TableClient Table;
  std::mt19937_64 Random;
};

} // namespace hemlockspar
