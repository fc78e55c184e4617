#include "daemon/ApiServer.h"

#include "core/Json.h"
#include "core/Log.h"
#include "daemon/RequestHeaders.h"
#include "daemon/Version.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <boost/asio/steady_timer.hpp>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

constexpr auto WatchTimeout = std::chrono::seconds(30);
constexpr auto WatchPoll = std::chrono::milliseconds(20);
constexpr auto SettlePoll = std::chrono::milliseconds(50);

/// A write whose answer was lost is settled within this time, or reported as
/// unknown.
constexpr auto SettleTimeout = std::chrono::seconds(10);

HttpResponse notFound(const std::string &Detail) {
  return problemResponse(http::status::not_found, "not found", Detail);
}

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

ApiServer::ApiServer(asio::io_context &Io, const Settings &Config,
                     Metrics &Counters, ControlPlane &Control)
    : Io(Io), Config(Config), Counters(Counters), Control(Control),
      Server(Io, HttpLimits(),
             [this](HttpRequest &Request, CallerWatch &Watch,
                    const asio::yield_context &Yield) {
               return this->onRequest(Request, Watch, Yield);
             }) {}

absl::Status ApiServer::start() {
  return this->Server.listen(
      {this->Config.Listen.Host, this->Config.Listen.ApiPort});
}

HttpResponse ApiServer::onRequest(HttpRequest &Request, CallerWatch &Watch,
                                  const asio::yield_context &Yield) {
  std::string_view Raw(Request.target().data(), Request.target().size());
  std::string Path = pathOf(Raw);

  if (Path == "/healthz") {
    return jsonResponse(http::status::ok, Json::Value("alive"));
  }
  if (Path == "/readyz") {
    return this->ready();
  }
  if (Path == "/version") {
    return jsonResponse(http::status::ok, Json::Value(ProductVersion));
  }
  if (Path == "/metrics") {
    HttpResponse Response(http::status::ok, 11);
    Response.set(http::field::content_type, "text/plain; version=0.0.4");
    Response.body() = this->Counters.toText();
    return Response;
  }

  Target Parsed;
  Parsed.Segments = absl::StrSplit(Path, '/', absl::SkipEmpty());
  if (auto From = queryOf(Raw, "watch")) {
    std::uint64_t Version = 0;
    if (!absl::SimpleAtoi(*From, &Version)) {
      return problemResponse(http::status::bad_request, "bad request",
                             "watch: must be a version");
    }
    Parsed.WatchFrom = Version;
  }

  if (Parsed.Segments.size() < 2 || Parsed.Segments[0] != "v1") {
    return notFound("paths start with /v1/<kind>");
  }
  return this->onVersioned(Request, Parsed, Watch, Yield);
}

HttpResponse ApiServer::onVersioned(HttpRequest &Request, const Target &Path,
                                    CallerWatch &Watch,
                                    const asio::yield_context &Yield) {
  const std::vector<std::string> &Parts = Path.Segments;
  http::verb Method = Request.method();

  if (Parts[1] == "announcement" && Method == http::verb::put) {
    return this->announce(Request);
  }
  if (Parts[1] == "explain" && Parts.size() == 4) {
    return this->explain(Parts[2], Parts[3]);
  }
  if (Parts[1] == "in-force") {
    std::uint64_t Version = this->Control.member().cache().completeVersion();
    if (Parts.size() > 2 && !absl::SimpleAtoi(Parts[2], &Version)) {
      return problemResponse(http::status::bad_request, "bad request",
                             "the version must be a whole number");
    }
    return this->inForce(Version, Yield);
  }

  if (Method == http::verb::get && Path.WatchFrom) {
    this->waitForChange(*Path.WatchFrom, Watch, Yield);
  }
  if (Method == http::verb::get && Parts.size() == 2) {
    return this->list(Path);
  }

  auto Kind = resourceKindOf(Parts[1]);
  if (!Kind || Parts.size() != 3) {
    return notFound("kinds are services, keyspaces, policies, instances and "
                    "ownership");
  }

  switch (Method) {
  case http::verb::get:
    return this->get(*Kind, Parts[2]);
  case http::verb::put:
    return this->put(*Kind, Parts[2], Request, Yield);
  case http::verb::delete_:
    return this->remove(*Kind, Parts[2], Request, Yield);
  default:
    return problemResponse(http::status::method_not_allowed,
                           "method not allowed", "use GET, PUT or DELETE");
  }
}

