#include "net/PipelinedConnection.h"

#include "core/Log.h"
#include "net/Peek.h"
#include "net/ReadRequest.h"

#include <algorithm>
#include <array>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/write.hpp>

namespace hemlockspar {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t ReadChunkBytes = 4096;

/// Interval at which the connection is checked for a disconnect while nothing
/// is read from it. Work must end within 0.5 s of the caller's disconnect,
/// including its cancellation at another machine.
constexpr auto DisconnectCheckInterval = std::chrono::milliseconds(100);

/// How long input behind the closing response is discarded. Closing a socket
/// with unread input resets the connection, which can destroy the response
/// before the caller has read it; this is several round trips between regions.
constexpr auto DiscardTimeout = std::chrono::milliseconds(250);

/// Whether \p Request may run side by side with others: it is safe to abandon.
PipelineKind kindOf(const HttpRequest &Request) {
  bool Safe = Request.method() == http::verb::get ||
              Request.method() == http::verb::head;
  return Safe && Request.body().empty() && !Request.chunked()
             ? PipelineKind::Concurrent
             : PipelineKind::Exclusive;
}

} // namespace

PipelinedConnection::PipelinedConnection(Host &Server,
                                         const PipelineLimits &Limits,
                                         asio::ip::tcp::socket Socket,
                                         MemoryBudgetPtr Memory)
    : Server(Server), Memory(std::move(Memory)), Queue(Limits),
      Stream(std::move(Socket)), Buffer(MaxUnparsedBytes),
      Changed(Stream.get_executor()), ReadTimer(Stream.get_executor()) {}

bool PipelinedConnection::isIdle() const {
  return this->Queue.isEmpty() && !this->Queue.hasReadingEnded() &&
         !this->ReadingRequest && this->Buffer.size() == 0;
}

bool PipelinedConnection::isDisplaceable() {
  bool Unserved = this->Queue.isEmpty() && this->RunningCount == 0 &&
                  !this->Writing && !this->Displaced && !this->Disconnected;
  return Unserved && (this->ReadingRequest ||
                      peek(this->Stream.socket()) != ConnectionState::Readable);
}

void PipelinedConnection::displace() {
  this->Displaced = true;
  this->ReadCancellation.emit(asio::cancellation_type::terminal);
}

void PipelinedConnection::serve(const asio::yield_context &Yield) {
  while (this->readNext(Yield)) {
  }
  this->awaitEnd(Yield);

  error_code Ignored;
  this->Stream.socket().shutdown(asio::socket_base::shutdown_send, Ignored);
  if (this->Closed) {
    this->discardInput(Yield);
  }
  this->ReadTimer.cancel();
}

// Reading

bool PipelinedConnection::readNext(const asio::yield_context &Yield) {
  if (!this->awaitAdding(Yield) || !this->awaitFirstByte(Yield)) {
    return false;
  }

  this->ReadingRequest = true;
  Clock::time_point Until = Clock::now() + this->Server.limits().ReadTimeout;
  std::size_t Pending = this->Buffer.size();
  auto Held = std::make_unique<MemoryBudget::Reservation>(this->Memory,
                                                          HolderKind::Request);
  Held->setDroppable(
      [this] {
        this->ReadCancellation.emit(asio::cancellation_type::terminal);
      },
      BootClock::now());
  ReadResult Result = readRequest(
      this->Buffer, this->Server.limits(),
      [&](asio::mutable_buffer Space, error_code &Error) {
        return this->fill(Space, Until, Pending, Error, Yield);
      },
      *Held, this->Memory->largeLimit());
  if (Result.Error) {
    Held.reset();
    auto Response = errorResponseFor(Result.Error);
    if (Response && this->awaitAdding(Yield)) {
      this->addRefusal(std::move(*Response));
    } else if (!this->Queue.hasReadingEnded()) {
      this->disconnect();
    }
    return false;
  }

  // A shutdown may have begun, or reading ended, since the first byte.
  if (!this->awaitAdding(Yield)) {
    return false;
  }
  this->addRequest(std::move(Result.Request), Result.Bytes, std::move(Held));
  this->ReadingRequest = false;
  return true;
}

bool PipelinedConnection::awaitFirstByte(const asio::yield_context &Yield) {
  if (this->Buffer.size() > 0) {
    return true;
  }

  if (!this->awaitAllowance(0, Yield)) {
    return false;
  }
  // While requests are unanswered, onWritten starts the timer.
  if (this->Queue.isEmpty()) {
    this->setReadTimer(Clock::now() + this->Server.idleTimeout());
  }
  error_code Error;
  std::size_t Space = std::min(ReadChunkBytes, this->Queue.allowance(0));
  this->Buffer.commit(
      this->readSome(this->Buffer.prepare(Space), Error, Yield));
  if (Error && !this->Queue.hasReadingEnded()) {
    this->disconnect();
  }
  return !Error;
}

