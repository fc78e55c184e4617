#!/bin/bash
# Mutation test of the tests: breaks one rule of the protocol at a time in a
# copy of the source tree and expects a test to fail.
#   mutants.sh [NAME ...]     runs all mutants, or only those named
# MUTANT_RUNS sets the number of random runs per property (default 150).
set -uo pipefail

Root=$(cd "$(dirname "$0")/.." && pwd)
Runs=${MUTANT_RUNS:-150}
Work=$(mktemp -d)
trap 'rm -rf "$Work"' EXIT

# name | file | test program and optional filter | perl substitution
Mutants='
previous-witnesses-not-asked|coordination/TakeoverManager.cpp|member_property_test|s/bool PreviousVoted =\s+!HasPrevious/bool PreviousVoted = true || !HasPrevious/
vote-does-not-bind|coordination/Witness.cpp|coordination_test|s/Record.VotedExpired = Record.VotedExpired \|\| Expired;\s+return Record.VotedExpired;/return Expired;/
minority-renews|coordination/LeaseHolder.cpp|member_property_test|s/std::size_t Majority = majorityOf\(Lease.Witnesses.size\(\)\);/std::size_t Majority = 1;/
lease-outlives-witness|coordination/Timing.h|member_property_test|s/1\.0 - this->DriftAllowance/1.0 + 4 * this->DriftAllowance/
takeover-unconditional|coordination/TransferBuilder.cpp|member_property_test|s/addConditionalWrite\(Transaction, leaseKey\(Lost\), Holder->LeaseVersion,\s+Ended.toText\(\)\);/Transaction.Writes.push_back({leaseKey(Lost), Ended.toText()});/; s/addConditionalWrite\(Transaction, holdingKey\(Lost\), Holder->HoldingVersion,\s+Emptied.toText\(\)\);/Transaction.Writes.push_back({holdingKey(Lost), Emptied.toText()});/
leftover-kept-on-write|coordination/LeaseHolder.cpp|coordination_test|s/void LeaseHolder::beforeRowWrite\(\) \{ this->Previous.reset\(\); \}/void LeaseHolder::beforeRowWrite() {}/
any-process-acknowledges|coordination/LeaseHolder.cpp|coordination_test|s/if \(this->Current->Witnesses\[Index\] !=\s+WitnessRef\{Witness, Reply.Incarnation\}\)/if (this->Current->Witnesses[Index].Instance != Witness)/
restarted-witness-votes-at-once|coordination/Witness.cpp|coordination_test|s/Record.RenewedAt.value_or\(this->StartedAt\)/Record.RenewedAt.value_or(TimePoint())/
unknown-handover-thawed|coordination/SlotMigrator.cpp|member_property_test|s/this->Phase = MovePhase::Unresolved;\s+this->UnresolvedSince = Now;/this->finish(PlacementEvent::HandoverFailed, "");/
unknown-handover-not-settled|coordination/SlotMigrator.cpp|member_property_test|s/if \(RowChanged \|\| this->HandoverId == 0\)/if (RowChanged || this->HandoverId != 0)/
token-not-raised|coordination/TransferBuilder.cpp|member_property_test|s/Receiver.Slots\[Keyspace\].add\(\{Grant.Slot, Grant.Token \+ 1\}\);/Receiver.Slots[Keyspace].add({Grant.Slot, Grant.Token - 1});/
older-row-wins|coordination/RowCache.cpp|coordination_test|s/if \(Row.Version <= Current.Version\)/if (Row.Version == Current.Version)/
complete-version-overclaimed|coordination/RowCache.cpp|coordination_test|s/bool Contiguous = Batch.Since <= this->Complete/bool Contiguous = true/
younger-owner-runs-repeat|coordination/IdempotencyCache.cpp|coordination_test|s/bool MayHaveRunBefore =\s+Request/bool MayHaveRunBefore = false \&\& Request/
frozen-slot-lets-through|coordination/SlotGate.cpp|coordination_test|s/if \(this->isFrozen\(Keyspace, Slot\)\)/if (false)/
repeat-runs-again|daemon/LocalRequestHandler.cpp|request_test|s/if \(Routed.Idempotent\) \{\s+return std::nullopt;/if (true) {\n    return std::nullopt;/
ambiguous-said-not-run|daemon/LocalRequestHandler.cpp|request_test|s/return unknownResult\(OutcomeReason::ConnectionBroken, Exchange.Error\);/return notRunResult(OutcomeReason::ConnectionBroken, Exchange.Error);/
caller-gone-not-cancelled|net/HttpClient.cpp|request_test|s/Raw->Stream.close\(\);//
operators-overwrite|daemon/ResourceWriter.cpp|resource_test|s/Transaction.Conditions.push_back\(\{Key, Wanted.Version\}\);//
lost-reply-not-settled|daemon/ResourceWriter.cpp|resource_test|s/if \(Result.Outcome == CommitOutcome::Unknown\) \{/if (false) {/
drain-hands-nothing-over|coordination/SlotMigrator.h|failure_test --filter Failure/RollingStop|s/void beginDrain\(\) \{ this->Draining = true; \}/void beginDrain() {}/
lease-not-checked-at-dispatch|daemon/LocalRequestHandler.cpp|failure_test --filter Failure/*Frozen|s/return Now \+ DispatchMargin < this->LeaseExpiresAt;/(void)Now; return true;/; s/std::to_string\(Until\)\)/std::to_string(Until + 3600000000000LL))/
handover-without-table-check|coordination/SlotMigrator.cpp|member_property_test|s/if \(this->Context.Table.hasCompletedRead\(this->CheckReadNumber\)\)/if (true)/
handover-loses-exchanges|coordination/RoutingTable.cpp|coordination_test|s/Latest->second > Epoch/Latest->second >= Epoch/
late-request-sent|net/HttpClient.cpp|parts_test|s/if \(BootClock::now\(\) >= Options.SendBefore\)/if (false)/
witnesses-kept-for-ever|coordination/LeaseManager.cpp|member_property_test --filter Member/WitnessingIsSpread|s/if \(!Scheduled \|\| !AllUsable\)/if (true)/
no-campaigns|coordination/TakeoverManager.cpp|member_property_test|s/if \(Now < Attempt.StartAt \|\| Attempt.CommitOutstanding\)/if (true)/
'

git -C "$Root" ls-files -co --exclude-standard |
  tar -C "$Root" -cf - -T - | (mkdir "$Work/tree" && tar -C "$Work/tree" -xf -)
cmake -S "$Work/tree" -B "$Work/build" -G Ninja >/dev/null

Survived=0
while IFS='|' read -r Name File Test Change; do
  [ -n "$Name" ] || continue
  if [ $# -gt 0 ] && [[ " $* " != *" $Name "* ]]; then
    continue
  fi

  cp "$Root/$File" "$Work/tree/$File"
  perl -0pi -e "$Change" "$Work/tree/$File"
  if cmp -s "$Root/$File" "$Work/tree/$File"; then
    echo "$Name: the change no longer fits $File"
    Survived=1
    continue
  fi

  read -r Program Filter <<<"$Test"
  Targets="$Program"
  case "$Program" in
  request_test | resource_test | failure_test)
    Targets="$Program hemlockspard table_stand_in backend_stand_in fault_proxy"
    ;;
  esac

  # shellcheck disable=SC2086
  if ! ninja -C "$Work/build" $Targets >"$Work/log" 2>&1; then
    echo "$Name: does not build"
    tail -5 "$Work/log"
    Survived=1
  elif HEMLOCKSPAR_BIN="$Work/build" RC_PARAMS="seed=20261204 max_success=$Runs noshrink=1" \
    "$Work/build/tests/$Program" --timeout 600 $Filter >"$Work/log" 2>&1; then
    echo "$Name: SURVIVED"
    Survived=1
  else
    echo "$Name: caught: $(grep -m1 -E 'two serving owners|fell|RC_FAIL|RC_ASSERT|The expression|ran (at|under|twice)|statuses' "$Work/log")"
  fi
  cp "$Root/$File" "$Work/tree/$File"

  # A failed test leaves its processes running; they would occupy the loopback
  # addresses that the next test needs.
  pgrep -f "^$Work/build/" | xargs -r kill -9
done <<<"$Mutants"

exit $Survived
