#include "platform/HeaderDialect.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;

Test(HeaderDialect, ReadsWhatCallersSay) {
  HttpRequest Request(http::verb::get, "/", 11);
  Request.set("Request-Id", "q1");
  Request.set("Deadline-Ms", "900");
  Request.set("Shard-Key", "65535");
  CallerHeaders Demand = HeaderDialect().readCallerHeaders(Request);
  cr_assert(Demand.RequestId == "q1" && Demand.Key == MaxKey);
  cr_assert(Demand.Timeout == Duration(milliseconds(900)));

  Request.set("Deadline-Ms", "soon");
  Request.set("Shard-Key", "65536");
  Demand = HeaderDialect().readCallerHeaders(Request);
  cr_assert(!Demand.Timeout && !Demand.Key);
}

Test(HeaderDialect, SetsWhatServersExpect) {
  HttpRequest Request(http::verb::get, "/", 11);
  Request.set("Caller-Service", "forged");
  HeaderDialect().setServerHeaders(Request, {milliseconds(250), "i-7", "desk"});
  cr_assert(headerValue(Request, "Deadline-Ms") == "250");
  cr_assert(headerValue(Request, "Expect-Instance") == "i-7");
  cr_assert(headerValue(Request, "Caller-Service") == "desk");
}

Test(HeaderDialect, JudgesAnswers) {
  HeaderDialect Dialect;
  HttpResponse Answer(http::status::ok, 11);
  cr_assert(!Dialect.readAnswer(Answer).Credible, "a success with no stamp");
  Answer.set("Server-Stamp", "x");
  cr_assert(Dialect.readAnswer(Answer).Credible);
  Answer.set("Content-Encoding", "gzip");
  cr_assert(!Dialect.readAnswer(Answer).Credible);

  HttpResponse Full(http::status::service_unavailable, 11);
  cr_assert(Dialect.readAnswer(Full).Verdict == ServerVerdict::Ran);
  Full.set("Not-Executed", "1");
  cr_assert(Dialect.readAnswer(Full).Verdict == ServerVerdict::NotRun);

  HttpResponse Other(http::status::misdirected_request, 11);
  Other.set("Not-Executed", "1");
  cr_assert(Dialect.readAnswer(Other).Verdict == ServerVerdict::WrongServer);
}

Test(HeaderDialect, SaysWhenToComeBackInFractions) {
  HttpResponse Response(http::status::service_unavailable, 11);
  HeaderDialect().setLocalAnswerHeaders(Response, "q1", milliseconds(275));
  cr_assert(headerValue(Response, "Retry-After") == "0.275");
  cr_assert(headerValue(Response, "Request-Id") == "q1");
}
