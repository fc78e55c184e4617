#pragma once

#include "mesh/WaitPolicy.h"
#include "mesh/admission/KindShares.h"
#include "mesh/admission/UrgencyOrder.h"
#include "mesh/admission/UrgentLoad.h"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/key.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index/ranked_index.hpp>
#include <boost/multi_index_container.hpp>

namespace hemlockspar {

/// The queue of a service whose routes have different priorities. Under
/// overload it sheds what costs callers least: first requests that can no
/// longer be answered in time, then the least urgent rank, within a rank the
/// request that frees most capacity. A more urgent request displaces waiting
/// less urgent ones that would start too late behind it. Requests that have
/// become late in a queue left by a burst wait behind the others of their rank.
/// Each operation takes time logarithmic in the number of waiting requests (and
/// linear in the number of routes). Performs no I/O.
class UrgencyDiscipline : public QueueDiscipline {
public:
  /// Rank of the calls that running requests make. They are not shed for being
  /// late, since the whole run of the parent would be lost.
  static constexpr std::uint32_t CallRank = 0;

  UrgencyDiscipline(const RunTimes &Times, const StandingQueue &Standing,
                    KindShares &Shares, std::unique_ptr<UrgencyOrder> Order);

  void push(const QueuedRequest &Request) override;
  std::optional<QueuedRequest> pop(std::uint32_t Limit, TimePoint Now) override;
  bool remove(RequestNumber Number) override;
  std::vector<QueuedRequest> removeLate(TimePoint Now) override;
  std::vector<QueuedRequest> removeExcess(std::uint32_t Limit,
                                          TimePoint Now) override;
  std::optional<QueuedRequest>
  displaceFor(const QueuedRequest &Request) override;
  void onFinished(const QueuedRequest &) override {}
  std::size_t size() const override { return this->Waiting.size(); }
  std::size_t countAhead(std::uint32_t Rank) const override;
  std::optional<Duration> workAhead(const QueuedRequest &Request,
                                    TimePoint Now) const override;

private:
  struct Entry {
    QueuedRequest Request;
    RequestKind Kind;
    std::uint32_t Rank = 0;

    /// The expected run time.
    Duration Run{};

    /// The request can no longer be in time.
    bool Late = false;
    TimePoint Key;

    /// A start after this time is expected to end after the due time.
    TimePoint StartBy;

    /// A start after this time cannot be answered before the deadline.
    TimePoint LatestStart;
    RequestNumber Number = 0;
  };

  struct ByNumber;
  struct ByOrder;
  struct ByKind;
  struct ByStartBy;
  struct ByLatestStart;

  using Entries = boost::multi_index_container<
      Entry, boost::multi_index::indexed_by<
                 boost::multi_index::hashed_unique<
                     boost::multi_index::tag<ByNumber>,
                     boost::multi_index::key<&Entry::Number>>,
                 boost::multi_index::ranked_unique<
                     boost::multi_index::tag<ByOrder>,
                     boost::multi_index::key<&Entry::Rank, &Entry::Late,
                                             &Entry::Key, &Entry::Number>>,
                 boost::multi_index::ordered_unique<
                     boost::multi_index::tag<ByKind>,
                     boost::multi_index::key<&Entry::Kind, &Entry::Late,
                                             &Entry::Key, &Entry::Number>>,
                 boost::multi_index::ordered_non_unique<
                     boost::multi_index::tag<ByStartBy>,
                     boost::multi_index::key<&Entry::Late, &Entry::StartBy>>,
                 boost::multi_index::ordered_non_unique<
                     boost::multi_index::tag<ByLatestStart>,
                     boost::multi_index::key<&Entry::LatestStart>>>>;

  /// Waiting requests of one kind.
  struct KindTotal {
    std::size_t Count = 0;
    Duration Work{};

    Duration meanRun() const { return this->Work / int(this->Count); }
  };

  Entry entryOf(const QueuedRequest &Request) const;

  /// Removes the entry at \p At of any index and returns its request.
  template <typename Index>
  QueuedRequest extract(Index &From, typename Index::iterator At);

  /// Whether \p Kind precedes more urgent requests now.
  bool isOwed(const RequestKind &Kind, TimePoint Now) const;

  /// The last waiting request of \p Kind, of which there is one.
  const Entry &lastOf(const RequestKind &Kind) const;

  /// The expected run time of the requests that start before \p New.
  Duration workBefore(const Entry &New) const;
  bool startsTooLate(const Entry &Last, std::uint32_t Limit,
                     TimePoint Now) const;

  /// Waiting kinds in the order of shedding: least urgent first, within a rank
  /// the longest work first.
  std::vector<RequestKind> kindsToShed() const;

  const RunTimes &Times;
  const StandingQueue &Standing;
  KindShares &Shares;
  std::unique_ptr<UrgencyOrder> Order;
  UrgentLoad Load;

  /// As last stated by pop.
  std::uint32_t Slots = 1;
  Entries Waiting;
  std::map<RequestKind, KindTotal> Totals;
};

} // namespace hemlockspar
