#include "daemon/ControlPlane.h"

#include "core/ErrorMacros.h"
#include "core/Json.h"
#include "daemon/PeerCodec.h"
#include "daemon/Resources.h"
#include "platform/TableCodec.h"

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

constexpr auto IdleCheckInterval = std::chrono::seconds(1);

MemberIdentity identityOf(const Settings &Config, Incarnation Incarnation) {
  MemberIdentity Identity;
  Identity.Instance = Config.Instance;
  Identity.Incarnation = Incarnation;
  Identity.Region = Config.Region;
  Identity.DataCenter = Config.DataCenter;
  Identity.Addresses = Config.Advertise;
  return Identity;
}

bool isPlacementWarning(PlacementEvent Event) {
  return Event == PlacementEvent::LeaseForgotten ||
         Event == PlacementEvent::Superseded ||
         Event == PlacementEvent::TakeoverFailed ||
         Event == PlacementEvent::HandoverFailed;
}

} // namespace

ControlPlane::ControlPlane(asio::io_context &Io, const Settings &Config,
                           Metrics &Counters, TableService &Table,
                           RpcClient &Peers,
                           BoundedRing<ToRequests> &ToRequestThread,
                           BoundedRing<ToControl> &FromRequests,
                           hemlockspar::Incarnation Incarnation)
    : Config(Config), Counters(Counters), Table(Table), Peers(Peers),
      ToRequestThread(ToRequestThread), Server(Io, Dispatcher),
      Self(identityOf(Config, Incarnation), Timing(), *this, Incarnation,
           BootClock::now()),
      Calls(Io, Peers, Self.directory(), Config.Instance), Ticker(Io) {
  FromRequests.setHandler([this](ToControl &&Message) {
    this->onRequestThread(std::move(Message));
  });
  this->bindCalls();
}

absl::Status ControlPlane::start() {
  const Endpoints &Listen = this->Config.Listen;
  absl::Status Listening =
      this->Server.listen({Listen.Host, Listen.ControlPort});

  if (Listening.ok()) {
    this->scheduleTick();
  }
  return Listening;
}

void ControlPlane::scheduleTick() {
  this->Ticker.expires_after(Member::TickInterval);
  this->Ticker.async_wait([this](const boost::system::error_code &Error) {
    if (!Error) {
      this->tick();
      this->scheduleTick();
    }
  });
}

void ControlPlane::tellRequestThread(ToRequests &&Message) {
  this->Unsent.push_back(std::move(Message));
  this->flushToRequestThread();
}

void ControlPlane::flushToRequestThread() {
  // A message that the ring refuses has not been moved from.
  while (!this->Unsent.empty() &&
         this->ToRequestThread.push(std::move(this->Unsent.front()))) {
    this->Unsent.pop_front();
  }
}

void ControlPlane::tick() {
  TimePoint Now = BootClock::now();
  this->flushToRequestThread();
  this->applyBackend(Now);
  this->Self.tick(Now);
  this->publish();
  this->setGauges();
  this->checkDrained();

  // A push speaks to every peer; connections kept to all of them would cost
  // far more memory than the rows.
  if (Now >= this->NextIdleCheckAt) {
    this->NextIdleCheckAt = Now + IdleCheckInterval;
    this->Calls.closeIdle();
  }
}

void ControlPlane::publish() {
  if (this->PublishedChanges != this->Self.rowChangeCount()) {
    this->PublishedChanges = this->Self.rowChangeCount();
    this->tellRequestThread(RoutingChanged{
        RoutingTable::build(this->Self.directory(), this->Self.cache())});
    this->publishPolicy();
  }

  TimePoint Lease = this->Self.leaseExpiresAt();
  if (Lease != this->PublishedLease) {
    this->PublishedLease = Lease;
    this->tellRequestThread(LeaseExtended{Lease});
  }
}

