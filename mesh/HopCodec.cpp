#include "mesh/HopCodec.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <cmath>

namespace hemlockspar::hop {

namespace {

constexpr char Header[] = "Hs-Hop";

/// Size of a body whose admission is asked for.
constexpr char AdmissionHeader[] = "Hs-Body-Bytes";

/// Newest change of the operators' table, and how many milliseconds before the
/// arrival of the request nothing newer had been made. A header of its own,
/// which daemons of earlier versions ignore.
constexpr char OperatorRowsHeader[] = "Hs-Operator-Rows";
constexpr std::size_t OperatorRowsFieldCount = 2;
constexpr std::size_t ContextFieldCount = 9;
constexpr std::size_t ResultFieldCount = 21;

/// Fractions are encoded as integer hundredths.
constexpr double Hundredths = 100;

/// Placeholder for a field without a value.
constexpr char NoValue[] = "-";

/// Returns the fields of the header \p Name; empty when there is none.
std::vector<std::string> splitHeader(const http::fields &Fields,
                                     const char *Name) {
  std::string Text = headerValue(Fields, Name);
  return Text.empty() ? std::vector<std::string>()
                      : std::vector<std::string>(absl::StrSplit(Text, ' '));
}

std::int64_t parseNumber(const std::string &Text) {
  std::int64_t Number = 0;
  return absl::SimpleAtoi(absl::string_view(Text.data(), Text.size()), &Number)
             ? Number
             : 0;
}

Duration parseMilliseconds(const std::string &Text) {
  return std::chrono::milliseconds(parseNumber(Text));
}

} // namespace

void writeContext(HttpRequest &Request, const AttemptContext &Context,
                  TimePoint Now) {
  std::string Key = Context.Key ? std::to_string(*Context.Key) : NoValue;
  Request.set(Header, absl::StrCat(Context.Service, " ", Key, " ",
                                   Context.RouteName, " ", Context.Rank, " ",
                                   toMilliseconds(Context.Deadline - Now), " ",
                                   toMilliseconds(Context.ObjectiveAt - Now),
                                   " ", toMilliseconds(Context.MaxWait), " ",
                                   Context.CallerService, " ",
                                   Context.ConfigurationVersion));
}

bool isForwarded(const HttpRequest &Request) {
  return Request.find(Header) != Request.end();
}

std::optional<AttemptContext> takeContext(HttpRequest &Request, TimePoint Now) {
  std::vector<std::string> Fields = splitHeader(Request, Header);
  Request.erase(Header);
  if (Fields.size() != ContextFieldCount) {
    return std::nullopt;
  }

  AttemptContext Context;
  Context.Service = Fields[0];
  if (Fields[1] != NoValue) {
    Context.Key = static_cast<KeyNumber>(parseNumber(Fields[1]));
  }
  Context.RouteName = Fields[2];
  Context.Rank = static_cast<std::uint32_t>(parseNumber(Fields[3]));
  Context.Deadline = Now + parseMilliseconds(Fields[4]);
  Context.ObjectiveAt = Now + parseMilliseconds(Fields[5]);
  Context.MaxWait = parseMilliseconds(Fields[6]);
  Context.CallerService = Fields[7];
  Context.ConfigurationVersion =
      static_cast<std::uint64_t>(parseNumber(Fields[8]));
  return Context;
}

HttpResponse writeResult(AttemptResult Result) {
  bool Answered = Result.Outcome == RequestOutcome::Answered;
  HttpResponse Response =
      Answered ? std::move(Result.Response)
               : HttpResponse(http::status::service_unavailable, 11);
  ServerLoad Load = Result.Load.value_or(ServerLoad{.Slots = 0});

  Response.set(
      Header,
      absl::StrCat(nameOf(Result.Outcome), " ", nameOf(Result.Reason), " ",
                   Result.ReachedServer ? 1 : 0, " ",
                   toMilliseconds(Result.ExpectedWait), " ", Load.Running, " ",
                   Load.Waiting, " ", Load.Slots, " ",
                   toMilliseconds(Load.MeanRunTime), " ",
                   Result.ConfigurationVersion, " ",
                   Result.Owner.empty() ? NoValue : Result.Owner, " ",
                   Result.OwnerKeys.First, " ", Result.OwnerKeys.Last, " ",
                   std::lround(Load.OfferedLoad * Hundredths), " ",
                   Result.View.Instances, " ", Result.View.Keys, " ",
                   toMilliseconds(Result.RunTime), " ", Result.OwnerMapVersion,
                   " ", toMilliseconds(Load.ColdLeft), " ",
                   std::lround(Load.ColdRequestsPerSecond * Hundredths), " ",
                   std::lround(Load.Pace * Hundredths), " ",
                   toMilliseconds(Load.LinkBacklog)));

  // The backend server may have set one.
  Response.erase(OperatorRowsHeader);
  if (Result.OperatorRows.Age) {
    auto Age =
        std::chrono::ceil<std::chrono::milliseconds>(*Result.OperatorRows.Age);
    Response.set(
        OperatorRowsHeader,
        absl::StrCat(Result.OperatorRows.NewestChange, " ", Age.count()));
  }
  return Response;
}

AttemptResult takeResult(HttpResponse Response) {
  std::vector<std::string> Fields = splitHeader(Response, Header);
  std::vector<std::string> Rows = splitHeader(Response, OperatorRowsHeader);
  erase(Response);
  if (Fields.size() != ResultFieldCount) {
    return unknownResult(AttemptReason::WrongAnswer);
  }

  AttemptResult Result;
  if (Rows.size() == OperatorRowsFieldCount) {
    Result.OperatorRows = {static_cast<RowVersion>(parseNumber(Rows[0])),
                           parseMilliseconds(Rows[1])};
  }
  Result.Outcome =
      requestOutcomeOf(Fields[0]).value_or(RequestOutcome::Unknown);
  Result.Reason =
      attemptReasonOf(Fields[1]).value_or(AttemptReason::WrongAnswer);
  Result.ReachedServer = Fields[2] == "1";
  Result.ExpectedWait = parseMilliseconds(Fields[3]);

  ServerLoad Load;
  Load.Running = static_cast<std::uint32_t>(parseNumber(Fields[4]));
  Load.Waiting = static_cast<std::uint32_t>(parseNumber(Fields[5]));
  Load.Slots = static_cast<std::uint32_t>(parseNumber(Fields[6]));
  Load.MeanRunTime = parseMilliseconds(Fields[7]);
  Result.ConfigurationVersion =
      static_cast<std::uint64_t>(parseNumber(Fields[8]));
  if (Fields[9] != NoValue) {
    Result.Owner = Fields[9];
    Result.OwnerKeys = {static_cast<KeyNumber>(parseNumber(Fields[10])),
                        static_cast<KeyNumber>(parseNumber(Fields[11]))};
  }
  Load.OfferedLoad = static_cast<double>(parseNumber(Fields[12])) / Hundredths;
  Result.View = {static_cast<RowVersion>(parseNumber(Fields[13])),
                 static_cast<RowVersion>(parseNumber(Fields[14]))};
  Result.RunTime = parseMilliseconds(Fields[15]);
  Result.OwnerMapVersion = static_cast<RowVersion>(parseNumber(Fields[16]));
  Load.ColdLeft = parseMilliseconds(Fields[17]);
  Load.ColdRequestsPerSecond =
      static_cast<double>(parseNumber(Fields[18])) / Hundredths;
  Load.Pace = static_cast<double>(parseNumber(Fields[19])) / Hundredths;
  Load.LinkBacklog = parseMilliseconds(Fields[20]);
  if (Load.Slots > 0) {
    Result.Load = Load;
  }
  Result.Response = std::move(Response);
  return Result;
}

HttpRequest makeAdmissionRequest(const AttemptContext &Context,
                                 std::uint64_t Bytes, TimePoint Now) {
  HttpRequest Request(http::verb::get, "/", 11);
  Request.set(http::field::host, "peer");
  Request.set(AdmissionHeader, std::to_string(Bytes));
  writeContext(Request, Context, Now);
  return Request;
}

std::optional<std::uint64_t> parseAdmissionRequest(const HttpRequest &Request) {
  return numericHeaderValue(Request, AdmissionHeader);
}

void erase(http::fields &Fields) {
  Fields.erase(Header);
  Fields.erase(AdmissionHeader);
  Fields.erase(OperatorRowsHeader);
}

} // namespace hemlockspar::hop
