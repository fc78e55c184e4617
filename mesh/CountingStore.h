#pragma once

#include "mesh/MeshMetrics.h"
#include "mesh/Store.h"

#include <memory>

namespace hemlockspar {

/// Wraps a store and counts its calls by kind and table, since the platform
/// bills each call.
class CountingStore : public Store {
public:
  CountingStore(std::unique_ptr<Store> Wrapped, MeshMetrics &Counters);

  void commit(const TableTransaction &Transaction,
              CommitCallback OnDone) override;
  void readTable(const std::string &Table, ReadCallback OnDone) override;
  void follow(const std::string &Table, RowVersion After, Duration Wait,
              FollowCallback OnDone) override;

private:
  std::unique_ptr<Store> Wrapped;
  MeshMetrics &Counters;
};

} // namespace hemlockspar