HttpResponse ApiServer::announce(const HttpRequest &Request) {
  std::string Error;
  auto Body = readJson(Request.body(), &Error);
  if (!Body) {
    return problemResponse(http::status::bad_request, "bad JSON", Error);
  }

  auto Announced = BackendAnnouncement::fromJson(*Body);
  if (!Announced.ok()) {
    return problemResponse(http::status::unprocessable_entity,
                           "invalid announcement",
                           std::string(Announced.status().message()));
  }

  this->Control.onAnnouncement(*Announced);
  Json::Value Reply;
  Reply["instance"] = this->Config.Instance;
  Reply["draining"] = this->Control.draining();
  return jsonResponse(http::status::ok, Reply);
}

// Reading

HttpResponse ApiServer::list(const Target &Path) {
  const std::string &Name = Path.Segments[1];
  Json::Value Items;

  if (auto Kind = resourceKindOf(Name)) {
    Items = this->listDeclared(*Kind);
  } else if (Name == "instances") {
    Items = this->listInstances();
  } else if (Name == "ownership") {
    Items = this->listOwnership();
  } else {
    return notFound("no kind '" + Name + "'");
  }

  Json::Value Body;
  Body["kind"] = Name;
  Body["version"] =
      Json::UInt64(this->Control.member().cache().completeVersion());
  Body["items"] = Items;
  return jsonResponse(http::status::ok, Body);
}

Json::Value ApiServer::listDeclared(ResourceKind Kind) const {
  Json::Value Items(Json::arrayValue);
  for (const TableRow *Row :
       this->Control.member().cache().withPrefix(resourceKey(Kind, ""))) {
    if (auto Found = Resource::fromRow(*Row)) {
      Items.append(Found->toJson());
    }
  }
  return Items;
}

Json::Value ApiServer::listInstances() const {
  Json::Value Items(Json::arrayValue);

  for (const auto &[Id, Known] :
       this->Control.member().directory().instances()) {
    Json::Value Item;
    Item["name"] = Id;
    Item["region"] = Known.Lease.Region;
    Item["data_center"] = Known.Lease.DataCenter;
    Item["lease"] = nameOf(Known.Lease.State);
    Item["life"] = Json::UInt64(Known.Lease.Life);
    Item["lease_version"] = Json::UInt64(Known.LeaseVersion);
    Item["service"] = Known.Holding.Service;
    Item["capacity"] = Known.Holding.Capacity;
    Item["accepting"] = Known.Holding.Accepting;
    Item["slots"] = Json::UInt64(countSlots(Known.Holding.Slots));
    Item["callers"] = absl::StrCat(Known.Lease.Addresses.Host, ":",
                                   Known.Lease.Addresses.CallerPort);
    Item["witnesses"] = Json::arrayValue;
    for (const WitnessRef &Witness : Known.Lease.Witnesses) {
      Item["witnesses"].append(Witness.Instance);
    }
    Items.append(Item);
  }
  return Items;
}

