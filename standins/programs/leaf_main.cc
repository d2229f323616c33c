// berylreach-standin-leaf: serves stand-ins for one or more leaves.
#include <gflags/gflags.h>

#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "berylreach/standins/leaf.h"

DEFINE_string(leaves, "",
              "file with a JSON list of {name, address, service, slots, "
              "connections, shard, shard_count}; replaces the other flags");
DEFINE_string(name, "leaf", "leaf name");
DEFINE_string(address, "127.0.0.1:0", "IP address and port to listen on");
DEFINE_string(service, "", "service name");
DEFINE_int32(slots, 2, "maximum number of calls that run at the same time");
DEFINE_int32(shard, 0, "shard held at version 1");
DEFINE_int32(shard_count, 1, "number of shards of version 1");

namespace berylreach::standins {
namespace {

namespace json = boost::json;

/// Reads a leaves file; empty if it cannot be read or is not a JSON array.
std::vector<LeafOptions> ReadLeaves(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  boost::system::error_code error;
  const json::value document = json::parse(text.str(), error);
  std::vector<LeafOptions> leaves;
  if (error || !document.is_array()) return leaves;
  for (const json::value& item : document.get_array())
    if (item.is_object()) leaves.push_back(ReadLeafOptions(item.get_object()));
  return leaves;
}

LeafOptions LeafFromFlags() {
  LeafOptions leaf;
  leaf.name = FLAGS_name;
  leaf.address = FLAGS_address;
  leaf.service = FLAGS_service;
  leaf.slots = FLAGS_slots;
  leaf.shard = FLAGS_shard;
  leaf.shard_count = FLAGS_shard_count;
  return leaf;
}

int Run() {
  std::vector<LeafOptions> leaves =
      FLAGS_leaves.empty() ? std::vector<LeafOptions>{LeafFromFlags()}
                           : ReadLeaves(FLAGS_leaves);
  if (leaves.empty()) {
    std::cerr << "no leaves in " << FLAGS_leaves << std::endl;
    return 1;
  }
  LeafProcess process(leaves);
  const std::string error = process.StartAll();
  if (!error.empty()) {
    std::cerr << error << std::endl;
    return 1;
  }
  json::array bound;
  for (std::size_t i = 0; i < leaves.size(); ++i)
    bound.push_back(
        {{"name", leaves[i].name}, {"address", process.addresses()[i]}});
  PrintReadyAndWait(
      {{"address", process.addresses().front()}, {"leaves", bound}});
  return 0;
}

}  // namespace
}  // namespace berylreach::standins

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  berylreach::standins::BlockSignals();
  return berylreach::standins::Run();
}
