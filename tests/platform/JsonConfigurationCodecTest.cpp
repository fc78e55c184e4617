#include "platform/JsonConfigurationCodec.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace hemlockspar;
using std::chrono::milliseconds;

namespace {

const std::string ValidConfiguration =
    R"({"version":"r7","base_version":"r5","resources":[)"
    R"({"resource_kind":"routes","metadata":{"name":"a"},"spec":{)"
    R"("hostname":"spa.example","prefix":"/a/","route_kind":"idempotent",)"
    R"("timeout":"1500ms","target_latency":"800ms","priority":2,)"
    R"("weighted_split":[{"service":"x","weight":90},)"
    R"({"service":"y","weight":10}],"max_attempts":2}},)"
    R"({"resource_kind":"routes","metadata":{"name":"b"},"spec":{)"
    R"("hostname":"spa.example","prefix":"/a/b/","route_kind":)"
    R"("non_idempotent","timeout":"2s","service":"x"}},)"
    R"({"resource_kind":"routes","metadata":{"name":"odd"},"spec":{)"
    R"("hostname":"spa.example","prefix":"/c/","route_kind":"odd",)"
    R"("timeout":"2s","service":"x"}},)"
    R"({"resource_kind":"unheard","metadata":{"name":"u"},"spec":{}},)"
    R"("no entry",)"
    R"({"resource_kind":"services","metadata":{"name":"x"},"spec":{)"
    R"("max_connections":110,"sharded":true,"warmup":"2s"}},)"
    R"({"resource_kind":"limits","metadata":{},"spec":{)"
    R"("max_header_bytes":9000,"max_body_bytes":70000,)"
    R"("header_timeout":"3000ms","idle_timeout":"15000ms"}}]})";

} // namespace

Test(JsonConfigurationCodec, DecodesKnownEntries) {
  auto Decoded = JsonConfigurationCodec().decode(ValidConfiguration);
  cr_assert(Decoded.ok());
  cr_assert_eq(Decoded->Version, 7);
  cr_assert_eq(Decoded->Routes.size(), 3);

  const Route &First = Decoded->Routes[0];
  cr_assert(First.Targets.size() == 2 && First.Targets[1].Service == "y");
  cr_assert(First.Retry == RetryPolicy::Repeatable && First.MaxAttempts == 2);
  cr_assert(First.Timeout == milliseconds(1500) && First.Priority == 2);
  cr_assert(First.Objective == milliseconds(800));

  const Route &Second = Decoded->Routes[1];
  cr_assert(Second.Retry == RetryPolicy::OnceOnly && Second.MaxAttempts == 1);
  cr_assert(Second.Objective == Second.Timeout);

  // Requests of a kind that is not known are served, but never repeated.
  const Route &Odd = Decoded->Routes[2];
  cr_assert(Odd.Name == "odd" && Odd.Retry == RetryPolicy::OnceOnly);
  cr_assert(Decoded->isKeyed("x") && !Decoded->isKeyed("y"));
  cr_assert(Decoded->Limits.HeaderBytes == 9000);
}

Test(JsonConfigurationCodec, LongestPrefixOfTheHostWins) {
  auto Decoded = JsonConfigurationCodec().decode(ValidConfiguration);
  cr_assert(Decoded->findRoute("spa.example", "/a/b/c")->Name == "b");
  cr_assert(Decoded->findRoute("spa.example:8080", "/a/x")->Name == "a");
  cr_assert(!Decoded->findRoute("other.example", "/a/x"));
  cr_assert(!Decoded->findRoute("spa.example", "/ab"));
}

Test(JsonConfigurationCodec, RejectsInvalidInput) {
  for (const char *Text :
       {"", "{", "[]", R"({"version":7,"resources":[]})",
        R"({"version":"7","resources":[]})",
        R"({"version":"r","resources":[]})",
        R"({"version":"r7x","resources":[]})", R"({"version":"r7"})"}) {
    cr_assert(!JsonConfigurationCodec().decode(Text).ok(), "%s was accepted",
              Text);
  }
}

Test(JsonConfigurationCodec, HandlesCorruptedInput) {
  cr_assert(rc::check([] {
    std::string Corrupted = ValidConfiguration;
    Corrupted.resize(
        *rc::gen::inRange<std::size_t>(1, ValidConfiguration.size() + 1));
    auto Position = *rc::gen::inRange<std::size_t>(0, Corrupted.size());
    Corrupted[Position] = *rc::gen::arbitrary<char>();
    auto Decoded = JsonConfigurationCodec().decode(Corrupted);
    if (Decoded.ok()) {
      RC_ASSERT(Decoded->Routes.size() <= 3);
    }
  }));
}

