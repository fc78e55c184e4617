#include "daemon/ResourceWriter.h"

#include "core/Json.h"
#include "core/Log.h"
#include "net/Event.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <algorithm>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

constexpr auto SettlePoll = std::chrono::milliseconds(50);

/// A write whose answer was lost is settled within this time, or reported as
/// unknown.
constexpr auto SettleTimeout = std::chrono::seconds(10);

HttpResponse versionConflict(RowVersion Current) {
  HttpResponse Response = problemResponse(
      http::status::conflict, "version conflict",
      absl::StrCat("the current version is ", Current,
                   "; read it, apply your change to it and try again"));
  Response.set(http::field::etag, absl::StrCat("\"", Current, "\""));
  return Response;
}

HttpResponse invalidSpec(const std::vector<std::string> &Faults) {
  Json::Value Body;
  Body["status"] = 422;
  Body["title"] = "invalid declaration";
  Body["detail"] = absl::StrJoin(Faults, "; ");
  for (const std::string &Fault : Faults) {
    Body["faults"].append(Fault);
  }
  HttpResponse Response =
      jsonResponse(http::status::unprocessable_entity, Body);
  Response.set(http::field::content_type, "application/problem+json");
  return Response;
}

std::string unquoted(std::string Text) {
  if (Text.size() >= 2 && Text.front() == '"' && Text.back() == '"') {
    return Text.substr(1, Text.size() - 2);
  }
  return Text;
}

} // namespace

ResourceWriter::ResourceWriter(asio::io_context &Io, ControlPlane &Control)
    : Io(Io), Control(Control) {}

std::optional<HttpResponse>
ResourceWriter::checkCondition(const HttpRequest &Request,
                               RowVersion Current) const {
  std::string IfMatch = unquoted(headerOf(Request, "If-Match"));
  std::string IfNoneMatch = headerOf(Request, "If-None-Match");

  if (IfNoneMatch == "*") {
    return Current == 0 ? std::nullopt
                        : std::optional(versionConflict(Current));
  }

  std::uint64_t Wanted = 0;
  if (!absl::SimpleAtoi(IfMatch, &Wanted)) {
    return problemResponse(http::status::precondition_required,
                           "condition required",
                           "send If-Match with the version you have read, or "
                           "If-None-Match: * to create");
  }
  return Wanted == Current ? std::nullopt
                           : std::optional(versionConflict(Current));
}

HttpResponse ResourceWriter::put(ResourceKind Kind, const std::string &Name,
                                 const HttpRequest &Request,
                                 const asio::yield_context &Yield) {
  std::string Error;
  auto Body = readJson(Request.body(), &Error);
  if (!Body || !Body->isObject()) {
    return problemResponse(http::status::bad_request, "bad JSON",
                           Error.empty() ? "the body must be an object"
                                         : Error);
  }

  std::vector<std::string> Faults = checkSpec(Kind, Name, (*Body)["spec"]);
  Resource Known;
  bool Exists = findDeclared(this->Control.member().cache(), Kind, Name, Known);
  bool SlotsChange = Kind == ResourceKind::Keyspace && Exists &&
                     (*Body)["spec"]["slots"] != Known.Spec["slots"];
  if (SlotsChange) {
    Faults.push_back("spec.slots: cannot be changed once declared");
  }
  if (!Faults.empty()) {
    return invalidSpec(Faults);
  }
  if (auto Refusal = this->checkCondition(Request, Known.Version)) {
    return std::move(*Refusal);
  }

  Resource Wanted = Known;
  Wanted.Kind = Kind;
  Wanted.Name = Name;
  Wanted.Spec = (*Body)["spec"];
  Wanted.RequestIds.push_back(this->nextRequestId());
  return this->write(Wanted, false, Yield);
}

HttpResponse ResourceWriter::remove(ResourceKind Kind, const std::string &Name,
                                    const HttpRequest &Request,
                                    const asio::yield_context &Yield) {
  Resource Known;
  if (!findDeclared(this->Control.member().cache(), Kind, Name, Known)) {
    return problemResponse(http::status::not_found, "not found",
                           absl::StrCat("no ", nameOf(Kind), " '", Name, "'"));
  }
  if (Kind == ResourceKind::Keyspace) {
    return problemResponse(http::status::conflict, "cannot be deleted",
                           "a key space keeps the fencing tokens of its slots "
                           "and cannot be deleted");
  }
  if (auto Refusal = this->checkCondition(Request, Known.Version)) {
    return std::move(*Refusal);
  }
  return this->write(Known, true, Yield);
}

