// Guards against stored records that lose information when they are encoded,
// and against corrupt records that are decoded.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <limits>

#include "berylreach/config/head_record_codec.h"
#include "berylreach/config/order_journal_codec.h"

namespace berylreach::config {
namespace {

using std::chrono::milliseconds;
using std::chrono::system_clock;
using testing::HasSubstr;

constexpr std::uint64_t kLarge = std::numeric_limits<std::uint64_t>::max();

model::HeadRecord SampleHead() {
  const model::Member member{
      {"h1"}, kLarge - 1, {"a"}, "127.0.0.1:1", "[::1]:2"};
  model::HeadRecord head;
  head.epoch = 7;
  head.nonce = 0x0123456789abcdefULL;
  head.writer = "ops\n\"Inge\"";
  head.members = {member};
  head.removed_hosts = {{member, 6, 3}};
  head.document = {4, "0123"};
  head.history = {{{3, "ab"},
                   "Inge",
                   system_clock::time_point(milliseconds(1767225600123)),
                   "Køge out"}};
  return head;
}

TEST(HeadRecordCodecTest, JsonFormRoundTrips) {
  const auto decoded = DecodeHeadRecord(EncodeHeadRecord(SampleHead()));
  EXPECT_TRUE(decoded.findings.empty());
  EXPECT_EQ(decoded.value, SampleHead());
  EXPECT_EQ(DecodeHeadRecord(EncodeHeadRecord({})).value, model::HeadRecord{});
}

// Guards against documents or epochs that are taken for the same one because
// their numbers are rounded or clamped.
TEST(HeadRecordCodecTest, VersionsAndEpochsAreExact) {
  for (const std::uint64_t number :
       {1000000000001U, 9007199254740993U, kLarge}) {
    model::HeadRecord head = SampleHead();
    head.epoch = number;
    head.document.version = number - 1;
    head.history.front().document.version = number - 2;
    EXPECT_EQ(DecodeHeadRecord(EncodeHeadRecord(head)).value, head) << number;
  }
}

// Many JSON parsers round numbers above 2^53.
TEST(HeadRecordCodecTest, WritesRandomNumbersAsHexadecimalStrings) {
  const std::string text = EncodeHeadRecord(SampleHead());
  EXPECT_THAT(text, HasSubstr("\"nonce\":\"0123456789abcdef\""));
  EXPECT_THAT(text, HasSubstr("\"incarnation\":\"fffffffffffffffe\""));
  EXPECT_THAT(text, HasSubstr("\"at\":1767225600123"));
}

// A host must not decode only the valid members of a corrupt record, because it
// would write the incomplete record back.
TEST(HeadRecordCodecTest, ReportsAllFindings) {
  const auto decoded = DecodeHeadRecord(
      R"({"epoch":-1,"nonce":"xyz","writer":1,"members":[{}],"departed":{},
          "document":{"version":1,"hash":"a"},"later":true})");
  EXPECT_FALSE(decoded.value);
  EXPECT_EQ(decoded.findings.size(), 10U);
  EXPECT_FALSE(DecodeHeadRecord("").value);
}

// During a rolling update, hosts of an older release must be able to read
// records that a newer release has written.
TEST(HeadRecordCodecTest, IgnoresMembersOfNewerReleases) {
  std::string text = EncodeHeadRecord(SampleHead());
  text.insert(1, "\"later\":{\"a\":[1]},");
  EXPECT_EQ(DecodeHeadRecord(text).value, SampleHead());
}

TEST(OrderJournalCodecTest, JsonFormRoundTrips) {
  model::OrderJournal journal;
  for (const auto state :
       {model::OrderState::kClaimed, model::OrderState::kReleased,
        model::OrderState::kDone, model::OrderState::kUnknown}) {
    journal.records.push_back(
        {{"ledger"},
         "order 7/\xc3\xa6",
         kLarge,
         system_clock::time_point(milliseconds(1767225600001)),
         {"h1"},
         kLarge - 1,
         kLarge - 2,
         state,
         R"({"stitched":true})",
         kLarge});
  }
  const auto decoded = DecodeOrderJournal(EncodeOrderJournal(journal));
  EXPECT_TRUE(decoded.findings.empty());
  EXPECT_EQ(decoded.value, journal);
}

// If an unknown state were read as "claimed" or "released", an order could run
// never or twice.
TEST(OrderJournalCodecTest, RejectsUnknownStates) {
  std::string text = EncodeOrderJournal({{{{"s"}, "k", 1, {}, {"h"}, 2, 3}}});
  ASSERT_TRUE(DecodeOrderJournal(text).value);
  text.replace(text.find("claimed"), 7, "paused!");
  const auto decoded = DecodeOrderJournal(text);
  EXPECT_FALSE(decoded.value);
  ASSERT_EQ(decoded.findings.size(), 1U);
  EXPECT_EQ(decoded.findings[0].location, "/records/0/state");
}

}  // namespace
}  // namespace berylreach::config
