#include "daemon/Daemon.h"

#include "core/Log.h"
#include "daemon/ApiServer.h"
#include "daemon/ControlPlane.h"
#include "daemon/DataPlane.h"
#include "platform/HttpTableService.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <thread>

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

constexpr std::size_t RingCapacity = 4096;

/// Each process of an instance must have a greater number than the one before.
Incarnation chooseIncarnation() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<Incarnation>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Now).count());
}

void logStartFailure(const absl::Status &Status) {
  LogLine(LogLevel::Error, "daemon", "start_failed")
      .with("error", std::string(Status.message()));
}

} // namespace

int runDaemon(const Settings &Config) {
  std::signal(SIGPIPE, SIG_IGN);

  asio::io_context ControlIo(1);
  asio::io_context RequestIo(1);

  Metrics Counters;
  BoundedRing<RequestThreadMessage> ToRequestThread(RequestIo, RingCapacity);
  BoundedRing<ControlThreadMessage> ToControlThread(ControlIo, RingCapacity);

  HttpTableService Table(ControlIo, Config.TableAddress, Config.TableTimeout,
                         Config.Listen.Host);
  RpcClient Peers(ControlIo, Config.Listen.Host);
  DataPlane Data(RequestIo, Config, Counters, ToRequestThread, ToControlThread);
  ControlPlane Control(ControlIo, Config, Counters, Table, Peers,
                       ToRequestThread, ToControlThread, chooseIncarnation());
  ApiServer Api(ControlIo, Config, Counters, Control);

  for (const absl::Status &Started :
       {Data.start(), Control.start(), Api.start()}) {
    if (!Started.ok()) {
      logStartFailure(Started);
      return 1;
    }
  }

  asio::steady_timer LingerTimer(ControlIo);
  auto StopIoContexts = [&] {
    LingerTimer.expires_after(Config.DrainLinger);
    LingerTimer.async_wait([&](const boost::system::error_code &) {
      RequestIo.stop();
      ControlIo.stop();
    });
  };

  asio::signal_set Signals(ControlIo, SIGTERM, SIGINT);
  Signals.async_wait([&](const boost::system::error_code &Error, int) {
    if (!Error) {
      LogLine(LogLevel::Info, "daemon", "drain_begun");
      Control.beginDrain(StopIoContexts);
    }
  });

  LogLine(LogLevel::Info, "daemon", "started")
      .with("instance", Config.Instance)
      .with("callers", Config.Listen.CallerPort);

  auto RequestWorkGuard = asio::make_work_guard(RequestIo);
  std::thread RequestThread([&] { RequestIo.run(); });
  ControlIo.run();
  RequestThread.join();

  LogLine(LogLevel::Info, "daemon", "stopped");
  return 0;
}

} // namespace hemlockspar
