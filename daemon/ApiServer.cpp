#include "daemon/ApiServer.h"

#include "core/Json.h"
#include "daemon/ResourceViews.h"
#include "daemon/Version.h"
#include "net/Event.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

constexpr auto WatchTimeout = std::chrono::seconds(30);
constexpr auto WatchPollInterval = std::chrono::milliseconds(20);

HttpResponse notFoundResponse(const std::string &Detail) {
  return problemResponse(http::status::not_found, "not found", Detail);
}

} // namespace

ApiServer::ApiServer(asio::io_context &Io, const Settings &Config,
                     Metrics &Counters, ControlPlane &Control)
    : Io(Io), Config(Config), Counters(Counters), Control(Control),
      Writer(Io, Control),
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
  std::string Path = targetPath(Raw);

  if (Path == "/healthz") {
    return jsonResponse(http::status::ok, Json::Value("alive"));
  }
  if (Path == "/readyz") {
    return this->getReadiness();
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

  ParsedTarget Parsed;
  Parsed.Segments = absl::StrSplit(Path, '/', absl::SkipEmpty());
  if (auto From = queryParameter(Raw, "watch")) {
    std::uint64_t Version = 0;
    if (!absl::SimpleAtoi(*From, &Version)) {
      return problemResponse(http::status::bad_request, "bad request",
                             "watch: must be a version number");
    }
    Parsed.WatchVersion = Version;
  }

  if (Parsed.Segments.size() < 2 || Parsed.Segments[0] != "v1") {
    return notFoundResponse("the path must start with /v1/<kind>");
  }
  return this->onV1Request(Request, Parsed, Watch, Yield);
}

HttpResponse ApiServer::onV1Request(HttpRequest &Request,
                                    const ParsedTarget &Path,
                                    CallerWatch &Watch,
                                    const asio::yield_context &Yield) {
  const std::vector<std::string> &Parts = Path.Segments;
  http::verb Method = Request.method();

  if (Parts[1] == "announcement" && Method == http::verb::put) {
    return this->putAnnouncement(Request);
  }
  if (Parts[1] == "explain" && Parts.size() == 4) {
    auto Found = keyOwnerView(this->Control.member(), Parts[2], Parts[3]);
    return Found ? jsonResponse(http::status::ok, *Found)
                 : notFoundResponse("no key space '" + Parts[2] +
                                    "' is declared");
  }
  if (Parts[1] == "in-force") {
    std::uint64_t Version = this->Control.member().cache().completeVersion();
    if (Parts.size() > 2 && !absl::SimpleAtoi(Parts[2], &Version)) {
      return problemResponse(http::status::bad_request, "bad request",
                             "the version must be a whole number");
    }
    return this->getInForce(Version, Yield);
  }

  if (Method == http::verb::get && Path.WatchVersion) {
    this->waitForChange(*Path.WatchVersion, Watch, Yield);
  }
  if (Method == http::verb::get && Parts.size() == 2) {
    return this->listResources(Path);
  }

  auto Kind = resourceKindOf(Parts[1]);
  if (!Kind || Parts.size() != 3) {
    return notFoundResponse(
        "the kinds are services, keyspaces, policies, instances and "
        "ownership");
  }

  switch (Method) {
  case http::verb::get:
    return this->getResource(*Kind, Parts[2]);
  case http::verb::put:
    return this->Writer.put(*Kind, Parts[2], Request, Yield);
  case http::verb::delete_:
    return this->Writer.remove(*Kind, Parts[2], Request, Yield);
  default:
    return problemResponse(http::status::method_not_allowed,
                           "method not allowed", "use GET, PUT or DELETE");
  }
}

HttpResponse ApiServer::putAnnouncement(const HttpRequest &Request) {
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

// Read requests

HttpResponse ApiServer::listResources(const ParsedTarget &Path) {
  const std::string &Name = Path.Segments[1];
  const Member &Self = this->Control.member();
  Json::Value Items;

  if (auto Kind = resourceKindOf(Name)) {
    Items = resourcesView(Self, *Kind);
  } else if (Name == "instances") {
    Items = instancesView(Self);
  } else if (Name == "ownership") {
    Items = ownershipView(Self);
  } else {
    return notFoundResponse("unknown kind '" + Name + "'");
  }

  Json::Value Body;
  Body["kind"] = Name;
  Body["version"] = Json::UInt64(Self.cache().completeVersion());
  Body["items"] = Items;
  return jsonResponse(http::status::ok, Body);
}

HttpResponse ApiServer::getInForce(RowVersion Version,
                                   const asio::yield_context &Yield) {
  struct Poll {
    explicit Poll(asio::io_context &Io) : Done(Io) {}
    Event Done;
    std::vector<InstanceId> InForce;
    std::vector<InstanceId> Behind;
  };

  auto Pending = std::make_shared<Poll>(this->Io);
  this->Control.queryInForce(Version,
                             [Pending](std::vector<InstanceId> InForce,
                                       std::vector<InstanceId> Behind) {
                               Pending->InForce = std::move(InForce);
                               Pending->Behind = std::move(Behind);
                               Pending->Done.set();
                             });

  Pending->Done.wait(Yield);

  Json::Value Body;
  Body["version"] = Json::UInt64(Version);
  Body["in_force_on"] = Json::UInt64(Pending->InForce.size());
  Body["of"] = Json::UInt64(Pending->InForce.size() + Pending->Behind.size());
  Body["behind"] = Json::arrayValue;
  for (const InstanceId &Id : Pending->Behind) {
    Body["behind"].append(Id);
  }
  return jsonResponse(http::status::ok, Body);
}

HttpResponse ApiServer::getReadiness() const {
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

HttpResponse ApiServer::getResource(ResourceKind Kind,
                                    const std::string &Name) {
  Resource Found;
  if (!findResource(this->Control.member().cache(), Kind, Name, Found)) {
    return notFoundResponse(absl::StrCat("no ", nameOf(Kind), " '", Name, "'"));
  }

  HttpResponse Response = jsonResponse(http::status::ok, Found.toJson());
  Response.set(http::field::etag, absl::StrCat("\"", Found.Version, "\""));
  return Response;
}

void ApiServer::waitForChange(RowVersion From, CallerWatch &Watch,
                              const asio::yield_context &Yield) {
  TimePoint Deadline = BootClock::now() + WatchTimeout;
  while (this->Control.member().cache().completeVersion() <= From &&
         BootClock::now() < Deadline && !Watch.Disconnected) {
    sleepFor(this->Io, WatchPollInterval, Yield);
  }
}

} // namespace hemlockspar
