#pragma once

#include "net/HttpClient.h"
#include "stand_ins/Quantiles.h"

#include <map>
#include <random>

namespace hemlockspar {

/// What a load run sends.
struct LoadOptions {
  std::vector<Address> Targets;
  std::vector<std::string> Keyspaces;
  std::uint32_t Keys = 1000;

  /// Share of the requests that go to one hot key.
  double HotShare = 0;

  /// Used when no rate is given: each sends its next request as soon as the
  /// last one is answered.
  std::uint32_t Connections = 16;

  /// Requests a second, at random moments; zero for none.
  double Rate = 0;

  /// From SurgeAt on, the rate is this many times higher.
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

  /// Whether a request that was not run is sent again until its deadline.
  bool RetryNotRun = false;
};

/// What came of a load run.
struct LoadResult {
  std::map<std::string, std::uint64_t> Outcomes;
  std::map<std::string, std::uint64_t> Reasons;
  std::map<std::string, std::uint64_t> AnsweredByCaller;

  /// Answers that were not those of their own request.
  std::uint64_t Mismatched = 0;

  /// Connections refused or broken, without any answer.
  std::uint64_t ConnectionFailures = 0;

  Quantiles ShortMs;
  Quantiles LongMs;

  /// Quantiles in the time of the surge only.
  Quantiles SurgeShortMs;

  /// Longest span without any answered request.
  double LongestGapMs = 0;
  double Seconds = 0;

  /// Idempotency keys of writes that were answered.
  std::vector<std::string> Acknowledged;

  /// Idempotency keys of writes told not to have run, and not sent again.
  std::vector<std::string> NotRun;

  Json::Value toJson();
};

/// Sends load from many connections on one thread and checks every answer
/// against its own request.
class LoadGenerator {
public:
  LoadGenerator(boost::asio::io_context &Io, LoadOptions Options);

  /// Starts the connections; the run is over when the io_context has no more
  /// work.
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

  /// Sends at the given rate, whatever becomes of earlier requests.
  void runOpenLoop(const boost::asio::yield_context &Yield);

  /// Sends the next request when the last one has ended.
  void runClosedLoop(std::uint32_t Number,
                     const boost::asio::yield_context &Yield);
  PlannedRequest makePlannedRequest(std::uint32_t Number);
  void sendOne(PlannedRequest &Work, std::size_t &Target, TimePoint DueAt,
               const boost::asio::yield_context &Yield);
  void recordResult(const PlannedRequest &Work, const ExchangeResult &Exchange,
                    TimePoint DueAt);
  bool matchesRequest(const PlannedRequest &Work,
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
