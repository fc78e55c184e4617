#include "daemon/ControlPlane.h"

#include "core/ErrorMacros.h"
#include "core/Json.h"
#include "daemon/PeerCodec.h"
#include "daemon/Resources.h"
#include "platform/TableCodec.h"

namespace hemlockspar {

namespace asio = boost::asio;

namespace {

constexpr auto IdleConnectionCheckInterval = std::chrono::seconds(1);

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
                           BoundedRing<RequestThreadMessage> &ToRequestThread,
                           BoundedRing<ControlThreadMessage> &FromRequests,
                           hemlockspar::Incarnation Incarnation)
    : Config(Config), Counters(Counters), Table(Table), Peers(Peers),
      ToRequestThread(ToRequestThread), Server(Io, Dispatcher),
      LocalMember(identityOf(Config, Incarnation), Timing(), *this, Incarnation,
                  BootClock::now()),
      PeerClient(Io, Peers, LocalMember.directory(), Config.Instance),
      TickTimer(Io) {
  FromRequests.setHandler([this](ControlThreadMessage &&Message) {
    this->onRequestThreadMessage(std::move(Message));
  });
  this->registerPeerMethods();
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
  this->TickTimer.expires_after(Member::TickInterval);
  this->TickTimer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error) {
      this->tick();
      this->scheduleTick();
    }
  });
}

void ControlPlane::sendToRequestThread(RequestThreadMessage &&Message) {
  this->PendingMessages.push_back(std::move(Message));
  this->flushToRequestThread();
}

void ControlPlane::flushToRequestThread() {
  // push does not move from a message when the ring buffer is full.
  while (!this->PendingMessages.empty() &&
         this->ToRequestThread.push(std::move(this->PendingMessages.front()))) {
    this->PendingMessages.pop_front();
  }
}

void ControlPlane::tick() {
  TimePoint Now = BootClock::now();
  this->flushToRequestThread();
  this->updateBackend(Now);
  this->LocalMember.tick(Now);
  this->publish();
  this->updateGauges();
  this->checkDrained();

  // A push connects to every peer. Keeping all of these connections open would
  // take far more memory than the rows.
  if (Now >= this->NextIdleCheckAt) {
    this->NextIdleCheckAt = Now + IdleConnectionCheckInterval;
    this->PeerClient.closeIdle();
  }
}

void ControlPlane::publish() {
  if (this->PublishedChangeCount != this->LocalMember.rowChangeCount()) {
    this->PublishedChangeCount = this->LocalMember.rowChangeCount();
    this->sendToRequestThread(RoutingChanged{RoutingTable::build(
        this->LocalMember.directory(), this->LocalMember.cache())});
    this->publishPolicy();
  }

  TimePoint Lease = this->LocalMember.leaseExpiresAt();
  if (Lease != this->PublishedLeaseExpiry) {
    this->PublishedLeaseExpiry = Lease;
    this->sendToRequestThread(LeaseExtended{Lease});
  }
}

void ControlPlane::publishPolicy() {
  const std::string Service =
      this->Backend.placementState(BootClock::now()).Service;
  const TableRow *Row = this->LocalMember.cache().find(
      resourceKey(ResourceKind::Policy, Service));
  auto Policy = Row ? Resource::fromRow(*Row) : std::nullopt;
  Json::Value Spec = Policy ? Policy->Spec : Json::Value();

  auto Placement = placementPreferenceOf(getString(Spec, "placement"));
  auto Order = queueOrderOf(getString(Spec, "queue"));
  this->LocalMember.setPreference(
      Placement.value_or(PlacementPreference::FewMoves));
  this->sendToRequestThread(
      QueueOrderChanged{Order.value_or(QueueOrder::Classed)});
}

void ControlPlane::updateBackend(TimePoint Now) {
  BackendStatus State = this->Backend.status(Now);
  this->LocalMember.setBackend(this->Backend.placementState(Now));
  this->LocalMember.setTakeoverDelay(this->Backend.takeoverDelayMs());

  const BackendStatus &Old = this->PublishedBackend;
  bool Changed = State.Serving != Old.Serving || State.Lost != Old.Lost ||
                 State.Server != Old.Server || State.Capacity != Old.Capacity ||
                 State.ChecksGrants != Old.ChecksGrants ||
                 State.MaxRunTime != Old.MaxRunTime;
  if (!Changed) {
    return;
  }

  LogLine(LogLevel::Info, "placement", "backend_changed")
      .with("server", State.Server.toText())
      .with("serving", State.Serving ? "yes" : "no")
      .with("lost", State.Lost ? "yes" : "no")
      .with("capacity", State.Capacity);
  this->PublishedBackend = State;
  this->sendToRequestThread(std::move(State));
  this->publishPolicy();
}

void ControlPlane::onAnnouncement(const BackendAnnouncement &Announced) {
  TimePoint Now = BootClock::now();
  this->Backend.onAnnouncement(Announced, Now);
  this->updateBackend(Now);
}

