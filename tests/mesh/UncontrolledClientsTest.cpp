#include "tests/mesh/ClientLoad.h"
#include "tests/mesh/PlatformMesh.h"

#include <absl/strings/str_cat.h>
#include <atomic>
#include <criterion/criterion.h>
#include <csignal>
#include <sys/wait.h>

using namespace hemlockspar;

// Clients that are not under control send more than a process can hold and
// leave their connections open. A process that keeps all of it runs out of
// memory or descriptors. Each test checks that the daemon is alive, that its
// memory and descriptors stay within its settings, and that an ordinary request
// is answered while the connections are still open.

namespace {

/// Memory of the machine according to the settings.
constexpr std::size_t MemoryMb = 64;
constexpr std::size_t MemoryBytes = MemoryMb << 20;

/// Descriptors of the process according to the settings.
constexpr std::size_t Descriptors = 400;

/// Largest permitted body. A single one fits into the memory several times.
constexpr std::size_t MaxBodyBytes = 8 << 20;

/// All of them together send three times the memory.
constexpr std::size_t ClientCount = 24;

/// Clients with tiny chunks send about eight bytes for each one of a body.
constexpr std::size_t TinyChunkBodyBytes = 2 << 20;
constexpr std::size_t TinyChunkClientCount = 40;
constexpr std::size_t PieceBytes = 64 << 10;
constexpr std::size_t FarOverLimitBytes = 64 << 20;
constexpr int SlowReaderBufferBytes = 4096;
constexpr std::size_t IdleClientCount = 600;
constexpr char Path[] = "/lists/load";

const std::vector<std::string> TwoDaemons = {"menus", "bookings"};

/// Index of the daemon that gets the load.
constexpr int Target = 0;

/// A mesh with lowered limits that is ready.
struct LoadedMesh {
  explicit LoadedMesh(int Number) : Mesh(Number, TwoDaemons) {
    this->Mesh.setMaxBodyBytes(MaxBodyBytes);
    this->Mesh.addSetting(absl::StrCat("memory_mb: ", MemoryMb));
    this->Mesh.addSetting(absl::StrCat("descriptors: ", Descriptors));
    cr_assert(this->Mesh.start());
  }

  /// Checks one daemon while the clients' connections are still open.
  void check(int Index) {
    pid_t Pid = this->Mesh.processOf(Index);
    bool Alive = waitpid(Pid, nullptr, WNOHANG) == 0;
    std::size_t Resident = peakResidentBytes(Pid);
    std::size_t Open = openDescriptors(Pid);
    cr_log_info("daemon %d: alive %d, peak resident %zu KiB of %zu, "
                "descriptors %zu of %zu",
                Index, int(Alive), Resident >> 10, MemoryBytes >> 10, Open,
                Descriptors);
    cr_expect(Alive, "the daemon ended");
    cr_expect_leq(Resident, MemoryBytes);
    cr_expect_leq(Open, Descriptors);
  }

  void checkAll() {
    this->check(0);
    this->check(1);
    cr_expect(this->Mesh.waitUntil([&] {
      ExchangeResult Result = this->Mesh.send(Target, "/lists/ordinary");
      return Result.Outcome == ExchangeOutcome::Answered &&
             Result.Response.result() == http::status::ok;
    }),
              "an ordinary request is not answered");

    this->check(0);
    this->check(1);
  }

  PlatformMesh Mesh;
};

/// Sends \p Total bytes in pieces, until the server accepts no more.
void sendInPieces(const RawClient &Client, std::size_t Total,
                  const std::string &Piece) {
  for (std::size_t Sent = 0; Sent < Total; Sent += Piece.size()) {
    if (!Client.send(Piece.substr(0, std::min(Piece.size(), Total - Sent)))) {
      return;
    }
  }
}

void sendAllButOneByte(const RawClient &Client) {
  Client.send(announcedHeader(Path, MaxBodyBytes) +
              std::string(MaxBodyBytes - 1, 'b'));
}

/// Most stop short of the end; every sixth sends the whole body.
ClientScript sendMostlyIncomplete(bool Pieces) {
  auto Next = std::make_shared<std::atomic<std::size_t>>(0);
  return [Next, Pieces](const RawClient &Client) {
    std::size_t Length = MaxBodyBytes - ((*Next)++ % 6 == 5 ? 0 : 1);
    if (Pieces) {
      Client.send(announcedHeader(Path, MaxBodyBytes));
      sendInPieces(Client, Length, std::string(PieceBytes, 'b'));
    } else {
      Client.send(announcedHeader(Path, MaxBodyBytes) +
                  std::string(Length, 'b'));
    }
  };
}

void sendLargeChunks(const RawClient &Client) {
  bool Open = Client.send(chunkedHeader(Path));
  std::string Chunk = chunk(PieceBytes);
  for (std::size_t Sent = 0; Open && Sent < MaxBodyBytes; Sent += PieceBytes) {
    Open = Client.send(Chunk);
  }
}

void sendTinyChunks(const RawClient &Client) {
  bool Open = Client.send(chunkedHeader(Path));
  std::string Chunks;
  for (std::size_t Count = 0; Count < PieceBytes; ++Count) {
    Chunks += "1\r\nc\r\n";
  }
  for (std::size_t Sent = 0; Open && Sent < TinyChunkBodyBytes;
       Sent += PieceBytes) {
    Open = Client.send(Chunks);
  }
}

} // namespace

