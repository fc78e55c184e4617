#pragma once

#include "net/HttpClient.h"
#include "stand_ins/Quantiles.h"

#include <map>
#include <random>

namespace hemlockspar {

/// The load to generate.
struct LoadOptions {
  std::vector<Address> Targets;
  std::vector<std::string> Keyspaces;
  std::uint32_t Keys = 1000;

  /// Share of the requests that go to a single hot key.
  double HotShare = 0;

  /// Closed-loop connections, used when no rate is set: each sends its next
  /// request as soon as the previous one is answered.
  std::uint32_t Connections = 16;

  /// Open-loop requests per second, with exponentially distributed gaps; zero
  /// for a closed loop.
  double Rate = 0;

  /// Multiplies the rate from SurgeAt on.
  double SurgeFactor = 1;
  std::chrono::milliseconds SurgeAt{0};
  std::chrono::milliseconds Length{5000};

  std::uint64_t ShortWorkUs = 0;
  std::uint64_t LongWorkUs = 0;
  double LongShare = 0;
  double PostShare = 0;
  std::uint64_t TimeoutMs = 5000;
  std::uint32_t Callers = 1;
  std::uint32_t BodyBytes = 0;
  std::uint64_t Seed = 1;

  /// Sends a request that was not executed again until its deadline.
  bool RetryNotRun = false;
};

/// Results of a load run.
struct LoadResult {
  std::map<std::string, std::uint64_t> Outcomes;
  std::map<std::string, std::uint64_t> Reasons;
  std::map<std::string, std::uint64_t> AnsweredByCaller;

  /// Responses that did not belong to their request.
  std::uint64_t Mismatched = 0;

  /// Requests without a response, because the connection was refused or broken
  /// or the deadline passed.
  std::uint64_t ConnectionFailures = 0;

  Quantiles ShortMs;
  Quantiles LongMs;

  /// Latencies of the short requests that were due during the surge.
  Quantiles SurgeShortMs;

  /// Longest time without an answered request.
  double LongestGapMs = 0;
  double Seconds = 0;

  /// Idempotency keys of writes that were answered.
  std::vector<std::string> Acknowledged;

  /// Idempotency keys of writes that were reported as not executed and were not
  /// sent again.
  std::vector<std::string> NotRun;

  Json::Value toJson();
};

/// Sends requests over many connections on one thread and checks that each
/// response belongs to its request.
class LoadGenerator {
public:
  LoadGenerator(boost::asio::io_context &Io, LoadOptions Options);

  /// Starts sending; the run is over when the io_context has no more work.
  void start();

  LoadResult &result() { return this->Result; }

private:
  struct PlannedRequest {
    HttpRequest Request;
    std::string Path;
    std::string Caller;
    std::string Key;
    bool Long = false;
    bool Write = false;
  };

  /// Sends requests at the given rate, independently of earlier responses.
  void runOpenLoop(const boost::asio::yield_context &Yield);

  /// Sends each request when the previous one has ended.
  void runClosedLoop(std::uint32_t Number,
                     const boost::asio::yield_context &Yield);
  PlannedRequest makePlannedRequest(std::uint32_t Number);
  void sendOne(PlannedRequest &Planned, std::size_t &Target, TimePoint DueAt,
               const boost::asio::yield_context &Yield);
  void recordResult(const PlannedRequest &Planned,
                    const ExchangeResult &Exchange, TimePoint DueAt);
  bool matchesRequest(const PlannedRequest &Planned,
                      const HttpResponse &Response) const;
  void updateElapsedTime();
  double rateAt(TimePoint Moment) const;
  bool isSurging(TimePoint Moment) const;
  bool randomChance(double Share);

  boost::asio::io_context &Io;
  LoadOptions Options;
  HttpClient Client;
  std::mt19937_64 Random;
  LoadResult Result;
  TimePoint StartedAt;
  TimePoint LastAnsweredAt;
  std::uint64_t LastRequestNumber = 0;
  std::uint32_t ArrivalCount = 0;
};

} // namespace hemlockspar
