#include "case_support.h"

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>
#include <string_view>
#include <utility>

#include "http.h"

namespace review {
namespace {

constexpr milliseconds kInterval{100};
constexpr milliseconds kDeadline{3000};

}  // namespace

TemporaryFolder::TemporaryFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) std::exit(kNotRun);
  path_ = pattern;
}

TemporaryFolder::~TemporaryFolder() {
  if (std::getenv("KEEP_LOGS") == nullptr) std::filesystem::remove_all(path_);
}

void Record::Add(const std::string& line) {
  const auto now =
      std::chrono::duration_cast<milliseconds>(Clock::now() - start_);
  file_ << now.count() << " " << line << std::endl;
}

Callers::Callers(EventLoop& loop, Record& record,
                 const std::vector<std::unique_ptr<Host>>& hosts,
                 std::string path)
    : loop_(loop), record_(record), hosts_(hosts), path_(std::move(path)) {}

void Callers::Start() { SendAll(); }

void Callers::SendAll() {
  if (stopped_) return;
  for (const auto& host : hosts_) SendTo(*host);
  loop_.After(kInterval, [this] { SendAll(); });
}

void Callers::SendTo(const Host& host) {
  auto request = std::make_shared<Request>();
  request->id = "q" + std::to_string(requests_.size());
  request->host = host.name();
  request->sent = Clock::now();
  requests_.push_back(request);
  record_.Add("sent " + request->id + " to " + request->host);
  const std::string bytes =
      "GET " + path_ +
      " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + request->id +
      "\r\nX-Deadline-Ms: " + std::to_string(kDeadline.count()) + "\r\n\r\n";
  Fetch(loop_, host.address(), bytes, kDeadline,
        [this, request](std::optional<HttpMessage> response) {
          if (response) {
            request->status = response->Status();
            request->body = response->body;
          }
          record_.Add("answered " + request->id + " by " + request->host +
                      ": " + std::to_string(request->status) + " " +
                      request->body);
        });
}

int JudgeService(const Callers& callers, Record& record, Time check_from,
                 const std::string& old_service) {
  // With fewer successes the case shows nothing.
  constexpr int min_checked = 100;
  std::map<std::string, int> stale;
  int checked = 0;
  int total = 0;
  for (const auto& request : callers.requests()) {
    if (request->sent < check_from || request->status != 200) continue;
    ++checked;
    if (request->body != old_service) continue;
    ++stale[request->host];
    ++total;
  }
  for (const auto& [host, count] : stale)
    std::cout << host << " ran " << count << " requests at the old service\n";
  const std::string result =
      std::to_string(total) + " of " + std::to_string(checked) +
      " requests handled as only the older version allows";
  std::cout << result << "\n";
  record.Add(result);
  if (checked < min_checked) return kNotRun;
  return total > 0 ? kBroken : kHeld;
}

bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string_view(value) != "0";
}

}  // namespace review
