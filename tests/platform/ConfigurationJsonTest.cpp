#include "platform/ConfigurationJson.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace hemlockspar;
using std::chrono::milliseconds;

namespace {

const std::string Sound =
    R"({"version":"r7","base_version":"r5","resources":[)"
    R"({"resource_kind":"routes","metadata":{"name":"a"},"spec":{)"
    R"("hostname":"spa.example","prefix":"/a/","route_kind":"idempotent",)"
    R"("timeout":"1500ms","target_latency":"800ms","priority":2,)"
    R"("weighted_split":[{"service":"x","weight":90},)"
    R"({"service":"y","weight":10}],"max_attempts":2}},)"
    R"({"resource_kind":"routes","metadata":{"name":"b"},"spec":{)"
    R"("hostname":"spa.example","prefix":"/a/b/","route_kind":)"
    R"("non_idempotent","timeout":"2s","service":"x"}},)"
    R"({"resource_kind":"routes","metadata":{"name":"bad"},"spec":{)"
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

Test(ConfigurationJson, ReadsWhatItKnows) {
  auto Read = ConfigurationJson().decode(Sound);
  cr_assert(Read.ok());
  cr_assert_eq(Read->Version, 7);
  cr_assert_eq(Read->Routes.size(), 2);

  const Route &First = Read->Routes[0];
  cr_assert(First.Targets.size() == 2 && First.Targets[1].Service == "y");
  cr_assert(First.Retry == RetryPolicy::Repeatable && First.MaxAttempts == 2);
  cr_assert(First.Timeout == milliseconds(1500) && First.Priority == 2);
  cr_assert(First.Objective == milliseconds(800));

  const Route &Second = Read->Routes[1];
  cr_assert(Second.Retry == RetryPolicy::OnceOnly && Second.MaxAttempts == 1);
  cr_assert(Second.Objective == Second.Timeout);
  cr_assert(Read->isKeyed("x") && !Read->isKeyed("y"));
  cr_assert(Read->Limits.HeaderBytes == 9000);
}

Test(ConfigurationJson, LongestPrefixOfTheHostWins) {
  auto Read = ConfigurationJson().decode(Sound);
  cr_assert(Read->findRoute("spa.example", "/a/b/c")->Name == "b");
  cr_assert(Read->findRoute("spa.example:8080", "/a/x")->Name == "a");
  cr_assert(!Read->findRoute("other.example", "/a/x"));
  cr_assert(!Read->findRoute("spa.example", "/ab"));
}

Test(ConfigurationJson, RefusesWhatIsNone) {
  for (const char *Text :
       {"", "{", "[]", R"({"version":7,"resources":[]})",
        R"({"version":"7","resources":[]})",
        R"({"version":"r","resources":[]})",
        R"({"version":"r7x","resources":[]})", R"({"version":"r7"})"}) {
    cr_assert(!ConfigurationJson().decode(Text).ok(), "%s was taken", Text);
  }
}

Test(ConfigurationJson, SurvivesDamage) {
  cr_assert(rc::check([] {
    std::string Damaged = Sound;
    Damaged.resize(*rc::gen::inRange<std::size_t>(1, Sound.size() + 1));
    auto Place = *rc::gen::inRange<std::size_t>(0, Damaged.size());
    Damaged[Place] = *rc::gen::arbitrary<char>();
    auto Read = ConfigurationJson().decode(Damaged);
    if (Read.ok()) {
      RC_ASSERT(Read->Routes.size() <= 3);
    }
  }));
}
