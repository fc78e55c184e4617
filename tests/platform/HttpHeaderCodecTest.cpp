#include "platform/HttpHeaderCodec.h"

#include <criterion/criterion.h>

using namespace hemlockspar;
using std::chrono::milliseconds;

Test(HttpHeaderCodec, ReadsRequestHeaders) {
  HttpRequest Request(http::verb::get, "/", 11);
  Request.set("Request-Id", "q1");
  Request.set("Deadline-Ms", "900");
  Request.set("Shard-Key", "65535");
  CallerHeaders Demand = HttpHeaderCodec().readCallerHeaders(Request);
  cr_assert(Demand.RequestId == "q1" && Demand.Key == MaxKey);
  cr_assert(Demand.Timeout == Duration(milliseconds(900)));

  Request.set("Deadline-Ms", "soon");
  Request.set("Shard-Key", "65536");
  Demand = HttpHeaderCodec().readCallerHeaders(Request);
  cr_assert(!Demand.Timeout && !Demand.Key);
}

Test(HttpHeaderCodec, SetsServerHeaders) {
  HttpRequest Request(http::verb::get, "/", 11);
  Request.set("Caller-Service", "forged");
  HttpHeaderCodec().setServerHeaders(Request,
                                     {milliseconds(250), "i-7", "desk"});
  cr_assert(headerValue(Request, "Deadline-Ms") == "250");
  cr_assert(headerValue(Request, "Expect-Instance") == "i-7");
  cr_assert(headerValue(Request, "Caller-Service") == "desk");
}

Test(HttpHeaderCodec, ClassifiesResponses) {
  HttpHeaderCodec Codec;
  HttpResponse Answer(http::status::ok, 11);
  cr_assert(!Codec.readAnswer(Answer).Credible,
            "a successful response without Server-Stamp");
  Answer.set("Server-Stamp", "x");
  cr_assert(Codec.readAnswer(Answer).Credible);
  Answer.set("Content-Encoding", "gzip");
  cr_assert(!Codec.readAnswer(Answer).Credible);

  HttpResponse Unavailable(http::status::service_unavailable, 11);
  cr_assert(Codec.readAnswer(Unavailable).Verdict == ServerVerdict::Ran);
  Unavailable.set("Not-Executed", "1");
  cr_assert(Codec.readAnswer(Unavailable).Verdict == ServerVerdict::NotRun);

  HttpResponse Misdirected(http::status::misdirected_request, 11);
  Misdirected.set("Not-Executed", "1");
  cr_assert(Codec.readAnswer(Misdirected).Verdict ==
            ServerVerdict::WrongServer);
}

Test(HttpHeaderCodec, RetryAfterHasFractionalSeconds) {
  HttpResponse Response(http::status::service_unavailable, 11);
  HttpHeaderCodec().setLocalAnswerHeaders(Response, "q1", milliseconds(275));
  cr_assert(headerValue(Response, "Retry-After") == "0.275");
  cr_assert(headerValue(Response, "Request-Id") == "q1");
}

/// The pace of the machine is optional and may be anything.
Test(HttpHeaderCodec, ReadsThePaceOfTheMachine) {
  auto PaceOf = [](const char *Load) {
    HttpResponse Response(http::status::ok, 11);
    Response.set("Server-Load", Load);
    return HttpHeaderCodec().readAnswer(Response).Pace;
  };
  cr_assert(PaceOf("3,0,8,250") == 2.5);
  for (const char *Odd :
       {"3,0,8", "", "3,0,8,", "3,0,8,x", "3,0,8,inf", ",,,nan"}) {
    cr_assert(!PaceOf(Odd), "%s", Odd);
  }
}