std::size_t PipelinedConnection::fill(asio::mutable_buffer Space,
                                      Clock::time_point &Until,
                                      std::size_t &Pending, error_code &Error,
                                      const asio::yield_context &Yield) {
  Clock::time_point PausedAt = Clock::now();
  if (!this->awaitAllowance(Pending, Yield)) {
    Error = asio::error::operation_aborted;
    return 0;
  }

  // The caller cannot send while nothing is read.
  Until += Clock::now() - PausedAt;
  this->setReadTimer(Until);
  std::size_t Size = std::min(Space.size(), this->Queue.allowance(Pending));
  std::size_t Count = this->readSome(asio::buffer(Space, Size), Error, Yield);
  Pending += Count;
  return Count;
}

std::size_t PipelinedConnection::readSome(asio::mutable_buffer Space,
                                          error_code &Error,
                                          const asio::yield_context &Yield) {
  this->ReadTimedOut = false;
  std::size_t Count = this->Stream.socket().async_read_some(
      Space, asio::bind_cancellation_slot(this->ReadCancellation.slot(),
                                          Yield[Error]));
  ++this->ReadNumber;
  this->LastProgress = BootClock::now();
  this->ReadTimer.cancel();
  if (Error == asio::error::operation_aborted && this->ReadTimedOut) {
    Error = boost::beast::error::timeout;
  }
  return Count;
}

void PipelinedConnection::setReadTimer(Clock::time_point Until) {
  this->ReadTimer.expires_at(Until);
  this->ReadTimer.async_wait(
      [Self = this->shared_from_this(),
       Number = this->ReadNumber](const error_code &Error) {
        if (!Error && Number == Self->ReadNumber) {
          Self->ReadTimedOut = true;
          Self->ReadCancellation.emit(asio::cancellation_type::terminal);
        }
      });
}

bool PipelinedConnection::awaitAdding(const asio::yield_context &Yield) {
  return this->awaitPermission(
      [this] { return this->Queue.mayAdd(this->Server.keepsAlive()); }, Yield);
}

bool PipelinedConnection::awaitAllowance(std::size_t Pending,
                                         const asio::yield_context &Yield) {
  return this->awaitPermission(
      [this, Pending] {
        return this->Queue.mayAdd(this->Server.keepsAlive()) &&
               this->Queue.allowance(Pending) > 0;
      },
      Yield);
}

bool PipelinedConnection::awaitPermission(
    const std::function<bool()> &IsPermitted,
    const asio::yield_context &Yield) {
  while (!this->Disconnected && !this->Queue.hasReadingEnded()) {
    if (IsPermitted()) {
      return true;
    }
    this->awaitChange(Yield);
  }
  return false;
}

void PipelinedConnection::addRequest(HttpRequest Request, std::size_t Bytes,
                                     ReservationPtr Held) {
  bool KeepAlive = Request.keep_alive();
  PipelineNumber Number = this->Queue.add(kindOf(Request), Bytes);
  this->Exchanges[Number].Request = std::move(Request);
  this->Exchanges[Number].RequestHeld = std::move(Held);
  if (!KeepAlive) {
    this->Queue.endReading();
  }
  this->Server.onRequestRead();
  this->startRequests();
}

void PipelinedConnection::addRefusal(HttpResponse Response) {
  PipelineNumber Number = this->Queue.add(PipelineKind::Unreadable, 0);
  this->Exchanges[Number].Response = std::move(Response);
  this->Server.onRequestRead();
  this->writeNext();
}

// Running

void PipelinedConnection::startRequests() {
  for (PipelineNumber Number : this->Queue.takeStartable()) {
    ++this->RunningCount;
    asio::spawn(
        this->Stream.get_executor(),
        [Self = this->shared_from_this(), Number](
            const asio::yield_context &Yield) { Self->run(Number, Yield); },
        asio::detached);
  }
}

void PipelinedConnection::run(PipelineNumber Number,
                              const asio::yield_context &Yield) {
  Exchange &Current = this->Exchanges[Number];
  auto Watch = std::make_shared<CallerWatch>();
  Watch->Disconnected = this->Disconnected;
  Watch->IsConnectionClosed = [this] {
    return isClosedByPeer(this->Stream.socket());
  };
  Current.Watch = Watch;

  bool Failed = false;
  Current.Response =
      this->Server.runHandler(Current.Request, *Watch, Yield, Failed);
  Watch->OnCancel = nullptr;
  Watch->IsConnectionClosed = nullptr;
  Current.Watch = nullptr;

  // The request has been answered; the response is there already, so its memory
  // can't be refused any more.
  Current.Request.body() = std::string();
  Current.RequestHeld.reset();
  Current.ResponseHeld = std::make_unique<MemoryBudget::Reservation>(
      this->Memory, HolderKind::Response);
  Current.ResponseHeld->charge(Current.Response.body().size(),
                               BootClock::now());
  Current.Response.version(Current.Request.version());
  if (Current.Request.method() == http::verb::head) {
    Current.Response.body().clear();
  }
  --this->RunningCount;
  this->Queue.setReady(Number);
  if (Failed && !this->Disconnected) {
    this->Queue.endReading();
    this->ReadCancellation.emit(asio::cancellation_type::terminal);
  }
  this->writeNext();
  this->Changed.cancel();
}