void ControlPlane::onRequestThreadMessage(ControlThreadMessage &&Message) {
  TimePoint Now = BootClock::now();

  if (auto *Frozen = std::get_if<SlotsFrozen>(&Message)) {
    this->LocalMember.onSlotsIdle(Frozen->Frozen.HandoverId,
                                  Frozen->Frozen.Slots, Now);
  } else if (auto *Measured = std::get_if<LoadMeasured>(&Message)) {
    this->Load = Measured->Load;
    this->LocalMember.setLoad(std::move(Measured->Load));
  } else if (std::holds_alternative<BackendUnreachable>(Message)) {
    this->Backend.onUnreachable();
    this->updateBackend(Now);
  } else if (std::holds_alternative<RoutingStale>(Message)) {
    this->LocalMember.requestTableRead();
  } else if (std::holds_alternative<ConnectionsClosed>(Message)) {
    this->AllConnectionsClosed = true;
  }
}

void ControlPlane::beginDrain(std::function<void()> OnDrained) {
  HS_FAIL_COND(this->Draining);

  this->Draining = true;
  this->OnDrained = std::move(OnDrained);
  this->DrainDeadline = BootClock::now() + this->Config.DrainTimeout;
  this->LocalMember.beginDrain();
  this->sendToRequestThread(DrainStateChanged{false});
}

void ControlPlane::checkDrained() {
  bool Left = this->LocalMember.membership() == Membership::Released ||
              BootClock::now() >= this->DrainDeadline;
  if (!this->Draining || !Left || !this->OnDrained) {
    return;
  }

  if (!this->LeaveAnnounced) {
    this->LeaveAnnounced = true;
    this->sendToRequestThread(DrainStateChanged{true});
  }

  if (this->AllConnectionsClosed || BootClock::now() >= this->DrainDeadline) {
    auto Notify = std::move(this->OnDrained);
    this->OnDrained = nullptr;
    Notify();
  }
}

void ControlPlane::commitResource(const TableTransaction &Transaction,
                                  TableClient::CommitCallback OnDone) {
  this->LocalMember.commit(
      Transaction, [this, Transaction, OnDone = std::move(OnDone)](
                       const CommitResult &Result, TimePoint Now) {
        if (Result.Outcome == CommitOutcome::Committed) {
          this->pushRows(writtenRows(Transaction, Result.Version));
          this->publish();
        }
        OnDone(Result, Now);
      });
}

void ControlPlane::queryInForce(RowVersion Version, InForceCallback OnDone) {
  struct Poll {
    std::vector<InstanceId> InForce;
    std::vector<InstanceId> Behind;
    std::size_t Outstanding = 1;
    InForceCallback OnDone;
  };

  auto Pending = std::make_shared<Poll>();
  Pending->OnDone = std::move(OnDone);

  auto RecordVersion = [Pending](const InstanceId &Id, bool HasVersion) {
    (HasVersion ? Pending->InForce : Pending->Behind).push_back(Id);
  };
  auto FinishOne = [Pending] {
    if (--Pending->Outstanding == 0) {
      Pending->OnDone(std::move(Pending->InForce), std::move(Pending->Behind));
    }
  };

  for (const auto &[Id, Known] : this->LocalMember.directory().instances()) {
    if (!Known.live()) {
      continue;
    }
    if (Id == this->Config.Instance) {
      RecordVersion(Id, this->LocalMember.cache().completeVersion() >= Version);
      continue;
    }

    ++Pending->Outstanding;
    this->PeerClient.call(Id, "status", Json::Value(Json::objectValue),
                          [RecordVersion, FinishOne, Id = Id,
                           Version](const RpcResponse &Response) {
                            bool Has =
                                Response.Succeeded &&
                                getUnsigned(Response.Result, "c") >= Version;
                            RecordVersion(Id, Has);
                            FinishOne();
                          });
  }
  FinishOne();
}

// MemberActions

void ControlPlane::commit(std::uint64_t Call,
                          const TableTransaction &Transaction) {
  this->Table.commit(Transaction, [this, Call](const CommitResult &Result) {
    this->LocalMember.onCommitResult(Call, Result, BootClock::now());
    this->publish();
  });
}

void ControlPlane::readTable(RowVersion Since) {
  this->Table.read(Since, [this](const std::optional<RowBatch> &Batch) {
    this->LocalMember.onTableRead(Batch, BootClock::now());
    this->publish();
  });
}

void ControlPlane::sendRenewal(const InstanceId &Witness,
                               const RenewalRequest &Request) {
  TimePoint SentAt = BootClock::now();
  this->PeerClient.call(
      Witness, "renew", toJson(Request),
      [this, Witness, Request, SentAt](const RpcResponse &Response) {
        if (!Response.Succeeded) {
          return;
        }
        this->LocalMember.onRenewalReply(
            Witness, Request, renewalReplyFromJson(Response.Result), SentAt);
        this->publish();
      });
}