Json::Value ApiServer::listOwnership() const {
  Json::Value Items(Json::arrayValue);
  const Member &Self = this->Control.member();
  auto Table = RoutingTable::build(Self.directory(), Self.cache());

  for (const auto &[Name, Route] : Table->keyspaces()) {
    Json::Value Item;
    std::size_t Unowned = 0;
    std::vector<std::size_t> Counts(Table->instances().size());
    for (std::uint16_t Owner : Route.Owners) {
      if (Owner == KeyspaceRoute::NoOwner) {
        ++Unowned;
      } else {
        ++Counts[Owner];
      }
    }

    Item["name"] = Name;
    Item["slots"] = Json::UInt64(Route.Owners.size());
    Item["unowned"] = Json::UInt64(Unowned);
    Item["owners"] = Json::objectValue;
    for (std::size_t Index = 0; Index < Counts.size(); ++Index) {
      if (Counts[Index] > 0) {
        Item["owners"][Table->instances()[Index].Id] =
            Json::UInt64(Counts[Index]);
      }
    }
    Items.append(Item);
  }
  return Items;
}

HttpResponse ApiServer::explain(const std::string &Keyspace,
                                const std::string &Key) {
  const Member &Self = this->Control.member();
  auto Table = RoutingTable::build(Self.directory(), Self.cache());
  const KeyspaceRoute *Route = Table->findKeyspace(Keyspace);
  if (!Route) {
    return notFound("no key space '" + Keyspace + "' is declared");
  }

  KeyOwner Owner = Table->findOwner(*Route, Key);
  Json::Value Body;
  Body["keyspace"] = Keyspace;
  Body["key"] = Key;
  Body["slot"] = Owner.Slot;
  Body["token"] = Json::UInt64(Owner.Token);
  Body["map_version"] = Json::UInt64(Table->version());

  if (Owner.Owner) {
    Body["owner"] = Owner.Owner->Id;
    Body["region"] = Owner.Owner->Region;
    Body["callers"] = absl::StrCat(Owner.Owner->Addresses.Host, ":",
                                   Owner.Owner->Addresses.CallerPort);
  } else {
    Body["owner"] = Json::nullValue;
  }
  return jsonResponse(http::status::ok, Body);
}

HttpResponse ApiServer::inForce(RowVersion Version,
                                const asio::yield_context &Yield) {
  struct Poll {
    explicit Poll(asio::io_context &Io) : Timer(Io) {}
    asio::steady_timer Timer;
    bool Done = false;
    std::vector<InstanceId> InForce;
    std::vector<InstanceId> Behind;
  };

  auto Asked = std::make_shared<Poll>(this->Io);
  this->Control.askInForce(Version, [Asked](std::vector<InstanceId> InForce,
                                            std::vector<InstanceId> Behind) {
    Asked->InForce = std::move(InForce);
    Asked->Behind = std::move(Behind);
    Asked->Done = true;
    Asked->Timer.cancel();
  });

  while (!Asked->Done) {
    boost::system::error_code Ignored;
    Asked->Timer.expires_at(asio::steady_timer::time_point::max());
    Asked->Timer.async_wait(Yield[Ignored]);
  }

  Json::Value Body;
  Body["version"] = Json::UInt64(Version);
  Body["in_force_on"] = Json::UInt64(Asked->InForce.size());
  Body["of"] = Json::UInt64(Asked->InForce.size() + Asked->Behind.size());
  Body["behind"] = Json::arrayValue;
  for (const InstanceId &Id : Asked->Behind) {
    Body["behind"].append(Id);
  }
  return jsonResponse(http::status::ok, Body);
}

HttpResponse ApiServer::ready() const {
  const Member &Self = this->Control.member();
  bool Holds = Self.leaseExpiresAt() > BootClock::now();

  Json::Value Body;
  Body["membership"] = nameOf(Self.membership());
  Body["lease_held"] = Holds;
  Body["table_healthy"] = Self.tableHealthy();
  Body["version"] = Json::UInt64(Self.cache().completeVersion());
  Body["draining"] = this->Control.draining();

  bool Ready = Holds && !this->Control.draining();
  return jsonResponse(
      Ready ? http::status::ok : http::status::service_unavailable, Body);
}