void ControlPlane::publishPolicy() {
  const std::string Service =
      this->Backend.placementState(BootClock::now()).Service;
  const TableRow *Row =
      this->Self.cache().find(resourceKey(ResourceKind::Policy, Service));
  auto Policy = Row ? Resource::fromRow(*Row) : std::nullopt;
  Json::Value Spec = Policy ? Policy->Spec : Json::Value();

  auto Placement = placementPreferenceOf(getString(Spec, "placement"));
  auto Order = queueOrderOf(getString(Spec, "queue"));
  this->Self.setPreference(Placement.value_or(PlacementPreference::FewMoves));
  this->tellRequestThread(
      QueueOrderChanged{Order.value_or(QueueOrder::Classed)});
}

void ControlPlane::applyBackend(TimePoint Now) {
  BackendChanged State = this->Backend.state(Now);
  this->Self.setBackend(this->Backend.placementState(Now));
  this->Self.setTakeoverDelay(this->Backend.takeoverDelayMs());

  const BackendChanged &Old = this->PublishedBackend;
  bool Changed = State.Serving != Old.Serving || State.Lost != Old.Lost ||
                 State.Server != Old.Server || State.Capacity != Old.Capacity ||
                 State.ChecksGrants != Old.ChecksGrants ||
                 State.MaxRun != Old.MaxRun;
  if (!Changed) {
    return;
  }

  LogLine(LogLevel::Info, "placement", "backend_changed")
      .with("server", State.Server.toText())
      .with("serving", State.Serving ? "yes" : "no")
      .with("lost", State.Lost ? "yes" : "no")
      .with("capacity", State.Capacity);
  this->PublishedBackend = State;
  this->tellRequestThread(std::move(State));
  this->publishPolicy();
}

void ControlPlane::onAnnouncement(const BackendAnnouncement &Announced) {
  TimePoint Now = BootClock::now();
  this->Backend.onAnnouncement(Announced, Now);
  this->applyBackend(Now);
}

void ControlPlane::onRequestThread(ToControl &&Message) {
  TimePoint Now = BootClock::now();

  if (auto *Frozen = std::get_if<SlotsFrozen>(&Message)) {
    this->Self.onSlotsIdle(Frozen->Frozen.HandoverId, Frozen->Frozen.Slots,
                           Now);
  } else if (auto *Measured = std::get_if<LoadMeasured>(&Message)) {
    this->Load = Measured->Load;
    this->Self.setLoad(std::move(Measured->Load));
  } else if (std::holds_alternative<BackendLost>(Message)) {
    this->Backend.onLost();
    this->applyBackend(Now);
  } else if (std::holds_alternative<RefreshWanted>(Message)) {
    this->Self.requestTableRead();
  } else if (std::holds_alternative<ConnectionsDone>(Message)) {
    this->ConnectionsServed = true;
  }
}

void ControlPlane::beginDrain(std::function<void()> OnLeft) {
  HS_FAIL_COND(this->Draining);

  this->Draining = true;
  this->OnLeft = std::move(OnLeft);
  this->DrainDeadline = BootClock::now() + this->Config.DrainTimeout;
  this->Self.beginDrain();
  this->tellRequestThread(DrainAdvanced{false});
}

void ControlPlane::checkDrained() {
  bool Left = this->Self.membership() == Membership::Released ||
              BootClock::now() >= this->DrainDeadline;
  if (!this->Draining || !Left || !this->OnLeft) {
    return;
  }

  if (!this->LeftAnnounced) {
    this->LeftAnnounced = true;
    this->tellRequestThread(DrainAdvanced{true});
  }

  if (this->ConnectionsServed || BootClock::now() >= this->DrainDeadline) {
    auto Notify = std::move(this->OnLeft);
    this->OnLeft = nullptr;
    Notify();
  }
}

void ControlPlane::commitResource(const TableTransaction &Transaction,
                                  TableClient::CommitCallback OnDone) {
  this->Self.commit(
      Transaction, [this, Transaction, OnDone = std::move(OnDone)](
                       const CommitResult &Result, TimePoint Now) {
        if (Result.Outcome == CommitOutcome::Committed) {
          this->pushRows(writtenRows(Transaction, Result.Version));
          this->publish();
        }
        OnDone(Result, Now);
      });
}

