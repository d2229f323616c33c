// HTTP connection of one simulated caller to its entry host.
#pragma once

#include <cstdint>
#include <string>

namespace berylreach::capacity {

/// Sends requests over one connection with blocking calls. Opens the connection
/// on the first request, and again after a failure.
class CallerConnection {
 public:
  /// `address` is "IP:port".
  explicit CallerConnection(std::string address);
  ~CallerConnection();

  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  /// Sends a POST and returns the body of the response; returns an empty string
  /// if the connection failed or timed out.
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