HttpResponse ApiServer::get(ResourceKind Kind, const std::string &Name) {
  Resource Found;
  if (!this->findDeclared(Kind, Name, Found)) {
    return notFound(absl::StrCat("no ", nameOf(Kind), " '", Name, "'"));
  }

  HttpResponse Response = jsonResponse(http::status::ok, Found.toJson());
  Response.set(http::field::etag, absl::StrCat("\"", Found.Version, "\""));
  return Response;
}

const Resource *ApiServer::findDeclared(ResourceKind Kind,
                                        const std::string &Name,
                                        Resource &Found) const {
  const TableRow *Row =
      this->Control.member().cache().find(resourceKey(Kind, Name));
  auto Read = Row ? Resource::fromRow(*Row) : std::nullopt;
  if (!Read) {
    return nullptr;
  }
  Found = std::move(*Read);
  return &Found;
}

void ApiServer::waitForChange(RowVersion From, CallerWatch &Watch,
                              const asio::yield_context &Yield) {
  TimePoint Deadline = BootClock::now() + WatchTimeout;
  while (this->Control.member().cache().completeVersion() <= From &&
         BootClock::now() < Deadline && !Watch.Gone) {
    this->sleep(WatchPoll, Yield);
  }
}

void ApiServer::sleep(std::chrono::milliseconds Span,
                      const asio::yield_context &Yield) {
  boost::system::error_code Ignored;
  asio::steady_timer Timer(this->Io, Span);
  Timer.async_wait(Yield[Ignored]);
}

// Writing

std::optional<HttpResponse>
ApiServer::checkCondition(const HttpRequest &Request,
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

HttpResponse ApiServer::put(ResourceKind Kind, const std::string &Name,
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
  bool Exists = this->findDeclared(Kind, Name, Known) != nullptr;
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

HttpResponse ApiServer::remove(ResourceKind Kind, const std::string &Name,
                               const HttpRequest &Request,
                               const asio::yield_context &Yield) {
  Resource Known;
  if (!this->findDeclared(Kind, Name, Known)) {
    return notFound(absl::StrCat("no ", nameOf(Kind), " '", Name, "'"));
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

TableTransaction ApiServer::transactionFor(const Resource &Wanted,
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
    writeAt(Transaction, poolKey(Wanted.Name), 0, Pool.toText());
  }
  return Transaction;
}

HttpResponse ApiServer::write(const Resource &Wanted, bool Delete,
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
    this->findDeclared(Wanted.Kind, Wanted.Name, Known);
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

CommitResult ApiServer::commit(const TableTransaction &Transaction,
                               const asio::yield_context &Yield) {
  struct Pending {
    explicit Pending(asio::io_context &Io) : Timer(Io) {}
    asio::steady_timer Timer;
    std::optional<CommitResult> Result;
  };

  auto Write = std::make_shared<Pending>(this->Io);
  this->Control.commitResource(Transaction,
                               [Write](const CommitResult &Result, TimePoint) {
                                 Write->Result = Result;
                                 Write->Timer.cancel();
                               });

  while (!Write->Result) {
    boost::system::error_code Ignored;
    Write->Timer.expires_at(asio::steady_timer::time_point::max());
    Write->Timer.async_wait(Yield[Ignored]);
  }
  return *Write->Result;
}

CommitResult ApiServer::settle(const TableTransaction &Transaction,
                               const Resource &Wanted,
                               const asio::yield_context &Yield) {
  TimePoint Deadline = BootClock::now() + SettleTimeout;
  const std::string &Id = Wanted.RequestIds.back();

  while (BootClock::now() < Deadline) {
    TimePoint ReadFrom = BootClock::now();
    this->Control.refresh();
    while (!this->Control.hasReadSince(ReadFrom) &&
           BootClock::now() < Deadline) {
      this->sleep(SettlePoll, Yield);
    }

    Resource Known;
    this->findDeclared(Wanted.Kind, Wanted.Name, Known);
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

std::string ApiServer::nextRequestId() {
  return absl::StrCat(this->Config.Instance, "-",
                      this->Control.member().identity().Incarnation, "-",
                      ++this->LastRequest);
}

} // namespace hemlockspar
