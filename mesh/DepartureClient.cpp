#include "mesh/DepartureClient.h"

#include "core/Json.h"
#include "core/Log.h"
#include "net/Event.h"

#include <boost/asio/detached.hpp>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

/// In an announcement: the departed backend server. In a query: the instance.
constexpr char AnnounceHeader[] = "Hs-Departed";
constexpr char QueryHeader[] = "Hs-Departed-At";

/// Covers a round trip between regions on a new connection.
constexpr auto CallTimeout = std::chrono::milliseconds(500);

/// Minimum time between two announcements of one departure.
constexpr auto AnnouncementInterval = std::chrono::milliseconds(300);

/// Calls made to a witness that does not respond.
constexpr int MaxQueries = 3;
constexpr auto QueryInterval = std::chrono::milliseconds(100);

HttpClient::Limits limitsFor(const std::string &LocalHost) {
  HttpClient::Limits Bounds;
  Bounds.LocalHost = LocalHost;
  Bounds.MaxIdleConnections = 1;
  Bounds.MaxIdleTime = std::chrono::seconds(20);
  Bounds.MaxBodyBytes = 64 << 10;
  return Bounds;
}

std::string encode(const InstanceId &Instance, const ServerIncarnation &Left) {
  Json::Value Text;
  Text["instance"] = Instance;
  Text["server"] = Left.Id;
  Text["started"] = Json::Int64(Left.StartedAt);
  return writeJson(Text);
}

std::optional<ServerIncarnation> decode(const std::string &Text,
                                        InstanceId &Instance) {
  auto Value = readJson(Text);
  bool Valid = Value && Value->isObject() && (*Value)["started"].isInt64() &&
               !getString(*Value, "instance").empty();
  if (!Valid) {
    return std::nullopt;
  }
  Instance = getString(*Value, "instance");
  return ServerIncarnation{getString(*Value, "server"),
                           (*Value)["started"].asInt64()};
}

} // namespace

/// A query for earlier departures.
struct DepartureClient::Recovery {
  RecoverCallback OnDone;
  std::size_t Witnesses = 0;
  std::size_t Answers = 0;
  std::size_t Ended = 0;
  bool Done = false;

  void finish(const std::optional<ServerIncarnation> &Left) {
    if (!this->Done) {
      this->Done = true;
      this->OnDone(Left);
    }
  }
};

DepartureClient::DepartureClient(asio::io_context &Io, const MeshView &View,
                                 const MeshSettings &Config)
    : Io(Io), View(View), Config(Config),
      Client(Io, limitsFor(Config.PeerAddress.Host)) {}

void DepartureClient::announce(const ServerIncarnation &Left) {
  TimePoint Now = BootClock::now();
  if (this->Announced != Left) {
    this->Announced = Left;
    this->Confirmed.clear();
    this->NextAnnouncementAt = Now;
  }
  if (Now < this->NextAnnouncementAt) {
    return;
  }

  this->NextAnnouncementAt = Now + AnnouncementInterval;
  for (const InstanceId &Witness : selectDepartureWitnesses(
           this->View.instances(), this->Config.Instance)) {
    if (!this->Confirmed.contains(Witness)) {
      this->announceTo(Witness, this->View.findInstance(Witness)->PeerAddress);
    }
  }
}

void DepartureClient::announceTo(const InstanceId &Witness,
                                 const Address &Peer) {
  asio::spawn(
      this->Io,
      [this, Witness, Peer,
       Left = *this->Announced](const asio::yield_context &Yield) {
        HttpRequest Request(http::verb::post, "/", 11);
        Request.set(http::field::host, "peer");
        Request.set(AnnounceHeader, "1");
        Request.body() = encode(this->Config.Instance, Left);
        ExchangeResult Exchange = this->call(Peer, Request, Yield);
        bool Confirms = Exchange.Outcome == ExchangeOutcome::Answered &&
                        Exchange.Response.result() == http::status::ok;
        if (Confirms && this->Announced == Left) {
          this->Confirmed.insert(Witness);
        }
        LogLine(Confirms ? LogLevel::Debug : LogLevel::Info, "departure",
                Confirms ? "witness_confirmed" : "witness_failed")
            .with("witness", Witness)
            .with("server", Left.Id)
            .with("error", Exchange.Error);
      },
      asio::detached);
}

