#include "coordination/RowCache.h"

#include <algorithm>

namespace hemlockspar {

void RowCache::apply(const RowBatch &Batch) {
  for (const TableRow &Row : Batch.Rows) {
    this->applyRow(Row);
  }

  bool JoinsOn = Batch.Since <= this->Complete && Batch.Since <= Batch.Upto;
  if (JoinsOn) {
    this->Complete = std::max(this->Complete, Batch.Upto);
  }
}

void RowCache::applyRow(const TableRow &Row) {
  TableRow &Known = this->Rows[Row.Key];
  if (Row.Version <= Known.Version) {
    return;
  }

  Known = Row;

  if (this->OnChange) {
    this->OnChange(Known);
  }
}

const TableRow *RowCache::find(const std::string &Key) const {
  auto Place = this->Rows.find(Key);
  return Place == this->Rows.end() ? nullptr : &Place->second;
}

RowVersion RowCache::versionOf(const std::string &Key) const {
  const TableRow *Row = this->find(Key);
  return Row && Row->Value ? Row->Version : 0;
}

std::vector<const TableRow *>
RowCache::withPrefix(const std::string &Prefix) const {
  std::vector<const TableRow *> Found;

  for (auto Place = this->Rows.lower_bound(Prefix);
       Place != this->Rows.end() && Place->first.starts_with(Prefix); ++Place) {
    if (Place->second.Value) {
      Found.push_back(&Place->second);
    }
  }

  return Found;
}

RowBatch RowCache::changesSince(RowVersion Since) const {
  RowBatch Batch;
  Batch.Since = Since;
  Batch.Upto = this->Complete;

  for (const auto &[Key, Row] : this->Rows) {
    if (Row.Version > Since) {
      Batch.Rows.push_back(Row);
    }
  }

  return Batch;
}

} // namespace hemlockspar