void ControlPlane::askInForce(RowVersion Version, InForceDone OnDone) {
  struct Poll {
    std::vector<InstanceId> InForce;
    std::vector<InstanceId> Behind;
    std::size_t Outstanding = 1;
    InForceDone OnDone;
  };

  auto Asked = std::make_shared<Poll>();
  Asked->OnDone = std::move(OnDone);

  auto Note = [Asked](const InstanceId &Id, bool HasVersion) {
    (HasVersion ? Asked->InForce : Asked->Behind).push_back(Id);
  };
  auto FinishOne = [Asked] {
    if (--Asked->Outstanding == 0) {
      Asked->OnDone(std::move(Asked->InForce), std::move(Asked->Behind));
    }
  };

  for (const auto &[Id, Known] : this->Self.directory().instances()) {
    if (!Known.live()) {
      continue;
    }
    if (Id == this->Config.Instance) {
      Note(Id, this->Self.cache().completeVersion() >= Version);
      continue;
    }

    ++Asked->Outstanding;
    this->Calls.call(
        Id, "status", Json::Value(Json::objectValue),
        [Note, FinishOne, Id = Id, Version](const RpcAnswer &Answer) {
          bool Has =
              Answer.Succeeded && getUnsigned(Answer.Result, "c") >= Version;
          Note(Id, Has);
          FinishOne();
        });
  }
  FinishOne();
}

// MemberActions

void ControlPlane::commit(std::uint64_t Call,
                          const TableTransaction &Transaction) {
  this->Table.commit(Transaction, [this, Call](const CommitResult &Result) {
    this->Self.onCommitResult(Call, Result, BootClock::now());
    this->publish();
  });
}

void ControlPlane::readTable(RowVersion Since) {
  this->Table.read(Since, [this](const std::optional<RowBatch> &Batch) {
    this->Self.onTableRead(Batch, BootClock::now());
    this->publish();
  });
}

void ControlPlane::sendRenewal(const InstanceId &Witness,
                               const RenewalRequest &Request) {
  TimePoint SentAt = BootClock::now();
  this->Calls.call(Witness, "renew", toJson(Request),
                   [this, Witness, Request, SentAt](const RpcAnswer &Answer) {
                     if (!Answer.Succeeded) {
                       return;
                     }
                     this->Self.onRenewalReply(
                         Witness, Request, renewalReplyFromJson(Answer.Result),
                         SentAt);
                     this->publish();
                   });
}

void ControlPlane::sendVoteRequest(const InstanceId &Witness,
                                   const VoteRequest &Request) {
  this->Calls.call(Witness, "vote", toJson(Request),
                   [this, Witness, Request](const RpcAnswer &Answer) {
                     if (Answer.Succeeded) {
                       this->Self.onVoteReply(Witness, Request,
                                              voteReplyFromJson(Answer.Result),
                                              BootClock::now());
                     }
                   });
}

void ControlPlane::fetchPeerRows(const InstanceId &Peer, RowVersion Since) {
  this->Calls.readRows(Peer, Since,
                       [this](const std::optional<RowBatch> &Batch) {
                         if (!Batch) {
                           this->Self.onPeerRowsFailed();
                           return;
                         }
                         this->Self.onPeerRows(*Batch, BootClock::now());
                         this->publish();
                       });
}

void ControlPlane::pushRows(const RowBatch &Batch) { this->Calls.push(Batch); }

void ControlPlane::requestLoad(const InstanceId &Peer) {
  this->Calls.call(Peer, "load", Json::Value(Json::objectValue),
                   [this, Peer](const RpcAnswer &Answer) {
                     if (Answer.Succeeded) {
                       this->Self.onLoadReply(Peer,
                                              loadStatusFromJson(Answer.Result),
                                              BootClock::now());
                     }
                   });
}

