// One caller's connection to an entry host.
#pragma once

#include <cstdint>
#include <string>

namespace berylreach::capacity {

/// Sends requests over one connection with blocking calls and opens it again
/// after a failure.
class CallerConnection {
 public:
  /// `address` is "IP:port".
  explicit CallerConnection(std::string address);
  ~CallerConnection();

  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  /// Body of the response to a POST; empty if the connection failed.
  std::string Post(const std::string& path, const std::string& body);

 private:
  bool Open();
  void Close();
  bool Write(const std::string& bytes) const;
  std::string ReadBody();

  std::string address_;
  int socket_ = -1;
};

}  // namespace berylreach::capacity
