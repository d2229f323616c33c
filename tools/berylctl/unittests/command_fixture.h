// Test fixture that runs commands against a fake platform in virtual time.
#pragma once

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "berylreach/base/manual_clock.h"
#include "berylreach/berylctl/run.h"
#include "berylreach/config/document.h"
#include "berylreach/config/document_parts.h"
#include "berylreach/config/head_record_codec.h"
#include "berylreach/config/host_status.h"
#include "berylreach/model/head_record.h"
#include "fake_platform.h"

namespace berylreach::berylctl {

/// Runs commands on the environment "trial" and keeps their output. The
/// environment has no hosts and no document at first.
class CommandFixture : public testing::Test {
 protected:
  /// A document with one service and one leaf, which has `slots`.
  static model::Environment Document(std::uint32_t slots) {
    model::Environment document;
    document.name = "sample";
    document.zones = {{{"a"}, "north", model::ZoneState::kInService}};
    document.services = {{{"desk"},
                          0,
                          1,
                          {model::RequestKind::kQuery},
                          {{{"desk-0"}, "127.0.0.1:1", {"a"}, slots, 25}}}};
    return document;
  }

  /// The parts of Document(slots).
  static config::DocumentParts Split(std::uint32_t slots) {
    return config::SplitDocument(config::EncodeDocument(Document(slots)))
        .value.value();
  }

  /// Writes a document file and returns its path.
  static std::string WriteFile(const std::string& bytes) {
    const std::string path =
        testing::TempDir() + "/berylctl-" +
        testing::UnitTest::GetInstance()->current_test_info()->name() + ".json";
    std::ofstream(path, std::ios::binary) << bytes;
    return path;
  }

  /// Writes Document(slots) to a file and returns its path.
  static std::string DocumentFile(std::uint32_t slots) {
    return WriteFile(config::EncodeDocument(Document(slots)));
  }

  static model::Member Host(const std::string& name, int port) {
    return {
        {name}, 7, {"a"}, "127.0.0.1:1", "127.0.0.1:" + std::to_string(port)};
  }

  /// The stored head record; an empty one if there is none.
  model::HeadRecord Head(const std::string& environment) {
    const auto found = platform.stored_values.find(environment + "/head");
    if (found == platform.stored_values.end()) return {};
    return config::DecodeHeadRecord(found->second.value).value.value();
  }

  void PutHead(const std::string& environment, const model::HeadRecord& head) {
    platform.Put(environment + "/head", config::EncodeHeadRecord(head));
  }

  /// Makes Document(slots) the current document, as another operator would.
  void Accept(const std::string& environment, std::uint32_t slots) {
    const auto parts = Split(slots);
    for (const auto& part : parts.parts)
      platform.Put(environment + "/parts/" + part.hash, part.bytes);
    platform.Put(environment + "/parts/" + parts.manifest.hash,
                 parts.manifest.bytes);
    auto head = Head(environment);
    head.nonce += 1000;
    head.document = {head.document.version + 1, parts.manifest.hash};
    head.history.push_back({head.document, "other", {}, ""});
    PutHead(environment, head);
  }

  /// Adds the members h1 and h2 and the removed host h3 to the head record.
  void AddHosts(const std::string& environment) {
    auto head = Head(environment);
    head.epoch = 3;
    head.nonce += 1000;
    head.members = {Host("h1", 1001), Host("h2", 1002)};
    head.removed_hosts = {{Host("h3", 1003), 2, 1}};
    PutHead(environment, head);
  }

  /// Makes a host report `document` as the one it has in force.
  void ReportStatus(const model::Member& member,
                    const model::DocumentRef& document, bool lease = true) {
    platform.host_responses[{member.http_address, "/v1/status"}] =
        config::EncodeHostStatus(
            {member.host, 7, member.zone, 3, document, lease, lease});
  }

  /// Makes all members of the head record report its current document.
  void FollowHead(const std::string& environment) {
    platform.before_host_call = [this, environment] {
      const auto head = Head(environment);
      for (const model::Member& member : head.members)
        ReportStatus(member, head.document);
    };
  }

  ExitCode RunCommand(const std::string& command,
                      std::vector<std::string> arguments = {}) {
    options.command = command;
    options.arguments = std::move(arguments);
    out.str("");
    err.str("");
    Runtime runtime{platform,
                    clock,
                    [this](base::Duration time) { clock.Advance(time); },
                    [this] { return ++last_random; },
                    out,
                    err};
    return berylctl::Run(options, runtime);
  }

  CommandFixture() {
    options.store = FakePlatform::kStoreAddress;
    options.environment = "trial";
    options.author = "inge";
  }

  FakePlatform platform;
  base::ManualClock clock;
  Options options;
  std::uint64_t last_random = 0;
  std::ostringstream out;
  std::ostringstream err;
};

}  // namespace berylreach::berylctl