TableTransaction ResourceWriter::transactionFor(const Resource &Wanted,
                                                bool Delete) const {
  std::string Key = resourceKey(Wanted.Kind, Wanted.Name);
  TableTransaction Transaction;
  Transaction.Conditions.push_back({Key, Wanted.Version});
  Transaction.Writes.push_back(
      {Key, Delete ? std::nullopt : std::optional(Wanted.toRowText())});

  bool NewKeyspace =
      Wanted.Kind == ResourceKind::Keyspace && Wanted.Version == 0;
  if (NewKeyspace) {
    PoolRow Pool;
    Pool.Service = getString(Wanted.Spec, "service");
    Pool.Slots.addRange(
        0, static_cast<SlotIndex>(getUnsigned(Wanted.Spec, "slots")), 0);
    addConditionalWrite(Transaction, poolKey(Wanted.Name), 0, Pool.toText());
  }
  return Transaction;
}

HttpResponse ResourceWriter::write(const Resource &Wanted, bool Delete,
                                   const asio::yield_context &Yield) {
  TableTransaction Transaction = this->transactionFor(Wanted, Delete);
  CommitResult Result = this->commit(Transaction, Yield);

  if (Result.Outcome == CommitOutcome::Unknown) {
    Result = this->settle(Transaction, Wanted, Yield);
  }

  LogLine(LogLevel::Info, "resource", Delete ? "delete" : "put")
      .with("kind", nameOf(Wanted.Kind))
      .with("name", Wanted.Name)
      .with("outcome", nameOf(Result.Outcome))
      .with("version", static_cast<long long>(Result.Version));

  switch (Result.Outcome) {
  case CommitOutcome::Committed:
    break;
  case CommitOutcome::Conflict: {
    Resource Known;
    findDeclared(this->Control.member().cache(), Wanted.Kind, Wanted.Name,
                 Known);
    return versionConflict(Known.Version);
  }
  case CommitOutcome::NotRun:
    return problemResponse(http::status::service_unavailable, "not written",
                           "the table service cannot be reached; nothing was "
                           "changed");
  case CommitOutcome::Unknown:
    return problemResponse(http::status::gateway_timeout, "unknown",
                           "the table service did not answer; read the "
                           "resource later to see whether it was written");
  }

  Resource Written = Wanted;
  Written.Version = Result.Version;
  HttpResponse Response = jsonResponse(
      Wanted.Version == 0 ? http::status::created : http::status::ok,
      Written.toJson());
  Response.set(http::field::etag, absl::StrCat("\"", Result.Version, "\""));
  return Response;
}

CommitResult ResourceWriter::commit(const TableTransaction &Transaction,
                                    const asio::yield_context &Yield) {
  struct Pending {
    explicit Pending(asio::io_context &Io) : Done(Io) {}
    Event Done;
    CommitResult Result;
  };

  auto Write = std::make_shared<Pending>(this->Io);
  this->Control.commitResource(Transaction,
                               [Write](const CommitResult &Result, TimePoint) {
                                 Write->Result = Result;
                                 Write->Done.set();
                               });

  Write->Done.wait(Yield);
  return Write->Result;
}

CommitResult ResourceWriter::settle(const TableTransaction &Transaction,
                                    const Resource &Wanted,
                                    const asio::yield_context &Yield) {
  TimePoint Deadline = BootClock::now() + SettleTimeout;
  const std::string &Id = Wanted.RequestIds.back();

  while (BootClock::now() < Deadline) {
    TimePoint ReadFrom = BootClock::now();
    this->Control.refresh();
    while (!this->Control.hasReadSince(ReadFrom) &&
           BootClock::now() < Deadline) {
      sleepFor(this->Io, SettlePoll, Yield);
    }

    Resource Known;
    findDeclared(this->Control.member().cache(), Wanted.Kind, Wanted.Name,
                 Known);
    bool Ours = std::find(Known.RequestIds.begin(), Known.RequestIds.end(),
                          Id) != Known.RequestIds.end();
    if (Ours) {
      return {CommitOutcome::Committed, Known.Version};
    }
    if (Known.Version != Wanted.Version) {
      return {CommitOutcome::Conflict, 0};
    }

    // Not written yet, but the first try may still arrive: the same write
    // again, on the same condition, runs at most once of the two.
    CommitResult Again = this->commit(Transaction, Yield);
    if (Again.Outcome == CommitOutcome::Committed) {
      return Again;
    }
  }
  return {CommitOutcome::Unknown, 0};
}

std::string ResourceWriter::nextRequestId() {
  const MemberIdentity &Self = this->Control.member().identity();
  return absl::StrCat(Self.Instance, "-", Self.Incarnation, "-",
                      ++this->LastRequest);
}

} // namespace hemlockspar
