// berylreach-standin-store: serves a stand-in for the platform's key-value
// store.
#include <gflags/gflags.h>

#include <iostream>

#include "berylreach/standins/store.h"

DEFINE_string(address, "127.0.0.1:0", "IP address and port to listen on");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  // Before Start, because threads inherit the signal mask.
  berylreach::standins::BlockSignals();
  berylreach::standins::Store store;
  const std::string error = store.Start({FLAGS_address});
  if (!error.empty()) {
    std::cerr << error << std::endl;
    return 1;
  }
  berylreach::standins::PrintReadyAndWait(
      {{"address", store.addresses().front()}});
  return 0;
}
