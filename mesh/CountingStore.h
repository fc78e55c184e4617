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

  void commit(const TableTransaction &Transaction, CommitDone OnDone) override;
  void readTable(const std::string &Table, ReadDone OnDone) override;
  void follow(const std::string &Table, RowVersion After, Duration Wait,
              FollowDone OnDone) override;

private:
  std::unique_ptr<Store> Counted;
  MeshMetrics &Counters;
};

} // namespace hemlockspar
