#include "mesh/configuration/OperatorTable.h"

#include "core/Log.h"
#include "mesh/store_access/StoreEra.h"

#include <algorithm>

namespace hemlockspar {

namespace {

/// Time for operators to write their rows again after a restoration.
constexpr auto RewriteTime = std::chrono::seconds(3);

} // namespace

OperatorTable::OperatorTable(MeshView &View, const ConfigurationCodec &Codec)
    : View(View), Codec(Codec) {}

void OperatorTable::apply(const StoreRows &Rows, TimePoint Now) {
  this->applyEvacuations(Rows, Now);
  for (const TableRow &Row : Rows.Rows) {
    this->applyConfiguration(Row);
  }
}

void OperatorTable::applyEvacuations(const StoreRows &Rows, TimePoint Now) {
  if (Rows.Complete) {
    std::uint64_t ReadEra = eraOf(Rows.Version);
    if (this->Era && ReadEra > *this->Era) {
      this->RewrittenAt = Now + RewriteTime;
    }
    this->Era = std::max(ReadEra, this->Era.value_or(0));
    this->ReadDueAt.reset();
  }

  bool AllListed = Rows.Complete && Now >= this->RewrittenAt;
  std::set<std::string> DataCenters =
      AllListed ? std::set<std::string>() : this->View.evacuated();
  std::set<std::string> Listed;
  std::string TablePrefix = rowKey(tables::Operator, "");

  for (const TableRow &Row : Rows.Rows) {
    auto DataCenter = Row.Key.starts_with(TablePrefix)
                          ? this->Codec.evacuatedDataCenter(
                                Row.Key.substr(TablePrefix.size()))
                          : std::nullopt;
    if (DataCenter && Row.Value) {
      DataCenters.insert(*DataCenter);
      Listed.insert(*DataCenter);
    } else if (DataCenter) {
      DataCenters.erase(*DataCenter);
    }
  }
  if (Rows.Complete && DataCenters != Listed) {
    this->ReadDueAt = this->RewrittenAt;
  }
  this->View.setEvacuated(DataCenters, Rows.Version);
}

void OperatorTable::applyConfiguration(const TableRow &Row) {
  bool IsConfiguration =
      Row.Key == rowKey(tables::Operator, this->Codec.rowName());
  if (!IsConfiguration || !Row.Value) {
    return;
  }

  auto Read = this->Codec.decode(*Row.Value);
  if (!Read.ok()) {
    if (Row.Version > this->UnreadableRow.value_or(0)) {
      this->UnreadableRow = Row.Version;
      LogLine(LogLevel::Error, "store", "configuration_ignored")
          .with("row_version", static_cast<long long>(Row.Version))
          .with("reason", std::string(Read.status().message()));
    }
    return;
  }
  if (this->UnreadableRow && Row.Version >= *this->UnreadableRow) {
    this->UnreadableRow.reset();
  }
  this->View.activateConfiguration(
      std::make_shared<const Configuration>(std::move(*Read)));
}

} // namespace hemlockspar