void ControlPlane::freezeSlots(std::uint64_t Handover,
                               const SlotsByKeyspace &Slots, bool WaitForBusy) {
  this->tellRequestThread(FreezeWanted{Handover, Slots, WaitForBusy});
}

void ControlPlane::unfreezeSlots(std::uint64_t Handover) {
  // The new owner must be known before the slots are let go.
  this->publish();
  this->tellRequestThread(ThawWanted{Handover});
}

void ControlPlane::reportDecision(const PlacementDecision &Decision) {
  LogLevel Level =
      isPlacementWarning(Decision.Event) ? LogLevel::Warning : LogLevel::Info;
  LogLine(Level, "placement", nameOf(Decision.Event))
      .with("subject", Decision.Subject)
      .with("slots", static_cast<long long>(Decision.SlotCount))
      .with("detail", Decision.Detail);

  if (Decision.Event == PlacementEvent::TakeoverWon) {
    this->Counters.Takeovers.Increment();
  } else if (Decision.Event == PlacementEvent::HandoverDone) {
    this->Counters.SlotsMoved.Increment(double(Decision.SlotCount));
  }
}

// Calls between daemons

void ControlPlane::bindCalls() {
  this->Dispatcher.bind("renew", [this](const Json::Value &Params,
                                        Json::Value &Result) {
    RenewalRequest Request = renewalRequestFromJson(Params);
    if (Request.Holder.empty() || !this->Self.tableWasRead()) {
      return std::string("not ready");
    }
    Result =
        toJson(this->Self.onRenewal(Request.Holder, Request, BootClock::now()));
    return std::string();
  });

  this->Dispatcher.bind(
      "vote", [this](const Json::Value &Params, Json::Value &Result) {
        VoteRequest Request = voteRequestFromJson(Params);
        if (Request.Holder.empty() || !this->Self.tableWasRead()) {
          return std::string("not ready");
        }
        Result = toJson(this->Self.onVoteRequest(Request, BootClock::now()));
        return std::string();
      });

  this->Dispatcher.bind("rows", [this](const Json::Value &Params,
                                       Json::Value &Result) {
    Result =
        batchToJson(this->Self.cache().changesSince(getUnsigned(Params, "s")));
    return std::string();
  });

  this->Dispatcher.bind("push",
                        [this](const Json::Value &Params, Json::Value &Result) {
                          auto Batch = batchFromJson(Params);
                          if (!Batch) {
                            return std::string("rows are not well formed");
                          }
                          this->Self.onPeerPush(*Batch, BootClock::now());
                          this->publish();
                          Result = Json::Value(Json::objectValue);
                          return std::string();
                        });

  this->Dispatcher.bind("load", [this](const Json::Value &, Json::Value &Out) {
    Out = toJson(this->Self.loadStatus());
    return std::string();
  });

  this->Dispatcher.bind(
      "status", [this](const Json::Value &, Json::Value &Out) {
        Out["c"] = Json::UInt64(this->Self.cache().completeVersion());
        return std::string();
      });
}

void ControlPlane::setGauges() {
  const InstanceDirectory::Instance *Known =
      this->Self.directory().find(this->Config.Instance);
  bool Holds = this->Self.leaseExpiresAt() > BootClock::now();

  this->Counters.OwnedSlots.Set(Known ? double(countSlots(Known->Holding.Slots))
                                      : 0);
  this->Counters.TableVersion.Set(double(this->Self.cache().completeVersion()));
  this->Counters.LeaseHeld.Set(Holds ? 1 : 0);
  this->Counters.TableHealthy.Set(this->Self.tableHealthy() ? 1 : 0);
  this->Counters.ControlBytesSent.Set(
      double(this->Peers.bytesSent() + this->Server.bytesSent()));
  this->Counters.ControlBytesReceived.Set(
      double(this->Peers.bytesReceived() + this->Server.bytesReceived()));
}

} // namespace hemlockspar
