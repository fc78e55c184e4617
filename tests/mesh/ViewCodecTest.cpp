#include "mesh/ViewCodec.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace hemlockspar;

Test(ViewCodec, RowsRoundTrip) {
  StoreRows Part;
  Part.Table = tables::Keys;
  Part.Version = 40;
  Part.Rows = {{"hemlockspar-keys/menus", 33, "text \"with\" marks"},
               {"hemlockspar-keys/gone", 38, std::nullopt}};

  HttpRequest Request = viewcodec::makePushRequest({Part});
  cr_assert(viewcodec::isPushRequest(Request));
  auto Read = viewcodec::decodeRows(Request.body());
  cr_assert(Read && Read->size() == 1);
  cr_assert((*Read)[0].Table == tables::Keys && (*Read)[0].Version == 40);
  cr_assert((*Read)[0].Rows[0].Value == "text \"with\" marks");
  cr_assert((*Read)[0].Rows[1].Version == 38 && !(*Read)[0].Rows[1].Value);
  cr_assert_not((*Read)[0].Complete,
                "partial rows counted as a read of the whole table");
}

Test(ViewCodec, PullRequestsRoundTrip) {
  auto Asked = viewcodec::parsePullRequest(viewcodec::makePullRequest({7, 12}));
  cr_assert(Asked && Asked->Instances == 7 && Asked->Keys == 12);
  HttpRequest Other(http::verb::get, "/", 11);
  cr_assert(!viewcodec::parsePullRequest(Other));
  cr_assert(!viewcodec::isPushRequest(Other));
}

Test(ViewCodec, MalformedRowsAreRejected) {
  for (const char *Text : {"", "{}", "[1]", R"([{"table":"t","to":1}])",
                           R"([{"table":"t","to":"1","rows":[]}])",
                           R"([{"table":"t","to":1,"rows":[["k",1]]}])",
                           R"([{"table":"t","to":1,"rows":[["k",-1,"v"]]}])"}) {
    cr_assert(!viewcodec::decodeRows(Text), "%s", Text);
  }
  cr_assert(
      rc::check("any bytes are rejected or decoded",
                [](const std::string &Text) { viewcodec::decodeRows(Text); }));
}
