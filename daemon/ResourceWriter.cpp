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

constexpr auto ResolvePollInterval = std::chrono::milliseconds(50);

/// The outcome of a write whose response was lost is determined within this
/// time, or reported as unknown.
constexpr auto ResolveTimeout = std::chrono::seconds(10);

HttpResponse versionConflictResponse(RowVersion Current) {
  HttpResponse Response = problemResponse(
      http::status::conflict, "version conflict",
      absl::StrCat("the current version is ", Current,
                   "; read the resource, reapply the change and retry"));
  Response.set(http::field::etag, absl::StrCat("\"", Current, "\""));
  return Response;
}

HttpResponse invalidSpecResponse(const std::vector<std::string> &Errors) {
  Json::Value Body;
  Body["status"] = 422;
  Body["title"] = "invalid declaration";
  Body["detail"] = absl::StrJoin(Errors, "; ");
  for (const std::string &Message : Errors) {
    Body["faults"].append(Message);
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
  std::string IfMatch = unquoted(headerValue(Request, "If-Match"));
  std::string IfNoneMatch = headerValue(Request, "If-None-Match");

  if (IfNoneMatch == "*") {
    return Current == 0 ? std::nullopt
                        : std::optional(versionConflictResponse(Current));
  }

  std::uint64_t RequiredVersion = 0;
  if (!absl::SimpleAtoi(IfMatch, &RequiredVersion)) {
    return problemResponse(http::status::precondition_required,
                           "condition required",
                           "send If-Match with the version you have read, or "
                           "If-None-Match: * to create");
  }
  return RequiredVersion == Current
             ? std::nullopt
             : std::optional(versionConflictResponse(Current));
}

HttpResponse ResourceWriter::put(ResourceKind Kind, const std::string &Name,
                                 const HttpRequest &Request,
                                 const asio::yield_context &Yield) {
  std::string Error;
  auto Body = readJson(Request.body(), &Error);
  if (!Body || !Body->isObject()) {
    return problemResponse(http::status::bad_request, "bad JSON",
                           Error.empty() ? "the body must be a JSON object"
                                         : Error);
  }

  std::vector<std::string> Errors = validateSpec(Kind, Name, (*Body)["spec"]);
  Resource Known;
  bool Exists = findResource(this->Control.member().cache(), Kind, Name, Known);
  bool SlotsChange = Kind == ResourceKind::Keyspace && Exists &&
                     (*Body)["spec"]["slots"] != Known.Spec["slots"];
  if (SlotsChange) {
    Errors.push_back("spec.slots: cannot be changed once declared");
  }
  if (!Errors.empty()) {
    return invalidSpecResponse(Errors);
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
  if (!findResource(this->Control.member().cache(), Kind, Name, Known)) {
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
    Result = this->resolveUnknownOutcome(Transaction, Wanted, Yield);
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
    findResource(this->Control.member().cache(), Wanted.Kind, Wanted.Name,
                 Known);
    return versionConflictResponse(Known.Version);
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

CommitResult
ResourceWriter::resolveUnknownOutcome(const TableTransaction &Transaction,
                                      const Resource &Wanted,
                                      const asio::yield_context &Yield) {
  TimePoint Deadline = BootClock::now() + ResolveTimeout;
  const std::string &Id = Wanted.RequestIds.back();

  while (BootClock::now() < Deadline) {
    TimePoint ReadFrom = BootClock::now();
    this->Control.refreshTable();
    while (!this->Control.hasReadSince(ReadFrom) &&
           BootClock::now() < Deadline) {
      sleepFor(this->Io, ResolvePollInterval, Yield);
    }

    Resource Known;
    findResource(this->Control.member().cache(), Wanted.Kind, Wanted.Name,
                 Known);
    bool WrittenByUs =
        std::find(Known.RequestIds.begin(), Known.RequestIds.end(), Id) !=
        Known.RequestIds.end();
    if (WrittenByUs) {
      return {CommitOutcome::Committed, Known.Version};
    }
    if (Known.Version != Wanted.Version) {
      return {CommitOutcome::Conflict, 0};
    }

    // Not written yet, but the first attempt may still arrive. Both attempts
    // have the same condition, so at most one of them takes effect.
    CommitResult Retried = this->commit(Transaction, Yield);
    if (Retried.Outcome == CommitOutcome::Committed) {
      return Retried;
    }
  }
  return {CommitOutcome::Unknown, 0};
}

std::string ResourceWriter::nextRequestId() {
  const MemberIdentity &Self = this->Control.member().identity();
  return absl::StrCat(Self.Instance, "-", Self.Incarnation, "-",
                      ++this->LastRequestNumber);
}

} // namespace hemlockspar
