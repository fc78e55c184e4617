#pragma once

#include "coordination/InstanceDirectory.h"
#include "coordination/MemberActions.h"
#include "coordination/Timing.h"

#include <algorithm>
#include <random>

namespace hemlockspar {

/// Identity of this process.
struct MemberIdentity {
  InstanceId Instance;
  hemlockspar::Incarnation Incarnation = 0;
  std::string Region;
  std::string DataCenter;
  Endpoints Addresses;
};

/// State shared by the parts of a member: identity, cached table rows and
/// outgoing actions.
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

  /// A uniformly distributed random duration from zero to \p Longest.
  Duration randomDuration(Duration Longest) {
    std::uniform_int_distribution<Duration::rep> Distribution(0,
                                                              Longest.count());
    return Duration(Distribution(this->Random));
  }

  /// Random delay before a failed table write is retried. Its upper bound grows
  /// with the number of instances: when many start at once or claim from the
  /// same pool, their retries would otherwise keep conflicting.
  Duration retryDelay() {
    constexpr std::size_t InstancesPerRetry = 8;
    auto InstanceFactor = static_cast<Duration::rep>(std::max<std::size_t>(
        this->Directory.liveCount() / InstancesPerRetry, 1));
    return this->randomDuration(this->Times.TableRetryDelay * InstanceFactor);
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