bool DepartureClient::isConfirmed(const ServerIncarnation &Left) const {
  std::vector<InstanceId> Witnesses =
      selectDepartureWitnesses(this->View.instances(), this->Config.Instance);
  std::size_t Count = 0;
  for (const InstanceId &Witness : Witnesses) {
    Count += this->Confirmed.contains(Witness) ? 1 : 0;
  }
  return this->Announced == Left && !Witnesses.empty() &&
         Count >= departureWriteQuorum(Witnesses.size());
}

void DepartureClient::recover(RecoverCallback OnDone) {
  std::vector<InstanceId> Witnesses =
      selectDepartureWitnesses(this->View.instances(), this->Config.Instance);
  auto State = std::make_shared<Recovery>();
  State->OnDone = std::move(OnDone);
  State->Witnesses = Witnesses.size();
  if (Witnesses.empty()) {
    State->finish(std::nullopt);
  }
  for (const InstanceId &Witness : Witnesses) {
    asio::spawn(
        this->Io,
        [this, State, Witness](const asio::yield_context &Yield) {
          this->query(State, Witness, Yield);
        },
        asio::detached);
  }
}

void DepartureClient::query(const std::shared_ptr<Recovery> &State,
                            const InstanceId &Witness,
                            const asio::yield_context &Yield) {
  bool Answered = false;
  bool Refused = false;
  for (int Time = 0; Time < MaxQueries && !Answered && !Refused; ++Time) {
    if (Time > 0) {
      sleepFor(this->Io, QueryInterval, Yield);
    }
    const InstanceRow *Row = this->View.findInstance(Witness);
    if (!Row || State->Done) {
      break;
    }
    HttpRequest Request(http::verb::get, "/", 11);
    Request.set(http::field::host, "peer");
    Request.set(QueryHeader, this->Config.Instance);
    ExchangeResult Exchange =
        this->call(Address(Row->PeerAddress), Request, Yield);
    Answered = Exchange.Outcome == ExchangeOutcome::Answered &&
               Exchange.Response.result() == http::status::ok;

    // Its process has ended, and what it knew with it.
    Refused = Exchange.ConnectionRefused;
    InstanceId Instance;
    auto Left =
        Answered ? decode(Exchange.Response.body(), Instance) : std::nullopt;
    if (Left && Instance == this->Config.Instance) {
      LogLine(LogLevel::Info, "departure", "recovered")
          .with("server", Left->Id)
          .with("started", static_cast<long long>(Left->StartedAt))
          .with("witness", Witness);
      State->finish(Left);
    }
  }

  State->Answers += Answered ? 1 : 0;
  ++State->Ended;
  bool Enough = State->Answers >= departureReadQuorum(State->Witnesses) ||
                State->Ended == State->Witnesses;
  if (Enough) {
    State->finish(std::nullopt);
  }
}

ExchangeResult DepartureClient::call(const Address &Peer, HttpRequest &Request,
                                     const asio::yield_context &Yield) {
  return this->Client.exchange(
      Peer, Request, {.Deadline = BootClock::now() + CallTimeout}, Yield);
}

std::optional<HttpResponse>
DepartureClient::handle(const HttpRequest &Request) {
  if (Request.find(AnnounceHeader) != Request.end()) {
    InstanceId Instance;
    auto Left = decode(Request.body(), Instance);
    bool Kept = Left && this->Records.add(Instance, *Left);
    LogLine(Kept ? LogLevel::Info : LogLevel::Warning, "departure",
            Kept ? "recorded" : "not_recorded")
        .with("instance", Instance)
        .with("server", Left ? Left->Id : "");
    return HttpResponse(
        Kept ? http::status::ok : http::status::service_unavailable, 11);
  }

  std::string Instance = headerValue(Request, QueryHeader);
  if (Instance.empty()) {
    return std::nullopt;
  }
  HttpResponse Response(http::status::ok, 11);
  if (auto Left = this->Records.find(Instance)) {
    Response.body() = encode(Instance, *Left);
  }
  return Response;
}

} // namespace hemlockspar
