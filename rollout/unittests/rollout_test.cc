// Guards against hosts that keep an old document although a newer one is
// available, put a wrong document in force, or send needless requests for
// parts.
#include "berylreach/rollout/rollout.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "berylreach/base/manual_clock.h"

namespace berylreach::rollout {
namespace {

using std::chrono::milliseconds;

/// An assembler whose manifests are concatenated hashes of 32 digits. The name
/// of the environment is the concatenation of the parts.
class TestAssembler {
 public:
  std::optional<std::vector<std::string>> PartHashes(
      std::string_view manifest) const {
    if (manifest.size() % 32 != 0) return std::nullopt;
    std::vector<std::string> hashes;
    for (std::size_t i = 0; i < manifest.size(); i += 32) {
      hashes.emplace_back(manifest.substr(i, 32));
    }
    return hashes;
  }

  Assembled Assemble(std::string_view manifest, const Parts& parts) const {
    model::Environment environment;
    const auto hashes = PartHashes(manifest);
    for (const std::string& hash : *hashes) {
      environment.name += parts.at(hash);
    }
    if (environment.name == "invalid") {
      return base::Findings{base::Finding{"/name", "not allowed"}};
    }
    return environment;
  }
};

/// A document with the given parts.
struct TestDocument {
  TestDocument(std::uint64_t version, std::vector<std::string> parts)
      : parts(std::move(parts)) {
    for (const std::string& part : this->parts) {
      manifest += base::ContentHash(part);
    }
    ref = model::DocumentRef{version, base::ContentHash(manifest)};
  }

  std::vector<std::string> parts;
  std::string manifest;
  model::DocumentRef ref;
};

class RolloutTest : public testing::Test {
 protected:
  RolloutTest() { rollout_.SetPeers({kPeer, kOther}); }

  /// All messages of one type in `out_`, with their receivers.
  template <typename Message>
  std::vector<std::pair<std::string, Message>> Sent() const {
    std::vector<std::pair<std::string, Message>> sent;
    for (const Action& action : out_) {
      const auto* send = std::get_if<SendTo>(&action);
      if (send == nullptr) continue;
      const auto* message = std::get_if<Message>(&send->message);
      if (message) sent.emplace_back(send->host.value, *message);
    }
    return sent;
  }

  /// The hashes of all ReadPart actions in `out_`.
  std::vector<std::string> Reads() const {
    std::vector<std::string> hashes;
    for (const Action& action : out_) {
      const auto* read = std::get_if<ReadPart>(&action);
      if (read != nullptr) hashes.push_back(read->hash);
    }
    return hashes;
  }

  void Reply(const model::HostName& peer, std::vector<std::string> parts) {
    rollout_.OnMessage(peer, model::PartsReply{std::move(parts)}, out_);
  }

  /// Lets kPeer offer `document` and send its manifest and parts.
  void Adopt(const TestDocument& document) {
    rollout_.OnPeerDocument(kPeer, document.ref, out_);
    Reply(kPeer, {document.manifest});
    Reply(kPeer, document.parts);
  }

  void Wait(milliseconds span) {
    clock_.Advance(span);
    out_.clear();
    rollout_.Tick(out_);
  }

