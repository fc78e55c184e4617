#include "net/RpcServer.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace hemlockspar {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t MaxLineBytes = 8 << 20;
constexpr std::size_t MaxConnections = 4096;

} // namespace

RpcServer::RpcServer(asio::io_context &Io, RpcDispatcher &Dispatcher)
    : Dispatcher(Dispatcher),
      ConnectionAcceptor(Io, MaxConnections,
                         [this](asio::ip::tcp::socket Socket,
                                const asio::yield_context &Yield) {
                           this->serve(std::move(Socket), Yield);
                         }) {}

void RpcServer::serve(asio::ip::tcp::socket Socket,
                      const asio::yield_context &Yield) {
  error_code Error;
  std::string Input;

  while (true) {
    std::size_t Length = asio::async_read_until(
        Socket, asio::dynamic_buffer(Input, MaxLineBytes), '\n', Yield[Error]);
    if (Error) {
      break;
    }

    std::string Response =
        this->Dispatcher.dispatch(Input.substr(0, Length - 1)) + "\n";
    Input.erase(0, Length);
    this->ReceivedBytes += Length;
    this->SentBytes += Response.size();

    asio::async_write(Socket, asio::buffer(Response), Yield[Error]);
    if (Error) {
      break;
    }
  }
}

} // namespace hemlockspar
