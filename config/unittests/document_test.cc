// Guards against documents that are accepted despite mistakes, and against
// mistakes that are reported one at a time.
#include "berylreach/config/document.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "berylreach/config/bounds.h"

namespace berylreach::config {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;
using testing::UnorderedElementsAre;

constexpr std::string_view kSmallDocument = R"({"name":"small","zones":[
  {"name":"b","region":"r","state":"out"},{"name":"a","region":"r","state":"in"}],
 "services":[{"name":"desk","priority":0,"shards":1,"accepts":["order","query"],
  "leaves":[{"name":"l2","address":"[::1]:81","zone":"b","slots":2,"connections":25},
            {"name":"l1","address":"127.0.0.1:81","zone":"a","slots":2,"connections":25}]}]})";

std::vector<std::string> Locations(const base::Findings& findings) {
  std::vector<std::string> locations;
  for (const base::Finding& finding : findings)
    locations.push_back(finding.location);
  return locations;
}

/// Parses a document that must be rejected with a single finding about the
/// whole input, and returns the message of the finding.
std::string OnlyMessage(std::string_view bytes) {
  const auto parsed = ParseDocument(bytes);
  EXPECT_FALSE(parsed.value);
  EXPECT_EQ(parsed.findings.size(), 1U);
  EXPECT_EQ(parsed.findings.at(0).location, "");
  return parsed.findings.at(0).message;
}

TEST(DocumentTest, ParsesEveryMember) {
  const auto parsed = ParseDocument(kSmallDocument);
  ASSERT_THAT(parsed.findings, IsEmpty());
  const model::Environment& environment = *parsed.value;
  EXPECT_EQ(environment.name, "small");
  ASSERT_EQ(environment.zones.size(), 2U);
  EXPECT_EQ(environment.zones[1],
            (model::Zone{{"b"}, "r", model::ZoneState::kOutOfService}));
  ASSERT_EQ(environment.services.size(), 1U);
  EXPECT_THAT(
      environment.services[0].accepts,
      ElementsAre(model::RequestKind::kQuery, model::RequestKind::kOrder));
  EXPECT_EQ(environment.services[0].leaves[1],
            (model::Leaf{{"l2"}, "[::1]:81", {"b"}, 2, 25}));
}

TEST(DocumentTest, CanonicalFormParsesToTheSameValue) {
  const auto parsed = ParseDocument(kSmallDocument);
  const std::string canonical = EncodeDocument(parsed.value.value());
  EXPECT_EQ(ParseDocument(canonical).value, parsed.value);
  EXPECT_EQ(EncodeDocument(ParseDocument(canonical).value.value()), canonical);
}

// If the parser stopped at the first mistake, the operator would need one
// attempt per mistake.
TEST(DocumentTest, ReportsMoreThanTwentyMistakesAtOnce) {
  const auto parsed = ParseDocument(R"({
    "name": 7, "colour": "red",
    "zones": [{"name": "a", "region": "", "state": "out"},
              {"name": "a", "region": "r", "state": "half"},
              {"name": "c", "region": "r", "state": "out", "x/y~": 1}],
    "services": [
      {"name": "desk", "priority": -1, "shards": 0, "accepts": [],
       "leaves": []},
      {"name": "desk", "priority": 0, "shards": 5, "accepts": ["query", "buy"],
       "leaves": [
        {"name": "l", "address": "localhost:80", "zone": "a", "slots": 0, "connections": 1},
        {"name": "l", "address": "127.0.0.1:0", "zone": "mars", "slots": 3, "connections": 2},
        {"name": "m", "address": "1.2.3.4:5", "zone": "a", "slots": 1, "connections": 0},
        {"name": "n", "address": "1.2.3.4:5", "zone": "a", "slots": 1.5}]}]})");
  EXPECT_FALSE(parsed.value);
  EXPECT_THAT(
      Locations(parsed.findings),
      UnorderedElementsAre(
          "/name", "/colour", "/zones/0/region", "/zones/1/name",
          "/zones/1/state", "/zones/2/x~1y~0", "/services/0/priority",
          "/services/0/shards", "/services/0/accepts", "/services/0/leaves",
          "/services/1/name", "/services/1/leaves", "/services/1/accepts/1",
          "/services/1/leaves/0/address", "/services/1/leaves/0/slots",
          "/services/1/leaves/1/name", "/services/1/leaves/1/address",
          "/services/1/leaves/1/zone", "/services/1/leaves/1/slots",
          "/services/1/leaves/2/connections", "/services/1/leaves/3/address",
          "/services/1/leaves/3/slots", "/services/1/leaves/3/connections"));
}

// An environment in which no zone takes work would refuse every request.
TEST(DocumentTest, RejectsDocumentsWithAllZonesOutOfService) {
  std::string text(kSmallDocument);
  text.replace(text.find("\"in\""), 4, "\"out\"");
  EXPECT_THAT(Locations(ParseDocument(text).findings), ElementsAre("/zones"));
}

TEST(DocumentTest, RejectsInputThatIsNotAJsonObject) {
  EXPECT_THAT(OnlyMessage(""), HasSubstr("not complete"));
  EXPECT_THAT(OnlyMessage("{\"name\":"), HasSubstr("not complete"));
  EXPECT_THAT(OnlyMessage("{\n\n\"name\" 7}"), HasSubstr("in line 3"));
  EXPECT_THAT(OnlyMessage("[]"), HasSubstr("must be an object"));
  EXPECT_THAT(OnlyMessage("{} {}"), HasSubstr("not valid"));
}

// Invalid UTF-8, if accepted, would be passed on to tools that reject it.
TEST(DocumentTest, RejectsInvalidUtf8) {
  EXPECT_THAT(OnlyMessage("{\"name\":\"\xc3\x28\"}"), HasSubstr("UTF-8"));
}

// Documents of unlimited depth or size would exhaust the stack or the memory.
TEST(DocumentTest, LimitsDepthAndSize) {
  EXPECT_THAT(OnlyMessage(std::string(100, '[') + std::string(100, ']')),
              HasSubstr("nested deeper than 32"));
  EXPECT_THAT(OnlyMessage(std::string(kMaxDocumentBytes + 1, ' ')),
              HasSubstr("longer than"));
}

// If repeated members were accepted, the last would silently take effect and
// the operator's other value would be ignored.
TEST(DocumentTest, RejectsRepeatedMembers) {
  const auto parsed =
      ParseDocument(R"({"a":[1,{"b":1,"c":{"b":2},"b":3}],"a":2})");
  EXPECT_THAT(Locations(parsed.findings), ElementsAre("/a/1/b", "/a"));
}

}  // namespace
}  // namespace berylreach::config
