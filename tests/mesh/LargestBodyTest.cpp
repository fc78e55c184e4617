#include "tests/mesh/ClientLoad.h"
#include "tests/mesh/PlatformMesh.h"

#include <absl/strings/str_cat.h>
#include <criterion/criterion.h>

using namespace hemlockspar;

// The budget must leave room for a single body of the largest permitted size,
// on the way through two daemons of the smallest machines.

namespace {

constexpr std::size_t MemoryMb = 160;
constexpr std::size_t LargestBodyBytes = 64 << 20;
constexpr std::size_t ChunkBytes = 64 << 10;

/// Length of "HTTP/1.1 200".
constexpr std::size_t StatusBytes = 12;

void checkServed(bool Chunked, int Number) {
  PlatformMesh Mesh(Number, {"menus", "bookings"});
  Mesh.setMaxBodyBytes(LargestBodyBytes);
  Mesh.addSetting(absl::StrCat("memory_mb: ", MemoryMb));
  cr_assert(Mesh.start());

  RawClient Client(Mesh.callerAddress(0));
  Client.send(Chunked ? chunkedHeader("/lists/large")
                      : announcedHeader("/lists/large", LargestBodyBytes));
  std::string Piece =
      Chunked ? chunk(ChunkBytes) : std::string(ChunkBytes, 'b');
  for (std::size_t Sent = 0; Sent < LargestBodyBytes; Sent += ChunkBytes) {
    cr_assert(Client.send(Piece));
  }
  if (Chunked) {
    Client.send("0\r\n\r\n");
  }
  std::string Status = Client.read(StatusBytes).substr(0, StatusBytes);
  for (int Index : {0, 1}) {
    std::size_t Resident = peakResidentBytes(Mesh.processOf(Index));
    cr_log_info("daemon %d: peak resident %zu KiB, '%s'", Index, Resident >> 10,
                Status.c_str());
    cr_expect_leq(Resident, MemoryMb << 20);
  }
  cr_assert_eq(Status, "HTTP/1.1 200");
}

} // namespace

Test(LargestBody, IsServedWhenAnnounced) { checkServed(false, 111); }

Test(LargestBody, IsServedWhenChunked) { checkServed(true, 112); }