void ControlPlane::sendVoteRequest(const InstanceId &Witness,
                                   const VoteRequest &Request) {
  this->PeerClient.call(Witness, "vote", toJson(Request),
                        [this, Witness, Request](const RpcResponse &Response) {
                          if (Response.Succeeded) {
                            this->LocalMember.onVoteReply(
                                Witness, Request,
                                voteReplyFromJson(Response.Result),
                                BootClock::now());
                          }
                        });
}

void ControlPlane::fetchPeerRows(const InstanceId &Peer, RowVersion Since) {
  this->PeerClient.readRows(
      Peer, Since, [this](const std::optional<RowBatch> &Batch) {
        if (!Batch) {
          this->LocalMember.onPeerRowsFailed();
          return;
        }
        this->LocalMember.onPeerRows(*Batch, BootClock::now());
        this->publish();
      });
}

void ControlPlane::pushRows(const RowBatch &Batch) {
  this->PeerClient.pushRows(Batch);
}

void ControlPlane::requestLoad(const InstanceId &Peer) {
  this->PeerClient.call(Peer, "load", Json::Value(Json::objectValue),
                        [this, Peer](const RpcResponse &Response) {
                          if (Response.Succeeded) {
                            this->LocalMember.onLoadReply(
                                Peer, loadStatusFromJson(Response.Result),
                                BootClock::now());
                          }
                        });
}

void ControlPlane::freezeSlots(std::uint64_t Handover,
                               const SlotsByKeyspace &Slots, bool WaitForBusy) {
  this->sendToRequestThread(FreezeSlots{Handover, Slots, WaitForBusy});
}

void ControlPlane::unfreezeSlots(std::uint64_t Handover) {
  // The request thread must know the new owner before the slots are unfrozen.
  this->publish();
  this->sendToRequestThread(ThawSlots{Handover});
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

// RPC methods for peers

void ControlPlane::registerPeerMethods() {
  this->Dispatcher.registerMethod(
      "renew", [this](const Json::Value &Params, Json::Value &Result) {
        RenewalRequest Request = renewalRequestFromJson(Params);
        if (Request.Holder.empty() || !this->LocalMember.tableWasRead()) {
          return std::string("holder missing or table not read yet");
        }
        Result = toJson(this->LocalMember.onRenewal(Request.Holder, Request,
                                                    BootClock::now()));
        return std::string();
      });

  this->Dispatcher.registerMethod("vote", [this](const Json::Value &Params,
                                                 Json::Value &Result) {
    VoteRequest Request = voteRequestFromJson(Params);
    if (Request.Holder.empty() || !this->LocalMember.tableWasRead()) {
      return std::string("holder missing or table not read yet");
    }
    Result = toJson(this->LocalMember.onVoteRequest(Request, BootClock::now()));
    return std::string();
  });

  this->Dispatcher.registerMethod(
      "rows", [this](const Json::Value &Params, Json::Value &Result) {
        Result = batchToJson(
            this->LocalMember.cache().changesSince(getUnsigned(Params, "s")));
        return std::string();
      });

  this->Dispatcher.registerMethod(
      "push", [this](const Json::Value &Params, Json::Value &Result) {
        auto Batch = batchFromJson(Params);
        if (!Batch) {
          return std::string("malformed rows");
        }
        this->LocalMember.onPeerPush(*Batch, BootClock::now());
        this->publish();
        Result = Json::Value(Json::objectValue);
        return std::string();
      });

  this->Dispatcher.registerMethod(
      "load", [this](const Json::Value &, Json::Value &Out) {
        Out = toJson(this->LocalMember.loadStatus());
        return std::string();
      });

  this->Dispatcher.registerMethod(
      "status", [this](const Json::Value &, Json::Value &Out) {
        Out["c"] = Json::UInt64(this->LocalMember.cache().completeVersion());
        return std::string();
      });
}

void ControlPlane::updateGauges() {
  const InstanceDirectory::Instance *Known =
      this->LocalMember.directory().find(this->Config.Instance);
  bool Holds = this->LocalMember.leaseExpiresAt() > BootClock::now();

  this->Counters.OwnedSlots.Set(Known ? double(countSlots(Known->Holding.Slots))
                                      : 0);
  this->Counters.TableVersion.Set(
      double(this->LocalMember.cache().completeVersion()));
  this->Counters.LeaseHeld.Set(Holds ? 1 : 0);
  this->Counters.TableHealthy.Set(this->LocalMember.tableHealthy() ? 1 : 0);
  this->Counters.ControlBytesSent.Set(
      double(this->Peers.bytesSent() + this->Server.bytesSent()));
  this->Counters.ControlBytesReceived.Set(
      double(this->Peers.bytesReceived() + this->Server.bytesReceived()));
}

} // namespace hemlockspar
