// Guards against changes of a document that are not reported, and against
// changes that are reported although the content is the same.
#include "berylreach/config/document_diff.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

#include "sample_document.h"

namespace berylreach::config {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

TEST(DocumentDiffTest, IgnoresOrder) {
  auto shuffled = SampleDocument();
  std::reverse(shuffled.services.begin(), shuffled.services.end());
  EXPECT_THAT(DiffDocuments(SampleDocument(), shuffled), IsEmpty());
}

TEST(DocumentDiffTest, ReportsChangedMembersWithBothValues) {
  auto after = SampleDocument();
  after.name = "other";
  after.zones[1].state = model::ZoneState::kOutOfService;
  after.services[0].accepts.push_back(model::RequestKind::kLookup);
  after.services[1].leaves[0].slots = 3;
  EXPECT_THAT(
      DiffDocuments(SampleDocument(), after),
      ElementsAre(
          DocumentChange{ChangeKind::kChanged, "/name", "name", "\"sample\"",
                         "\"other\""},
          DocumentChange{ChangeKind::kChanged, "/zones/1/state",
                         "zones/b/state", "\"in\"", "\"out\""},
          DocumentChange{ChangeKind::kChanged, "/services/0/accepts",
                         "services/desk/accepts", "[\"query\"]",
                         "[\"query\",\"lookup\"]"},
          DocumentChange{ChangeKind::kChanged, "/services/1/leaves/0/slots",
                         "services/ledger/leaves/ledger-0/slots", "4", "3"}));
}

// Removing an element shifts the positions of the elements after it; those must
// not be reported as changed.
TEST(DocumentDiffTest, MatchesElementsByName) {
  auto after = SampleDocument();
  after.zones.erase(after.zones.begin());
  after.services[0].leaves.insert(after.services[0].leaves.begin(),
                                  {{"desk-00"}, "127.0.0.1:9", {"b"}, 1, 2});
  EXPECT_THAT(
      DiffDocuments(SampleDocument(), after),
      ElementsAre(
          DocumentChange{ChangeKind::kRemoved, "/zones/0", "zones/a",
                         R"({"name":"a","region":"north","state":"in"})", ""},
          DocumentChange{
              ChangeKind::kAdded, "/services/0/leaves/1",
              "services/desk/leaves/desk-00", "",
              R"({"name":"desk-00","address":"127.0.0.1:9","zone":"b","slots":1,"connections":2})"}));
}

}  // namespace
}  // namespace berylreach::config
