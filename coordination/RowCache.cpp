#include "coordination/RowCache.h"

#include <algorithm>

namespace hemlockspar {

void RowCache::apply(const RowBatch &Batch) {
  for (const TableRow &Row : Batch.Rows) {
    this->applyRow(Row);
  }

  bool Contiguous = Batch.Since <= this->Complete && Batch.Since <= Batch.Upto;
  if (Contiguous) {
    this->Complete = std::max(this->Complete, Batch.Upto);
  }
}

void RowCache::applyRow(const TableRow &Row) {
  TableRow &Current = this->Rows[Row.Key];
  if (Row.Version <= Current.Version) {
    return;
  }

  Current = Row;

  if (this->OnChange) {
    this->OnChange(Current);
  }
}

const TableRow *RowCache::find(const std::string &Key) const {
  auto It = this->Rows.find(Key);
  return It == this->Rows.end() ? nullptr : &It->second;
}

RowVersion RowCache::versionOf(const std::string &Key) const {
  const TableRow *Row = this->find(Key);
  return Row && Row->Value ? Row->Version : 0;
}

std::vector<const TableRow *>
RowCache::withPrefix(const std::string &Prefix) const {
  std::vector<const TableRow *> Found;

  for (auto It = this->Rows.lower_bound(Prefix);
       It != this->Rows.end() && It->first.starts_with(Prefix); ++It) {
    if (It->second.Value) {
      Found.push_back(&It->second);
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