// Writing

void PipelinedConnection::writeNext() {
  if (this->Disconnected) {
    return;
  }
  auto Next = this->Queue.takeWrite(this->Server.keepsAlive());
  if (!Next) {
    return;
  }

  this->Writing = true;
  Exchange &Current = this->Exchanges[Next->Number];
  Current.Response.keep_alive(!Next->Closes);
  Current.Response.prepare_payload();
  if (Current.ResponseHeld) {
    Current.ResponseHeld->setDroppable([this] { this->Stream.close(); },
                                       BootClock::now());
  }
  this->Stream.expires_after(this->Server.limits().WriteTimeout);
  this->Serializer.emplace(Current.Response);
  this->writeSome(Next->Number, Next->Closes);
}

void PipelinedConnection::writeSome(PipelineNumber Number, bool Closes) {
  http::async_write_some(this->Stream, *this->Serializer,
                         [Self = this->shared_from_this(), Number,
                          Closes](const error_code &Error, std::size_t) {
                           Exchange &Current = Self->Exchanges[Number];
                           if (Current.ResponseHeld) {
                             Current.ResponseHeld->onProgress(BootClock::now());
                           }
                           if (!Error && !Self->Serializer->is_done()) {
                             Self->writeSome(Number, Closes);
                             return;
                           }
                           Self->Serializer.reset();
                           Self->onWritten(Number, Closes, bool(Error));
                         });
}

void PipelinedConnection::onWritten(PipelineNumber Number, bool Closes,
                                    bool Failed) {
  this->Writing = false;
  this->Changed.cancel();
  if (Failed || this->Disconnected) {
    this->disconnect();
    return;
  }

  this->LastProgress = BootClock::now();
  this->Queue.onWritten();
  this->Exchanges.erase(Number);
  this->Server.onRequestEnded();
  this->Used = true;
  if (Closes) {
    this->Closed = true;
    this->ReadCancellation.emit(asio::cancellation_type::terminal);
    return;
  }
  if (this->isIdle()) {
    this->setReadTimer(Clock::now() + this->Server.idleTimeout());
  }
  this->startRequests();
  this->writeNext();
}

// End of the connection

void PipelinedConnection::awaitChange(const asio::yield_context &Yield) {
  error_code Ignored;
  this->Changed.expires_after(DisconnectCheckInterval);
  this->Changed.async_wait(Yield[Ignored]);
  if (!this->Disconnected && isClosedByPeer(this->Stream.socket())) {
    this->disconnect();
  }
}

void PipelinedConnection::disconnect() {
  if (this->Disconnected) {
    return;
  }
  this->Disconnected = true;
  this->ReadCancellation.emit(asio::cancellation_type::terminal);
  this->Changed.cancel();
  if (this->RunningCount > 0) {
    LogLine(LogLevel::Info, "net", "caller_disconnected")
        .with("running", static_cast<long long>(this->RunningCount))
        .with("unanswered", static_cast<long long>(this->Queue.size()));
  }

  // A cancelled request may end its exchange, so the watches are kept apart.
  std::vector<std::shared_ptr<CallerWatch>> Watches;
  for (auto &[Number, Current] : this->Exchanges) {
    if (Current.Watch) {
      Watches.push_back(Current.Watch);
    }
  }
  for (const auto &Watch : Watches) {
    Watch->Disconnected = true;
    auto Cancel = Watch->OnCancel;
    if (Cancel) {
      Cancel();
    }
  }
}

void PipelinedConnection::awaitEnd(const asio::yield_context &Yield) {
  while (!this->Disconnected && !this->Queue.isEmpty()) {
    this->awaitChange(Yield);
  }
  while (this->RunningCount > 0 || this->Writing) {
    error_code Ignored;
    this->Changed.expires_at(Clock::time_point::max());
    this->Changed.async_wait(Yield[Ignored]);
  }
  for (std::size_t Left = this->Queue.size(); Left > 0; --Left) {
    this->Server.onRequestEnded();
  }
}

void PipelinedConnection::discardInput(const asio::yield_context &Yield) {
  error_code Error;
  std::array<char, ReadChunkBytes> Discarded{};
  Clock::time_point Until = Clock::now() + DiscardTimeout;
  while (!Error) {
    this->setReadTimer(Until);
    this->readSome(asio::buffer(Discarded), Error, Yield);
  }
}

} // namespace hemlockspar
