#include "coordination/Table.h"

#include "core/EnumNames.h"

namespace hemlockspar {

namespace {

constexpr std::array<const char *, 4> CommitOutcomeNames = {
    "committed", "conflict", "unknown", "not_run"};

} // namespace

const char *nameOf(CommitOutcome Outcome) {
  return enumName(CommitOutcomeNames, Outcome);
}

RowBatch writtenRows(const TableTransaction &Transaction, RowVersion Version) {
  RowBatch Batch;
  Batch.Since = Version - 1;
  Batch.Upto = Version;

  for (const RowWrite &Write : Transaction.Writes) {
    Batch.Rows.push_back({Write.Key, Version, Write.Value});
  }

  return Batch;
}

} // namespace hemlockspar
