#include "mesh/HopCodec.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <cmath>

namespace hemlockspar::hop {

namespace {

constexpr char Header[] = "Hs-Hop";
constexpr std::size_t TermFields = 9;
constexpr std::size_t ResultFields = 17;

/// Shares go as whole numbers of hundredths.
constexpr double PerCent = 100;

/// Stands for a field without a value.
constexpr char NoValue[] = "-";

/// The fields of the header; empty when there is no such header.
std::vector<std::string> fieldsOf(const http::fields &Fields) {
  std::string Text = headerValue(Fields, Header);
  return Text.empty() ? std::vector<std::string>()
                      : std::vector<std::string>(absl::StrSplit(Text, ' '));
}

std::int64_t numberOf(const std::string &Text) {
  std::int64_t Number = 0;
  return absl::SimpleAtoi(absl::string_view(Text.data(), Text.size()), &Number)
             ? Number
             : 0;
}

Duration spanOf(const std::string &Text) {
  return std::chrono::milliseconds(numberOf(Text));
}

} // namespace

void writeTerms(HttpRequest &Request, const TryTerms &Terms, TimePoint Now) {
  std::string Key = Terms.Key ? std::to_string(*Terms.Key) : NoValue;
  Request.set(Header, absl::StrCat(
                          Terms.Service, " ", Key, " ", Terms.RouteName, " ",
                          Terms.Rank, " ", toMilliseconds(Terms.GiveUpAt - Now),
                          " ", toMilliseconds(Terms.AimAt - Now), " ",
                          toMilliseconds(Terms.MaxWait), " ",
                          Terms.CallerService, " ", Terms.Configuration));
}

std::optional<TryTerms> takeTerms(HttpRequest &Request, TimePoint Now) {
  std::vector<std::string> Fields = fieldsOf(Request);
  Request.erase(Header);
  if (Fields.size() != TermFields) {
    return std::nullopt;
  }

  TryTerms Terms;
  Terms.Service = Fields[0];
  if (Fields[1] != NoValue) {
    Terms.Key = static_cast<KeyNumber>(numberOf(Fields[1]));
  }
  Terms.RouteName = Fields[2];
  Terms.Rank = static_cast<std::uint32_t>(numberOf(Fields[3]));
  Terms.GiveUpAt = Now + spanOf(Fields[4]);
  Terms.AimAt = Now + spanOf(Fields[5]);
  Terms.MaxWait = spanOf(Fields[6]);
  Terms.CallerService = Fields[7];
  Terms.Configuration = static_cast<std::uint64_t>(numberOf(Fields[8]));
  return Terms;
}

HttpResponse writeResult(TryResult Result) {
  bool Answered = Result.Outcome == RequestOutcome::Answered;
  HttpResponse Response =
      Answered ? std::move(Result.Response)
               : HttpResponse(http::status::service_unavailable, 11);
  ServerLoad Load = Result.Load.value_or(ServerLoad{0, 0, 0, 0, {}});

  Response.set(
      Header,
      absl::StrCat(nameOf(Result.Outcome), " ", nameOf(Result.Reason), " ",
                   Result.Reached ? 1 : 0, " ", toMilliseconds(Result.Wait),
                   " ", Load.Running, " ", Load.Waiting, " ", Load.Slots, " ",
                   toMilliseconds(Load.Mean), " ", Result.Configuration, " ",
                   Result.Owner.empty() ? NoValue : Result.Owner, " ",
                   Result.OwnersKeys.From, " ", Result.OwnersKeys.To, " ",
                   std::lround(Load.Wanted * PerCent), " ",
                   Result.View.Instances, " ", Result.View.Keys, " ",
                   toMilliseconds(Result.Run), " ", Result.OwnersVersion));
  return Response;
}

TryResult takeResult(HttpResponse Response) {
  std::vector<std::string> Fields = fieldsOf(Response);
  Response.erase(Header);
  if (Fields.size() != ResultFields) {
    return tryUnknown(TryReason::WrongAnswer);
  }

  TryResult Result;
  Result.Outcome =
      requestOutcomeOf(Fields[0]).value_or(RequestOutcome::Unknown);
  Result.Reason = tryReasonOf(Fields[1]).value_or(TryReason::WrongAnswer);
  Result.Reached = Fields[2] == "1";
  Result.Wait = spanOf(Fields[3]);

  ServerLoad Load;
  Load.Running = static_cast<std::uint32_t>(numberOf(Fields[4]));
  Load.Waiting = static_cast<std::uint32_t>(numberOf(Fields[5]));
  Load.Slots = static_cast<std::uint32_t>(numberOf(Fields[6]));
  Load.Mean = spanOf(Fields[7]);
  Result.Configuration = static_cast<std::uint64_t>(numberOf(Fields[8]));
  if (Fields[9] != NoValue) {
    Result.Owner = Fields[9];
    Result.OwnersKeys = {static_cast<KeyNumber>(numberOf(Fields[10])),
                         static_cast<KeyNumber>(numberOf(Fields[11]))};
  }
  Load.Wanted = static_cast<double>(numberOf(Fields[12])) / PerCent;
  Result.View = {static_cast<RowVersion>(numberOf(Fields[13])),
                 static_cast<RowVersion>(numberOf(Fields[14]))};
  Result.Run = spanOf(Fields[15]);
  Result.OwnersVersion = static_cast<RowVersion>(numberOf(Fields[16]));
  if (Load.Slots > 0) {
    Result.Load = Load;
  }
  Result.Response = std::move(Response);
  return Result;
}

void erase(http::fields &Fields) { Fields.erase(Header); }

} // namespace hemlockspar::hop
