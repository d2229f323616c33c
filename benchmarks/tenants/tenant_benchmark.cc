// Measures what tenants cost a host: the memory of a configuration with many of
// them, the time to parse and index it, to prepare it for other hosts and to
// find the tenant of a key, and the time to refuse one while all are active.
#include <gflags/gflags.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "berylreach/base/system_clock.h"
#include "berylreach/command_line/parse.h"
#include "berylreach/forward/route_table.h"
#include "berylreach/limits/admission.h"
#include "berylreach/platform/codec.h"

DEFINE_uint32(tenants, 10'000, "number of tenants");
DEFINE_uint32(repeats, 20, "number of measurements, of which the best counts");

namespace berylreach {
namespace {

using Clock = std::chrono::steady_clock;

std::string KeyOf(unsigned tenant) {
  return "key-" + std::to_string(100'000'000 + tenant) + "-0123456789abcdef";
}

std::string Configuration() {
  std::string text = R"({"version":1,"routes":[],"services":[],"tenants":[)";
  for (unsigned i = 0; i < FLAGS_tenants; ++i) {
    if (i > 0) text += ',';
    text += R"({"name":"tenant-)" + std::to_string(i) + R"(","api_keys":[")" +
            KeyOf(i) + R"("],"rate_per_s":5,"burst":10})";
  }
  return text + "]}";
}

/// Runs `work` repeatedly and prints its shortest time.
template <typename Work>
void Measure(const char* name, Work work) {
  auto best = Clock::duration::max();
  for (unsigned i = 0; i < FLAGS_repeats; ++i) {
    const auto begin = Clock::now();
    work();
    best = std::min(best, Clock::now() - begin);
  }
  const double total = std::chrono::duration<double, std::micro>(best).count();
  std::printf("%-28s %8.3f ms, %7.4f us for each tenant\n", name, total / 1000,
              total / FLAGS_tenants);
}

void Run() {
  const std::string text = Configuration();
  std::printf("%u tenants in %zu bytes\n", FLAGS_tenants, text.size());
  const std::size_t before = mallinfo2().uordblks;
  auto table = std::make_unique<forward::RouteTable>(
      platform::ParseConfiguration(text).value.value());
  const std::size_t bytes = mallinfo2().uordblks - before;
  std::printf("route table: %zu bytes, %zu for each tenant\n", bytes,
              bytes / FLAGS_tenants);
  Measure("parse", [&] { platform::ParseConfiguration(text); });
  const auto configuration = platform::ParseConfiguration(text).value.value();
  Measure("index", [&] { forward::RouteTable indexed(configuration); });
  Measure("replace keys by digests", [&] { platform::WithoutKeys(text); });
  std::vector<std::string> keys;
  for (unsigned i = 0; i < FLAGS_tenants; ++i) keys.push_back(KeyOf(i));
  Measure("find by key", [&] {
    for (const std::string& key : keys)
      if (table->FindTenantByKey(key) == nullptr) std::abort();
  });
  const base::SystemClock clock;
  const std::size_t bound = std::size_t{3} * FLAGS_tenants;
  limits::Admission admission(clock,
                              {.max_requests = bound, .max_leaf_calls = bound});
  for (unsigned i = 0; i < FLAGS_tenants; ++i)
    admission.Admit(0, 1, "tenant-" + std::to_string(i));
  while (admission.Admit(0, 1, "hot").admitted) {
  }
  Measure("refuse a hot tenant", [&] { admission.Admit(0, 1, "hot"); });
}

}  // namespace
}  // namespace berylreach

int main(int argc, char** argv) {
  std::vector<std::string> positional;
  if (berylreach::command_line::Parse(argc, argv, positional)) return 2;
  berylreach::Run();
  return 0;
}
