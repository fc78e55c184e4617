#include "core/Json.h"
#include "tests/mesh/ClientLoad.h"
#include "tests/mesh/PlatformMesh.h"

#include <absl/strings/str_cat.h>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <sys/wait.h>
#include <thread>

using namespace hemlockspar;
using boost::asio::ip::tcp;

namespace {

/// Memory of the machine according to the settings.
constexpr std::size_t MemoryMb = 64;
constexpr std::size_t MemoryBytes = MemoryMb << 20;

constexpr std::uint16_t EndlessPort = 8095;
constexpr std::size_t CallerCount = 40;

/// How long the servers send each kind of response.
constexpr auto SpanPerKind = std::chrono::seconds(2);

/// What is sent once and what is sent until the caller closes.
struct EndlessKind {
  std::string Head;
  std::string Part;
};

const std::string Piece(16384, 'x');
const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::vector<EndlessKind> Kinds = {
    {"", Piece},
    {Ok + "X: ", Piece},
    {Ok, "X: y\r\n"},
    {"", "HTTP/1.1 100 Continue\r\n\r\n"},
    {Ok + "\r\n", Piece},
    {Ok + "Content-Length: 99999999999\r\n\r\n", Piece},
    {Ok + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + Piece + "\r\n"},
    {Ok + "Transfer-Encoding: chunked\r\n\r\n4;", Piece},
    {Ok + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", Piece},
    {Ok + "Content-Length: 2\r\n\r\nok", Piece}};

/// A server that answers each request without end.
class EndlessServer {
public:
  EndlessServer(const std::string &Host, const std::atomic<std::size_t> &Kind)
      : Acceptor(this->Io, tcp::endpoint(boost::asio::ip::make_address(Host),
                                         EndlessPort)),
        Kind(Kind), Accepting([this] { this->accept(); }) {}
  ~EndlessServer() {
    ::shutdown(this->Acceptor.native_handle(), SHUT_RDWR);
    this->Accepting.join();
    for (const auto &Socket : this->Sockets) {
      ::shutdown(Socket->native_handle(), SHUT_RDWR);
    }
  }

  /// Number of requests received.
  std::size_t requestCount() const { return this->Requests; }

private:
  void accept() {
    boost::system::error_code Error;
    while (true) {
      auto Socket = std::make_shared<tcp::socket>(this->Io);
      this->Acceptor.accept(*Socket, Error);
      if (Error) {
        return;
      }
      this->Sockets.push_back(Socket);
      this->Sending.emplace_back([this, Socket] { this->send(*Socket); });
    }
  }

  void send(tcp::socket &Socket) {
    boost::system::error_code Error;
    std::string Request;
    boost::asio::read_until(Socket, boost::asio::dynamic_buffer(Request),
                            "\r\n\r\n", Error);
    ++this->Requests;
    const EndlessKind &Sent = Kinds[this->Kind];
    boost::asio::write(Socket, boost::asio::buffer(Sent.Head), Error);
    while (!Error) {
      boost::asio::write(Socket, boost::asio::buffer(Sent.Part), Error);
    }
  }

  boost::asio::io_context Io;
  tcp::acceptor Acceptor;
  const std::atomic<std::size_t> &Kind;
  std::atomic<std::size_t> Requests = 0;
  std::vector<std::shared_ptr<tcp::socket>> Sockets;
  std::vector<std::jthread> Sending;
  std::thread Accepting;
};

/// Makes the daemon take the endless server for a new process of its own.
void replaceServer(PlatformMesh &Mesh, int Index) {
  PlatformServerFaults Silent;
  Silent.SuppressReports = true;
  Mesh.server(Index).setFaults(Silent);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  Json::Value Report = *readJson(Mesh.server(Index).takeReport());
  Report["address"] = absl::StrCat(Mesh.hostOf(Index), ":", EndlessPort);
  Report["born"] = Json::Int64(Report["born"].asInt64() + 1);
  Mesh.report(Index, absl::StrCat("endless-", Index), writeJson(Report));
}

} // namespace

/// All servers of a service send bytes without end: no daemon may run out of
/// memory, and requests for other services must be answered meanwhile.
Test(EndlessResponses, AllServersOfAServiceFillTheMemory) {
  PlatformMesh Mesh(141, {"menus", "bookings", "bookings"});
  Mesh.addSetting(absl::StrCat("memory_mb: ", MemoryMb));
  cr_assert(Mesh.start());
  std::atomic<std::size_t> Kind = 0;
  EndlessServer First(Mesh.hostOf(1), Kind);
  EndlessServer Second(Mesh.hostOf(2), Kind);
  replaceServer(Mesh, 1);
  replaceServer(Mesh, 2);

  for (std::size_t Index = 0; Index < Kinds.size(); ++Index) {
    Kind = Index;
    int Daemon = static_cast<int>(Index % 3);
    std::size_t Before = First.requestCount() + Second.requestCount();
    auto Callers = runClients(
        CallerCount, Mesh.callerAddress(Daemon),
        [](const RawClient &Client) { Client.send(getRequest("/lists/1")); });
    auto Until = std::chrono::steady_clock::now() + SpanPerKind;
    while (std::chrono::steady_clock::now() < Until) {
      ExchangeResult Ordinary = Mesh.sendKey(Daemon, 7);
      cr_assert(Ordinary.Outcome == ExchangeOutcome::Answered);
      cr_assert_eq(Ordinary.Response.result_int(), 200, "kind %zu", Index);
    }
    cr_assert_gt(First.requestCount() + Second.requestCount(), Before,
                 "kind %zu", Index);
  }
  for (int Index = 0; Index < 3; ++Index) {
    pid_t Pid = Mesh.processOf(Index);
    cr_assert_eq(waitpid(Pid, nullptr, WNOHANG), 0, "daemon %d ended", Index);
    std::size_t Resident = peakResidentBytes(Pid);
    cr_log_info("daemon %d: %zu KiB", Index, Resident >> 10);
    cr_assert_leq(Resident, MemoryBytes, "%zu KiB", Resident >> 10);
  }
}
