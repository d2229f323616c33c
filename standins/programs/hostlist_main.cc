// berylreach-standin-hostlist: serves a stand-in for the platform's host list.
#include <gflags/gflags.h>

#include <iostream>

#include "berylreach/standins/host_list.h"

DEFINE_string(address, "127.0.0.1:0", "IP address and port to listen on");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  berylreach::standins::BlockSignals();
  berylreach::standins::HostList list;
  const std::string error = list.Start({FLAGS_address});
  if (!error.empty()) {
    std::cerr << error << std::endl;
    return 1;
  }
  berylreach::standins::PrintReadyAndWait(
      {{"address", list.addresses().front()}});
  return 0;
}