  const model::HostName kPeer{"peer"};
  const model::HostName kOther{"other"};
  base::ManualClock clock_;
  Rollout<TestAssembler> rollout_{clock_, TestAssembler()};
  Actions out_;
};

// Guards against documents that do not reach hosts without access to the store,
// because these do not fetch them from peers.
TEST_F(RolloutTest, AdoptsFromAPeerAndOffersToAllPeers) {
  const TestDocument document(3, {"a", "b"});
  Adopt(document);
  EXPECT_EQ(rollout_.current(), document.ref);
  EXPECT_EQ(rollout_.environment().name, "ab");
  EXPECT_EQ(Sent<model::DocumentOffer>().size(), 2U);
  EXPECT_TRUE(Reads().empty());
}

// Guards against an older document that replaces a newer one.
TEST_F(RolloutTest, OlderDocumentIsNotAdopted) {
  const TestDocument newer(5, {"new"});
  const TestDocument older(4, {"old"});
  Adopt(newer);
  out_.clear();
  Adopt(older);
  rollout_.OnHeadDocument(older.ref, out_);
  EXPECT_EQ(rollout_.current(), newer.ref);
  EXPECT_TRUE(Sent<model::PartsRequest>().empty());
}

// Guards against requests for parts that the host already has, because they are
// the same in the previous document.
TEST_F(RolloutTest, RequestsOnlyChangedParts) {
  Adopt(TestDocument(1, {"a", "b"}));
  const TestDocument next(2, {"a", "c"});
  rollout_.OnPeerDocument(kPeer, next.ref, out_);
  out_.clear();
  Reply(kPeer, {next.manifest});
  const auto requests = Sent<model::PartsRequest>();
  ASSERT_EQ(requests.size(), 1U);
  EXPECT_EQ(requests[0].second.hashes,
            std::vector<std::string>{base::ContentHash("c")});
}

// Guards against parts whose bytes do not match their hash.
TEST_F(RolloutTest, DropsPartsThatDoNotHashCorrectly) {
  const TestDocument document(1, {"a"});
  rollout_.OnPeerDocument(kPeer, document.ref, out_);
  Reply(kPeer, {document.manifest});
  Reply(kPeer, {"forged"});
  EXPECT_EQ(rollout_.current().version, 0U);
  rollout_.OnPartRead(base::ContentHash("a"), model::StoreOutcome::kOk,
                      "forged", out_);
  EXPECT_EQ(rollout_.current().version, 0U);
}

// Guards against a fetch that waits forever for a peer that does not reply, and
// against store reads without a pause during a store outage.
TEST_F(RolloutTest, PartsAreReadFromTheStoreIfPeersDoNotReply) {
  const TestDocument document(1, {"a"});
  rollout_.OnHeadDocument(document.ref, out_);
  EXPECT_EQ(Sent<model::PartsRequest>()[0].first, "peer");
  Wait(kPeerTimeout);
  ASSERT_EQ(Sent<model::PartsRequest>().size(), 1U);
  EXPECT_EQ(Sent<model::PartsRequest>()[0].first, "other");
  Wait(kPeerTimeout);
  EXPECT_EQ(Reads(), std::vector<std::string>{document.ref.hash});
  rollout_.OnPartRead(document.ref.hash, model::StoreOutcome::kUnknown, "",
                      out_);
  Wait(kStoreRetryInterval - milliseconds(1));
  EXPECT_TRUE(out_.empty());
  Wait(milliseconds(1));
  EXPECT_EQ(Sent<model::PartsRequest>().size(), 1U);
}

// Guards against a fetch from the store that stops after the manifest and never
// reads the parts.
TEST_F(RolloutTest, AdoptsFromTheStoreAlone) {
  const TestDocument document(1, {"a", "b"});
  rollout_.SetPeers({});
  rollout_.OnHeadDocument(document.ref, out_);
  rollout_.OnPartRead(document.ref.hash, model::StoreOutcome::kOk,
                      document.manifest, out_);
  EXPECT_EQ(Reads().size(), 3U);
  rollout_.OnPartRead(base::ContentHash("a"), model::StoreOutcome::kOk, "a",
                      out_);
  rollout_.OnPartRead(base::ContentHash("b"), model::StoreOutcome::kOk, "b",
                      out_);
  EXPECT_EQ(rollout_.current(), document.ref);
}

// Guards against an invalid document that comes into force or is fetched again.
TEST_F(RolloutTest, RejectsAnInvalidDocumentOnce) {
  Adopt(TestDocument(1, {"valid"}));
  const TestDocument invalid(2, {"invalid"});
  Adopt(invalid);
  EXPECT_EQ(rollout_.current().version, 1U);
  EXPECT_EQ(rollout_.environment().name, "valid");
  out_.clear();
  rollout_.OnPeerDocument(kOther, invalid.ref, out_);
  EXPECT_TRUE(out_.empty());
  Adopt(TestDocument(3, {"repaired"}));
  EXPECT_EQ(rollout_.current().version, 3U);
}

// Guards against peers that cannot fetch the current document from this host,
// or wait for a reply because one requested part is unknown here.
TEST_F(RolloutTest, ServesPartsOfTheCurrentDocument) {
  const TestDocument document(1, {"a"});
  Adopt(document);
  out_.clear();
  rollout_.OnMessage(kOther,
                     model::PartsRequest{{document.ref.hash, "unknown"}}, out_);
  const auto replies = Sent<model::PartsReply>();
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].second.parts,
            std::vector<std::string>{document.manifest});
}

// Guards against a newer document that is not fetched until the fetch of an
// older one ends.
TEST_F(RolloutTest, NewerDocumentReplacesAFetchInProgress) {
  rollout_.OnPeerDocument(kPeer, TestDocument(1, {"a"}).ref, out_);
  Adopt(TestDocument(2, {"b"}));
  EXPECT_EQ(rollout_.environment().name, "b");
}

}  // namespace
}  // namespace berylreach::rollout
