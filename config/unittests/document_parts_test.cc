// Guards against parts whose hash changes although their content does not, and
// against documents that are assembled from the wrong parts.
#include "berylreach/config/document_parts.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "berylreach/base/hash.h"
#include "berylreach/config/bounds.h"
#include "berylreach/config/document.h"
#include "sample_document.h"

namespace berylreach::config {
namespace {

using testing::ElementsAre;

std::vector<std::string> PartBytes(const DocumentParts& split) {
  std::vector<std::string> bytes;
  for (const DocumentPart& part : split.parts) bytes.push_back(part.bytes);
  return bytes;
}

TEST(DocumentPartsTest, ReassemblesTheDocument) {
  const model::Environment environment = SampleDocument();
  const std::string text = EncodeDocument(environment);
  const auto split = SplitDocument(text).value.value();
  ASSERT_EQ(split.parts.size(), 3U);
  EXPECT_EQ(split.manifest.hash, base::ContentHash(split.manifest.bytes));
  EXPECT_THAT(ListPartHashes(split.manifest.bytes).value.value(),
              ElementsAre(split.parts[0].hash, split.parts[1].hash,
                          split.parts[2].hash));
  auto bytes = PartBytes(split);
  std::reverse(bytes.begin(), bytes.end());
  bytes.emplace_back("unrelated");
  EXPECT_EQ(AssembleDocument(split.manifest.bytes, bytes).value, text);
}

// If hashes depended on the order of the input, hosts would transfer parts that
// have not changed.
TEST(DocumentPartsTest, SameContentGivesSameHashes) {
  const std::string text = EncodeDocument(SampleDocument());
  auto shuffled = SampleDocument();
  std::reverse(shuffled.zones.begin(), shuffled.zones.end());
  std::reverse(shuffled.services.begin(), shuffled.services.end());
  EXPECT_EQ(SplitDocument("\n " + text + " \n").value,
            SplitDocument(EncodeDocument(shuffled)).value);
}

// If a change of one service changed every part, hosts would transfer all
// parts, which would exceed the limit on control traffic.
TEST(DocumentPartsTest, ChangeOfOneServiceChangesOnePart) {
  auto changed = SampleDocument();
  changed.services[1].leaves[0].slots = 1;
  const auto before = SplitDocument(EncodeDocument(SampleDocument())).value;
  const auto after = SplitDocument(EncodeDocument(changed)).value;
  EXPECT_NE(before->manifest, after->manifest);
  EXPECT_EQ(before->parts[0], after->parts[0]);
  EXPECT_EQ(before->parts[1], after->parts[1]);
  EXPECT_NE(before->parts[2], after->parts[2]);
}

// A document with a corrupt or missing part must not be put in force.
TEST(DocumentPartsTest, ReportsMissingAndCorruptParts) {
  const auto split = SplitDocument(EncodeDocument(SampleDocument())).value;
  auto bytes = PartBytes(*split);
  bytes[0] += ' ';
  bytes.pop_back();
  const auto assembled = AssembleDocument(split->manifest.bytes, bytes);
  EXPECT_FALSE(assembled.value);
  ASSERT_EQ(assembled.findings.size(), 2U);
  EXPECT_EQ(assembled.findings[0].location, "/rest");
  EXPECT_EQ(assembled.findings[1].location, "/services/1/part");
}

TEST(DocumentPartsTest, RejectsMalformedManifests) {
  EXPECT_THAT(ListPartHashes("{}").findings.size(), 2U);
  EXPECT_THAT(
      ListPartHashes(R"({"rest":"ab","services":[{"name":"a","part":7}]})")
          .findings,
      ElementsAre(
          testing::Field(&base::Finding::location, "/rest"),
          testing::Field(&base::Finding::location, "/services/0/part")));
}

// The store rejects values above 1 MB, so a part that is too large must be
// reported before the document is submitted.
TEST(DocumentPartsTest, ReportsPartsTooLargeForTheStore) {
  auto large = SampleDocument();
  large.services[1].leaves.clear();
  for (int i = 0; i < 12'000; ++i)
    large.services[1].leaves.push_back({{"leaf-" + std::to_string(i)},
                                        "10.0.0.1:" + std::to_string(1 + i),
                                        {"a"},
                                        2,
                                        25});
  const std::string text = EncodeDocument(large);
  EXPECT_EQ(ParseDocument(text).findings.size(), 1U);
  const auto split = SplitDocument(text);
  EXPECT_FALSE(split.value);
  ASSERT_EQ(split.findings.size(), 1U);
  EXPECT_EQ(split.findings[0].location, "/services/1");
}

}  // namespace
}  // namespace berylreach::config
