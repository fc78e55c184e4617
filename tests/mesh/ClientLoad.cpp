#include "tests/mesh/ClientLoad.h"

#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

namespace hemlockspar {

namespace {

/// A client that can neither send nor receive for so long gives up.
constexpr int StallSeconds = 3;

std::atomic<int> LastRequest = 0;

std::string commonHeaders() {
  return absl::StrCat("Host: spa.example\r\nDeadline-Ms: 8000\r\nRequest-Id: u",
                      ++LastRequest, "\r\n");
}

} // namespace

RawClient::RawClient(const Address &Server, int ReceiveBufferBytes)
    : Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  timeval Limit{StallSeconds, 0};
  setsockopt(this->Socket, SOL_SOCKET, SO_SNDTIMEO, &Limit, sizeof(Limit));
  setsockopt(this->Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  if (ReceiveBufferBytes > 0) {
    setsockopt(this->Socket, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
               sizeof(ReceiveBufferBytes));
  }

  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(Server.Port);
  inet_pton(AF_INET, Server.Host.c_str(), &To.sin_addr);
  if (::connect(this->Socket, reinterpret_cast<sockaddr *>(&To), sizeof(To))) {
    ::shutdown(this->Socket, SHUT_RDWR);
  }
}

RawClient::~RawClient() { ::close(this->Socket); }

bool RawClient::send(const std::string &Bytes) const {
  std::size_t Sent = 0;
  while (Sent < Bytes.size()) {
    ssize_t Count = ::send(this->Socket, Bytes.data() + Sent,
                           Bytes.size() - Sent, MSG_NOSIGNAL);
    if (Count <= 0) {
      return false;
    }
    Sent += static_cast<std::size_t>(Count);
  }
  return true;
}

std::string RawClient::read(std::size_t Limit) const {
  std::string Received;
  std::string Part(64 << 10, '\0');
  while (Received.size() < Limit) {
    ssize_t Count = ::recv(this->Socket, Part.data(), Part.size(), 0);
    if (Count <= 0) {
      return Received;
    }
    Received.append(Part, 0, static_cast<std::size_t>(Count));
  }
  return Received;
}

std::vector<std::unique_ptr<RawClient>> runClients(std::size_t Count,
                                                   const Address &Server,
                                                   const ClientScript &Script,
                                                   int ReceiveBufferBytes) {
  std::vector<std::unique_ptr<RawClient>> Clients(Count);
  std::vector<std::thread> Threads;
  for (auto &Client : Clients) {
    Threads.emplace_back([&Client, &Server, &Script, ReceiveBufferBytes] {
      Client = std::make_unique<RawClient>(Server, ReceiveBufferBytes);
      Script(*Client);
    });
  }
  for (std::thread &Thread : Threads) {
    Thread.join();
  }
  return Clients;
}

std::string announcedHeader(const std::string &Path, std::size_t Bytes) {
  return absl::StrCat("POST ", Path, " HTTP/1.1\r\n", commonHeaders(),
                      "Content-Length: ", Bytes, "\r\n\r\n");
}

std::string chunkedHeader(const std::string &Path) {
  return absl::StrCat("POST ", Path, " HTTP/1.1\r\n", commonHeaders(),
                      "Transfer-Encoding: chunked\r\n\r\n");
}

std::string getRequest(const std::string &Path) {
  return absl::StrCat("GET ", Path, " HTTP/1.1\r\n", commonHeaders(), "\r\n");
}

std::string chunk(std::size_t Bytes) {
  return absl::StrCat(absl::Hex(Bytes), "\r\n", std::string(Bytes, 'c'),
                      "\r\n");
}

std::size_t peakResidentBytes(int Pid) {
  std::ifstream File(absl::StrCat("/proc/", Pid, "/status"));
  std::string Word;
  std::size_t Kilobytes = 0;
  while (File >> Word) {
    if (Word == "VmHWM:") {
      File >> Kilobytes;
    }
  }
  return Kilobytes << 10;
}

std::size_t openDescriptors(int Pid) {
  std::error_code Error;
  std::filesystem::directory_iterator Entries(
      absl::StrCat("/proc/", Pid, "/fd"), Error);
  return Error ? 0
               : static_cast<std::size_t>(
                     std::distance(begin(Entries), end(Entries)));
}

} // namespace hemlockspar
