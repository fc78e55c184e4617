#pragma once

#include "net/Address.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hemlockspar {

/// One connection of a client that is not under control: it sends what it
/// likes, reads nothing unless told to, and leaves the connection open. Uses
/// blocking calls with a timeout.
class RawClient {
public:
  /// \p ReceiveBufferBytes limits what the kernel accepts for this client; 0
  /// for the default.
  explicit RawClient(const Address &Server, int ReceiveBufferBytes = 0);
  ~RawClient();

  RawClient(const RawClient &) = delete;
  RawClient &operator=(const RawClient &) = delete;

  /// Returns false when the server closed the connection or accepted nothing
  /// for some seconds.
  bool send(const std::string &Bytes) const;

  /// Reads until \p Limit bytes have been received, the connection has ended,
  /// or nothing has arrived for some seconds.
  std::string read(std::size_t Limit) const;

private:
  int Socket;
};

/// Sends one client's load on a connection that stays open afterwards.
using ClientScript = std::function<void(const RawClient &Client)>;

/// Runs \p Script on \p Count connections to \p Server at the same time, each
/// on its own thread, and returns the connections, which are still open.
std::vector<std::unique_ptr<RawClient>> runClients(std::size_t Count,
                                                   const Address &Server,
                                                   const ClientScript &Script,
                                                   int ReceiveBufferBytes = 0);

/// Header of a POST request to \p Path whose body has \p Bytes bytes.
std::string announcedHeader(const std::string &Path, std::size_t Bytes);

/// Header of a POST request to \p Path with a chunked body.
std::string chunkedHeader(const std::string &Path);

/// A complete GET request.
std::string getRequest(const std::string &Path);

/// One chunk of \p Bytes bytes.
std::string chunk(std::size_t Bytes);

/// Most resident memory that process \p Pid has had, in bytes, and the number
/// of its open descriptors; 0 when the process does not run.
std::size_t peakResidentBytes(int Pid);
std::size_t openDescriptors(int Pid);

} // namespace hemlockspar