/// Numbers that are too large must neither wrap around to small ones nor spoil
/// the choice between the targets of a route.
Test(JsonConfigurationCodec, BoundsNumbers) {
  auto Decoded = JsonConfigurationCodec().decode(
      R"({"version":"r7","resources":[)"
      R"({"resource_kind":"routes","metadata":{"name":"a"},"spec":{)"
      R"("hostname":"h","prefix":"/a/","route_kind":"idempotent",)"
      R"("timeout":"1s","priority":4294967296,"max_attempts":4294967298,)"
      R"("weighted_split":[{"service":"x","weight":1e308},)"
      R"({"service":"y","weight":10}]}},)"
      R"({"resource_kind":"limits","metadata":{},"spec":{)"
      R"("max_header_bytes":4294967296}}]})");
  cr_assert(Decoded.ok() && Decoded->Routes.size() == 1);
  const Route &Only = Decoded->Routes[0];
  cr_assert(Only.Targets.size() == 1 && Only.Targets[0].Service == "y");
  cr_assert_gt(Only.MaxAttempts, 2);
  cr_assert_gt(Only.Priority, 0);
  cr_assert_geq(Decoded->Limits.HeaderBytes, 16384);
}

/// A restriction to regions that cannot be read must not be dropped: requests
/// would reach regions that the operator excluded.
Test(JsonConfigurationCodec, UnreadableHomesAllowNoRegion) {
  auto HomesOf = [](const std::string &Homes) {
    auto Decoded = JsonConfigurationCodec().decode(
        R"({"version":"r7","resources":[)"
        R"({"resource_kind":"routes","metadata":{"name":"a"},"spec":{)"
        R"("hostname":"h","prefix":"/a/","timeout":"1s","service":"x",)"
        R"("home_regions":)" +
        Homes + "}}]}");
    cr_assert(Decoded.ok() && Decoded->Routes.size() == 1);
    return Decoded->Routes[0].HomeRegions;
  };
  using Regions = std::vector<std::string>;

  cr_assert(HomesOf(R"(["north","south"])") == Regions({"north", "south"}));
  cr_assert(!HomesOf("[]") && !HomesOf("null"));
  cr_assert(HomesOf("\"north\"") == Regions());
  cr_assert(HomesOf("[7]") == Regions());
  cr_assert(HomesOf("{\"north\":1}") == Regions());
}

/// A bound on a cold server that makes no sense must not refuse every request.
Test(JsonConfigurationCodec, InvalidColdBoundsAreIgnored) {
  auto RateOf = [](const std::string &Rate) {
    auto Decoded = JsonConfigurationCodec().decode(
        R"({"version":"r7","resources":[)"
        R"({"resource_kind":"services","metadata":{"name":"x"},"spec":{)"
        R"("cold_start":"3s","cold_per_s":)" +
        Rate + "}}]}");
    cr_assert(Decoded.ok());
    return Decoded->Services["x"].ColdRequestsPerSecond;
  };

  cr_assert_eq(RateOf("7.8"), 7.8);
  for (const char *Odd : {"-1", "1e300", "\"7.8\"", "null", "{}"}) {
    cr_assert_eq(RateOf(Odd), 0, "%s", Odd);
  }
}

/// Downloads may be repeated, uploads may not.
Test(JsonConfigurationCodec, KindsOfLargeTransfers) {
  auto Decoded = JsonConfigurationCodec().decode(
      R"({"version":"r7","resources":[)"
      R"({"resource_kind":"routes","metadata":{"name":"d"},"spec":{)"
      R"("hostname":"h","prefix":"/d/","timeout":"1s","service":"x",)"
      R"("route_kind":"download"}},)"
      R"({"resource_kind":"routes","metadata":{"name":"u"},"spec":{)"
      R"("hostname":"h","prefix":"/u/","timeout":"1s","service":"x",)"
      R"("route_kind":"upload"}}]})");
  cr_assert(Decoded.ok());
  cr_assert(Decoded->findRouteByName("d")->Retry == RetryPolicy::Repeatable);
  cr_assert(Decoded->findRouteByName("u")->Retry == RetryPolicy::OnceOnly);
  cr_assert(!Decoded->findRouteByName("x"));
}

/// Only rows of evacuations name a data centre.
Test(JsonConfigurationCodec, RecognisesEvacuations) {
  JsonConfigurationCodec Codec;
  cr_assert(Codec.evacuatedDataCenter("evacuate/north-a") == "north-a");
  for (const char *Other :
       {"config", "evacuate/", "evacuate", "x/evacuate/y"}) {
    cr_assert(!Codec.evacuatedDataCenter(Other), "%s", Other);
  }
}