/// Bodies of permitted size whose last byte is missing are held until the read
/// timeout; together they exceed the memory.
Test(UncontrolledClients, IncompleteBodiesSentWhole) {
  LoadedMesh Loaded(111);
  auto Open = runClients(ClientCount, Loaded.Mesh.callerAddress(Target),
                         sendMostlyIncomplete(false));
  Loaded.checkAll();
}

/// The same piece by piece.
Test(UncontrolledClients, IncompleteBodiesSentInPieces) {
  LoadedMesh Loaded(112);
  auto Open = runClients(ClientCount, Loaded.Mesh.callerAddress(Target),
                         sendMostlyIncomplete(true));
  Loaded.checkAll();
}

/// The length of a chunked body is not known in advance, and a buffer that
/// doubles as it grows needs up to twice the body.
Test(UncontrolledClients, IncompleteBodiesInLargeChunks) {
  LoadedMesh Loaded(113);
  auto Open = runClients(ClientCount, Loaded.Mesh.callerAddress(Target),
                         sendLargeChunks);
  Loaded.checkAll();
}

/// Chunks of one byte must not cost more than their bytes plus a constant.
Test(UncontrolledClients, IncompleteBodiesInTinyChunks) {
  LoadedMesh Loaded(114);
  auto Open = runClients(TinyChunkClientCount,
                         Loaded.Mesh.callerAddress(Target), sendTinyChunks);
  Loaded.checkAll();
}

/// Bodies far over the limit must not be kept, whether their length is
/// announced or not.
Test(UncontrolledClients, BodiesFarOverTheLimit) {
  LoadedMesh Loaded(115);
  auto Next = std::make_shared<std::atomic<std::size_t>>(0);
  auto Open = runClients(
      ClientCount, Loaded.Mesh.callerAddress(Target),
      [Next](const RawClient &Client) {
        bool Announced = (*Next)++ % 2 == 0;
        Client.send(Announced ? announcedHeader(Path, FarOverLimitBytes)
                              : chunkedHeader(Path));
        sendInPieces(Client, FarOverLimitBytes,
                     Announced ? std::string(PieceBytes, 'b')
                               : chunk(PieceBytes));
      });
  Loaded.checkAll();
}

/// A large body that follows another request on a persistent connection must be
/// counted as well.
Test(UncontrolledClients, PipelinedRequests) {
  LoadedMesh Loaded(116);
  auto Open = runClients(ClientCount, Loaded.Mesh.callerAddress(Target),
                         [](const RawClient &Client) {
                           Client.send(getRequest(Path) + getRequest(Path));
                           sendAllButOneByte(Client);
                         });
  Loaded.checkAll();
}

/// The address for other daemons can be reached by the same clients.
Test(UncontrolledClients, PeerAddress) {
  LoadedMesh Loaded(117);
  auto Open = runClients(ClientCount, Loaded.Mesh.peerAddress(Target),
                         sendMostlyIncomplete(false));
  Loaded.checkAll();
}

/// Large responses that their callers do not read are held until the write
/// timeout. The callers come in groups, since a backend server runs only a few
/// requests at once.
Test(UncontrolledClients, SlowReadersOfLargeResponses) {
  LoadedMesh Loaded(118);
  PlatformServerFaults Large;
  Large.MinResponseBytes = MaxBodyBytes;
  Loaded.Mesh.server(1).setFaults(Large);

  std::vector<std::vector<std::unique_ptr<RawClient>>> Groups;
  for (std::size_t Group = 0; Group < ClientCount / 3; ++Group) {
    Groups.push_back(runClients(
        3, Loaded.Mesh.callerAddress(Target),
        [](const RawClient &Client) {
          Client.send(getRequest(Path));
          Client.read(1);
        },
        SlowReaderBufferBytes));
  }
  Loaded.check(0);
  Loaded.check(1);
  Loaded.Mesh.server(1).setFaults({});
  Loaded.checkAll();
}

/// Idle connections and incomplete headers must not use up the descriptors.
Test(UncontrolledClients, MoreConnectionsThanDescriptors) {
  LoadedMesh Loaded(119);
  std::vector<std::unique_ptr<RawClient>> Open;
  for (std::size_t Count = 0; Count < IdleClientCount; ++Count) {
    Open.push_back(
        std::make_unique<RawClient>(Loaded.Mesh.callerAddress(Target)));
    if (Count % 2 == 0) {
      Open.back()->send("POST /lists/load HTTP/1.1\r\nHost: spa.ex");
    }
  }

  // Connections are accepted in order: with this response, all of them were.
  RawClient Last(Loaded.Mesh.callerAddress(Target));
  Last.send(getRequest(Path));
  Last.read(1);
  Loaded.checkAll();
}
