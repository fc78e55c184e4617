#pragma once

#include "mesh/MeshMetrics.h"
#include "mesh/Store.h"

#include <memory>

namespace hemlockspar {

/// A store whose calls are counted by kind and table: on the operators'
/// platform each call has a price.
class CountingStore : public Store {
public:
  CountingStore(std::unique_ptr<Store> Counted, MeshMetrics &Counters);

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
